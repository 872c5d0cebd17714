package serving

import (
	"time"

	"bergamotreel/admission"
	"bergamotreel/refusal"
	"bergamotreel/routing"
)

// excludedFor is how long a request keeps away from engines that failed it,
// where those are all there are. Failure: an engine that refuses connections
// fails a request at once, and the request would go round and round without a
// pause, at the cost of all others here.
const excludedFor = 200 * time.Millisecond

// assignment ends a waiting ticket's wait: an engine, or a refusal.
type assignment struct {
	backend string
	// start is the engine's count in Server.starts.
	start   uint64
	refused *refusal.Refusal
}

// waiter is a request in the queue.
type waiter struct {
	query routing.Query
	// failedAt is when the request's newest attempt failed, zero before.
	failedAt time.Time
	assign   chan assignment
}

// dispatch ends the waits that can end now, and returns what waits for units
// that are ready nowhere.
func (s *Server) dispatch(now time.Time) []admission.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	look := &lookup{server: s, now: now, units: make(map[string][]routing.Candidate)}
	// Before Expire, which would refuse for a load that has ended.
	for unit := range s.units {
		s.observe(now, unit, look.candidates(unit))
	}
	for _, expired := range s.config.Admission.Expire(now) {
		s.assign(expired.Ticket, assignment{refused: expired.Refusal})
	}
	s.refuseHopeless(now)
	for pool := range s.pools {
		s.dispatchPool(now, pool, look)
	}
	return s.missing(now, look)
}

// refuseHopeless ends the waits for units that nobody can load now. Failure: with
// the log out of reach no right can be granted, and a request for a model
// without one would wait its longest wait for nothing, while its caller could
// have gone elsewhere.
func (s *Server) refuseHopeless(now time.Time) {
	for unit := range s.units {
		refused := s.config.Directory.Hopeless(unit)
		if refused == nil {
			continue
		}
		for ticket := range s.waiters {
			if ticket.Unit == unit {
				s.config.Admission.Cancel(now, ticket)
				own := *refused
				s.assign(ticket, assignment{refused: &own})
			}
		}
	}
}

// observe ends the expectation of a load that has ended: the unit is ready, or
// the right to load it was withdrawn, as the planner does after a failure.
// Failure: a unit that is ready early would go on being refused for as long as
// its load was expected to take. An expectation that was told between a failed
// load's end and the next right may be dropped too; requests then wait for the
// load instead of being refused early, which is the milder side.
//
// Where all that have the unit rest, it is expected at the end of the first rest.
func (s *Server) observe(now time.Time, unit string, candidates []routing.Candidate) {
	ready := anyReady(candidates)
	if until, resting := s.config.Router.EarliestCooldownEnd(now, routing.Query{Unit: unit}, candidates); resting {
		s.config.Admission.SetReadyTime(unit, until, true)
	} else if ready || (s.loading[unit] && len(candidates) == 0) {
		s.config.Admission.SetReadyTime(unit, time.Time{}, false)
	}
	if ready || len(candidates) == 0 {
		delete(s.loading, unit)
		return
	}
	s.loading[unit] = true
}

func anyReady(candidates []routing.Candidate) bool {
	for _, c := range candidates {
		if c.Ready && !c.Leaving {
			return true
		}
	}
	return false
}

// dispatchPool hands out the pool's requests until none fits.
func (s *Server) dispatchPool(now time.Time, pool string, look *lookup) {
	for {
		ticket := s.config.Admission.Next(now, pool, look.fits)
		if ticket == nil {
			return
		}
		w := s.waiters[ticket]
		if w == nil {
			s.config.Admission.Finish(now, ticket, admission.Outcome{})
			continue
		}
		w.query.OverFairShare = ticket.OverFairShare
		choice, ok := s.config.Router.Pick(now, w.query, look.candidates(ticket.Unit))
		if !ok {
			// fits said yes: the router counts with something that it can't have.
			// Going on would ask for the same ticket for ever.
			s.config.Admission.Requeue(now, ticket)
			return
		}
		if !s.spendPermit(choice.Engine, look.candidates(ticket.Unit)) {
			s.config.Admission.Requeue(now, ticket)
			continue
		}
		start := s.started(now, choice.Engine, w.query)
		s.assign(ticket, assignment{backend: choice.Engine, start: start})
	}
}

// spendPermit uses a permit where the backend server takes requests with one only; false
// means that there is none any more, which the candidates then tell. Call with mu held.
func (s *Server) spendPermit(backend string, candidates []routing.Candidate) bool {
	for i := range candidates {
		c := &candidates[i]
		if c.Engine != backend || !c.PermitRequired {
			continue
		}
		if !s.forwards().SpendPermit(backend) {
			c.Permits = 0
			return false
		}
		c.Permits--
	}
	return true
}

