package fleetload

import (
	"math"
	"slices"
	"time"

	"bergamotreel/internal/meter"
)

const (
	// maxAge is the age of the last sum after which it says nothing. Sums come every 400 ms, and
	// what VMs report is used within 2 s.
	maxAge = 2 * time.Second
	// minDispatchRate is the least dispatch rate of the fleet that predicts anything: eight
	// dispatches within 2 s.
	minDispatchRate = 4
	// A unit is overloaded once its waiting requests have taken at least beginWait of dispatches
	// for minBacklogAge, and until they take less than endWait. In shorter backlogs the first
	// sums don't contain all VMs yet.
	beginWait     = 250 * time.Millisecond
	endWait       = 100 * time.Millisecond
	minBacklogAge = 1200 * time.Millisecond
	// endDemand is the demand, in parts of the dispatch rate, above which a unit stays overloaded with
	// few waiting requests, as the others are refused.
	endDemand = 1.1
	// steadyWindow is the time constant of the present demand of more urgent kinds in wait
	// estimates. A shorter one would follow demand that swings within seconds.
	steadyWindow = 5 * time.Second
	// capacityGrowth is the part by which the assumed capacity grows in a second while too few requests
	// wait to fill all places. Without it, a capacity that was estimated too low would stay so, as
	// the requests that could show it are refused.
	capacityGrowth = 0.1
	// capacityWindow is the time constant with which the assumed capacity approaches a lower dispatch rate.
	// Backend servers may pause for a second or two.
	capacityWindow = 5 * time.Second
	// maxCapacity limits the assumed capacity, in parts of the dispatch rate.
	maxCapacity = 2
	// minRoom is the least part of the dispatch rate that less urgent kinds are assumed to get.
	minRoom = 0.02
)

// unitState is the fleet's load of a unit.
type unitState struct {
	at time.Time
	// kinds are sorted by order. Their own* fields are replaced by this VM's newest counts.
	kinds []fleetKind
	// dispatched is the fleet's dispatch rate, capacity the rate that it could have.
	dispatched, capacity float64
	backlogSince         time.Time // zero without a backlog
	lastWaiting          time.Time
	// announced is whether Changes returned the unit as overloaded.
	announced bool
}

// fleetKind is the sum over all VMs of the load by one kind.
type fleetKind struct {
	Load
	// others are the waiting requests of other VMs.
	others int
	// steady is the smoothed arrival rate of callers that come for the first time.
	steady float64
	// own is this VM's state, nil without requests of the kind.
	own *kindState
}

func (k *fleetKind) waiting() int {
	if k.own == nil {
		return k.others
	}
	return k.others + k.own.waiting
}

// SetFleet replaces the sums over all VMs, this one included. Entries with bad numbers are
// ignored.
func (e *Estimator) SetFleet(now time.Time, loads []Load) {
	own := make(map[Kind]*kindState, len(e.kinds))
	for k, s := range e.kinds {
		k.Unit = e.hash(k.Unit)
		own[k] = s
	}
	byUnit := make(map[string][]fleetKind)
	for _, l := range loads {
		if !l.isValid() {
			continue
		}
		f := fleetKind{Load: l, others: l.Waiting, steady: l.fresh(), own: own[l.Kind]}
		if f.own != nil {
			f.others = max(l.Waiting-f.own.reported.Waiting, 0)
		}
		byUnit[l.Unit] = append(byUnit[l.Unit], f)
	}
	for unit, kinds := range byUnit {
		u := e.units[unit]
		if u == nil {
			u = &unitState{}
			e.units[unit] = u
		}
		u.update(now, kinds)
	}
	for unit, u := range e.units {
		if now.Sub(u.at) > reportAfterWaiting && !u.announced {
			delete(e.units, unit)
		}
	}
}

// fresh is the arrival rate of callers that come for the first time.
func (l *Load) fresh() float64 { return max(l.Arrived-l.Returned, 0) }

func (l *Load) isValid() bool {
	for _, rate := range []float64{l.Arrived, l.Returned, l.Usual, l.Dispatched} {
		if !(rate >= 0 && rate < math.MaxInt32) {
			return false
		}
	}
	return l.Waiting >= 0 && l.Waiting < math.MaxInt32 && l.Target >= 0
}

// waiting returns the number of waiting requests of all VMs.
func (u *unitState) waiting() (waiting int) {
	if u == nil {
		return 0
	}
	for i := range u.kinds {
		waiting += u.kinds[i].waiting()
	}
	return waiting
}

// ownWaiting returns the number of this VM's waiting requests.
func (u *unitState) ownWaiting() (waiting int) {
	for i := range u.kinds {
		if own := u.kinds[i].own; own != nil {
			waiting += own.waiting
		}
	}
	return waiting
}

// update replaces the sums and updates what is derived from their course.
func (u *unitState) update(now time.Time, kinds []fleetKind) {
	slices.SortFunc(kinds, func(a, b fleetKind) int { return order(a.Kind, b.Kind) })
	age := now.Sub(u.at)
	waiting, arrived := 0, 0.0
	u.dispatched = 0
	for i := range kinds {
		k := &kinds[i]
		if j := slices.IndexFunc(u.kinds, func(known fleetKind) bool { return known.Kind == k.Kind }); j >= 0 {
			k.steady = meter.Smooth(u.kinds[j].steady, k.fresh(), age, steadyWindow)
		}
		waiting += k.waiting()
		arrived += k.Arrived
		u.dispatched += k.Dispatched
	}
	u.kinds, u.at = kinds, now
	if waiting > 0 {
		u.lastWaiting = now
	}
	u.updateBacklog(now, age, float64(waiting), arrived)
}

