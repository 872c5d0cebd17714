package admission

import (
	"math"
	"time"

	"bergamotreel/internal/meter"
)

const (
	// maxFirstTokenSamples and maxFirstTokenAge limit the samples of which the
	// minimum time to first token is taken. Old samples must expire: if an outdated
	// minimum exceeded the maximum wait, all requests would be refused and no new
	// sample would replace it.
	maxFirstTokenSamples = 32
	maxFirstTokenAge     = time.Minute
	// minFirstTokenSamples is how many samples are needed before they are used.
	minFirstTokenSamples = 8
	// firstTokenCacheTTL is how long the minimum is cached without a new sample.
	firstTokenCacheTTL = time.Second

	// queueDispatchWindow is the time constant of a queue's dispatch rate.
	queueDispatchWindow = 5 * time.Second
	// minDispatches and minBacklogAge are how many dispatches and how long a
	// continuous backlog are needed before the dispatch rate is used.
	minDispatches = 8
	minBacklogAge = 2 * time.Second
	// maxDispatchRateGrowth is the factor by which the dispatch rate may still grow, as
	// replicas may be added: a request is refused only if it would miss its deadline
	// even at this multiple of the rate.
	maxDispatchRateGrowth = 2
)

// firstTokenTimes holds a pool's most recent times to first token.
type firstTokenTimes struct {
	samples [maxFirstTokenSamples]firstTokenSample
	next    int
	// cachedMin is the result of minTime, valid before cachedUntil.
	cachedMin   time.Duration
	cachedUntil time.Time
}

type firstTokenSample struct {
	at       time.Time
	duration time.Duration
}

func (f *firstTokenTimes) add(now time.Time, duration time.Duration) {
	f.samples[f.next] = firstTokenSample{at: now, duration: duration}
	f.next = (f.next + 1) % len(f.samples)
	f.cachedUntil = now
}

// minTime returns the shortest recent time to first token, or 0 if unknown.
func (f *firstTokenTimes) minTime(now time.Time) time.Duration {
	if !now.Before(f.cachedUntil) {
		f.cachedMin, f.cachedUntil = f.computeMin(now), now.Add(firstTokenCacheTTL)
	}
	return f.cachedMin
}

func (f *firstTokenTimes) computeMin(now time.Time) time.Duration {
	shortest, recent := time.Duration(math.MaxInt64), 0
	for _, s := range f.samples {
		if s.duration > 0 && now.Sub(s.at) <= maxFirstTokenAge {
			shortest = min(shortest, s.duration)
			recent++
		}
	}
	if recent < minFirstTokenSamples {
		return 0
	}
	return shortest
}

// dispatchRate measures how fast one customer's waiting requests for one unit are
// dispatched. It is discarded when none is waiting.
type dispatchRate struct {
	waiting      int
	backlogStart time.Time // start of the continuous backlog
	dispatched   int
	meter        meter.Meter
}

func (r *dispatchRate) recordDispatch(now time.Time) {
	r.waiting--
	r.dispatched++
	r.meter.Add(now, 1, queueDispatchWindow)
}

// expectedWait returns the expected time until a request with the given number of
// requests ahead of it is dispatched, and false if too little is known.
func (r *dispatchRate) expectedWait(now time.Time, ahead int) (time.Duration, bool) {
	age := now.Sub(r.backlogStart)
	if r.dispatched < minDispatches || age < minBacklogAge {
		return 0, false
	}
	r.meter.Decay(now, queueDispatchWindow)
	// Compensates for a meter that has run for less than its window.
	windowFraction := 1 - math.Exp(-age.Seconds()/queueDispatchWindow.Seconds())
	perSecond := r.meter.Count / queueDispatchWindow.Seconds() / windowFraction
	if r.meter.Count < 1 {
		return 0, false // dispatching has stopped, so the past rate predicts nothing
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second)), true
}
