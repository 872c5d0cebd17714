package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// gapPriorSamples and firstPriorSamples are how many samples the pool's median counts for in an engine's
	// distribution. The streams on an engine advance together, so one slow step gives a dozen late gaps at
	// once, and a few samples say little.
	gapPriorSamples   = 20
	firstPriorSamples = 4
	// targetMargin is the part of a target that an engine must keep. Gaps are measured at the VM; the rest
	// is for the caller's link and a busy VM.
	targetMargin = 0.9
	// maxSlowness bounds Slowness. A factor above it comes from stalls of single streams, not from the speed
	// of an engine.
	maxSlowness = 3
	// maxEvents bounds the expected number of events: more don't change the estimate, and a caller's
	// number may be arbitrary.
	maxEvents = 10_000
)

// Distribution is the estimated pace of an engine for a model. It is immutable. A nil Distribution knows nothing.
type Distribution struct {
	// gapOver and firstOver are the shares of times above each bound.
	gapOver, firstOver [len(bounds)]float64
	knowsFirst         bool
	// meanGap is in seconds, slowness its ratio to the median of the pool.
	meanGap, slowness float64
}

// Slowness returns the ratio of the engine's mean gap to the median of its pool, between 1 and 3. A slot
// of the engine is worth as many times less.
func (d *Distribution) Slowness() float64 {
	if d == nil {
		return 1
	}
	return d.slowness
}

// MissProbability returns the estimated probability, from 0 to 1, that a stream that is sent now misses
// one of its targets. It is 0 if nothing is known.
//
// It takes gaps for independent of each other. Late gaps come in groups in fact, so it is too high, for
// all engines alike.
func (d *Distribution) MissProbability(now time.Time, t Targets) float64 {
	if d == nil {
		return 0
	}
	left := t.FirstEventDue.Sub(now)
	if !t.FirstEventDue.IsZero() && left <= 0 {
		return 1 // late on any engine, so others should have the fast ones
	}
	inTime := 1.0
	if t.Gap > 0 && t.Events > 1 {
		late := shareOver(&d.gapOver, time.Duration(targetMargin*float64(t.Gap)))
		inTime = math.Pow(1-late, min(t.Events, maxEvents)-1)
	}
	if d.knowsFirst && !t.FirstEventDue.IsZero() {
		inTime *= 1 - shareOver(&d.firstOver, time.Duration(targetMargin*float64(left)))
	}
	return 1 - inTime
}

// shareOver returns the share of times above limit, taking the times within a bucket for evenly spread. All
// times of the last bucket are above.
func shareOver(over *[len(bounds)]float64, limit time.Duration) float64 {
	i := bucketOf(limit)
	if i == len(bounds) {
		return over[len(bounds)-1]
	}
	above, start := 1.0, bucketStart(i)
	if i > 0 {
		above = over[i-1]
	}
	part := float64(limit-start) / float64(bounds[i]-start)
	return above - part*(above-over[i])
}

// sharesOver returns the shares of counts above each bound, with the samples of the prior added; the
// prior may be nil.
func sharesOver(counts []uint32, prior *[len(bounds)]float64, priorSamples float64) (over [len(bounds)]float64) {
	counts = counts[:min(len(counts), buckets)]
	if prior == nil {
		priorSamples = 0
	}
	samples := float64(total(counts)) + priorSamples
	if samples == 0 {
		return over
	}
	above := 0.0
	for i := len(bounds) - 1; i >= 0; i-- {
		if i+1 < len(counts) {
			above += float64(counts[i+1])
		}
		over[i] = above
		if prior != nil {
			over[i] += priorSamples * prior[i]
		}
		over[i] /= samples
	}
	return over
}

// meanOf returns the mean time in seconds of a distribution.
func meanOf(over *[len(bounds)]float64) float64 {
	mean, above := 0.0, 1.0
	for i, bound := range bounds {
		mean += (above + over[i]) / 2 * (bound - bucketStart(i)).Seconds()
		above = over[i]
	}
	return mean
}

// medianOver returns the median of several shares at each bound, nil for none.
func medianOver(all [][len(bounds)]float64) *[len(bounds)]float64 {
	if len(all) == 0 {
		return nil
	}
	var median [len(bounds)]float64
	values := make([]float64, len(all))
	for i := range bounds {
		for j := range all {
			values[j] = all[j][i]
		}
		slices.Sort(values)
		median[i] = values[(len(values)-1)/2]
	}
	return &median
}

// modelPaces are the distributions of a model's engines.
type modelPaces struct {
	median *Distribution
	// of has the engines with samples.
	of map[Key]*Distribution
}

// minMedianEngines is the number of engines with samples from which they are compared: of two, either may be
// the unusual one.
const minMedianEngines = 3

// newModelPaces derives the distributions of one model from the counts of its engines.
func newModelPaces(list []Counts) *modelPaces {
	var gaps, firsts [][len(bounds)]float64
	for _, c := range list {
		if total(c.Gaps) >= gapPriorSamples {
			gaps = append(gaps, sharesOver(c.Gaps, nil, 0))
		}
		if total(c.FirstEvents) >= firstPriorSamples {
			firsts = append(firsts, sharesOver(c.FirstEvents, nil, 0))
		}
	}
	if len(gaps) < minMedianEngines {
		gaps, firsts = nil, nil
	}
	gapMedian, firstMedian := medianOver(gaps), medianOver(firsts)
	m := &modelPaces{median: &Distribution{slowness: 1}, of: make(map[Key]*Distribution, len(list))}
	if gapMedian != nil {
		m.median.gapOver, m.median.meanGap = *gapMedian, meanOf(gapMedian)
	}
	if firstMedian != nil {
		m.median.firstOver, m.median.knowsFirst = *firstMedian, true
	}
	for _, c := range list {
		d := *m.median
		if gapMedian != nil {
			d.gapOver = sharesOver(c.Gaps, gapMedian, gapPriorSamples)
			d.meanGap = meanOf(&d.gapOver)
			d.slowness = min(max(d.meanGap/m.median.meanGap, 1), maxSlowness)
		}
		if firstMedian != nil {
			d.firstOver = sharesOver(c.FirstEvents, firstMedian, firstPriorSamples)
		}
		m.of[c.key()] = &d
	}
	return m
}
