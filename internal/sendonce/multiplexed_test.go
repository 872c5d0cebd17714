package sendonce

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/internal/testkit"
)

// The frames of HTTP/2 (RFC 9113, 6) that the test's server needs.
const (
	frameHeaders  = 1
	frameReset    = 3
	frameSettings = 4
	frameGoAway   = 7
	flagEnd       = 1
	flagHeaders   = 4
	refusedStream = 7
	status200     = "\x88"
	prefaceBytes  = 24
	headerBytes   = 9
)

func encodeFrame(kind, flags byte, stream uint32, payload string) []byte {
	b := []byte{0, 0, byte(len(payload)), kind, flags}
	return append(binary.BigEndian.AppendUint32(b, stream), payload...)
}

func encodeUint32(n uint32) string { return string(binary.BigEndian.AppendUint32(nil, n)) }

// multiplexedServer is an HTTP/2 server that answers the first request of its
// first connection and calls respondToSecond for the second one. It answers all
// requests of later connections.
type multiplexedServer struct {
	respondToSecond       func(c net.Conn, out chan<- []byte)
	connections, requests atomic.Int32
}

func (s *multiplexedServer) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go s.serve(far, s.connections.Add(1) == 1)
	return near, nil
}

func (s *multiplexedServer) serve(c net.Conn, fails bool) {
	defer c.Close()
	// Another goroutine writes, because the two ends of a pipe could otherwise
	// block each other.
	out := make(chan []byte, 8)
	defer close(out)
	go func() {
		for b := range out {
			_, _ = c.Write(b)
		}
	}()
	_, _ = io.CopyN(io.Discard, c, prefaceBytes)
	settingsSent := false
	for n := 0; ; {
		var head [headerBytes]byte
		if _, err := io.ReadFull(c, head[:]); err != nil {
			return
		}
		length := int64(head[0])<<16 | int64(head[1])<<8 | int64(head[2])
		_, _ = io.CopyN(io.Discard, c, length)
		if !settingsSent {
			settingsSent = true
			out <- append(encodeFrame(frameSettings, 0, 0, ""), encodeFrame(frameSettings, flagEnd, 0, "")...)
		}
		if head[3] != frameHeaders {
			continue
		}
		n++
		s.requests.Add(1)
		if fails && n == 2 {
			s.respondToSecond(c, out)
			continue
		}
		out <- encodeFrame(frameHeaders, flagHeaders|flagEnd, binary.BigEndian.Uint32(head[5:]), status200)
	}
}

// Guards against a request that is sent twice. On a connection that was used
// before, the server closes it or sends an HTTP/2 frame that says it processed
// nothing, which may be false. net/http may then repeat a request without a body
// or with one that can be rewound.
func TestFailureOnMultiplexedConnectionIsNotRepeated(t *testing.T) {
	for name, second := range map[string]func(net.Conn, chan<- []byte){
		"broken": func(c net.Conn, _ chan<- []byte) { c.Close() },
		"go away": func(_ net.Conn, out chan<- []byte) {
			out <- encodeFrame(frameGoAway, 0, 0, encodeUint32(1)+encodeUint32(0))
		},
		"refused": func(_ net.Conn, out chan<- []byte) { out <- encodeFrame(frameReset, 0, 3, encodeUint32(refusedStream)) },
	} {
		t.Run(name, func(t *testing.T) {
			for _, method := range []string{"GET", "HEAD", "POST", "PUT", "DELETE"} {
				for _, body := range []string{"", `{"slot":"7"}`} {
					synctest.Test(t, func(t *testing.T) {
						s := multiplexedServer{respondToSecond: second}
						expectSecondNotRepeated(t, NewMultiplexedClientWithDial(s.dial), method, body, &s.requests)
					})
				}
			}
		})
	}
}

// A request counts as not sent only if no connection was made: on a shared
// connection it is unknown whose bytes left.
func TestSentOnMultiplexedConnections(t *testing.T) {
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	broken := func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		far.Close()
		return near, nil
	}
	silent := func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		return near, nil
	}
	for name, c := range map[string]struct {
		dial     DialFunc
		canceled bool
		sent     bool
	}{
		"refused connection":      {refused, false, false},
		"context canceled before": {silent, true, false},
		"broken before use":       {broken, false, false},
		"no answer":               {silent, false, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.canceled {
				cancel()
			}
			_, sent, err := Do(NewMultiplexedClientWithDial(c.dial), newTestRequest(t, ctx, "POST", "{}", ""))
			testkit.That(t, err != nil && sent == c.sent, "%s: sent %v instead of %v, error %v", name, sent, c.sent, err)
		})
	}
}

// Guards against a request that is sent after it was reported as not sent. It is
// canceled while its connection is being made; the dial continues, for other
// requests.
func TestNothingIsSentOnLateConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s multiplexedServer
		client := NewMultiplexedClientWithDial(func(context.Context, string, string) (net.Conn, error) {
			time.Sleep(time.Second)
			return s.dial(context.Background(), "", "")
		})
		defer client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second/2)
		defer cancel()
		_, sent, err := Do(client, newTestRequest(t, ctx, "POST", "{}", ""))
		testkit.That(t, err != nil && !sent, "sent %v, error %v", sent, err)
		time.Sleep(2 * time.Second)
		testkit.That(t, s.connections.Load() == 1 && s.requests.Load() == 0,
			"%d connections, %d requests came", s.connections.Load(), s.requests.Load())
	})
}
