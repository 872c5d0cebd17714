package placement

import (
	"math"
	"time"
)

// Wake-ups, that is arrivals after an idle time, are forecast in two ways: a scheduled
// job sends requests at a fixed interval, so that the gaps have nearly equal length,
// and a unit that people use wakes up at about the same time each day.

const (
	// minWakeUpGap is the idle time after which an arrival counts as a wake-up.
	minWakeUpGap = time.Minute
	// binLength is the length of the bins that wake-ups are counted in by time of
	// day.
	binLength  = 5 * time.Minute
	binsPerDay = int(24 * time.Hour / binLength)
	// lookAheadBins is how many bins a preload is held for, as the first requests of
	// a day vary by some minutes.
	lookAheadBins = 3
	// dayDecay is the factor by which the weight of past days falls with each day.
	dayDecay = 0.8
	// minDays is the decayed number of days that a forecast by time of day needs,
	// as a wake-up on a single day may be chance.
	minDays = 1.5
)

// dailyWakeUps counts a unit's wake-ups by the time of day.
type dailyWakeUps struct {
	first time.Time
	// day is the current day, counted from 1970; days is the decayed number of days
	// before it.
	day  int64
	days float64
	bins map[int16]float64
}

func dayOf(at time.Time) int64 { return at.Unix() / int64(24*time.Hour/time.Second) }

func binOf(at time.Time) int {
	return int(at.Unix()%int64(24*time.Hour/time.Second)) / int(binLength/time.Second)
}

// advanceTo decays the counts for the days that have passed up to now.
func (w *dailyWakeUps) advanceTo(now time.Time) {
	day := dayOf(now)
	if w.bins == nil {
		w.bins = make(map[int16]float64)
		w.day = day
		w.first = now
		return
	}
	for ; w.day < day; w.day++ {
		w.days = w.days*dayDecay + 1
		for bin, n := range w.bins {
			if n *= dayDecay; n < 0.05 {
				delete(w.bins, bin)
			} else {
				w.bins[bin] = n
			}
		}
	}
}

func (w *dailyWakeUps) add(at time.Time) {
	w.advanceTo(at)
	w.bins[int16(binOf(at))]++
}

// probability estimates how likely a wake-up is in the lookAheadBins bins from now
// on, from the days before today. It assumes one more day without a wake-up, so
// that a short history gives a low probability.
func (w *dailyWakeUps) probability(now time.Time) float64 {
	if w.bins == nil {
		return 0
	}
	w.advanceTo(now)
	if w.days < minDays {
		return 0
	}
	n := 0.0
	for i := range lookAheadBins {
		n += w.bins[int16((binOf(now)+i)%binsPerDay)]
	}
	return min(n, w.days) / (w.days + 1)
}

// mayWakeSoon reports whether probability may be over zero now or one bin later,
// which is longer than any load takes. It is a cheap filter for units without
// replicas.
func (w *dailyWakeUps) mayWakeSoon(now time.Time) bool {
	if w.bins == nil {
		return false
	}
	w.advanceTo(now)
	for i := range lookAheadBins + 1 {
		if w.bins[int16((binOf(now)+i)%binsPerDay)] > 0 {
			return w.days >= minDays
		}
	}
	return false
}

const (
	// minRegularGaps is how many gaps of nearly equal length identify a scheduled job.
	minRegularGaps = 4
	// maxRegularSpread is the mean deviation that a scheduled job's gaps may have, as
	// a share of their mean.
	maxRegularSpread = 0.05
	// gapWeight is the weight of a new gap in the moving averages of the gaps and of
	// their deviation.
	gapWeight = 0.3
	// periodMargin is how many mean deviations the window of the next wake-up by a
	// scheduled job starts before and ends after its expected time.
	periodMargin = 4
)

// periodDetector detects a scheduled job by the gaps between wake-ups.
type periodDetector struct {
	mean, deviation float64 // seconds
	// regularGaps is the number of successive gaps of nearly equal length.
	regularGaps int
}

func (d *periodDetector) add(gap time.Duration) {
	seconds := gap.Seconds()
	deviation := math.Abs(seconds - d.mean)
	if deviation > 4*maxRegularSpread*d.mean {
		// Another period, no scheduled job, or a night in between: start again, but tolerate
		// one such gap after a regular series.
		if d.regularGaps >= minRegularGaps {
			d.regularGaps = minRegularGaps - 1
			return
		}
		*d = periodDetector{mean: seconds, regularGaps: 1}
		return
	}
	d.mean += gapWeight * (seconds - d.mean)
	d.deviation += gapWeight * (deviation - d.deviation)
	d.regularGaps++
}

