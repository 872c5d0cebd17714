package caller_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"bergamotreel/caller"
	"bergamotreel/internal/testkit"
)

// Guards against answers without end to callers that read nothing, of which the kernel keeps megabytes each.
func TestUnreadAnswersAreBounded(t *testing.T) {
	const (
		callerBufferBytes = 32 << 10
		// maxKept allows for the buffers of the kernel on both sides and of net/http.
		maxKept = 512 << 10
		// quietTime is how long no byte may be taken before the answer counts as held up.
		quietTime = 300 * time.Millisecond
	)
	var written atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for piece := make([]byte, 4<<10); ; written.Add(int64(len(piece))) {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	})
	server := caller.NewServer(handler, caller.Limits{}, nil)
	listener := testkit.Value(caller.Listen(t.Context(), "127.0.0.1:0"))(t)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	conn := testkit.Value(net.Dial("tcp", listener.Addr().String()))(t)
	defer conn.Close()
	testkit.OK(t, conn.(*net.TCPConn).SetReadBuffer(callerBufferBytes))
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	testkit.OK(t, err)
	kept := int64(-1)
	for kept != written.Load() || kept == 0 {
		kept = written.Load()
		time.Sleep(quietTime)
	}
	testkit.That(t, kept <= maxKept, "%d KB are kept", kept>>10)
	t.Logf("%d KB", kept>>10)
}
