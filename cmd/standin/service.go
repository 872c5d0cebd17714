package main

import (
	"context"

	"bergamotreel/internal/standin/serviceserver"

	"github.com/integrii/flaggy"
)

// newServiceVerb is the stand-in of a plain service.
func newServiceVerb() verb {
	listen := "127.0.0.1:7301"
	return verb{
		name: "service",
		help: "a plain service, with bookings",
		attach: func(sub *flaggy.Subcommand) {
			sub.String(&listen, "l", "listen", "IP:port to listen on")
		},
		run: func(ctx context.Context) error {
			s := serviceserver.New()
			defer s.Close()
			return serveHTTP(ctx, listen, s.Handler())
		},
	}
}
