package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"bergamotreel/caller"
	"bergamotreel/engine"
	"bergamotreel/internal/testkit"
	"bergamotreel/service"
)

func TestServiceCallIsForwarded(t *testing.T) {
	var got caller.ServiceCall
	h := caller.New(&fakeBackend{call: func(_ context.Context, c caller.ServiceCall) (service.Answer, error) {
		got = c
		header := http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Request-Id": {"theirs"}, "Location": {"/b/1"}}
		return service.Answer{Status: 201, Header: header, Body: []byte("booked")}, nil
	}}, caller.Limits{})
	r := request("POST", "/services/booking/book/a%2Fb?day=1", "key-rental", "pan")
	for name, value := range map[string]string{
		"Idempotency-Key": "k 1", "Connection": "close, X-Mine", "X-Mine": "1", "Te": "trailers",
		"X-Request-Id": "guess", "X-HTTP-Method-Override": "PUT", "Accept": "text/plain",
	} {
		r.Header.Set(name, value)
	}
	w := serve(h, r)
	want := service.Call{
		RequestID: w.Header().Get("X-Request-Id"), Method: "POST", Path: "/book/a%2Fb?day=1",
		Header: http.Header{"Accept": {"text/plain"}, "Idempotency-Key": {"k 1"}}, Body: []byte("pan"),
	}
	testkit.That(t, got.ReserveAnswer != nil, "the answer takes memory without a limit")
	got.ReserveAnswer = nil // functions can't be compared
	testkit.NoDiff(t, want, got.Call)
	testkit.That(t, got.AtMostOnce && got.IdempotencyKey == "k 1" && got.Service.Name == "booking", "got %+v", got)
	id := w.Header().Get("X-Request-Id")
	if w.Code != 201 || w.Body.String() != "booked" || w.Header().Get("X-Hop") != "" || w.Header().Get("Location") == "" || len(id) < 20 {
		t.Errorf("answer %d %v %s", w.Code, w.Header(), w.Body)
	}
}

// A caller spells the path of a booking differently. The service would still run it as a
// booking; if the entry VM treated it as repeatable, a retry could book twice.
func TestOtherPathSpellingsStayAtMostOnce(t *testing.T) {
	for _, path := range []string{"/book", "//book", "/./book", "/%62ook", "/x/../book", "/%2e/book", "/book?x=1"} {
		var got caller.ServiceCall
		h := caller.New(&fakeBackend{call: func(_ context.Context, c caller.ServiceCall) (service.Answer, error) {
			got = c
			return service.Answer{Status: 200}, nil
		}}, caller.Limits{})
		r := request("POST", "/services/booking"+path, "key-rental", "")
		w := serve(h, r)
		// A redirect runs nothing; the caller repeats its POST at the new path.
		testkit.That(t, w.Code == http.StatusTemporaryRedirect || w.Code == 200 && got.AtMostOnce, "%s: %d, once %v", path, w.Code, got.AtMostOnce)
	}
}

// For any body, the engine must get either nothing or the caller's JSON with only stream
// changed.
func FuzzBody(f *testing.F) {
	for _, seed := range []string{goodChat, goodStream, `{"stream":null,"model":"clerk","messages":[0],"max_tokens":9}`, "{}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var got []byte
		h := caller.New(&fakeBackend{generate: func(_ context.Context, g caller.Generation, sink caller.Sink) error {
			got = g.Body
			return sink.WriteChunk(engine.Chunk{Position: 1, Data: []byte("{}")})
		}}, caller.Limits{})
		w := serve(h, request("POST", chat, "key-rental", string(body)))
		if got == nil {
			testkit.Need(t, w.Code/100 == 4, "refused with %d", w.Code)
			return
		}
		var before, after map[string]json.RawMessage
		testkit.Need(t, json.Unmarshal(body, &before) == nil && json.Unmarshal(got, &after) == nil, "%q became %q", body, got)
		before["stream"] = json.RawMessage("true")
		testkit.NoDiff(t, before, after)
	})
}

// discard is a ResponseWriter that discards everything.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}
func (d discard) Flush()                      {}

