package fleetload

import (
	"time"

	"bergamotreel/refusal"
)

const (
	// returnedAllowance is the part of the usual time of callers below which a caller counts as
	// returned. A first retry time is at least minReturn of the time left, so that callers that
	// waited for it are below.
	returnedAllowance = 0.93
	minReturn         = 0.1
	// maxWait is the part of a request's time until its deadline that the estimated wait may
	// take. The rest is for errors of the estimate, so that few requests wait for nothing.
	maxWait = 0.9
	// The wait of a kind is held near aimedWait of the time until the deadline during a burst, so that few
	// requests are refused, and near a half of its target in a long overload, where the same number
	// is served whatever the wait is; but not below minAimedWait, as sums are a second old.
	minAimedWait = 500 * time.Millisecond
	aimedWait    = 0.8
	// idleWait is the part of the time until its deadline that a request may wait if no other one
	// waits at its VM. A place that becomes free is used at once only by the VM whose request ended;
	// the others learn of it up to a second later.
	idleWait = 0.5
	// minRetryTime is the least time that a caller needs for a retry to be worth while: a refusal and an
	// answer on new connections. Others are told nothing that would make them return.
	minRetryTime = 500 * time.Millisecond
	// returnShare is the least part of the room of a kind that callers have that were refused
	// before. A larger one would refuse more callers once, without sparing others a second refusal.
	returnShare = 0.5
	// correction is the time within which a wait is brought to the aimed one. It is at least twice
	// the age of the sums; a shorter one makes the admitted rate oscillate.
	correction = 4 * time.Second
	// While more urgent requests wait, less urgent ones are dispatched at the rate that the former
	// leave, raised by dispatchHeadroom of the whole rate so that the fleet follows a capacity
	// that grows, and lowered so that the former's wait returns to dispatchHeadroom*urgentDrain =
	// 50 ms of dispatches, a small part of a target of 400 ms.
	dispatchHeadroom = 0.1
	urgentDrain      = 500 * time.Millisecond
	// freeTime is for how long a place stays free until a request that was held back may use it, for each
	// more urgent kind that waits, so that these find the place first. A shorter time lets less urgent
	// requests take it; a longer one leaves places free.
	freeTime = 60 * time.Millisecond
	// maxCreditAge is the time for which unused dispatches of a kind are kept.
	maxCreditAge = time.Second
)

// Wait returns the expected time until a new request is dispatched: the requests of its kind
// and of more urgent ones that wait in the fleet, divided by the rate at which the fleet
// dispatches them. It returns false if too little is known.
func (e *Estimator) Wait(now time.Time, r Request) (time.Duration, bool) {
	u := e.knownUnit(now, r.Unit)
	if u == nil {
		return 0, false
	}
	q := u.queueFor(now, &r)
	if !u.isOverloaded(now) {
		// The dispatch rate is the demand, and the capacity may be far larger.
		q.room = u.dispatched
	}
	return q.wait(), true
}

// Admit reports whether to admit a new request. While its unit is overloaded, all VMs admit
// the same part of each kind, so that the sum follows the capacity that more urgent kinds
// leave. Requests whose callers were refused before are only refused if they can't be
// dispatched before their deadlines.
func (e *Estimator) Admit(now time.Time, r Request) bool {
	u := e.overloadedUnit(now, r.Unit)
	if u == nil {
		return true
	}
	s := e.kind(now, r.Kind)
	q := u.queueFor(now, &r)
	left, wait := r.Deadline.Sub(now), q.wait()
	longest := seconds(maxWait * left.Seconds())
	admit := false
	switch {
	case s.hasReturned(r):
		admit = q.leastWait(q.withOwn) <= longest &&
			(wait <= r.aimedWait(&q, left) || takeCredit(&s.returnCredit, max(q.returnFraction(), 1-q.present)))
	case wait > longest:
	case u.ownWaiting() == 0 && wait <= seconds(idleWait*left.Seconds()):
		admit = true
	default:
		admit = takeCredit(&s.admitCredit, q.freshFraction(wait, r.aimedWait(&q, left)))
	}
	if !admit {
		e.activity.Refused++
	}
	return admit
}

// aimedWait returns the wait that an overloaded unit is held at, for a request that has the given
// time left until its deadline.
func (r *Request) aimedWait(q *queue, left time.Duration) time.Duration {
	longest := aimedWait * left.Seconds()
	shortest := min(max(r.Target/2, minAimedWait).Seconds(), longest)
	return seconds(shortest + (1-q.present)*(longest-shortest))
}

// freshFraction returns which part of the requests of a kind to admit whose callers come for the
// first time.
func (q *queue) freshFraction(wait, aimed time.Duration) float64 {
	if q.own == nil || wait <= aimed/2 {
		return 1
	}
	fresh := q.own.fresh()
	if fresh <= 0 {
		return 1
	}
	part := (q.room - min(q.own.Returned, q.returnRoom())) / fresh
	return min(max(part*(1+(aimed-wait).Seconds()/correction.Seconds()), 0), 1)
}

