package replay

import (
	"context"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"
)

// faultPolicies are run under each fault.
var faultPolicies = []string{"fixed 10 min", "least recently used", "each router on its own", "ours, weight 0.5", "ours, weight 0.9"}

// Selection narrows a comparison; the zero value is all of it.
type Selection struct {
	// Policies are parts of the names of those to run.
	Policies []string
	// NoFaults leaves the days with a fault out.
	NoFaults bool
	// OnlyFaults runs nothing but the days with a fault.
	OnlyFaults bool
	// Noise adds the runs that redraw one office's usual requests.
	MeasureNoise bool
}

func (s Selection) policies() []Policy {
	return slices.DeleteFunc(Policies(), func(p Policy) bool {
		return len(s.Policies) > 0 && !slices.ContainsFunc(s.Policies, func(part string) bool { return strings.Contains(p.Name, part) })
	})
}

// Compare runs the selected policies of one deployment at one seed, workers runs
// at a time. Each run is its own, so the outcome does not depend on workers.
func Compare(ctx context.Context, d Deployment, seed uint64, workers int, selected Selection) (*Report, error) {
	chosen := selected.policies()
	policies := chosen
	if selected.OnlyFaults {
		policies = nil
	}
	plain := make([]Row, len(policies))
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
	beside, alone, redrawn := make([]*Result, len(policies)), make([]*Result, len(policies)), make([]*Result, len(policies))
	for i, p := range policies {
		run(Options{Policy: p, Fault: FaultNone}, func(r *Result) { plain[i].Result = r })
		run(Options{Policy: p, Busy: true}, func(r *Result) { alone[i] = r })
		run(Options{Policy: p, Busy: true, Burst: true}, func(r *Result) { beside[i] = r })
		if selected.MeasureNoise {
			run(Options{Policy: p, Busy: true, Resampled: true}, func(r *Result) { redrawn[i] = r })
		}
	}
	var faulty []Options
	for _, fault := range Faults {
		for _, p := range chosen {
			if fault != FaultNone && underFaults(p) && !selected.NoFaults {
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
	for i := range plain {
		plain[i].Bystander = worstBystander(beside[i], alone[i])
		if selected.MeasureNoise {
			plain[i].Bystander.Noise = worstBystander(redrawn[i], alone[i]).Ratio
		}
	}
	report.Plain = plain
	report.Verdicts = judge(policies, plain)
	return report, nil
}

func underFaults(p Policy) bool {
	for _, name := range faultPolicies {
		if p.Name == name {
			return true
		}
	}
	return false
}
