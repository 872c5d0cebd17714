// Command standin runs one of the small stand-ins that take the place of the
// platform's services, the backend servers and the callers in tests and on a
// developer's machine. Each verb has its own file.
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

// stopGrace is how long running calls get after the signal to stop.
const stopGrace = time.Second

// serveHTTP serves handler on the address until ctx ends. It prints the address
// it listens on, so that port 0 can be asked for.
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
		grace, cancel := context.WithTimeout(context.Background(), stopGrace)
		defer cancel()
		if server.Shutdown(grace) != nil {
			server.Close()
		}
	})
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
