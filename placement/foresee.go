package placement

import (
	"math"
	"time"
)

// Wake-ups are foreseen in two ways: a unit that is called by a timer has gaps
// of nearly one length, and a unit that people use wakes at the hours they keep.

const (
	// wakeGap is the idle time after which an arrival is a wake-up.
	wakeGap = time.Minute
	// binLength divides the day for wake-ups; binsPerDay of them.
	binLength  = 5 * time.Minute
	binsPerDay = int(24 * time.Hour / binLength)
	// lookAhead is how many bins a preload is held for: opening hours spread
	// over some minutes.
	lookAhead = 3
	// dayDecay is the weight that is left of a day after each further one.
	dayDecay = 0.8
	// minDays is how much history a forecast by the clock needs: once is chance.
	minDays = 1.5
)

// clock counts a unit's wake-ups by the time of day.
type clock struct {
	first time.Time
	// day is the newest day seen, days the decayed number of days.
	day  int64
	days float64
	bins map[int16]float64
}

func dayOf(at time.Time) int64 { return at.Unix() / int64(24*time.Hour/time.Second) }

func binOf(at time.Time) int {
	return int(at.Unix()%int64(24*time.Hour/time.Second)) / int(binLength/time.Second)
}

// turn lets the days pass up to now.
func (c *clock) turn(now time.Time) {
	day := dayOf(now)
	if c.bins == nil {
		c.bins = make(map[int16]float64)
		c.day = day
		c.first = now
		return
	}
	for ; c.day < day; c.day++ {
		c.days = c.days*dayDecay + 1
		for bin, n := range c.bins {
			if n *= dayDecay; n < 0.05 {
				delete(c.bins, bin)
			} else {
				c.bins[bin] = n
			}
		}
	}
}

func (c *clock) wake(at time.Time) {
	c.turn(at)
	c.bins[int16(binOf(at))]++
}

// chance is how likely a wake-up is in the lookAhead bins from now on, by the
// days before today: one day more is assumed without, so that little history
// promises little.
func (c *clock) chance(now time.Time) float64 {
	if c.bins == nil {
		return 0
	}
	c.turn(now)
	if c.days < minDays {
		return 0
	}
	n := 0.0
	for i := range lookAhead {
		n += c.bins[int16((binOf(now)+i)%binsPerDay)]
	}
	return min(n, c.days) / (c.days + 1)
}

// wakesSoon tells whether chance may be over zero now or one bin later, which is
// beyond the time of any load: a cheap first look at units that sleep.
func (c *clock) wakesSoon(now time.Time) bool {
	if c.bins == nil {
		return false
	}
	c.turn(now)
	for i := range lookAhead + 1 {
		if c.bins[int16((binOf(now)+i)%binsPerDay)] > 0 {
			return c.days >= minDays
		}
	}
	return false
}

const (
	// regularGaps is how many gaps of one length make a timer.
	regularGaps = 4
	// regularSpread is the mean deviation that a timer's gaps may have.
	regularSpread = 0.05
	// gapStep is how far a gap moves the running mean and deviation.
	gapStep = 0.3
	// timerMargin is the number of mean deviations to be ready ahead of, and to
	// wait beyond, a timer's call.
	timerMargin = 4
)

// rhythm watches the gaps between wake-ups for a timer.
type rhythm struct {
	mean, deviation float64 // seconds
	regular         int
}

func (r *rhythm) add(gap time.Duration) {
	seconds := gap.Seconds()
	off := math.Abs(seconds - r.mean)
	if off > 4*regularSpread*r.mean {
		// Another rhythm, or none, or the night between: start again, but keep
		// the old one for one miss.
		if r.regular >= regularGaps {
			r.regular = regularGaps - 1
			return
		}
		*r = rhythm{mean: seconds, regular: 1}
		return
	}
	r.mean += gapStep * (seconds - r.mean)
	r.deviation += gapStep * (off - r.deviation)
	r.regular++
}

// next is the window in which the timer's next call is expected.
func (r *rhythm) next(last time.Time) (from, to time.Time, ok bool) {
	if r.regular < regularGaps || r.deviation > regularSpread*r.mean {
		return from, to, false
	}
	margin := timerMargin*r.deviation + 1
	from = last.Add(time.Duration((r.mean - margin) * float64(time.Second)))
	to = last.Add(time.Duration((r.mean + margin) * float64(time.Second)))
	return from, to, true
}

// preload loads units ahead of wake-ups where that is cheaper than the cold
// start times its chance, without evicting anything.
func (r *round) preload() {
	if !r.p.cfg.Preload {
		return
	}
	for _, u := range r.v.Units {
		h := r.p.histories[u.Name]
		if h == nil || h.last.IsZero() || !r.dormant(u) {
			continue
		}
		until, reason, ok := r.foresee(u, h)
		if ok && r.startFree(u, reason) {
			h.holdUntil = until
		}
	}
}

// dormant tells whether the planner's unit has no right and none under way.
func (r *round) dormant(u Unit) bool {
	for _, at := range r.fleet.byUnit[u.Name] {
		if at.holding.Wanted || at.holding.Withdrawn {
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

// foresee tells whether a preload pays now, and until when it is held.
func (r *round) foresee(u Unit, h *history) (time.Time, string, bool) {
	if h.rhythm.regular < regularGaps && !h.clock.wakesSoon(r.v.Now) {
		return time.Time{}, "", false
	}
	load := r.p.loads.expect(u, r.fleet.tierAfterUnload(u.Checkpoint))
	cold := r.p.cfg.coldCost(load)
	idle := r.p.cfg.idleCost(float64(u.Bytes) / float64(r.largestEngine()))
	lead := load + r.p.cfg.ProposalTimeout
	if from, to, ok := h.rhythm.next(h.last); ok && !r.v.Now.Before(from.Add(-lead)) && r.v.Now.Before(to) {
		held := to.Sub(from) + lead
		if timerChance*cold > idle*held.Seconds() {
			return to, "timer", true
		}
	}
	ahead := r.v.Now.Add(lead)
	held := time.Duration(lookAhead) * binLength
	if h.clock.chance(ahead)*cold > idle*held.Seconds() {
		return ahead.Add(held), "usual hour", true
	}
	return time.Time{}, "", false
}

// timerChance is how likely a regular timer calls again: it may end with the
// day.
const timerChance = 0.8

func (r *round) largestEngine() int64 {
	if r.largest == 0 {
		for _, fe := range r.fleet.order {
			r.largest = max(r.largest, fe.MemoryBytes)
		}
		for _, s := range r.fleet.silent {
			r.largest = max(r.largest, s.memory)
		}
	}
	return max(r.largest, 1)
}

// startFree starts the unit where it fits without evicting and without holding
// up a load that requests wait for.
func (r *round) startFree(u Unit, reason string) bool {
	if !r.mayGrow(u) || u.Base != "" && !r.baseReady(u) {
		return false
	}
	c, ok := r.choose(u, r.v.LocalDomain)
	if !ok || c.need > 0 {
		return false
	}
	if c.engine.tier(u.Checkpoint) == TierRemote && r.v.Store.Running > 0 {
		return false
	}
	return r.grant(c.engine, u, true, reason)
}
