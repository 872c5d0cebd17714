package placement

import "time"

// busy tells whether the engine has no slots to spare: a unit that is scaled up
// gains nothing there.
func (r *round) busy(fe *fleetEngine) bool {
	return fe.Slots > 0 && float64(fe.streams) >= r.p.cfg.TargetUtilization*float64(fe.Slots)
}

// full tells whether the engine has no free slot, or only what routers keep for
// customers below their fair share.
func (fe *fleetEngine) full() bool {
	return fe.Slots > 0 && float64(fe.streams) >= fullShare*float64(fe.Slots)
}

// fullShare leaves one slot in ten, as reports lag.
const fullShare = 0.9

// scaleUp adds a replica before requests wait: with random arrivals the wait
// rises steeply once most slots are in use, and a load takes seconds.
func (r *round) scaleUp() {
	for _, u := range r.placed {
		if u.MaxReplicas < 2 {
			continue
		}
		if u.Base != "" {
			r.widen(u)
			continue
		}
		use := r.use(u.Name)
		if use.ready == 0 || float64(use.running) < r.p.cfg.TargetUtilization*float64(use.slots) || 2*use.own < use.running {
			continue
		}
		if _, coming := r.counts(u.Name); coming > 0 {
			continue
		}
		r.start(u, r.emptiestDomain(u), "replicas busy")
	}
}

// widen gives an adapter in use one more replica, on a less busy base, before
// its engines are full. Without it an adapter with a single replica waits for a
// slot of that engine while others have plenty: in a pool at 55% of its slots
// one engine of 16 is full about once in 70 looks. An adapter's place costs next
// to nothing, and nothing is evicted for it.
func (r *round) widen(u Unit) {
	active, streams := false, 0
	for _, at := range r.fleet.byUnit[u.Name] {
		if !at.holding.Ready || !r.standing(at) || !at.engine.serving() {
			continue
		}
		if !r.busy(at.engine) {
			return
		}
		streams = max(streams, at.engine.streams)
		active = active || r.idleFor(at.holding) < widenActive
	}
	if !active || !r.mayGrow(u) {
		return
	}
	spare, ok := r.sparestBase(u)
	if !ok || r.adapterComing(spare, u.Base) || r.free(spare, u.Name) < u.Bytes {
		return
	}
	if _, coming := r.counts(u.Name); coming == 0 && float64(streams-spare.streams) >= moveGain*float64(spare.Slots) {
		r.grant(spare, u, true, "base busy")
	}
}

// widenActive is how lately an adapter must have been used to be widened.
const widenActive = time.Minute

// use is how busy the ready replicas of a unit are.
type use struct {
	ready, slots int
	// running is all requests on their engines, own those of the unit and of the
	// adapters on it.
	running, own int
}

func (r *round) use(unit string) use {
	var out use
	for _, at := range r.fleet.byUnit[unit] {
		if !at.holding.Ready || !r.standing(at) || !at.engine.serving() {
			continue
		}
		out.ready++
		out.slots += at.engine.Slots
		out.running += at.engine.streams
		out.own += at.holding.Streams + at.engine.onAdapters(unit)
	}
	return out
}

// onAdapters is the requests that run on the adapters of a base.
func (fe *fleetEngine) onAdapters(base string) int {
	if fe.adapters[base] == 0 {
		return 0
	}
	n := 0
	for i := range fe.Holdings {
		if fe.Holdings[i].Base == base {
			n += fe.Holdings[i].Streams
		}
	}
	return n
}

// scaleDown gives one replica up once fewer have been enough for a while. The
// router stops sending to it, and the engine lets its streams end.
func (r *round) scaleDown() {
	for _, u := range r.placed {
		if u.Base != "" {
			// An adapter costs next to nothing; its idle time decides.
			continue
		}
		if !r.tooMany(u) {
			delete(r.p.quiet, u.Name)
			continue
		}
		since, ok := r.p.quiet[u.Name]
		if !ok {
			r.p.quiet[u.Name] = r.v.Now
			continue
		}
		if r.v.Now.Sub(since) < r.p.cfg.ScaleDownDelay {
			continue
		}
		if at, ok := r.leastUsed(u); ok {
			r.release(u, at, "fewer replicas are enough")
			r.p.quiet[u.Name] = r.v.Now
		}
	}
}

// quietShare is the part of the remaining slots in use up to which one replica
// fewer is enough. It is well under TargetUtilization, so that scaling does not swing.
const quietShare = 0.4

// tooMany tells whether one replica fewer would be enough.
func (r *round) tooMany(u Unit) bool {
	use := r.use(u.Name)
	if use.ready < 2 || r.wanted(u) <= max(u.MinReplicas, 1) || r.waits[u.Name] != nil {
		return false
	}
	// What others run on the same engines is not the unit's to give back.
	left := float64(use.slots-(use.running-use.own)) * float64(use.ready-1) / float64(use.ready)
	return float64(use.own) <= quietShare*left
}

// leastUsed is the ready replica that is missed least: one in the failure
// domain with the most of them, then by streams, by the adapters on it, and the
// one with the largest share of its engine.
func (r *round) leastUsed(u Unit) (place, bool) {
	inDomain := make(map[string]int)
	for _, at := range r.holdingsOf(u) {
		if at.holding.Ready && r.standing(at) && at.engine.serving() {
			inDomain[at.engine.Domain]++
		}
	}
	var best place
	found := false
	for _, at := range r.holdingsOf(u) {
		if !at.holding.Ready || !r.standing(at) || at.engine.adapters[u.Name] > 0 && !r.adaptersIdle(at) {
			continue
		}
		if !found || missedLess(at, best, inDomain) {
			best, found = at, true
		}
	}
	return best, found
}

func missedLess(a, b place, inDomain map[string]int) bool {
	if x, y := inDomain[a.engine.Domain], inDomain[b.engine.Domain]; x != y {
		return x > y
	}
	if a.holding.Streams != b.holding.Streams {
		return a.holding.Streams < b.holding.Streams
	}
	if x, y := a.engine.adapters[a.holding.Unit], b.engine.adapters[b.holding.Unit]; x != y {
		return x < y
	}
	return a.engine.MemoryBytes < b.engine.MemoryBytes
}

// adaptersIdle tells whether nothing runs on the adapters of a base.
func (r *round) adaptersIdle(base place) bool {
	for i := range base.engine.Holdings {
		h := &base.engine.Holdings[i]
		if h.Base == base.holding.Unit && !h.Withdrawn && !r.mayEvict(base.engine, h) {
			return false
		}
	}
	return true
}