// started counts a request that goes to a backend server. Call with mu held.
func (s *Server) started(now time.Time, backend string, query routing.Query) uint64 {
	s.config.Router.RecordStart(now, backend, query.Pool, query.Prefixes)
	s.entered(now, query.Unit)
	s.runs[runKey{backend, query.Unit}]++
	if s.readsCaches(query.Pool) {
		s.cache(backend).streams++
	}
	return s.starts[backend]
}

// finished ends what started began. An attempt of before the engine's restart
// was forgotten with all its load. Call with mu held.
func (s *Server) finished(now time.Time, backend string, start uint64, result routing.Result) {
	if s.starts[backend] != start {
		return
	}
	s.config.Router.RecordFinish(now, backend, result)
	if s.readsCaches(result.Pool) {
		s.cache(backend).streams--
	}
}

// readsCaches tells whether the engines of a pool are asked for cache events.
func (s *Server) readsCaches(pool string) bool {
	_, isService := serviceOfPool(pool)
	return !isService && s.config.Engines != nil
}

// assign ends the wait of a ticket. Call with mu held.
func (s *Server) assign(ticket *admission.Ticket, a assignment) {
	w, ok := s.waiters[ticket]
	if !ok {
		return
	}
	s.forget(ticket, w)
	w.assign <- a
}

func (s *Server) forget(ticket *admission.Ticket, w *waiter) {
	delete(s.waiters, ticket)
	decrement(s.pools, w.query.Pool)
	decrement(s.units, w.query.Unit)
}

// decrement keeps no zeros, so that ranging over counts meets only what is there.
func decrement[Key comparable](counts map[Key]int, name Key) {
	counts[name]--
	if counts[name] == 0 {
		delete(counts, name)
	}
}

// missing picks the demand that the planner is to be told of, and asks for fresh
// news of the engines that could meet it.
func (s *Server) missing(now time.Time, look *lookup) []admission.Demand {
	due := s.missingUnits(now)
	if len(due) == 0 {
		return nil
	}
	var out []admission.Demand
	for _, demand := range s.config.Admission.Demand(now) {
		if due[demand.Unit] {
			out = append(out, demand)
		}
	}
	for unit := range due {
		s.missingAt[unit] = now
		for _, c := range look.candidates(unit) {
			s.config.Directory.Interest(c.Engine)
		}
	}
	return out
}

// missingUnits are the units that requests wait for and that were not told
// lately. It is asked at each request's arrival and end, so it looks at units
// and not at all that waits.
func (s *Server) missingUnits(now time.Time) map[string]bool {
	if len(s.units) == 0 {
		clear(s.missingAt)
		return nil
	}
	var due map[string]bool
	for unit := range s.units {
		if now.Sub(s.missingAt[unit]) < missingEvery {
			continue
		}
		if due == nil {
			due = make(map[string]bool)
		}
		due[unit] = true
	}
	return due
}

// lookup remembers the candidates of each unit for one look at the queue.
type lookup struct {
	server *Server
	now    time.Time
	units  map[string][]routing.Candidate
}

func (l *lookup) candidates(unit string) []routing.Candidate {
	if known, ok := l.units[unit]; ok {
		return known
	}
	found := l.server.find(unit)
	l.units[unit] = found
	return found
}

// fits tells whether a backend server could take the ticket now.
func (l *lookup) fits(ticket *admission.Ticket) bool {
	w := l.server.waiters[ticket]
	if w == nil {
		return true
	}
	candidates := l.candidates(ticket.Unit)
	if l.now.Sub(w.failedAt) >= excludedFor && allExcluded(candidates, w.query.Exclude) {
		// The request has failed on each of them. Keeping away from all would
		// leave it without any; the router's breaker still holds off sick ones.
		clear(w.query.Exclude)
	}
	query := w.query
	query.OverFairShare = ticket.OverFairShare
	return l.server.config.Router.CanPick(l.now, query, candidates)
}

func allExcluded(candidates []routing.Candidate, excluded map[string]bool) bool {
	if len(excluded) == 0 {
		return false
	}
	for _, c := range candidates {
		if c.Ready && !c.Leaving && !excluded[c.Engine] {
			return false
		}
	}
	return true
}

// find returns the candidates for a unit, or for a plain service's pool.
func (s *Server) find(unit string) []routing.Candidate {
	if name, ok := serviceOfPool(unit); ok {
		return s.config.Directory.Servers(name)
	}
	return s.config.Directory.Candidates(unit)
}
