package engine_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"bergamotreel/engine"
)

// cannedTransport answers every request with the same body.
type cannedTransport []byte

func (c cannedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	header := http.Header{engine.HeaderRequestID: request.Header[engine.HeaderRequestID]}
	body := io.NopCloser(bytes.NewReader(c))
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: body, Request: request}, nil
}

// BenchmarkRelayChunk is the processor time for one chunk of a stream, read and
// checked; the goal is under 2 µs.
func BenchmarkRelayChunk(b *testing.B) {
	const chunks = 1000
	var body bytes.Buffer
	for i := 1; i <= chunks; i++ {
		fmt.Fprintf(&body, "id: %d\ndata: %s\n\n", i, chunkOf("r1", "null"))
	}
	client := engine.NewClient(&http.Client{Transport: cannedTransport(body.Bytes())})
	b.ReportAllocs()
	for done := 0; done < b.N; {
		stream, err := client.Generate(context.Background(), "engine", engine.Request{ID: "r1", Path: "/v1/completions"})
		if err != nil {
			b.Fatal(err)
		}
		for range min(chunks, b.N-done) {
			if _, err := stream.Next(); err != nil {
				b.Fatal(err)
			}
			done++
		}
		stream.Close()
	}
}

// chunkOf is a chunk as engines send them.
func chunkOf(id, finish string) string {
	return fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","model":"clerk-assistant",`+
		`"choices":[{"index":0,"delta":{"content":"lagoon "},"finish_reason":%s}]}`, id, finish)
}
