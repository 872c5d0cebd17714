package replay

import (
	"fmt"
	"time"

	"bergamotreel/placement"
)

// Policy is one way to run a deployment.
type Policy struct {
	Name string
	// FIFO turns admission off: no fairness, no limits, no early refusal.
	FIFO bool
	// Ours is whether the daemon's planner decides, with Config.
	Ours   bool
	Config placement.Config
	// Fresh forgets the planner's history at midnight of the measured day.
	Fresh bool
	// Keep is the fixed keep-alive of the policies by hand; 0 is "until evicted".
	Keep time.Duration
	// EachRouter loads on its own.
	EachRouter bool
}

func (p Policy) decider(s *sim) decider {
	if p.Ours {
		return newOurs(s, p.Config, p.Fresh)
	}
	return newByHand(p.Keep, p.EachRouter, s.opt.Seed)
}

// FixedKeeps are the baselines' keep-alives.
var FixedKeeps = []time.Duration{time.Minute, 10 * time.Minute, time.Hour}

// isOurs tells whether the policy is ours as it ships, at some weight.
func (p Policy) isOurs() bool { return p.Ours && p.Config.MaxKeepAlive == 0 && !p.Fresh && !p.FIFO }

// Weights are the settings at which ours is measured.
var Weights = []float64{0.02, 0.1, 0.3, 0.5, 0.7, 0.9}

// OursAt is our policy at a weight.
func OursAt(weight float64) Policy {
	return Policy{Name: fmt.Sprintf("ours, weight %g", weight), Ours: true, Config: oursConfig(weight)}
}

func oursConfig(weight float64) placement.Config {
	return placement.Config{ColdStartWeight: weight, Preload: true}
}

// Policies are all that are compared: by hand, ours with a fixed keep-alive
// (to tell the keep-alive's part from the cold path's), and ours.
func Policies() []Policy {
	var out []Policy
	for _, keep := range FixedKeeps {
		out = append(out, Policy{Name: fmt.Sprintf("fixed %g min", keep.Minutes()), Keep: keep})
	}
	out = append(out,
		Policy{Name: "least recently used"},
		Policy{Name: "each router on its own", Keep: 10 * time.Minute, EachRouter: true},
		Policy{Name: "ours, weight 0.5, no fairness (FIFO)", Ours: true, Config: oursConfig(0.5), FIFO: true},
	)
	for _, keep := range FixedKeeps {
		cfg := placement.Config{ColdStartWeight: 0.5, MinKeepAlive: keep, MaxKeepAlive: keep}
		out = append(out, Policy{Name: fmt.Sprintf("our cold path, fixed %g min", keep.Minutes()), Ours: true, Config: cfg})
	}
	for _, weight := range Weights {
		out = append(out, OursAt(weight))
	}
	fresh := OursAt(0.5)
	fresh.Name, fresh.Fresh = "ours, weight 0.5, no history", true
	return append(out, fresh)
}
