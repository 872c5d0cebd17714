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
)

// bodyParts are the parts of generated bodies: lines of all kinds, their ends,
// and pieces that only mean something together.
var bodyParts = []string{
	"id: 1\n", "id:2\r\n", "id: 3\r", "id\n", "data: {}\n", "data:x\r\n", "data:  y\r", "data\n", "data: a:b\n",
	"event: error\n", "event\r\n", "retry: 5\n", ": comment\n", ":\r", "nonsense\n", "datas: z\n",
	"\n", "\r", "\r\n", "\n\n", "data: ", "id: ", strings.Repeat("long ", 300),
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
		reader := newEventReader(source)
		e, err := reader.next()
		for ; err == nil; e, err = reader.next() {
			got = append(got, sse.Event{LastEventID: e.id, Type: e.name, Data: string(e.data)})
		}
		if err != io.EOF {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("%q: %s", body, diff)
		}
	})
}

// An engine that never ends a line or an event must not fill the VM's memory.
func TestEndlessEventIsRefused(t *testing.T) {
	for _, part := range []string{"data: x", "data: x\n"} {
		body := strings.NewReader(strings.Repeat(part, MaxChunk))
		if _, err := newEventReader(body).next(); !errors.Is(err, errLargeEvent) {
			t.Errorf("%q: %v", part, err)
		}
	}
}
