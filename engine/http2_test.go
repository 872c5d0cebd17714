package engine_test

import (
	"errors"
	"net/http"
	"testing"

	"bergamotreel/engine"
	"bergamotreel/internal/testkit"
)

// countingTransport counts its calls and fails all of them while fails is set.
type countingTransport struct {
	fixedResponse
	streamsOver string
	fails       bool
	calls       int
}

func (t *countingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.calls++
	if t.fails {
		return nil, errors.New("no HTTP/2 here")
	}
	answer, err := t.fixedResponse.RoundTrip(request)
	answer.Header.Set(engine.HeaderStreamsOver, t.streamsOver)
	return answer, err
}

// Guards against streams that keep failing after an engine without HTTP/2 has
// taken the address of one with it. Streams use HTTP/2 only while the engine at
// the address announces it.
func TestStreamsUseHTTP2OnlyWhileEngineSupportsIt(t *testing.T) {
	ok := fixedResponse{http.StatusOK, "r", event(1, "[DONE]")}
	single := &countingTransport{fixedResponse: ok, streamsOver: engine.StreamsOverHTTP2}
	multiplexed := &countingTransport{fixedResponse: ok}
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
	generate("e1", 1, 0) // support is unknown; the answer announces it
	generate("e1", 0, 1)
	generate("e2", 1, 0)
	multiplexed.fails = true
	single.streamsOver = ""
	generate("e1", 0, 1) // fails and disables HTTP/2
	generate("e1", 1, 0)
	generate("e1", 1, 0)
	generate("e2", 0, 1)
	generate("e2", 1, 0)
}

// Guards against a wrong count of dedicated connections, which deliver the first
// token sooner but must stay few. Two streams may have one; the third is shared
// until one of the two ends. Closing a stream twice frees one connection only.
func TestDedicatedConnectionsAreLimited(t *testing.T) {
	ok := fixedResponse{http.StatusOK, "r", event(1, "[DONE]")}
	single := &countingTransport{fixedResponse: ok, streamsOver: engine.StreamsOverHTTP2}
	multiplexed := &countingTransport{fixedResponse: ok}
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
