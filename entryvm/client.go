package entryvm

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"bergamotreel/internal/pause"
	"bergamotreel/internal/telemetry"

	"github.com/zeebo/errs"
)

var (
	// ErrUnreachable says that the peer could not be connected to, failed the
	// handshake, or did not answer in time. The message may have arrived.
	ErrUnreachable = errs.New("peer unreachable")
	// ErrRefused says that the peer answered with an error.
	ErrRefused = errs.New("peer refused")
	// errStalled says that an answer did not go on.
	errStalled = errs.New("answer stalled")
)

const (
	// DefaultDialTimeout bounds connecting to a peer in another region.
	DefaultDialTimeout = time.Second
	// callTimeout bounds a call whose context has no earlier deadline. A peer in
	// another region answers within 300 ms, so 10 s leave room for a snapshot on a
	// slow link.
	callTimeout = 10 * time.Second
	// knowledgeStall is how long the answer of a VM that tells all it knows may pause.
	knowledgeStall = time.Second
	// idleAfter is how long a connection stays open without a call. In a fleet of 200 VMs
	// each one asks some keeper for an adapter now and then; kept for ever, that is a
	// connection between any two VMs, 25 KB at either end.
	idleAfter = 15 * time.Second
)

// Client talks to other entry VMs over net/rpc. It keeps a connection to each
// peer and opens another when that breaks. It is safe for concurrent use.
// Messages are read while they are sent, also after a call was given up: don't
// change what was passed to a call.
type Client struct {
	secret    []byte
	dialTCP   func(ctx context.Context, network, address string) (net.Conn, error)
	tlsConfig *tls.Config

	mu     sync.Mutex
	lines  map[lineKey]*line
	conns  map[*connection]struct{}
	closed bool
}

// lineKey names a connection. A call that runs out of time closes its connection, with
// all other calls on it: those that take long and those that may not wait have
// connections of their own.
type lineKey struct {
	address string
	lane    lane
}

// lane is one of the connections to a peer; the zero one is for reports and what else
// has none of its own.
type lane uint8

const (
	// laneBulk is for what may take seconds on a slow link.
	laneBulk lane = iota + 1
	// laneQuota is for what requests wait for.
	laneQuota
	// laneKnowledge is for large answers that come without a break.
	laneKnowledge
)

// stall is how long an answer may pause, 0 for as long as its call may take.
func (l lane) stall() time.Duration {
	if l == laneKnowledge {
		return knowledgeStall
	}
	return 0
}

// line is the place of one connection.
type line struct {
	// turn is held while a caller looks at conn or dials.
	turn chan struct{}
	conn atomic.Pointer[connection]
}

// connection is one established connection.
type connection struct {
	rpc  *rpc.Client
	dead atomic.Bool
	// idle ends the connection after idleAfter without a call; calls counts those under
	// way.
	idle  *time.Timer
	calls atomic.Int32
	// stall is how long nothing may come during a call, 0 for no bound; received counts the
	// bytes that came, nil without a bound.
	received *countedConn
	stall    time.Duration
}

