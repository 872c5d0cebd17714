package engineserver

import (
	"context"
	"encoding/json"
	"time"

	"bergamotreel/engine"
)

// kvExport stands in for an exported KV cache. It holds what another engine needs
// to continue the same answer.
type kvExport struct {
	Request engine.Request `json:"request"`
	Tokens  int            `json:"tokens"`
	Chunks  [][]byte       `json:"chunks"`
}

// ExportKV stops a stream on this engine and returns its KV cache, with which
// another engine can continue it. Until the stream expires it can be exported
// again, in case the answer was lost.
func (e *Engine) ExportKV(ctx context.Context, id string) ([]byte, error) {
	if err := e.waitUntilRunning(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok || s.tokenCount == 0 {
		return nil, newRefusal(engine.CodeUnknownStream, engine.ErrUnknownStream, "%s has no KV cache", id)
	}
	if s.endedAt.IsZero() {
		s.endedAt = time.Now()
		e.stopStream(s)
	}
	return mustMarshal(kvExport{Request: s.request, Tokens: s.tokenCount, Chunks: s.chunks}), nil
}

// ImportKV adds an exported stream and continues it on this engine. Importing a
// stream that is already present changes nothing.
func (e *Engine) ImportKV(ctx context.Context, id string, data []byte) error {
	if err := e.waitUntilRunning(ctx); err != nil {
		return err
	}
	var imported kvExport
	if err := json.Unmarshal(data, &imported); err != nil || imported.Request.ID != id {
		return newRefusal(engine.CodeBadRequest, engine.ErrBadRequest, "not a KV cache of %s", id)
	}
	p, err := parsePrompt(imported.Request.Body)
	if err != nil {
		return newRefusal(engine.CodeBadRequest, engine.ErrBadRequest, "not a KV cache of %s", id)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.streams[id]; ok {
		return nil
	}
	if err := e.checkAvailability(imported.Request.Unit); err != nil {
		return err
	}
	s := newStream(imported.Request, p)
	s.tokenCount, s.chunks = imported.Tokens, imported.Chunks
	e.streams[id] = s
	e.enqueue(s)
	return nil
}
