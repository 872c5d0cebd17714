package residency

import (
	"slices"
	"time"
)

// Arrival is when a model that requests wait for, or were turned away, should have its
// first replica.
type Arrival struct {
	Model string
	In    time.Duration
}

// Arrivals foresees when the models that requests wait for and no engine has are there:
// those that are being loaded, and those that only the weight store has, in their turn.
// Of one that some engine has a copy of nothing is foreseen: it takes about a second
// once that engine is free. Load pattern: after engines were lost, more models have to
// come from the store than it delivers within the longest wait; requests for the last of
// them would wait their longest wait for nothing, where their callers could be told at
// once when to come back.
//
// planned are the swaps of the plan that was just made.
func Arrivals(s Situation, planned []Swap) []Arrival {
	r := newRound(s)
	coming := make(map[string]time.Duration)
	var store []time.Duration // when the loads from the store that run are done
	for _, swap := range slices.Concat(s.Loading, planned) {
		if swap.Load == "" {
			continue
		}
		left := r.left(swap)
		if swap.FromStore() {
			store = append(store, left)
		}
		if known, ok := coming[swap.Load]; !ok || left < known {
			coming[swap.Load] = left
		}
	}
	queue := newStoreQueue(store, s.StoreLoads)
	var out []Arrival
	for _, m := range r.order {
		if r.ready[m.Name] > 0 || (m.Waiting == 0 && r.turnedAway(m) < 1) {
			continue
		}
		in, ok := coming[m.Name]
		switch {
		case ok:
		case r.hasCopy(m):
			continue
		default:
			in = queue.next(m.FromStore)
		}
		out = append(out, Arrival{Model: m.Name, In: in})
	}
	return out
}

// left is how long a swap should still take.
func (r *round) left(swap Swap) time.Duration {
	for i := range r.Engines {
		if r.Engines[i].ID == swap.Engine && r.Engines[i].BusyFor > 0 {
			return r.Engines[i].BusyFor
		}
	}
	return swap.Takes
}

// hasCopy tells whether an engine that can be given orders has a copy of the model.
func (r *round) hasCopy(m *Model) bool {
	return slices.ContainsFunc(r.Engines, func(e Engine) bool {
		return e.Orderable && (e.InMemory[m.Name] || e.OnDisk[m.Name])
	})
}

// storeQueue hands out the store's turns.
type storeQueue struct{ free []time.Duration }

// newStoreQueue begins with the loads that run, of which so many do at once.
func newStoreQueue(running []time.Duration, atOnce int) *storeQueue {
	free := slices.Clone(running)
	for len(free) < atOnce {
		free = append(free, 0)
	}
	return &storeQueue{free: free}
}

// next is when a load that takes so long is done, if it is the next one.
func (q *storeQueue) next(takes time.Duration) time.Duration {
	if len(q.free) == 0 {
		return takes
	}
	first := 0
	for i := range q.free {
		if q.free[i] < q.free[first] {
			first = i
		}
	}
	q.free[first] += takes
	return q.free[first]
}
