package routing

import (
	"math"
	"math/rand"
	"time"
)

// BreakerState is how an engine is trusted.
type BreakerState string

const (
	BreakerClosed   BreakerState = "closed"    // trusted
	BreakerOpen     BreakerState = "open"      // gets nothing
	BreakerHalfOpen BreakerState = "half-open" // gets single requests as probes
)

const (
	// failuresInRow opens a breaker: one failure may be the request's own fault,
	// and a dead engine shows the third within a second of work.
	failuresInRow = 3
	// failureShare of at least failureLeast recent requests opens it too, for an
	// engine that fails now and then.
	failureShare = 0.5
	failureLeast = 8
	// resultsKept is how many recent results the share is taken from.
	resultsKept = 16
	// openFirst is how long a breaker stays open at first; it doubles with each
	// failed probe up to openMost. An engine's restart takes seconds to minutes.
	openFirst = time.Second
	openMost  = 30 * time.Second
	// openJitter is added at random, as a part of the time: else all entry VMs
	// would send their probes at the same moment.
	openJitter = 0.5
	// probeEvery is when one more probe may go though the last one is not back,
	// as it may be a long stream.
	probeEvery = 5 * time.Second
)

// breaker keeps requests away from an engine that fails or is much slower than
// its peers. Without it each request would try the sick engine in turn, and a
// hung one looks idle, so that it draws most of them.
type breaker struct {
	open     bool
	until    time.Time     // an open breaker is half-open from then on
	backoff  time.Duration // of the last opening
	probedAt time.Time
	inRow    int
	// results are the newest results as bits, 1 for a failure.
	results uint16
	count   int
}

func (b *breaker) state(now time.Time) BreakerState {
	switch {
	case !b.open:
		return BreakerClosed
	case now.Before(b.until):
		return BreakerOpen
	default:
		return BreakerHalfOpen
	}
}

// admits tells whether the engine may get one more request.
func (b *breaker) admits(now time.Time) bool {
	switch b.state(now) {
	case BreakerClosed:
		return true
	case BreakerHalfOpen:
		return now.Sub(b.probedAt) >= probeEvery
	default:
		return false
	}
}

func (b *breaker) started(now time.Time) {
	if b.open {
		b.probedAt = now
	}
}

// trip opens the breaker, for longer after each failed probe.
func (b *breaker) trip(now time.Time, rng *rand.Rand) {
	if b.open && now.Before(b.until) {
		return // requests of before the opening; they tell nothing new
	}
	if b.open {
		b.backoff = min(2*b.backoff, openMost)
	} else {
		b.backoff = openFirst
	}
	b.open = true
	b.probedAt = time.Time{}
	b.until = now.Add(b.backoff + time.Duration(rng.Float64()*openJitter*float64(b.backoff)))
}

// succeed counts a request that worked. The breaker closes only after a probe
// has gone out: an answer to a request of before the failures proves nothing.
func (b *breaker) succeed(now time.Time) {
	b.inRow = 0
	b.note(0)
	if b.state(now) == BreakerHalfOpen && !b.probedAt.IsZero() {
		*b = breaker{}
	}
}

// fail counts a failure.
func (b *breaker) fail(now time.Time, rng *rand.Rand) {
	b.inRow++
	b.note(1)
	if b.open || b.inRow >= failuresInRow || b.failing() {
		b.trip(now, rng)
	}
}

func (b *breaker) note(bit uint16) {
	b.results = b.results<<1 | bit
	b.count = min(b.count+1, resultsKept)
}

func (b *breaker) failing() bool {
	failures := 0
	for i := range b.count {
		failures += int(b.results >> i & 1)
	}
	return b.count >= failureLeast && float64(failures) >= failureShare*float64(b.count)
}

const (
	// reliabilityWindow is the time constant over which an engine's failures count
	// against it: longer than a breaker stays open at first.
	reliabilityWindow = 5 * time.Second
	// reliabilityLeast is the weight of results that says anything.
	reliabilityLeast = 3
)

// reliability is the share of an engine's recent requests that failed. Failure: an
// engine fails a third of its requests at once; that is too few to open its breaker, a
// probe closes it again, and its quick failures make it look idle, so that it draws
// more. A request that may run only once is lost with each of them.
type reliability struct {
	failed, all float64
	at          time.Time
}

// note counts a result.
func (r *reliability) note(now time.Time, failed bool) {
	r.decay(now)
	r.all++
	if failed {
		r.failed++
	}
}

func (r *reliability) decay(now time.Time) {
	if !r.at.IsZero() {
		fade := math.Exp(-now.Sub(r.at).Seconds() / reliabilityWindow.Seconds())
		r.failed *= fade
		r.all *= fade
	}
	r.at = now
}

// failures is the share of failed requests, 0 where little is known.
func (r *reliability) failures(now time.Time) float64 {
	r.decay(now)
	if r.all < reliabilityLeast {
		return 0
	}
	return r.failed / r.all
}
