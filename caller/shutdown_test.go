package caller_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/caller"
	"bergamotreel/internal/testkit"
	"bergamotreel/service"
)

// One connection is in each state. The log of a shutdown that cuts connections off must
// tell them apart, or nobody can see what the shutdown waited for.
func TestOpenConnectionsByState(t *testing.T) {
	backend := &fakeBackend{}
	runServer(t, backend, caller.Limits{}, func(t *testing.T, server *caller.Server, network memoryNet) {
		release := make(chan bool)
		backend.call = func(context.Context, caller.ServiceCall) (service.Answer, error) {
			<-release
			return service.Answer{Status: 200}, nil
		}
		unused, idle, reading, answering := network.dial(), network.dial(), network.dial(), network.dial()
		send(idle, request("GET", "/readyz", "", ""))
		readAnswer(t, idle)
		go func() { _, _ = io.WriteString(reading, "GET ") }()
		send(answering, request("POST", "/services/booking/book", "key-rental", ""))
		synctest.Wait()
		testkit.Equal(t, "states", server.OpenConnections(), caller.ConnectionCounts{New: 1, Idle: 1, Reading: 1, Answering: 1})
		close(release)
		readAnswer(t, answering)
		unused.Close()
		reading.Close()
		synctest.Wait()
		testkit.Equal(t, "states after two callers left", server.OpenConnections(), caller.ConnectionCounts{Idle: 2})
	})
}

// echoBackend answers each call with its body.
func echoBackend() *fakeBackend {
	return &fakeBackend{call: func(_ context.Context, c caller.ServiceCall) (service.Answer, error) {
		return service.Answer{Status: 200, Body: c.Body}, nil
	}}
}

const (
	// bookHeader and bookBody are a request to echoBackend in two pieces.
	bookHeader = "POST /services/booking/book HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-rental\r\nContent-Length: 4\r\n\r\n"
	bookBody   = "7pm!"
	// begun is the length of an incomplete first line.
	begun = len("POST /ser")
)

// pieceInterval is the time between two pieces of a request. It is longer than a shutdown
// waits for a request to begin.
const pieceInterval = time.Second

// write sends the pieces and waits for as long as the server should take to read them.
func write(conn net.Conn, pieces ...string) {
	go func() {
		for _, piece := range pieces {
			if _, err := io.WriteString(conn, piece); err != nil {
				return
			}
			time.Sleep(pieceInterval)
		}
	}()
	time.Sleep(time.Duration(len(pieces)) * pieceInterval)
}

// useOnce makes conn an idle keep-alive connection.
func useOnce(t *testing.T, conn net.Conn) {
	send(conn, request("GET", "/healthz", "", ""))
	answer := readAnswer(t, conn)
	testkit.That(t, !answer.Close, "before the shutdown: %v", answer)
	synctest.Wait()
}

// beginShutdown calls Shutdown and returns once it waits for connections. The channel
// receives how long it took.
func beginShutdown(t *testing.T, server *caller.Server) <-chan time.Duration {
	start, took := time.Now(), make(chan time.Duration, 1)
	go func() {
		testkit.NoError(t, server.Shutdown(t.Context()))
		took <- time.Since(start)
	}()
	synctest.Wait()
	return took
}

// wantPrompt checks how long a shutdown took that had no request to wait for.
func wantPrompt(t *testing.T, took time.Duration) {
	t.Helper()
	testkit.That(t, took < time.Second, "the shutdown took %v", took)
}

// wantAnswer reads a complete answer to a request that arrived during a shutdown.
func wantAnswer(t *testing.T, reader *bufio.Reader, body string) {
	t.Helper()
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Errorf("the connection ended without an answer: %v", err)
		return
	}
	got, err := io.ReadAll(answer.Body)
	testkit.That(t, err == nil && answer.StatusCode == 200 && answer.Close && string(got) == body, "%v %q %v", answer, got, err)
}

