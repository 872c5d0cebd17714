// Command standin runs one of the small stand-ins that take the place of the
// platform's services, the backend servers and the callers in tests and on a
// developer's machine. Each verb has its own file.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
)

// verb is one subcommand. Its file has a constructor that main lists in verbs.
type verb struct {
	name, help string
	// attach adds the verb's flags.
	attach func(*flaggy.Subcommand)
	// run does the work until it is done or ctx ends.
	run func(ctx context.Context) error
}

// verbs are the constructors of all subcommands.
var verbs = []func() verb{
	newLogVerb,
	newVMListVerb,
	newWeightStoreVerb,
	newEngineVerb,
	newServiceVerb,
	newLoadVerb,
	newReplayVerb,
}

func main() {
	flaggy.SetName("standin")
	flaggy.SetDescription("stand-ins for what bergamotreel talks to")
	used := map[*flaggy.Subcommand]verb{}
	for _, construct := range verbs {
		v := construct()
		sub := flaggy.NewSubcommand(v.name)
		sub.Description = v.help
		v.attach(sub)
		flaggy.AttachSubcommand(sub, 1)
		used[sub] = v
	}
	flaggy.Parse()
	for sub, v := range used {
		if sub.Used {
			os.Exit(run(v))
		}
	}
	flaggy.ShowHelpAndExit("name a stand-in")
}

// run runs a verb until SIGINT or SIGTERM and returns the exit status.
func run(v verb) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := v.run(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "standin %s: %v\n", v.name, err)
		return 1
	}
	return 0
}

// stopGrace is how long running calls get after the signal to stop.
const stopGrace = time.Second

// serveHTTP serves handler on the address until ctx ends. It prints the address
// it listens on, so that port 0 can be asked for.
func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Printf("listening on %s\n", listener.Addr())
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
