package entryvm

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"bergamotreel/internal/tcpdial"
	"bergamotreel/internal/telemetry"

	"github.com/zeebo/errs"
)

var (
	// ErrUnreachable reports that connecting to the peer or the handshake failed, or that the
	// peer did not answer in time. The peer may have received the message.
	ErrUnreachable = errs.New("peer unreachable")
	// ErrRefused reports that the peer answered with an error.
	ErrRefused = errs.New("peer refused")
	// errStalled reports that no more bytes of an answer arrived within the stall timeout.
	errStalled = errs.New("answer stalled")
)

const (
	// DefaultDialTimeout bounds the time to connect to a peer, which may be in another
	// region.
	DefaultDialTimeout = time.Second
	// callTimeout bounds a call whose context has no earlier deadline. A peer in another
	// region answers within 300 ms, so 10 s leave room for a snapshot on a slow link.
	callTimeout = 10 * time.Second
	// knowledgeStallTimeout is the longest pause allowed while the answer to a Knowledge call
	// arrives.
	knowledgeStallTimeout = time.Second
	// clientIdleTimeout is how long a connection without a call stays open. In a fleet of 200
	// VMs each VM occasionally asks some keeper for an adapter. If these connections stayed
	// open, every two VMs would end up connected, at 25 KB of memory on either side.
	clientIdleTimeout = 15 * time.Second
)

// Client calls other entry VMs over net/rpc. It reuses the connections to each peer and
// reconnects when one breaks. It is safe for concurrent use. A message may still be read by
// the sender after its call has been abandoned, so arguments must not be modified after they
// were passed to a call.
type Client struct {
	secret  []byte
	dialTCP dialFunc
	// dialTunnel connects tunnels, on which the silence of a gateway must be noticed within
	// seconds.
	dialTunnel dialFunc
	tlsConfig  *tls.Config

	mu     sync.Mutex
	slots  map[connKey]*connSlot
	conns  map[*connection]struct{}
	closed bool
}

// dialFunc makes a connection, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// connKey identifies a connection. A call that times out closes its connection and so fails
// all other calls on it. Therefore slow calls and latency-critical calls have connections of
// their own.
type connKey struct {
	address string
	class   callClass
}

// callClass separates the calls to a peer by connection. The zero value is for reports and
// all other calls without a class of their own.
type callClass uint8

const (
	// classBulk is for calls that may take seconds on a slow link.
	classBulk callClass = iota + 1
	// classQuota is for calls that requests wait for.
	classQuota
	// classKnowledge is for large answers that arrive without long pauses.
	classKnowledge
)

// stallTimeout returns how long an answer may pause, or 0 if only the call's deadline bounds
// it.
func (c callClass) stallTimeout() time.Duration {
	if c == classKnowledge {
		return knowledgeStallTimeout
	}
	return 0
}

// NewClient returns a client that authenticates with the fleet secret. A dialTimeout of 0
// means DefaultDialTimeout; a nil tlsConfig means TCP without TLS. The caller must close the
// client.
func NewClient(secret []byte, dialTimeout time.Duration, tlsConfig *tls.Config) (*Client, error) {
	if err := checkSecret(secret); err != nil {
		return nil, err
	}
	if dialTimeout <= 0 {
		dialTimeout = DefaultDialTimeout
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Client{
		secret:     secret,
		dialTCP:    dialer.DialContext,
		dialTunnel: tcpdial.DialDiscardOnClose,
		tlsConfig:  tlsConfig,
		slots:      map[connKey]*connSlot{},
		conns:      map[*connection]struct{}{},
	}, nil
}

// Exchange implements Peer. It creates no span because it runs continuously.
func (c *Client) Exchange(ctx context.Context, address string, digests []Digest) ([]Digest, error) {
	reply, err := call[ExchangeReply](ctx, c, connKey{address: address}, methodExchange, &ExchangeArgs{digests})
	return reply.Digests, err
}

// Want implements Peer.
func (c *Client) Want(ctx context.Context, address string, from string, demand []Demand) error {
	ctx, span := telemetry.StartSpan(ctx, "entryvm", "want")
	_, err := call[WantReply](ctx, c, connKey{address: address}, methodWant, &WantArgs{from, demand})
	telemetry.EndSpan(span, err)
	return err
}

// Histories implements Peer.
func (c *Client) Histories(ctx context.Context, address string, histories []UnitHistory) error {
	ctx, span := telemetry.StartSpan(ctx, "entryvm", "histories")
	_, err := call[WantReply](ctx, c, connKey{address: address}, methodHistories, &HistoriesArgs{histories})
	telemetry.EndSpan(span, err)
	return err
}

// Records implements Peer. A call that waits for records creates no span because such calls
// run continuously.
func (c *Client) Records(ctx context.Context, address string, from uint64, wait time.Duration) (Records, error) {
	if wait > 0 {
		return c.records(ctx, address, from, wait)
	}
	ctx, span := telemetry.StartSpan(ctx, "entryvm", "records")
	reply, err := c.records(ctx, address, from, 0)
	telemetry.EndSpan(span, err)
	return reply, err
}

func (c *Client) records(ctx context.Context, address string, from uint64, wait time.Duration) (Records, error) {
	return call[Records](ctx, c, connKey{address, classBulk}, methodRecords, &RecordsArgs{from, wait})
}

// Claimed implements Peer.
func (c *Client) Claimed(ctx context.Context, address string, query ClaimQuery) (ClaimReply, error) {
	ctx, span := telemetry.StartSpan(ctx, "entryvm", "claimed")
	reply, err := call[ClaimReply](ctx, c, connKey{address: address}, methodClaimed, &query)
	telemetry.EndSpan(span, err)
	return reply, err
}

// Claim implements Peer.
func (c *Client) Claim(ctx context.Context, address string, claim ClaimCall) (ClaimResult, error) {
	ctx, span := telemetry.StartSpan(ctx, "entryvm", "claim")
	reply, err := call[ClaimResult](ctx, c, connKey{address: address}, methodClaim, &claim)
	telemetry.EndSpan(span, err)
	return reply, err
}

// Settle implements Peer.
func (c *Client) Settle(ctx context.Context, address string, settle ClaimCall) (bool, error) {
	ctx, span := telemetry.StartSpan(ctx, "entryvm", "settle")
	reply, err := call[SettleReply](ctx, c, connKey{address: address}, methodSettle, &settle)
	telemetry.EndSpan(span, err)
	return reply.Stored, err
}

// Close closes all connections. Later calls fail.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.conns {
		conn.close()
	}
	return nil
}

// call performs one call. All calls are idempotent, so a call that fails on a reused
// connection, which the peer may have closed in the meantime, is repeated on a fresh one. A
// call on a fresh connection is not repeated.
func call[Reply any](ctx context.Context, c *Client, key connKey, method string, args any) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		var zero Reply
		conn, reused, err := c.connect(ctx, key)
		if err != nil {
			return zero, wrapError(ErrUnreachable, err)
		}
		reply := new(Reply)
		err = conn.call(ctx, method, args, reply)
		var refused rpc.ServerError
		switch {
		case err == nil:
			return *reply, nil
		case errors.As(err, &refused):
			return zero, wrapError(ErrRefused, err)
		case !reused || ctx.Err() != nil:
			return zero, wrapError(ErrUnreachable, err)
		}
		conn.close()
	}
}

func wrapError(class, cause error) error {
	return Error.Wrap(fmt.Errorf("%w: %w", class, cause))
}

var _ Peer = (*Client)(nil)