// countedConn counts the bytes that are read from a connection.
type countedConn struct {
	net.Conn
	read atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// NewClient returns a client that proves itself by the fleet secret. A
// dialTimeout of 0 means DefaultDialTimeout; a tlsConfig of nil means TCP
// without TLS. Close it at the end.
func NewClient(secret []byte, dialTimeout time.Duration, tlsConfig *tls.Config) (*Client, error) {
	if err := checkSecret(secret); err != nil {
		return nil, err
	}
	if dialTimeout <= 0 {
		dialTimeout = DefaultDialTimeout
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Client{
		secret:    secret,
		dialTCP:   dialer.DialContext,
		tlsConfig: tlsConfig,
		lines:     map[lineKey]*line{},
		conns:     map[*connection]struct{}{},
	}, nil
}

// Exchange implements Peer. It makes no span: it runs all the time.
func (c *Client) Exchange(ctx context.Context, address string, digests []Digest) ([]Digest, error) {
	reply, err := call[ExchangeReply](ctx, c, lineKey{address: address}, methodExchange, &ExchangeArgs{digests})
	return reply.Digests, err
}

// Want implements Peer.
func (c *Client) Want(ctx context.Context, address string, from string, demand []Demand) error {
	ctx, span := telemetry.Hop(ctx, "entryvm", "want")
	_, err := call[WantReply](ctx, c, lineKey{address: address}, methodWant, &WantArgs{from, demand})
	telemetry.EndHop(span, err)
	return err
}

// Histories implements Peer.
func (c *Client) Histories(ctx context.Context, address string, histories []UnitHistory) error {
	ctx, span := telemetry.Hop(ctx, "entryvm", "histories")
	_, err := call[WantReply](ctx, c, lineKey{address: address}, methodHistories, &HistoriesArgs{histories})
	telemetry.EndHop(span, err)
	return err
}

// Records implements Peer. One that waits makes no span: it runs all the time.
func (c *Client) Records(ctx context.Context, address string, from uint64, wait time.Duration) (Records, error) {
	if wait > 0 {
		return c.records(ctx, address, from, wait)
	}
	ctx, span := telemetry.Hop(ctx, "entryvm", "records")
	reply, err := c.records(ctx, address, from, 0)
	telemetry.EndHop(span, err)
	return reply, err
}

func (c *Client) records(ctx context.Context, address string, from uint64, wait time.Duration) (Records, error) {
	return call[Records](ctx, c, lineKey{address, laneBulk}, methodRecords, &RecordsArgs{from, wait})
}

// Claimed implements Peer.
func (c *Client) Claimed(ctx context.Context, address string, query ClaimQuery) (ClaimReply, error) {
	ctx, span := telemetry.Hop(ctx, "entryvm", "claimed")
	reply, err := call[ClaimReply](ctx, c, lineKey{address: address}, methodClaimed, &query)
	telemetry.EndHop(span, err)
	return reply, err
}

// Claim implements Peer.
func (c *Client) Claim(ctx context.Context, address string, claim ClaimCall) (ClaimResult, error) {
	ctx, span := telemetry.Hop(ctx, "entryvm", "claim")
	reply, err := call[ClaimResult](ctx, c, lineKey{address: address}, methodClaim, &claim)
	telemetry.EndHop(span, err)
	return reply, err
}

// Settle implements Peer.
func (c *Client) Settle(ctx context.Context, address string, settle ClaimCall) (bool, error) {
	ctx, span := telemetry.Hop(ctx, "entryvm", "settle")
	reply, err := call[SettleReply](ctx, c, lineKey{address: address}, methodSettle, &settle)
	telemetry.EndHop(span, err)
	return reply.Stored, err
}

// Close closes all connections; later calls fail.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.conns {
		conn.end()
	}
	return nil
}

// call makes one call. All calls are idempotent, so one that met a connection
// which the peer had closed meanwhile is made again, once, on a fresh one.
func call[Reply any](ctx context.Context, c *Client, key lineKey, method string, args any) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		var none Reply
		conn, reused, err := c.connect(ctx, key)
		if err != nil {
			return none, wrap(ErrUnreachable, err)
		}
		reply := new(Reply)
		err = conn.call(ctx, method, args, reply)
		var refused rpc.ServerError
		switch {
		case err == nil:
			return *reply, nil
		case errors.As(err, &refused):
			return none, wrap(ErrRefused, err)
		case !reused || ctx.Err() != nil:
			return none, wrap(ErrUnreachable, err)
		}
		conn.end()
	}
}

// connect returns the peer's connection and whether it was used before.
func (c *Client) connect(ctx context.Context, key lineKey) (conn *connection, reused bool, err error) {
	l := c.line(key)
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	defer func() { <-l.turn }()
	if conn := l.conn.Load(); conn != nil && !conn.dead.Load() {
		return conn, true, nil
	}
	conn, err = c.dial(ctx, key)
	if err != nil {
		return nil, false, err
	}
	l.conn.Store(conn)
	return conn, false, nil
}

