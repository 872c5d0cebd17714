package serving

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

const (
	// initialEventBuffer is the initial size of an event reader's buffer; most
	// events have some hundred bytes.
	initialEventBuffer = 2 << 10
	// maxEventSize bounds one event, so that a backend server that never ends an
	// event can't exhaust the memory.
	maxEventSize = 1 << 20
	// ownEventBuffer is the size up to which each event reader's buffer grows.
	ownEventBuffer = 64 << 10
	// maxSharedEventBytes bounds what the buffers of all event readers take beyond that.
	maxSharedEventBytes = 16 << 20
)

// eventMemory limits the bytes of unfinished events in memory. Without it, backend servers that never
// end an event would take maxEventSize for each stream. It is safe for concurrent use.
type eventMemory struct{ used atomic.Int64 }

// reserve reserves n bytes if they are free.
func (m *eventMemory) reserve(n int) bool {
	if m.used.Add(int64(n)) <= maxSharedEventBytes {
		return true
	}
	m.used.Add(-int64(n))
	return false
}

func (m *eventMemory) release(n int) { m.used.Add(-int64(n)) }

var (
	errEventTooLarge   = errors.New("event without an end")
	errEventMemoryFull = errors.New("too many bytes of unfinished events are held")
)

// eventReader splits an event stream into complete events. If a part of an event
// were forwarded and the backend server died, the resumed stream couldn't continue
// that event.
type eventReader struct {
	source io.Reader
	buffer []byte
	// memory is shared by all readers, reserved what this one has of it.
	memory   *eventMemory
	reserved int
	// buffer[:consumed] has been returned, buffer[consumed:filled] has been read
	// but not yet returned.
	consumed, filled int
}

// newEventReader returns a reader that the caller must close.
func newEventReader(source io.Reader, memory *eventMemory) *eventReader {
	return &eventReader{source: source, buffer: make([]byte, initialEventBuffer), memory: memory}
}

// close releases the reader's memory. The source stays open.
func (r *eventReader) close() {
	r.memory.release(r.reserved)
	r.reserved = 0
}

// next returns the complete events that have been received, at least one; they are
// valid until the next call. At the end of the stream it fails with io.EOF, possibly
// together with remaining bytes that aren't a complete event. Any other error means
// that the stream broke; a partial event is dropped.
func (r *eventReader) next() ([]byte, error) {
	r.discardConsumed()
	searched := 0
	for {
		if end := lastEventEnd(r.buffer[searched:r.filled]); end > 0 {
			r.consumed = searched + end
			return r.buffer[:r.consumed], nil
		}
		// The next read may complete a terminator that starts in the last bytes.
		searched = max(0, r.filled-len("\r\n\r"))
		if err := r.fill(); errors.Is(err, io.EOF) {
			r.consumed = r.filled
			return r.buffer[:r.filled], io.EOF
		} else if err != nil {
			return nil, err
		}
	}
}

// discardConsumed removes the events that the last call of next returned.
func (r *eventReader) discardConsumed() {
	copy(r.buffer, r.buffer[r.consumed:r.filled])
	r.filled -= r.consumed
	r.consumed = 0
}

// fill reads at least one byte.
func (r *eventReader) fill() error {
	if r.filled == len(r.buffer) {
		if err := r.grow(); err != nil {
			return err
		}
	}
	n, err := r.source.Read(r.buffer[r.filled:])
	r.filled += n
	if n > 0 {
		return nil // the next read returns the error again
	}
	return err
}

// grow doubles the buffer.
func (r *eventReader) grow() error {
	size := len(r.buffer)
	switch {
	case size >= maxEventSize:
		return errEventTooLarge
	case size < ownEventBuffer:
	case !r.memory.reserve(size):
		return errEventMemoryFull
	default:
		r.reserved += size
	}
	r.buffer = append(r.buffer, make([]byte, size)...)
	return nil
}

// lastEventEnd returns the end of the last complete event in data, 0 if there is none.
func lastEventEnd(data []byte) int {
	end := 0
	for _, blank := range []string{"\n\n", "\n\r\n"} {
		if i := bytes.LastIndex(data, []byte(blank)); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}

// eventBoundary tracks whether an event stream that is read in pieces is between two events.
// Lines end with LF, CR or CRLF, and an empty line ends an event. Comments belong to no event.
type eventBoundary struct {
	// inLine is whether the current line has begun, inComment whether it is a comment.
	inLine, inComment bool
	// inEvent is whether a line of the current event has been seen.
	inEvent bool
	// afterCR is whether the last byte ended a line as CR: a following LF belongs to it.
	afterCR bool
	// events counts the finished events.
	events int
}

// advance processes the next piece of the stream.
func (b *eventBoundary) advance(piece []byte) {
	for _, c := range piece {
		switch {
		case c == '\n' && b.afterCR:
			b.afterCR = false
		case c == '\n' || c == '\r':
			b.endLine()
			b.afterCR = c == '\r'
		default:
			b.inComment = b.inComment || (!b.inLine && c == ':')
			b.inLine, b.afterCR = true, false
		}
	}
}

func (b *eventBoundary) endLine() {
	switch {
	case !b.inLine:
		if b.inEvent {
			b.events++
		}
		b.inEvent = false
	case !b.inComment:
		b.inEvent = true
	}
	b.inLine, b.inComment = false, false
}

// isInside reports whether the stream has an unfinished event or line.
func (b *eventBoundary) isInside() bool { return b.inLine || b.inEvent }
