package serving

import (
	"errors"
	"maps"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/admission"
	"bergamotreel/routing"
	"bergamotreel/service"
)

var (
	// attemptsUnsettled counts the attempts whose backend server may read them later.
	attemptsUnsettled = metrics.NewCounter("bergamotreel_attempts_unsettled_total")
	// unsettledGauge is how many of those of retried requests are not settled yet.
	unsettledGauge = metrics.NewGauge("bergamotreel_unsettled_attempts", nil)
)

// arrival is what is known of an attempt's arrival at its backend server.
type arrival int

const (
	// arrivalNone is that of an attempt that doesn't arrive: no byte of it was sent.
	arrivalNone arrival = iota
	// arrivalSettled is that of an attempt that has arrived, or is known never to.
	arrivalSettled
	// arrivalUnsettled is that of an attempt that may arrive at any later time: its backend server has given no sign
	// that it has read it. Closing the connection doesn't take back what a stopped process has still to read.
	arrivalUnsettled
)

// arrivalTracking is what is known of the arrivals of one request's attempts.
type arrivalTracking struct {
	// request counts the settled attempts for the budget of the request's service.
	request *admission.RequestArrivals
	// current is the arrival of the current attempt; isSettled is whether it is settled, for the stall guard.
	current   arrival
	isSettled atomic.Bool
	// givenUp is the backend server of the last attempt if that is unsettled and not kept in Server.unsettled, empty if not.
	givenUp string
	// isCurrentKept and isAnyKept are whether the current attempt, and any attempt, was kept there.
	isCurrentKept, isAnyKept bool
	// isRetried is whether a retry was sent.
	isRetried bool
}

// beginAttempt resets what concerns the current attempt.
func (t *arrivalTracking) beginAttempt() {
	t.current, t.isCurrentKept = arrivalNone, false
	t.isSettled.Store(false)
}

// classifyArrival returns what the result of an attempt shows of its arrival. head is the head of its answer, nil for
// none.
func classifyArrival(head *service.ForwardResponse, err error) arrival {
	switch {
	case head != nil, errors.Is(err, service.ErrClosedByServer):
		return arrivalSettled
	case errors.Is(err, service.ErrNotSent):
		return arrivalNone
	case errors.Is(err, service.ErrNotRun):
		return arrivalSettled
	default:
		attemptsUnsettled.Inc()
		return arrivalUnsettled
	}
}

// settleArrival records that the current attempt has arrived at its backend server, or never will. hasAnswered is
// whether the server has answered it.
func (f *forwarding) settleArrival(hasAnswered bool) {
	s := f.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.unsettled.Remove(f.pending.backend, f.tracking.request) // the stall guard may just have given it up
	f.tracking.request.Settle(now)
	if hasAnswered {
		s.recordAnswer(now, f.pending.backend, f.pending.attemptStart)
	}
}

// keepUnsettled keeps an attempt at a backend server, which was given up, until it is settled, as its request is retried.
// Call with the server's mu held.
func (f *forwarding) keepUnsettled(now time.Time, backend string) {
	f.tracking.isAnyKept = true
	f.server.unsettled.Add(now, backend, f.tracking.request)
}

// dropUnsettled no longer keeps the attempts of a request that was not retried after all: each request has one
// arrival.
func (f *forwarding) dropUnsettled() {
	if f.tracking.isRetried || !f.tracking.isAnyKept {
		return
	}
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	f.server.unsettled.Drop(f.tracking.request)
}

// RecordAnswer records that a backend server has answered an exchange that began at a time.
func (s *Server) RecordAnswer(backend string, begunAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordAnswer(time.Now(), backend, begunAt)
}

// recordAnswer is RecordAnswer for callers that hold mu.
func (s *Server) recordAnswer(now time.Time, backend string, begunAt time.Time) {
	s.answered[backend] = true
	s.unsettled.SettleBefore(now, backend, begunAt)
}

// RecordProcessEnd records that a backend server's process has ended: it reads nothing any more.
func (s *Server) RecordProcessEnd(backend string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.unsettled.SettleBefore(now, backend, now)
}

// canDoubt reports whether an attempt at a backend server may be given up without a sign of its arrival and its request
// be sent elsewhere. A server that has never answered this process may have stopped before it started, and then holds
// what earlier processes of this VM have given up. Call with mu held.
func (s *Server) canDoubt(now time.Time, budget *admission.RetryBudget, backend string) bool {
	isFirstProcess := s.config.RetrySlack == nil
	return (isFirstProcess || s.answered[backend]) && budget.CanDoubt(now)
}

// excludeDoubtful excludes from a query for a replacement the backend servers with unsettled attempts, while there are
// others: what they are sent may arrive much later. Call with mu held.
func (s *Server) excludeDoubtful(query *routing.Query, candidates []routing.Candidate) {
	excluded := make(map[string]bool, len(candidates))
	maps.Copy(excluded, query.Exclude)
	for _, c := range candidates {
		if s.unsettled.Has(c.Engine) {
			excluded[c.Engine] = true
		}
	}
	if !allExcluded(candidates, excluded) {
		query.Exclude = excluded
	}
}
