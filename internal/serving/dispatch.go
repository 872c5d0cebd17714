package serving

import (
	"slices"
	"time"

	"bergamotreel/admission"
	"bergamotreel/refusal"
	"bergamotreel/routing"
)

// A request that has failed on every candidate waits exclusionTTL after its last
// failure before it may use them again. Without the wait, an engine that refuses
// connections would cause a busy loop of retries at the expense of all other requests
// on this VM.
const exclusionTTL = 200 * time.Millisecond

// assignment ends the wait of a ticket with a backend server or a refusal.
type assignment struct {
	backend string
	// incarnation is the backend server's count in Server.incarnations.
	incarnation uint64
	refused     *refusal.Refusal
}

// waiter is a request that waits in the queue.
type waiter struct {
	query routing.Query
	// failedAt is when the request's last attempt failed, zero before the first failure.
	failedAt time.Time
	assigned chan assignment
}

// dispatch ends the waits that can end now. It returns the demand for units that
// requests wait for and whose report is due.
func (s *Server) dispatch(now time.Time) []admission.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	lookup := &candidateLookup{server: s, now: now, byUnit: make(map[string][]routing.Candidate)}
	// Update the ready times first: Expire would refuse requests because of a load
	// that has ended.
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

// refuseUnavailable refuses the requests for units that cannot be loaded now. While
// the log is unreachable, no right to load a unit can be granted: a request for a
// model that no engine holds would be refused only after its maximum wait, although
// its caller could have tried elsewhere.
func (s *Server) refuseUnavailable(now time.Time) {
	for unit := range s.waitersByUnit {
		refused := s.unavailableRefusal(unit)
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

// updateReadyTime clears the expected ready time of a unit whose load has ended:
// the unit is ready, or the right to load it was withdrawn, as the planner does
// after a failure. Otherwise requests for a unit that became ready early would be
// refused until the expected end of its load. A ready time that was set between the
// end of a failed load and the next right to load may be cleared too: requests
// then wait for the load instead of being refused early, which only delays a refusal.
//
// If all engines that have the unit are cooling down, its ready time is the end of
// the earliest cooldown.
func (s *Server) updateReadyTime(now time.Time, unit string, candidates []routing.Candidate) {
	ready := hasReadyCandidate(candidates)
	if until, coolingDown := s.config.Router.EarliestCooldownEnd(now, routing.Query{Unit: unit}, candidates); coolingDown {
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

// dispatchPool assigns the pool's waiting requests to backend servers until none can
// be dispatched.
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
			// canDispatch returned true, but Pick found no server. Continuing would
			// select the same ticket again, endlessly.
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

// tryUsePermit uses a permit if the backend server requires one. It returns false if
// there is none any more, and then updates the candidate accordingly. Call with mu held.
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

// recordStart counts a request that is sent to a backend server, and returns the
// incarnation of that server. Call with mu held.
func (s *Server) recordStart(now time.Time, backend string, query routing.Query) uint64 {
	if len(s.runningCounts) == 0 {
		s.recordReceived(now)
	}
	s.config.Router.RecordStart(now, backend, query.Pool, query.Prefixes)
	s.recordUnitStart(now, query.Unit)
	s.runningCounts[runKey{backend, query.Unit, s.incarnations[backend]}]++
	if s.readsCacheEvents(query.Pool) {
		s.cacheCursorFor(backend).activeStreams++
	}
	return s.incarnations[backend]
}

// recordEnd reverts recordStart. Call with mu held.
func (s *Server) recordEnd(now time.Time, backend string, incarnation uint64, unit string, result routing.Result) {
	s.recordFinish(now, backend, incarnation, result)
	s.recordUnitEnd(unit)
	decrement(s.runningCounts, runKey{backend, unit, incarnation})
}

// recordFinish records the end of an attempt in the router. It ignores attempts on a
// previous incarnation of the engine, whose load was dropped as a whole. Call with mu
// held.
func (s *Server) recordFinish(now time.Time, backend string, incarnation uint64, result routing.Result) {
	if s.incarnations[backend] != incarnation {
		return
	}
	s.config.Router.RecordFinish(now, backend, result)
	if s.readsCacheEvents(result.Pool) {
		s.cacheCursorFor(backend).activeStreams--
	}
}

// readsCacheEvents reports whether the cache events of the pool's engines are read.
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

// decrement deletes counts that reach zero, so that ranging over counts yields
// nonzero ones only.
func decrement[Key comparable](counts map[Key]int, name Key) {
	counts[name]--
	if counts[name] == 0 {
		delete(counts, name)
	}
}

// dueMissingDemand returns the demand to report to the planner now, and requests
// the status of the engines that could serve it.
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

// dueMissingUnits returns the units that requests wait for and that haven't been
// reported for missingReportInterval. It runs at each arrival and end of a request,
// so it iterates over units and not over all waiting requests.
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

// candidateLookup caches the candidates of each unit for one pass over the queue.
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

// canDispatch reports whether a backend server could take the ticket now.
func (l *candidateLookup) canDispatch(ticket *admission.Ticket) bool {
	w := l.server.waiters[ticket]
	if w == nil {
		return true
	}
	candidates := l.candidates(ticket.Unit)
	if l.now.Sub(w.failedAt) >= exclusionTTL && allExcluded(candidates, w.query.Exclude) {
		// The request has failed on each candidate. Excluding all of them would leave
		// it without any; the router's breaker still blocks the unhealthy ones.
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

// findCandidates returns the candidates for a unit or for the pool of a plain service, of the
// origin that the unit names.
func (s *Server) findCandidates(name string) []routing.Candidate {
	unit, origin := SplitOrigin(name)
	candidates := s.findAllCandidates(unit)
	if origin.Version != "" {
		candidates = slices.DeleteFunc(candidates, func(c routing.Candidate) bool { return c.Version != origin.Version })
	}
	if origin.Weights != 0 {
		candidates = s.otherWeights.filter(time.Now(), name, origin.Weights, candidates)
	}
	return candidates
}

// findAllCandidates is findCandidates for all software versions.
func (s *Server) findAllCandidates(unit string) []routing.Candidate {
	if name, ok := parseServicePool(unit); ok {
		return s.config.Directory.Servers(name)
	}
	return s.config.Directory.Candidates(unit)
}
