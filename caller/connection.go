package caller

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"

	"go.uber.org/zap/zapcore"
)

// ConnectionCounts holds the numbers of open connections by their state. A connection
// that shares several requests (HTTP/2) counts once.
type ConnectionCounts struct {
	// New connections have not sent a byte yet.
	New int
	// Idle connections have had an answer and have not sent a byte since.
	Idle int
	// Reading connections have sent a part of a request's header.
	Reading int
	// Answering connections have a request that is being handled.
	Answering int
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (c ConnectionCounts) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddInt("new", c.New)
	encoder.AddInt("idle", c.Idle)
	encoder.AddInt("reading", c.Reading)
	encoder.AddInt("answering", c.Answering)
	return nil
}

// connections is the set of a server's open connections.
type connections struct {
	mu   sync.Mutex
	open map[*limitedConn]struct{}
}

func newConnections() *connections {
	return &connections{open: make(map[*limitedConn]struct{})}
}

func (c *connections) add(conn *limitedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = struct{}{}
}

func (c *connections) remove(conn *limitedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

func (c *connections) count() ConnectionCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var counts ConnectionCounts
	for conn := range c.open {
		conn.addTo(&counts)
	}
	return counts
}

// limitedConn is a caller's connection with its state.
type limitedConn struct {
	net.Conn
	release   func()
	overLimit bool

	mu    sync.Mutex
	state http.ConnState
	// received reports whether the last Read returned data. While a handler runs,
	// net/http reads ahead by one byte, so at StateIdle received reports whether the
	// next request has begun to arrive.
	received bool
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = n > 0
	return n, err
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

func (c *limitedConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
}

func (c *limitedConn) addTo(counts *ConnectionCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == http.StateActive:
		counts.Answering++
	case c.received:
		counts.Reading++
	case c.state == http.StateIdle:
		counts.Idle++
	default:
		counts.New++
	}
}

// trackState is the http.Server's ConnState hook.
func trackState(conn net.Conn, state http.ConnState) {
	if limited, ok := unwrapConn(conn); ok {
		limited.setState(state)
	}
}

// unwrapConn returns the limitedConn below conn, which may be a TLS connection.
func unwrapConn(conn net.Conn) (*limitedConn, bool) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	limited, ok := conn.(*limitedConn)
	return limited, ok
}
