package placement

import (
	"math"
	"time"
)

// History is what a Planner has learned of one unit, for the Planner that plans it
// next. Its ages are as of its making.
type History struct {
	Unit string
	// LastAgo and WokeAgo are how long ago the newest arrival and the newest
	// wake-up were; HoldFor is how much longer a preload is held.
	LastAgo, WokeAgo, HoldFor time.Duration
	// Gaps counts the gaps between arrivals by half-octave of seconds; trailing
	// zeros are left out.
	Gaps []float32
	// Mean and Deviation (seconds) and Regular are of the gaps between wake-ups.
	Mean, Deviation float64
	Regular         int
	// Bins are the wake-ups by five minutes of the day, of Days days (both with
	// old ones decayed) up to Day, counted from 1970.
	Bins map[int16]float64
	Days float64
	Day  int64
	// LoadTimes is what a load takes from each tier.
	LoadTimes map[string]time.Duration
}

// History returns what is known of a unit, false if it was never used.
func (p *Planner) History(unit string, now time.Time) (History, bool) {
	h := p.histories[unit]
	if h == nil || h.last.IsZero() {
		return History{}, false
	}
	out := History{
		Unit: unit, LastAgo: now.Sub(h.last), WokeAgo: now.Sub(h.woke), HoldFor: max(0, h.holdUntil.Sub(now)),
		Mean: h.rhythm.mean, Deviation: h.rhythm.deviation, Regular: h.rhythm.regular,
		Days: h.clock.days, Day: h.clock.day, Bins: make(map[int16]float64, len(h.clock.bins)),
		LoadTimes: make(map[string]time.Duration),
	}
	for bucket, n := range h.gaps.counts {
		if n > 0 {
			out.Gaps = append(out.Gaps, make([]float32, bucket-len(out.Gaps))...)
			out.Gaps = append(out.Gaps, n)
		}
	}
	for bin, n := range h.clock.bins {
		out.Bins[bin] = n
	}
	for _, tier := range []Tier{TierMemory, TierDisk, TierRemote} {
		if took, ok := p.loads.seen[loadKey{unit, tier}]; ok {
			out.LoadTimes[string(tier)] = took
		}
	}
	return out, true
}

// ImportHistory takes what another Planner has learned of a unit, and tells whether it is
// of use: it counts only if it rests on more arrivals than what is known here. A
// planner that was told of the same arrivals itself would else count them twice.
func (p *Planner) ImportHistory(told History, now time.Time) bool {
	if !told.sound() {
		return false
	}
	h := p.histories[told.Unit]
	if h == nil {
		h = &history{}
	}
	if heard := now.Add(-told.LastAgo); heard.After(h.last) {
		h.last = heard
	}
	p.histories[told.Unit] = h
	var gaps gapCounts
	for bucket, n := range told.Gaps {
		gaps.counts[bucket] = n
		gaps.total += n
	}
	if gaps.total <= h.gaps.total && h.gaps.total > 0 {
		return false
	}
	p.all.replace(h.gaps, gaps)
	h.gaps, h.keepAt = gaps, time.Time{}
	h.woke, h.holdUntil = now.Add(-told.WokeAgo), now.Add(told.HoldFor)
	h.rhythm = rhythm{mean: told.Mean, deviation: told.Deviation, regular: told.Regular}
	h.clock = clock{first: now, day: told.Day, days: told.Days, bins: told.Bins}
	if h.clock.bins == nil {
		h.clock.bins = make(map[int16]float64)
	}
	for tier, took := range told.LoadTimes {
		if key := (loadKey{told.Unit, Tier(tier)}); p.loads.seen[key] == 0 {
			p.loads.seen[key] = took
		}
	}
	return true
}

// DropHistory drops what was learned of a unit.
func (p *Planner) DropHistory(unit string) {
	delete(p.histories, unit)
	for _, tier := range []Tier{TierMemory, TierDisk, TierRemote} {
		delete(p.loads.seen, loadKey{unit, tier})
	}
}

// sound tells whether the history can be one: a broken one must not have indices
// run over or a unit kept for ever.
func (h History) sound() bool {
	if h.Unit == "" || len(h.Gaps) > gapBuckets || len(h.Bins) > binsPerDay || h.LastAgo < 0 || h.WokeAgo < 0 {
		return false
	}
	if !(h.Mean >= 0 && h.Deviation >= 0 && h.Days >= 0) {
		return false
	}
	for _, n := range h.Gaps {
		if !(n >= 0 && n <= historyHalves) {
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

// replace takes the gaps of one unit out of the habits of all and puts others in.
func (g *gapCounts) replace(old, new gapCounts) {
	for bucket := range g.counts {
		g.counts[bucket] = max(0, g.counts[bucket]-old.counts[bucket]) + new.counts[bucket]
	}
	g.total = 0
	for _, n := range g.counts {
		g.total += n
	}
	for g.total >= historyHalves {
		for bucket := range g.counts {
			g.counts[bucket] /= 2
		}
		g.total /= 2
	}
}
