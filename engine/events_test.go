package engine

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	_ "bergamotreel/internal/fixedseed"
	"github.com/google/go-cmp/cmp"
	sse "github.com/tmaxmax/go-sse"
	"pgregory.net/rapid"

	"bergamotreel/internal/testkit"
)

// bodyParts are the parts of generated bodies: lines of all kinds, line ends, and
// fragments that form a line only in combination.
var bodyParts = []string{
	"id: 1\n", "id:2\r\n", "id: 3\r", "id\n", "data: {}\n", "data:x\r\n", "data:  y\r", "data\n", "data: a:b\n",
	"event: error\n", "event\r\n", "retry: 5\n", ": comment\n", ":\r", "nonsense\n", "datas: z\n",
	"\n", "\r", "\r\n", "\n\n", "data: ", "id: ", strings.Repeat("long ", 300),
}

// countingReader counts the calls of Read.
type countingReader struct {
	io.Reader
	n int
}

func (c *countingReader) Read(p []byte) (int, error) {
	c.n++
	return c.Reader.Read(p)
}

// Guards against events that are read differently from go-sse, which implements
// the standard.
func TestEventReaderMatchesGoSSE(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := strings.Join(rapid.SliceOfN(rapid.SampledFrom(bodyParts), 0, 40).Draw(t, "body"), "")
		var want, got []sse.Event
		for e, err := range sse.Read(strings.NewReader(body), nil) {
			if err == nil {
				want = append(want, e)
			}
		}
		var source io.Reader = strings.NewReader(body)
		if rapid.Bool().Draw(t, "byte by byte") {
			source = iotest.OneByteReader(source)
		}
		reads := &countingReader{Reader: source}
		reader := newEventReader(reads)
		var data [][]byte
		for {
			pending, before := reader.hasPending(), reads.n
			e, err := reader.next()
			testkit.Need(t, !pending || err == nil && reads.n == before, "%q: next read the body for a pending event, %v", body, err)
			if err == io.EOF {
				break
			}
			testkit.OK(t, err)
			got = append(got, sse.Event{LastEventID: string(e.id), Type: e.name, Data: string(e.data)})
			data = append(data, e.data)
			for i := max(0, len(data)-dataBufferCount); i < len(data); i++ {
				testkit.Need(t, string(data[i]) == got[i].Data, "%q: the data of event %d changed at event %d", body, i, len(data)-1)
			}
		}
		diff := cmp.Diff(want, got)
		testkit.Need(t, diff == "", "%q: %s", body, diff)
	})
}

// Guards against an engine that never ends a line or an event and so fills the
// VM's memory.
func TestOversizedEventIsRejected(t *testing.T) {
	for _, part := range []string{"data: x", "data: x\n"} {
		body := strings.NewReader(strings.Repeat(part, MaxChunkBytes))
		_, err := newEventReader(body).next()
		testkit.That(t, errors.Is(err, errEventTooLarge), "%q: %v", part, err)
	}
}
