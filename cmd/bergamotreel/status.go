package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"bergamotreel/internal/verbs"
	"bergamotreel/operator"
)

// maxRows bounds the rows of each table of the status without -all.
const maxRows = 40

// statusCommand implements the verb "status".
type statusCommand struct {
	connection *connection
	asJSON     bool
	all        bool
}

// statusVerb prints the status of the system.
func statusVerb() verbs.Verb {
	s := &statusCommand{connection: newConnection()}
	return verbs.Verb{
		Name:   "status",
		Help:   "which contracts are in force where, what is loaded, refused, missing and behind",
		Attach: s.attach,
		Run:    s.run,
	}
}

func (s *statusCommand) attach(sub *flaggy.Subcommand) {
	sub.Bool(&s.asJSON, "j", "json", "print JSON for programs")
	sub.Bool(&s.all, "a", "all", fmt.Sprintf("print all rows of each table, not the first %d", maxRows))
	s.connection.attach(sub)
}

func (s *statusCommand) run(ctx context.Context, out io.Writer) error {
	op, err := s.connection.open()
	if err != nil {
		return err
	}
	report, err := op.Status(ctx)
	if err != nil {
		return err
	}
	if s.asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	page := statusPage{out: out, now: time.Now(), rows: maxRows}
	if s.all {
		page.rows = len(report.Engines) + len(report.VMs) + len(report.Contracts) + unitCount(report)
	}
	return page.print(report)
}

// statusPage prints a report for people.
type statusPage struct {
	out io.Writer
	now time.Time
	// rows bounds each table.
	rows int
}

func (p statusPage) print(report operator.StatusReport) error {
	p.printReportingVM(report)
	for _, print := range []func(operator.StatusReport) error{
		p.printVMs, p.printContracts, p.printUnits, p.printEngines, p.printRefusals,
	} {
		if err := print(report); err != nil {
			return err
		}
	}
	return nil
}

func (p statusPage) printReportingVM(report operator.StatusReport) {
	vm := report.VM
	ready := "ready"
	if !vm.Ready {
		ready = "NOT READY: " + vm.NotReadyReason
	}
	fmt.Fprintf(p.out, "%s in %s, region %s: %s, up %s, %s\n", vm.ID, vm.Domain, vm.Region, ready, p.formatAge(vm.StartedAt), vm.Version)
	fmt.Fprintf(p.out, "log: %s, %d records skipped\n", p.describeLog(report.Log), report.Log.SkippedRecords)
	for _, missing := range report.VMs {
		if missing.Missing {
			leaving := ""
			if missing.Leaving {
				leaving = ", was leaving"
			}
			fmt.Fprintf(p.out, "MISSING: %s in %s, last heard %s%s\n", missing.ID, missing.Domain, p.formatSince(missing.LastDigestAt), leaving)
		}
	}
}

// describeLog returns how far this VM has read the log. While the log is unreachable its
// end is unknown: the lag is then a lower bound, and records received from another entry
// VM can be newer than the last known end.
func (p statusPage) describeLog(log operator.LogPosition) string {
	if log.Reachable {
		return fmt.Sprintf("reachable, offset %d of %d, %d behind", log.Applied, log.End, log.Lag)
	}
	return fmt.Sprintf("OUT OF REACH, last answer %s, offset %d, newest known %d, at least %d behind",
		p.formatSince(log.LastReachedAt), log.Applied, max(log.Applied, log.End), log.Lag)
}

// formatAge returns the time since t in whole seconds.
func (p statusPage) formatAge(t time.Time) string {
	return p.now.Sub(t).Truncate(time.Second).String()
}

func (p statusPage) formatSince(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return p.formatAge(t) + " ago"
}

func (p statusPage) printVMs(report operator.StatusReport) error {
	table := p.startTable("ENTRY VM", "DOMAIN", "OFFSET", "NEWEST CONTRACT", "HEARD", "STATE")
	for i, vm := range report.VMs {
		if i == p.rows {
			break
		}
		newest := formatVersion(vm.NewestContract)
		if vm.NewestContract == 0 {
			newest = "unknown"
		}
		table.row(vm.ID, vm.Domain, vm.Applied, newest, p.formatSince(vm.LastDigestAt), nodeState(vm.Missing, vm.Leaving))
	}
	return p.finishTable(table, len(report.VMs))
}

func nodeState(missing, leaving bool) string {
	switch {
	case missing && leaving:
		return "MISSING, was leaving"
	case missing:
		return "MISSING"
	case leaving:
		return "leaving"
	}
	return "live"
}

func (p statusPage) printContracts(report operator.StatusReport) error {
	table := p.startTable("CUSTOMER", "VERSION", "IN FORCE ON", "MODELS", "ADAPTERS", "SERVICES")
	for i, c := range report.Contracts {
		if i == p.rows {
			break
		}
		behind, total := vmsBehind(report, c.Version)
		inForce := fmt.Sprintf("%d of %d VMs", total-len(behind), total)
		if c.Removed {
			inForce += " (removed)"
		}
		table.row(c.Customer, formatVersion(c.Version), inForce, c.Models, c.Adapters, c.Services)
	}
	return p.finishTable(table, len(report.Contracts))
}

