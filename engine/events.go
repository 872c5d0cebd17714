package engine

import (
	"bytes"
	"errors"
	"io"
)

const (
	// firstEventBuffer holds two usual chunks. Each open stream keeps its buffer
	// while it waits for the next token, so it is small and grows on demand.
	firstEventBuffer = 512
	// doneData is the data of the event that ends a whole answer.
	doneData = "[DONE]"
)

var errLargeEvent = errors.New("event over the largest size")

// event is one server-sent event.
type event struct {
	// id is that of the newest event that had one, as the standard wants; good
	// until the next event.
	id []byte
	// name is empty for the usual kind.
	name string
	// data is good until dataBuffers more events were read.
	data []byte
}

// dataBuffers is how many events' data a reader keeps: the newest one and the
// two that Check looks at when the stream ends.
const dataBuffers = 3

// maxKeptData is the largest buffer used again, in bytes: one long chunk must not
// keep its memory for as long as the stream is open.
const maxKeptData = 4 << 10

// eventReader reads server-sent events (WHATWG HTML, 9.2) from a body. It does
// once a token what go-sse's Read does; that one's scanner, strings and
// coroutine took three times the time and 10 KB more a stream.
type eventReader struct {
	body io.Reader
	// buffer[start:end] is what was read and not yet taken.
	buffer     []byte
	start, end int
	// afterCR is set after a line that ended in CR: an LF belongs to it.
	afterCR bool
	id      []byte
	// data are the buffers of the newest events' data, data[newest] the last.
	data   [dataBuffers][]byte
	newest int
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{body: body, buffer: make([]byte, firstEventBuffer)}
}

// next returns the next event; io.EOF at the end of the body, where an event
// without its empty line does not count.
func (r *eventReader) next() (event, error) {
	var e event
	some := false
	r.newest = (r.newest + 1) % dataBuffers
	for {
		line, err := r.line()
		if err != nil {
			return event{}, err
		}
		if len(line) > 0 {
			known, err := r.field(&e, line)
			if err != nil {
				return event{}, err
			}
			some = some || known
			continue
		}
		// As go-sse, and unlike browsers, give an event that has no data too: an
		// engine that sends one is broken, and that must show.
		if some {
			e.id = r.id
			if cap(e.data) <= maxKeptData {
				r.data[r.newest] = e.data // it may have grown
			}
			return e, nil
		}
	}
}

// field takes one line into the event; it returns whether it knows the field.
func (r *eventReader) field(e *event, line []byte) (bool, error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		return true, r.add(e, value)
	case "id":
		r.id = append(r.id[:0], value...)
	case "event":
		e.name = string(value)
	default:
		return false, nil
	}
	return true, nil
}

// add adds a data line; all but the first follow a line break.
func (r *eventReader) add(e *event, value []byte) error {
	if len(e.data)+len(value) > MaxChunkBytes {
		return errLargeEvent
	}
	if e.data == nil {
		e.data = r.emptyData(len(value))
	} else {
		e.data = append(e.data, '\n')
	}
	e.data = append(e.data, value...)
	return nil
}

// emptyData is the oldest data's buffer, or one of the size wanted. A stream's
// chunks differ little in size.
func (r *eventReader) emptyData(size int) []byte {
	if buffer := r.data[r.newest]; buffer != nil {
		return buffer[:0]
	}
	return make([]byte, 0, size+size/8)
}

// pending tells whether next will return an event without reading the body. It
// looks at the usual form only: else a comment, or a line that is not whole,
// would be taken for an event, and whoever holds a chunk back for it would wait.
func (r *eventReader) pending() bool {
	rest := r.buffer[r.start:r.end]
	return bytes.HasPrefix(rest, usualStart) && bytes.Contains(rest, usualEnd)
}

// usualStart and usualEnd are the bounds of an event in its usual form.
var usualStart, usualEnd = []byte("id: "), []byte("\n\n")

// line returns the next line without its end (LF, CR or both). It is good until
// the next call.
func (r *eventReader) line() ([]byte, error) {
	seen := 0
	for {
		r.skipLF()
		if i := lineEnd(r.buffer[r.start+seen : r.end]); i >= 0 {
			return r.take(seen + i), nil
		}
		seen = r.end - r.start
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// skipLF drops the second byte of a line's end of CR and LF.
func (r *eventReader) skipLF() {
	if !r.afterCR || r.start == r.end {
		return
	}
	r.afterCR = false
	if r.buffer[r.start] == '\n' {
		r.start++
	}
}

// take removes a line of n bytes and its end.
func (r *eventReader) take(n int) []byte {
	line := r.buffer[r.start : r.start+n]
	r.afterCR = r.buffer[r.start+n] == '\r'
	r.start += n + 1
	return line
}

// fill reads once more into the buffer and makes room for it before.
func (r *eventReader) fill() error {
	if r.start > 0 {
		r.end = copy(r.buffer, r.buffer[r.start:r.end])
		r.start = 0
	}
	if r.end > MaxChunkBytes {
		return errLargeEvent
	}
	if r.end == len(r.buffer) {
		r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
	}
	n, err := r.body.Read(r.buffer[r.end:])
	r.end += n
	if n > 0 {
		return nil // an error comes again with the next read
	}
	return err
}

// lineEnd finds the first CR or LF, -1 if there is none.
func lineEnd(data []byte) int {
	lf := bytes.IndexByte(data, '\n')
	if lf >= 0 {
		data = data[:lf]
	}
	if cr := bytes.IndexByte(data, '\r'); cr >= 0 {
		return cr
	}
	return lf
}
