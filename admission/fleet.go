package admission

import (
	"slices"
	"time"

	"bergamotreel/admission/fleetload"
	"bergamotreel/refusal"
)

// fleetRequest returns the request as the fleet's estimator sees it. A model and its adapters
// share engines, so that they are one unit.
func (r *Request) fleetRequest() fleetload.Request {
	callerDeadline := r.CallerDeadline
	if callerDeadline.IsZero() {
		callerDeadline = r.Deadline
	}
	return fleetload.Request{
		Kind:    fleetload.Kind{Unit: r.Pool, Priority: r.Priority, Target: r.Target},
		Arrived: r.Arrived, Deadline: r.Deadline, CallerDeadline: callerDeadline,
	}
}

func (c *Controller) recordFleetArrival(now time.Time, r Request) {
	if c.cfg.Fleet != nil {
		c.cfg.Fleet.RecordArrival(now, r.fleetRequest())
	}
}

// recordFleetWaiting counts a queued ticket. Tickets held for their customers' rates don't wait for
// capacity.
func (c *Controller) recordFleetWaiting(now time.Time, t *Ticket) {
	if c.cfg.Fleet != nil {
		c.cfg.Fleet.RecordWaiting(now, t.fleetRequest().Kind)
	}
}

// recordFleetLeft reverts recordFleetWaiting.
func (c *Controller) recordFleetLeft(now time.Time, t *Ticket) {
	if c.cfg.Fleet != nil {
		c.cfg.Fleet.RecordLeft(now, t.fleetRequest().Kind)
	}
}

func (c *Controller) recordFleetDispatch(now time.Time, t *Ticket) {
	if c.cfg.Fleet != nil {
		kind := t.fleetRequest().Kind
		c.cfg.Fleet.RecordLeft(now, kind)
		c.cfg.Fleet.RecordDispatch(now, kind)
	}
}

// recordFleetUndo counts a dispatched ticket that is put back. Its dispatch says nothing of
// the capacity, as usually a backend server rejected it.
func (c *Controller) recordFleetUndo(now time.Time, t *Ticket) {
	if c.cfg.Fleet != nil {
		c.cfg.Fleet.RecordUndo(now, t.fleetRequest().Kind)
	}
}

// fleetGate returns a function that reports whether a ticket may be dispatched before the more
// urgent ones of other VMs, nil if none is held back. Tickets that were dispatched before are
// not held back, as their callers may have a part of their answers.
func (c *Controller) fleetGate(now time.Time, fits func(*Ticket) bool) func(*Ticket) bool {
	if c.cfg.Fleet == nil {
		return nil
	}
	var held []fleetload.Kind // by this call; no further ticket of these kinds is looked at
	return func(t *Ticket) bool {
		if t.Attempts > 0 || t.Trial {
			return true
		}
		request := t.fleetRequest()
		if slices.Contains(held, request.Kind) {
			return false
		}
		if c.cfg.Fleet.MayDispatch(now, request, func() bool { return fits(t) }) {
			return true
		}
		held = append(held, request.Kind)
		if !t.heldForFleet {
			t.heldForFleet = true
			c.cfg.Fleet.RecordHeld()
		}
		return false
	}
}

// isLoading reports whether the unit is being loaded. Its requests wait for the end of the
// load and not for others.
func (c *Controller) isLoading(now time.Time, r Request) bool {
	at, ok := c.readyTime(r.Unit, r.Pool)
	return ok && at.After(now)
}

// checkFleet returns a refusal if the fleet can't dispatch a new request in time, or admits
// more urgent ones instead. It returns false if too little is known of the fleet's load; the VM's
// own queue decides then.
func (c *Controller) checkFleet(now time.Time, r Request) (*refusal.Refusal, bool) {
	if c.cfg.Fleet == nil || c.isLoading(now, r) {
		return nil, false
	}
	request := r.fleetRequest()
	wait, known := c.cfg.Fleet.Wait(now, request)
	if !known {
		return nil, false
	}
	if r.Trial || c.cfg.Fleet.Admit(now, request) {
		return nil, true
	}
	return c.newFleetRefusal(now, r, wait), true
}

func (c *Controller) newFleetRefusal(now time.Time, r Request, wait time.Duration) *refusal.Refusal {
	after, free, _ := c.fleetRetryAfter(now, r)
	if free {
		return refusal.New(refusal.CodeWaitTooLong, after, "the fleet's queue for %s takes %s; room is expected at the retry time",
			r.Unit, wait.Round(time.Millisecond))
	}
	return refusal.New(refusal.CodeWaitTooLong, after, "the fleet's queue for %s takes %s, and no room is expected within the time for a retry",
		r.Unit, wait.Round(time.Millisecond))
}

// fleetRetryAfter returns the retry time of a refused request, and whether it is a position
// in the fleet's schedule; known is false if too little is known of the fleet's load.
func (c *Controller) fleetRetryAfter(now time.Time, r Request) (after time.Duration, free, known bool) {
	if c.cfg.Fleet == nil {
		return 0, false, false
	}
	return c.cfg.Fleet.RetryAfter(now, r.fleetRequest())
}

// findLateInFleet returns the pool's tickets that can't be dispatched in time because of more
// urgent ones of all VMs. It returns false if too little is known of the fleet's load.
func (c *Controller) findLateInFleet(now time.Time, p *pool) ([]Expired, bool) {
	if c.cfg.Fleet == nil || len(p.deadlines) == 0 {
		return nil, false
	}
	if _, known := c.cfg.Fleet.Wait(now, p.deadlines[0].fleetRequest()); !known {
		return nil, false
	}
	var late []Expired
	for _, t := range p.deadlines {
		if t.phase != phaseQueued || t.Attempts > 0 || t.Trial || c.isLoading(now, t.Request) {
			continue
		}
		if wait, ok := c.cfg.Fleet.CanReach(now, t.fleetRequest()); !ok {
			late = append(late, Expired{Ticket: t, Refusal: c.newFleetRefusal(now, t.Request, wait)})
		}
	}
	return late, true
}
