package admission

import (
	"cmp"
	"slices"
	"time"

	"bergamotreel/refusal"
)

const (
	// checkEvery bounds how often all waiting tickets are looked through for
	// those that the pace of their queue makes late.
	checkEvery = 100 * time.Millisecond
	// retrySoon is when to come back where the cause may pass at any moment.
	retrySoon = time.Second
	// retryUnknown is when to come back where nothing is known of the unit's
	// capacity: the order of a load's duration.
	retryUnknown = 10 * time.Second
	// retryMost bounds what a caller is told, as the queue will have changed.
	retryMost = time.Minute
	// drainWindow is the time constant of a customer's dispatches.
	drainWindow = 10 * time.Second
)

// Expire ends the waiting tickets that cannot make their longest wait any more
// and moves on those held for their customer's rate. The owner answers each
// with its refusal, then asks Next of each pool with demand.
func (c *Controller) Expire(now time.Time) []Expired {
	c.lastNow = now
	c.releaseAll(now)
	var expired []Expired
	for _, p := range c.pools {
		for len(p.deadlines) > 0 {
			t := p.deadlines[0]
			if now.Before(p.latestStart(now, t)) {
				break
			}
			refused := c.lateRefusal(now, t)
			c.end(now, t, 0)
			expired = append(expired, Expired{Ticket: t, Refusal: refused})
		}
	}
	if c.recheck || now.Sub(c.checkedAt) >= checkEvery {
		c.recheck, c.checkedAt = false, now
		expired = append(expired, c.expireForeseen(now)...)
	}
	slices.SortFunc(expired, func(a, b Expired) int { return cmp.Compare(a.Ticket.sequence, b.Ticket.sequence) })
	return expired
}

// lateRefusal is the answer to a ticket whose time is up.
func (c *Controller) lateRefusal(now time.Time, t *Ticket) *refusal.Refusal {
	known := c.customers[t.Customer]
	if t.phase == phaseHeld {
		return refusal.New(refusal.CodeRateLimited, bounded(known.limit.wait(now, len(known.held))),
			"customer %s is over its rate; the longest wait ended before its turn", t.Customer)
	}
	return refusal.New(refusal.CodeWaitTooLong, c.comeBack(now, t), "%s could not answer within the longest wait", t.Unit)
}

// comeBack is when a request like t would be served: when its unit is ready, or
// when the queue before it has gone.
func (c *Controller) comeBack(now time.Time, t *Ticket) time.Duration {
	if at, ok := c.expectedAt(t.Unit, t.Pool); ok && at.After(now) {
		return at.Sub(now)
	}
	if wait, ok := c.queueWait(now, t.Request); ok {
		return bounded(wait)
	}
	return retryUnknown
}

func bounded(wait time.Duration) time.Duration {
	return min(max(wait, retrySoon), retryMost)
}

// expireForeseen ends the waiting tickets that are in time yet, but will be
// late: by the expected end of a load, or by the pace of their queue.
func (c *Controller) expireForeseen(now time.Time) []Expired {
	var late []Expired
	for _, p := range c.pools {
		for _, t := range p.deadlines {
			if refused := c.foresee(now, p, t.Request); refused != nil {
				late = append(late, Expired{Ticket: t, Refusal: refused})
			}
		}
		late = append(late, p.slowTickets(now)...)
	}
	ended := late[:0]
	for _, e := range late {
		if !e.Ticket.HasEnded() {
			c.end(now, e.Ticket, 0)
			ended = append(ended, e)
		}
	}
	return ended
}

// foresee refuses a request whose contract has ended or whose unit will not be
// ready in time.
func (c *Controller) foresee(now time.Time, p *pool, r Request) *refusal.Refusal {
	if known := c.customers[r.Customer]; known.contract == nil {
		return refusal.New(refusal.CodeUnknownKey, 0, "the contract of customer %s has ended", r.Customer)
	}
	at, ok := c.expectedAt(r.Unit, r.Pool)
	if !ok {
		return nil
	}
	latest := r.Deadline
	if p != nil {
		latest = p.latestStart(now, &Ticket{Request: r})
	}
	if !at.After(latest) {
		return nil
	}
	wait := at.Sub(now)
	return refusal.New(refusal.CodeWaitTooLong, wait, "%s is being loaded and expected in %s, after the longest wait",
		r.Unit, wait.Round(time.Millisecond))
}

// slowTickets finds those that the pace of their queue makes late.
func (p *pool) slowTickets(now time.Time) []Expired {
	var late []Expired
	ahead := map[string]int{}
	for _, f := range p.active {
		clear(ahead)
		for _, t := range f.waiting {
			wait, ok := f.paces[t.Unit].wait(now, ahead[t.Unit])
			if ok && p.tooSlow(now, t, wait) {
				late = append(late, Expired{Ticket: t, Refusal: slowRefusal(t.Request, wait)})
				continue
			}
			ahead[t.Unit]++
		}
	}
	return late
}

