package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
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
	tls     bool
	handler http.Handler
	limits  Limits
	limiter *connectionLimiter
	// connections are the open ones.
	connections *connections
	// draining is set by Drain.
	draining atomic.Bool

	// mu guards the fields below.
	mu        sync.Mutex
	listeners []*limitListener
	// accepting counts the running calls of Serve.
	accepting sync.WaitGroup
	// stopping is set by Shutdown over plain HTTP/1.1.
	stopping bool
}

// NewServer returns a server. If tlsConfig is not nil, it serves TLS with HTTP/1.1
// and HTTP/2.
func NewServer(handler http.Handler, limits Limits, tlsConfig *tls.Config) *Server {
	s := &Server{tls: tlsConfig != nil, handler: handler, limits: limits.withDefaults()}
	s.connections = newConnections(maxHeadBytes(s.limits))
	s.limiter = newConnectionLimiter(s.limits)
	s.http = &http.Server{
		Handler:        http.HandlerFunc(s.serveHTTP),
		TLSConfig:      tlsConfig,
		MaxHeaderBytes: s.limits.HeaderBytes,
		ReadTimeout:    s.limits.ReadTimeout,
		IdleTimeout:    s.limits.IdleTimeout,
		ConnContext:    withConnection,
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
	limited := newLimitListener(listener, s.limiter, s.connections)
	if !s.beginAccepting(limited) {
		return Error.Wrap(limited.Close())
	}
	defer s.accepting.Done()
	err := s.serveListener(limited)
	if errors.Is(err, http.ErrServerClosed) || s.isStopping() {
		return nil
	}
	return Error.Wrap(err)
}

func (s *Server) serveListener(listener net.Listener) error {
	if s.tls {
		return s.http.ServeTLS(listener, "", "")
	}
	return s.http.Serve(listener)
}

// beginAccepting registers a listener. It returns false after Shutdown.
func (s *Server) beginAccepting(listener *limitListener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.listeners = append(s.listeners, listener)
	s.accepting.Add(1)
	return true
}

// stopAccepting closes the listeners and waits until none of them adds a connection.
func (s *Server) stopAccepting() error {
	s.mu.Lock()
	s.stopping = true
	listeners := s.listeners
	s.mu.Unlock()
	var err error
	for _, listener := range listeners {
		err = errors.Join(err, listener.Close())
	}
	s.accepting.Wait()
	return err
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Drain starts a planned shutdown: /readyz answers 503, so that the load balancer
// sends no more requests, and each answer whose head is not yet sent closes its
// connection. Requests are still served.
//
// Closing idle connections at once would reset a connection on which a caller is
// just sending a request, and the caller could not know whether the request ran.
// So call Drain, wait until the load balancer has reacted, then call Shutdown.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown calls Drain, accepts no new connections, closes the connections that wait
// for a request and waits for the others until ctx ends. If ctx ends first, it returns
// ctx's error, and the remaining connections stay open until Close.
//
// Over plain HTTP/1.1 a connection that waits for a request is closed if none begins
// within lastReadTimeout, and a request of which any byte was read gets its answer. Over
// TLS it relies on http.Server.Shutdown, which ends HTTP/2 connections with GOAWAY, but
// over HTTP/1.1 closes a connection on which a request is just arriving.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	if s.tls {
		return Error.Wrap(s.http.Shutdown(ctx))
	}
	s.connections.stop()
	err := s.stopAccepting()
	if waitErr := waitUntil(ctx, s.connections.seal()); waitErr != nil {
		return Error.Wrap(waitErr)
	}
	return Error.Wrap(errors.Join(err, s.http.Close()))
}

// EnlargeSendBuffers leaves as much as possible of the answers that are being sent to the kernel, which goes on sending
// after the process has ended. It is for the end of a shutdown: a whole answer whose caller reads slowly is not cut then.
func (s *Server) EnlargeSendBuffers() { s.connections.enlargeSendBuffers() }

// waitUntil waits for done until ctx ends.
func waitUntil(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	select {
	case <-done:
		return nil
	default:
		return ctx.Err()
	}
}

// Close closes all connections, including those with running requests.
func (s *Server) Close() error {
	countCutOff(s.OpenConnections())
	return Error.Wrap(s.http.Close())
}

// OpenConnections counts the open connections by their state.
func (s *Server) OpenConnections() ConnectionCounts { return s.connections.count() }

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	connectionOf(r.Context()).enterPhase(phaseAnswer)
	overLimit := isOverLimit(r.Context()) || s.limiter.isExceeded()
	draining := s.draining.Load()
	if overLimit || draining {
		w.Header().Set("Connection", "close")
	}
	w = &drainingWriter{ResponseWriter: w, draining: &s.draining}
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

// drainingWriter makes an answer close its connection if Drain was called before the
// answer's head is sent.
type drainingWriter struct {
	http.ResponseWriter
	draining *atomic.Bool
}

// WriteHeader implements http.ResponseWriter.
func (w *drainingWriter) WriteHeader(status int) {
	if w.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap serves http.ResponseController.
func (w *drainingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
