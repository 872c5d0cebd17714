package main

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"bergamotreel/internal/daemon"
	"bergamotreel/internal/settings"
	"bergamotreel/internal/telemetry"
	"bergamotreel/internal/verbs"
)

// serveVerb runs one entry VM.
func serveVerb() verbs.Verb {
	config := ""
	return verbs.Verb{
		Name: "serve",
		Help: "run an entry VM until SIGTERM, then shut down gracefully",
		Attach: func(sub *flaggy.Subcommand) {
			sub.String(&config, "c", "config", "settings file (INI)")
		},
		Run: func(ctx context.Context, _ io.Writer) error {
			if config == "" {
				return verbs.UsageError("name the settings file with -config")
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
