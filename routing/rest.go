package routing

import "time"

// rest is the time for which an engine wants no requests from this entry VM. After it one
// request at a time goes there, until one is served: else all that waited would meet an
// engine that is not well yet.
type rest struct {
	until time.Time
	// recovering is whether no request was served since.
	recovering bool
	// probedUntil is until when one that is on its way keeps back the next, zero without one.
	probedUntil time.Time
}

// probeTime is how long a request without an answer keeps back the next one.
const probeTime = time.Second

// Rest tells that an engine, which turned a request away, wants no more of them until then.
func (r *Router) StartCooldown(engine string, until time.Time) {
	e := r.state(engine)
	if until.After(e.rest.until) {
		e.rest.until = until
	}
	e.rest.recovering, e.rest.probedUntil = true, time.Time{}
}

// Resting returns when the first of the engines that are ready for the query ends its rest;
// false where one of them does not rest, or none is ready.
func (r *Router) EarliestCooldownEnd(now time.Time, q Query, candidates []Candidate) (until time.Time, all bool) {
	for i := range candidates {
		c := &candidates[i]
		if !usable(q, c) {
			continue
		}
		e := r.engines[c.Engine]
		if e == nil || !e.rest.ongoing(now) {
			return time.Time{}, false
		}
		if !all || e.rest.until.Before(until) {
			until, all = e.rest.until, true
		}
	}
	return until, all
}

func (s *rest) ongoing(now time.Time) bool { return now.Before(s.until) }

// closed tells whether the engine gets no request now.
func (s *rest) closed(now time.Time) bool { return s.ongoing(now) || now.Before(s.probedUntil) }

func (s *rest) started(now time.Time) {
	if s.recovering {
		s.probedUntil = now.Add(probeTime)
	}
}

// served notes that the engine serves: what was sent before the rest tells nothing.
func (s *rest) served() {
	if !s.probedUntil.IsZero() {
		s.recovering, s.probedUntil = false, time.Time{}
	}
}

func (s *rest) finished(ok bool) {
	if ok {
		s.served()
	}
	s.probedUntil = time.Time{}
}
