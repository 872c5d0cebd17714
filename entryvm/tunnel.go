package entryvm

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"bergamotreel/internal/tcpdial"
)

// A tunnel is a connection to a backend server through another entry VM, the gateway. After
// the handshake the client sends TunnelArgs and receives a TunnelReply, each in one frame of
// the package's codec. From then on the client's bytes are forwarded unchanged. The backend
// server's bytes are forwarded in segments with a length before each; an empty segment is the
// end of the connection. Without it, the end of a gateway's process would look like the end of
// an answer that has no length. The empty segment is followed by the number of the client's bytes that the gateway has
// written to the backend server. If it is too small, the end says as little as that of a direct connection which is still
// being written: the server may have broken off. Gateways of an older version end the tunnel instead.
const (
	// segmentHeaderBytes is the size of the big-endian length before each segment.
	segmentHeaderBytes = 2
	// writtenBytes is the size of the big-endian number that follows the empty segment.
	writtenBytes = 8
	// writeEndTimeout bounds how long a gateway waits at the end of a backend server's bytes for the end of a write to it.
	writeEndTimeout = 100 * time.Millisecond
	// tunnelBufferBytes is the size of the buffer for either direction of a tunnel.
	tunnelBufferBytes = 8 << 10
	// tunnelCloseTimeout bounds how long a gateway waits for the client to close a tunnel
	// whose backend server has closed its connection.
	tunnelCloseTimeout = time.Second
)

var (
	// ErrBackendUnreachable reports that the gateway couldn't connect to the backend server.
	ErrBackendUnreachable = errs.New("backend server unreachable from the gateway")
	// ErrBackendRefused reports that the backend server's address refused the gateway's
	// connection. An error of this class is of ErrBackendUnreachable too.
	ErrBackendRefused = errs.New("connection refused to the gateway")
	// ErrTunnelRefused reports that the gateway opens no tunnel to the backend server, for a
	// reason that says nothing about the backend server.
	ErrTunnelRefused = errs.New("tunnel refused by the gateway")
)

// tunnelsTotal counts the tunnels that this process opened for other entry VMs.
var tunnelsTotal = metrics.NewCounter(`bergamotreel_tunnels_total`)

// TunnelArgs requests a tunnel.
type TunnelArgs struct {
	// Backend is the address of the backend server.
	Backend string `cbor:"1,keyasint,omitempty"`
}

// TunnelReply reports whether the tunnel is open.
type TunnelReply struct {
	// Error is why it isn't, empty if it is. Unreachable is whether the gateway couldn't
	// connect to the backend server, Refused whether its address refused the connection.
	Error       string `cbor:"1,keyasint,omitempty"`
	Unreachable bool   `cbor:"2,keyasint,omitempty"`
	Refused     bool   `cbor:"3,keyasint,omitempty"`
}

// BackendDialer connects to backend servers on behalf of other entry VMs.
type BackendDialer interface {
	// DialBackend connects to the backend server at an address. It fails with
	// ErrBackendUnreachable, also ErrBackendRefused, or ErrTunnelRefused.
	DialBackend(ctx context.Context, address string) (net.Conn, error)
}

// WithTunnels makes the server open tunnels with the dialer. Without it, it refuses them.
func WithTunnels(dialer BackendDialer) Option {
	return func(s *server) { s.backendDialer = dialer }
}

