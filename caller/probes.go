package caller

import (
	"net/http"
	"time"
)

// Limits of a server for probes. A load balancer and a collector of metrics have a few connections each.
const (
	probeConnections = 32
	probeHeaderBytes = 4 << 10
	probeTimeout     = 5 * time.Second
	probeIdleTimeout = 30 * time.Second
)

// NewProbeServer returns a server for a handler that reads no bodies and answers at once, as those of readiness checks and
// metrics. Its few connections can't be kept by peers that send slowly or don't read.
func NewProbeServer(handler http.Handler) *Server {
	limits := Limits{
		HeaderBytes: probeHeaderBytes, HeldBytes: 1, ReadTimeout: probeTimeout, WriteTimeout: probeTimeout,
		IdleTimeout: probeIdleTimeout, Connections: probeConnections,
	}
	return NewServer(probeHandler{handler}, limits, nil)
}

type probeHandler struct{ handler http.Handler }

// ServeHTTP implements http.Handler.
func (h probeHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The error is ignored: writers of tests don't support deadlines.
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(time.Now().Add(probeTimeout))
	if r.ContentLength == 0 {
		h.handler.ServeHTTP(w, r)
		return
	}
	// net/http would read the body before it answers.
	closeAfterRefusal(w, r)
	h.handler.ServeHTTP(w, r)
	_ = controller.Flush()
	connectionOf(r.Context()).enterPhase(phaseLingering)
}
