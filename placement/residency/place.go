package residency

import (
	"cmp"
	"slices"
	"time"
)

// option is a way to give a model a place.
type option struct {
	swap Swap
	cost time.Duration
	// later is whether the engine is busy now.
	later bool
}

// want is how much a place for a model is wanted.
type want struct {
	reason string
	// replicas is how many the model has and is getting.
	replicas int
	// force is whether what gives way may have requests running, surplusOnly whether it
	// must have more replicas than it wants, roomOnly whether nothing may give way.
	force, surplusOnly, roomOnly bool
	// storeLoads is how many loads from the store may run, this one included.
	storeLoads int
}

// pays tells whether the place must gain more than it costs: one that is waited for, or
// that takes only room which nobody needs, need not.
func (w want) pays() bool { return w.reason != reasonWaited && !w.surplusOnly && !w.roomOnly }

// place plans the cheapest way to load the model, if there is one that can begin now.
// An engine that has another order under way may be worth waiting for: one with a copy
// on its disk is done before the store has delivered.
func (r *round) place(m *Model, w want) bool {
	best := option{cost: -1}
	for i := range r.Engines {
		e := &r.Engines[i]
		if !e.AcceptsSwaps || holds(e, m.Name) {
			continue
		}
		if r.taken[e.ID] && e.BusyFor == 0 {
			continue // planned in this round; how long it takes shows in the next
		}
		if w.roomOnly && !r.hasRoom(e, m) {
			continue
		}
		o, ok := r.option(e, m, w)
		if !ok || (o.swap.LoadsFromStore() && !r.mayFetch(m, w)) {
			continue
		}
		if best.cost < 0 || o.cost < best.cost {
			best = o
		}
	}
	if best.cost < 0 || best.later || r.taken[best.swap.Engine] || (w.pays() && best.cost > r.gain(m, best.swap)) {
		return false
	}
	best.swap.Reason = w.reason
	r.note(best.swap)
	for _, name := range best.swap.Unload {
		r.ready[name]--
	}
	r.swaps = append(r.swaps, best.swap)
	return true
}

// mayFetch tells whether the model may be loaded from the store for that reason.
func (r *round) mayFetch(m *Model, w want) bool {
	switch {
	case r.storeLoads >= w.storeLoads:
		return false
	case w.reason == reasonWaited, w.reason == reasonTurnedAway:
		return true
	case r.copyElsewhere(m):
		return false
	default:
		return w.reason != reasonBusy || float64(m.Waiting) >= r.unplaced()
	}
}

// copyElsewhere tells whether an engine that can be given orders has a copy of the model
// and could load it sooner than the store delivers. Load pattern: the places of those
// engines are all in use, and one without a copy has room; it was kept for 13 s by a load
// from the store that a copy brings in one second a moment later.
func (r *round) copyElsewhere(m *Model) bool {
	for i := range r.Engines {
		e := &r.Engines[i]
		if !e.AcceptsSwaps || holds(e, m.Name) {
			continue
		}
		if source, takes := sourceOf(e, m); source != SourceStore && e.BusyFor+takes < m.StoreLoadTime {
			return true
		}
	}
	return false
}

// unplaced is the largest number of requests that a model without any place or copy is
// asked for by the time at which the store delivers it. Load pattern: a store that serves
// two loads at once, 13 s each; four of them went to further replicas of two busy models,
// while two models that only the store had turned each of their 84 requests away for half
// a minute. A busy model comes first where more wait for it than that.
func (r *round) unplaced() float64 {
	if r.unplacedMost >= 0 {
		return r.unplacedMost
	}
	r.unplacedMost = 0
	for _, m := range r.order {
		if r.ready[m.Name]+r.coming[m.Name] > 0 || r.copyElsewhere(m) {
			continue
		}
		if m.Waiting > 0 || r.turnedAway(m) >= 1 {
			r.unplacedMost = max(r.unplacedMost, float64(m.Waiting)+m.Rate*m.StoreLoadTime.Seconds())
		}
	}
	return r.unplacedMost
}

