package caller

import (
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
)

// Handler serves the HTTP API of a Backend. It is safe for concurrent use.
type Handler struct {
	backend Backend
	limits  Limits
	log     *zap.Logger
	tracer  trace.Tracer
	metrics *instruments
	bodies  bodyReader
	answers heldAnswers
	mux     *http.ServeMux
}

// Option configures a Handler in New.
type Option func(*Handler)

// WithLogger sets the logger for requests; by default nothing is logged.
func WithLogger(log *zap.Logger) Option {
	return func(h *Handler) { h.log = log }
}

// WithTracer sets the tracer; the default comes from the global provider.
func WithTracer(tracer trace.Tracer) Option {
	return func(h *Handler) { h.tracer = tracer }
}

// New returns a Handler with all its routes registered.
func New(backend Backend, limits Limits, options ...Option) *Handler {
	h := &Handler{
		backend: backend,
		limits:  limits.withDefaults(),
		log:     zap.NewNop(),
		tracer:  otel.Tracer("bergamotreel/caller"),
		metrics: newInstruments(),
		mux:     http.NewServeMux(),
	}
	h.answers.limit = h.limits.HeldBytes
	h.bodies = bodyReader{held: newHeldBytes(h.limits.HeldBytes), limits: h.limits}
	for _, option := range options {
		option(h)
	}
	h.registerRoutes()
	return h
}

func (h *Handler) registerRoutes() {
	h.mux.HandleFunc("POST "+pathChat, h.routeHandler("chat", h.generate))
	h.mux.HandleFunc("POST "+pathCompletions, h.routeHandler("completions", h.generate))
	h.mux.HandleFunc("GET /v1/models", h.routeHandler("models", h.listModels))
	h.mux.HandleFunc("GET /v1/models/{id}", h.routeHandler("model", h.getModel))
	h.mux.HandleFunc("/services/{name}/{path...}", h.routeHandler("services", h.callService))
	h.mux.HandleFunc(pathHealthz, h.healthz)
	h.mux.HandleFunc(pathReadyz, h.readyz)
	h.mux.HandleFunc("/", h.routeHandler("unknown", refuseUnknownRoute))
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// healthz always answers 200: the process is alive if it answers.
func (h *Handler) healthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// readyz answers 200 while new requests are accepted, otherwise 503 with the reason.
func (h *Handler) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := h.backend.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