// DialBackend connects to the backend server at an address through the entry VM at gateway. It
// fails with ErrUnreachable, ErrTunnelRefused or ErrBackendUnreachable, also ErrBackendRefused.
func (c *Client) DialBackend(ctx context.Context, gateway, address string) (net.Conn, error) {
	secure, raw, err := c.dialPeer(ctx, c.dialTunnel, gateway, purposeTunnel)
	if err != nil {
		return nil, wrapError(ErrUnreachable, err)
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	reader, err := requestTunnel(secure, raw, address)
	if !stop() {
		err = wrapError(ErrUnreachable, ctx.Err())
	}
	if err != nil {
		raw.Close()
		return nil, err
	}
	return &tunnelConn{Conn: secure, reader: reader}, nil
}

// requestTunnel requests a tunnel on a connection that has completed the handshake. It returns
// the reader of the tunnel's segments.
func requestTunnel(conn, raw net.Conn, address string) (*bufio.Reader, error) {
	f := &frameConn{conn: conn, raw: raw, reader: bufio.NewReaderSize(conn, tunnelBufferBytes)}
	if err := f.send(&TunnelArgs{address}, &Empty{}); err != nil {
		return nil, wrapError(ErrUnreachable, err)
	}
	var reply TunnelReply
	if err := f.readHeader(&reply); err != nil {
		return nil, wrapError(ErrUnreachable, err)
	}
	f.releaseFrame()
	switch {
	case reply.Refused:
		return nil, wrapError(ErrBackendUnreachable, wrapError(ErrBackendRefused, errors.New(reply.Error)))
	case reply.Unreachable:
		return nil, wrapError(ErrBackendUnreachable, errors.New(reply.Error))
	case reply.Error != "":
		return nil, wrapError(ErrTunnelRefused, errors.New(reply.Error))
	}
	return f.reader, conn.SetWriteDeadline(time.Time{})
}

// tunnelConn is the client's end of a tunnel.
type tunnelConn struct {
	net.Conn
	reader *bufio.Reader
	// remaining is the number of bytes left of the current segment.
	remaining int
	// end is the result of Read after the last segment, nil before.
	end error
	// written counts the bytes that were sent, those of a pending Write included.
	written atomic.Int64
}

// Write implements net.Conn.
func (c *tunnelConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n - len(p)))
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the backend server has closed its
// connection and everything that was sent before reached it.
func (c *tunnelConn) Read(p []byte) (int, error) {
	for c.remaining == 0 {
		if c.end != nil {
			return 0, c.end
		}
		// A header that is only peeked isn't lost if a read deadline interrupts it.
		header, err := c.reader.Peek(segmentHeaderBytes)
		if err != nil {
			return 0, truncatedError(err)
		}
		c.remaining = int(binary.BigEndian.Uint16(header))
		_, _ = c.reader.Discard(segmentHeaderBytes)
		if c.remaining == 0 {
			c.end = c.readEnd()
		}
	}
	n, err := c.reader.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, truncatedError(err)
}