func (p *pool) tooSlow(now time.Time, t *Ticket, wait time.Duration) bool {
	return now.Add(wait / paceOptimism).After(p.latestStart(now, t))
}

func slowRefusal(r Request, wait time.Duration) *refusal.Refusal {
	return refusal.New(refusal.CodeWaitTooLong, bounded(wait), "the queue for %s takes %s, more than the longest wait",
		r.Unit, wait.Round(time.Millisecond))
}

// queueWait is the expected wait of a request that arrives now.
func (c *Controller) queueWait(now time.Time, r Request) (time.Duration, bool) {
	p := c.pools[r.Pool]
	if p == nil || p.flows[r.Customer] == nil {
		return 0, false
	}
	f := p.flows[r.Customer]
	known := f.paces[r.Unit]
	if known == nil {
		return 0, false
	}
	ahead := 0
	last := &Ticket{Request: r, sequence: c.sequence + 1}
	for _, t := range f.waiting {
		if t.Unit == r.Unit && compareTickets(t, last) < 0 {
			ahead++
		}
	}
	return known.wait(now, ahead)
}

// refuseArrival refuses a request that the bounds, the rate or the time left do
// not allow.
func (c *Controller) refuseArrival(now time.Time, known *customer, r Request) *refusal.Refusal {
	if c.queueFull(known) {
		return refusal.New(refusal.CodeQueueFull, c.drainWait(now, known), "%d requests of customer %s wait already",
			known.waiting, known.name)
	}
	if refused := c.refuseLate(now, r); refused != nil {
		return refused
	}
	wait := known.limit.waitShifted(now, len(known.held)+1, c.fleetAt(now))
	if wait > c.cfg.MaxRateLimitWait+known.limit.burstTime() || (wait > 0 && now.Add(wait).After(r.Deadline)) {
		return refusal.New(refusal.CodeRateLimited, wait, "customer %s is over its rate of %g requests a second",
			known.name, known.contract.RequestsPerSecond)
	}
	return nil
}

// queueFull tells whether one more of the customer's requests may wait. With
// the whole VM's queue full, a customer below half of an even share still may:
// else a few customers with many requests would shut the others out.
func (c *Controller) queueFull(known *customer) bool {
	bound := known.contract.MaxQueued
	if bound <= 0 {
		bound = DefaultMaxCustomerQueued
	}
	if known.waiting >= bound {
		return true
	}
	return c.waiting >= c.cfg.MaxQueued && known.waiting >= c.cfg.MaxQueued/(2*len(c.customers))
}

// drainWait is the time until half of the customer's queue has gone: coming back
// for the first free place would meet all others who were refused.
func (c *Controller) drainWait(now time.Time, known *customer) time.Duration {
	perSecond := known.drain.Rate(now, drainWindow)
	if perSecond*drainWindow.Seconds() < 1 {
		return retryUnknown
	}
	return bounded(time.Duration(float64(known.waiting) / 2 / perSecond * float64(time.Second)))
}

// refuseLate refuses a request that is known to miss its longest wait.
func (c *Controller) refuseLate(now time.Time, r Request) *refusal.Refusal {
	if !now.Before(r.Deadline) {
		return refusal.New(refusal.CodeWaitTooLong, retrySoon, "the longest wait for %s is over already", r.Unit)
	}
	p := c.pools[r.Pool]
	if refused := c.foresee(now, p, r); refused != nil {
		return refused
	}
	wait, ok := c.queueWait(now, r)
	if ok && p.tooSlow(now, &Ticket{Request: r}, wait) {
		return slowRefusal(r, wait)
	}
	return nil
}

// NextExpiry is when Expire should be called next, if nothing else happens: a
// ticket's time is up, or one held for its customer's rate may go on. It changes
// with every other call.
func (c *Controller) NextExpiry() (time.Time, bool) {
	if c.recheck && c.waiting > 0 {
		return c.lastNow, true
	}
	var next time.Time
	earlier := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for _, p := range c.pools {
		if len(p.deadlines) > 0 {
			earlier(p.latestStart(c.lastNow, p.deadlines[0]))
		}
	}
	for known := range c.holding {
		earlier(c.lastNow.Add(known.limit.wait(c.lastNow, 1)))
	}
	return next, !next.IsZero()
}

// expectedAt is when a unit is expected to be ready: an adapter not before its pool's
// base model.
func (c *Controller) expectedAt(unit, pool string) (time.Time, bool) {
	at, ok := c.expected[unit]
	if base, loading := c.expected[pool]; loading && (!ok || base.After(at)) {
		return base, true
	}
	return at, ok
}

// Expect tells when capacity for a unit is expected, as a load of it is under
// way; known false forgets it, as the unit is ready or the load failed. The
// next Expire refuses those who cannot wait so long. A time that has passed
// tells nothing more.
func (c *Controller) SetReadyTime(unit string, at time.Time, known bool) {
	if !known {
		delete(c.expected, unit)
		return
	}
	c.expected[unit] = at
	c.recheck = true
}
