package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/refusal"
)

const (
	pathHealthz = "/healthz"
	pathReadyz  = "/readyz"
	// shortRetryAfter is the Retry-After of an entry VM that expects to accept
	// requests again soon.
	shortRetryAfter = time.Second
)

// overLimitTotal counts the requests refused because of the connection limit.
var overLimitTotal = metrics.NewCounter(`bergamotreel_caller_over_connection_limit_total`)

// Server serves an http.Handler over TCP within its Limits.
type Server struct {
	http    *http.Server
	handler http.Handler
	limits  Limits
	limiter *connectionLimiter
	// connections are the open ones.
	connections *connections
	// draining is set by Drain.
	draining atomic.Bool
}

// NewServer returns a server. If tlsConfig is not nil, it serves TLS with HTTP/1.1
// and HTTP/2.
func NewServer(handler http.Handler, limits Limits, tlsConfig *tls.Config) *Server {
	s := &Server{handler: handler, limits: limits.withDefaults(), connections: newConnections()}
	s.limiter = newConnectionLimiter(s.limits)
	s.http = &http.Server{
		Handler:        http.HandlerFunc(s.serveHTTP),
		TLSConfig:      tlsConfig,
		MaxHeaderBytes: s.limits.HeaderBytes,
		ReadTimeout:    s.limits.ReadTimeout,
		IdleTimeout:    s.limits.IdleTimeout,
		ConnContext:    markOverLimit,
		ConnState:      trackState,
	}
	return s
}

// Listen opens a TCP listener on an address of the form IP:port.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, Error.Wrap(err)
}

// Serve accepts connections until Shutdown or Close, after which it returns nil.
func (s *Server) Serve(listener net.Listener) error {
	err := s.serveListener(&limitListener{Listener: listener, limiter: s.limiter, connections: s.connections})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.Wrap(err)
}

func (s *Server) serveListener(listener net.Listener) error {
	if s.http.TLSConfig != nil {
		return s.http.ServeTLS(listener, "", "")
	}
	return s.http.Serve(listener)
}

// Drain starts a planned shutdown: /readyz answers 503, so that the load balancer
// sends no more requests, and each answer closes its connection. Requests are
// still served.
//
// Closing idle connections at once would reset a connection on which a caller is
// just sending a request, and the caller could not know whether the request ran.
// So call Drain, wait until the load balancer has reacted, then call Shutdown.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown calls Drain, accepts no new connections, closes idle keep-alive
// connections and waits for running requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	return Error.Wrap(s.http.Shutdown(ctx))
}

// Close closes all connections, including those with running requests.
func (s *Server) Close() error {
	countCutOff(s.OpenConnections())
	return Error.Wrap(s.http.Close())
}

// OpenConnections counts the open connections by their state.
func (s *Server) OpenConnections() ConnectionCounts { return s.connections.count() }

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	overLimit := isOverLimit(r.Context()) || s.limiter.isExceeded()
	draining := s.draining.Load()
	if overLimit || draining {
		w.Header().Set("Connection", "close")
	}
	switch {
	case overLimit && r.URL.Path != pathHealthz:
		overLimitTotal.Inc()
		writeRefusal(w, refusal.New(refusal.CodeNotReady, shortRetryAfter, "this entry VM has no connection left"))
	case draining && r.URL.Path == pathReadyz:
		writeRefusal(w, refusal.New(refusal.CodeShuttingDown, shortRetryAfter, "this entry VM is stopping"))
	default:
		s.handler.ServeHTTP(w, r)
	}
}
