package caller

import (
	"context"
	"crypto/rand"
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
	// codeOK and codeCallerLeft stand beside the refusal codes in metrics and logs.
	codeOK         = "ok"
	codeCallerLeft = "caller_left"
	// maxLoggedID bounds the caller's own request ID in logs and spans.
	maxLoggedID = 128
)

// exchange is one request and its answer. Only the request's goroutine uses it.
type exchange struct {
	w http.ResponseWriter
	r *http.Request
	// id names the request on every hop. It is random and not the caller's: who
	// knows a request's identity could resume or cancel its stream on an engine.
	id      string
	route   string
	arrived time.Time
	// identity is set by identify; its Customer is empty before.
	identity Identity
	// notReady is why the entry VM takes no new requests, as identify found it.
	notReady error
	// held is how many bytes of its body count as held.
	held int64
	// stream is set for an answer sent as server-sent events.
	stream *streamSink
}

// serve makes the route's handler: it ends each request in exactly one way and
// records the end in metrics, log and trace.
func (h *Handler) serve(route string, do func(*exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		arrived := time.Now()
		h.metrics.open.Inc()
		defer h.metrics.open.Dec()
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := h.tracer.Start(ctx, "caller/"+route, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		x := &exchange{w: w, r: r.WithContext(ctx), id: rand.Text(), route: route, arrived: arrived}
		w.Header().Set(headerRequestID, x.id)
		err := h.run(x, do)
		code := h.finish(x, err)
		h.held.giveBack(x.identity.Customer, x.held)
		h.record(x, code, err, span)
		if err != nil && x.stream != nil && x.stream.sent {
			// The error event alone would not stop a client that skips unknown
			// events; without the last HTTP chunk it sees a broken body as well.
			panic(http.ErrAbortHandler)
		}
	}
}

// run calls do and turns a panic into an error, so that the caller still gets
// an answer and the other requests of the process go on.
func (h *Handler) run(x *exchange, do func(*exchange) error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			h.log.Error("request panicked", zap.String("request", x.id), zap.Any("panic", p), zap.Stack("stack"))
			err = refusal.NewMaybeRan(refusal.CodeInternal, "internal error")
		}
	}()
	return do(x)
}

// finish sends the refusal, if there is one and the caller is still there, and
// returns the code of the end.
func (h *Handler) finish(x *exchange, err error) string {
	if err == nil {
		return codeOK
	}
	if x.r.Context().Err() != nil || (x.stream != nil && x.stream.writeFailed) {
		return codeCallerLeft
	}
	r := refusal.FromError(err)
	if x.stream != nil && x.stream.sent {
		x.stream.fail(r)
	} else {
		h.boundWriting(x, 0)
		writeRefusal(x.w, r)
	}
	return string(r.Code)
}

func (h *Handler) record(x *exchange, code string, err error, span trace.Span) {
	h.metrics.request(x.identity.Customer, x.route, code)
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("bergamotreel.request", x.id),
			attribute.String("bergamotreel.caller_request", x.callersID()),
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
	entry.Write(zap.String("request", x.id), zap.String("caller_request", x.callersID()),
		zap.String("customer", x.identity.Customer), zap.String("route", x.route),
		zap.String("code", code), zap.Duration("took", time.Since(x.arrived)), zap.NamedError("refusal", err))
}

// callersID is the caller's own request ID, for logs and spans only.
func (x *exchange) callersID() string {
	id := x.r.Header.Get(headerRequestID)
	return id[:min(len(id), maxLoggedID)]
}

func (x *exchange) ctx() context.Context { return x.r.Context() }

// identify finds the caller and its contract by the API key.
func (h *Handler) identify(x *exchange) (*contract.Contract, error) {
	const scheme = "Bearer "
	header := x.r.Header.Get("Authorization")
	if len(header) <= len(scheme) || !strings.EqualFold(header[:len(scheme)], scheme) {
		return nil, refusal.New(refusal.CodeUnknownKey, 0, "Authorization: Bearer KEY is missing")
	}
	// Asked before the key: it may become ready between the two.
	x.notReady = h.backend.Ready()
	identity, ok := h.backend.Identify(strings.TrimSpace(header[len(scheme):]))
	if !ok {
		return nil, x.unlessNotReady(unknownKey())
	}
	x.identity = identity
	inForce, ok := h.backend.Contract(identity.Customer)
	if !ok || inForce == nil {
		return nil, x.unlessNotReady(unknownKey())
	}
	return inForce, nil
}

func unknownKey() *refusal.Refusal {
	return refusal.New(refusal.CodeUnknownKey, 0, "unknown API key")
}

// unlessNotReady keeps an entry VM that has just started, and has read no or old
// contracts, from telling a customer that its key or model does not exist: the
// caller would give up instead of coming back.
func (x *exchange) unlessNotReady(unknown *refusal.Refusal) *refusal.Refusal {
	if x.notReady == nil {
		return unknown
	}
	return refusal.New(refusal.CodeNotReady, retrySoon, "%v", x.notReady)
}

func noRoute(*exchange) error {
	return refusal.New(refusal.CodeNotFound, 0, "no such route")
}