// updateBacklog updates the time of the backlog and the capacity, which equals the dispatch rate only
// while enough requests wait. age is the time since the last update.
func (u *unitState) updateBacklog(now time.Time, age time.Duration, waiting, arrived float64) {
	if age > maxAge {
		u.backlogSince = time.Time{}
	}
	switch wait := waiting / max(u.dispatched, minDispatchRate); {
	case wait < endWait.Seconds() && arrived < endDemand*u.dispatched:
		u.backlogSince = time.Time{}
	case wait >= beginWait.Seconds() && u.backlogSince.IsZero():
		u.backlogSince = now
	}
	change := 1 + capacityGrowth*min(age, maxAge).Seconds()
	if waiting >= endWait.Seconds()*u.dispatched {
		change = math.Exp(-age.Seconds() / capacityWindow.Seconds())
	}
	u.capacity = max(u.dispatched, min(u.capacity*change, maxCapacity*u.dispatched))
}

// overloadedUnit returns the state of a unit whose demand exceeds its capacity, nil if that is not known.
func (e *Estimator) overloadedUnit(now time.Time, unit string) *unitState {
	u := e.units[e.hash(unit)]
	if u == nil || !u.isOverloaded(now) {
		return nil
	}
	return u
}

func (u *unitState) isOverloaded(now time.Time) bool {
	return u.isKnown(now) && !u.backlogSince.IsZero() && now.Sub(u.backlogSince) >= minBacklogAge
}

func (u *unitState) isKnown(now time.Time) bool {
	return now.Sub(u.at) <= maxAge && u.dispatched >= minDispatchRate
}

// knownUnit returns the state of a unit, nil if too little is known.
func (e *Estimator) knownUnit(now time.Time, unit string) *unitState {
	u := e.units[e.hash(unit)]
	if u == nil || !u.isKnown(now) {
		return nil
	}
	return u
}

// Change is a unit that became overloaded, or is overloaded no longer.
type Change struct {
	// Unit is the unit's name, or its hash if this VM has no requests for it.
	Unit       string
	Overloaded bool
	// Waiting and Dispatched are the fleet's waiting requests and dispatch rate.
	Waiting    int
	Dispatched float64
}

// Changes returns the changes since the last call, and the number of overloaded units.
func (e *Estimator) Changes(now time.Time) (changes []Change, overloaded int) {
	for hash, u := range e.units {
		is := u.isOverloaded(now)
		if is {
			overloaded++
		}
		if is == u.announced {
			continue
		}
		u.announced = is
		change := Change{Unit: hash, Overloaded: is, Waiting: u.waiting(), Dispatched: u.dispatched}
		for unit, h := range e.hashes {
			if h == hash {
				change.Unit = unit
			}
		}
		changes = append(changes, change)
	}
	return changes, overloaded
}

// queue is what is ahead of a request in an overloaded unit.
type queue struct {
	// ahead are the waiting requests of more urgent kinds, withOwn those of its own kind too.
	ahead, withOwn int
	// kindsAhead is the number of more urgent kinds with waiting requests.
	kindsAhead int
	// aheadRate is the dispatch rate of more urgent kinds, room what remains of the dispatch rate
	// for its kind of the capacity until the request's deadline, and spare what the usual demand leaves, its own
	// kind's included.
	aheadRate, room, spare float64
	// present is the part of the time until the request's deadline for which the present demand is
	// expected; after that, the usual demand is. An overload is expected to last once more as long as it has
	// lasted, so that requests that can wait for the end of a burst are admitted, and are refused when
	// the overload doesn't end.
	present float64
	// own is the request's kind, nil if the sum has none.
	own *fleetKind
}

// queueFor returns what is ahead of a request. Of its own priority, the kinds whose targets are shorter
// than the time left until its target are ahead.
func (u *unitState) queueFor(now time.Time, r *Request) queue {
	present, timeToTarget := 1.0, r.timeToTarget(now)
	if !u.backlogSince.IsZero() {
		present = min(now.Sub(u.backlogSince).Seconds()/max(r.Deadline.Sub(now).Seconds(), 0.1), 1)
	}
	q := queue{room: u.capacity, spare: u.capacity, present: present}
	for i := range u.kinds {
		k := &u.kinds[i]
		switch {
		case k.Priority == r.Priority && k.Target == r.Target:
			q.own = k
			q.spare -= k.Usual
			q.withOwn += k.waiting()
		case k.Priority > r.Priority, k.Priority == r.Priority && k.looseness() < timeToTarget:
			q.ahead += k.waiting()
			if k.waiting() > 0 {
				q.kindsAhead++
			}
			q.aheadRate += k.Dispatched
			q.spare -= k.Usual
			returning := min(k.Returned, q.returnRoom())
			q.room -= present*(k.steady+returning) + (1-present)*k.Usual
		}
	}
	q.withOwn += q.ahead
	if float64(q.ahead) < beginWait.Seconds()*u.capacity {
		// The more urgent kinds are served as they come. What is counted as their demand may be callers that
		// return again and again after a burst.
		q.room = max(q.room, u.capacity-q.aheadRate)
	}
	q.room = max(q.room, minRoom*u.capacity)
	return q
}

func (q *queue) wait() time.Duration { return seconds(float64(q.withOwn) / q.room) }

// leastWait returns the time until the given number of waiting requests is dispatched if the overload
// ends at once, so that only the usual demand continues.
func (q *queue) leastWait(waiting int) time.Duration {
	usualRoom := q.spare
	if q.own != nil {
		usualRoom += q.own.Usual
	}
	return seconds(float64(waiting) / max(q.room, usualRoom))
}

// seconds converts to a duration of at most an hour.
func seconds(s float64) time.Duration { return time.Duration(min(s, 3600) * float64(time.Second)) }
