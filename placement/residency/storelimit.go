package residency

import (
	"math"
	"time"
)

const (
	// initialStoreLimit is the limit before any load has been measured. If the store serves one
	// load at full speed, two concurrent loads end half a load's duration later on average
	// than one after the other. A store that serves four is recognized after the first load.
	initialStoreLimit = 2
	// maxStoreLimit bounds the limit: each load occupies an engine that could load from
	// its own disk instead.
	maxStoreLimit = 16
	// maxFullSpeedSlowdown and maxReportLag bound how long a load that counts as served at
	// full speed takes: its duration without other loads times the slowdown, plus the lag
	// with which engines report its end.
	maxFullSpeedSlowdown = 1.2
	maxReportLag         = 300 * time.Millisecond
	// loadsPerProbe is the number of loads at full speed after which the limit is raised by
	// one once the store has been seen to slow down. If the store serves one load at full
	// speed, the two loads of each such probe end half a load's duration later on average.
	loadsPerProbe = 8
)

// StoreLimit is an adaptive limit on concurrent loads from the weight store. The number of
// loads that the store serves at full speed isn't configured; above it, each load takes
// proportionally longer, so that more concurrent loads bring no model sooner and most of them
// later. This matters when tens of models have to come from the store, after a start, a shift
// of demand or the loss of engines: with four concurrent loads from a store that serves one,
// the first model is ready after 52 s; with one load after the other, after 13 s.
//
// The limit doubles while loads are served at full speed and as many run as it allows, falls
// to the concurrency at which slow loads would have been served at full speed, and then
// probes one higher now and then. It is not safe for concurrent use.
type StoreLimit struct {
	limit float64
	// slowdownSeen reports whether a load was ever slower than full speed, or the limit was
	// adopted; fullSpeedLoads counts the loads at full speed since then or since the last
	// probe.
	slowdownSeen   bool
	fullSpeedLoads int
	// measured reports whether the limit is based on a finished load, here or at the VM
	// from which it was adopted.
	measured bool
	loads    map[string]*storeLoad // by engine
	// sampledAt is the time up to which the loads' concurrency has been accumulated.
	sampledAt time.Time
}

// storeLoad is a load from the store in flight.
type storeLoad struct {
	startedAt time.Time
	// unloadedTime is the expected duration if no other load runs.
	unloadedTime time.Duration
	// concurrencySeconds is the number of concurrent loads, integrated over the load's
	// seconds.
	concurrencySeconds float64
}

// NewStoreLimit returns the initial limit of a store without measurements.
func NewStoreLimit() *StoreLimit {
	return &StoreLimit{limit: initialStoreLimit, loads: make(map[string]*storeLoad)}
}

// MaxLoads returns how many loads from the store should run at once.
func (l *StoreLimit) MaxLoads() int { return max(1, int(math.Round(l.limit))) }

// MeasuredMaxLoads returns MaxLoads for other VMs to adopt, 0 before the first measurement.
func (l *StoreLimit) MeasuredMaxLoads() int {
	if !l.measured {
		return 0
	}
	return l.MaxLoads()
}

// LoadsInFlight returns the number of loads from the store in flight.
func (l *StoreLimit) LoadsInFlight() int { return len(l.loads) }

// AdoptMaxLoads sets the limit to one that another VM has measured, so that a VM that begins
// to plan need not measure anew. It ignores 0.
func (l *StoreLimit) AdoptMaxLoads(maxLoads int) {
	if maxLoads > 0 {
		l.limit = min(float64(maxLoads), maxStoreLimit)
		l.slowdownSeen, l.measured, l.fullSpeedLoads = true, true, 0
	}
}

// BeginLoad records the start of a load that should take unloadedTime if no other load runs.
func (l *StoreLimit) BeginLoad(now time.Time, engine string, unloadedTime time.Duration) {
	l.accumulateConcurrency(now)
	l.loads[engine] = &storeLoad{startedAt: now, unloadedTime: unloadedTime}
}

// DiscardLoad removes a load that failed: its duration says nothing about the store.
func (l *StoreLimit) DiscardLoad(now time.Time, engine string) {
	l.accumulateConcurrency(now)
	delete(l.loads, engine)
}

// FinishLoad records the end of a load and reports whether the limit changed.
func (l *StoreLimit) FinishLoad(now time.Time, engine string) bool {
	l.accumulateConcurrency(now)
	load := l.loads[engine]
	if load == nil {
		return false
	}
	delete(l.loads, engine)
	elapsed := now.Sub(load.startedAt).Seconds()
	if elapsed <= 0 || load.unloadedTime <= 0 {
		return false
	}
	l.measured = true
	before := l.MaxLoads()
	concurrency := load.concurrencySeconds / elapsed
	slowdown := elapsed / load.unloadedTime.Seconds()
	switch {
	case elapsed > maxFullSpeedSlowdown*load.unloadedTime.Seconds()+maxReportLag.Seconds():
		l.limit = min(l.limit, max(1, concurrency/slowdown))
		l.slowdownSeen, l.fullSpeedLoads = true, 0
	case concurrency <= l.limit-0.5: // fewer loads ran than the limit allows
	case !l.slowdownSeen:
		l.limit = min(2*l.limit, maxStoreLimit)
	default:
		l.fullSpeedLoads++
		if l.fullSpeedLoads >= loadsPerProbe {
			l.limit, l.fullSpeedLoads = min(l.limit+1, maxStoreLimit), 0
		}
	}
	return l.MaxLoads() != before
}

// accumulateConcurrency adds the time since the last change to the loads in flight.
func (l *StoreLimit) accumulateConcurrency(now time.Time) {
	elapsed := now.Sub(l.sampledAt).Seconds()
	l.sampledAt = now
	for _, load := range l.loads {
		load.concurrencySeconds += elapsed * float64(len(l.loads))
	}
}
