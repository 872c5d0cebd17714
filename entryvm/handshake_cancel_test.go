package entryvm

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// cancelReadingConn is a connection whose first Read cancels the call and then fails.
type cancelReadingConn struct {
	net.Conn
	cancel context.CancelFunc
}

func (c *cancelReadingConn) Read([]byte) (int, error)         { c.cancel(); return 0, net.ErrClosed }
func (c *cancelReadingConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *cancelReadingConn) Close() error                     { return nil }
func (c *cancelReadingConn) SetDeadline(time.Time) error      { return nil }
func (c *cancelReadingConn) SetReadDeadline(time.Time) error  { return nil }
func (c *cancelReadingConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against a process that ends because a call is canceled during its handshake: the
// connection is closed by a goroutine that may run after the call has returned.
func TestCallCanceledDuringHandshake(t *testing.T) {
	const callers, calls = 32, 500
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for range calls {
				client := testkit.Value(NewClient(fleetSecret, 0, nil))(t)
				ctx, cancel := context.WithCancel(t.Context())
				client.dialTCP = func(context.Context, string, string) (net.Conn, error) {
					return &cancelReadingConn{cancel: cancel}, nil
				}
				_, err := client.Exchange(ctx, "peer", nil)
				testkit.That(t, err != nil, "a canceled call has an answer")
				runtime.Gosched()
			}
		})
	}
	running.Wait()
}
