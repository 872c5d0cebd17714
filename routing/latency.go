package routing

import (
	"cmp"
	"slices"
	"time"
)

const (
	// latencyWeight is how much one first token moves an engine's mean.
	latencyWeight = 0.2
	// latencyLeast first tokens make an engine's mean known, for latencyAge after
	// the last one: an engine that is avoided must get a chance to show better.
	latencyLeast = 5
	latencyAge   = 30 * time.Second
	// slowRatio times the pool's median, and slowLeast above it, is an outlier:
	// beyond what prompts of different lengths make of a mean.
	slowRatio = 3
	slowLeast = 200 * time.Millisecond
	// slowShare bounds the engines of a pool that are ejected for slowness. With
	// more than that slow, the pool is overloaded, and ejecting makes it worse.
	slowShare = 1.0 / 3
	// slowOutlierPeers is the fewest engines with a known mean for a median.
	slowOutlierPeers = 3
	// medianEvery bounds how often a pool's median is worked out.
	medianEvery = time.Second
	// silentLeast and silentRatio times the median is how long an engine with
	// requests in flight may bring no first token at all.
	silentLeast = 2 * time.Second
	silentRatio = 4
)

// poolLatency is the first-token latency of a pool's engines, as this VM saw it.
type poolLatency struct {
	engines  map[string]*latency
	median   float64 // seconds; 0: unknown
	medianAt time.Time
}

type latency struct {
	mean  float64 // seconds
	count int
	at    time.Time // of the newest
}

func (l *latency) known(now time.Time) bool {
	return l != nil && l.count >= latencyLeast && now.Sub(l.at) < latencyAge
}

func (p *poolLatency) of(engine string) *latency {
	l := p.engines[engine]
	if l == nil {
		l = &latency{}
		p.engines[engine] = l
	}
	return l
}

func (l *latency) observe(now time.Time, took time.Duration) {
	l.at = now
	l.count++
	weight := max(latencyWeight, 1/float64(l.count))
	l.mean += weight * (took.Seconds() - l.mean)
}

// refresh works out the median and returns whether it did.
func (p *poolLatency) refresh(now time.Time) bool {
	if !p.medianAt.IsZero() && now.Sub(p.medianAt) < medianEvery {
		return false
	}
	p.medianAt = now
	var means []float64
	for _, l := range p.engines {
		if l.known(now) {
			means = append(means, l.mean)
		}
	}
	p.median = 0
	if len(means) >= slowOutlierPeers {
		slices.Sort(means)
		p.median = means[(len(means)-1)/2]
	}
	return true
}

// slowness is the engine's mean in medians, from 1 to slowRatio.
func (p *poolLatency) slowness(now time.Time, engine string) float64 {
	if p == nil || p.median <= 0 {
		return 1
	}
	l := p.engines[engine]
	if !l.known(now) {
		return 1
	}
	return min(max(l.mean/p.median, 1), slowRatio)
}

// outliers are the engines whose means are far above the median, slowest first.
func (p *poolLatency) outliers(now time.Time) []string {
	var names []string
	for name, l := range p.engines {
		if l.known(now) && p.slow(l.mean) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.engines[b].mean, p.engines[a].mean), cmp.Compare(a, b))
	})
	return names
}

func (p *poolLatency) slow(seconds float64) bool {
	return p.median > 0 && seconds > slowRatio*p.median && seconds-p.median > slowLeast.Seconds()
}
