package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// answerOK answers each request with a 200.
func answerOK(_ context.Context, _ RelayRequest, answer AnswerWriter) error {
	answer.WriteHead(200, http.Header{}, 2)
	return answer.Write([]byte("ok"))
}

// Guards against a refusal that is lost because the connection is reset while its caller still writes: callers may read
// only after they have written everything.
func TestRefusalReachesCallerThatWritesFirst(t *testing.T) {
	const limit, sent = 2 << 20, 4 << 20
	for name, test := range map[string]struct {
		path, framing string
		limit         int64
		status        int
	}{
		"too large, declared": {"/a", fmt.Sprintf("Content-Length: %d\r\n\r\n", sent), limit, http.StatusRequestEntityTooLarge},
		"too large, chunked":  {"/a", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", sent), limit, http.StatusRequestEntityTooLarge},
		"no route, declared":  {"/b", fmt.Sprintf("Content-Length: %d\r\n\r\n", sent), sent, http.StatusNotFound},
		"no route, chunked":   {"/b", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", sent), sent, http.StatusNotFound},
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			address := startRelayServer(t, &relayBackend{relay: answerOK}, Limits{BodyBytes: test.limit, HeldBytes: 32 << 20})
			conn := testkit.Value(net.Dial("tcp", address))(t)
			defer conn.Close()
			_, err := io.WriteString(conn, "POST "+test.path+" HTTP/1.1\r\nHost: h.example\r\nX-Id: 7\r\n"+test.framing)
			testkit.OK(t, err)
			piece := make([]byte, 64<<10)
			for n := 0; n < sent && err == nil; n += len(piece) {
				time.Sleep(12 * time.Millisecond)
				_, err = conn.Write(piece)
			}
			testkit.That(t, err == nil, "the connection was reset: %v", err)
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			testkit.That(t, err == nil && answer.StatusCode == test.status && answer.Close, "%v, %v", answer, err)
		})
	}
}

// Guards against a caller that stops within its body and keeps others from the memory until its read timeout.
func TestStalledBodyYields(t *testing.T) {
	const length = 256 << 10 // the memory that one address may have is enough for one such body
	address := startRelayServer(t, &relayBackend{relay: answerOK}, Limits{BodyBytes: length, HeldBytes: 1 << 20})
	head := "POST /a HTTP/1.1\r\n" + commonHeaders + fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
	stalled := testkit.Value(net.Dial("tcp", address))(t)
	defer stalled.Close()
	_, err := io.WriteString(stalled, head+strings.Repeat("a", length-1))
	testkit.OK(t, err)
	time.Sleep(100 * time.Millisecond) // it is read
	testkit.That(t, strings.HasPrefix(exchangeRaw(t, address, head+strings.Repeat("a", length)), "HTTP/1.1 200 "), "no memory for another caller")
	answer := testkit.Value(http.ReadResponse(bufio.NewReader(stalled), nil))(t)
	body := testkit.Value(io.ReadAll(answer.Body))(t)
	testkit.That(t, answer.StatusCode == 429 && answer.Header.Get("Retry-After") != "" && strings.Contains(string(body), `"ran":"no"`), "%v %s", answer, body)
}

// A slow body in calm is not refused, and a body that does not arrive in time gets a refusal that allows a retry.
func TestSlowBodies(t *testing.T) {
	const readTimeout = 2 * time.Second
	address := startRelayServer(t, &relayBackend{relay: answerOK}, Limits{ReadTimeout: readTimeout})
	for _, test := range []struct {
		bytes  int
		status int
	}{{3, http.StatusOK}, {2, http.StatusRequestTimeout}} {
		conn := testkit.Value(net.Dial("tcp", address))(t)
		_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\n"+commonHeaders+"Content-Length: 3\r\n\r\n")
		for range test.bytes {
			testkit.OK(t, err)
			time.Sleep(300 * time.Millisecond)
			_, err = io.WriteString(conn, "a")
		}
		answer := testkit.Value(http.ReadResponse(bufio.NewReader(conn), nil))(t)
		testkit.Equal(t, fmt.Sprint(test.bytes, " of 3 bytes"), answer.StatusCode, test.status)
		conn.Close()
	}
}
