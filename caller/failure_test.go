package caller_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotreel/caller"
	"bergamotreel/engine"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
	"bergamotreel/service"
)

const engineLostEvent = `{"error":{"code":"outcome_unknown","message":"engine lost","ran":"maybe","retry_after_ms":0}}`

// After two chunks of a stream the backend fails, panics, or repeats or skips a chunk and
// reports success. The caller must get an error event, no [DONE] and an incomplete body;
// otherwise it would take the truncated answer for a complete one.
func TestBrokenStreamLooksIncomplete(t *testing.T) {
	internalError := func(message string) string {
		return `{"error":{"code":"internal","message":"` + message + `","ran":"maybe","retry_after_ms":0}}`
	}
	sendPosition := func(position uint64) func(caller.Sink) error {
		return func(sink caller.Sink) error {
			_ = sink.WriteChunk(engine.Chunk{Position: position, Data: []byte("{}")})
			return nil
		}
	}
	tests := map[string]struct {
		fault func(caller.Sink) error
		want  string
	}{
		"fails":   {func(caller.Sink) error { return refusal.NewMaybeRan(refusal.CodeOutcomeUnknown, "engine lost") }, engineLostEvent},
		"panics":  {func(caller.Sink) error { panic("bug") }, internalError("internal error")},
		"repeats": {sendPosition(2), internalError("answer out of order: chunk 2 after 2")},
		"skips":   {sendPosition(4), internalError("answer out of order: chunk 4 after 2")},
	}
	for name, test := range tests {
		backend := &fakeBackend{generate: func(ctx context.Context, g caller.Generation, sink caller.Sink) error {
			_ = chunks(nil, "{}", "{}")(ctx, g, sink)
			return test.fault(sink)
		}}
		server := httptest.NewServer(caller.New(backend, caller.Limits{}))
		r := request("POST", server.URL+chat, "key-rental", goodStream)
		r.RequestURI = ""
		answer, err := http.DefaultClient.Do(r)
		testkit.OK(t, err)
		body, err := io.ReadAll(answer.Body)
		testkit.That(t, errors.Is(err, io.ErrUnexpectedEOF), "%s: the body ended with %v", name, err)
		got := readEvents(strings.NewReader(string(body)))
		diff := cmp.Diff([]string{"1  {}", "2  {}", "2 error " + test.want}, got)
		testkit.That(t, diff == "", "%s: %s", name, diff)
		answer.Body.Close()
		server.Close()
	}
}

// A collected answer (stream false) breaks. The caller must get one refusal and no part
// of the text, even if the backend reports success.
func TestBrokenCollectedAnswerIsRefused(t *testing.T) {
	lost := refusal.NewMaybeRan(refusal.CodeOutcomeUnknown, "engine lost")
	tests := map[string]struct {
		generate func(context.Context, caller.Generation, caller.Sink) error
		status   int
	}{
		"fails":     {chunks(lost, `{"id":"a"}`), 504},
		"other":     {chunks(errors.New("odd"), `{"id":"a"}`), 500},
		"no chunk":  {chunks(nil), 502},
		"malformed": {chunks(nil, `{`), 502},
		"too large": {chunks(nil, `{"id":"`+strings.Repeat("a", 100)+`"}`), 413},
		"choice":    {chunks(nil, `{"choices":[{"index":1000000}]}`), 502},
		"panics":    {func(context.Context, caller.Generation, caller.Sink) error { panic("bug") }, 500},
	}
	for name, test := range tests {
		h := caller.New(&fakeBackend{generate: test.generate}, caller.Limits{AnswerBytes: 100})
		w := serve(h, request("POST", chat, "key-rental", goodChat))
		testkit.That(t, w.Code == test.status && strings.Contains(w.Body.String(), `"ran":"maybe"`), "%s: %d %s", name, w.Code, w.Body)
	}
}

