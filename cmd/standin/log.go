package main

import (
	"context"
	"io"
	"time"

	"bergamotreel/internal/standin/logserver"
	"bergamotreel/internal/verbs"

	"github.com/integrii/flaggy"
)

// newLogVerb returns the verb that runs the stand-in for the platform's log.
func newLogVerb() verbs.Verb {
	listen := "127.0.0.1:7101"
	config := logserver.Config{
		MaxAge: time.Hour, MaxRecords: 1_000_000,
		AppendsPerSecond: 300, Burst: 300,
		Seed: 1,
	}
	return verbs.Verb{
		Name: "log",
		Help: "the platform's append-only log",
		Attach: func(sub *flaggy.Subcommand) {
			sub.String(&listen, "l", "listen", "IP:port to listen on")
			sub.Duration(&config.MaxAge, "a", "max-age", "how long records are kept (0: for ever)")
			sub.Int(&config.MaxRecords, "m", "max-records", "records kept per stream (0: all)")
			sub.Float64(&config.AppendsPerSecond, "r", "appends-per-second", "rate limit over all streams (0: none)")
			sub.Int(&config.Burst, "b", "burst", "appends taken at once above the rate")
			sub.UInt64(&config.Seed, "s", "seed", "seed of the lost answers")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			return serveHTTP(ctx, out, listen, logserver.Handler(logserver.New(config)))
		},
	}
}
