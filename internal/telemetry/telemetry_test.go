package telemetry

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"bergamotreel/internal/testkit"
)

// The collector receives the spans of a call once tracing is shut down.
func TestSpansReachTheCollector(t *testing.T) {
	uploads := make(chan string, 4)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		uploads <- r.URL.Path
	}))
	defer collector.Close()
	shutdown, err := SetupTracing(t.Context(), TraceSettings{Endpoint: collector.URL, Service: "entry", SampleRatio: 1})
	testkit.OK(t, err)
	_, span := StartSpan(t.Context(), "engine", "generate")
	EndSpan(span, errors.New("lost"))
	testkit.OK(t, shutdown(t.Context()))
	testkit.Equal(t, "path of the upload", <-uploads, "/v1/traces")
}

// Without an endpoint no span is sent, but a caller's traceparent is still propagated.
func TestTraceparentIsPropagatedWithoutCollector(t *testing.T) {
	testkit.Value(SetupTracing(t.Context(), TraceSettings{}))(t)
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	propagator := otel.GetTextMapPropagator()
	ctx := propagator.Extract(context.Background(), propagation.MapCarrier{"traceparent": parent})
	ctx, span := StartSpan(ctx, "engine", "generate")
	defer span.End()
	out := propagation.MapCarrier{}
	propagator.Inject(ctx, out)
	testkit.That(t, out["traceparent"] == parent, "propagated %q, want %q", out["traceparent"], parent)
}

func TestLogLevels(t *testing.T) {
	for level, ok := range map[string]bool{"debug": true, "info": true, "warn": true, "error": true, "loud": false} {
		_, err := NewLogger(level)
		testkit.That(t, (err == nil) == ok, "level %q: %v", level, err)
	}
}

func TestMetricsPage(t *testing.T) {
	counter := metrics.GetOrCreateCounter("bergamotreel_telemetry_test_total")
	counter.Set(1) // the counter outlives one run of the test in the same process
	answer := httptest.NewRecorder()
	MetricsHandler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	testkit.That(t, strings.Contains(answer.Body.String(), "bergamotreel_telemetry_test_total 1"), "the counter is not on the page")
}
