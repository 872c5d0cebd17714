package entryvm

import (
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/internal/pipenet"
	"bergamotreel/internal/testkit"
)

// A VM of a large fleet calls many others only once, for an adapter or a swap. These
// connections must be closed when idle, a connection in use must stay open, and a call after
// the close must reconnect without an error.
func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := pipenet.Listen()
		stop := startServer(t, listener, &recorder{}, nil)
		client := testkit.Value(NewClient(fleetSecret, 0, nil))(t)
		client.dialTCP = listener.DialContext
		open := func() int {
			synctest.Wait()
			client.mu.Lock()
			defer client.mu.Unlock()
			return len(client.conns)
		}
		call := func(address string) {
			testkit.Value(client.Exchange(t.Context(), address, nil))(t)
		}
		for _, address := range []string{"once", "used", "once too"} {
			call(address)
		}
		for range 4 {
			time.Sleep(clientIdleTimeout / 3)
			call("used")
		}
		testkit.Equal(t, "connections", open(), 1)
		call("once")
		testkit.Equal(t, "connections", open(), 2)
		time.Sleep(2 * clientIdleTimeout)
		testkit.Equal(t, "connections", open(), 0)
		client.Close()
		stop()
	})
}
