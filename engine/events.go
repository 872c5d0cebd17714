package engine

import (
	"bytes"
	"errors"
	"io"
)

const (
	// initialBufferSize holds two chunks of the usual size. Each open stream keeps
	// its buffer while it waits for the next token, so the buffer starts small and
	// grows on demand.
	initialBufferSize = 512
	// doneData is the data of the event that ends a complete answer.
	doneData = "[DONE]"
)

var errEventTooLarge = errors.New("event exceeds the maximum size")

// event is one server-sent event.
type event struct {
	// id is the id of the newest event that had one, as the standard requires. It is
	// valid until the next event is read.
	id []byte
	// name is the event's type, empty for the default type.
	name string
	// data is valid until dataBufferCount more events have been read.
	data []byte
}

// dataBufferCount is the number of events whose data a reader keeps: the newest
// one and the two that StreamChecker inspects when the stream ends.
const dataBufferCount = 3

// maxReusedBuffer is the capacity, in bytes, up to which a buffer is reused, so
// that one long chunk doesn't occupy memory for as long as the stream is open.
const maxReusedBuffer = 4 << 10

// eventReader reads server-sent events (WHATWG HTML, 9.2) from a body. It replaces
// Read of go-sse because it runs once per token: the scanner, strings and
// coroutine of go-sse take three times as long and 10 KB more per stream.
type eventReader struct {
	body io.Reader
	// buffer[start:end] holds the bytes that were read but not yet consumed.
	buffer     []byte
	start, end int
	// afterCR is set after a line that ended in CR: a following LF belongs to the
	// same line end.
	afterCR bool
	id      []byte
	// data holds the buffers for the data of the newest events; data[newest] is the
	// one of the last event.
	data   [dataBufferCount][]byte
	newest int
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{body: body, buffer: make([]byte, initialBufferSize)}
}

// next returns the next event, and io.EOF at the end of the body. An event that
// isn't terminated by an empty line is dropped there.
func (r *eventReader) next() (event, error) {
	var e event
	hasField := false
	r.newest = (r.newest + 1) % dataBufferCount
	for {
		line, err := r.readLine()
		if err != nil {
			return event{}, err
		}
		if len(line) > 0 {
			known, err := r.parseField(&e, line)
			if err != nil {
				return event{}, err
			}
			hasField = hasField || known
			continue
		}
		// Like go-sse and unlike browsers, return an event without data too: it
		// reveals a faulty engine.
		if hasField {
			e.id = r.id
			if cap(e.data) <= maxReusedBuffer {
				r.data[r.newest] = e.data // append may have replaced the buffer
			}
			return e, nil
		}
	}
}

// parseField adds the field in one line to the event and reports whether the
// field is known.
func (r *eventReader) parseField(e *event, line []byte) (bool, error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		return true, r.appendData(e, value)
	case "id":
		r.id = append(r.id[:0], value...)
	case "event":
		e.name = string(value)
	default:
		return false, nil
	}
	return true, nil
}

// appendData appends a data line to the event's data; lines are separated by LF.
func (r *eventReader) appendData(e *event, value []byte) error {
	if len(e.data)+len(value) > MaxChunkBytes {
		return errEventTooLarge
	}
	if e.data == nil {
		e.data = r.dataBuffer(len(value))
	} else {
		e.data = append(e.data, '\n')
	}
	e.data = append(e.data, value...)
	return nil
}

// dataBuffer returns the emptied buffer of the oldest event, or a new one for size
// bytes with some spare capacity: the chunks of a stream differ little in size.
func (r *eventReader) dataBuffer(size int) []byte {
	if buffer := r.data[r.newest]; buffer != nil {
		return buffer[:0]
	}
	return make([]byte, 0, size+size/8)
}

// hasPending reports whether next will return an event without reading the body.
// It recognizes only events in their usual form. Otherwise it would take a comment
// or an incomplete line for an event, and a caller that holds back a chunk until
// the next one would block.
func (r *eventReader) hasPending() bool {
	unread := r.buffer[r.start:r.end]
	return bytes.HasPrefix(unread, eventStart) && bytes.Contains(unread, eventEnd)
}

// eventStart and eventEnd delimit an event in its usual form.
var eventStart, eventEnd = []byte("id: "), []byte("\n\n")

// readLine returns the next line without its end (LF, CR or CRLF). The line is
// valid until the next call.
func (r *eventReader) readLine() ([]byte, error) {
	scanned := 0
	for {
		r.skipLF()
		if i := lineEnd(r.buffer[r.start+scanned : r.end]); i >= 0 {
			return r.consumeLine(scanned + i), nil
		}
		scanned = r.end - r.start
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// skipLF skips the LF of a CRLF whose CR ended the previous line.
func (r *eventReader) skipLF() {
	if !r.afterCR || r.start == r.end {
		return
	}
	r.afterCR = false
	if r.buffer[r.start] == '\n' {
		r.start++
	}
}

// consumeLine removes a line of n bytes and its end from the buffer and returns
// the line.
func (r *eventReader) consumeLine(n int) []byte {
	line := r.buffer[r.start : r.start+n]
	r.afterCR = r.buffer[r.start+n] == '\r'
	r.start += n + 1
	return line
}

// fill makes room in the buffer and reads once into it.
func (r *eventReader) fill() error {
	if r.start > 0 {
		r.end = copy(r.buffer, r.buffer[r.start:r.end])
		r.start = 0
	}
	if r.end > MaxChunkBytes {
		return errEventTooLarge
	}
	if r.end == len(r.buffer) {
		r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
	}
	n, err := r.body.Read(r.buffer[r.end:])
	r.end += n
	if n > 0 {
		return nil // the next read returns the error again
	}
	return err
}

// lineEnd returns the index of the first CR or LF, -1 if there is none.
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
