package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotreel/internal/testkit"
)

// Guards against whole answers that a shutdown cuts off because their callers still read them: the kernel can send the rest
// after the process has ended.
func TestWholeAnswerOutlivesShutdown(t *testing.T) {
	const answerBytes = 220 << 10
	b := &relayBackend{relay: func(_ context.Context, _ RelayRequest, answer AnswerWriter) error {
		answer.WriteHead(200, http.Header{}, answerBytes)
		return answer.Write(make([]byte, answerBytes))
	}}
	server := NewServer(NewRelayHandler(b, plainDialect{}, Limits{}, zap.NewNop()), Limits{}, nil)
	listener := testkit.Value(Listen(t.Context(), "127.0.0.1:0"))(t)
	go func() { _ = server.Serve(listener) }()
	conn := testkit.Value(net.Dial("tcp", listener.Addr().String()))(t)
	defer conn.Close()
	testkit.OK(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\n"+commonHeaders+"\r\n")
	testkit.OK(t, err)
	time.Sleep(100 * time.Millisecond) // the answer begins
	shutDown := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		return server.Shutdown(ctx)
	}
	testkit.That(t, shutDown() != nil, "the answer fits into the buffers; the test shows nothing")
	server.EnlargeSendBuffers()
	testkit.NoError(t, shutDown())
	testkit.NoError(t, server.Close())
	answer := testkit.Value(http.ReadResponse(bufio.NewReader(conn), nil))(t)
	n, err := io.Copy(io.Discard, answer.Body)
	testkit.That(t, err == nil && n == answerBytes, "%d of %d bytes, %v", n, answerBytes, err)
}
