package engineserver

import (
	"context"
	"encoding/json"
	"time"

	"bergamotreel/engine"
)

// handover is an exported KV cache: in place of a real one, what is needed to
// go on with the same answer.
type handover struct {
	Request engine.Request `json:"request"`
	Tokens  int            `json:"tokens"`
	Chunks  [][]byte       `json:"chunks"`
}

// ExportKV hands a stream over: it stops here and can go on where it is
// imported. It can be exported again, should the answer be lost, until the
// stream is forgotten.
func (e *Engine) ExportKV(ctx context.Context, id string) ([]byte, error) {
	if err := e.enter(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok || s.tokens == 0 {
		return nil, refuse(engine.CodeUnknownStream, engine.ErrUnknownStream, "%s has no KV cache", id)
	}
	if s.ended.IsZero() {
		s.ended = time.Now()
		e.stop(s)
	}
	return mustMarshal(handover{Request: s.request, Tokens: s.tokens, Chunks: s.chunks}), nil
}

// ImportKV takes a stream over, which then runs on here. Importing a stream that
// is here already changes nothing.
func (e *Engine) ImportKV(ctx context.Context, id string, data []byte) error {
	if err := e.enter(ctx); err != nil {
		return err
	}
	var taken handover
	if err := json.Unmarshal(data, &taken); err != nil || taken.Request.ID != id {
		return refuse(engine.CodeBadRequest, engine.ErrBadRequest, "not a KV cache of %s", id)
	}
	p, err := parsePrompt(taken.Request.Body)
	if err != nil {
		return refuse(engine.CodeBadRequest, engine.ErrBadRequest, "not a KV cache of %s", id)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.streams[id]; ok {
		return nil
	}
	if err := e.hasRoom(taken.Request.Unit); err != nil {
		return err
	}
	s := newStream(taken.Request, p)
	s.tokens, s.chunks = taken.Tokens, taken.Chunks
	e.streams[id] = s
	e.enqueue(s)
	return nil
}
