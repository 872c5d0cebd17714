package routing

import (
	"slices"
	"time"
)

// Many entry VMs that choose by news of half a second ago all see the same engine as the
// least busy, and fill it together; and they hold requests back from full engines whose
// places have come free since. Load pattern: 195 VMs, a model on five engines of 16 places,
// 80 requests a second: a sixth of them met an engine with more under way than it runs at
// once, up to 40, and of these a third were late, of all others one in a hundred.
//
// So where news is old, a VM counts on the requests that have ended since, and draws engines
// by their free places.

const (
	// turnoverMost of an engine's slots is the most that is counted on as ended since, however
	// old the news: beyond it what came meanwhile is as likely as what ended. With a quarter
	// the replay of the load above has 10% late, with half and more 7%.
	turnoverMost = 0.5
	// ownDomainDraw is how much likelier an engine of the own failure domain is drawn.
	ownDomainDraw = 2
	// prefixDraw is how much likelier one with the whole prompt cached is.
	prefixDraw = 3
	// failuresDraw is how much less likely one that fails all its requests is.
	failuresDraw = 20
	// serviceWeight is the weight of the newest request in the mean time that one takes.
	serviceWeight = 0.05
)

// observeService takes how long a request took.
func (r *Router) observeService(pool string, took time.Duration) {
	if took <= 0 {
		return
	}
	mean, known := r.service[pool]
	if !known {
		r.service[pool] = took
		return
	}
	r.service[pool] = mean + time.Duration(serviceWeight*float64(took-mean))
}

// turnover is how many of an engine's requests should have ended since the news of it.
func (r *Router) turnover(pool string, c *Candidate) int {
	service := r.service[pool]
	if c.PeersInFlightAge <= 0 || service <= 0 {
		return 0
	}
	return int(min(turnoverMost, c.PeersInFlightAge.Seconds()/service.Seconds()) * float64(c.Slots))
}

// newsIsOld tells whether the news of any view is.
func (r *Router) newsIsOld() bool {
	return slices.ContainsFunc(r.views, func(v view) bool { return v.candidate.PeersInFlightAge > 0 })
}

// spread draws one of the views by their free slots.
func (r *Router) spread(now time.Time, q Query) *view {
	total := 0.0
	for i := range r.views {
		v := &r.views[i]
		v.weight = r.weight(now, q, v)
		total += v.weight
	}
	at := r.rng.Float64() * total
	for i := range r.views {
		if at -= r.views[i].weight; at < 0 {
			return &r.views[i]
		}
	}
	return &r.views[len(r.views)-1]
}

// weight is how likely a view is drawn.
func (r *Router) weight(now time.Time, q Query, v *view) float64 {
	weight := float64(v.free) / max(1, r.latency[q.Pool].slowness(now, v.candidate.Engine))
	if v.own {
		weight *= ownDomainDraw
	}
	if v.state != nil {
		weight /= 1 + failuresDraw*v.state.reliability.failures(now)
	}
	if v.blocks > 0 {
		weight *= 1 + (prefixDraw-1)*float64(v.blocks)/float64(len(q.Prefixes))
	}
	return weight
}
