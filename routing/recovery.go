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
func (r *Router) EarliestCooldownEnd(now time.Time, q Query, candidates []Candidate) (until time.Time, all bool) {
	for i := range candidates {
		c := &candidates[i]
		if !isUsable(q, c) {
			continue
		}
		e := r.engines[c.Engine]
		if e == nil || !e.cooldown.isActive(now) {
			return time.Time{}, false
		}
		if !all || e.cooldown.until.Before(until) {
			until, all = e.cooldown.until, true
		}
	}
	return until, all
}

func (s *cooldown) isActive(now time.Time) bool { return now.Before(s.until) }

// isBlocked reports whether the engine gets no request now.
func (s *cooldown) isBlocked(now time.Time) bool {
	return s.isActive(now) || now.Before(s.probeDeadline)
}

func (s *cooldown) recordStart(now time.Time) {
	if s.recovering {
		s.probeDeadline = now.Add(probeTimeout)
	}
}

// endRecovery ends the recovery because the engine served a request. It does nothing without
// a probe in flight: a request sent before the cooldown says nothing about the recovery.
func (s *cooldown) endRecovery() {
	if !s.probeDeadline.IsZero() {
		s.recovering, s.probeDeadline = false, time.Time{}
	}
}

func (s *cooldown) recordFinish(ok bool) {
	if ok {
		s.endRecovery()
	}
	s.probeDeadline = time.Time{}
}
