package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"bergamotreel/admission/intake"
	"bergamotreel/refusal"
)

// readBody reads the whole body. It fails with errCallerLeft if nobody waits for the answer any more.
func (h *Handler) readBody(x *exchange) ([]byte, error) {
	x.bodyStarted = true
	memory, body, err := h.bodies.read(context.Background(), x.w, x.r, x.identity.Customer, maxMemoryWait)
	x.body = memory
	if err != nil {
		x.bodyUnread = true
		return nil, err
	}
	if connectionOf(x.ctx()).isClosedByPeer() {
		return nil, errCallerLeft
	}
	return body, nil
}

// errCallerLeft reports that the caller has closed its connection.
var errCallerLeft = errors.New("the caller has left")

// initialBodyBytes is the memory that a body has before any of it has arrived; most bodies fit.
const initialBodyBytes = 4 << 10

// bodyReader reads the bodies of requests within the limits on one body and on all bodies in memory. It takes memory as
// the bytes arrive, and all that is missing once intake.SmallBytes have arrived, so that bodies which wait for
// memory don't hold much of it.
type bodyReader struct {
	held   *heldBytes
	limits Limits
}

// bodyRead is the reading of one body.
type bodyRead struct {
	*bodyReader
	memory *heldBody
	r      *http.Request
	// conn is the caller's connection, nil if it is shared by requests or isn't known.
	conn *limitedConn
	// wait bounds each wait for memory.
	wait   time.Duration
	buffer []byte
	// progressBytes is how much had arrived when the connection's phase began anew.
	progressBytes int64
}

// read reads the whole body of a request of the owner, whose bodies share a part of the memory. The caller must release
// the result's memory, also after an error. If ctx ends, read fails with its error.
// An error that is no refusal.Refusal and not ctx's is errCallerLeft.
func (b *bodyReader) read(ctx context.Context, w http.ResponseWriter, r *http.Request, owner string, wait time.Duration) (*heldBody, []byte, error) {
	if r.ContentLength > b.limits.BodyBytes {
		return nil, nil, b.tooLarge()
	}
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	controller := http.NewResponseController(w)
	interrupt := func() { _ = controller.SetReadDeadline(pastDeadline) }
	stop := context.AfterFunc(ctx, interrupt)
	defer stop()
	reading := &bodyRead{bodyReader: b, memory: b.held.begin(owner, interrupt), r: r, wait: wait}
	if r.ProtoMajor == 1 {
		reading.conn = connectionOf(r.Context())
	}
	reading.conn.enterPhase(phaseBody)
	defer reading.conn.enterPhase(phaseAnswer)
	err := reading.readAll(ctx)
	if err == nil {
		err = reading.complete()
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	if err != nil {
		return reading.memory, nil, err
	}
	// The read deadline applies only until the body is read. If it stayed set, it would
	// expire while net/http reads the connection to detect that the caller disconnects,
	// and would look like a disconnect.
	_ = controller.SetReadDeadline(time.Time{})
	return reading.memory, reading.buffer, nil
}

func (b *bodyReader) tooLarge() *refusal.Refusal {
	return refusal.New(refusal.CodeTooLarge, 0, "body: over %d bytes", b.limits.BodyBytes)
}

// readAll reads the body to its end.
func (b *bodyRead) readAll(ctx context.Context) error {
	for {
		length := int64(len(b.buffer))
		if length == b.r.ContentLength {
			return nil
		}
		space := b.buffer[length:cap(b.buffer)]
		switch {
		case length == b.limits.BodyBytes: // of a chunked body, which may end here
			space = make([]byte, 1)
		case len(space) == 0:
			if err := b.grow(ctx); err != nil {
				return err
			}
			space = b.buffer[length:cap(b.buffer)]
		}
		n, err := b.r.Body.Read(space)
		if length+int64(n) > b.limits.BodyBytes {
			return b.tooLarge()
		}
		b.buffer = b.buffer[:length+int64(n)]
		b.recordProgress(n)
		if errors.Is(err, io.EOF) && (b.r.ContentLength < 0 || length+int64(n) == b.r.ContentLength) {
			return nil
		}
		if err != nil {
			return b.readError(err)
		}
	}
}

// recordProgress records that n more bytes have arrived.
func (b *bodyRead) recordProgress(n int) {
	b.memory.receive(n)
	if length := int64(len(b.buffer)); length-b.progressBytes >= intake.MinProgressBytes {
		b.progressBytes = length
		b.conn.enterPhase(phaseBody)
	}
}

// readError returns the error for a failed read.
func (b *bodyRead) readError(err error) error {
	switch {
	case b.memory.isEvicted():
		return errMemoryFull()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusal.New(refusal.CodeBodyTimeout, shortRetryAfter, "body: did not arrive within %s", b.limits.ReadTimeout)
	case errors.Is(err, io.ErrUnexpectedEOF) || connectionOf(b.r.Context()).isClosedByPeer():
		return errCallerLeft
	default:
		return refusal.New(refusal.CodeBadRequest, 0, "body: could not be read whole")
	}
}

// grow enlarges the buffer.
func (b *bodyRead) grow(ctx context.Context) error {
	size := b.nextSize()
	if size > b.held.maxBody() || size <= int64(cap(b.buffer)) {
		return errMemoryFull()
	}
	if err := b.memory.grow(ctx, size-int64(cap(b.buffer)), b.wait); err != nil {
		return err
	}
	larger := make([]byte, len(b.buffer), size)
	copy(larger, b.buffer)
	b.buffer = larger
	return nil
}

// nextSize returns the size to which the buffer grows.
func (b *bodyRead) nextSize() int64 {
	maxSize := b.r.ContentLength
	if maxSize < 0 {
		maxSize = min(b.limits.BodyBytes, b.held.maxBody())
	}
	size := int64(cap(b.buffer))
	switch {
	case size == 0 && expectsContinue(b.r):
		return maxSize // a caller that is told to go on should not be refused within its body
	case size >= intake.SmallBytes:
		return maxSize
	default:
		return min(max(2*size, initialBodyBytes), maxSize)
	}
}

// complete keeps the body's memory until its release.
func (b *bodyRead) complete() error {
	if len(b.buffer) < cap(b.buffer)/2 {
		b.buffer = append(make([]byte, 0, len(b.buffer)), b.buffer...)
	}
	return b.memory.complete(int64(cap(b.buffer)))
}

// expectsContinue reports whether the caller waits for an interim answer before it sends the body.
func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// closeAfterRefusal prepares the refusal of a request whose body was not read to its end, before it is written. What follows on the connection can't
// be told apart from the remainder, so the connection ends, but not before the caller can have read the refusal.
func closeAfterRefusal(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor != 1 {
		return // the request's stream ends, not the connection
	}
	w.Header().Set("Connection", "close")
	connectionOf(r.Context()).lingerOnClose()
}

// maxDiscardedBody is how much of an unread body net/http reads before it answers, so that the connection can be kept.
const maxDiscardedBody = 256 << 10

// handleUnreadBody prepares the refusal of a request of whose body nothing was read, before it is written. The connection is
// kept if the body is short.
func handleUnreadBody(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.ContentLength > maxDiscardedBody:
		closeAfterRefusal(w, r)
	case r.ContentLength < 0 && r.ProtoMajor == 1:
		connectionOf(r.Context()).lingerOnClose() // net/http closes it if the body is long
	}
}
