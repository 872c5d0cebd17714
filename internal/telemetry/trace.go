package telemetry

import (
	"context"
	"net/url"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const (
	// exportTimeout bounds one upload of spans.
	exportTimeout = 5 * time.Second
	// maxQueuedSpans bounds the spans that a process holds for a slow collector; further
	// spans are dropped. A span takes about 1 KiB.
	maxQueuedSpans = 2048
)

// TraceSettings holds the spans' destination and the description of the process.
type TraceSettings struct {
	// Endpoint is the collector's URL for OTLP over HTTP, as in
	// http://10.0.0.9:4318. If it is empty, no spans are sent.
	Endpoint string
	// Service, VM and Domain describe the process.
	Service, VM, Domain string
	// SampleRatio is the share of requests traced, 0 to 1, unless the caller has already
	// decided.
	SampleRatio float64
}

// SetupTracing sets the process's tracer and the W3C propagation. A caller's traceparent
// is propagated also without an endpoint. The returned function uploads the remaining
// spans and stops the tracer.
func SetupTracing(ctx context.Context, s TraceSettings) (shutdown func(context.Context) error, err error) {
	otel.SetTextMapPropagator(propagation.NewCompositeTextMapPropagator(propagation.TraceContext{}, propagation.Baggage{}))
	if s.Endpoint == "" {
		otel.SetTracerProvider(noop.NewTracerProvider())
		return func(context.Context) error { return nil }, nil
	}
	collector, err := tracesURL(s.Endpoint)
	if err != nil {
		return nil, err
	}
	exporter, err := otlptracehttp.New(ctx,
		otlptracehttp.WithEndpointURL(collector),
		otlptracehttp.WithTimeout(exportTimeout),
	)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithMaxQueueSize(maxQueuedSpans)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", s.Service),
			attribute.String("service.instance.id", s.VM),
			attribute.String("bergamotreel.domain", s.Domain),
		)),
	)
	otel.SetTracerProvider(provider)
	return func(ctx context.Context) error { return Error.Wrap(provider.Shutdown(ctx)) }, nil
}

// tracesURL adds the path at which collectors accept traces. Without it the exporter
// posts to "/", and the collector answers 404 to every upload.
func tracesURL(endpoint string) (string, error) {
	parsed, err := url.Parse(endpoint)
	if err != nil {
		return "", Error.Wrap(err)
	}
	if parsed.Host == "" {
		return "", Error.New("collector %q: want a URL as in http://10.0.0.9:4318", endpoint)
	}
	if parsed.Path == "" || parsed.Path == "/" {
		parsed.Path = "/v1/traces"
	}
	return parsed.String(), nil
}

// StartSpan starts the span of a call to a peer. Its name is "peer/action", as in
// "engine/generate". The caller ends it with EndSpan.
func StartSpan(ctx context.Context, peer, action string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return otel.Tracer("bergamotreel/"+peer).Start(ctx, peer+"/"+action,
		trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attributes...))
}

// EndSpan ends a span and marks it as failed if err is not nil.
func EndSpan(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