// unitLine summarizes a unit over all engines.
type unitLine struct {
	name, customer string
	// phases counts the replicas on reachable engines by phase, missing those on missing
	// engines.
	phases  map[operator.Phase]int
	missing int
	// loadingSince is the start of the oldest load in progress on a reachable engine, zero
	// if unknown.
	loadingSince time.Time
	waiting      operator.WaitingUnit
}

// unitLines summarizes the units. Units with waiting requests come first, sorted by least
// time left.
func unitLines(report operator.StatusReport) []*unitLine {
	type key struct{ name, customer string }
	lines := map[key]*unitLine{}
	lineOf := func(name, customer string) *unitLine {
		k := key{name, customer}
		if lines[k] == nil {
			lines[k] = &unitLine{name: name, customer: customer, phases: map[operator.Phase]int{}}
		}
		return lines[k]
	}
	for _, engine := range report.Engines {
		for _, unit := range engine.Units {
			line := lineOf(unit.Name, unit.Customer)
			if engine.Missing {
				line.missing++
				continue
			}
			line.phases[unit.Phase]++
			if unit.Phase == operator.PhaseLoading && !unit.PhaseSince.IsZero() && (line.loadingSince.IsZero() || unit.PhaseSince.Before(line.loadingSince)) {
				line.loadingSince = unit.PhaseSince
			}
		}
	}
	for _, waiting := range report.Waiting {
		lineOf(waiting.Name, waiting.Customer).waiting = waiting
	}
	return slices.SortedFunc(maps.Values(lines), compareUnitLines)
}

func compareUnitLines(a, b *unitLine) int {
	if (a.waiting.Requests > 0) != (b.waiting.Requests > 0) {
		return cmp.Compare(b.waiting.Requests, a.waiting.Requests)
	}
	return cmp.Or(
		cmp.Compare(a.waiting.TimeLeft, b.waiting.TimeLeft),
		cmp.Compare(a.name, b.name),
		cmp.Compare(a.customer, b.customer),
	)
}

func unitCount(report operator.StatusReport) int {
	count := len(report.Waiting)
	for _, engine := range report.Engines {
		count += len(engine.Units)
	}
	return count
}

func (p statusPage) printUnits(report operator.StatusReport) error {
	lines := unitLines(report)
	table := p.startTable("MODEL", "CUSTOMER", "LOADED", "LOADING", "LOADING FOR", "UNLOADING", "STANDBY", "MISSING", "WAITING", "TIME LEFT")
	for i, line := range lines {
		if i == p.rows {
			break
		}
		left, loading := "-", "-"
		if !line.loadingSince.IsZero() {
			loading = p.formatAge(line.loadingSince)
		}
		if line.waiting.Requests > 0 {
			left = line.waiting.TimeLeft.Truncate(time.Millisecond).String()
		}
		table.row(line.name, line.customer,
			line.phases[operator.PhaseLoaded], line.phases[operator.PhaseLoading], loading,
			line.phases[operator.PhaseUnloading], line.phases[operator.PhaseStandby],
			line.missing, line.waiting.Requests, left)
	}
	return p.finishTable(table, len(lines))
}

func (p statusPage) printEngines(report operator.StatusReport) error {
	table := p.startTable("ENGINE", "DOMAIN", "KEEPER", "TOKENS", "MEMORY", "STATE")
	for i, e := range report.Engines {
		if i == p.rows {
			break
		}
		keeper := cmp.Or(e.Keeper, "none")
		tokens := "ignored"
		if e.ChecksTokens {
			tokens = "checked"
		}
		memory := formatGB(e.UsedBytes) + " of " + formatGB(e.MemoryBytes)
		table.row(e.Name, e.Domain, keeper, tokens, memory, nodeState(e.Missing, e.Leaving))
	}
	return p.finishTable(table, len(report.Engines))
}

// formatGB formats a size in decimal gigabytes, as contracts do.
func formatGB(bytes int64) string {
	return strconv.FormatFloat(float64(bytes)/1e9, 'f', 1, 64) + "GB"
}

func (p statusPage) printRefusals(report operator.StatusReport) error {
	table := p.startTable("REFUSED", "REASON", "COUNT")
	for i, r := range report.Refusals {
		if i == p.rows {
			break
		}
		table.row(cmp.Or(r.Customer, "(unknown)"), r.Code, r.Count)
	}
	return p.finishTable(table, len(report.Refusals))
}

func (p statusPage) startTable(columns ...string) table {
	fmt.Fprintln(p.out)
	return newTable(p.out, columns...)
}

// finishTable prints the table and the number of omitted rows.
func (p statusPage) finishTable(table table, rows int) error {
	if err := table.flush(); err != nil {
		return err
	}
	if rows == 0 {
		fmt.Fprintln(p.out, "none")
	}
	if rows > p.rows {
		fmt.Fprintf(p.out, "... and %d more (-all prints them)\n", rows-p.rows)
	}
	return nil
}
