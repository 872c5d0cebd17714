package engineserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"bergamotreel/engine"
)

// statusByCode maps refusal codes to HTTP statuses.
var statusByCode = map[string]int{
	engine.CodeStaleToken:    http.StatusConflict,
	engine.CodeIDConflict:    http.StatusConflict,
	engine.CodeInUse:         http.StatusConflict,
	engine.CodeWrongRole:     http.StatusConflict,
	engine.CodeNoMemory:      http.StatusInsufficientStorage,
	engine.CodeNotLoaded:     http.StatusNotFound,
	engine.CodeUnknownStream: http.StatusNotFound,
	engine.CodeBusy:          http.StatusTooManyRequests,
	engine.CodeDraining:      http.StatusTooManyRequests,
	engine.CodeBadRequest:    http.StatusBadRequest,
}

// Handler returns a handler that serves the engine protocol and the admin paths.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", e.serveStatus)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("POST /v1/chat/completions", e.serveGenerate)
	mux.HandleFunc("POST /v1/completions", e.serveGenerate)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("GET /v1/cache/events", e.serveCacheEvents)
	mux.HandleFunc("GET /v1/kv/{id}", e.serveExport)
	mux.HandleFunc("PUT /v1/kv/{id}", e.serveImport)
	mux.HandleFunc("POST /admin/faults", e.serveSetFaults)
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.Faults(), nil) })
	mux.HandleFunc("GET /admin/records", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.Records(), nil) })
	mux.HandleFunc("POST /admin/restart", func(w http.ResponseWriter, _ *http.Request) { e.Restart(); reply(w, nil, nil) })
	mux.HandleFunc("POST /admin/draining", e.serveDraining)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if acceptsHTTP2(r) {
			w.Header().Set(engine.HeaderStreamsOver, engine.StreamsOverHTTP2)
		}
		mux.ServeHTTP(w, r)
	})
}

// acceptsHTTP2 reports whether the server that received the request accepts
// unencrypted HTTP/2.
func acceptsHTTP2(r *http.Request) bool {
	server, ok := r.Context().Value(http.ServerContextKey).(*http.Server)
	return ok && server.Protocols != nil && server.Protocols.UnencryptedHTTP2()
}

func (e *Engine) serveStatus(w http.ResponseWriter, r *http.Request) {
	status, err := e.Status(r.Context())
	reply(w, status, err)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !readJSON(w, r, &order) {
		return
	}
	status, err := e.Order(r.Context(), order)
	reply(w, status, err)
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, engine.MaxBodyBytes))
	if err != nil {
		reply(w, nil, newRefusal(engine.CodeBadRequest, engine.ErrBadRequest, "%v", err))
		return
	}
	// A priority that is not a number counts as 0.
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	reader, err := e.Generate(r.Context(), engine.Request{
		ID: r.Header.Get(engine.HeaderRequestID), Unit: r.Header.Get(engine.HeaderUnit),
		Path: r.URL.Path, Body: body, Priority: priority,
	})
	serveStream(w, r, reader, err)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		reply(w, nil, newRefusal(engine.CodeBadRequest, engine.ErrBadRequest, "%v", err))
		return
	}
	reader, err := e.Resume(r.Context(), r.PathValue("id"), from)
	serveStream(w, r, reader, err)
}

// serveStream sends a stream as server-sent events, or replies with err.
func serveStream(w http.ResponseWriter, r *http.Request, reader *StreamReader, err error) {
	if err != nil {
		reply(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engine.HeaderRequestID, reader.stream.request.ID)
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	for {
		// A failed flush means that the client is gone; the next write fails too.
		_ = flusher.Flush()
		chunk, err := reader.Next(r.Context())
		if err == io.EOF {
			fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", chunk.Position)
			return
		}
		if errors.Is(err, errEndedEarly) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", chunk.Position, chunk.Data); err != nil {
			return
		}
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	reply(w, nil, e.Cancel(r.Context(), r.PathValue("id")))
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		reply(w, nil, newRefusal(engine.CodeBadRequest, engine.ErrBadRequest, "%v", err))
		return
	}
	events, err := e.CacheEvents(r.Context(), after)
	reply(w, events, err)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	data, err := e.ExportKV(r.Context(), r.PathValue("id"))
	reply(w, json.RawMessage(data), err)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, engine.MaxBodyBytes))
	if err != nil {
		reply(w, nil, newRefusal(engine.CodeBadRequest, engine.ErrBadRequest, "%v", err))
		return
	}
	reply(w, nil, e.ImportKV(r.Context(), r.PathValue("id"), data))
}

func (e *Engine) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if readJSON(w, r, &faults) {
		e.SetFaults(faults)
		reply(w, nil, nil)
	}
}

func (e *Engine) serveDraining(w http.ResponseWriter, r *http.Request) {
	var draining bool
	if readJSON(w, r, &draining) {
		e.SetDraining(draining)
		reply(w, nil, nil)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, engine.MaxBodyBytes)).Decode(target)
	if err != nil {
		reply(w, nil, newRefusal(engine.CodeBadRequest, engine.ErrBadRequest, "%v", err))
	}
	return err == nil
}

// reply sends the value or the refusal. For any other error it aborts the
// connection without a response.
func reply(w http.ResponseWriter, value any, err error) {
	var refusalErr *refusal
	if errors.As(err, &refusalErr) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(statusByCode[refusalErr.code])
		body := engine.RefusalBody{Code: refusalErr.code, Message: refusalErr.message, Highest: refusalErr.highestToken}
		_, _ = w.Write(mustMarshal(body)) // the client may be gone
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if value == nil {
		value = struct{}{}
	}
	_, _ = w.Write(mustMarshal(value)) // the client may be gone
}