// nextWakeUp returns the window in which the next wake-up by a scheduled job is
// expected. It returns false if no scheduled job was detected.
func (d *periodDetector) nextWakeUp(last time.Time) (from, to time.Time, ok bool) {
	if d.regularGaps < minRegularGaps || d.deviation > maxRegularSpread*d.mean {
		return from, to, false
	}
	margin := periodMargin*d.deviation + 1
	from = last.Add(time.Duration((d.mean - margin) * float64(time.Second)))
	to = last.Add(time.Duration((d.mean + margin) * float64(time.Second)))
	return from, to, true
}

// preload loads units ahead of wake-ups where that costs less than a cold start
// times the probability of the wake-up. It evicts nothing.
func (r *round) preload() {
	if !r.p.cfg.Preload {
		return
	}
	for _, u := range r.v.Units {
		h := r.p.histories[u.Name]
		if h == nil || h.lastArrival.IsZero() || !r.isDormant(u) {
			continue
		}
		until, reason, ok := r.shouldPreload(u, h)
		if ok && r.startWithoutEviction(u, reason) {
			h.preloadHeldUntil = until
		}
	}
}

// isDormant reports whether the unit has no wanted or withdrawn right and no
// pending decision.
func (r *round) isDormant(u Unit) bool {
	for _, rep := range r.fleet.byUnit[u.Name] {
		if rep.holding.Wanted || rep.holding.Withdrawn {
			return false
		}
	}
	for k := range r.p.pending {
		if k.unit == u.Name {
			return false
		}
	}
	return true
}

// shouldPreload reports whether a preload pays off now. It returns until when the
// preload is held and the reason for it.
func (r *round) shouldPreload(u Unit, h *history) (time.Time, string, bool) {
	if h.period.regularGaps < minRegularGaps && !h.wakeUps.mayWakeSoon(r.v.Now) {
		return time.Time{}, "", false
	}
	load := r.p.loads.expectedTime(u, r.fleet.tierAfterUnload(u.Checkpoint))
	coldStart := r.p.cfg.coldStartCost(load)
	idle := r.p.cfg.idleCost(float64(u.Bytes) / float64(r.largestEngineMemory()))
	lead := load + r.p.cfg.ProposalTimeout
	if from, to, ok := h.period.nextWakeUp(h.lastArrival); ok && !r.v.Now.Before(from.Add(-lead)) && r.v.Now.Before(to) {
		held := to.Sub(from) + lead
		if nextPeriodProbability*coldStart > idle*held.Seconds() {
			return to, "timer", true
		}
	}
	ahead := r.v.Now.Add(lead)
	held := time.Duration(lookAheadBins) * binLength
	if h.wakeUps.probability(ahead)*coldStart > idle*held.Seconds() {
		return ahead.Add(held), "usual hour", true
	}
	return time.Time{}, "", false
}

// nextPeriodProbability is the probability that a detected scheduled job sends requests
// again after its interval, as it may stop at the end of the day.
const nextPeriodProbability = 0.8

// largestEngineMemory returns the memory of the largest engine, silent ones
// included, at least 1.
func (r *round) largestEngineMemory() int64 {
	if r.largestMemory == 0 {
		for _, fe := range r.fleet.sortedEngines {
			r.largestMemory = max(r.largestMemory, fe.MemoryBytes)
		}
		for _, s := range r.fleet.silent {
			r.largestMemory = max(r.largestMemory, s.memory)
		}
	}
	return max(r.largestMemory, 1)
}

// startWithoutEviction starts the unit where it fits without evicting anything and
// without delaying a load that requests wait for.
func (r *round) startWithoutEviction(u Unit, reason string) bool {
	if !r.canAddReplica(u) || u.Base != "" && !r.hasReadyBase(u) {
		return false
	}
	c, ok := r.chooseEngine(u, r.v.LocalDomain)
	if !ok || c.bytesToFree > 0 {
		return false
	}
	if c.engine.tier(u.Checkpoint) == TierRemote && r.v.Store.Running > 0 {
		return false
	}
	return r.proposeGrant(c.engine, u, true, reason)
}
