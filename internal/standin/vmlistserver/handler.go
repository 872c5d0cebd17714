package vmlistserver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"bergamotreel/internal/httpjson"
	"bergamotreel/vmlist"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("vmlistserver")

var errNoVM = Error.New("no such VM")

// LagBody is the JSON body of PUT /admin/lag.
type LagBody struct {
	LagMS int64 `json:"lag_ms"`
}

// Handler returns a handler that serves the registry over HTTP as
// docs/INTERFACES.md describes.
func Handler(registry *Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		list, err := registry.List(r.Context())
		if err != nil {
			httpjson.ReplyError(w, http.StatusServiceUnavailable, err)
			return
		}
		replyList(w, r, list)
	})
	mux.HandleFunc("PUT /admin/vms/{id}", func(w http.ResponseWriter, r *http.Request) {
		var vm vmlist.VM
		if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
			httpjson.ReplyError(w, http.StatusBadRequest, Error.Wrap(err))
			return
		}
		vm.ID = r.PathValue("id")
		registry.Put(vm)
		httpjson.Reply(w, http.StatusOK, vm)
	})
	mux.HandleFunc("DELETE /admin/vms/{id}", func(w http.ResponseWriter, r *http.Request) {
		replyIfFound(w, registry.Remove(r.PathValue("id")))
	})
	mux.HandleFunc("POST /admin/vms/{id}/leaving", func(w http.ResponseWriter, r *http.Request) {
		replyIfFound(w, registry.MarkLeaving(r.PathValue("id")))
	})
	mux.HandleFunc("PUT /admin/lag", func(w http.ResponseWriter, r *http.Request) {
		var body LagBody
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			httpjson.ReplyError(w, http.StatusBadRequest, Error.Wrap(err))
			return
		}
		registry.SetLag(time.Duration(body.LagMS) * time.Millisecond)
		httpjson.Reply(w, http.StatusOK, body)
	})
	mux.Handle("/admin/faults", registry.Faults())
	return mux
}

// replyList sends the list, or 304 if the client already has this list.
func replyList(w http.ResponseWriter, r *http.Request, list vmlist.List) {
	// A list has no field that fails to marshal.
	body, _ := json.Marshal(list)
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	httpjson.Reply(w, http.StatusOK, json.RawMessage(body))
}

func replyIfFound(w http.ResponseWriter, found bool) {
	if !found {
		httpjson.ReplyError(w, http.StatusNotFound, errNoVM)
		return
	}
	httpjson.Reply(w, http.StatusOK, struct{}{})
}
