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
	// retrySoon is when to come back to an entry VM that is full just now.
	retrySoon = time.Second
)

// overLimitTotal counts the requests refused for the limit of connections.
var overLimitTotal = metrics.NewCounter(`bergamotreel_caller_over_connection_limit_total`)

// Server serves a Handler over TCP within its Limits.
type Server struct {
	http    *http.Server
	handler http.Handler
	limits  Limits
	bound   *connectionBound
	// leaving is set by Drain.
	leaving atomic.Bool
}

// NewServer makes a server. With a tlsConfig it speaks TLS, and HTTP/2 besides.
func NewServer(handler http.Handler, limits Limits, tlsConfig *tls.Config) *Server {
	s := &Server{handler: handler, limits: limits.withDefaults()}
	s.bound = newConnectionBound(s.limits)
	s.http = &http.Server{
		Handler:        http.HandlerFunc(s.serveHTTP),
		TLSConfig:      tlsConfig,
		MaxHeaderBytes: s.limits.HeaderBytes,
		ReadTimeout:    s.limits.ReadTimeout,
		IdleTimeout:    s.limits.IdleTimeout,
		ConnContext:    markOverLimit,
	}
	return s
}

// Listen opens a TCP listener on IP:port.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, Error.Wrap(err)
}

// Serve accepts connections until Shutdown or Close; it then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	err := s.serveOn(&limitListener{Listener: listener, bound: s.bound})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.Wrap(err)
}

func (s *Server) serveOn(listener net.Listener) error {
	if s.http.TLSConfig != nil {
		return s.http.ServeTLS(listener, "", "")
	}
	return s.http.Serve(listener)
}

// Drain starts a planned stop: /readyz says 503, so that the balancer sends no
// more, and each answer ends its connection. Requests are still served.
//
// Closing idle connections at once would cut off the request that a caller
// sends at that very moment: it sees a reset and cannot know whether it ran.
// So call Drain, wait for as long as the balancer takes, then call Shutdown.
func (s *Server) Drain() { s.leaving.Store(true) }

// Shutdown drains, takes no new connection, ends idle keep-alive connections
// and waits for running requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	return Error.Wrap(s.http.Shutdown(ctx))
}

// Close cuts off all connections.
func (s *Server) Close() error { return Error.Wrap(s.http.Close()) }

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	over := overLimit(r.Context()) || s.bound.exceeded()
	leaving := s.leaving.Load()
	if over || leaving {
		w.Header().Set("Connection", "close")
	}
	switch {
	case over && r.URL.Path != pathHealthz:
		overLimitTotal.Inc()
		writeRefusal(w, refusal.New(refusal.CodeNotReady, retrySoon, "this entry VM has no connection left"))
	case leaving && r.URL.Path == pathReadyz:
		writeRefusal(w, refusal.New(refusal.CodeShuttingDown, retrySoon, "this entry VM is stopping"))
	default:
		s.handler.ServeHTTP(w, r)
	}
}
