package caller

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"

	"bergamotreel/internal/tcpdial"
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

// lastReadTimeout is how long a shutdown still reads from a connection that waits for a
// request. A request that is on its way then is answered instead of cut off.
const lastReadTimeout = 100 * time.Millisecond

// pastDeadline ends a pending Read at once.
var pastDeadline = time.Unix(1, 0)

// connections is the set of a server's open connections.
type connections struct {
	// maxHeadBytes bounds the memory of heads; see addHead.
	maxHeadBytes int64

	mu   sync.Mutex
	open map[*limitedConn]struct{}
	// byHost counts the open connections of each address.
	byHost map[string]int
	// heads holds the connections' shares of the memory of heads, headBytes their sum.
	heads     map[*limitedConn]int64
	headBytes int64
	stopping  bool
	// sealed is set once no more connections are added, and then empty is closed when
	// the last one is removed.
	sealed     bool
	empty      chan struct{}
	closeEmpty func()
}

func newConnections(maxHeadBytes int64) *connections {
	c := &connections{
		maxHeadBytes: maxHeadBytes, open: make(map[*limitedConn]struct{}), byHost: make(map[string]int),
		heads: make(map[*limitedConn]int64), empty: make(chan struct{}),
	}
	c.closeEmpty = sync.OnceFunc(func() { close(c.empty) })
	return c
}

func (c *connections) add(conn *limitedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = struct{}{}
	c.byHost[conn.host]++
	if c.stopping {
		conn.stop()
	}
}

func (c *connections) remove(conn *limitedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
	if c.byHost[conn.host]--; c.byHost[conn.host] == 0 {
		delete(c.byHost, conn.host)
	}
	c.headBytes -= c.heads[conn]
	delete(c.heads, conn)
	c.closeEmptyIfDone()
}

// stop lets each connection end once it waits for a request, including those that are
// added later.
func (c *connections) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	for conn := range c.open {
		conn.stop()
	}
}

// seal returns a channel that is closed once no connection is open. No connection may be
// added after seal.
func (c *connections) seal() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	c.closeEmptyIfDone()
	return c.empty
}

const (
	// finalBufferBytes bounds what is left to the kernel of one answer at the end of a shutdown, finalBuffersBytes what is left
	// of all.
	finalBufferBytes  = 1 << 20
	finalBuffersBytes = 32 << 20
)

// enlargeSendBuffers enlarges the send buffers of the connections with an answer.
func (c *connections) enlargeSendBuffers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var answering []*limitedConn
	for conn := range c.open {
		if conn.isAnswering() {
			answering = append(answering, conn)
		}
	}
	for _, conn := range answering {
		if tcp, ok := conn.Conn.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(max(socketBufferBytes, min(finalBufferBytes, finalBuffersBytes/len(answering)))) // fails only if the connection is closed
		}
	}
}

func (c *connections) closeEmptyIfDone() {
	if c.sealed && len(c.open) == 0 {
		c.closeEmpty()
	}
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

// limitedConn is a caller's connection with its state. After stop it ends itself as soon
// as it waits for a request: the pending Read fails, and net/http closes the connection.
// A connection from which any byte of a request was read is left to net/http, unless that
// byte came before the answer to the previous request was complete.
type limitedConn struct {
	net.Conn
	release   func()
	overLimit bool
	// host is the caller's address without the port.
	host string
	// all are the open connections of the server.
	all *connections

	mu    sync.Mutex
	state http.ConnState
	// phase is what the connection is doing since phaseSince.
	phase      phase
	phaseSince time.Time
	// evicted is whether the connection was closed to make room.
	evicted bool
	// headSize is the memory of the current request's head, readAheadSize that of the bytes with which the next
	// one may start.
	headSize, readAheadSize int64
	// received reports whether the last Read returned data. While a handler runs,
	// net/http reads ahead by one byte, so at StateIdle received reports whether the
	// next request has begun to arrive.
	received bool
	stopping bool
	// lingers is whether the first Close reads and drops what the caller still sends.
	lingers bool
	// readDeadline is the one that net/http has set. It isn't in force while the
	// connection is stopping and waits for a request.
	readDeadline time.Time
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.beginLastRead() {
		n, err = c.Conn.Read(p)
	}
	c.all.addHead(c, c.endRead(p[:n]))
	return n, err
}

// beginLastRead reports whether to read once more before the connection ends. A Read with
// an expired deadline fails even if data is there.
func (c *limitedConn) beginLastRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping && c.isWaiting() && c.Conn.SetReadDeadline(time.Now().Add(lastReadTimeout)) == nil
}

