package caller

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
)

// overflowDivisor sets how many connections over the limit are accepted only to be
// refused with a reason: the limit divided by overflowDivisor, plus one.
const overflowDivisor = 16

// limitListener limits the number of open connections.
//
// If a listener stops accepting, the next callers wait in the kernel's accept
// queue without an answer until they time out. Therefore a few connections over
// the limit are accepted and marked, and the server answers their requests with a
// refusal. All further connections are closed at once.
type limitListener struct {
	net.Listener
	limiter *connectionLimiter
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		// Only this goroutine increments the counts, so the checks below can't race
		// with another increment.
		allowed := l.limiter.maxOpen()
		switch {
		case l.limiter.open.Load() < allowed:
			return newLimitedConn(conn, &l.limiter.open, false), nil
		case l.limiter.overflow.Load() < allowed/overflowDivisor+1:
			return newLimitedConn(conn, &l.limiter.overflow, true), nil
		default:
			_ = conn.Close()
		}
	}
}

// limitedConn decrements its connection count when it is closed.
type limitedConn struct {
	net.Conn
	release   func()
	overLimit bool
}

func newLimitedConn(conn net.Conn, count *atomic.Int64, overLimit bool) *limitedConn {
	count.Add(1)
	return &limitedConn{Conn: conn, overLimit: overLimit, release: sync.OnceFunc(func() { count.Add(-1) })}
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

type overLimitKey struct{}

// markOverLimit stores in the context of a connection's requests whether the
// connection is over the limit.
func markOverLimit(ctx context.Context, conn net.Conn) context.Context {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	limited, ok := conn.(*limitedConn)
	return context.WithValue(ctx, overLimitKey{}, ok && limited.overLimit)
}

func isOverLimit(ctx context.Context) bool {
	over, _ := ctx.Value(overLimitKey{}).(bool)
	return over
}
