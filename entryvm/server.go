package entryvm

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"bergamotreel/internal/pause"
)

const (
	// maxConnections bounds the connections that a server holds: the exchange
	// topology has some dozens of peers talk to one VM.
	maxConnections = 1024
	// acceptPause is the pause after a failed accept, for instance for want of
	// file descriptors.
	acceptPause = 100 * time.Millisecond
	// unauthenticatedLogged is the least time between two log lines on them: an
	// entry VM with another secret calls several times a second.
	unauthenticatedLogged = time.Minute
)

// unauthenticatedTotal counts the connections whose other side did not prove
// that it knows the fleet secret.
var unauthenticatedTotal = metrics.NewCounter(`bergamotreel_entryvm_unauthenticated_total`)

// Option changes a server.
type Option func(*server)

// WithLogger sets where unauthenticated peers are logged; the default logs
// nothing. Failure: one VM of a fleet has another secret; it serves, and nobody
// hears it. Without the line all that shows is that it is missing everywhere.
func WithLogger(logger *zap.Logger) Option {
	return func(s *server) { s.logger = logger }
}

// Serve answers peers on the listener until ctx ends; then it closes all
// connections and returns when their calls have ended. A peer must know the
// fleet secret. A tlsConfig of nil means TCP without TLS.
func Serve(ctx context.Context, listener net.Listener, secret []byte, handler Handler, tlsConfig *tls.Config, options ...Option) error {
	return serve(ctx, listener, secret, serviceName, &service{handler}, tlsConfig, options...)
}

// serve answers calls of one net/rpc service.
func serve(ctx context.Context, listener net.Listener, secret []byte, name string, receiver any, tlsConfig *tls.Config, options ...Option) error {
	if err := checkSecret(secret); err != nil {
		return err
	}
	dispatcher := rpc.NewServer()
	if err := dispatcher.RegisterName(name, receiver); err != nil {
		return Error.Wrap(err)
	}
	s := &server{
		secret:          secret,
		dispatcher:      dispatcher,
		tlsConfig:       tlsConfig,
		conns:           map[net.Conn]struct{}{},
		logger:          zap.NewNop(),
		unauthenticated: rate.Sometimes{Interval: unauthenticatedLogged},
	}
	for _, option := range options {
		option(s)
	}
	defer s.calls.Wait()
	stop := context.AfterFunc(ctx, func() { s.close(listener) })
	defer stop()
	return s.accept(ctx, listener)
}

// server is one run of Serve.
type server struct {
	secret     []byte
	dispatcher *rpc.Server
	tlsConfig  *tls.Config
	calls      sync.WaitGroup
	logger     *zap.Logger
	// unauthenticated bounds the log lines on unauthenticated peers.
	unauthenticated rate.Sometimes

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

func (s *server) accept(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			if conn != nil {
				conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return Error.Wrap(err)
		}
		if err != nil {
			pause.For(ctx, acceptPause)
			continue
		}
		if !s.add(conn) {
			conn.Close()
			continue
		}
		s.calls.Go(func() {
			defer s.remove(conn)
			s.serve(conn)
		})
	}
}

// serve runs one connection to its end.
func (s *server) serve(conn net.Conn) {
	secure := conn
	if s.tlsConfig != nil {
		secure = tls.Server(conn, s.tlsConfig)
	}
	if err := s.shake(secure); err != nil {
		return
	}
	s.dispatcher.ServeCodec(&serverCodec{newFramed(secure, conn, idleTimeout)})
}

// shake does the handshake, and counts and logs a side that took part in it and
// failed. What only connects, as a check of the port does, counts as neither.
func (s *server) shake(conn net.Conn) error {
	err := shakeAsServer(conn, s.secret)
	if !errors.Is(err, errUnauthenticated) {
		return err
	}
	unauthenticatedTotal.Inc()
	s.unauthenticated.Do(func() {
		s.logger.Warn("refused on peers_address: an entry VM with another [peers] secret, or a stranger",
			zap.Stringer("from", conn.RemoteAddr()))
	})
	return err
}

// add registers a connection, unless there are too many or the server closes.
func (s *server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *server) remove(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// close ends the listener and all connections.
func (s *server) close(listener net.Listener) {
	listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
}