// Over HTTP/2 a body has no last chunk that could be left out, so the stream must be
// reset after the error event.
func TestBrokenStreamIsResetOverHTTP2(t *testing.T) {
	tlsServer := httptest.NewUnstartedServer(nil)
	tlsServer.EnableHTTP2 = true
	tlsServer.StartTLS()
	defer tlsServer.Close()
	lost := refusal.NewMaybeRan(refusal.CodeOutcomeUnknown, "engine lost")
	handler := caller.New(&fakeBackend{generate: chunks(lost, "{}")}, caller.Limits{})
	server := caller.NewServer(handler, caller.Limits{}, &tls.Config{Certificates: tlsServer.TLS.Certificates})
	listener, err := caller.Listen(t.Context(), "127.0.0.1:0")
	testkit.OK(t, err)
	ended := make(chan error)
	go func() { ended <- server.Serve(listener) }()
	r := request("POST", "https://"+listener.Addr().String()+chat, "key-rental", goodStream)
	r.RequestURI = ""
	answer, err := tlsServer.Client().Do(r)
	testkit.OK(t, err)
	body, err := io.ReadAll(answer.Body)
	got := readEvents(strings.NewReader(string(body)))
	diff := cmp.Diff([]string{"1  {}", "1 error " + engineLostEvent}, got)
	testkit.That(t, diff == "" && err != nil && answer.ProtoMajor == 2, "HTTP/%d ended with %v; %s", answer.ProtoMajor, err, diff)
	answer.Body.Close()
	_ = server.Close()
	testkit.NoError(t, <-ended)
}

// A caller requests a collected answer and does not read it. Without a write deadline the
// answer would stay in memory indefinitely.
func TestUnreadCollectedAnswerIsReleased(t *testing.T) {
	backend := &fakeBackend{generate: chunks(nil, `{"choices":[{"index":0,"delta":{"content":"`+strings.Repeat("a", 64<<10)+`"}}]}`)}
	runServer(t, backend, caller.Limits{WriteTimeout: time.Second}, func(t *testing.T, _ *caller.Server, network memoryNet) {
		conn := network.dial()
		start := time.Now()
		send(conn, request("POST", chat, "key-rental", goodChat))
		time.Sleep(time.Minute)
		answer, _ := io.ReadAll(conn)
		testkit.That(t, !strings.HasSuffix(string(answer), "}"), "still held after %v: %d bytes", time.Since(start), len(answer))
	})
}

// An entry VM that has just started has no contracts yet. If it refused a key, model or
// service as unknown instead of as not ready, the caller would give up instead of
// retrying.
func TestUnknownNamesAreNotReadyBeforeContracts(t *testing.T) {
	h := caller.New(&fakeBackend{ready: errors.New("no contract read yet")}, caller.Limits{})
	for _, r := range []*http.Request{
		request("POST", chat, "not-known-yet", goodChat), request("POST", chat, "key-gone", goodChat),
		request("GET", "/v1/models/new", "key-rental", ""), request("GET", "/services/new/x", "key-rental", ""),
		request("POST", chat, "key-rental", strings.Replace(goodChat, "clerk", "new", 1)),
	} {
		w := serve(h, r)
		testkit.That(t, w.Code == 503 && w.Header().Get("Retry-After") == "1", "%s: %d %s", r.URL, w.Code, w.Body)
	}
}

// One customer sends requests faster than they complete. Its bodies may take half of
// HeldBytes; further requests of it are refused, and another customer is still served.
func TestBurstOfBodiesDoesNotBlockOtherCustomers(t *testing.T) {
	var h *caller.Handler
	var inner []int
	h = caller.New(&fakeBackend{generate: func(ctx context.Context, g caller.Generation, sink caller.Sink) error {
		if len(inner) == 0 {
			inner = append(inner, 0)
			inner = append(inner, serve(h, request("POST", chat, "key-rental", goodChat)).Code)
			other := strings.Replace(goodChat, "clerk", "counsel", 1)
			inner = append(inner, serve(h, request("POST", chat, "key-advice", other)).Code)
		}
		return chunks(nil, "{}")(ctx, g, sink)
	}}, caller.Limits{HeldBytes: int64(3 * len(goodChat))})
	for range 2 { // the second round checks that the first released its bytes
		inner = nil
		outer := serve(h, request("POST", chat, "key-rental", goodChat)).Code
		diff := cmp.Diff([]int{0, 429, 200}, inner)
		testkit.That(t, diff == "" && outer == 200, "%v %v", outer, diff)
	}
}

// memoryNet is a net.Listener over net.Pipe, which works with virtual time.
type memoryNet chan net.Conn

func (m memoryNet) Accept() (net.Conn, error) {
	if conn, ok := <-m; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}
func (m memoryNet) Close() error   { close(m); return nil }
func (m memoryNet) Addr() net.Addr { return &net.TCPAddr{} }

func (m memoryNet) dial() net.Conn {
	client, server := net.Pipe()
	m <- server
	return client
}

