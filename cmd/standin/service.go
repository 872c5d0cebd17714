package main

import (
	"context"
	"io"

	"bergamotreel/internal/standin/serviceserver"
	"bergamotreel/internal/verbs"

	"github.com/integrii/flaggy"
)

// newServiceVerb returns the verb that runs the stand-in for a plain service.
func newServiceVerb() verbs.Verb {
	listen := "127.0.0.1:7301"
	return verbs.Verb{
		Name: "service",
		Help: "a plain service, with bookings",
		Attach: func(sub *flaggy.Subcommand) {
			sub.String(&listen, "l", "listen", "IP:port to listen on")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			s := serviceserver.New()
			defer s.Close()
			return serveHTTP(ctx, out, listen, s.Handler())
		},
	}
}
