package routing

import "time"

// FreeSlots returns how many of the engine's slots this entry VM may use now: none
// while the engine's breaker is open, and at most one while it is half-open.
func (r *Router) FreeSlots(now time.Time, c Candidate) int {
	e := r.engines[c.Engine]
	if !r.isTrusted(now, e) {
		return 0
	}
	free := r.countFreeSlots(now, "", e, &c)
	if e != nil && e.breaker.open {
		free = min(free, 1)
	}
	return free
}

// countFreeSlots returns the number of free slots. It takes the busy slots from the
// engine's load report, which may be late, adds the requests that this VM has
// started since and subtracts those that have ended. It assumes at least as many
// busy slots as this VM and, by their digests, the other VMs have requests in
// flight.
func (r *Router) countFreeSlots(now time.Time, pool string, e *engineState, c *Candidate) int {
	if c.PermitRequired && c.Permits <= 0 {
		return 0
	}
	own := 0
	if e != nil {
		own = e.inFlight
		if r.isResting(now, e, c) {
			return 0
		}
	}
	busy := own + c.PeersInFlight
	if c.Queues {
		return countQueuePlaces(own, busy, c)
	}
	if c.LoadKnown {
		changeSinceReport := 0
		if e != nil {
			changeSinceReport = own - e.inFlightHistory.countAt(c.LoadReportedAt)
		}
		busy = max(busy, c.Running+c.Queued+changeSinceReport)
	}
	return max(0, c.Slots+r.estimateCompleted(pool, c)-busy)
}

// countQueuePlaces returns the number of requests that may be sent to a backend server that queues
// requests. A VM may always have one there: the counts of other VMs are too old to know that no
// place is free.
func countQueuePlaces(own, busy int, c *Candidate) int {
	free := min(c.Slots+c.QueueLength-busy, c.OwnLimit-own)
	if own == 0 {
		free = max(free, 1)
	}
	return max(0, free)
}