// runServer runs do with a server in virtual time and shuts the server down afterwards.
func runServer(t *testing.T, b *fakeBackend, limits caller.Limits, do func(*testing.T, *caller.Server, memoryNet)) {
	synctest.Test(t, func(t *testing.T) {
		network := make(memoryNet)
		server := caller.NewServer(caller.New(b, limits), limits, nil)
		ended := make(chan error)
		go func() { ended <- server.Serve(network) }()
		do(t, server, network)
		testkit.NoError(t, server.Shutdown(t.Context()))
		testkit.NoError(t, <-ended)
	})
}

func send(conn net.Conn, r *http.Request) { go func() { _ = r.Write(conn) }() }

func readAnswer(t *testing.T, conn net.Conn) *http.Response {
	return testkit.Value(http.ReadResponse(bufio.NewReader(conn), nil))(t)
}

// A caller sends its header at one byte per second without end (slow loris). No size
// limit stops it, so without the read timeout such connections would accumulate.
func TestSlowHeaderTimesOut(t *testing.T) {
	runServer(t, &fakeBackend{}, caller.Limits{ReadTimeout: 5 * time.Second}, func(t *testing.T, _ *caller.Server, network memoryNet) {
		conn := network.dial()
		start := time.Now()
		stopped := make(chan bool)
		go func() {
			defer close(stopped)
			for _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nX: "); err == nil; time.Sleep(time.Second) {
				_, err = io.WriteString(conn, "x")
			}
		}()
		_, _ = io.ReadAll(conn)
		testkit.Equal(t, "time to its end", time.Since(start), 5*time.Second)
		<-stopped
	})
}

// A caller sends more than the limit in a body without a length, and then stalls. The refusal
// must not wait for the remainder of the body, which net/http would read otherwise.
func TestTooLargeBodyIsRefusedBeforeItsEnd(t *testing.T) {
	runServer(t, &fakeBackend{}, caller.Limits{BodyBytes: 4}, func(t *testing.T, _ *caller.Server, network memoryNet) {
		conn := network.dial()
		start := time.Now()
		go func() {
			_, _ = io.WriteString(conn, "POST /services/booking/book HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-rental\r\n"+
				"Transfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n")
		}()
		answer := readAnswer(t, conn)
		testkit.That(t, answer.StatusCode == 413 && answer.Close, "%v", answer)
		testkit.Equal(t, "time to the answer", time.Since(start), 0)
	})
}

// The caller disconnects before the first token. Generate's context must end, or the
// engine would keep generating for nobody.
func TestCallerDisconnectCancelsGenerate(t *testing.T) {
	backend := &fakeBackend{}
	runServer(t, backend, caller.Limits{}, func(t *testing.T, _ *caller.Server, network memoryNet) {
		started, stopped := make(chan bool), make(chan error)
		backend.generate = func(ctx context.Context, _ caller.Generation, _ caller.Sink) error {
			started <- true
			<-ctx.Done()
			stopped <- ctx.Err()
			return ctx.Err()
		}
		conn := network.dial()
		send(conn, request("POST", chat, "key-rental", goodStream))
		<-started
		conn.Close()
		testkit.WantError(t, "Generate's context", <-stopped, context.Canceled)
	})
}

// Guards against a request that is carried out although its caller left before it was read.
func TestRequestOfCallerThatLeftUnreadIsDropped(t *testing.T) {
	backend := &fakeBackend{}
	began := make(chan struct{}, 100)
	backend.generate = func(context.Context, caller.Generation, caller.Sink) error {
		began <- struct{}{}
		return nil
	}
	listener := testkit.Value(caller.Listen(t.Context(), "127.0.0.1:0"))(t)
	server := caller.NewServer(caller.New(backend, caller.Limits{}), caller.Limits{}, nil)
	defer server.Close()
	for range cap(began) {
		conn := testkit.Value(net.Dial("tcp", listener.Addr().String()))(t)
		testkit.OK(t, request("POST", chat, "key-rental", goodStream).Write(conn))
		conn.Close()
	}
	go func() { _ = server.Serve(listener) }()
	conn := testkit.Value(net.Dial("tcp", listener.Addr().String()))(t)
	defer conn.Close()
	send(conn, request("POST", chat, "key-rental", goodStream)) // accepted after all others
	<-began
	time.Sleep(100 * time.Millisecond)
	testkit.Equal(t, "requests of callers that had left", len(began), 0)
}

