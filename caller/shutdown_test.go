package caller_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"

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
