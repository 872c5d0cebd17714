package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"golang.org/x/net/netutil"
)

// Server serves a Handler over TCP within its Limits.
type Server struct {
	http   *http.Server
	limits Limits
	tls    *tls.Config
}

// NewServer makes a server. With a tlsConfig it speaks TLS.
func NewServer(handler http.Handler, limits Limits, tlsConfig *tls.Config) *Server {
	limits = limits.withDefaults()
	return &Server{
		limits: limits,
		tls:    tlsConfig,
		http: &http.Server{
			Handler:           handler,
			MaxHeaderBytes:    limits.HeaderBytes,
			ReadHeaderTimeout: limits.ReadTimeout,
			ReadTimeout:       limits.ReadTimeout,
			IdleTimeout:       limits.IdleTimeout,
		},
	}
}

// Listen opens a TCP listener on IP:port.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, Error.Wrap(err)
}

// Serve accepts connections until Shutdown or Close; it then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	listener = netutil.LimitListener(listener, s.limits.Connections)
	if s.tls != nil {
		listener = tls.NewListener(listener, s.tls)
	}
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.Wrap(err)
}

// Shutdown takes no new connection, ends idle keep-alive connections and waits
// for running requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return Error.Wrap(s.http.Shutdown(ctx))
}

// Close cuts off all connections.
func (s *Server) Close() error { return Error.Wrap(s.http.Close()) }
