package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"bergamotreel/internal/daylog"
	"bergamotreel/internal/hindsight"
	"bergamotreel/internal/verbs"
)

// hindsightFlags holds the flags of the verb hindsight.
type hindsightFlags struct {
	file       string
	worths     []string
	seed       int64
	rounds     int
	causesOnly bool
	byWindow   bool
}

// newHindsightVerb returns the verb that evaluates a day from the logs of the entry
// VMs.
func newHindsightVerb() verbs.Verb {
	f := &hindsightFlags{seed: 1, rounds: 60000}
	return verbs.Verb{
		Name:   "hindsight",
		Help:   "from the logs of entry VMs: what requests lost and why, and what the best placement could have served",
		Attach: f.attach,
		Run:    f.run,
	}
}

func (f *hindsightFlags) attach(sub *flaggy.Subcommand) {
	sub.AddPositionalValue(&f.file, "FILE", 1, true, "log lines of all entry VMs, - for standard input")
	sub.StringSlice(&f.worths, "w", "worth", "TARGET/ALLOWED=INTIME:LATE, what a request of that target and longest time earns, may be repeated; else 1:0.3")
	sub.Int64(&f.seed, "s", "seed", "seed of the search for a schedule")
	sub.Int(&f.rounds, "n", "rounds", "rounds of the search")
	sub.Bool(&f.causesOnly, "c", "causes", "only the table of causes")
	sub.Bool(&f.byWindow, "", "windows", "the table of causes by windows of two seconds")
}

func (f *hindsightFlags) run(_ context.Context, out io.Writer) error {
	worths, err := parseWorths(f.worths)
	if err != nil {
		return verbs.UsageError("%v", err)
	}
	days, err := readDays(f.file)
	if err != nil {
		return err
	}
	for _, service := range slices.Sorted(maps.Keys(days)) {
		day := days[service]
		fmt.Fprintf(out, "%s: %d requests over %v, %d engines, %d models\n", service, len(day.Requests), day.Length.Round(time.Second), len(day.Engines), len(day.Models))
		if day.PlannerOverlap > 0 {
			fmt.Fprintf(out, "two VMs planned at once for %v (%s): swaps below are of both\n", day.PlannerOverlap.Round(time.Millisecond), strings.Join(day.Planners, ", "))
		}
		if err := writeLosses(out, hindsight.ListLosses(day, worths.worthOf), f.byWindow); err != nil {
			return err
		}
		if f.causesOnly {
			continue
		}
		if err := writeAnalysis(out, hindsight.Analyze(day, worths.worthOf, hindsight.Settings{Seed: f.seed, Rounds: f.rounds})); err != nil {
			return err
		}
	}
	return nil
}

func readDays(path string) (map[string]*daylog.Day, error) {
	if path == "-" {
		return daylog.Read(os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return daylog.Read(file)
}

// kindWorth assigns a worth to the requests with one target and one longest time.
type kindWorth struct {
	target, allowed time.Duration
	worth           hindsight.Worth
}

// kindWorths holds the worths that the flags define.
type kindWorths []kindWorth

// defaultWorth is the worth of a request for which no flag defines one.
var defaultWorth = hindsight.Worth{InTime: 1, Late: 0.3}

// worthOf returns the worth of the kind that has the given target and the longest
// time closest to allowed.
func (k kindWorths) worthOf(target, allowed time.Duration) hindsight.Worth {
	best, minDifference := defaultWorth, time.Duration(-1)
	for _, kind := range k {
		if kind.target != target {
			continue
		}
		if difference := (kind.allowed - allowed).Abs(); minDifference < 0 || difference < minDifference {
			best, minDifference = kind.worth, difference
		}
	}
	return best
}

// parseWorths parses the values of the flag -worth.
func parseWorths(texts []string) (kindWorths, error) {
	var out kindWorths
	for _, text := range texts {
		kind, err := parseWorth(text)
		if err != nil {
			return nil, fmt.Errorf("%q is no TARGET/ALLOWED=INTIME:LATE: %w", text, err)
		}
		out = append(out, kind)
	}
	return out, nil
}

// parseWorth parses one TARGET/ALLOWED=INTIME:LATE.
func parseWorth(text string) (kind kindWorth, err error) {
	times, worths, _ := strings.Cut(text, "=")
	target, allowed, _ := strings.Cut(times, "/")
	inTime, late, _ := strings.Cut(worths, ":")
	if kind.target, err = time.ParseDuration(target); err != nil {
		return kind, err
	}
	if kind.allowed, err = time.ParseDuration(allowed); err != nil {
		return kind, err
	}
	if kind.worth.InTime, err = strconv.ParseFloat(inTime, 64); err != nil {
		return kind, err
	}
	kind.worth.Late, err = strconv.ParseFloat(late, 64)
	return kind, err
}

// writeLosses writes the table of causes, over the whole day or by windows.
func writeLosses(out io.Writer, losses []hindsight.Loss, byWindow bool) error {
	if !byWindow {
		losses = sumWindows(losses)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "from\troute\ttarget\trequests\tworth lost\tcause")
	for _, l := range losses {
		fmt.Fprintf(table, "%v\t%s\t%v\t%d\t%.1f\t%s\n", l.From, l.Route, l.Target, l.Requests, l.WorthLost, l.Cause)
	}
	return table.Flush()
}

// sumWindows adds up the windows by route, target and cause and sorts by the worth
// lost, largest first.
func sumWindows(losses []hindsight.Loss) []hindsight.Loss {
	sums := make(map[hindsight.Loss]hindsight.Loss)
	for _, l := range losses {
		key := hindsight.Loss{Route: l.Route, Target: l.Target, Cause: l.Cause}
		sum := sums[key]
		sum.Route, sum.Target, sum.Cause = l.Route, l.Target, l.Cause
		sum.Requests += l.Requests
		sum.WorthLost += l.WorthLost
		sums[key] = sum
	}
	return slices.SortedFunc(maps.Values(sums), func(a, b hindsight.Loss) int {
		return cmp.Or(cmp.Compare(b.WorthLost, a.WorthLost), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Cause, b.Cause))
	})
}

// writeAnalysis writes the worth earned beside what other placements could have
// earned, and the windows with the largest losses.
func writeAnalysis(out io.Writer, analysis hindsight.Analysis) error {
	share := func(part, whole float64) float64 {
		if whole == 0 {
			return 0
		}
		return part / whole
	}
	fmt.Fprintf(out, "\n%d callers' requests for models, by whether an engine had theirs in time:\n", analysis.Requests)
	fmt.Fprintf(out, "worth owed %.1f, ours %.1f (%.3f), loads once asked for %.1f (%.3f), knowing the day %.1f (%.3f), bound %.1f (%.3f); ours of answering %.3f, of knowing %.3f\n",
		analysis.TotalWorth, analysis.ActualWorth, share(analysis.ActualWorth, analysis.TotalWorth), analysis.ReactiveWorth, share(analysis.ReactiveWorth, analysis.TotalWorth), analysis.ForesightWorth, share(analysis.ForesightWorth, analysis.TotalWorth),
		analysis.UpperBound, share(analysis.UpperBound, analysis.TotalWorth), share(analysis.ActualWorth, analysis.ReactiveWorth), share(analysis.ActualWorth, analysis.ForesightWorth))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "from\tmodel\trequests\tlost\tour plan\tthe schedule")
	for _, m := range analysis.LargestLosses {
		fmt.Fprintf(table, "%v\t%s\t%d\t%.1f\t%s\t%s\n", m.From, m.Model, m.Requests, m.WorthLost, m.ActualSwaps, m.ScheduledLoads)
	}
	return table.Flush()
}
