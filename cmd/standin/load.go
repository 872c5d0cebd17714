package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"bergamotreel/internal/standin/loadgen"
	"bergamotreel/internal/verbs"
)

// errGuaranteeViolated is returned for a run with an outcome that is never allowed.
var errGuaranteeViolated = errors.New("a promise was broken: see the outcomes in capitals")

// loadFlags holds the flags of the verb load.
type loadFlags struct {
	settings                       loadgen.Settings
	targets, models, serviceAdmins string
	compareDirect, metrics         string
	workers, streams               int
	hold                           time.Duration
	json                           bool
}

// newLoadVerb returns the verb that runs the load generator in place of the callers.
func newLoadVerb() verbs.Verb {
	f := &loadFlags{
		targets: "127.0.0.1:7001", workers: 1, hold: 30 * time.Second,
		settings: loadgen.Settings{
			Rate: 20, BurstInterval: 10 * time.Second, Duration: 30 * time.Second, StreamShare: 0.8,
			RepeatShare: 0.5, MaxTokens: 16, PromptBytes: 1024, Timeout: 2 * time.Minute, Seed: 1,
		},
	}
	return verbs.Verb{Name: "load", Help: "callers: sends requests and checks the answers", Attach: f.attach, Run: f.run}
}

func (f *loadFlags) attach(sub *flaggy.Subcommand) {
	s := &f.settings
	sub.String(&f.targets, "t", "targets", "IP:port of the entry VMs, separated by commas")
	sub.String(&s.APIKey, "k", "key", "API key")
	sub.String(&f.models, "m", "models", "models and adapters to ask for, most popular first, separated by commas")
	sub.String(&s.Service, "", "service", "plain service to book at")
	sub.String(&f.serviceAdmins, "", "service-admin", "IP:port of the service stand-ins, to check that no booking ran twice")
	sub.Float64(&s.Rate, "r", "rate", "requests a second")
	sub.Int(&s.BurstSize, "b", "burst", "requests for one model that come at once")
	sub.Duration(&s.BurstInterval, "", "burst-every", "time between bursts")
	sub.Duration(&s.Duration, "d", "duration", "how long to send")
	sub.Int(&s.MaxRequests, "n", "requests", "stop after that many")
	sub.Float64(&s.StreamShare, "", "stream-share", "share of generations that stream, 0 to 1")
	sub.Float64(&s.ServiceShare, "", "service-share", "share of requests that are bookings, 0 to 1")
	sub.Float64(&s.RepeatShare, "", "repeat-share", "share of bookings sent at two entry VMs with one key, 0 to 1")
	sub.Int(&s.MaxTokens, "", "tokens", "max_tokens of a generation")
	sub.Int(&s.PromptBytes, "", "prompt-bytes", "size of a prompt")
	sub.Duration(&s.Timeout, "", "timeout", "when an answer counts as never given")
	sub.UInt64(&s.Seed, "s", "seed", "makes the same requests again")
	sub.String(&f.compareDirect, "", "compare-direct", "IP:port of an engine: measure what the first target adds")
	sub.Int(&f.workers, "", "workers", "with compare-direct: streams at once")
	sub.Int(&f.streams, "", "streams", "open that many streams and hold them")
	sub.Duration(&f.hold, "", "hold", "with streams: how long")
	sub.String(&f.metrics, "", "metrics", "with streams: IP:port of the daemon's metrics page")
	sub.Bool(&f.json, "j", "json", "print JSON")
}

func (f *loadFlags) run(ctx context.Context, out io.Writer) error {
	f.settings.Targets = loadgen.SplitList(f.targets)
	f.settings.Models = loadgen.SplitList(f.models)
	f.settings.ServiceAdmins = loadgen.SplitList(f.serviceAdmins)
	switch {
	case f.compareDirect != "":
		comparison, err := loadgen.Compare(ctx, f.settings, f.compareDirect, f.workers)
		if err != nil {
			return err
		}
		return f.print(out, comparison)
	case f.streams > 0:
		held, err := loadgen.Hold(ctx, f.settings, f.streams, f.hold, f.metrics)
		if err != nil {
			return err
		}
		return f.print(out, held)
	}
	report, err := loadgen.Run(ctx, f.settings)
	if err != nil {
		return err
	}
	if err := f.print(out, report); err != nil {
		return err
	}
	if report.HasViolations() {
		return errGuaranteeViolated
	}
	return nil
}

// print writes a result as JSON or as a table.
func (f *loadFlags) print(out io.Writer, result loadgen.Result) error {
	if !f.json {
		return result.WriteTable(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}
