package caller

import (
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
)

// Handler serves the callers' API over a Backend. It is safe for concurrent use.
type Handler struct {
	backend Backend
	limits  Limits
	log     *zap.Logger
	tracer  trace.Tracer
	metrics *instruments
	held    *heldBytes
	mux     *http.ServeMux
}

// Option changes a Handler at its making.
type Option func(*Handler)

// WithLogger sets where requests are logged; the default logs nothing.
func WithLogger(log *zap.Logger) Option {
	return func(h *Handler) { h.log = log }
}

// WithTracer sets what makes the spans; the default is the global provider's.
func WithTracer(tracer trace.Tracer) Option {
	return func(h *Handler) { h.tracer = tracer }
}

// New makes a handler with its own routes.
func New(backend Backend, limits Limits, options ...Option) *Handler {
	h := &Handler{
		backend: backend,
		limits:  limits.withDefaults(),
		log:     zap.NewNop(),
		tracer:  otel.Tracer("bergamotreel/caller"),
		metrics: newInstruments(),
		mux:     http.NewServeMux(),
	}
	h.held = newHeldBytes(h.limits.HeldBytes)
	for _, option := range options {
		option(h)
	}
	h.routes()
	return h
}

func (h *Handler) routes() {
	h.mux.HandleFunc("POST "+pathChat, h.serve("chat", h.generate))
	h.mux.HandleFunc("POST "+pathCompletions, h.serve("completions", h.generate))
	h.mux.HandleFunc("GET /v1/models", h.serve("models", h.listModels))
	h.mux.HandleFunc("GET /v1/models/{id}", h.serve("model", h.oneModel))
	h.mux.HandleFunc("/services/{name}/{path...}", h.serve("services", h.callService))
	h.mux.HandleFunc(pathHealthz, h.healthz)
	h.mux.HandleFunc(pathReadyz, h.readyz)
	h.mux.HandleFunc("/", h.serve("unknown", noRoute))
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// healthz answers 200 for as long as the process serves at all.
func (h *Handler) healthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// readyz answers 200 while new requests are taken, else 503 and the reason.
func (h *Handler) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := h.backend.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
