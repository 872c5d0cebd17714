package routing

import (
	"math"
	"slices"
	"time"
)

// Many entry VMs that choose by counts half a second old all see the same engine as the
// least busy and fill it together. They also hold requests back from full engines whose
// slots have since become free. With 195 VMs, a model on five engines of 16 slots and 80
// requests a second, a sixth of the requests reach an engine with more requests in flight
// than slots, up to 40. A third of these are late, but only one in a hundred of the others.
//
// So with outdated counts, a VM subtracts an estimate of the requests that have completed
// since, and draws an engine at random, weighted by free slots.

const (
	// maxCompletedShare bounds the requests assumed to have completed, as a share of an
	// engine's slots, however old the counts are: beyond it, new requests are as likely as
	// completed ones. In a replay of the load above, 10% of the requests are late with a
	// quarter of the slots, and 7% with half or more.
	maxCompletedShare = 0.5
	// ownDomainWeight multiplies the weight of an engine in the VM's own failure domain.
	ownDomainWeight = 2
	// prefixWeight multiplies the weight of an engine that has the whole prompt cached.
	prefixWeight = 3
	// failureWeight lowers the weight of an engine that fails all its requests to
	// 1 / (1 + failureWeight).
	failureWeight = 20
	// serviceTimeWeight is the weight of the newest request in the mean service time.
	serviceTimeWeight = 0.05
)

// observeServiceTime updates the pool's mean service time with that of a request.
func (r *Router) observeServiceTime(pool string, serviceTime time.Duration) {
	if serviceTime <= 0 {
		return
	}
	mean, known := r.meanServiceTime[pool]
	if !known {
		r.meanServiceTime[pool] = serviceTime
		return
	}
	r.meanServiceTime[pool] = mean + time.Duration(serviceTimeWeight*float64(serviceTime-mean))
}

// estimateCompleted estimates how many of an engine's requests have completed since
// PeersInFlight was reported.
func (r *Router) estimateCompleted(pool string, c *Candidate) int {
	serviceTime := r.meanServiceTime[pool]
	if c.PeersInFlightAge <= 0 || serviceTime <= 0 {
		return 0
	}
	return int(min(maxCompletedShare, c.PeersInFlightAge.Seconds()/serviceTime.Seconds()) * float64(c.Slots))
}

// hasOutdatedCounts reports whether PeersInFlight is outdated or a mean for any eligible engine.
func (r *Router) hasOutdatedCounts() bool {
	return slices.ContainsFunc(r.eligible, func(v eligibleEngine) bool { return v.candidate.PeersInFlightAge > 0 || v.candidate.Queues })
}

// drawWeighted draws one of the eligible engines at random by their weights.
func (r *Router) drawWeighted(now time.Time, q Query) *eligibleEngine {
	total, decay := 0.0, paceDecay*r.freeShare()
	for i := range r.eligible {
		v := &r.eligible[i]
		v.drawWeight = r.drawWeight(now, q, v) * math.Exp(-decay*missProbability(now, q, v))
		total += v.drawWeight
	}
	at := r.rng.Float64() * total
	for i := range r.eligible {
		if at -= r.eligible[i].drawWeight; at < 0 {
			return &r.eligible[i]
		}
	}
	return &r.eligible[len(r.eligible)-1]
}

// drawWeight returns the weight of an engine in the draw.
func (r *Router) drawWeight(now time.Time, q Query, v *eligibleEngine) float64 {
	weight := float64(v.freeSlots) / r.slowness(now, q, v)
	if v.sameDomain && !v.candidate.Queues { // queues are long if the load of failure domains differs
		weight *= ownDomainWeight
	}
	if v.engine != nil {
		weight /= 1 + failureWeight*v.engine.failureRate.value(now)
	}
	if v.cachedBlocks > 0 {
		weight *= 1 + (prefixWeight-1)*float64(v.cachedBlocks)/float64(len(q.Prefixes))
	}
	return weight
}
