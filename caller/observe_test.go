package caller_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"bergamotreel/caller"
	"bergamotreel/engine"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
)

// The entry VM must continue the caller's trace, and neither log nor span may contain the
// caller's prompt or API key.
func TestTraceAndLogOfRefusal(t *testing.T) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	spans := tracetest.NewSpanRecorder()
	core, lines := observer.New(zap.InfoLevel)
	var inBackend trace.SpanContext
	h := caller.New(&fakeBackend{generate: func(ctx context.Context, _ caller.Generation, _ caller.Sink) error {
		inBackend = trace.SpanContextFromContext(ctx)
		return refusal.New(refusal.CodeQueueFull, 0, "full")
	}}, caller.Limits{}, caller.WithLogger(zap.New(core)),
		caller.WithTracer(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("test")))
	r := request("POST", chat, "key-rental", goodChat)
	r.Header.Set("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	r.Header.Set("X-Request-Id", "desk-7")
	w := serve(h, r)

	span := spans.Ended()[0]
	testkit.That(t, span.Parent().SpanID().String() == "b7ad6b7169203331" && span.SpanContext().SpanID() == inBackend.SpanID(),
		"parent %v, in the backend %v", span.Parent(), inBackend)
	recorded := fmt.Sprint(lines.All()[0].ContextMap(), span.Attributes())
	for _, want := range []string{w.Header().Get("X-Request-Id"), "desk-7", "rental", "queue_full"} {
		testkit.That(t, strings.Count(recorded, want) >= 2, "%q is not in both of %s", want, recorded)
	}
	for _, secret := range []string{"key-rental", `"hi"`} {
		testkit.That(t, !strings.Contains(recorded, secret), "%q is in %s", secret, recorded)
	}
}

// Buffered chunks must reach the caller complete, in order and before the error event
// that follows them, and the buffer must be bounded.
func TestBufferedChunks(t *testing.T) {
	var w *httptest.ResponseRecorder
	sentBeforeFlush, buffered := 0, uint64(0)
	h := caller.New(&fakeBackend{generate: func(_ context.Context, _ caller.Generation, sink caller.Sink) error {
		bufferer := sink.(caller.BufferingSink)
		buffer := func() {
			buffered++
			testkit.NoError(t, bufferer.BufferChunk(engine.Chunk{Position: buffered, Data: []byte(benchmarkChunk)}))
		}
		buffer()
		buffer()
		sentBeforeFlush = w.Body.Len()
		err := bufferer.Flush()
		testkit.That(t, err == nil && strings.Count(w.Body.String(), "id: ") == 2, "released %q, %v", w.Body, err)
		for sent := w.Body.Len(); w.Body.Len() == sent && buffered < 100; {
			buffer()
		}
		buffer()
		return sink.WriteChunk(engine.Chunk{Position: buffered, Data: []byte("{}")}) // not the next one
	}}, caller.Limits{})
	w = httptest.NewRecorder()
	defer func() {
		ids := regexp.MustCompile(`(?m)^id: (\d+)$`).FindAllStringSubmatch(w.Body.String(), -1)
		last := fmt.Sprint(buffered)
		if recover() == nil || sentBeforeFlush > 0 || buffered > 30 || len(ids) != int(buffered) || ids[buffered-1][1] != last ||
			!regexp.MustCompile(`event: error\ndata: .*\n\n$`).MatchString(w.Body.String()) {
			t.Errorf("%d bytes sent before Flush, %d chunks buffered, then %q", sentBeforeFlush, buffered, w.Body)
		}
	}()
	h.ServeHTTP(w, request("POST", chat, "key-rental", goodStream))
}
