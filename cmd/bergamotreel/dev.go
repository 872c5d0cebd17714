package main

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"bergamotreel/internal/devsystem"
	"bergamotreel/internal/telemetry"
	"bergamotreel/internal/verbs"
)

// devVerb runs a whole small system on loopback.
func devVerb() verbs.Verb {
	check := false
	level := "error"
	return verbs.Verb{
		Name: "dev",
		Help: "run a whole small system on loopback, with stand-ins for all that is outside",
		Attach: func(sub *flaggy.Subcommand) {
			sub.Bool(&check, "k", "check", "send real requests, exit 0 only if all answers are right")
			sub.String(&level, "l", "log-level", "debug, info, warn or error")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			logger, err := telemetry.NewLogger(level)
			if err != nil {
				return verbs.UsageError("%v", err)
			}
			ctx, stop := context.WithCancel(ctx)
			defer stop()
			system, err := devsystem.Start(ctx, logger)
			if err != nil {
				return err
			}
			if err := system.PublishContracts(ctx); err != nil {
				return err
			}
			if check {
				err = system.Check(ctx, out)
				stop()
			} else {
				printSystem(out, system)
				<-ctx.Done()
			}
			if waited := system.Wait(); err == nil {
				err = waited
			}
			return err
		},
	}
}

func printSystem(out io.Writer, s *devsystem.System) {
	for _, e := range s.Entries {
		fmt.Fprintf(out, "%-18s callers http://%s  operators http://%s  metrics http://%s/metrics\n",
			e.ID, e.Callers, e.Operators, e.Metrics)
	}
	fmt.Fprintf(out, "caller's key %s, operators' token %s\n\n", devsystem.TrinidadKey, devsystem.OperatorToken)
	fmt.Fprintf(out, `curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \
  -d '{"model":"clerk-7b","stream":true,"messages":[{"role":"user","content":"Draft a rental agreement."}]}'
`, s.Entries[0].Callers, devsystem.TrinidadKey)
}
