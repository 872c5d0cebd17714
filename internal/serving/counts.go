package serving

import "time"

// unitRun is what runs of one unit through this VM.
type unitActivity struct {
	// requests counts those on backend servers, newest is when the last one of
	// them went there.
	requests  int
	lastStart time.Time
}

// LongRunningUnits returns the units of engines with a request that runs through this VM where
// the newest went to its engine longer than the given time ago. Engines tell how
// much they run, not of which unit, and arrivals are told for a few seconds only:
// without this a long stream's model looks idle to its planner.
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

// entered counts a request that goes to a backend server. Call with mu held.
func (s *Server) recordUnitStart(now time.Time, unit string) {
	activity := s.activeUnits[unit]
	s.activeUnits[unit] = unitActivity{requests: activity.requests + 1, lastStart: now}
}

// left ends what entered began. Call with mu held.
func (s *Server) recordUnitEnd(unit string) {
	activity := s.activeUnits[unit]
	activity.requests--
	if activity.requests == 0 {
		delete(s.activeUnits, unit)
		return
	}
	s.activeUnits[unit] = activity
}

// RunningCount counts this VM's requests for a unit on a backend server.
type RunningCount struct {
	Backend, Unit string
	Count         int
}

// RunningRequests returns what runs on backend servers through this VM.
func (s *Server) RunningRequests() []RunningCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]RunningCount, 0, len(s.runningCounts))
	for key, count := range s.runningCounts {
		out = append(out, RunningCount{Backend: key.backend, Unit: key.unit, Count: count})
	}
	return out
}

// runKey is a unit on a backend server.
type backendUnit struct{ backend, unit string }

// WaitingCount counts this VM's requests that wait for a unit.
type WaitingCount struct {
	Unit  string
	Count int
	// OldestWait is for how long the first of them has been here.
	OldestWait time.Duration
}

// WaitingRequests returns what waits on this VM.
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
