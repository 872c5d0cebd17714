package routing

import "time"

// rest is the time for which an engine wants no requests from this entry VM. After it one
// request at a time goes there, until one is served: else all that waited would meet an
// engine that is not well yet.
type rest struct {
	until time.Time
	// recovering is whether no request was served since; probing is whether one is on its way.
	recovering, probing bool
}

// Rest tells that an engine, which turned a request away, wants no more of them until then.
func (r *Router) Rest(engine string, until time.Time) {
	e := r.state(engine)
	if until.After(e.rest.until) {
		e.rest.until = until
	}
	e.rest.recovering, e.rest.probing = true, false
}

// Resting returns when the first of the engines that are ready for the query ends its rest;
// false where one of them does not rest, or none is ready.
func (r *Router) Resting(now time.Time, q Query, candidates []Candidate) (until time.Time, all bool) {
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

func (s *rest) started() { s.probing = s.recovering }

// served notes that the engine serves: what was sent before the rest tells nothing.
func (s *rest) served() {
	if s.probing {
		s.recovering, s.probing = false, false
	}
}

func (s *rest) finished(ok bool) {
	if ok {
		s.served()
	}
	s.probing = false
}
