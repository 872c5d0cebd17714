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
	// maxConnections bounds the open connections of a server. In the exchange topology some
	// dozens of peers connect to one VM.
	maxConnections = 1024
	// acceptRetryDelay is the pause after a failed accept, for instance when no file
	// descriptors are left.
	acceptRetryDelay = 100 * time.Millisecond
	// unauthenticatedLogInterval is the minimum time between two log lines on unauthenticated
	// peers: an entry VM with a different secret connects several times a second.
	unauthenticatedLogInterval = time.Minute
)

// unauthenticatedTotal counts the connections whose other side failed to prove that it knows
// the fleet secret.
var unauthenticatedTotal = metrics.NewCounter(`bergamotreel_entryvm_unauthenticated_total`)

// Option configures a server.
type Option func(*server)

// WithLogger sets the logger for unauthenticated peers; by default nothing is logged. A VM
// with a different secret serves requests, but no other VM receives its messages. Without the
// log line the only symptom is that the VM is missing from the views of all others.
func WithLogger(logger *zap.Logger) Option {
	return func(s *server) { s.logger = logger }
}

// Serve answers peers on the listener until ctx ends. Then it closes all connections and
// returns when their calls have ended. A peer must know the fleet secret. A nil tlsConfig
// means TCP without TLS.
func Serve(ctx context.Context, listener net.Listener, secret []byte, handler Handler, tlsConfig *tls.Config, options ...Option) error {
	return serve(ctx, listener, secret, serviceName, &service{handler}, tlsConfig, options...)
}

// serve answers the calls of one net/rpc service.
func serve(ctx context.Context, listener net.Listener, secret []byte, name string, receiver any, tlsConfig *tls.Config, options ...Option) error {
	if err := checkSecret(secret); err != nil {
		return err
	}
	dispatcher := rpc.NewServer()
	if err := dispatcher.RegisterName(name, receiver); err != nil {
		return Error.Wrap(err)
	}
	s := &server{
		secret:             secret,
		dispatcher:         dispatcher,
		tlsConfig:          tlsConfig,
		conns:              map[net.Conn]struct{}{},
		logger:             zap.NewNop(),
		unauthenticatedLog: rate.Sometimes{Interval: unauthenticatedLogInterval},
	}
	for _, option := range options {
		option(s)
	}
	defer s.calls.Wait()
	stop := context.AfterFunc(ctx, func() { s.close(listener) })
	defer stop()
	return s.acceptConns(ctx, listener)
}

// server is the state of one run of Serve.
type server struct {
	secret     []byte
	dispatcher *rpc.Server
	tlsConfig  *tls.Config
	calls      sync.WaitGroup
	logger     *zap.Logger
	// backendDialer connects tunnels to backend servers, nil if there are none.
	backendDialer BackendDialer
	// unauthenticatedLog limits the rate of log lines on unauthenticated peers.
	unauthenticatedLog rate.Sometimes

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

func (s *server) acceptConns(ctx context.Context, listener net.Listener) error {
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
			pause.For(ctx, acceptRetryDelay)
			continue
		}
		if !s.addConn(conn) {
			conn.Close()
			continue
		}
		s.calls.Go(func() {
			defer s.removeConn(conn)
			s.serveConn(ctx, conn)
		})
	}
}

// serveConn serves a connection until it ends.
func (s *server) serveConn(ctx context.Context, conn net.Conn) {
	secure := conn
	if s.tlsConfig != nil {
		secure = tls.Server(conn, s.tlsConfig)
	}
	p, err := s.handshake(secure)
	if err != nil {
		return
	}
	if p == purposeTunnel {
		s.serveTunnel(ctx, secure, conn)
		return
	}
	s.dispatcher.ServeCodec(&serverCodec{newFrameConn(secure, conn, serverIdleTimeout)})
}

// handshake performs the handshake, and counts and logs a peer that sent a wrong proof. A
// peer that only connects, such as a port check, is neither counted nor logged.
func (s *server) handshake(conn net.Conn) (purpose, error) {
	p, err := serverHandshake(conn, s.secret)
	if !errors.Is(err, errUnauthenticated) {
		return p, err
	}
	unauthenticatedTotal.Inc()
	s.unauthenticatedLog.Do(func() {
		s.logger.Warn("refused on peers_address: an entry VM with another [peers] secret, or a stranger",
			zap.Stringer("from", conn.RemoteAddr()))
	})
	return p, err
}

// addConn registers a connection. It returns false if there are too many or the server is
// closing.
func (s *server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *server) removeConn(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// close closes the listener and all connections.
func (s *server) close(listener net.Listener) {
	listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
}
