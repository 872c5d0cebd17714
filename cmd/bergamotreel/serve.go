package main

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"bergamotreel/internal/daemon"
	"bergamotreel/internal/settings"
	"bergamotreel/internal/telemetry"
)

// serveVerb runs one entry VM.
func serveVerb() verb {
	config := ""
	return verb{
		name: "serve",
		help: "run an entry VM until SIGTERM, then shut down gracefully",
		attach: func(sub *flaggy.Subcommand) {
			sub.String(&config, "c", "config", "settings file (INI)")
		},
		run: func(ctx context.Context, _ io.Writer) error {
			if config == "" {
				return usageError("name the settings file with -config")
			}
			s, err := settings.Load(config)
			if err != nil {
				return err
			}
			logger, err := telemetry.NewLogger(s.Log.Level)
			if err != nil {
				return err
			}
			defer func() { _ = logger.Sync() }()
			d, err := daemon.New(s, versionLine(), logger)
			if err != nil {
				return err
			}
			return d.Run(ctx)
		},
	}
}
