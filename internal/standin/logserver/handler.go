package logserver

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"bergamotreel/internal/httpjson"
	"bergamotreel/platformlog"
)

// Handler serves the store over HTTP as docs/INTERFACES.md describes.
func Handler(store *Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}/records", func(w http.ResponseWriter, r *http.Request) {
		serveAppend(store, w, r)
	})
	mux.HandleFunc("GET /streams/{name}/records", func(w http.ResponseWriter, r *http.Request) {
		serveRead(store, w, r)
	})
	mux.HandleFunc("/admin/faults", func(w http.ResponseWriter, r *http.Request) {
		if client := r.URL.Query().Get("client"); client != "" {
			store.View(client).Faults().ServeHTTP(w, r)
			return
		}
		store.Faults().ServeHTTP(w, r)
	})
	return mux
}

func serveAppend(store *Store, w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, MaxRecordBytes+1))
	if err != nil {
		httpjson.ReplyError(w, http.StatusBadRequest, Error.Wrap(err))
		return
	}
	view := store.View(r.Header.Get(platformlog.ClientHeader))
	offset, err := view.Append(r.Context(), r.PathValue("name"), data)
	switch {
	case err == nil:
		httpjson.Reply(w, http.StatusOK, platformlog.AppendAnswer{Offset: offset})
	case errors.Is(err, platformlog.ErrTooLarge):
		httpjson.ReplyError(w, http.StatusRequestEntityTooLarge, err)
	case errors.Is(err, errTooManyAppends):
		httpjson.ReplyError(w, http.StatusTooManyRequests, err)
	case errors.Is(err, platformlog.ErrUnavailable):
		httpjson.ReplyError(w, http.StatusServiceUnavailable, err)
	default:
		// The answer is lost: abort the connection without a response.
		panic(http.ErrAbortHandler)
	}
}

func serveRead(store *Store, w http.ResponseWriter, r *http.Request) {
	query, err := parseReadQuery(r)
	if err != nil {
		httpjson.ReplyError(w, http.StatusBadRequest, Error.Wrap(err))
		return
	}
	view := store.View(r.Header.Get(platformlog.ClientHeader))
	batch, err := view.Read(r.Context(), r.PathValue("name"), query.from, query.max, query.wait)
	switch {
	case err == nil:
		httpjson.Reply(w, http.StatusOK, platformlog.EncodeBatch(batch))
	case errors.Is(err, platformlog.ErrTrimmed):
		httpjson.Reply(w, http.StatusGone, platformlog.EncodeBatch(batch))
	default:
		httpjson.ReplyError(w, http.StatusServiceUnavailable, err)
	}
}

// Limits of one read, so that no client can hold a connection or use memory
// without bound.
const (
	maxReadRecords = 4096
	maxReadWait    = 30 * time.Second
)

// readQuery holds the parsed query of a read.
type readQuery struct {
	from platformlog.Offset
	max  int
	wait time.Duration
}

func parseReadQuery(r *http.Request) (readQuery, error) {
	query := r.URL.Query()
	from, err := parseNumber(query.Get("from"), 1)
	if err != nil {
		return readQuery{}, err
	}
	limit, err := parseNumber(query.Get("max"), maxReadRecords)
	if err != nil {
		return readQuery{}, err
	}
	waitMS, err := parseNumber(query.Get("wait_ms"), 0)
	if err != nil {
		return readQuery{}, err
	}
	return readQuery{
		from: platformlog.Offset(from),
		max:  int(min(limit, maxReadRecords)),
		wait: time.Duration(min(waitMS, uint64(maxReadWait.Milliseconds()))) * time.Millisecond,
	}, nil
}

// parseNumber parses a query value and returns defaultValue if it is absent.
func parseNumber(text string, defaultValue uint64) (uint64, error) {
	if text == "" {
		return defaultValue, nil
	}
	return strconv.ParseUint(text, 10, 64)
}