// returnFraction returns which part of the requests of a kind to admit whose callers have returned.
func (q *queue) returnFraction() float64 {
	if q.own == nil || q.own.Returned <= 0 {
		return 1
	}
	return min(q.returnRoom()/q.own.Returned, 1)
}

// returnRoom returns the rate that is kept for callers that return: what the schedule of returns uses,
// and in any case returnShare of the room.
func (q *queue) returnRoom() float64 {
	return max(min(max(q.spare, returnShare*q.room), q.room), 0)
}

// takeCredit admits the given fraction of the requests for which it is called.
func takeCredit(credit *float64, fraction float64) bool {
	*credit = min(*credit+fraction, 2)
	if *credit < 1 {
		return false
	}
	*credit--
	return true
}

// MayDispatch reports whether a waiting request may be dispatched now. While more urgent
// requests wait at any VM, the others share the rate that those leave. fits reports whether a
// place is free for it: if one stays free, no other VM needs it.
func (e *Estimator) MayDispatch(now time.Time, r Request, fits func() bool) bool {
	// The order of dispatches does no harm in a short backlog, as free places are used anyway.
	u := e.knownUnit(now, r.Unit)
	if u == nil || u.backlogSince.IsZero() {
		return true
	}
	q := u.queueFor(now, &r)
	if q.ahead == 0 || q.own == nil {
		return true
	}
	s := e.kind(now, r.Kind)
	rate := u.capacity*(1+dispatchHeadroom) - q.aheadRate - float64(q.ahead)/urgentDrain.Seconds()
	share := float64(s.waiting) / float64(max(q.own.waiting(), 1))
	s.refillDispatchCredit(now, max(rate, 0)*share)
	if s.dispatchCredit >= 1 {
		return true
	}
	if !fits() {
		s.freeSince = time.Time{}
		return false
	}
	patience := freeTime * time.Duration(q.kindsAhead)
	if s.freeSince.IsZero() || now.Sub(s.freeCheckedAt) > patience {
		s.freeSince = now
	}
	s.freeCheckedAt = now
	return now.Sub(s.freeSince) >= patience
}

// refillDispatchCredit adds the dispatches that are allowed since the last call.
func (s *kindState) refillDispatchCredit(now time.Time, perSecond float64) {
	age := now.Sub(s.dispatchCreditAt)
	s.dispatchCreditAt = now
	if age > maxCreditAge {
		s.dispatchCredit = 0
		return
	}
	s.dispatchCredit = min(s.dispatchCredit+perSecond*age.Seconds(), max(1, perSecond*maxCreditAge.Seconds()))
}

// CanReach returns false if a waiting request can't be dispatched before its deadline, even if
// it is the first of its kind. The time is that until the more urgent ones are dispatched.
func (e *Estimator) CanReach(now time.Time, r Request) (time.Duration, bool) {
	u := e.overloadedUnit(now, r.Unit)
	if u == nil {
		return 0, true
	}
	q := u.queueFor(now, &r)
	wait := q.leastWait(q.ahead)
	return wait, wait <= r.Deadline.Sub(now)
}

// RetryAfter returns after which time the caller of a refused request should return. Each call
// takes the next position of a schedule that advances at this VM's share of the rate that the
// unit's usual demand leaves, so that callers which return find room. If no position is free within the time for
// which the caller waits, it returns that time and false. known is false if nothing is known
// of the unit's capacity, or too little time is left for a retry.
func (e *Estimator) RetryAfter(now time.Time, r Request) (after time.Duration, free, known bool) {
	u := e.overloadedUnit(now, r.Unit)
	if u == nil {
		return 0, false, false
	}
	left := r.CallerDeadline.Sub(now)
	if left < minRetryTime {
		return 0, false, false
	}
	longest := refusal.MaxRetryAfter(left)
	q := u.queueFor(now, &r)
	if q.spare < minRoom*u.capacity || q.own == nil {
		e.activity.Unscheduled++
		return longest, false, true
	}
	s := e.kind(now, r.Kind)
	excess := q.wait() - r.aimedWait(&q, r.Deadline.Sub(now))
	earliest := now.Add(max(seconds(minReturn*left.Seconds()), excess))
	position := s.nextReturn
	if position.Before(earliest) {
		position = earliest
	}
	if after = position.Sub(now); after > longest {
		e.activity.Unscheduled++
		return longest, false, true
	}
	// Where few requests arrive, one more or less would change the share by much.
	share := (s.rate(now, &s.arrived, rateWindow) + 1/rateWindow.Seconds()) / (q.own.Arrived + 1/rateWindow.Seconds())
	s.nextReturn = position.Add(seconds(1 / (q.spare * min(share, 1))))
	e.activity.Scheduled++
	return after, true, true
}
