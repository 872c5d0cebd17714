package replay

import (
	"context"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"
)

// faultPolicies are the names of the policies that run under each fault.
var faultPolicies = []string{"fixed 10 min", "least recently used", "each router on its own", "ours, weight 0.5", "ours, weight 0.9"}

// Selection limits a comparison to some of its runs; the zero value selects all
// but the noise runs.
type Selection struct {
	// Policies selects the policies whose name contains one of these strings;
	// empty selects all.
	Policies []string
	// NoFaults leaves out the runs with a fault.
	NoFaults bool
	// OnlyFaults leaves out the runs without a fault.
	OnlyFaults bool
	// MeasureNoise adds runs in which one office's usual requests are drawn from
	// another random stream.
	MeasureNoise bool
}

func (s Selection) policies() []Policy {
	return slices.DeleteFunc(Policies(), func(p Policy) bool {
		return len(s.Policies) > 0 && !slices.ContainsFunc(s.Policies, func(part string) bool { return strings.Contains(p.Name, part) })
	})
}

// Compare runs the selected policies on one deployment with one seed, up to
// workers runs at a time. Runs share no state, so the report does not depend on
// workers.
func Compare(ctx context.Context, d Deployment, seed uint64, workers int, selected Selection) (*Report, error) {
	selectedPolicies := selected.policies()
	policies := selectedPolicies
	if selected.OnlyFaults {
		policies = nil
	}
	rows := make([]Row, len(policies))
	report := &Report{Deployment: d.Name, Seed: seed}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(workers, 1))
	run := func(opt Options, done func(*Result)) {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			opt.Deployment, opt.Seed, opt.Days = d, seed, DaysOfHistory+1
			done(Run(opt))
			return nil
		})
	}
	withBurst, withoutBurst, resampled := make([]*Result, len(policies)), make([]*Result, len(policies)), make([]*Result, len(policies))
	for i, p := range policies {
		run(Options{Policy: p, Fault: FaultNone}, func(r *Result) { rows[i].Result = r })
		run(Options{Policy: p, Busy: true}, func(r *Result) { withoutBurst[i] = r })
		run(Options{Policy: p, Busy: true, Burst: true}, func(r *Result) { withBurst[i] = r })
		if selected.MeasureNoise {
			run(Options{Policy: p, Busy: true, Resampled: true}, func(r *Result) { resampled[i] = r })
		}
	}
	var faulty []Options
	for _, fault := range Faults {
		for _, p := range selectedPolicies {
			if fault != FaultNone && runsUnderFaults(p) && !selected.NoFaults {
				faulty = append(faulty, Options{Policy: p, Fault: fault})
			}
		}
	}
	report.Faulty = make([]*Result, len(faulty))
	for i, opt := range faulty {
		run(opt, func(r *Result) { report.Faulty[i] = r })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i := range rows {
		rows[i].Bystander = worstBystander(withBurst[i], withoutBurst[i])
		if selected.MeasureNoise {
			rows[i].Bystander.Noise = worstBystander(resampled[i], withoutBurst[i]).Ratio
		}
	}
	report.Plain = rows
	report.Verdicts = evaluateGoals(policies, rows)
	return report, nil
}

func runsUnderFaults(p Policy) bool {
	for _, name := range faultPolicies {
		if p.Name == name {
			return true
		}
	}
	return false
}