// endRead restores net/http's deadline if data arrived, since stop may have replaced it. It returns the change of the
// connection's share of the memory of heads.
func (c *limitedConn) endRead(data []byte) (headGrown int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = len(data) > 0
	if !c.received {
		return 0
	}
	if c.phase == phaseWaiting {
		c.setPhase(phaseHead, time.Now())
	}
	if c.stopping {
		_ = c.applyReadDeadline()
	}
	return c.countHead(data)
}

// SetReadDeadline implements net.Conn.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.applyReadDeadline()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	if c.beginLinger() {
		go c.linger() // the caller of Close may hold locks
		return nil
	}
	defer c.release()
	return c.Conn.Close()
}

// CloseWrite ends the sending side. net/http calls it before it closes a connection with unread bytes.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// lingerTimeout bounds how long a closed connection is still read.
const lingerTimeout = 2 * time.Second

// lingerOnClose makes the first Close read and drop what the caller still sends, for up to lingerTimeout. Closing a
// connection with unread bytes resets it, and a reset can destroy the answer that was sent before. A nil connection is left
// alone.
func (c *limitedConn) lingerOnClose() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = true
}

// beginLinger reports whether the connection lingers; a second call returns false.
func (c *limitedConn) beginLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lingers || c.evicted {
		return false
	}
	c.lingers = false
	c.setPhase(phaseLingering, time.Now())
	return true
}

// linger drops what the caller still sends, and closes the connection.
func (c *limitedConn) linger() {
	defer c.release()
	_ = c.CloseWrite()
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	_ = c.Conn.Close()
}

// setResetOnClose sets whether closing the connection resets it, also if the process ends. An
// answer that ends with its connection would look complete if the connection were closed in good
// order within it. A nil connection is left alone.
func (c *limitedConn) setResetOnClose(reset bool) {
	if c == nil {
		return
	}
	linger := -1 // the default of the system
	if reset {
		linger = 0
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(linger) // fails only if the connection is closed
	}
}

// isClosedByPeer reports whether the caller has closed the connection. A nil connection counts as
// open.
func (c *limitedConn) isClosedByPeer() bool { return c != nil && tcpdial.IsClosedByPeer(c.Conn) }

func (c *limitedConn) setState(state http.ConnState) { c.all.addHead(c, c.changeState(state)) }

// changeState returns the change of the connection's share of the memory of heads.
func (c *limitedConn) changeState(state http.ConnState) (headGrown int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	if c.stopping {
		_ = c.applyReadDeadline()
	}
	if state != http.StateIdle {
		return 0
	}
	c.lingers = false // what it was set for has been read
	before := c.heldHead()
	c.setPhase(phaseWaiting, time.Now())
	if c.received {
		c.setPhase(phaseHead, time.Now())
	}
	c.headSize, c.readAheadSize = c.readAheadSize, 0
	return c.heldHead() - before
}

// stop ends the connection once it waits for a request and none arrives within
// lastReadTimeout.
func (c *limitedConn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping {
		return
	}
	c.stopping = true
	_ = c.applyReadDeadline()
}

// isWaiting reports whether no byte of a next request was read. The caller holds c.mu.
func (c *limitedConn) isWaiting() bool { return c.state != http.StateActive && !c.received }

// applyReadDeadline sets the deadline that is in force. The caller holds c.mu.
func (c *limitedConn) applyReadDeadline() error {
	if c.stopping && c.isWaiting() {
		return c.Conn.SetReadDeadline(pastDeadline)
	}
	return c.Conn.SetReadDeadline(c.readDeadline)
}

// isAnswering reports whether a request is being handled.
func (c *limitedConn) isAnswering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == http.StateActive && c.phase == phaseAnswer
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
