package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"bergamotreel/engine"
	"bergamotreel/internal/httpjson"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/internal/verbs"
	"bergamotreel/weightstore"

	"github.com/integrii/flaggy"
)

// newEngineVerb returns the verb that runs the stand-in for a model engine.
func newEngineVerb() verbs.Verb {
	listen := "127.0.0.1:7201"
	store := ""
	role := string(engine.RoleBoth)
	options := engineserver.Options{
		MemoryBytes: 80 << 30, Slots: 16, MaxQueued: 64,
		TokenTime: 20 * time.Millisecond, TokenTimePerRequest: time.Millisecond,
		PrefillTimePerToken: 100 * time.Microsecond,
	}
	return verbs.Verb{
		Name: "engine",
		Help: "a model engine",
		Attach: func(sub *flaggy.Subcommand) {
			sub.String(&listen, "l", "listen", "IP:port to listen on")
			sub.String(&store, "w", "weight-store", "base URL of the weight store (empty: checkpoints come at once)")
			sub.Int64(&options.MemoryBytes, "m", "memory-bytes", "engine memory")
			sub.Int(&options.Slots, "n", "slots", "requests that run at once")
			sub.Int(&options.MaxQueued, "q", "queue", "requests that wait for a slot")
			sub.Bool(&options.ChecksTokens, "c", "checks-tokens", "refuse orders with a stale fencing token")
			sub.String(&role, "r", "role", "both, prefill or decode")
			sub.Duration(&options.TokenTime, "t", "token-time", "time of a decoding step with one request")
			sub.Duration(&options.TokenTimePerRequest, "b", "token-time-per-request", "more time for each further request")
			sub.Duration(&options.PrefillTimePerToken, "p", "prefill-time", "time for a prompt token that is not cached")
			sub.Float64(&options.DiskBytesPerSecond, "d", "disk-bytes-per-second", "speed of loads from disk (0: 4 GiB/s)")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			// A restarted process must have a different name than its predecessor.
			options.Name = fmt.Sprintf("%s-%d", listen, time.Now().UnixNano())
			options.Role = engine.Role(role)
			if store != "" {
				options.Fetcher = weightstore.NewClient(store, httpjson.DefaultClient())
			}
			e := engineserver.New(options)
			defer e.Close()
			return serveHTTP(ctx, out, listen, e.Handler())
		},
	}
}
