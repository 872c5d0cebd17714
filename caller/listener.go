package caller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// overflowDivisor sets how many connections over the limit are accepted only to be
// refused with a reason: the limit divided by overflowDivisor, plus one.
const overflowDivisor = 16

// limitListener limits the number of open connections.
//
// At the limit, a new connection takes the place of one that waits for its caller. If all have a request that is being
// handled, new ones are over the limit. If a listener stopped accepting, the next callers would wait in the kernel's accept
// queue without an answer until they time out. Therefore a few connections over
// the limit are accepted and marked, and the server answers their requests with a
// refusal. All further connections are closed at once.
type limitListener struct {
	net.Listener
	limiter     *connectionLimiter
	connections *connections
	close       func() error
}

func newLimitListener(listener net.Listener, limiter *connectionLimiter, connections *connections) *limitListener {
	return &limitListener{Listener: listener, limiter: limiter, connections: connections, close: sync.OnceValue(listener.Close)}
}

// Close implements net.Listener. It may be called several times.
func (l *limitListener) Close() error { return l.close() }

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
		case l.limiter.open.Load() < allowed || l.connections.evictOne(time.Now()):
			return l.track(conn, &l.limiter.open, false), nil
		case l.limiter.overflow.Load() < allowed/overflowDivisor+1:
			return l.track(conn, &l.limiter.overflow, true), nil
		default:
			_ = conn.Close()
		}
	}
}

// socketBufferBytes bounds what the kernel keeps for a caller that reads slowly or not at all, and of a caller whose bytes are
// not read yet. By default it keeps up to several megabytes on each of many connections. At a round trip of 10 ms the bound
// allows 6 MB/s.
const socketBufferBytes = 64 << 10

// track counts conn until it is closed.
func (l *limitListener) track(conn net.Conn, count *atomic.Int64, overLimit bool) *limitedConn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(socketBufferBytes) // fails only if the connection is closed
		_ = tcp.SetReadBuffer(socketBufferBytes)
	}
	limited := &limitedConn{Conn: conn, overLimit: overLimit, host: hostOf(conn), all: l.connections, phaseSince: time.Now()}
	limited.release = sync.OnceFunc(func() {
		count.Add(-1)
		l.connections.remove(limited)
	})
	count.Add(1)
	l.connections.add(limited)
	return limited
}

type connectionKey struct{}

// withConnection stores a connection in the context of its requests.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	limited, _ := unwrapConn(conn)
	return context.WithValue(ctx, connectionKey{}, limited)
}

// connectionOf returns the connection of a request, nil if a Server doesn't serve it.
func connectionOf(ctx context.Context) *limitedConn {
	conn, _ := ctx.Value(connectionKey{}).(*limitedConn)
	return conn
}

// isOverLimit reports whether the request's connection is over the limit.
func isOverLimit(ctx context.Context) bool {
	conn := connectionOf(ctx)
	return conn != nil && conn.overLimit
}