// readEnd reads what follows the empty segment. It returns the error that the tunnel ends with.
func (c *tunnelConn) readEnd() error {
	number, err := c.reader.Peek(writtenBytes)
	switch {
	case errors.Is(err, io.EOF) && len(number) == 0:
		return io.EOF // from a gateway that sends no number
	case err != nil:
		return truncatedError(err)
	case int64(binary.BigEndian.Uint64(number)) < c.written.Load():
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// truncatedError returns the error for a tunnel that ended with err before its last segment.
func truncatedError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// serveTunnel answers a client's request for a tunnel and then forwards bytes until either
// side closes its connection.
func (s *server) serveTunnel(ctx context.Context, conn, raw net.Conn) {
	f := newFrameConn(conn, raw, handshakeTimeout)
	var args TunnelArgs
	if err := f.readHeader(&args); err != nil {
		return
	}
	f.releaseFrame()
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	backend, reply := s.dialBackend(ctx, args.Backend)
	if backend != nil {
		defer backend.Close()
	}
	if err := f.send(&reply, &Empty{}); err != nil || backend == nil {
		return
	}
	if err := conn.SetWriteDeadline(time.Time{}); err != nil {
		return
	}
	tunnelsTotal.Inc()
	detectSilence(raw)
	t := &tunnel{client: conn, raw: raw, fromClient: f.reader, backend: backend, writing: make(chan struct{}, 1)}
	t.forward()
}

// detectSilence makes a connection fail within seconds once its other side is silent, so that
// the backend server does not work for an entry VM that has lost power.
func detectSilence(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// The error is ignored: a connection that is already broken fails at its next use.
		_ = tcp.SetKeepAliveConfig(tcpdial.KeepAlive)
	}
}

func (s *server) dialBackend(ctx context.Context, address string) (net.Conn, TunnelReply) {
	if s.backendDialer == nil {
		return nil, TunnelReply{Error: "this entry VM opens no tunnels"}
	}
	backend, err := s.backendDialer.DialBackend(ctx, address)
	if err != nil {
		return nil, TunnelReply{Error: err.Error(), Unreachable: errors.Is(err, ErrBackendUnreachable), Refused: errors.Is(err, ErrBackendRefused)}
	}
	return backend, TunnelReply{}
}

// tunnel is the gateway's side of a tunnel.
type tunnel struct {
	// client is the client's connection, raw the one below it.
	client, raw, backend net.Conn
	// fromClient reads from client.
	fromClient *bufio.Reader
	// writing is held while bytes are written to the backend server. written counts those that were.
	writing chan struct{}
	written atomic.Int64
}

// Write writes a client's bytes to the backend server.
func (t *tunnel) Write(p []byte) (int, error) {
	t.writing <- struct{}{}
	defer func() { <-t.writing }()
	n, err := t.backend.Write(p)
	t.written.Add(int64(n))
	return n, err
}

// forward forwards bytes in both directions until the client has closed the tunnel. If the
// client closes it first, the backend server's connection is closed too, so that it stops
// working on a request whose caller has left.
func (t *tunnel) forward() {
	var toBackend sync.WaitGroup
	toBackend.Go(func() {
		defer t.backend.Close()
		buffer := make([]byte, tunnelBufferBytes)
		_, err := io.CopyBuffer(writerOnly{t}, openTunnelReader{t}, buffer)
		if err != nil {
			// The backend server may answer without reading the whole request. Closing a
			// connection with unread bytes would reset it and discard the answer.
			_, _ = io.CopyBuffer(writerOnly{io.Discard}, readerOnly{t.fromClient}, buffer)
		}
	})
	if t.forwardToClient() != nil {
		t.client.Close()
	} else {
		_ = t.client.SetReadDeadline(time.Now().Add(tunnelCloseTimeout))
	}
	toBackend.Wait()
}

// errTunnelClosed reports that the client has closed the tunnel.
var errTunnelClosed = errors.New("the tunnel is closed")

// openTunnelReader reads what a client sends until it closes the tunnel. Nobody waits for the answer to
// bytes that are read after that.
type openTunnelReader struct{ *tunnel }

func (r openTunnelReader) Read(p []byte) (int, error) {
	n, err := r.fromClient.Read(p)
	if n > 0 && tcpdial.IsClosedByPeer(r.raw) {
		return 0, errTunnelClosed
	}
	return n, err
}

// forwardToClient forwards the backend server's bytes. It returns nil if the backend server
// closed its connection and the client was sent everything before that.
func (t *tunnel) forwardToClient() error {
	buffer := make([]byte, segmentHeaderBytes+tunnelBufferBytes)
	for {
		n, err := t.backend.Read(buffer[segmentHeaderBytes:])
		if n > 0 {
			if err := t.writeSegment(buffer, n); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return t.writeEnd()
		}
		if err != nil {
			return err
		}
	}
}

// writeSegment sends the first n bytes after the header as one segment.
func (t *tunnel) writeSegment(buffer []byte, n int) error {
	binary.BigEndian.PutUint16(buffer, uint16(n))
	_, err := t.client.Write(buffer[:segmentHeaderBytes+n])
	return err
}

// writeEnd sends the empty segment and the number of bytes that were written to the backend server.
func (t *tunnel) writeEnd() error {
	timeout := time.NewTimer(writeEndTimeout)
	defer timeout.Stop()
	select {
	case t.writing <- struct{}{}:
		<-t.writing
	case <-timeout.C:
	}
	end := binary.BigEndian.AppendUint64(make([]byte, segmentHeaderBytes), uint64(t.written.Load()))
	_, err := t.client.Write(end)
	return err
}

// writerOnly and readerOnly hide other methods, so that io.CopyBuffer uses its buffer.
type (
	writerOnly struct{ io.Writer }
	readerOnly struct{ io.Reader }
)