// line returns the peer's line. With each new one it drops those that lead
// nowhere: VMs are replaced all day, and the table must not grow for ever.
func (c *Client) line(key lineKey) *line {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.lines[key]; l != nil {
		return l
	}
	for old, l := range c.lines {
		if conn := l.conn.Load(); conn == nil || conn.dead.Load() {
			delete(c.lines, old)
		}
	}
	l := &line{turn: make(chan struct{}, 1)}
	c.lines[key] = l
	return l
}

// dial connects and does the handshake.
func (c *Client) dial(ctx context.Context, key lineKey) (*connection, error) {
	raw, err := c.dialTCP(ctx, "tcp", key.address)
	if err != nil {
		return nil, err
	}
	secure := raw
	if c.tlsConfig != nil {
		secure = tls.Client(raw, c.tlsConfig)
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	err = shakeAsClient(secure, c.secret)
	if !stop() {
		err = ctx.Err()
	}
	if err != nil {
		raw.Close()
		return nil, fmt.Errorf("handshake: %w", err)
	}
	return c.adopt(secure, raw, key.lane.stall())
}

// adopt starts net/rpc on a connection after its handshake.
func (c *Client) adopt(secure, raw net.Conn, stall time.Duration) (*connection, error) {
	var counted *countedConn
	if stall > 0 {
		counted = &countedConn{Conn: secure}
		secure = counted
	}
	f := newFramed(secure, raw, 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		f.Close()
		return nil, net.ErrClosed
	}
	conn := &connection{received: counted, stall: stall}
	c.conns[conn] = struct{}{}
	conn.rpc = rpc.NewClientWithCodec(&clientCodec{f, func() { c.forget(conn) }})
	conn.idle = time.AfterFunc(idleAfter, conn.endIdle)
	return conn, nil
}

// endIdle ends the connection unless a call is under way. A call that begins meanwhile
// meets a closed connection and is made again on a fresh one.
func (c *connection) endIdle() {
	if c.calls.Load() > 0 {
		c.idle.Reset(idleAfter)
		return
	}
	c.end()
}

// forget notes that a connection is dead.
func (c *Client) forget(conn *connection) {
	conn.dead.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// end closes the connection; calls that wait on it fail.
func (c *connection) end() {
	c.dead.Store(true)
	c.idle.Stop()
	// It fails only where the connection is closed already.
	_ = c.rpc.Close()
}

// call makes one call on this connection. Failure: the peer is cut off without a
// word, or paused; the operating system would go on for minutes, and each call
// would wait out its whole time. So a call that runs out of time closes the
// connection, and the next one finds out by connecting.
func (c *connection) call(ctx context.Context, method string, args, reply any) error {
	c.calls.Add(1)
	defer func() {
		c.calls.Add(-1)
		c.idle.Reset(idleAfter)
	}()
	done := make(chan *rpc.Call, 1)
	// Sending can block on a full buffer up to writeTimeout, so not here.
	go c.rpc.Go(method, args, reply, done)
	select {
	case ended := <-done:
		return ended.Error
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.end()
		}
		return ctx.Err()
	case <-c.stalled(ctx):
		c.end()
		return errStalled
	}
}

// stalled is closed once nothing has come on the connection for its stall time, before ctx
// ends; it is nil without one.
func (c *connection) stalled(ctx context.Context) <-chan struct{} {
	if c.stall == 0 {
		return nil
	}
	out := make(chan struct{})
	go func() {
		for received := int64(-1); received != c.received.read.Load(); {
			received = c.received.read.Load()
			if !pause.For(ctx, c.stall) {
				return
			}
		}
		close(out)
	}()
	return out
}

func wrap(class, cause error) error {
	return Error.Wrap(fmt.Errorf("%w: %w", class, cause))
}

var _ Peer = (*Client)(nil)