// A caller's request crosses the start of a shutdown on a connection that was accepted
// but not used yet, or that was idle. A bare close would lose it, and the caller could
// not know whether it ran.
func TestRequestCrossingShutdownIsAnswered(t *testing.T) {
	header, body := bookHeader, bookBody
	tests := map[string]struct{ before, after []string }{
		"sent after":      {nil, []string{header + body}},
		"body after":      {[]string{header}, []string{body}},
		"header cut":      {[]string{header[:begun]}, []string{header[begun:] + body}},
		"in pieces":       {[]string{header[:2]}, []string{header[2:begun], header[begun:], body[:2], body[2:]}},
		"in pieces after": {nil, []string{header[:2], header[2:begun], header[begun:], body[:2], body[2:]}},
	}
	for name, test := range tests {
		for _, used := range []bool{false, true} {
			t.Run(name+map[bool]string{false: ", unused", true: ", idle"}[used], func(t *testing.T) {
				runServer(t, echoBackend(), caller.Limits{}, func(t *testing.T, server *caller.Server, network memoryNet) {
					conn := network.dial()
					if used {
						useOnce(t, conn)
					}
					write(conn, test.before...)
					took := beginShutdown(t, server)
					if len(test.before) > 0 {
						time.Sleep(pieceInterval)
					}
					write(conn, test.after...)
					wantAnswer(t, bufio.NewReader(conn), body)
					<-took
				})
			})
		}
	}
}

// heldConn delays what its Read got until release is closed, once armed.
type heldConn struct {
	net.Conn
	armed   atomic.Bool
	release chan bool
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.armed.Load() {
		<-c.release
	}
	return n, err
}

// The server's goroutine has just read a request or a part of it, and a shutdown starts
// before it goes on. The connection still counts as unused or idle then and must not be
// closed, and the rest of the request must be read.
func TestRequestReadAsShutdownStartsIsAnswered(t *testing.T) {
	tests := map[string]struct {
		used bool
		read int
	}{
		"whole, unused": {false, len(bookHeader + bookBody)}, "whole, idle": {true, len(bookHeader + bookBody)},
		"header, unused": {false, len(bookHeader)}, "header, idle": {true, len(bookHeader)},
		"part, unused": {false, begun}, "part, idle": {true, begun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runServer(t, echoBackend(), caller.Limits{}, func(t *testing.T, server *caller.Server, network memoryNet) {
				client, served := net.Pipe()
				held := &heldConn{Conn: served, release: make(chan bool)}
				network <- held
				if test.used {
					useOnce(t, client)
				}
				held.armed.Store(true)
				write(client, (bookHeader + bookBody)[:test.read])
				took := beginShutdown(t, server)
				close(held.release)
				time.Sleep(pieceInterval)
				if rest := (bookHeader + bookBody)[test.read:]; rest != "" {
					write(client, rest)
				}
				wantAnswer(t, bufio.NewReader(client), bookBody)
				<-took
			})
		})
	}
}

// A caller begins its next request while the server still ends the answer before, whose
// head promised to keep the connection. net/http has read one byte or the whole header of
// the request when the connection becomes idle.
func TestRequestReadAheadAtShutdownIsAnswered(t *testing.T) {
	tests := map[string]struct {
		with  string
		ahead []string
		after string
	}{
		"one byte":         {"", []string{bookHeader[:1]}, bookHeader[1:] + bookBody},
		"header pipelined": {bookHeader, nil, bookBody},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			backend := echoBackend()
			runServer(t, backend, caller.Limits{}, func(t *testing.T, server *caller.Server, network memoryNet) {
				release := make(chan bool)
				backend.generate = func(ctx context.Context, g caller.Generation, sink caller.Sink) error {
					defer func() { <-release }()
					return chunks(nil, "{}")(ctx, g, sink)
				}
				conn := network.dial()
				var sent strings.Builder
				testkit.NoError(t, request("POST", chat, "key-rental", goodStream).Write(&sent))
				go func() { _, _ = io.WriteString(conn, sent.String()+test.with) }()
				reader := bufio.NewReader(conn)
				first := testkit.Value(http.ReadResponse(reader, nil))(t)
				write(conn, test.ahead...)
				took := beginShutdown(t, server)
				close(release)
				_, err := io.ReadAll(first.Body)
				testkit.That(t, err == nil && !first.Close, "first answer: %v %v", first, err)
				time.Sleep(pieceInterval)
				write(conn, test.after)
				wantAnswer(t, reader, bookBody)
				<-took
			})
		})
	}
}

// A balancer has connections open without a request. A shutdown that waits for them lasts
// until its grace ends, and is then taken for one that cuts requests off.
func TestShutdownDoesNotWaitForUnusedConnections(t *testing.T) {
	runServer(t, &fakeBackend{}, caller.Limits{}, func(t *testing.T, server *caller.Server, network memoryNet) {
		unused, idle := network.dial(), network.dial()
		useOnce(t, idle)
		wantPrompt(t, <-beginShutdown(t, server))
		for name, conn := range map[string]net.Conn{"unused": unused, "idle": idle} {
			_, err := conn.Read(make([]byte, 1))
			testkit.WantError(t, name, err, io.EOF)
		}
	})
}

