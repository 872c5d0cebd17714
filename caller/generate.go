package caller

import (
	"net/http"

	"github.com/zeebo/errs"

	"bergamotreel/engine"
	"bergamotreel/routing"
)

// Error is the class of all errors of this package.
var Error = errs.Class("caller")

const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
)

// generate serves both routes that make tokens.
func (h *Handler) generate(x *exchange) error {
	g, err := h.readGeneration(x)
	if err != nil {
		return err
	}
	if g.Stream {
		return h.relay(x, g)
	}
	return h.collect(x, g)
}

// readGeneration reads and checks a request. It is apart from generate so that
// what it needs on the way is free while the stream is open.
func (h *Handler) readGeneration(x *exchange) (Generation, error) {
	inForce, err := h.identify(x)
	if err != nil {
		return Generation{}, err
	}
	body, err := h.readBody(x)
	if err != nil {
		return Generation{}, err
	}
	prompt, err := parsePrompt(x.r.URL.Path, body)
	if err != nil {
		return Generation{}, err
	}
	unit, ok := inForce.FindUnit(prompt.model)
	if !ok {
		return Generation{}, x.unlessNotReady(noModel(prompt.model))
	}
	return Generation{
		Identity: x.identity,
		Request: engine.Request{
			ID: x.id, Unit: unit.Name, Path: x.r.URL.Path, Body: prompt.body,
			Priority: x.identity.Priority + unit.Priority,
		},
		Stream:   prompt.stream,
		Prefixes: routing.HashPrefixes(unit.Name, prompt.text),
		Arrived:  x.arrived,
	}, nil
}

// relay sends the answer as it comes.
func (h *Handler) relay(x *exchange, g Generation) error {
	x.stream = newStreamSink(h.progress(x), x.w, h.limits.WriteTimeout)
	err := x.stream.end(h.backend.Generate(x.ctx(), g, x.stream))
	if err != nil {
		return err
	}
	return x.stream.finish()
}

// collect sends the answer in one piece.
func (h *Handler) collect(x *exchange, g Generation) error {
	sink := newCollectSink(h.progress(x), g.Path, h.limits.AnswerBytes)
	if err := sink.end(h.backend.Generate(x.ctx(), g, sink)); err != nil {
		return err
	}
	data, err := sink.answer()
	if err != nil {
		return err
	}
	markCold(x.w.Header(), sink.cold)
	h.boundWriting(x, len(data))
	writeBody(x.w, http.StatusOK, data)
	return nil
}

func (h *Handler) progress(x *exchange) progress {
	return progress{metrics: h.metrics, arrived: x.arrived}
}
