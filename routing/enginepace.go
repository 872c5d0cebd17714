package routing

import "time"

const (
	// paceCost is the cost, as a share of its slots, of an engine on which the stream certainly misses its
	// targets. It exceeds otherDomainCost plus a full load, so a long stream goes to an engine that fails it only
	// if none of those drawn can keep its targets. A short stream loses little, so load decides.
	paceCost = 2.0
	// paceDecay times the share of free slots is the exponent by which the same probability lowers the weight of an
	// engine in the weighted draw. Only differences between engines count: if all are slow, all keep their share.
	// It shrinks with the free slots, as it would fill fast engines beyond their slots by outdated counts.
	paceDecay = 4.0
)

// freeShare returns the share of free slots of the eligible engines.
func (r *Router) freeShare() float64 {
	free, slots := 0, 0
	for i := range r.eligible {
		free += r.eligible[i].freeSlots
		slots += r.eligible[i].candidate.Slots
	}
	return min(1, float64(free)/float64(max(1, slots)))
}

// slowness returns how many times less a slot of the engine is worth than one of a usual engine of its
// pool, between 1 and 3.
func (r *Router) slowness(now time.Time, q Query, v *eligibleEngine) float64 {
	return max(1, r.latency[q.Pool].slowness(now, v.candidate.Engine), v.candidate.Pace.Slowness())
}

// missProbability returns the estimated probability that the request misses its targets on the engine, 0
// if it has none or nothing is known.
func missProbability(now time.Time, q Query, v *eligibleEngine) float64 {
	if !q.Pace.IsSet() {
		return 0
	}
	return v.candidate.Pace.MissProbability(now, q.Pace)
}
