package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"

	"bergamotreel/internal/replay"
	"bergamotreel/internal/verbs"
)

// newReplayVerb returns the verb that compares placement policies over the traffic of
// one day of a deployment, in virtual time.
func newReplayVerb() verbs.Verb {
	deployment, out := "trinidad", "docs/measures"
	seed, workers := uint64(1), 4
	selected := replay.Selection{}
	return verbs.Verb{
		Name: "replay",
		Help: "compare placement policies over a deployment's day in virtual time",
		Attach: func(sub *flaggy.Subcommand) {
			sub.String(&deployment, "d", "deployment", "trinidad or kathmandu")
			sub.String(&out, "o", "out", "directory for NAME-SEED.md, .json and .svg")
			sub.UInt64(&seed, "s", "seed", "seed of the day and of all choices")
			sub.Int(&workers, "n", "workers", "runs at a time")
			sub.StringSlice(&selected.Policies, "p", "policy", "part of the name of a policy to run, may be repeated; all without it")
			sub.Bool(&selected.NoFaults, "x", "no-faults", "leave the days with a fault out")
			sub.Bool(&selected.OnlyFaults, "f", "only-faults", "run only the days with a fault")
			sub.Bool(&selected.MeasureNoise, "r", "noise", "redraw one office's requests without a burst, too")
		},
		Run: func(ctx context.Context, table io.Writer) error {
			return runReplay(ctx, table, deployment, out, seed, workers, selected)
		},
	}
}

// runReplay compares the policies and writes the report to files below out and, as a
// table, to table.
func runReplay(ctx context.Context, table io.Writer, name, out string, seed uint64, workers int, selected replay.Selection) error {
	deployments := map[string]replay.Deployment{"trinidad": replay.Trinidad(), "kathmandu": replay.Kathmandu()}
	d, ok := deployments[name]
	if !ok {
		return fmt.Errorf("no deployment %q", name)
	}
	report, err := replay.Compare(ctx, d, seed, workers, selected)
	if err != nil {
		return err
	}
	base := filepath.Join(out, fmt.Sprintf("%s-%d", name, seed))
	if err := writeReport(report, base); err != nil {
		return err
	}
	return report.WriteMarkdown(table)
}

// writeReport writes the report as JSON, as a Markdown table and as a plot to files
// that begin with base.
func writeReport(report *replay.Report, base string) error {
	encoded, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(base+".json", append(encoded, '\n'), 0o644); err != nil {
		return err
	}
	file, err := os.Create(base + ".md")
	if err != nil {
		return err
	}
	if err := report.WriteMarkdown(file); err != nil {
		file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	return report.Plot(base + ".svg")
}
