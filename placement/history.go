package placement

import (
	"math"
	"time"
)

// gapBuckets are half-octaves: bucket 0 ends at a second, the last holds every
// gap of 18 hours or more.
const gapBuckets = 34

// gapEnds are the upper ends of the buckets in seconds.
var gapEnds = func() (ends [gapBuckets]float64) {
	for i := range ends {
		ends[i] = math.Pow(2, float64(i)/2)
	}
	return ends
}()

// historyHalves is how many gaps a unit remembers before the weight of the old
// ones is halved, so that a changed habit shows within days.
const historyHalves = 256

// gapCounts is a histogram of the gaps between arrivals.
type gapCounts struct {
	counts [gapBuckets]float32
	total  float32
}

func (g *gapCounts) add(gap time.Duration) {
	g.counts[bucketOf(gap)]++
	g.total++
	if g.total < historyHalves {
		return
	}
	for i := range g.counts {
		g.counts[i] /= 2
	}
	g.total /= 2
}

func bucketOf(gap time.Duration) int {
	seconds := gap.Seconds()
	if seconds <= 1 {
		return 0
	}
	return min(int(math.Ceil(2*math.Log2(seconds))), gapBuckets-1)
}

// history is the arrivals of one unit.
type history struct {
	last time.Time
	gaps gapCounts
	// keep is how long to keep the unit after its last arrival; it was worked
	// out at keepAt, and again once the history or the price has moved on.
	keep   time.Duration
	keepAt time.Time
	// clock and rhythm foresee wake-ups; a preload is held until holdUntil.
	clock     clock
	rhythm    rhythm
	holdUntil time.Time
	// woke is the newest wake-up.
	woke time.Time
}

// arrive notes an arrival and returns the gap since the one before, 0 for none.
func (h *history) arrive(at time.Time) time.Duration {
	if !at.After(h.last) {
		return 0
	}
	if h.last.IsZero() || at.Sub(h.last) >= wakeGap {
		h.wake(at)
	}
	if h.last.IsZero() {
		h.last = at
		return 0
	}
	gap := at.Sub(h.last)
	h.last = at
	h.gaps.add(gap)
	return gap
}

func (h *history) wake(at time.Time) {
	h.clock.wake(at)
	if !h.woke.IsZero() {
		h.rhythm.add(at.Sub(h.woke))
	}
	h.woke = at
}

// priorGaps is how many gaps the habits of all units count for in the history
// of one: a unit seen three times is judged mostly by the others.
const priorGaps = 4

// share is the part of the unit's gaps that fall in the bucket, blended with
// those of all units.
func (g *gapCounts) share(bucket int, all *gapCounts) float64 {
	n, total := float64(g.counts[bucket]), float64(g.total)
	if all.total > 0 {
		n += priorGaps * float64(all.counts[bucket]) / float64(all.total)
		total += priorGaps
	}
	if total == 0 {
		return 0
	}
	return n / total
}

// hazard is the chance a second of an arrival after being idle for age.
func (g *gapCounts) hazard(age time.Duration, all *gapCounts) float64 {
	b := bucketOf(age)
	surviving := 0.0
	for i := b; i < gapBuckets; i++ {
		surviving += g.share(i, all)
	}
	if surviving == 0 {
		return 1 / (age.Seconds() + 1)
	}
	width := gapEnds[b]
	if b > 0 {
		width -= gapEnds[b-1]
	}
	return g.share(b, all) / surviving / width
}

// bestKeep is the time after the last arrival at which keeping on has paid
// most: each bucket of gaps that it covers saves its share of cold starts, and
// costs idle seconds for as long as no arrival came.
func (g *gapCounts) bestKeep(coldCost, idleCost float64, all *gapCounts) time.Duration {
	surviving, gain, best, keep, start := 1.0, 0.0, 0.0, 0.0, 0.0
	for i := 0; i < gapBuckets; i++ {
		share := g.share(i, all)
		width := gapEnds[i] - start
		start = gapEnds[i]
		gain += share*coldCost - (surviving-share/2)*width*idleCost
		surviving -= share
		if gain > best {
			best, keep = gain, gapEnds[i]
		}
	}
	return time.Duration(keep * float64(time.Second))
}
