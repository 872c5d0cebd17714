package serving

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"testing"
	"testing/iotest"

	"bergamotreel/internal/testkit"
)

// readEvents reads a stream to its end. It returns the bytes that next returned, the
// last id, and the error at the end.
func readEvents(source io.Reader) (whole []byte, lastID string, err error) {
	r := newEventReader(source, &eventMemory{})
	defer r.close()
	var order eventOrder
	for {
		events, err := r.next()
		whole = append(whole, events...)
		_, _ = order.accept(events)
		if err != nil {
			return whole, string(order.lastID), err
		}
	}
}

func TestEventReader(t *testing.T) {
	tests := []struct{ name, stream, whole, lastID string }{
		{"one", "id: 1\ndata: x\n\n", "id: 1\ndata: x\n\n", "1"},
		{"carriage returns", "id: 1\r\n\r\nid: 2\r\nda", "id: 1\r\n\r\n", "1"},
		{"without id", "data: x\n\ndata: y\n\nid", "data: x\n\ndata: y\n\n", ""},
		{"id later in the event", "version: 7\nid: 12\n\n", "version: 7\nid: 12\n\n", "12"},
		{"cut in the id", "id: 1\n\nid: 2", "id: 1\n\n", "1"},
		{"cut before the blank line", "id: 1\n\nid: 2\ndata: y\n", "id: 1\n\n", "1"},
	}
	for _, test := range tests {
		for name, chop := range map[string]func(io.Reader) io.Reader{
			"whole": func(r io.Reader) io.Reader { return r }, "by byte": iotest.OneByteReader,
		} {
			cutOff := io.MultiReader(chop(bytes.NewReader([]byte(test.stream))), iotest.ErrReader(io.ErrUnexpectedEOF))
			whole, lastID, err := readEvents(cutOff)
			testkit.That(t, string(whole) == test.whole && lastID == test.lastID && errors.Is(err, io.ErrUnexpectedEOF),
				"%s, %s: got %q, %q, %v", test.name, name, whole, lastID, err)
		}
	}
}

// endlessEvent is a stream whose only event has no end. Read counts the bytes that were read of it.
type endlessEvent struct{ read int }

func (e *endlessEvent) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	e.read += len(p)
	return len(p), nil
}

// Guards against streams with events without end that together take a VM's memory.
func TestEventsWithoutEndShareMemory(t *testing.T) {
	const streams = 100
	var memory eventMemory
	held := 0
	var readers []*eventReader
	for range streams {
		source := &endlessEvent{}
		r := newEventReader(source, &memory)
		readers = append(readers, r)
		_, err := r.next()
		testkit.That(t, errors.Is(err, errEventTooLarge) || errors.Is(err, errEventMemoryFull), "got %v", err)
		held += source.read
	}
	testkit.That(t, held <= streams*ownEventBuffer+maxSharedEventBytes, "%d streams hold %d bytes", streams, held)
	for _, r := range readers {
		r.close()
	}
	large := append(bytes.Repeat([]byte("x"), maxEventSize/2), "\n\n"...)
	events, err := newEventReader(bytes.NewReader(large), &memory).next()
	testkit.That(t, err == nil && len(events) == len(large), "a large event after them: %d bytes, %v", len(events), err)
}

// FuzzEventReader checks that a complete stream passes unchanged however it is split
// into reads, and that only complete events of a broken stream pass.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\n\n"), uint8(3))
	f.Add([]byte("\n\n\r\n\r\n\n"), uint8(1))
	f.Fuzz(func(t *testing.T, stream []byte, _ uint8) {
		whole, _, err := readEvents(iotest.HalfReader(bytes.NewReader(stream)))
		testkit.That(t, errors.Is(err, io.EOF) && bytes.Equal(whole, stream), "got %q, %v of %q", whole, err, stream)
		part, _, err := readEvents(io.MultiReader(bytes.NewReader(stream), iotest.ErrReader(io.ErrUnexpectedEOF)))
		testkit.That(t, errors.Is(err, io.ErrUnexpectedEOF) && bytes.HasPrefix(stream, part), "got %q, %v", part, err)
		testkit.That(t, len(part) == lastEventEnd(stream), "got %q of %q", part, stream)
	})
}

// Guards against a stream that is cut off within an event and looks whole, and against a whole one
// that looks cut off, however it is split into reads.
func TestEventBoundary(t *testing.T) {
	for _, test := range []struct {
		stream string
		inside bool
	}{
		{"", false},
		{"data: x\n\n", false},
		{"data: x\r\n\r\n", false},
		{"data: x\r\r", false},
		{"data: x\n\n\n", false},
		{": comment\n", false},
		{"data: x\n\n: comment\n", false},
		{"d", true},
		{"data: x", true},
		{"data: x\n", true},
		{"data: x\r\n", true},
		{"data: x\n: comment\n", true},
		{"data: x\n\nid: 2\ndata", true},
		{": comm", true},
	} {
		for size := 1; size <= len(test.stream)+1; size++ {
			var b eventBoundary
			for piece := range slices.Chunk([]byte(test.stream), size) {
				b.advance(piece)
			}
			testkit.That(t, b.isInside() == test.inside, "%q in pieces of %d: inside an event: %t", test.stream, size, b.isInside())
		}
	}
}
