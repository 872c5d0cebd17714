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

// The caller's trace goes on through the entry VM, and neither log nor span
// tells what the caller wrote or its key.
func TestTraceAndLogOfARefusal(t *testing.T) {
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
	w := answerOf(h, r)

	span := spans.Ended()[0]
	testkit.That(t, span.Parent().SpanID().String() == "b7ad6b7169203331" && span.SpanContext().SpanID() == inBackend.SpanID(),
		"parent %v, in the backend %v", span.Parent(), inBackend)
	told := fmt.Sprint(lines.All()[0].ContextMap(), span.Attributes())
	for _, want := range []string{w.Header().Get("X-Request-Id"), "desk-7", "rental", "queue_full"} {
		testkit.That(t, strings.Count(told, want) >= 2, "%q is not in both of %s", want, told)
	}
	for _, secret := range []string{"key-rental", `"hi"`} {
		testkit.That(t, !strings.Contains(told, secret), "%q is in %s", secret, told)
	}
}

// Chunks that are held reach the caller whole, in order and before whatever
// follows them, and not too many are held.
func TestHeldChunks(t *testing.T) {
	var w *httptest.ResponseRecorder
	begun, held := 0, uint64(0)
	h := caller.New(&fakeBackend{generate: func(_ context.Context, _ caller.Generation, sink caller.Sink) error {
		holder := sink.(caller.BufferingSink)
		hold := func() {
			held++
			testkit.NoError(t, holder.BufferChunk(engine.Chunk{Position: held, Data: []byte(benchmarkChunk)}))
		}
		hold()
		hold()
		begun = w.Body.Len()
		err := holder.Flush()
		testkit.That(t, err == nil && strings.Count(w.Body.String(), "id: ") == 2, "released %q, %v", w.Body, err)
		for sent := w.Body.Len(); w.Body.Len() == sent && held < 100; {
			hold()
		}
		hold()
		return sink.WriteChunk(engine.Chunk{Position: held, Data: []byte("{}")}) // not the next one
	}}, caller.Limits{})
	w = httptest.NewRecorder()
	defer func() {
		ids := regexp.MustCompile(`(?m)^id: (\d+)$`).FindAllStringSubmatch(w.Body.String(), -1)
		last := fmt.Sprint(held)
		if recover() == nil || begun > 0 || held > 30 || len(ids) != int(held) || ids[held-1][1] != last ||
			!regexp.MustCompile(`event: error\ndata: .*\n\n$`).MatchString(w.Body.String()) {
			t.Errorf("%d bytes sent at once, %d held, then %q", begun, held, w.Body)
		}
	}()
	h.ServeHTTP(w, request("POST", chat, "key-rental", goodStream))
}
