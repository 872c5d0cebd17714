package routing

import "time"

// cooldown is the period for which an engine has asked this entry VM to send no requests.
// After it, the engine gets one request at a time until it serves one. Otherwise all waiting
// requests would reach an engine that has not recovered yet.
type cooldown struct {
	until time.Time
	// recovering is whether the engine has not served a request since the cooldown began.
	recovering bool
	// probeDeadline is the time until which a probe in flight blocks further requests; zero
	// if there is no probe.
	probeDeadline time.Time
}

// probeTimeout is how long a probe without an answer blocks further requests.
const probeTimeout = time.Second

// StartCooldown records that an engine refused a request and asked for no more requests
// until the given time.
func (r *Router) StartCooldown(engine string, until time.Time) {
	e := r.getOrCreateEngine(engine)
	if until.After(e.cooldown.until) {
		e.cooldown.until = until
	}
	e.cooldown.recovering, e.cooldown.probeDeadline = true, time.Time{}
}

// EarliestCooldownEnd returns the earliest end of a cooldown among the engines that are
// ready for the query. It returns false if one of them has no active cooldown or none is
// ready.
func (r *Router) EarliestCooldownEnd(now time.Time, q Query, candidates []Candidate) (until time.Time, allCooling bool) {
	for i := range candidates {
		c := &candidates[i]
		if !isUsable(q, c) {
			continue
		}
		e := r.engines[c.Engine]
		if e == nil || !e.cooldown.isActive(now) {
			return time.Time{}, false
		}
		if !allCooling || e.cooldown.until.Before(until) {
			until, allCooling = e.cooldown.until, true
		}
	}
	return until, allCooling
}

func (c *cooldown) isActive(now time.Time) bool { return now.Before(c.until) }

// isBlocked reports whether the engine gets no request now.
func (c *cooldown) isBlocked(now time.Time) bool {
	return c.isActive(now) || now.Before(c.probeDeadline)
}

func (c *cooldown) recordStart(now time.Time) {
	if c.recovering {
		c.probeDeadline = now.Add(probeTimeout)
	}
}

// endRecovery ends the recovery because the engine served a request. It does nothing without
// a probe in flight: a request sent before the cooldown says nothing about the recovery.
func (c *cooldown) endRecovery() {
	if !c.probeDeadline.IsZero() {
		c.recovering, c.probeDeadline = false, time.Time{}
	}
}

func (c *cooldown) recordFinish(ok bool) {
	if ok {
		c.endRecovery()
	}
	c.probeDeadline = time.Time{}
}