const benchmarkChunk = `{"id":"chatcmpl-1","object":"chat.completion.chunk","created":1764700000,"model":"clerk",` +
	`"choices":[{"index":0,"delta":{"content":" tenor"},"finish_reason":null}]}`

// tokens returns a Generate that sends n chunks.
func tokens(n int) func(context.Context, caller.Generation, caller.Sink) error {
	return func(_ context.Context, _ caller.Generation, sink caller.Sink) error {
		for i := range n {
			if err := sink.WriteChunk(engine.Chunk{Position: uint64(i + 1), Data: []byte(benchmarkChunk)}); err != nil {
				return err
			}
		}
		return nil
	}
}

// BenchmarkToken measures this package's work for one streamed token.
func BenchmarkToken(b *testing.B) {
	h := caller.New(&fakeBackend{generate: tokens(b.N)}, caller.Limits{})
	r := request("POST", chat, "key-rental", goodStream)
	b.ReportAllocs()
	b.ResetTimer()
	h.ServeHTTP(discard{http.Header{}}, r)
}

// BenchmarkTokenOverTCP measures one streamed token including net/http, the loopback and
// the reading client.
func BenchmarkTokenOverTCP(b *testing.B) {
	server := httptest.NewServer(caller.New(&fakeBackend{generate: tokens(b.N)}, caller.Limits{}))
	defer server.Close()
	r := request("POST", server.URL+chat, "key-rental", goodStream)
	r.RequestURI = ""
	b.ReportAllocs()
	b.ResetTimer()
	answer, err := http.DefaultClient.Do(r)
	testkit.OK(b, err)
	defer answer.Body.Close()
	buffer := make([]byte, 64<<10)
	for err == nil {
		_, err = answer.Body.Read(buffer)
	}
}

// BenchmarkRequest measures this package's work for one request with a prompt of 4 KiB
// and one token.
func BenchmarkRequest(b *testing.B) {
	h := caller.New(&fakeBackend{generate: tokens(1)}, caller.Limits{})
	body := strings.Replace(goodStream, "hi", strings.Repeat("steelpan", 512), 1)
	b.ReportAllocs()
	for b.Loop() {
		h.ServeHTTP(discard{http.Header{}}, request("POST", chat, "key-rental", body))
	}
}

// BenchmarkOpenStream reports the memory of one open stream as the metric B/stream: heap
// and stacks, including the body with its prompt of 4 KiB. The clients are bare
// connections without buffers, so that they hardly add to it.
func BenchmarkOpenStream(b *testing.B) {
	release := make(chan bool)
	handler := caller.New(&fakeBackend{generate: func(ctx context.Context, g caller.Generation, sink caller.Sink) error {
		_ = sink.WriteChunk(engine.Chunk{Position: 1, Data: []byte(benchmarkChunk)})
		<-release
		_ = g.Body
		return errors.New("released")
	}}, caller.Limits{})
	server := caller.NewServer(handler, caller.Limits{}, nil)
	listener, err := caller.Listen(b.Context(), "127.0.0.1:0")
	testkit.OK(b, err)
	go func() { _ = server.Serve(listener) }()
	r := request("POST", chat, "key-rental", strings.Replace(goodStream, "hi", strings.Repeat("steelpan", 512), 1))
	var sent bytes.Buffer
	testkit.OK(b, r.Write(&sent))
	before := usedMemory()
	conns := make([]net.Conn, 0, b.N)
	header := make([]byte, 1)
	b.ResetTimer()
	for range b.N {
		conn, err := net.Dial("tcp", listener.Addr().String())
		testkit.OK(b, err)
		conns = append(conns, conn)
		if _, err := conn.Write(sent.Bytes()); err != nil {
			b.Fatal(err)
		}
		if _, err := conn.Read(header); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(usedMemory()-before)/float64(b.N), "B/stream")
	close(release)
	for _, conn := range conns {
		_ = conn.Close()
	}
	_ = server.Shutdown(b.Context())
}

// usedMemory returns the bytes of heap in use after a garbage collection plus the stacks.
func usedMemory() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
