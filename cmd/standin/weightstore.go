package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"bergamotreel/internal/standin/weightserver"
	"bergamotreel/internal/verbs"

	"github.com/integrii/flaggy"
)

// newWeightStoreVerb returns the verb that runs the stand-in for the platform's weight
// store.
func newWeightStoreVerb() verbs.Verb {
	listen := "127.0.0.1:7103"
	file := ""
	// The rates match the stores of both deployments: a 7 GB checkpoint takes 7 s.
	config := weightserver.Config{
		DefaultBytes: 1 << 30, BytesPerSecond: 1e9, MaxConcurrentLoads: 4, LoadsPerSecond: 4,
	}
	return verbs.Verb{
		Name: "weightstore",
		Help: "the platform's store of checkpoints",
		Attach: func(sub *flaggy.Subcommand) {
			sub.String(&listen, "l", "listen", "IP:port to listen on")
			sub.String(&file, "f", "file", "JSON file with sizes: {\"checkpoint\":bytes}")
			sub.Int64(&config.DefaultBytes, "d", "default-bytes", "size of checkpoints not in the file (0: they don't exist)")
			sub.Float64(&config.BytesPerSecond, "r", "bytes-per-second", "full speed of one load (0: immediate)")
			sub.Int(&config.MaxConcurrentLoads, "n", "at-once", "loads that run at full speed together (0: all)")
			sub.Float64(&config.LoadsPerSecond, "s", "loads-per-second", "starts of loads a second (0: no limit)")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			if err := readSizes(file, &config.Checkpoints); err != nil {
				return err
			}
			return serveHTTP(ctx, out, listen, weightserver.Handler(weightserver.New(config)))
		},
	}
}

// readSizes reads checkpoint sizes from the file unless its name is empty.
func readSizes(file string, sizes *map[string]int64) error {
	if file == "" {
		return nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, sizes)
}
