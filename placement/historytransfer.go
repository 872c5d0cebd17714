package placement

import (
	"math"
	"time"
)

// History is the history of one unit in the form in which a Planner hands it over
// to the next Planner of the unit. Its ages are relative to the time at which it
// was exported.
type History struct {
	Unit string
	// LastAgo and WokeAgo are the times since the newest arrival and the newest
	// wake-up. HoldFor is how much longer a preload is held.
	LastAgo, WokeAgo, HoldFor time.Duration
	// Gaps counts the gaps between arrivals by their length, in buckets whose bounds
	// grow by a factor of the square root of 2 from one second; trailing zeros are left
	// out.
	Gaps []float32
	// Mean and Deviation (in seconds) describe the gaps between wake-ups. Regular is
	// the number of successive gaps of nearly equal length.
	Mean, Deviation float64
	Regular         int
	// Bins counts the wake-ups in each five minutes of the day. Days is the number
	// of days that they were counted on, up to Day, which is counted from 1970. Old
	// days are decayed in both.
	Bins map[int16]float64
	Days float64
	Day  int64
	// LoadTimes are the measured load times by tier.
	LoadTimes map[string]time.Duration
}

// History exports the history of a unit. It returns false if the unit was never
// used.
func (p *Planner) History(unit string, now time.Time) (History, bool) {
	h := p.histories[unit]
	if h == nil || h.lastArrival.IsZero() {
		return History{}, false
	}
	out := History{
		Unit: unit, LastAgo: now.Sub(h.lastArrival), WokeAgo: now.Sub(h.lastWakeUp), HoldFor: max(0, h.preloadHeldUntil.Sub(now)),
		Mean: h.period.mean, Deviation: h.period.deviation, Regular: h.period.regularGaps,
		Days: h.wakeUps.days, Day: h.wakeUps.day, Bins: make(map[int16]float64, len(h.wakeUps.bins)),
		LoadTimes: make(map[string]time.Duration),
	}
	for bucket, n := range h.gaps.counts {
		if n > 0 {
			out.Gaps = append(out.Gaps, make([]float32, bucket-len(out.Gaps))...)
			out.Gaps = append(out.Gaps, n)
		}
	}
	for bin, n := range h.wakeUps.bins {
		out.Bins[bin] = n
	}
	for _, tier := range []Tier{TierMemory, TierDisk, TierRemote} {
		if took, ok := p.loads.measured[loadKey{unit, tier}]; ok {
			out.LoadTimes[string(tier)] = took
		}
	}
	return out, true
}

// ImportHistory replaces the history of a unit by one that another Planner
// exported, and reports whether it did. It does so only if the imported one has
// more arrivals than the planner's own: the two are never added up, as both may
// have recorded the same arrivals.
func (p *Planner) ImportHistory(from History, now time.Time) bool {
	if !from.isValid() {
		return false
	}
	h := p.histories[from.Unit]
	if h == nil {
		h = &history{}
	}
	if arrival := now.Add(-from.LastAgo); arrival.After(h.lastArrival) {
		h.lastArrival = arrival
	}
	p.histories[from.Unit] = h
	var gaps gapCounts
	for bucket, n := range from.Gaps {
		gaps.counts[bucket] = n
		gaps.total += n
	}
	if gaps.total <= h.gaps.total && h.gaps.total > 0 {
		return false
	}
	p.allGaps.replace(h.gaps, gaps)
	h.gaps, h.keepTimeAt = gaps, time.Time{}
	h.lastWakeUp, h.preloadHeldUntil = now.Add(-from.WokeAgo), now.Add(from.HoldFor)
	h.period = periodDetector{mean: from.Mean, deviation: from.Deviation, regularGaps: from.Regular}
	h.wakeUps = dailyWakeUps{first: now, day: from.Day, days: from.Days, bins: from.Bins}
	if h.wakeUps.bins == nil {
		h.wakeUps.bins = make(map[int16]float64)
	}
	for tier, took := range from.LoadTimes {
		if key := (loadKey{from.Unit, Tier(tier)}); p.loads.measured[key] == 0 {
			p.loads.measured[key] = took
		}
	}
	return true
}

// DropHistory drops the history and the measured load times of a unit.
func (p *Planner) DropHistory(unit string) {
	delete(p.histories, unit)
	for _, tier := range []Tier{TierMemory, TierDisk, TierRemote} {
		delete(p.loads.measured, loadKey{unit, tier})
	}
}

// isValid reports whether the values are in range. An invalid history could cause
// an index out of range or keep a unit loaded forever.
func (h History) isValid() bool {
	if h.Unit == "" || len(h.Gaps) > gapBuckets || len(h.Bins) > binsPerDay || h.LastAgo < 0 || h.WokeAgo < 0 {
		return false
	}
	if !(h.Mean >= 0 && h.Deviation >= 0 && h.Days >= 0) {
		return false
	}
	for _, n := range h.Gaps {
		if !(n >= 0 && n <= maxHistoryGaps) {
			return false
		}
	}
	for bin, n := range h.Bins {
		if bin < 0 || int(bin) >= binsPerDay || !(n >= 0 && n < math.MaxInt16) {
			return false
		}
	}
	for _, took := range h.LoadTimes {
		if took <= 0 {
			return false
		}
	}
	return true
}

// replace removes a unit's old gaps from the counts of all units and adds its new
// ones.
func (g *gapCounts) replace(old, new gapCounts) {
	for bucket := range g.counts {
		g.counts[bucket] = max(0, g.counts[bucket]-old.counts[bucket]) + new.counts[bucket]
	}
	g.total = 0
	for _, n := range g.counts {
		g.total += n
	}
	for g.total >= maxHistoryGaps {
		for bucket := range g.counts {
			g.counts[bucket] /= 2
		}
		g.total /= 2
	}
}
