package entryvm

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"bergamotreel/internal/pause"
)

// connSlot holds the current connection of one connKey.
type connSlot struct {
	// lock is held by the caller that checks conn or dials.
	lock chan struct{}
	conn atomic.Pointer[connection]
}

// connection is an established connection.
type connection struct {
	rpc  *rpc.Client
	dead atomic.Bool
	// idleTimer closes the connection after clientIdleTimeout without a call. callsInFlight
	// counts the running calls.
	idleTimer     *time.Timer
	callsInFlight atomic.Int32
	// stallTimeout is how long a call may go without receiving a byte, 0 for no bound.
	// received counts the received bytes; it is nil without a bound.
	received     *countingConn
	stallTimeout time.Duration
}

// countingConn counts the bytes read from a connection.
type countingConn struct {
	net.Conn
	bytesRead atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytesRead.Add(int64(n))
	return n, err
}

// connect returns a connection for the key and whether it was used before.
func (c *Client) connect(ctx context.Context, key connKey) (conn *connection, reused bool, err error) {
	s := c.slot(key)
	select {
	case s.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	defer func() { <-s.lock }()
	if conn := s.conn.Load(); conn != nil && !conn.dead.Load() {
		return conn, true, nil
	}
	conn, err = c.dial(ctx, key)
	if err != nil {
		return nil, false, err
	}
	s.conn.Store(conn)
	return conn, false, nil
}

// slot returns the slot of the key. When it adds a slot it removes those without a live
// connection: VMs are replaced constantly, and the table must not grow without bound.
func (c *Client) slot(key connKey) *connSlot {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.slots[key]; s != nil {
		return s
	}
	for old, s := range c.slots {
		if conn := s.conn.Load(); conn == nil || conn.dead.Load() {
			delete(c.slots, old)
		}
	}
	s := &connSlot{lock: make(chan struct{}, 1)}
	c.slots[key] = s
	return s
}

// dial connects and starts net/rpc.
func (c *Client) dial(ctx context.Context, key connKey) (*connection, error) {
	secure, raw, err := c.dialPeer(ctx, c.dialTCP, key.address, purposeCalls)
	if err != nil {
		return nil, err
	}
	return c.startRPC(secure, raw, key.class.stallTimeout())
}

// dialPeer connects and performs the handshake. It returns the connection and the one below
// TLS.
func (c *Client) dialPeer(ctx context.Context, dial dialFunc, address string, p purpose) (secure, raw net.Conn, err error) {
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	secure = conn
	if c.tlsConfig != nil {
		secure = tls.Client(conn, c.tlsConfig)
	}
	// The function may run after the return, so it must not use the results.
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	err = clientHandshake(secure, c.secret, p)
	if !stop() {
		err = ctx.Err()
	}
	if err != nil {
		conn.Close()
		return nil, nil, fmt.Errorf("handshake: %w", err)
	}
	return secure, conn, nil
}

// startRPC starts net/rpc on a connection that has completed the handshake.
func (c *Client) startRPC(secure, raw net.Conn, stall time.Duration) (*connection, error) {
	var counted *countingConn
	if stall > 0 {
		counted = &countingConn{Conn: secure}
		secure = counted
	}
	f := newFrameConn(secure, raw, 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		f.Close()
		return nil, net.ErrClosed
	}
	conn := &connection{received: counted, stallTimeout: stall}
	c.conns[conn] = struct{}{}
	conn.rpc = rpc.NewClientWithCodec(&clientCodec{f, func() { c.removeConn(conn) }})
	conn.idleTimer = time.AfterFunc(clientIdleTimeout, conn.closeIfIdle)
	return conn, nil
}

// closeIfIdle closes the connection unless a call is in flight. A call that starts
// concurrently fails on the closed connection and is repeated on a fresh one.
func (c *connection) closeIfIdle() {
	if c.callsInFlight.Load() > 0 {
		c.idleTimer.Reset(clientIdleTimeout)
		return
	}
	c.close()
}

// removeConn marks a connection as dead and drops it from the table.
func (c *Client) removeConn(conn *connection) {
	conn.dead.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// close closes the connection; calls in flight on it fail.
func (c *connection) close() {
	c.dead.Store(true)
	c.idleTimer.Stop()
	// Close fails only if the connection is already closed.
	_ = c.rpc.Close()
}

// call performs one call on this connection. If the peer is paused or cut off without closing
// it, the operating system keeps the connection for minutes and every call would run into its
// deadline. Therefore a call that times out closes the connection, and the next call detects
// the failure when it connects.
func (c *connection) call(ctx context.Context, method string, args, reply any) error {
	c.callsInFlight.Add(1)
	defer func() {
		c.callsInFlight.Add(-1)
		c.idleTimer.Reset(clientIdleTimeout)
	}()
	done := make(chan *rpc.Call, 1)
	// Sending may block on a full buffer for up to writeTimeout, so it runs in a goroutine.
	go c.rpc.Go(method, args, reply, done)
	select {
	case finished := <-done:
		return finished.Error
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.close()
		}
		return ctx.Err()
	case <-c.watchForStall(ctx):
		c.close()
		return errStalled
	}
}

// watchForStall returns a channel that is closed once no byte has arrived on the connection
// for its stall timeout before ctx ends. It returns nil if there is no stall timeout.
func (c *connection) watchForStall(ctx context.Context) <-chan struct{} {
	if c.stallTimeout == 0 {
		return nil
	}
	stalled := make(chan struct{})
	go func() {
		for received := int64(-1); received != c.received.bytesRead.Load(); {
			received = c.received.bytesRead.Load()
			if !pause.For(ctx, c.stallTimeout) {
				return
			}
		}
		close(stalled)
	}()
	return stalled
}
