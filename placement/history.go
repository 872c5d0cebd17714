package placement

import (
	"math"
	"time"
)

// gapBuckets is the number of buckets of a gap histogram. Their bounds grow by a
// factor of the square root of 2: bucket 0 ends at a second, and the last one holds
// every gap of 18 hours or more.
const gapBuckets = 34

// gapBucketEnds are the upper bounds of the buckets in seconds.
var gapBucketEnds = func() (ends [gapBuckets]float64) {
	for i := range ends {
		ends[i] = math.Pow(2, float64(i)/2)
	}
	return ends
}()

// maxHistoryGaps is the total at which all counts of a histogram are halved, so
// that a changed pattern of use shows within days.
const maxHistoryGaps = 256

// gapCounts is a histogram of the gaps between arrivals.
type gapCounts struct {
	counts [gapBuckets]float32
	total  float32
}

func (g *gapCounts) add(gap time.Duration) {
	g.counts[bucketOf(gap)]++
	g.total++
	if g.total < maxHistoryGaps {
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

// history holds the statistics of one unit's arrivals.
type history struct {
	lastArrival time.Time
	gaps        gapCounts
	// keepTime is how long to keep the unit after its last arrival, as computed at
	// keepTimeAt. A zero keepTimeAt has it computed again.
	keepTime   time.Duration
	keepTimeAt time.Time
	// wakeUps and period forecast wake-ups. A preload is kept until preloadHeldUntil.
	wakeUps          dailyWakeUps
	period           periodDetector
	preloadHeldUntil time.Time
	// lastWakeUp is the time of the newest wake-up.
	lastWakeUp time.Time
}

// recordArrival records an arrival and returns the gap since the previous one, or
// 0 if there is none.
func (h *history) recordArrival(at time.Time) time.Duration {
	if !at.After(h.lastArrival) {
		return 0
	}
	if h.lastArrival.IsZero() || at.Sub(h.lastArrival) >= minWakeUpGap {
		h.recordWakeUp(at)
	}
	if h.lastArrival.IsZero() {
		h.lastArrival = at
		return 0
	}
	gap := at.Sub(h.lastArrival)
	h.lastArrival = at
	h.gaps.add(gap)
	return gap
}

func (h *history) recordWakeUp(at time.Time) {
	h.wakeUps.add(at)
	if !h.lastWakeUp.IsZero() {
		h.period.add(at.Sub(h.lastWakeUp))
	}
	h.lastWakeUp = at
}

// priorGaps is the weight, in gaps, of the histogram of all units in the estimates
// for one unit: those for a unit with three gaps depend mostly on the others.
const priorGaps = 4

// probability estimates the probability that a gap falls into the bucket, from the
// unit's own gaps and those of all units.
func (g *gapCounts) probability(bucket int, all *gapCounts) float64 {
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

// hazard returns the probability per second of an arrival after an idle time of
// age.
func (g *gapCounts) hazard(age time.Duration, all *gapCounts) float64 {
	bucket := bucketOf(age)
	surviving := 0.0
	for i := bucket; i < gapBuckets; i++ {
		surviving += g.probability(i, all)
	}
	if surviving == 0 {
		return 1 / (age.Seconds() + 1)
	}
	width := gapBucketEnds[bucket]
	if bucket > 0 {
		width -= gapBucketEnds[bucket-1]
	}
	return g.probability(bucket, all) / surviving / width
}

// bestKeepTime returns the time to keep a unit after its last arrival that has the
// highest expected gain. Covering a bucket saves the cold starts of its gaps and costs
// idle time until the next request.
func (g *gapCounts) bestKeepTime(coldCost, idleCost float64, all *gapCounts) time.Duration {
	surviving, gain, best, keep, from := 1.0, 0.0, 0.0, 0.0, 0.0
	for i := 0; i < gapBuckets; i++ {
		p := g.probability(i, all)
		width := gapBucketEnds[i] - from
		from = gapBucketEnds[i]
		gain += p*coldCost - (surviving-p/2)*width*idleCost
		surviving -= p
		if gain > best {
			best, keep = gain, gapBucketEnds[i]
		}
	}
	return time.Duration(keep * float64(time.Second))
}
