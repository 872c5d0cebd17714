package entryvm

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"time"
)

const (
	// MaxMessageBytes bounds one message either way, so that a broken peer
	// can't make us allocate without bound. The largest is a snapshot.
	MaxMessageBytes = 32 << 20
	// writeTimeout bounds the sending of one message: a paused peer's full
	// receive buffer must not hold the sender.
	writeTimeout = 5 * time.Second
	// idleTimeout is after how long without a call a server closes a connection.
	idleTimeout = 2 * time.Minute
	// keepBuffer is the largest send buffer that a connection keeps for the next
	// message: a snapshot must not hold its memory for ever.
	keepBuffer = 64 << 10
	// frameHeaderBytes is the length prefix of each message, big endian.
	frameHeaderBytes = 4
)

var errTooLarge = errors.New("message too large")

// framed sends and receives gob values in frames of bounded length. The gob
// streams live as long as the connection, so that types are described once.
type framed struct {
	conn net.Conn
	// raw is the connection below TLS. Closing that one can't block.
	raw     net.Conn
	encoder *gob.Encoder
	decoder *gob.Decoder
	// out collects one frame, its header included.
	out bytes.Buffer
	in  frameReader
	// idle bounds the wait for the next frame; 0 is unbounded.
	idle time.Duration
}

func newFramed(conn, raw net.Conn, idle time.Duration) *framed {
	f := &framed{conn: conn, raw: raw, idle: idle}
	f.in.reader = bufio.NewReader(conn)
	f.encoder = gob.NewEncoder(&f.out)
	f.decoder = gob.NewDecoder(&f.in)
	return f
}

// send writes the values as one frame. After an error the connection is of no
// more use: the gob stream has lost its place.
func (f *framed) send(header, body any) error {
	err := f.write(header, body)
	if err != nil {
		f.raw.Close()
	}
	return err
}

func (f *framed) write(header, body any) error {
	f.out.Reset()
	f.out.Write(make([]byte, frameHeaderBytes))
	if err := f.encoder.Encode(header); err != nil {
		return err
	}
	if err := f.encoder.Encode(body); err != nil {
		return err
	}
	length := f.out.Len() - frameHeaderBytes
	if length > MaxMessageBytes {
		return fmt.Errorf("%w: %d bytes to send", errTooLarge, length)
	}
	binary.BigEndian.PutUint32(f.out.Bytes(), uint32(length))
	if err := f.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := f.conn.Write(f.out.Bytes())
	if f.out.Cap() > keepBuffer {
		f.out = bytes.Buffer{}
	}
	return err
}

// next waits for a frame and decodes its first value.
func (f *framed) next(header any) error {
	if f.idle > 0 {
		if err := f.conn.SetReadDeadline(time.Now().Add(f.idle)); err != nil {
			return err
		}
	}
	if err := f.in.nextFrame(); err != nil {
		return err
	}
	return f.decoder.Decode(header)
}

// body decodes the second value; nil passes over it.
func (f *framed) body(body any) error { return f.decoder.Decode(body) }

// Close implements the codecs of net/rpc.
func (f *framed) Close() error { return f.raw.Close() }

// frameReader gives the bytes of one frame after the other. It implements
// io.ByteReader, so that the gob decoder reads no further than it must.
type frameReader struct {
	reader *bufio.Reader
	left   int
}

// nextFrame passes over what is left of a frame and reads the next header.
func (r *frameReader) nextFrame() error {
	if _, err := r.reader.Discard(r.left); err != nil {
		return err
	}
	r.left = 0
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r.reader, header[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxMessageBytes {
		return fmt.Errorf("%w: %d bytes announced", errTooLarge, length)
	}
	r.left = int(length)
	return nil
}

// Read implements io.Reader.
func (r *frameReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n, err := r.reader.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// ReadByte implements io.ByteReader.
func (r *frameReader) ReadByte() (byte, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	b, err := r.reader.ReadByte()
	if err == nil {
		r.left--
	}
	return b, err
}

// clientCodec is the calling side's rpc.ClientCodec.
type clientCodec struct {
	*framed
	// ended is called once reading has failed: the connection is dead.
	ended func()
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.send(r, body) }

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.next(r)
	if err != nil {
		c.ended()
	}
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error {
	err := c.body(body)
	if err != nil {
		c.ended()
	}
	return err
}

// serverCodec is the answering side's rpc.ServerCodec.
type serverCodec struct{ *framed }

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error { return c.next(r) }

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.body(body) }

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error { return c.send(r, body) }

var (
	_ rpc.ClientCodec = (*clientCodec)(nil)
	_ rpc.ServerCodec = (*serverCodec)(nil)
)
