package serving

import (
	"maps"
	"time"

	"bergamotreel/routing"
)

// reservation is a slot of a backend server that counts as used by a request.
type reservation struct {
	backend     string
	incarnation uint64
	// unit is what the request needs there.
	unit string
}

// reserveReplacement reserves another backend server for the unit while the current attempt runs, and
// a retry of the service's budget. doubtful is whether the attempt is given up without a sign of its arrival, for which
// the budget must have room. It returns nil, and takes nothing, if there
// is no free server, no budget, or this VM is stopping.
func (p *pendingRequest) reserveReplacement(service, unit string, doubtful bool) *reservation {
	s := p.server
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	budget := s.serviceBudget(service)
	if s.stopped || !budget.CanReserve(now) || doubtful && !s.canDoubt(now, budget, p.backend) {
		return nil
	}
	candidates := s.findCandidates(unit)
	query := p.replacementQuery(candidates)
	query.Unit = unit
	s.excludeDoubtful(&query, candidates)
	for {
		choice, ok := s.config.Router.Pick(now, query, candidates)
		if !ok {
			return nil
		}
		if !s.tryUsePermit(choice.Engine, candidates) {
			continue // the candidate's permits are now known to be used
		}
		budget.Reserve(now)
		countRetry(true)
		return &reservation{choice.Engine, s.recordStart(now, choice.Engine, query), unit}
	}
}

// replacementQuery returns the query for a backend server that isn't the current one, nor
// one that the request has failed on, if there is any other. Call with the server's mu
// held.
func (p *pendingRequest) replacementQuery(candidates []routing.Candidate) routing.Query {
	query := p.query
	query.OverFairShare = p.ticket.OverFairShare
	query.Exclude = maps.Clone(p.query.Exclude)
	if query.Exclude == nil {
		query.Exclude = make(map[string]bool)
	}
	query.Exclude[p.backend] = true
	if allExcluded(candidates, query.Exclude) {
		query.Exclude = map[string]bool{p.backend: true}
	}
	return query
}

// moveTo ends the current attempt and begins one on the reserved backend server. The
// ticket keeps running.
func (p *pendingRequest) moveTo(r *reservation, outcome attemptOutcome) {
	s := p.server
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	p.endAttempt(now, outcome)
	p.setUnit(r.unit)
	p.beginAttempt(now, r.backend, r.incarnation)
}

// release releases a reservation to which nothing was sent, with its retry.
func (p *pendingRequest) release(r *reservation, service string) {
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceBudget(service).Release()
	s.recordEnd(time.Now(), r.backend, r.incarnation, r.unit, routing.Result{Pool: p.query.Pool})
}
