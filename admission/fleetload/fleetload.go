// Package fleetload estimates the load of a whole fleet of entry VMs and decides by it
// which requests to admit, which waiting requests may be dispatched before those of other
// VMs, and when refused callers return.
//
// Load pattern: many VMs compete for the same engines or backend servers while demand
// exceeds their capacity. One VM sees only one or two requests of a unit, so neither its
// queue nor its dispatch rate tells anything. VMs therefore share counts and rates by unit
// and kind of request, and each of them applies the same rules to the same sums: what all
// VMs together admit follows the capacity, however many VMs there are.
//
// The package does no I/O and reads no clock. Rates are in requests per second, a higher
// priority goes first, and nothing here returns an error: if too little is known, requests
// are admitted and dispatched, and no wait is returned.
package fleetload

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"time"

	"bergamotreel/internal/meter"
)

const (
	// rateWindow is the time constant of the rates that VMs share. A shorter one is noisy at one
	// or two requests per second and VM; a longer one follows arrivals that double within a
	// second too late.
	rateWindow = 1500 * time.Millisecond
	// usualWindow is the time constant of the usual demand. It is ten times a burst of six seconds, so
	// that the burst doesn't pass for usual demand, and waits and retry times count on the capacity after it.
	usualWindow = 60 * time.Second
	// maxEntries limits the size of a report, of which a relay receives one from each VM of its failure
	// domain. The units with most waiting requests in the fleet come first, the same ones at all VMs.
	maxEntries = 16
	// forgetAfter is the time without requests after which a kind is forgotten. The rates over
	// usualWindow are negligible by then.
	forgetAfter = 3 * usualWindow
	// maxKinds limits the kinds in memory, as callers choose the models that they ask for. Further
	// ones are treated as unknown.
	maxKinds = 1024
	// reportAfterWaiting is how long after the last waiting request of the fleet a unit is
	// reported. Without waiting requests nothing is decided by the sums.
	reportAfterWaiting = 5 * time.Second
)

// Kind is a kind of requests for a unit. Kinds of one unit are served by priority, then by
// target.
type Kind struct {
	// Unit is a model or plain service.
	Unit     string
	Priority int
	// Target is the route's target for the time to the first event, 0 for none.
	Target time.Duration
}

// order compares kinds of one unit, the most urgent first.
func order(a, b Kind) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.looseness(), b.looseness()))
}

// looseness is the target, or a long time for none.
func (k Kind) looseness() time.Duration {
	if k.Target <= 0 {
		return math.MaxInt64
	}
	return k.Target
}

// Request is a request at its entry VM.
type Request struct {
	Kind
	// Arrived is when the request arrived at this VM. Deadline is the latest time for its
	// dispatch, CallerDeadline that until which its caller waits for the answer, both not zero.
	Arrived, Deadline, CallerDeadline time.Time
}

// timeToTarget returns the time left until the request's target.
func (r *Request) timeToTarget(now time.Time) time.Duration {
	if r.Target <= 0 {
		return math.MaxInt64
	}
	return r.Arrived.Add(r.Target).Sub(now)
}

// Load is the load by requests of one kind, of one VM or summed over VMs.
type Load struct {
	// Kind.Unit is the result of UnitHash.
	Kind
	Waiting int
	// Arrived are the requests per second that arrived, refused ones included, Returned those
	// of them whose callers had been refused before, and Usual the others over a longer time.
	// Dispatched are those that were sent to backend servers.
	Arrived, Returned, Usual, Dispatched float64
}

// UnitHash returns the name of a unit in messages. Names take most of an entry's bytes, and
// two units with equal hashes merely count as one.
func UnitHash(unit string) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(unit))
	return strconv.FormatUint(uint64(hash.Sum32()), 36)
}

// hash returns UnitHash from a cache.
func (e *Estimator) hash(unit string) string {
	h, ok := e.hashes[unit]
	if !ok {
		if len(e.hashes) >= 2*maxKinds {
			clear(e.hashes)
		}
		h = UnitHash(unit)
		e.hashes[unit] = h
	}
	return h
}

// Estimator estimates the fleet's load from this VM's requests and the sum of all VMs'
// reports. It is not safe for concurrent use.
type Estimator struct {
	random func() float64
	kinds  map[Kind]*kindState
	units  map[string]*unitState
	// hashes caches UnitHash.
	hashes   map[string]string
	activity Activity
}

// Activity counts decisions since the start.
type Activity struct {
	// Refused are requests that Admit refused, Returned those admitted that had returned after
	// a refusal, Held those of RecordHeld. Scheduled and Unscheduled are refused requests with
	// and without a free position for their return.
	Refused, Returned, Held, Scheduled, Unscheduled uint64
}

// kindState is what this VM knows of its own requests of a kind.
type kindState struct {
	waiting                              int
	arrived, returned, usual, dispatched meter.Meter
	since, lastUsed                      time.Time
	// admitCredit is the accumulated fraction of a new request that may be admitted, returnCredit
	// the same for callers that return, and dispatchCredit that of a waiting request that may be
	// dispatched, as of dispatchCreditAt.
	admitCredit, returnCredit, dispatchCredit float64
	dispatchCreditAt                          time.Time
	// freeSince is since when this VM has seen a free place each time that a request was held back,
	// freeCheckedAt when it last saw one.
	freeSince, freeCheckedAt time.Time
	// nextReturn is the next free position of the schedule of returns.
	nextReturn time.Time
	// allowance is the longest time that callers had recently when they arrived: the maximum of
	// this and the previous interval of allowanceInterval.
	allowance, previousAllowance time.Duration
	allowanceSince               time.Time
	// reported is what this VM reported last.
	reported Load
}

