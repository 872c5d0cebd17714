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

// bodyParts are the parts of generated bodies: lines of all kinds, their ends,
// and pieces that only mean something together.
var bodyParts = []string{
	"id: 1\n", "id:2\r\n", "id: 3\r", "id\n", "data: {}\n", "data:x\r\n", "data:  y\r", "data\n", "data: a:b\n",
	"event: error\n", "event\r\n", "retry: 5\n", ": comment\n", ":\r", "nonsense\n", "datas: z\n",
	"\n", "\r", "\r\n", "\n\n", "data: ", "id: ", strings.Repeat("long ", 300),
}

// countingReader counts the reads.
type countingReader struct {
	io.Reader
	n int
}

func (c *countingReader) Read(p []byte) (int, error) {
	c.n++
	return c.Reader.Read(p)
}

// go-sse, which reads any engine's events right, must read the same.
func TestEventsAreThoseOfGoSSE(t *testing.T) {
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
		var kept [][]byte
		for {
			pending, before := reader.pending(), reads.n
			e, err := reader.next()
			testkit.Need(t, !pending || err == nil && reads.n == before, "%q: an event that was pending was read for, %v", body, err)
			if err == io.EOF {
				break
			}
			testkit.OK(t, err)
			got = append(got, sse.Event{LastEventID: string(e.id), Type: e.name, Data: string(e.data)})
			kept = append(kept, e.data)
			for i := max(0, len(kept)-dataBuffers); i < len(kept); i++ {
				testkit.Need(t, string(kept[i]) == got[i].Data, "%q: the data of event %d changed at event %d", body, i, len(kept)-1)
			}
		}
		diff := cmp.Diff(want, got)
		testkit.Need(t, diff == "", "%q: %s", body, diff)
	})
}

// An engine that never ends a line or an event must not fill the VM's memory.
func TestEndlessEventIsRefused(t *testing.T) {
	for _, part := range []string{"data: x", "data: x\n"} {
		body := strings.NewReader(strings.Repeat(part, MaxChunkBytes))
		_, err := newEventReader(body).next()
		testkit.That(t, errors.Is(err, errLargeEvent), "%q: %v", part, err)
	}
}