// lateNet accepts one more connection while it is being closed.
type lateNet struct {
	memoryNet
	late net.Conn
}

func (l lateNet) Close() error {
	l.memoryNet <- l.late
	return l.memoryNet.Close()
}

// A connection is accepted as a shutdown starts. If it missed the shutdown, it would stay
// open until the read timeout.
func TestShutdownEndsConnectionAcceptedMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := caller.NewServer(caller.New(&fakeBackend{}, caller.Limits{}), caller.Limits{}, nil)
		_, late := net.Pipe()
		ended := make(chan error)
		go func() { ended <- server.Serve(lateNet{make(memoryNet), late}) }()
		synctest.Wait()
		wantPrompt(t, <-beginShutdown(t, server))
		testkit.NoError(t, <-ended)
	})
}

// Callers with kept connections send requests over TCP all through a shutdown. Each request
// whose handler ran must get its answer: a caller may not repeat it.
func TestShutdownUnderLoadAnswersEachRequestThatRan(t *testing.T) {
	var ran, answered atomic.Int64
	var stopped atomic.Bool
	backend := &fakeBackend{call: func(context.Context, caller.ServiceCall) (service.Answer, error) {
		ran.Add(1)
		return service.Answer{Status: 200, Body: []byte("booked")}, nil
	}}
	server := caller.NewServer(caller.New(backend, caller.Limits{}), caller.Limits{}, nil)
	listener, err := caller.Listen(t.Context(), "127.0.0.1:0")
	testkit.OK(t, err)
	ended := make(chan error)
	go func() { ended <- server.Serve(listener) }()
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for !stopped.Load() {
				r := request("POST", "http://"+listener.Addr().String()+"/services/booking/book", "key-rental", "")
				r.RequestURI = ""
				answer, err := client.Do(r)
				if err != nil {
					continue
				}
				body, err := io.ReadAll(answer.Body)
				if err == nil && string(body) == "booked" {
					answered.Add(1)
				}
				answer.Body.Close()
			}
		})
	}
	for ran.Load() < 500 {
		time.Sleep(time.Millisecond)
	}
	testkit.NoError(t, server.Shutdown(t.Context()))
	testkit.NoError(t, <-ended)
	stopped.Store(true)
	callers.Wait()
	testkit.That(t, answered.Load() == ran.Load() && ran.Load() > 0, "%d requests ran, %d were answered", ran.Load(), answered.Load())
}

// A shutdown starts while a request runs over TLS, with HTTP/1.1 and HTTP/2. The request must
// get its answer, and the connection must not hold the shutdown up afterwards.
func TestShutdownOverTLSCompletesRunningRequests(t *testing.T) {
	for name, http2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2.0": true} {
		t.Run(name, func(t *testing.T) {
			tlsServer := httptest.NewUnstartedServer(nil)
			tlsServer.EnableHTTP2 = http2
			tlsServer.StartTLS()
			defer tlsServer.Close()
			started, release := make(chan bool), make(chan bool)
			backend := &fakeBackend{call: func(context.Context, caller.ServiceCall) (service.Answer, error) {
				started <- true
				<-release
				return service.Answer{Status: 200, Body: []byte("booked")}, nil
			}}
			server := caller.NewServer(caller.New(backend, caller.Limits{}), caller.Limits{}, &tls.Config{Certificates: tlsServer.TLS.Certificates})
			listener, err := caller.Listen(t.Context(), "127.0.0.1:0")
			testkit.OK(t, err)
			ended, stopped := make(chan error, 1), make(chan error, 1)
			go func() { ended <- server.Serve(listener) }()
			go func() {
				<-started
				go func() { stopped <- server.Shutdown(t.Context()) }()
				testkit.NoError(t, <-ended)
				close(release)
			}()
			r := request("POST", "https://"+listener.Addr().String()+"/services/booking/book", "key-rental", "")
			r.RequestURI = ""
			answer, err := tlsServer.Client().Do(r)
			testkit.OK(t, err)
			body, err := io.ReadAll(answer.Body)
			testkit.That(t, err == nil && answer.Proto == name && string(body) == "booked", "%v %q %v", answer, body, err)
			testkit.NoError(t, <-stopped)
		})
	}
}
