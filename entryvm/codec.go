package entryvm

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"bergamotreel/internal/wire"
)

const (
	// MaxMessageBytes bounds a message in either direction, so that a faulty peer can't cause
	// unbounded allocation. The largest messages are snapshots.
	MaxMessageBytes = 32 << 20
	// writeTimeout bounds the write of each chunk of maxWriteBytes, so that a paused peer with
	// a full receive buffer can't block the sender for long. It applies per chunk because a
	// large message takes longer on a slow link.
	writeTimeout  = 5 * time.Second
	maxWriteBytes = 64 << 10
	// serverIdleTimeout is how long a server keeps a connection without a call open.
	serverIdleTimeout = 2 * time.Minute
	// maxPooledBufferBytes is the capacity of the largest buffer that returns to the pool, so
	// that the memory of a snapshot isn't held indefinitely.
	maxPooledBufferBytes = 64 << 10
	// readBufferBytes is the size of each connection's own read buffer, which receives a
	// frame's header and what arrives with it. The remainder of a frame is read directly into
	// a pooled buffer.
	readBufferBytes = 512
	// frameHeaderBytes is the size of the big-endian length prefix of each message.
	frameHeaderBytes = 4
)

var errTooLarge = errors.New("message too large")

// bufferPool is shared by all connections, so that an idle connection holds no message
// buffers. The default codec of net/rpc uses gob, which keeps buffers and type information per
// connection: with it, 400 connections held 60 MB of a 100 MB heap (heap profile of one entry
// VM in a fleet of 195).
var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func getBuffer() *bytes.Buffer {
	b := bufferPool.Get().(*bytes.Buffer)
	b.Reset()
	return b
}

func putBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBufferBytes {
		bufferPool.Put(b)
	}
}

// frameConn sends and receives pairs of CBOR values in frames of bounded length. It keeps no
// state between frames. Fields are numbered: a receiver ignores the fields that it doesn't
// know, and fields that the sender lacks are zero.
type frameConn struct {
	conn net.Conn
	// raw is the connection below TLS. Unlike the TLS connection's, its Close can't block.
	raw    net.Conn
	reader *bufio.Reader
	// frame is the frame being read, nil between two frames. undecoded is its part that has
	// not been decoded yet.
	frame     *bytes.Buffer
	undecoded []byte
	// idleTimeout bounds the wait for the next frame; 0 means no bound.
	idleTimeout time.Duration
}

func newFrameConn(conn, raw net.Conn, idle time.Duration) *frameConn {
	return &frameConn{conn: conn, raw: raw, idleTimeout: idle, reader: bufio.NewReaderSize(conn, readBufferBytes)}
}

// send writes the values as one frame. On an error it closes the connection because part of
// the frame may have been sent.
func (f *frameConn) send(header, body any) error {
	err := f.writeFrame(header, body)
	if err != nil {
		f.raw.Close()
	}
	return err
}

func (f *frameConn) writeFrame(header, body any) error {
	out := getBuffer()
	defer putBuffer(out)
	var length [frameHeaderBytes]byte
	out.Write(length[:])
	if err := wire.AppendMessage(out, header); err != nil {
		return err
	}
	if err := wire.AppendMessage(out, body); err != nil {
		return err
	}
	size := out.Len() - frameHeaderBytes
	if size > MaxMessageBytes {
		return fmt.Errorf("%w: %d bytes to send", errTooLarge, size)
	}
	binary.BigEndian.PutUint32(out.Bytes(), uint32(size))
	for chunk := range slices.Chunk(out.Bytes(), maxWriteBytes) {
		if err := f.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := f.conn.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// readHeader waits for the next frame and decodes its first value.
func (f *frameConn) readHeader(header any) error {
	f.releaseFrame()
	if f.idleTimeout > 0 {
		if err := f.conn.SetReadDeadline(time.Now().Add(f.idleTimeout)); err != nil {
			return err
		}
	}
	if err := f.readFrame(); err != nil {
		return err
	}
	var err error
	f.undecoded, err = wire.UnmarshalFirst(f.frame.Bytes(), header)
	return err
}

// readFrame reads a frame into a pooled buffer.
func (f *frameConn) readFrame() error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(f.reader, header[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxMessageBytes {
		return fmt.Errorf("%w: %d bytes announced", errTooLarge, length)
	}
	f.frame = getBuffer()
	// The buffer grows with the received data, not with the announced length.
	n, err := io.CopyN(f.frame, f.reader, int64(length))
	if err != nil {
		return fmt.Errorf("frame truncated after %d of %d bytes: %w", n, length, err)
	}
	return nil
}

// readBody decodes the second value of the frame; a nil body skips it.
func (f *frameConn) readBody(body any) error {
	defer f.releaseFrame()
	if body == nil {
		return nil
	}
	_, err := wire.UnmarshalFirst(f.undecoded, body)
	return err
}

// releaseFrame returns the frame's buffer to the pool.
func (f *frameConn) releaseFrame() {
	if f.frame != nil {
		putBuffer(f.frame)
	}
	f.frame, f.undecoded = nil, nil
}

// Close implements rpc.ClientCodec and rpc.ServerCodec.
func (f *frameConn) Close() error { return f.raw.Close() }

// frameHeader is the first value of a frame: a call of Method, or the answer to one.
type frameHeader struct {
	Method   string `cbor:"1,keyasint,omitempty"`
	Sequence uint64 `cbor:"2,keyasint,omitempty"`
	// Error is the error of an answer, empty if there is none.
	Error string `cbor:"3,keyasint,omitempty"`
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*frameConn
	// onReadError is called when reading has failed and the connection is dead.
	onReadError func()
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.send(frameHeader{Method: r.ServiceMethod, Sequence: r.Seq}, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var head frameHeader
	err := c.readHeader(&head)
	if err != nil {
		c.onReadError()
	}
	r.ServiceMethod, r.Seq, r.Error = head.Method, head.Sequence, head.Error
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error {
	err := c.readBody(body)
	if err != nil {
		c.onReadError()
	}
	return err
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *frameConn }

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var head frameHeader
	err := c.readHeader(&head)
	r.ServiceMethod, r.Seq = head.Method, head.Sequence
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	return c.send(frameHeader{Method: r.ServiceMethod, Sequence: r.Seq, Error: r.Error}, body)
}

var (
	_ rpc.ClientCodec = (*clientCodec)(nil)
	_ rpc.ServerCodec = (*serverCodec)(nil)
)
