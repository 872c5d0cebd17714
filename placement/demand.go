package placement

import (
	"sort"
	"time"
)

// unitDemand is the demand for one unit at all routers.
type unitDemand struct {
	unit    string
	entries []Demand // most urgent first
	waiting int
}

func (d *unitDemand) mostUrgent() Demand { return d.entries[0] }

// busiestDomain returns the failure domain where most of the requests wait.
func (d *unitDemand) busiestDomain() string {
	byDomain := make(map[string]int, 4)
	best := ""
	for _, entry := range d.entries {
		byDomain[entry.Domain] += entry.Waiting
		if n, m := byDomain[entry.Domain], byDomain[best]; best == "" || n > m || n == m && entry.Domain < best {
			best = entry.Domain
		}
	}
	return best
}

// groupDemand groups the routers' demand by unit, and orders the units and each
// unit's entries by urgency.
func groupDemand(demand []Demand) ([]unitDemand, map[string]*unitDemand) {
	if len(demand) == 0 {
		return nil, nil
	}
	byUnit := make(map[string]int)
	var units []unitDemand
	for _, d := range demand {
		i, ok := byUnit[d.Unit]
		if !ok {
			i = len(units)
			byUnit[d.Unit] = i
			units = append(units, unitDemand{unit: d.Unit})
		}
		units[i].entries = append(units[i].entries, d)
		units[i].waiting += d.Waiting
	}
	for i := range units {
		entries := units[i].entries
		sort.SliceStable(entries, func(a, b int) bool { return moreUrgent(entries[a], entries[b]) })
	}
	sort.Slice(units, func(a, b int) bool { return moreUrgent(units[a].mostUrgent(), units[b].mostUrgent()) })
	index := make(map[string]*unitDemand, len(units))
	for i := range units {
		index[units[i].unit] = &units[i]
	}
	return units, index
}

// moreUrgent orders demand by earliest deadline, then by highest priority.
func moreUrgent(a, b Demand) bool {
	if !a.EarliestDeadline.Equal(b.EarliestDeadline) {
		return a.EarliestDeadline.Before(b.EarliestDeadline)
	}
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if a.Unit != b.Unit {
		return a.Unit < b.Unit
	}
	return a.Customer < b.Customer
}

// serveDemand starts loads for units that requests wait for. The weight store
// serves a limited number of loads at full speed, so the less urgent ones are left
// to a later plan: starting all at once would make the most urgent load as slow as
// the least urgent.
func (r *round) serveDemand() {
	for i := range r.demand {
		d := &r.demand[i]
		ready, loading := r.countReadyAndLoading(d.unit)
		switch {
		case ready == 0 && loading == 0:
			r.startForDemand(d)
		case ready > 0 && r.needsReplica(d) && loading < r.maxScaleUpLoads(d, ready):
			if !r.startForDemand(d) {
				r.moveAdapterOrAddBase(d)
			}
		}
	}
}

// maxScaleUpLoads returns how many loads of a unit may run at once to scale it up:
// one, and one more for each time that the waiting requests would fill all slots
// of an average ready replica twice.
func (r *round) maxScaleUpLoads(d *unitDemand, ready int) int {
	slots := 0
	for _, rep := range r.fleet.byUnit[d.unit] {
		if rep.holding.Ready {
			slots += rep.engine.Slots
		}
	}
	if slots == 0 {
		return 1
	}
	return 1 + d.waiting*ready/(2*slots)
}

// countReadyAndLoading counts the unit's replicas that serve now, and those that
// load or that a pending decision will load.
func (r *round) countReadyAndLoading(unit string) (ready, loading int) {
	for _, rep := range r.fleet.byUnit[unit] {
		if !r.isActive(rep) || !rep.holding.Wanted || !rep.engine.isServing() {
			continue
		}
		if rep.holding.Ready {
			ready++
		} else {
			loading++
		}
	}
	for k, d := range r.p.pending {
		if k.unit == unit && d.wanted && (d.kind == Grant || d.kind == Want) {
			loading++
		}
	}
	return ready, loading
}

