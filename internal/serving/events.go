package serving

import (
	"bytes"
	"errors"
	"io"
)

const (
	// eventBuffer is the first size of an event reader's buffer; an event is some
	// hundred bytes as a rule.
	initialEventBuffer = 2 << 10
	// eventMost bounds one event, so that a backend server that never ends one
	// can't fill the memory.
	maxEventSize = 1 << 20
)

var errEventTooLarge = errors.New("event without an end")

// eventReader cuts an event stream into whole events. Failure: a backend server
// that dies in the middle of an event would leave the caller with a part of it,
// which the resumed stream can't continue.
type eventReader struct {
	source io.Reader
	buffer []byte
	// filled is how much of buffer is read and not yet returned, after taken.
	consumed, filled int
	// lastID is the id of the last event that was returned and had one.
	lastID string
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source, buffer: make([]byte, initialEventBuffer)}
}

// next returns the whole events that are there, at least one; they are valid
// until the next call. After the whole stream it fails with io.EOF, possibly
// together with bytes that are no whole event. Any other error means that the
// stream was cut off; the part of an event that came is dropped.
func (r *eventReader) next() ([]byte, error) {
	r.discardConsumed()
	searched := 0
	for {
		if end := lastEventEnd(r.buffer[searched:r.filled]); end > 0 {
			r.consumed = searched + end
			events := r.buffer[:r.consumed]
			r.recordLastID(events)
			return events, nil
		}
		// The next read may complete an end that began in the last bytes.
		searched = max(0, r.filled-len("\r\n\r"))
		if err := r.fill(); errors.Is(err, io.EOF) {
			r.consumed = r.filled
			return r.buffer[:r.filled], io.EOF
		} else if err != nil {
			return nil, err
		}
	}
}

// drop removes what the last call returned.
func (r *eventReader) discardConsumed() {
	copy(r.buffer, r.buffer[r.consumed:r.filled])
	r.filled -= r.consumed
	r.consumed = 0
}

// fill reads at least one byte.
func (r *eventReader) fill() error {
	if r.filled == len(r.buffer) {
		if len(r.buffer) >= maxEventSize {
			return errEventTooLarge
		}
		r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
	}
	n, err := r.source.Read(r.buffer[r.filled:])
	r.filled += n
	if n > 0 {
		return nil // an error comes again
	}
	return err
}

// lastEventEnd returns where the last whole event in data ends, 0 if none does.
func lastEventEnd(data []byte) int {
	end := 0
	for _, blank := range []string{"\n\n", "\n\r\n"} {
		if i := bytes.LastIndex(data, []byte(blank)); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}

// note remembers the last id among the events.
func (r *eventReader) recordLastID(events []byte) {
	const field = "id:"
	i := bytes.LastIndex(events, []byte("\n"+field))
	switch {
	case i >= 0:
		i++
	case bytes.HasPrefix(events, []byte(field)):
		i = 0
	default:
		return
	}
	line, _, _ := bytes.Cut(events[i+len(field):], []byte("\n"))
	r.lastID = string(bytes.TrimSpace(line))
}
