package caller

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
)

// overflowShare is the part of Limits.Connections that is accepted on top, only
// to be told why it is refused.
const overflowShare = 16

// limitListener bounds open connections.
//
// A listener that just stops accepting leaves the next callers waiting in the
// kernel's queue, where nobody tells them anything until they time out. So a
// few connections over the limit are taken and marked, and the server answers
// them with a refusal; any beyond these are closed at once.
type limitListener struct {
	net.Listener
	bound *connectionBound
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		// Only this goroutine adds.
		allowed := l.bound.allowed()
		switch {
		case l.bound.open.Load() < allowed:
			return newLimitedConn(conn, &l.bound.open, false), nil
		case l.bound.over.Load() < allowed/overflowShare+1:
			return newLimitedConn(conn, &l.bound.over, true), nil
		default:
			_ = conn.Close()
		}
	}
}

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	giveBack func()
	over     bool
}

func newLimitedConn(conn net.Conn, count *atomic.Int64, over bool) *limitedConn {
	count.Add(1)
	return &limitedConn{Conn: conn, over: over, giveBack: sync.OnceFunc(func() { count.Add(-1) })}
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.giveBack()
	return c.Conn.Close()
}

type overLimitKey struct{}

// markOverLimit hands a connection's mark on to its requests.
func markOverLimit(ctx context.Context, conn net.Conn) context.Context {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	limited, ok := conn.(*limitedConn)
	return context.WithValue(ctx, overLimitKey{}, ok && limited.over)
}

func overLimit(ctx context.Context) bool {
	over, _ := ctx.Value(overLimitKey{}).(bool)
	return over
}
