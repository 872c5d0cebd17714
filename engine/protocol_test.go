package engine_test

import (
	"errors"
	"net/http"
	"testing"

	"bergamotreel/engine"
	"bergamotreel/internal/testkit"
)

// roundTrip is a transport that counts.
type roundTrip struct {
	answering
	header string
	fails  bool
	calls  int
}

func (r *roundTrip) RoundTrip(request *http.Request) (*http.Response, error) {
	r.calls++
	if r.fails {
		return nil, errors.New("no HTTP/2 here")
	}
	answer, err := r.answering.RoundTrip(request)
	answer.Header.Set(engine.HeaderStreamsOver, r.header)
	return answer, err
}

// The caller sees no failure that lasts: streams go over HTTP/2 only while the
// engine at the address says that it speaks it.
// The engine speaks it; another one that does not takes its address.
func TestStreamsFollowWhatTheEngineSpeaks(t *testing.T) {
	ok := answering{http.StatusOK, "r", event(1, "[DONE]")}
	single := &roundTrip{answering: ok, header: engine.StreamsOverHTTP2}
	multiplexed := &roundTrip{answering: ok}
	client := engine.NewClient(&http.Client{Transport: single}).WithMultiplexed(&http.Client{Transport: multiplexed}, 0)
	generate := func(address string, wantSingle, wantMultiplexed int) {
		t.Helper()
		single.calls, multiplexed.calls = 0, 0
		if stream, err := client.Generate(t.Context(), address, engine.Request{ID: "r"}); err == nil {
			stream.Close()
		}
		testkit.That(t, single.calls == wantSingle && multiplexed.calls == wantMultiplexed,
			"%d calls over HTTP/1.1, %d over HTTP/2", single.calls, multiplexed.calls)
	}
	generate("e1", 1, 0) // nothing known; the answer tells
	generate("e1", 0, 1)
	generate("e2", 1, 0)
	multiplexed.fails = true
	single.header = ""
	generate("e1", 0, 1) // fails, and is the last
	generate("e1", 1, 0)
	generate("e1", 1, 0)
	generate("e2", 0, 1)
	generate("e2", 1, 0)
}

// The caller's first token comes sooner over a connection of its own, and
// thousands of streams still need only a few.
// Two may have their own; the third is shared, until one of the two ends, once.
func TestOnlySomeStreamsHaveAConnectionOfTheirOwn(t *testing.T) {
	ok := answering{http.StatusOK, "r", event(1, "[DONE]")}
	single := &roundTrip{answering: ok, header: engine.StreamsOverHTTP2}
	multiplexed := &roundTrip{answering: ok}
	client := engine.NewClient(&http.Client{Transport: single}).WithMultiplexed(&http.Client{Transport: multiplexed}, 2)
	generate := func(wantSingle, wantMultiplexed, wantShared int) engine.Stream {
		t.Helper()
		stream, _ := client.Generate(t.Context(), "e", engine.Request{ID: "r"})
		testkit.Need(t, single.calls == wantSingle && multiplexed.calls == wantMultiplexed && client.SharedStreams() == wantShared,
			"%d calls over HTTP/1.1, %d over HTTP/2, %d shared", single.calls, multiplexed.calls, client.SharedStreams())
		return stream
	}
	first := generate(1, 0, 0)
	generate(2, 0, 0)
	shared := generate(2, 1, 1)
	first.Close()
	first.Close()
	shared.Close()
	generate(3, 1, 0)
	generate(3, 2, 1).Close()
	multiplexed.fails = true
	generate(3, 3, 0)
}
