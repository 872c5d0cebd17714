package sendonce

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"bergamotreel/internal/pipenet"
	"bergamotreel/internal/testkit"
)

// endlessHandler sends one line for each value from lineRequests on path /asked,
// and as many as the client accepts on every other path.
func endlessHandler(lineRequests <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			if r.URL.Path == "/asked" {
				select {
				case <-lineRequests:
				case <-r.Context().Done():
					return
				}
			}
			_, _ = io.WriteString(w, strings.Repeat("x", 100)+"\n")
			_ = http.NewResponseController(w).Flush()
		}
	})
}

// Guards against one slow caller that blocks all callers of an engine. They share
// one connection: a stream that is not read fills its buffer, and neither that
// nor a canceled stream may stop the connection for a caller that reads.
func TestSlowOrCanceledStreamsDoNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, lineRequests, dials := pipenet.Listen(), make(chan struct{}), 0
		var protocols http.Protocols
		protocols.SetUnencryptedHTTP2(true)
		server := &http.Server{Handler: endlessHandler(lineRequests), Protocols: &protocols}
		go server.Serve(network)
		defer server.Close()
		client := NewMultiplexedClientWithDial(func(ctx context.Context, _, _ string) (net.Conn, error) {
			dials++
			return network.DialContext(ctx, "", "")
		})
		defer client.CloseIdleConnections()
		open := func(path string) (io.Reader, context.CancelFunc) {
			ctx, cancel := context.WithCancel(t.Context())
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://engine"+path, NewBody(nil))
			testkit.OK(t, err)
			answer, _, err := Do(client, request)
			testkit.OK(t, err)
			return answer.Body, cancel
		}
		go func() { lineRequests <- struct{}{} }()
		read, stop := open("/asked")
		defer stop()
		lines := bufio.NewScanner(read)
		lines.Scan()
		for range 20 {
			_, cancel := open("/slow")
			synctest.Wait() // its buffer is full
			lineRequests <- struct{}{}
			testkit.Need(t, lines.Scan(), "%v", lines.Err())
			defer cancel()
		}
		_, cancel := open("/leaving")
		cancel()
		lineRequests <- struct{}{}
		testkit.Need(t, lines.Scan() && dials == 1, "error %v, %d connections", lines.Err(), dials)
	})
}
