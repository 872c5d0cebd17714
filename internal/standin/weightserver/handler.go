package weightserver

import (
	"errors"
	"net/http"
	"time"

	"bergamotreel/internal/httpjson"
	"bergamotreel/weightstore"
)

// Handler serves the store over HTTP as docs/INTERFACES.md describes.
func Handler(store *Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /checkpoints/{name}", func(w http.ResponseWriter, r *http.Request) {
		checkpoint, err := store.Checkpoint(r.Context(), r.PathValue("name"))
		writeReply(w, checkpoint, err)
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		status, err := store.Status(r.Context())
		writeReply(w, status, err)
	})
	mux.HandleFunc("POST /fetch/{name}", func(w http.ResponseWriter, r *http.Request) {
		answer, err := serveFetch(store, r)
		writeReply(w, answer, err)
	})
	mux.Handle("/admin/faults", store.Faults())
	return mux
}

// serveFetch runs a fetch and returns its duration.
func serveFetch(store *Store, r *http.Request) (weightstore.FetchAnswer, error) {
	name := r.PathValue("name")
	start := time.Now()
	if err := store.Fetch(r.Context(), name); err != nil {
		return weightstore.FetchAnswer{}, err
	}
	checkpoint, err := store.lookupCheckpoint(name)
	took := time.Since(start).Milliseconds()
	return weightstore.FetchAnswer{Checkpoint: checkpoint, DurationMS: took}, err
}

func writeReply(w http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		httpjson.Reply(w, http.StatusOK, body)
	case errors.Is(err, weightstore.ErrNotFound):
		httpjson.ReplyError(w, http.StatusNotFound, err)
	default:
		httpjson.ReplyError(w, http.StatusServiceUnavailable, err)
	}
}
