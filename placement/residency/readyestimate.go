package residency

import (
	"slices"
	"time"
)

// ReadyEstimate is the expected time until a model with waiting or refused requests has its
// first ready replica.
type ReadyEstimate struct {
	Model   string
	ReadyIn time.Duration
}

// EstimateReadyTimes returns estimates for the models that have waiting or refused requests
// and no ready replica. A model that is being loaded is ready when its load ends; one that an
// engine has a copy of, at the soonest time at which such an engine could load it; one that
// only the weight store has, after the loads from the store that come before it.
//
// The estimates let requests that can't be served in time be refused at once with the time
// after which to retry. Such requests occur when engines are lost and the store delivers too
// few models within the longest wait, or when demand moves to models whose callers wait no
// longer than a swap takes and the engines with a copy are in the middle of other swaps.
// Without the estimates, with this load, they wait 2.3 s in the median for nothing instead of
// 0.3 s.
//
// planned are the swaps that Plan has returned for the same input.
func EstimateReadyTimes(in PlanInput, planned []Swap) []ReadyEstimate {
	r := newRound(in)
	readyIn := make(map[string]time.Duration)
	var storeLoads []time.Duration // remaining times of the loads in flight
	for _, swap := range slices.Concat(in.InFlight, planned) {
		if swap.Load == "" {
			continue
		}
		remaining := r.remainingTime(swap)
		if swap.LoadsFromStore() {
			storeLoads = append(storeLoads, remaining)
		}
		if known, ok := readyIn[swap.Load]; !ok || remaining < known {
			readyIn[swap.Load] = remaining
		}
	}
	queue := newStoreQueue(storeLoads, in.MaxStoreLoads)
	var out []ReadyEstimate
	for _, m := range r.byUrgency {
		if r.readyReplicas[m.Name] > 0 || (m.Waiting == 0 && r.recentRefusals(m) < 1) {
			continue
		}
		wait, ok := readyIn[m.Name]
		if !ok {
			wait, ok = r.soonestFromCopy(m)
		}
		if !ok {
			wait = queue.scheduleLoad(m.StoreLoadTime)
		}
		out = append(out, ReadyEstimate{Model: m.Name, ReadyIn: wait})
	}
	return out
}

// remainingTime returns how long a swap is expected to take from now on.
func (r *round) remainingTime(swap Swap) time.Duration {
	for i := range r.Engines {
		if r.Engines[i].ID == swap.Engine && r.Engines[i].BusyFor > 0 {
			return r.Engines[i].BusyFor
		}
	}
	return swap.LoadTime
}

// soonestFromCopy returns the soonest time until an engine that accepts swaps could have
// loaded the model from its own copy, and false if no such engine has a copy.
func (r *round) soonestFromCopy(m *Model) (soonest time.Duration, found bool) {
	for i := range r.Engines {
		e := &r.Engines[i]
		source, loadTime := loadSource(e, m)
		if !e.AcceptsSwaps || source == SourceStore {
			continue
		}
		if readyIn := e.BusyFor + UnloadTime + loadTime; !found || readyIn < soonest {
			soonest, found = readyIn, true
		}
	}
	return soonest, found
}

// storeQueue schedules loads from the store on a fixed number of concurrent slots.
type storeQueue struct{ freeIn []time.Duration }

// newStoreQueue returns a queue with the given number of concurrent slots, occupied by the
// running loads for their remaining times.
func newStoreQueue(running []time.Duration, slots int) *storeQueue {
	freeIn := slices.Clone(running)
	for len(freeIn) < slots {
		freeIn = append(freeIn, 0)
	}
	return &storeQueue{freeIn: freeIn}
}

// scheduleLoad adds a load of that duration to the first free slot and returns the time until
// it is done.
func (q *storeQueue) scheduleLoad(loadTime time.Duration) time.Duration {
	if len(q.freeIn) == 0 {
		return loadTime
	}
	first := 0
	for i := range q.freeIn {
		if q.freeIn[i] < q.freeIn[first] {
			first = i
		}
	}
	q.freeIn[first] += loadTime
	return q.freeIn[first]
}