// allowanceInterval is the time after which a longer allowance of former callers is forgotten.
const allowanceInterval = time.Minute

// NewEstimator returns an estimator that knows nothing. random returns numbers in [0, 1).
func NewEstimator(random func() float64) *Estimator {
	return &Estimator{random: random, kinds: make(map[Kind]*kindState), units: make(map[string]*unitState), hashes: make(map[string]string)}
}

// Activity returns the counts of decisions.
func (e *Estimator) Activity() Activity { return e.activity }

func (e *Estimator) kind(now time.Time, k Kind) *kindState {
	s := e.kinds[k]
	if s == nil {
		if len(e.kinds) >= maxKinds {
			return &kindState{since: now, lastUsed: now}
		}
		// VMs that all begin with the same credit would admit and refuse at the same moments.
		s = &kindState{since: now, allowanceSince: now, admitCredit: e.random(), returnCredit: e.random()}
		e.kinds[k] = s
	}
	s.lastUsed = now
	return s
}

// RecordArrival counts a request that arrived. It must be called once for each request, before Admit.
func (e *Estimator) RecordArrival(now time.Time, r Request) {
	s := e.kind(now, r.Kind)
	s.arrived.Add(now, 1, rateWindow)
	if s.hasReturned(r) {
		s.returned.Add(now, 1, rateWindow)
	} else {
		s.usual.Add(now, 1, usualWindow)
	}
	s.recordAllowance(now, r.CallerDeadline.Sub(r.Arrived))
}

// RecordWaiting counts a request that begins to wait; RecordLeft must follow once.
func (e *Estimator) RecordWaiting(now time.Time, k Kind) { e.kind(now, k).waiting++ }

// RecordLeft counts a request that waits no longer.
func (e *Estimator) RecordLeft(now time.Time, k Kind) {
	s := e.kind(now, k)
	s.waiting = max(s.waiting-1, 0)
}

// RecordDispatch counts a request that is sent to a backend server.
func (e *Estimator) RecordDispatch(now time.Time, k Kind) {
	s := e.kind(now, k)
	s.dispatched.Add(now, 1, rateWindow)
	s.dispatchCredit = max(s.dispatchCredit-1, 0)
}

// RecordUndo reverts the count of a dispatch, as the request waits again.
func (e *Estimator) RecordUndo(now time.Time, k Kind) {
	s := e.kind(now, k)
	s.dispatched.Decay(now, rateWindow)
	s.dispatched.Count = max(s.dispatched.Count-1, 0)
}

// RecordHeld counts a waiting request that MayDispatch held back at least once.
func (e *Estimator) RecordHeld() { e.activity.Held++ }

// recordAllowance records how much time a caller had when its request arrived.
func (s *kindState) recordAllowance(now time.Time, allowance time.Duration) {
	if now.Sub(s.allowanceSince) >= allowanceInterval {
		s.previousAllowance, s.allowance, s.allowanceSince = s.allowance, 0, now
	}
	s.allowance = max(s.allowance, allowance)
}

// hasReturned reports whether the request's caller has used up part of its time already, so
// that it was refused before.
func (s *kindState) hasReturned(r Request) bool {
	longest := max(s.allowance, s.previousAllowance)
	return float64(r.CallerDeadline.Sub(r.Arrived)) < returnedAllowance*float64(longest)
}

// rate returns a meter's rate, compensated for a meter that has run for less than its window.
func (s *kindState) rate(now time.Time, m *meter.Meter, window time.Duration) float64 {
	age := max(now.Sub(s.since), time.Second)
	return m.Rate(now, window) / (1 - math.Exp(-age.Seconds()/window.Seconds()))
}

// load returns what this VM measures of a kind now.
func (s *kindState) load(now time.Time, k Kind) Load {
	return Load{
		Kind: k, Waiting: s.waiting, Arrived: s.rate(now, &s.arrived, rateWindow), Returned: s.rate(now, &s.returned, rateWindow),
		Usual: s.rate(now, &s.usual, usualWindow), Dispatched: s.rate(now, &s.dispatched, rateWindow),
	}
}

// Report returns this VM's load: of units for which requests of any VM wait, or waited a
// short time ago. It forgets kinds without requests.
func (e *Estimator) Report(now time.Time) []Load {
	waitingHere := make(map[string]bool)
	for k, s := range e.kinds {
		if s.waiting > 0 {
			waitingHere[k.Unit] = true
		}
	}
	var out []Load
	idleTime := forgetAfter
	if len(e.kinds) > maxKinds/2 {
		idleTime = reportAfterWaiting
	}
	for k, s := range e.kinds {
		s.reported = Load{}
		if s.waiting == 0 && now.Sub(s.lastUsed) > idleTime {
			delete(e.kinds, k)
			continue
		}
		waits := waitingHere[k.Unit]
		k.Unit = e.hash(k.Unit)
		u := e.units[k.Unit]
		if waits || (u != nil && now.Sub(u.lastWaiting) < reportAfterWaiting) {
			s.reported = s.load(now, k)
			out = append(out, s.reported)
		}
	}
	slices.SortFunc(out, func(a, b Load) int {
		return cmp.Or(cmp.Compare(e.units[b.Unit].waiting(), e.units[a.Unit].waiting()), cmp.Compare(a.Unit, b.Unit), order(a.Kind, b.Kind))
	})
	return out[:min(len(out), maxEntries)]
}
