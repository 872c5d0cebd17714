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

// generate serves chat completions and text completions.
func (h *Handler) generate(x *exchange) error {
	g, err := h.readGeneration(x)
	if err != nil {
		return err
	}
	if g.Stream {
		return h.streamAnswer(x, g)
	}
	return h.collectAnswer(x, g)
}

// readGeneration reads and validates a request. It is separate from generate so that
// its temporary data can be freed while the stream is open.
func (h *Handler) readGeneration(x *exchange) (Generation, error) {
	activeContract, err := h.identify(x)
	if err != nil {
		return Generation{}, err
	}
	body, err := h.readBody(x)
	if err != nil {
		return Generation{}, err
	}
	parsed, err := parseBody(x.r.URL.Path, body)
	if err != nil {
		return Generation{}, err
	}
	unit, ok := activeContract.FindUnit(parsed.model)
	if !ok {
		return Generation{}, x.preferNotReady(unknownModel(parsed.model))
	}
	return Generation{
		Identity: x.identity,
		Request: engine.Request{
			ID: x.id, Unit: unit.Name, Path: x.r.URL.Path, Body: parsed.body,
			Priority: x.identity.Priority + unit.Priority,
		},
		Stream:   parsed.stream,
		Prefixes: routing.HashPrefixes(unit.Name, parsed.text),
		Arrived:  x.arrived,
	}, nil
}

// streamAnswer sends each chunk of the answer as a server-sent event.
func (h *Handler) streamAnswer(x *exchange, g Generation) error {
	x.stream = newStreamSink(h.newProgress(x), x.w, h.limits.WriteTimeout)
	err := x.stream.checkEnd(h.backend.Generate(x.ctx(), g, x.stream))
	if err != nil {
		return err
	}
	return x.stream.writeDone()
}

// collectAnswer assembles the whole answer and sends it as one JSON object.
func (h *Handler) collectAnswer(x *exchange, g Generation) error {
	sink := newCollectSink(h.newProgress(x), g.Path, h.limits.AnswerBytes, &x.answer)
	if err := sink.checkEnd(h.backend.Generate(x.ctx(), g, sink)); err != nil {
		return err
	}
	data, err := sink.answer()
	if err != nil {
		return err
	}
	setColdHeader(x.w.Header(), sink.cold)
	h.setWholeAnswerDeadline(x, len(data))
	writeBody(x.w, http.StatusOK, data)
	return nil
}

func (h *Handler) newProgress(x *exchange) progress {
	return progress{metrics: h.metrics, arrived: x.arrived}
}