// The caller stops reading in the middle of a stream without disconnecting. Without the
// write timeout the stream would occupy an engine's slot indefinitely.
func TestStreamNotReadTimesOut(t *testing.T) {
	backend := &fakeBackend{}
	runServer(t, backend, caller.Limits{WriteTimeout: time.Second}, func(t *testing.T, _ *caller.Server, network memoryNet) {
		done := make(chan error)
		backend.generate = func(_ context.Context, _ caller.Generation, sink caller.Sink) (err error) {
			for position := uint64(1); err == nil; position++ {
				err = sink.WriteChunk(engine.Chunk{Position: position, Data: []byte("{}")})
			}
			done <- err
			return err
		}
		conn := network.dial()
		defer conn.Close()
		start := time.Now()
		send(conn, request("POST", chat, "key-rental", goodStream))
		err := <-done
		took := time.Since(start)
		testkit.That(t, took >= time.Second && took <= 2*time.Second, "ended after %v with %v", took, err)
	})
}

// A planned shutdown starts while one request runs and one connection is idle. /readyz
// must fail first; the running request must get its answer with Connection: close; the
// idle connection must be closed.
func TestShutdownCompletesRunningRequests(t *testing.T) {
	backend := &fakeBackend{}
	runServer(t, backend, caller.Limits{}, func(t *testing.T, server *caller.Server, network memoryNet) {
		started, release := make(chan bool), make(chan bool)
		backend.call = func(context.Context, caller.ServiceCall) (service.Answer, error) {
			started <- true
			<-release
			return service.Answer{Status: 200, Body: []byte("booked")}, nil
		}
		busy, idle, probe := network.dial(), network.dial(), network.dial()
		send(idle, request("GET", "/readyz", "", ""))
		testkit.Equal(t, "before", readAnswer(t, idle).StatusCode, 200)
		send(busy, request("POST", "/services/booking/book", "key-rental", ""))
		<-started
		server.Drain()
		send(probe, request("GET", "/readyz", "", ""))
		ready := readAnswer(t, probe)
		testkit.That(t, ready.StatusCode == 503 && ready.Close, "draining: %v", ready)
		stopped := make(chan error)
		go func() { stopped <- server.Shutdown(t.Context()) }()
		testkit.Equal(t, "idle connection", string(testkit.Value(io.ReadAll(idle))(t)), "")
		close(release)
		answer := readAnswer(t, busy)
		testkit.That(t, answer.StatusCode == 200 && answer.Close, "running request: %v", answer)
		testkit.NoError(t, <-stopped)
	})
}

// More callers connect than the limit allows. The first one over the limit must get a
// refusal instead of waiting without an answer; the connection of the next one is closed.
func TestConnectionsOverLimit(t *testing.T) {
	limits := caller.Limits{Connections: 1}
	runServer(t, &fakeBackend{}, limits, func(t *testing.T, _ *caller.Server, network memoryNet) {
		first, overflow, excess := network.dial(), network.dial(), network.dial()
		defer first.Close()
		testkit.Equal(t, "beyond", string(testkit.Value(io.ReadAll(excess))(t)), "")
		send(overflow, request("GET", "/v1/models", "key-rental", ""))
		answer := readAnswer(t, overflow)
		testkit.That(t, answer.StatusCode == 503 && answer.Header.Get("Retry-After") == "1", "over: %v", answer)
	})
}

// The backend ends or fails a stream long after its last chunk. The caller must still get
// [DONE] or the error event: the write deadline of that chunk has passed by then.
func TestStreamEndsAfterPause(t *testing.T) {
	lost := refusal.NewMaybeRan(refusal.CodeOutcomeUnknown, "engine lost")
	for want, err := range map[string]error{"1  [DONE]": nil, "1 error " + engineLostEvent: lost} {
		backend := &fakeBackend{}
		runServer(t, backend, caller.Limits{WriteTimeout: time.Second}, func(t *testing.T, _ *caller.Server, network memoryNet) {
			backend.generate = func(ctx context.Context, g caller.Generation, sink caller.Sink) error {
				_ = chunks(nil, "{}")(ctx, g, sink)
				time.Sleep(3 * time.Second)
				return err
			}
			conn := network.dial()
			defer conn.Close()
			send(conn, request("POST", chat, "key-rental", goodStream))
			testkit.NoDiff(t, []string{"1  {}", want}, readEvents(readAnswer(t, conn).Body))
		})
	}
}
