package routing

import (
	"math"
	"math/rand"
	"time"
)

// BreakerState is the state of an engine's circuit breaker.
type BreakerState string

const (
	BreakerClosed   BreakerState = "closed"    // requests pass
	BreakerOpen     BreakerState = "open"      // no request passes
	BreakerHalfOpen BreakerState = "half-open" // single requests pass as probes
)

const (
	// consecutiveFailureThreshold is the number of consecutive failures that opens
	// a breaker. A single failure may be the fault of the request, and a dead
	// engine under load reaches the third within a second.
	consecutiveFailureThreshold = 3
	// failureRateThreshold is the share of failures among at least minRateResults
	// recent requests that also opens a breaker. It covers engines that fail
	// intermittently.
	failureRateThreshold = 0.5
	minRateResults       = 8
	// maxResults is the number of recent results that the share is computed from.
	maxResults = 16
	// initialOpenDuration is how long a breaker stays open the first time. The
	// duration doubles with each failed probe up to maxOpenDuration. An engine's
	// restart takes seconds to minutes.
	initialOpenDuration = time.Second
	maxOpenDuration     = 30 * time.Second
	// openJitter is the largest random extension of the open duration, as a share
	// of it. Without jitter, all entry VMs would send their probes at the same
	// moment.
	openJitter = 0.5
	// probeInterval is how long after a probe the next one may be sent although
	// the first has not finished: it may be a long stream.
	probeInterval = 5 * time.Second
)

// breaker is a circuit breaker that keeps requests away from an engine that fails
// or is much slower than its peers. Without it, each request in turn would try
// the failing engine, and a hung engine would attract most requests because it
// looks idle.
type breaker struct {
	open                bool
	openUntil           time.Time     // the breaker is half-open after this time
	backoff             time.Duration // of the last opening
	probedAt            time.Time
	consecutiveFailures int
	// results holds the newest results as bits, 1 for a failure.
	results     uint16
	resultCount int
}

func (b *breaker) state(now time.Time) BreakerState {
	switch {
	case !b.open:
		return BreakerClosed
	case now.Before(b.openUntil):
		return BreakerOpen
	default:
		return BreakerHalfOpen
	}
}

// canAdmit reports whether the engine may get one more request.
func (b *breaker) canAdmit(now time.Time) bool {
	switch b.state(now) {
	case BreakerClosed:
		return true
	case BreakerHalfOpen:
		return now.Sub(b.probedAt) >= probeInterval
	default:
		return false
	}
}

func (b *breaker) recordStart(now time.Time) {
	if b.open {
		b.probedAt = now
	}
}

// trip opens the breaker. Each failed probe doubles the open duration.
func (b *breaker) trip(now time.Time, rng *rand.Rand) {
	if b.open && now.Before(b.openUntil) {
		return // the request was sent before the breaker opened
	}
	if b.open {
		b.backoff = min(2*b.backoff, maxOpenDuration)
	} else {
		b.backoff = initialOpenDuration
	}
	b.open = true
	b.probedAt = time.Time{}
	b.openUntil = now.Add(b.backoff + time.Duration(rng.Float64()*openJitter*float64(b.backoff)))
}

// recordSuccess records a request that succeeded. The breaker closes only after a
// probe was sent: the answer to a request sent before the failures does not show
// that the engine has recovered.
func (b *breaker) recordSuccess(now time.Time) {
	b.consecutiveFailures = 0
	b.recordResult(0)
	if b.state(now) == BreakerHalfOpen && !b.probedAt.IsZero() {
		*b = breaker{}
	}
}

// recordFailure records a failed request and opens the breaker if it is due.
func (b *breaker) recordFailure(now time.Time, rng *rand.Rand) {
	b.consecutiveFailures++
	b.recordResult(1)
	if b.open || b.consecutiveFailures >= consecutiveFailureThreshold || b.isFailing() {
		b.trip(now, rng)
	}
}

func (b *breaker) recordResult(bit uint16) {
	b.results = b.results<<1 | bit
	b.resultCount = min(b.resultCount+1, maxResults)
}

func (b *breaker) isFailing() bool {
	failures := 0
	for i := range b.resultCount {
		failures += int(b.results >> i & 1)
	}
	return b.resultCount >= minRateResults && float64(failures) >= failureRateThreshold*float64(b.resultCount)
}

const (
	// failureRateTimeConstant is the time constant of the exponential decay of
	// results. It is longer than initialOpenDuration.
	failureRateTimeConstant = 5 * time.Second
	// minFailureRateWeight is the least total weight of results from which a rate
	// is derived.
	minFailureRateWeight = 3
)

// failureRate is the exponentially decayed share of an engine's requests that
// failed. It covers what the breaker does not: an engine that immediately fails a
// third of its requests fails too few to open its breaker, or a probe closes the
// breaker again. Its quick failures make it look idle, so that it attracts more
// requests. Each failure loses a request, as a failed request can't be retried once it
// may have run.
type failureRate struct {
	failed, total float64
	updatedAt     time.Time
}

// record adds a result.
func (r *failureRate) record(now time.Time, failed bool) {
	r.decay(now)
	r.total++
	if failed {
		r.failed++
	}
}

func (r *failureRate) decay(now time.Time) {
	if !r.updatedAt.IsZero() {
		factor := math.Exp(-now.Sub(r.updatedAt).Seconds() / failureRateTimeConstant.Seconds())
		r.failed *= factor
		r.total *= factor
	}
	r.updatedAt = now
}

// value returns the share of failed requests, or 0 if there are too few results.
func (r *failureRate) value(now time.Time) float64 {
	r.decay(now)
	if r.total < minFailureRateWeight {
		return 0
	}
	return r.failed / r.total
}
