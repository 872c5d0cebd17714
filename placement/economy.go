package placement

import "time"

// Costs are in accelerator seconds, so that waiting and idle memory compare.
const (
	// coldCostPerSecond is what a second of cold start costs at a weight of 1:
	// at an even weight, a cold start of ten seconds is worth five accelerator
	// minutes, about what keeping a middling model for a quarter of an hour is.
	coldCostPerSecond = 30
	// coldTail is the load time whose seconds cost twice as much as those of
	// the shortest: the measure is the tail, so long loads weigh more.
	coldTail = 10 * time.Second
)

// coldCost is the cost of one cold start that takes load.
func (c Config) coldCost(load time.Duration) float64 {
	seconds := load.Seconds()
	return c.ColdStartWeight * coldCostPerSecond * seconds * (1 + seconds/coldTail.Seconds())
}

// idleCost is the cost of a second in which a share of an accelerator is kept
// idle.
func (c Config) idleCost(share float64) float64 { return (1 - c.ColdStartWeight) * share }