// gain is what a replica that nobody waits for yet is worth: the waits that it
// saves within the horizon, and its own load.
func (r *round) gain(m *Model, swap Swap) time.Duration {
	saved := m.Rate * evictHorizon.Seconds() * m.RequestWeight
	gain := swap.LoadTime + time.Duration(saved*float64(swap.LoadTime))
	if r.ready[m.Name] == 0 {
		gain += placeWorth
	}
	return gain
}

// option works out what loading the model on the engine costs: its load's time,
// and what is lost with the models that give way.
func (r *round) option(e *Engine, m *Model, w want) (option, bool) {
	source, takes := sourceOf(e, m)
	o := option{swap: Swap{Engine: e.ID, Load: m.Name, Source: source, LoadTime: takes}, cost: takes}
	free, known := r.free(e)
	if !known {
		return o, false
	}
	victims := r.victims(e, w)
	for free < m.Bytes {
		if len(victims) == 0 {
			return o, false
		}
		v := victims[0]
		victims = victims[1:]
		free += r.models[v.name].Bytes
		o.cost += v.cost
		o.swap.Unload = append(o.swap.Unload, v.name)
	}
	o.cost += e.BusyFor
	o.later = e.BusyFor > 0
	o.cost += r.waste(free - m.Bytes)
	if r.domains[m.Name][e.Domain] {
		o.cost += sameDomainCost
	}
	// An engine with much running shares its batch with what comes.
	if e.Slots > 0 {
		o.cost += time.Duration(float64(e.Running) / float64(e.Slots) * float64(time.Second))
	}
	return o, true
}

// free is the engine's room beside all that it holds; false where that is of unknown
// size, which dropStrangers sees to.
func (r *round) free(e *Engine) (int64, bool) {
	free := e.CapacityBytes
	for _, held := range e.Models {
		known := r.models[held.Name]
		if known == nil {
			return 0, false
		}
		free -= known.Bytes
	}
	return free, true
}

// hasRoom tells whether the engine has room for the model beside all that it holds.
func (r *round) hasRoom(e *Engine, m *Model) bool {
	free, known := r.free(e)
	return known && free >= m.Bytes
}

func holds(e *Engine, model string) bool {
	return slices.ContainsFunc(e.Models, func(m Replica) bool { return m.Name == model })
}

// waste is the cost of room that is left over. Room for another model is none: it will
// be filled.
func (r *round) waste(left int64) time.Duration {
	if r.smallest <= 0 || left >= r.smallest {
		return 0
	}
	return time.Duration(float64(wasteCost) * float64(left) / float64(r.smallest))
}

func sourceOf(e *Engine, m *Model) (Source, time.Duration) {
	switch {
	case e.InMemory[m.Name]:
		return SourceMemory, m.MemoryLoadTime
	case e.OnDisk[m.Name]:
		return SourceDisk, m.DiskLoadTime
	default:
		return SourceStore, m.StoreLoadTime
	}
}

// victim is a model that could give way, with what that costs.
type victim struct {
	name string
	cost time.Duration
}

// victims are the engine's models that could give way, cheapest first.
func (r *round) victims(e *Engine, w want) []victim {
	var out []victim
	for _, held := range e.Models {
		if cost, ok := r.evictCost(held, w); ok {
			out = append(out, victim{held.Name, cost})
		}
	}
	slices.SortFunc(out, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name))
	})
	return out
}

// evictCost is what it costs to take a model off an engine; false if it must stay.
func (r *round) evictCost(held Replica, w want) (time.Duration, bool) {
	if !held.Ready || r.Now.Sub(held.FirstSeen) < youngFor {
		return 0, false
	}
	m := r.models[held.Name]
	if m == nil {
		return 0, false
	}
	others := r.ready[held.Name] - 1
	if m.Waiting > 0 && others < 1 {
		return 0, false
	}
	cost := UnloadTime
	if held.Running > 0 {
		if !w.force && others < 1 {
			return 0, false
		}
		cost += drainTime
	}
	if others >= 1 && others >= r.wanted(m) {
		return cost, true
	}
	if others >= 1 || w.surplusOnly {
		// Without it the model's other engines would be overfull, and busy models
		// would take each other's places in turn.
		return 0, false
	}
	back := min(m.DiskLoadTime, m.StoreLoadTime)
	return cost + placeWorth + time.Duration(m.Rate*m.RequestWeight*evictHorizon.Seconds()*float64(back)), true
}
