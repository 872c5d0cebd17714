package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"bergamotreel/internal/daemon"
	"bergamotreel/internal/settings"
	"bergamotreel/internal/telemetry"
	"bergamotreel/internal/verbs"
)

// configVariable is the environment variable that names the settings file if -config isn't
// given.
const configVariable = "BERGAMOTREEL_CONFIG"

// serveVerb runs one entry VM.
func serveVerb() verbs.Verb {
	config, check := "", false
	return verbs.Verb{
		Name: "serve",
		Help: "run an entry VM until SIGTERM, then shut down gracefully",
		Attach: func(sub *flaggy.Subcommand) {
			sub.String(&config, "c", "config", "settings file (INI); default: the one named in "+configVariable)
			sub.Bool(&check, "k", "check", "check the settings and tell what would run, without running it")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			// The loss of the log's reader must not end the process.
			signal.Ignore(syscall.SIGPIPE)
			if config == "" {
				config = os.Getenv(configVariable)
			}
			if config == "" {
				return verbs.UsageError("name the settings file with -config, or in " + configVariable)
			}
			// Before the settings are read, so that none of their changes is missed.
			reload := make(chan os.Signal, 1)
			if !check {
				signal.Notify(reload, syscall.SIGHUP)
				defer signal.Stop(reload)
			}
			s, err := settings.Load(config)
			if err != nil {
				return err
			}
			if check {
				return explainSettings(out, s)
			}
			if s.Platform.Kind == settings.PlatformHosted {
				return serveHosted(ctx, s, reload)
			}
			signal.Stop(reload) // the signal ends this runtime
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
