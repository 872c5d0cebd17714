package serving

import "time"

// unitActivity describes the requests for one unit that this VM has in flight.
type unitActivity struct {
	// requests counts those on backend servers; lastStart is when the last one of
	// them was sent there.
	requests  int
	lastStart time.Time
}

// LongRunningUnits returns the engines' units that have requests of this VM in
// flight, the last of which was sent at least minDuration ago. Engines report how
// many requests they run, but not for which unit, and arrivals are reported for a
// few seconds only: without this, the model of a long stream looks idle to its
// planner.
func (s *Server) LongRunningUnits(now time.Time, minDuration time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var units []string
	for unit, activity := range s.activeUnits {
		if _, isService := parseServicePool(unit); !isService && now.Sub(activity.lastStart) >= minDuration {
			units = append(units, unit)
		}
	}
	return units
}

// recordUnitStart counts a request that is sent to a backend server. Call with mu held.
func (s *Server) recordUnitStart(now time.Time, unit string) {
	activity := s.activeUnits[unit]
	s.activeUnits[unit] = unitActivity{requests: activity.requests + 1, lastStart: now}
}

// recordUnitEnd reverts recordUnitStart. Call with mu held.
func (s *Server) recordUnitEnd(unit string) {
	activity := s.activeUnits[unit]
	activity.requests--
	if activity.requests == 0 {
		delete(s.activeUnits, unit)
		return
	}
	s.activeUnits[unit] = activity
}

// RunningCount is the number of this VM's requests in flight for a unit on a
// backend server.
type RunningCount struct {
	Backend, Unit string
	Count         int
}

// RunningRequests returns the number of this VM's requests in flight by backend
// server and unit, without those that Forget or DropInFlight dropped.
func (s *Server) RunningRequests() []RunningCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]RunningCount, 0, len(s.runningCounts))
	for key, count := range s.runningCounts {
		if key.incarnation != s.incarnations[key.backend] {
			continue
		}
		out = append(out, RunningCount{Backend: key.backend, Unit: key.unit, Count: count})
	}
	return out
}

// runKey identifies a unit on a backend server. Attempts from before the newest call of Forget or
// DropInFlight have an older incarnation.
type runKey struct {
	backend, unit string
	incarnation   uint64
}

// WaitingCount is the number of this VM's requests that wait for a unit.
type WaitingCount struct {
	Unit  string
	Count int
	// OldestWait is how long the oldest of them has waited since its arrival.
	OldestWait time.Duration
}

// WaitingRequests returns the number of this VM's waiting requests by unit.
func (s *Server) WaitingRequests(now time.Time) []WaitingCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	byUnit := make(map[string]WaitingCount, len(s.waitersByUnit))
	for ticket, w := range s.waiters {
		wait := byUnit[w.query.Unit]
		wait.Unit = w.query.Unit
		wait.Count++
		wait.OldestWait = max(wait.OldestWait, now.Sub(ticket.Arrived))
		byUnit[w.query.Unit] = wait
	}
	out := make([]WaitingCount, 0, len(byUnit))
	for _, wait := range byUnit {
		out = append(out, wait)
	}
	return out
}
