package replay

import (
	"fmt"
	"time"

	"bergamotreel/placement"
)

// Policy describes how requests are admitted and units are loaded and unloaded.
type Policy struct {
	Name string
	// FIFO replaces admission by a plain queue: no fairness, no limits, no early
	// refusal.
	FIFO bool
	// UsesPlanner lets the daemon's planner decide, with Config; otherwise a
	// baseline without a planner does.
	UsesPlanner bool
	Config      placement.Config
	// DropHistory drops the planner's history at midnight of the measured day.
	DropHistory bool
	// KeepAlive is the fixed keep-alive of a baseline; with 0 a unit stays loaded
	// until it is evicted.
	KeepAlive time.Duration
	// IndependentRouters lets every router load units for itself, without regard to
	// the others.
	IndependentRouters bool
}

func (p Policy) newDecider(s *sim) decider {
	if p.UsesPlanner {
		return newPlannerDecider(s, p.Config, p.DropHistory)
	}
	return newBaselineDecider(p.KeepAlive, p.IndependentRouters, s.opt.Seed)
}

// FixedKeepAlives are the keep-alives of the baselines.
var FixedKeepAlives = []time.Duration{time.Minute, 10 * time.Minute, time.Hour}

// isShippedPlanner reports whether the policy is the daemon's planner as it
// ships, with any cold-start weight.
func (p Policy) isShippedPlanner() bool {
	return p.UsesPlanner && p.Config.MaxKeepAlive == 0 && !p.DropHistory && !p.FIFO
}

// ColdStartWeights are the settings of placement.Config.ColdStartWeight at which
// the planner is measured.
var ColdStartWeights = []float64{0.02, 0.1, 0.3, 0.5, 0.7, 0.9}

// PlannerPolicy returns the daemon's planner with the given cold-start weight.
func PlannerPolicy(weight float64) Policy {
	return Policy{Name: fmt.Sprintf("ours, weight %g", weight), UsesPlanner: true, Config: plannerConfig(weight)}
}

func plannerConfig(weight float64) placement.Config {
	return placement.Config{ColdStartWeight: weight, Preload: true}
}

// Policies returns all policies of a comparison: the baselines, the planner with
// a fixed keep-alive (which separates the effect of the keep-alive from that of
// the cold path), and the planner as it ships.
func Policies() []Policy {
	var out []Policy
	for _, keepAlive := range FixedKeepAlives {
		out = append(out, Policy{Name: fmt.Sprintf("fixed %g min", keepAlive.Minutes()), KeepAlive: keepAlive})
	}
	out = append(out,
		Policy{Name: "least recently used"},
		Policy{Name: "each router on its own", KeepAlive: 10 * time.Minute, IndependentRouters: true},
		Policy{Name: "ours, weight 0.5, no fairness (FIFO)", UsesPlanner: true, Config: plannerConfig(0.5), FIFO: true},
	)
	for _, keepAlive := range FixedKeepAlives {
		cfg := placement.Config{ColdStartWeight: 0.5, MinKeepAlive: keepAlive, MaxKeepAlive: keepAlive}
		out = append(out, Policy{Name: fmt.Sprintf("our cold path, fixed %g min", keepAlive.Minutes()), UsesPlanner: true, Config: cfg})
	}
	for _, weight := range ColdStartWeights {
		out = append(out, PlannerPolicy(weight))
	}
	withoutHistory := PlannerPolicy(0.5)
	withoutHistory.Name, withoutHistory.DropHistory = "ours, weight 0.5, no history", true
	return append(out, withoutHistory)
}
