// Command standin runs stand-ins for the platform's services, the backend servers and
// the callers, for tests and for use on a developer's machine. Each verb has its own
// file.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bergamotreel/internal/verbs"
)

var program = verbs.Program{
	Name: "standin", Description: "stand-ins for what bergamotreel talks to",
	Verbs: []func() verbs.Verb{
		newLogVerb, newVMListVerb, newWeightStoreVerb, newEngineVerb, newServiceVerb, newLoadVerb, newReplayVerb, newHindsightVerb,
	},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(program.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// shutdownTimeout bounds the time that calls in flight get to end after the signal to
// stop.
const shutdownTimeout = time.Second

// serveHTTP serves handler on the address until ctx ends. It prints the address it
// listens on, so that callers can request port 0.
func serveHTTP(ctx context.Context, out io.Writer, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "listening on %s\n", listener.Addr())
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, Protocols: &protocols}
	context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			server.Close()
		}
	})
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
