package placement

import "time"

// Costs are in accelerator seconds, so that cold starts and idle memory can be
// compared.
const (
	// coldStartCostPerSecond is the cost of a second of cold start at a weight of
	// 1. At a weight of 0.5, a cold start of ten seconds costs five accelerator
	// minutes, about as much as keeping a middle-sized model for a quarter of an
	// hour.
	coldStartCostPerSecond = 30
	// coldStartDoubling is the load time at which a second costs twice as much as
	// in the shortest loads. Long loads cost more per second because the goal is
	// the tail latency.
	coldStartDoubling = 10 * time.Second
)

// coldStartCost returns the cost of one cold start with the given load time.
func (c Config) coldStartCost(load time.Duration) float64 {
	seconds := load.Seconds()
	return c.ColdStartWeight * coldStartCostPerSecond * seconds * (1 + seconds/coldStartDoubling.Seconds())
}

// idleCost returns the cost of keeping a share of an accelerator idle for one
// second.
func (c Config) idleCost(share float64) float64 { return (1 - c.ColdStartWeight) * share }
