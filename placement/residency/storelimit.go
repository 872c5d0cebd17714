package residency

import (
	"math"
	"time"
)

const (
	// storeLimitStart is how many loads from the store run at once before anything is
	// known of it. A store that serves one at full speed loses half a load to it; one
	// that serves four is found out after the first load.
	storeLimitStart = 2
	// storeLimitMost bounds the limit: each load takes an engine that could be
	// swapping from its own disk meanwhile.
	storeLimitMost = 16
	// fullSpeed times what it takes alone, and endLag more, is how long a load may take
	// and still count as served at full speed: engines tell of its end that much late.
	fullSpeed = 1.2
	endLag    = 300 * time.Millisecond
	// probeAfter is how many loads at full speed it takes, once the store was found to
	// be slower, to try one more at once: at a store that serves one, each such try
	// costs half a load.
	probeAfter = 8
)

// StoreLimit finds out how many loads the weight store serves at full speed. Nobody
// says: beyond that number each load takes longer in proportion, so that more at once
// bring no model sooner and most of them later. Load pattern: after a start, a shift
// of demand or the loss of engines tens of models have to come from the store. With
// four at once from a store that serves one, none of them was there for 52 s; one
// after the other, the first is there after 13 s.
//
// It doubles while loads that ran as many at once as it allows are served at full
// speed, falls to what the slow ones were served at, and is then tried one higher now
// and then. It is not safe for concurrent use.
type StoreLimit struct {
	limit float64
	// bounded is whether the store was ever found slower; steady counts the loads at
	// full speed since.
	bounded bool
	steady  int
	// found is whether any load has told of the store.
	found bool
	loads map[string]*storeLoad // by engine
	// sampledAt is up to when the loads' company was counted.
	sampledAt time.Time
}

// storeLoad is a load from the store under way.
type storeLoad struct {
	begun time.Time
	alone time.Duration
	// company is the number of loads that ran, summed over its seconds.
	company float64
}

// NewStoreLimit makes the limit of a store of which nothing is known.
func NewStoreLimit() *StoreLimit {
	return &StoreLimit{limit: storeLimitStart, loads: make(map[string]*storeLoad)}
}

// AtOnce is how many loads from the store should run at once.
func (l *StoreLimit) MaxLoads() int { return max(1, int(math.Round(l.limit))) }

// Found is AtOnce for others to learn from, 0 while no load has told of the store.
func (l *StoreLimit) MeasuredMaxLoads() int {
	if !l.found {
		return 0
	}
	return l.MaxLoads()
}

// Running is how many loads from the store are under way.
func (l *StoreLimit) LoadsInFlight() int { return len(l.loads) }

// Learn takes what another VM found out, as when this one begins to plan.
func (l *StoreLimit) AdoptMaxLoads(atOnce int) {
	if atOnce > 0 {
		l.limit = min(float64(atOnce), storeLimitMost)
		l.bounded, l.found, l.steady = true, true, 0
	}
}

// Begin notes a load that should take so long by itself.
func (l *StoreLimit) BeginLoad(now time.Time, engine string, alone time.Duration) {
	l.sample(now)
	l.loads[engine] = &storeLoad{begun: now, alone: alone}
}

// Abandon forgets a load that failed: its length says nothing of the store.
func (l *StoreLimit) DiscardLoad(now time.Time, engine string) {
	l.sample(now)
	delete(l.loads, engine)
}

// End notes that a load is done. It tells whether the limit changed.
func (l *StoreLimit) FinishLoad(now time.Time, engine string) bool {
	l.sample(now)
	load := l.loads[engine]
	if load == nil {
		return false
	}
	delete(l.loads, engine)
	took := now.Sub(load.begun).Seconds()
	if took <= 0 || load.alone <= 0 {
		return false
	}
	l.found = true
	before := l.MaxLoads()
	company := load.company / took
	stretch := took / load.alone.Seconds()
	switch {
	case took > fullSpeed*load.alone.Seconds()+endLag.Seconds():
		l.limit = min(l.limit, max(1, company/stretch))
		l.bounded, l.steady = true, 0
	case company <= l.limit-0.5: // fewer ran than the limit allows
	case !l.bounded:
		l.limit = min(2*l.limit, storeLimitMost)
	default:
		l.steady++
		if l.steady >= probeAfter {
			l.limit, l.steady = min(l.limit+1, storeLimitMost), 0
		}
	}
	return l.MaxLoads() != before
}

// sample counts the time since the last change for the loads that ran.
func (l *StoreLimit) sample(now time.Time) {
	passed := now.Sub(l.sampledAt).Seconds()
	l.sampledAt = now
	for _, load := range l.loads {
		load.company += passed * float64(len(l.loads))
	}
}
