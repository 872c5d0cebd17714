package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"bergamotreel/engine"
	"bergamotreel/internal/sendonce"
	"bergamotreel/internal/testkit"
)

// cannedTransport answers every request with the same body.
type cannedTransport []byte

func (c cannedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	header := http.Header{engine.HeaderRequestID: request.Header[engine.HeaderRequestID]}
	body := io.NopCloser(bytes.NewReader(c))
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: body, Request: request}, nil
}

// BenchmarkRelayChunk measures the processor time to read and check one chunk of
// a stream; the target is less than 2 µs.
func BenchmarkRelayChunk(b *testing.B) {
	const chunks = 1000
	var body bytes.Buffer
	for i := 1; i <= chunks; i++ {
		fmt.Fprintf(&body, "id: %d\ndata: %s\n\n", i, makeChunk("r1", "null"))
	}
	client := engine.NewClient(&http.Client{Transport: cannedTransport(body.Bytes())})
	b.ReportAllocs()
	for done := 0; done < b.N; {
		stream, err := client.Generate(context.Background(), "engine", engine.Request{ID: "r1", Path: "/v1/completions"})
		testkit.OK(b, err)
		for range min(chunks, b.N-done) {
			if _, err := stream.Next(); err != nil {
				b.Fatal(err)
			}
			done++
		}
		stream.Close()
	}
}

// BenchmarkRelayOverLoopback measures the same over a TCP connection, where the
// server flushes after each chunk as engines do. cpu-ns/op is the processor time
// of both ends, kernel time included.
func BenchmarkRelayOverLoopback(b *testing.B) {
	chunk := makeChunk("r1", "null")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.HeaderRequestID, "r1")
		flusher := http.NewResponseController(w)
		for i := 1; r.Context().Err() == nil; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, chunk)
			_ = flusher.Flush()
		}
	}))
	defer server.Close()
	client := engine.NewClient(sendonce.NewClient())
	address := strings.TrimPrefix(server.URL, "http://")
	stream, err := client.Generate(b.Context(), address, engine.Request{ID: "r1", Path: "/v1/completions"})
	testkit.OK(b, err)
	defer stream.Close()
	start := processorTime()
	for b.Loop() {
		if _, err := stream.Next(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(processorTime()-start)/float64(b.N), "cpu-ns/op")
}

// BenchmarkStatus measures the processor time to read one engine's status,
// kernel time excluded, and the size of the body, by the number of loaded units.
func BenchmarkStatus(b *testing.B) {
	for _, units := range []int{2, 10, 40} {
		status := engine.Status{Incarnation: "3f9a2b7c1d", Role: engine.RoleBoth, MemoryBytes: 80 << 30, Slots: 16,
			Cached: map[string]engine.Tier{}}
		for i := range units {
			name := fmt.Sprintf("adapter-%05d", i)
			status.Units = append(status.Units, engine.Unit{Unit: name, Base: "base-7b", Checkpoint: name + ":1",
				Bytes: 200 << 20, Phase: engine.PhaseReady})
			status.Cached["other-"+name] = engine.TierDisk
		}
		body, err := json.Marshal(status)
		testkit.OK(b, err)
		b.Run(fmt.Sprint(units, "units"), func(b *testing.B) {
			client := engine.NewClient(&http.Client{Transport: cannedTransport(body)})
			b.ReportAllocs()
			for b.Loop() {
				if _, err := client.Status(context.Background(), "engine"); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "body-B/status")
		})
	}
}

// processorTime returns the processor time that this process has used so far.
func processorTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		panic(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// makeChunk returns a chunk in the form in which engines send it.
func makeChunk(id, finish string) string {
	return fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","model":"clerk-assistant",`+
		`"choices":[{"index":0,"delta":{"content":"lagoon "},"finish_reason":%s}]}`, id, finish)
}
