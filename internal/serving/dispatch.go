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
const exclusionTTL = 200 * time.Millisecond

// assignment ends a waiting ticket's wait: an engine, or a refusal.
type assignment struct {
	backend string
	// start is the engine's count in Server.starts.
	incarnation uint64
	refused     *refusal.Refusal
}

// waiter is a request in the queue.
type waiter struct {
	query routing.Query
	// failedAt is when the request's newest attempt failed, zero before.
	failedAt time.Time
	assigned chan assignment
}

// dispatch ends the waits that can end now, and returns what waits for units
// that are ready nowhere.
func (s *Server) dispatch(now time.Time) []admission.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	lookup := &candidateLookup{server: s, now: now, byUnit: make(map[string][]routing.Candidate)}
	// Before Expire, which would refuse for a load that has ended.
	for unit := range s.waitersByUnit {
		s.updateReadyTime(now, unit, lookup.candidates(unit))
	}
	for _, expired := range s.config.Admission.Expire(now) {
		s.assign(expired.Ticket, assignment{refused: expired.Refusal})
	}
	s.refuseUnavailable(now)
	for pool := range s.waitersByPool {
		s.dispatchPool(now, pool, lookup)
	}
	return s.dueMissingDemand(now, lookup)
}

// refuseHopeless ends the waits for units that nobody can load now. Failure: with
// the log out of reach no right can be granted, and a request for a model
// without one would wait its longest wait for nothing, while its caller could
// have gone elsewhere.
func (s *Server) refuseUnavailable(now time.Time) {
	for unit := range s.waitersByUnit {
		refused := s.config.Directory.UnavailableRefusal(unit)
		if refused == nil {
			continue
		}
		for ticket := range s.waiters {
			if ticket.Unit == unit {
				s.config.Admission.Cancel(now, ticket)
				refusalCopy := *refused
				s.assign(ticket, assignment{refused: &refusalCopy})
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
func (s *Server) updateReadyTime(now time.Time, unit string, candidates []routing.Candidate) {
	ready := hasReadyCandidate(candidates)
	if until, resting := s.config.Router.EarliestCooldownEnd(now, routing.Query{Unit: unit}, candidates); resting {
		s.config.Admission.SetReadyTime(unit, until, true)
	} else if ready || (s.loadingUnits[unit] && len(candidates) == 0) {
		s.config.Admission.SetReadyTime(unit, time.Time{}, false)
	}
	if ready || len(candidates) == 0 {
		delete(s.loadingUnits, unit)
		return
	}
	s.loadingUnits[unit] = true
}

func hasReadyCandidate(candidates []routing.Candidate) bool {
	for _, c := range candidates {
		if c.Ready && !c.Leaving {
			return true
		}
	}
	return false
}

// dispatchPool hands out the pool's requests until none fits.
func (s *Server) dispatchPool(now time.Time, pool string, lookup *candidateLookup) {
	for {
		ticket := s.config.Admission.Next(now, pool, lookup.canDispatch)
		if ticket == nil {
			return
		}
		w := s.waiters[ticket]
		if w == nil {
			s.config.Admission.Finish(now, ticket, admission.Outcome{})
			continue
		}
		w.query.OverFairShare = ticket.OverFairShare
		choice, ok := s.config.Router.Pick(now, w.query, lookup.candidates(ticket.Unit))
		if !ok {
			// fits said yes: the router counts with something that it can't have.
			// Going on would ask for the same ticket for ever.
			s.config.Admission.Requeue(now, ticket)
			return
		}
		if !s.tryUsePermit(choice.Engine, lookup.candidates(ticket.Unit)) {
			s.config.Admission.Requeue(now, ticket)
			continue
		}
		incarnation := s.recordStart(now, choice.Engine, w.query)
		s.assign(ticket, assignment{backend: choice.Engine, incarnation: incarnation})
	}
}

// spendPermit uses a permit where the backend server takes requests with one only; false
// means that there is none any more, which the candidates then tell. Call with mu held.
func (s *Server) tryUsePermit(backend string, candidates []routing.Candidate) bool {
	for i := range candidates {
		c := &candidates[i]
		if c.Engine != backend || !c.PermitRequired {
			continue
		}
		if !s.forwardDirectory().TryUsePermit(backend) {
			c.Permits = 0
			return false
		}
		c.Permits--
	}
	return true
}

// started counts a request that goes to a backend server. Call with mu held.
func (s *Server) recordStart(now time.Time, backend string, query routing.Query) uint64 {
	s.config.Router.RecordStart(now, backend, query.Pool, query.Prefixes)
	s.recordUnitStart(now, query.Unit)
	s.runningCounts[backendUnit{backend, query.Unit}]++
	if s.readsCacheEvents(query.Pool) {
		s.cacheCursorFor(backend).activeStreams++
	}
	return s.incarnations[backend]
}

// finished ends what started began. An attempt of before the engine's restart
// was forgotten with all its load. Call with mu held.
func (s *Server) recordFinish(now time.Time, backend string, incarnation uint64, result routing.Result) {
	if s.incarnations[backend] != incarnation {
		return
	}
	s.config.Router.RecordFinish(now, backend, result)
	if s.readsCacheEvents(result.Pool) {
		s.cacheCursorFor(backend).activeStreams--
	}
}

// readsCaches tells whether the engines of a pool are asked for cache events.
func (s *Server) readsCacheEvents(pool string) bool {
	_, isService := parseServicePool(pool)
	return !isService && s.config.Engines != nil
}

// assign ends the wait of a ticket. Call with mu held.
func (s *Server) assign(ticket *admission.Ticket, a assignment) {
	w, ok := s.waiters[ticket]
	if !ok {
		return
	}
	s.removeWaiter(ticket, w)
	w.assigned <- a
}

func (s *Server) removeWaiter(ticket *admission.Ticket, w *waiter) {
	delete(s.waiters, ticket)
	decrement(s.waitersByPool, w.query.Pool)
	decrement(s.waitersByUnit, w.query.Unit)
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
func (s *Server) dueMissingDemand(now time.Time, lookup *candidateLookup) []admission.Demand {
	due := s.dueMissingUnits(now)
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
		s.missingReportedAt[unit] = now
		for _, c := range lookup.candidates(unit) {
			s.config.Directory.RequestStatus(c.Engine)
		}
	}
	return out
}

// missingUnits are the units that requests wait for and that were not told
// lately. It is asked at each request's arrival and end, so it looks at units
// and not at all that waits.
func (s *Server) dueMissingUnits(now time.Time) map[string]bool {
	if len(s.waitersByUnit) == 0 {
		clear(s.missingReportedAt)
		return nil
	}
	var due map[string]bool
	for unit := range s.waitersByUnit {
		if now.Sub(s.missingReportedAt[unit]) < missingReportInterval {
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
type candidateLookup struct {
	server *Server
	now    time.Time
	byUnit map[string][]routing.Candidate
}

func (l *candidateLookup) candidates(unit string) []routing.Candidate {
	if known, ok := l.byUnit[unit]; ok {
		return known
	}
	found := l.server.findCandidates(unit)
	l.byUnit[unit] = found
	return found
}

// fits tells whether a backend server could take the ticket now.
func (l *candidateLookup) canDispatch(ticket *admission.Ticket) bool {
	w := l.server.waiters[ticket]
	if w == nil {
		return true
	}
	candidates := l.candidates(ticket.Unit)
	if l.now.Sub(w.failedAt) >= exclusionTTL && allExcluded(candidates, w.query.Exclude) {
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
func (s *Server) findCandidates(unit string) []routing.Candidate {
	if name, ok := parseServicePool(unit); ok {
		return s.config.Directory.Servers(name)
	}
	return s.config.Directory.Candidates(unit)
}
