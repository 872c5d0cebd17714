package routing

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minLatencyWeight is the least weight of a new sample in an engine's mean
	// latency. The first samples weigh more.
	minLatencyWeight = 0.2
	// minLatencySamples is the number of samples from which an engine's mean counts
	// as known. It counts for maxLatencyAge after the newest sample, so that an
	// engine that gets no requests because it was slow is tried again.
	minLatencySamples = 5
	maxLatencyAge     = 30 * time.Second
	// An engine is an outlier if its mean exceeds slowRatio times the pool's median
	// and is more than minSlowExcess above the median. Differences in prompt length
	// alone do not move a mean that far.
	slowRatio     = 3
	minSlowExcess = 200 * time.Millisecond
	// maxEjectedShare bounds the share of a pool's engines that are ejected for
	// slowness. If more are slow, the pool is overloaded, and ejecting engines makes
	// it worse.
	maxEjectedShare = 1.0 / 3
	// minMedianEngines is the number of engines with a known mean that a median
	// requires.
	minMedianEngines = 3
	// medianInterval is the least time between two computations of a pool's median.
	medianInterval = time.Second
	// An engine with requests in flight counts as silent if it sends no first token
	// for longer than minSilentTimeout and silentTimeoutMedians times the pool's
	// median.
	minSilentTimeout     = 2 * time.Second
	silentTimeoutMedians = 4
)

// poolLatency holds the first-token latencies of a pool's engines as measured by
// this VM.
type poolLatency struct {
	engines  map[string]*engineLatency
	median   float64 // seconds; 0: unknown
	medianAt time.Time
}

// engineLatency is the moving average of an engine's first-token latency.
type engineLatency struct {
	mean   float64 // seconds
	count  int
	lastAt time.Time // of the newest sample
}

func (l *engineLatency) isKnown(now time.Time) bool {
	return l != nil && l.count >= minLatencySamples && now.Sub(l.lastAt) < maxLatencyAge
}

func (p *poolLatency) getOrCreate(engine string) *engineLatency {
	l := p.engines[engine]
	if l == nil {
		l = &engineLatency{}
		p.engines[engine] = l
	}
	return l
}

func (l *engineLatency) observe(now time.Time, latency time.Duration) {
	l.lastAt = now
	l.count++
	weight := max(minLatencyWeight, 1/float64(l.count))
	l.mean += weight * (latency.Seconds() - l.mean)
}

// refreshMedian recomputes the median if medianInterval has passed, and reports
// whether it did.
func (p *poolLatency) refreshMedian(now time.Time) bool {
	if !p.medianAt.IsZero() && now.Sub(p.medianAt) < medianInterval {
		return false
	}
	p.medianAt = now
	var means []float64
	for _, l := range p.engines {
		if l.isKnown(now) {
			means = append(means, l.mean)
		}
	}
	p.median = 0
	if len(means) >= minMedianEngines {
		slices.Sort(means)
		p.median = means[(len(means)-1)/2]
	}
	return true
}

// slowness returns the ratio of the engine's mean to the pool's median, limited
// to the range from 1 to slowRatio. It is 1 if either is unknown.
func (p *poolLatency) slowness(now time.Time, engine string) float64 {
	if p == nil || p.median <= 0 {
		return 1
	}
	l := p.engines[engine]
	if !l.isKnown(now) {
		return 1
	}
	return min(max(l.mean/p.median, 1), slowRatio)
}

// outliers returns the engines whose mean is far above the median, slowest first.
func (p *poolLatency) outliers(now time.Time) []string {
	var names []string
	for name, l := range p.engines {
		if l.isKnown(now) && p.isSlow(l.mean) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.engines[b].mean, p.engines[a].mean), cmp.Compare(a, b))
	})
	return names
}

func (p *poolLatency) isSlow(seconds float64) bool {
	return p.median > 0 && seconds > slowRatio*p.median && seconds-p.median > minSlowExcess.Seconds()
}
