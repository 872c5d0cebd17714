package caller

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"bergamotreel/contract"
	"bergamotreel/refusal"
)

const (
	headerRequestID = "X-Request-Id"
	// codeOK and codeCallerLeft are used besides the refusal codes in metrics and logs.
	codeOK         = "ok"
	codeCallerLeft = "caller_left"
	// maxLoggedID is the maximum length of the caller's request ID in logs and spans.
	maxLoggedID = 128
)

// exchange is one request and its answer. It is used only by the request's goroutine.
type exchange struct {
	w http.ResponseWriter
	r *http.Request
	// id identifies the request on every hop. It is random and not chosen by the
	// caller, because anyone who knows it could resume or cancel the request's stream
	// on an engine.
	id      string
	route   string
	arrived time.Time
	// identity is set by identify; its Customer is empty until then.
	identity Identity
	// notReady is the result of Backend.Ready when identify called it.
	notReady error
	// body is the memory of the body, nil before it is read. bodyStarted is whether reading the body has started, bodyUnread
	// whether the request was refused before its body was read to its end.
	body                    *heldBody
	bodyStarted, bodyUnread bool
	// answer is the memory of an answer that is sent in one piece.
	answer heldAnswer
	// stream is set if the answer is sent as server-sent events.
	stream *streamSink
}

// routeHandler returns the HTTP handler of a route. It ends each request with exactly
// one outcome and records the outcome in metrics, log and trace.
func (h *Handler) routeHandler(route string, do func(*exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		arrived := time.Now()
		h.metrics.openRequests.Inc()
		defer h.metrics.openRequests.Dec()
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := h.tracer.Start(ctx, "caller/"+route, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		x := &exchange{w: w, r: r.WithContext(ctx), id: rand.Text(), route: route, arrived: arrived, answer: heldAnswer{all: &h.answers}}
		w.Header().Set(headerRequestID, x.id)
		err := h.runRecovered(x, do)
		code := h.finish(x, err)
		x.body.release()
		x.answer.release()
		h.record(x, code, err, span)
		if err != nil && x.stream != nil && x.stream.headerSent {
			// A client may ignore unknown event types, including the error event.
			// Aborting the connection leaves out the last HTTP chunk, so that the
			// client also sees an incomplete body.
			panic(http.ErrAbortHandler)
		}
	}
}

// runRecovered calls do and converts a panic to an error, so that the caller still
// gets an answer and the other requests of the process continue.
func (h *Handler) runRecovered(x *exchange, do func(*exchange) error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			h.log.Error("request panicked", zap.String("request", x.id), zap.Any("panic", p), zap.Stack("stack"))
			err = refusal.NewMaybeRan(refusal.CodeInternal, "internal error")
		}
	}()
	return do(x)
}

// finish sends the refusal if the request failed and the caller is still connected.
// It returns the outcome's code.
func (h *Handler) finish(x *exchange, err error) string {
	if err == nil {
		return codeOK
	}
	if (x.r.Context().Err() != nil && !x.bodyUnread) || errors.Is(err, errCallerLeft) || (x.stream != nil && x.stream.writeFailed) {
		return codeCallerLeft
	}
	r := refusal.FromError(err)
	if x.stream != nil && x.stream.headerSent {
		x.stream.writeError(r)
	} else {
		switch {
		case x.bodyUnread:
			closeAfterRefusal(x.w, x.r)
		case !x.bodyStarted:
			handleUnreadBody(x.w, x.r)
		}
		h.setWholeAnswerDeadline(x, 0)
		writeRefusal(x.w, r)
	}
	return string(r.Code)
}

func (h *Handler) record(x *exchange, code string, err error, span trace.Span) {
	h.metrics.countRequest(x.identity.Customer, x.route, code)
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("bergamotreel.request", x.id),
			attribute.String("bergamotreel.caller_request", x.callerRequestID()),
			attribute.String("bergamotreel.customer", x.identity.Customer),
			attribute.String("bergamotreel.code", code),
		)
		if code != codeOK {
			span.SetStatus(codes.Error, code)
		}
	}
	level := zap.DebugLevel
	if code != codeOK && code != codeCallerLeft {
		level = zap.InfoLevel
	}
	entry := h.log.Check(level, "request")
	if entry == nil {
		return
	}
	entry.Write(zap.String("request", x.id), zap.String("caller_request", x.callerRequestID()),
		zap.String("customer", x.identity.Customer), zap.String("route", x.route),
		zap.String("code", code), zap.Duration("took", time.Since(x.arrived)), zap.NamedError("refusal", err))
}

// callerRequestID returns the request ID that the caller sent, for logs and spans
// only.
func (x *exchange) callerRequestID() string {
	id := x.r.Header.Get(headerRequestID)
	return id[:min(len(id), maxLoggedID)]
}

func (x *exchange) ctx() context.Context { return x.r.Context() }

// identify sets x.identity from the API key and returns the customer's contract.
func (h *Handler) identify(x *exchange) (*contract.Contract, error) {
	const scheme = "Bearer "
	header := x.r.Header.Get("Authorization")
	if len(header) <= len(scheme) || !strings.EqualFold(header[:len(scheme)], scheme) {
		return nil, refusal.New(refusal.CodeUnknownKey, 0, "Authorization: Bearer KEY is missing")
	}
	// Ready is called before Identify: the entry VM may become ready between the two
	// calls, and an unknown key must then still count as not ready.
	x.notReady = h.backend.Ready()
	identity, ok := h.backend.Identify(strings.TrimSpace(header[len(scheme):]))
	if !ok {
		return nil, x.preferNotReady(unknownKey())
	}
	x.identity = identity
	activeContract, ok := h.backend.Contract(identity.Customer)
	if !ok || activeContract == nil {
		return nil, x.preferNotReady(unknownKey())
	}
	return activeContract, nil
}

func unknownKey() *refusal.Refusal {
	return refusal.New(refusal.CodeUnknownKey, 0, "unknown API key")
}

// preferNotReady returns a not-ready refusal if the entry VM is not ready, and
// unknown otherwise. An entry VM that has just started may have no contracts or
// outdated ones; if it reported a key or model as unknown, the caller would give up
// instead of retrying.
func (x *exchange) preferNotReady(unknown *refusal.Refusal) *refusal.Refusal {
	if x.notReady == nil {
		return unknown
	}
	return refusal.New(refusal.CodeNotReady, shortRetryAfter, "%v", x.notReady)
}

func refuseUnknownRoute(*exchange) error {
	return refusal.New(refusal.CodeNotFound, 0, "no such route")
}
