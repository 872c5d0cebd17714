package placement

import (
	"sort"
	"time"
)

// unitDemand is what waits for one unit at all routers.
type unitDemand struct {
	unit    string
	parts   []Demand // most urgent first
	waiting int
}

func (d *unitDemand) first() Demand { return d.parts[0] }

// domain is where most of the requests wait.
func (d *unitDemand) domain() string {
	byDomain := make(map[string]int, 4)
	best := ""
	for _, part := range d.parts {
		byDomain[part.Domain] += part.Waiting
		if n, m := byDomain[part.Domain], byDomain[best]; best == "" || n > m || n == m && part.Domain < best {
			best = part.Domain
		}
	}
	return best
}

// gather joins the routers' demand by unit and orders the units.
func gather(demand []Demand) ([]unitDemand, map[string]*unitDemand) {
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
		units[i].parts = append(units[i].parts, d)
		units[i].waiting += d.Waiting
	}
	for i := range units {
		parts := units[i].parts
		sort.SliceStable(parts, func(a, b int) bool { return moreUrgent(parts[a], parts[b]) })
	}
	sort.Slice(units, func(a, b int) bool { return moreUrgent(units[a].first(), units[b].first()) })
	index := make(map[string]*unitDemand, len(units))
	for i := range units {
		index[units[i].unit] = &units[i]
	}
	return units, index
}

// moreUrgent orders by earliest deadline, then priority.
func moreUrgent(a, b Demand) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
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
// takes only so many at full speed; the rest waits its turn, as starting all at
// once would make the most urgent as slow as the least.
func (r *round) serveDemand() {
	for i := range r.demand {
		d := &r.demand[i]
		ready, coming := r.counts(d.unit)
		switch {
		case ready == 0 && coming == 0:
			r.startFor(d)
		case ready > 0 && r.needsMore(d) && coming < r.wave(d, ready):
			if !r.startFor(d) {
				r.relieve(d)
			}
		}
	}
}

// wave is how many loads of a unit may run at once to scale it up: one, and one
// more for each replica's worth of waiting requests beyond that.
func (r *round) wave(d *unitDemand, ready int) int {
	slots := 0
	for _, at := range r.fleet.byUnit[d.unit] {
		if at.holding.Ready {
			slots += at.engine.Slots
		}
	}
	if slots == 0 {
		return 1
	}
	return 1 + d.waiting*ready/(2*slots)
}

// counts is the replicas that serve now, and those that load or are about to.
func (r *round) counts(unit string) (ready, coming int) {
	for _, at := range r.fleet.byUnit[unit] {
		if !r.standing(at) || !at.holding.Wanted || !at.engine.serving() {
			continue
		}
		if at.holding.Ready {
			ready++
		} else {
			coming++
		}
	}
	for k, d := range r.p.pending {
		if k.unit == unit && d.wanted && (d.kind == Grant || d.kind == Want) {
			coming++
		}
	}
	return ready, coming
}

// readyGrace is how long a new replica is given to take the requests that have
// waited for it: news of them lags, and would bring one more at once.
const readyGrace = time.Second

// needsMore tells whether the oldest request has waited so long at ready
// replicas that one more is worth its load. Where one of them has a free slot,
// it waits for something else, such as its customer's rate: more replicas would
// only take room from other customers.
func (r *round) needsMore(d *unitDemand) bool {
	first := d.first()
	u, ok := r.unit(d.unit, first.Customer)
	if !ok || u.MaxWait <= 0 {
		return false
	}
	for _, at := range r.fleet.byUnit[d.unit] {
		if !at.holding.Ready || !r.standing(at) || !at.engine.serving() {
			continue
		}
		if r.v.Now.Sub(at.holding.ReadySince) < readyGrace || !at.engine.full() {
			return false
		}
	}
	waited := u.MaxWait - first.Deadline.Sub(r.v.Now)
	return waited >= min(r.p.cfg.MaxWaitBeforeScaleUp, u.MaxWait/4)
}

// startFor brings one replica up for the demand: the customers' contracts are
// tried in order of urgency.
func (r *round) startFor(d *unitDemand) bool {
	for _, part := range d.parts {
		u, ok := r.unit(d.unit, part.Customer)
		if ok && r.start(u, d.domain(), "requests wait") {
			return true
		}
	}
	return false
}

// relieve helps an adapter whose contract allows no further replica while the
// engines it sits on are busy: it moves to a base with room to spare, and where
// there is none, the base gets one more replica.
func (r *round) relieve(d *unitDemand) {
	u, ok := r.unit(d.unit, d.first().Customer)
	if !ok || u.Base == "" || r.v.Now.Sub(r.p.moved[u.Name]) < moveTerm {
		return
	}
	spare, ok := r.sparestBase(u)
	if !ok {
		r.startBase(u, d.domain())
		return
	}
	var busiest place
	for _, at := range r.holdingsOf(u) {
		if !at.holding.Ready || !r.standing(at) {
			continue
		}
		if !r.busy(at.engine) {
			return
		}
		if busiest.engine == nil || at.engine.streams > busiest.engine.streams {
			busiest = at
		}
	}
	if busiest.engine != nil && float64(busiest.engine.streams-spare.streams) >= moveGain*float64(spare.Slots) {
		r.p.moved[u.Name] = r.v.Now
		r.withdraw(busiest, "engine busy, moves to another base")
	}
}

// moveGain is the part of its slots that a move must find free beyond the old
// engine: without it, adapters of a full pool would move in circles.
const moveGain = 0.25

// moveTerm is the least time between two moves of an adapter: a move takes one
// of its replicas away for a second or two, and its effect shows only after the
// requests that run now.
const moveTerm = 30 * time.Second

// startLimit is a token bucket on starts of loads from the weight store.
type startLimit struct {
	tokens float64
	at     time.Time
}

func (l *startLimit) take(now time.Time, rate float64) bool {
	if rate <= 0 {
		return true
	}
	if l.at.IsZero() {
		l.tokens = rate
	} else {
		l.tokens = min(rate, l.tokens+rate*now.Sub(l.at).Seconds())
	}
	l.at = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