// readyGracePeriod is how long a new replica is given to take the requests that
// wait for it. Reports of demand lag, so without it one more replica would be
// started at once.
const readyGracePeriod = time.Second

// needsReplica reports whether the most urgent request has waited long enough for
// the ready replicas to justify one more. If one of these has a free slot, the
// request waits for something else, such as its customer's rate limit: more
// replicas would only take memory from other customers.
func (r *round) needsReplica(d *unitDemand) bool {
	first := d.mostUrgent()
	u, ok := r.findUnit(d.unit, first.Customer)
	if !ok || u.MaxWait <= 0 {
		return false
	}
	for _, rep := range r.fleet.byUnit[d.unit] {
		if !rep.holding.Ready || !r.isActive(rep) || !rep.engine.isServing() {
			continue
		}
		if r.v.Now.Sub(rep.holding.ReadySince) < readyGracePeriod || !rep.engine.isFull() {
			return false
		}
	}
	waited := u.MaxWait - first.EarliestDeadline.Sub(r.v.Now)
	return waited >= min(r.p.cfg.MaxWaitBeforeScaleUp, u.MaxWait/4)
}

// startForDemand starts one replica for the demand, under the first customer's
// contract that allows it, in order of urgency.
func (r *round) startForDemand(d *unitDemand) bool {
	for _, entry := range d.entries {
		u, ok := r.findUnit(d.unit, entry.Customer)
		if ok && r.start(u, d.busiestDomain(), "requests wait") {
			return true
		}
	}
	return false
}

// moveAdapterOrAddBase is called for an adapter that can get no further replica while
// its engines are busy. It moves the adapter to the least busy engine with its base,
// or starts one more replica of the base if all are busy.
func (r *round) moveAdapterOrAddBase(d *unitDemand) {
	u, ok := r.findUnit(d.unit, d.mostUrgent().Customer)
	if !ok || u.Base == "" || r.v.Now.Sub(r.p.adapterMovedAt[u.Name]) < minMoveInterval {
		return
	}
	target, ok := r.leastBusyBase(u)
	if !ok {
		r.startBase(u, d.busiestDomain())
		return
	}
	var busiest replica
	for _, rep := range r.replicasOf(u) {
		if !rep.holding.Ready || !r.isActive(rep) {
			continue
		}
		if !r.isBusy(rep.engine) {
			return
		}
		if busiest.engine == nil || rep.engine.streams > busiest.engine.streams {
			busiest = rep
		}
	}
	if busiest.engine != nil && float64(busiest.engine.streams-target.streams) >= minMoveGain*float64(target.Slots) {
		r.p.adapterMovedAt[u.Name] = r.v.Now
		r.withdraw(busiest, "engine busy, moves to another base")
	}
}

// minMoveGain is how many fewer requests the target of a move must run than the
// old engine, as a share of the target's slots. Without it, the adapters of a full
// pool would move in circles.
const minMoveGain = 0.25

// minMoveInterval is the least time between two moves of an adapter. A move takes
// one of its replicas away for a second or two, and its effect shows only after
// the requests that run now have ended.
const minMoveInterval = 30 * time.Second

// startLimiter is a token bucket that limits starts of loads from the weight store.
type startLimiter struct {
	tokens    float64
	updatedAt time.Time
}

// take takes a token if there is one, at a refill rate and burst of rate tokens. A
// rate of 0 means no limit.
func (l *startLimiter) take(now time.Time, rate float64) bool {
	if rate <= 0 {
		return true
	}
	if l.updatedAt.IsZero() {
		l.tokens = rate
	} else {
		l.tokens = min(rate, l.tokens+rate*now.Sub(l.updatedAt).Seconds())
	}
	l.updatedAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
