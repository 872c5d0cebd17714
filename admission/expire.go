package admission

import (
	"cmp"
	"slices"
	"time"

	"bergamotreel/refusal"
)

const (
	// recheckInterval is the least time between two checks of all waiting tickets
	// against the dispatch rates of their queues.
	recheckInterval = 100 * time.Millisecond
	// minRetryAfter is the retry delay if the cause may disappear at any moment.
	minRetryAfter = time.Second
	// defaultRetryAfter is the retry delay if nothing is known of the unit's
	// capacity. It is of the order of a model load's duration.
	defaultRetryAfter = 10 * time.Second
	// maxRetryAfter limits the retry delay, as the queue will have changed by then.
	maxRetryAfter = time.Minute
	// customerDispatchWindow is the time constant of a customer's dispatch rate.
	customerDispatchWindow = 10 * time.Second
)

// Expire ends the waiting tickets that can no longer meet their deadlines, and
// queues held tickets as far as their customers' rates allow. The owner must send
// each returned refusal, then call Next for each pool with demand.
func (c *Controller) Expire(now time.Time) []Expired {
	c.lastNow = now
	c.releaseAllHeld(now)
	var expired []Expired
	for _, p := range c.pools {
		for len(p.deadlines) > 0 {
			t := p.deadlines[0]
			if now.Before(p.latestDispatch(now, t)) {
				break
			}
			refused := c.newDeadlineRefusal(now, t)
			c.endTicket(now, t, 0)
			expired = append(expired, Expired{Ticket: t, Refusal: refused})
		}
	}
	if c.recheckNeeded || now.Sub(c.checkedAt) >= recheckInterval {
		c.recheckNeeded, c.checkedAt = false, now
		expired = append(expired, c.expirePredictedLate(now)...)
	}
	expired = append(expired, c.takeDisplaced()...)
	for _, e := range expired {
		c.noteRefusal(now, &e.Ticket.Request, e.Refusal)
	}
	slices.SortFunc(expired, func(a, b Expired) int { return cmp.Compare(a.Ticket.sequence, b.Ticket.sequence) })
	return expired
}

// newDeadlineRefusal returns the answer for a ticket that reached its latest dispatch
// time.
func (c *Controller) newDeadlineRefusal(now time.Time, t *Ticket) *refusal.Refusal {
	cust := c.customers[t.Customer]
	if t.phase == phaseHeld {
		return refusal.New(refusal.CodeRateLimited, clampRetryAfter(cust.limit.tokenWait(now, len(cust.held))),
			"customer %s is over its rate; the longest wait ended before its turn", t.Customer)
	}
	return refusal.New(refusal.CodeWaitTooLong, c.retryAfter(now, t), "%s could not answer within the longest wait", t.Unit)
}

// retryAfter returns when a request like t could be served: when its unit is ready,
// or when the queue ahead of it is expected to be empty.
func (c *Controller) retryAfter(now time.Time, t *Ticket) time.Duration {
	if at, ok := c.readyTime(t.Unit, t.Pool); ok && at.After(now) {
		return at.Sub(now)
	}
	if after, _, known := c.fleetRetryAfter(now, t.Request); known {
		return after
	}
	if wait, ok := c.expectedQueueWait(now, t.Request); ok {
		return clampRetryAfter(wait)
	}
	return defaultRetryAfter
}

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// expirePredictedLate ends the waiting tickets that are expected to miss their
// deadlines because of the ready time of their unit or the dispatch rate of their
// queue, and those whose contract has ended.
func (c *Controller) expirePredictedLate(now time.Time) []Expired {
	var late []Expired
	for _, p := range c.pools {
		for _, t := range p.deadlines {
			if refused := c.checkServable(now, p, t.Request); refused != nil {
				late = append(late, Expired{Ticket: t, Refusal: refused})
			}
		}
		if fleetLate, known := c.findLateInFleet(now, p); known {
			late = append(late, fleetLate...)
		} else {
			late = append(late, p.findLate(now)...)
		}
	}
	ended := late[:0]
	for _, e := range late {
		if !e.Ticket.HasEnded() {
			c.endTicket(now, e.Ticket, 0)
			ended = append(ended, e)
		}
	}
	return ended
}

// checkServable returns a refusal if the request's contract has ended or its unit will
// not be ready in time, and nil otherwise.
func (c *Controller) checkServable(now time.Time, p *pool, r Request) *refusal.Refusal {
	if cust := c.customers[r.Customer]; cust.contract == nil {
		return refusal.New(refusal.CodeUnknownKey, 0, "the contract of customer %s has ended", r.Customer)
	}
	at, ok := c.readyTime(r.Unit, r.Pool)
	if !ok {
		return nil
	}
	latestDispatch := r.Deadline
	if p != nil {
		latestDispatch = p.latestDispatch(now, &Ticket{Request: r})
	}
	if !at.After(latestDispatch) {
		return nil
	}
	wait := at.Sub(now)
	return refusal.New(refusal.CodeWaitTooLong, wait, "%s is being loaded and expected in %s, after the longest wait",
		r.Unit, wait.Round(time.Millisecond))
}

// findLate returns the tickets that would miss their deadlines even if the dispatch
// rate of their queue grew by maxDispatchRateGrowth.
func (p *pool) findLate(now time.Time) []Expired {
	var late []Expired
	ahead := map[string]int{}
	for _, f := range p.backlogged {
		clear(ahead)
		for _, t := range f.waiting {
			wait, ok := f.dispatchRates[t.Unit].expectedWait(now, ahead[t.Unit])
			if ok && p.willMissDeadline(now, t, wait) {
				late = append(late, Expired{Ticket: t, Refusal: newQueueTooSlowRefusal(t.Request, wait)})
				continue
			}
			ahead[t.Unit]++
		}
	}
	return late
}

func (p *pool) willMissDeadline(now time.Time, t *Ticket, wait time.Duration) bool {
	return now.Add(wait / maxDispatchRateGrowth).After(p.latestDispatch(now, t))
}

func newQueueTooSlowRefusal(r Request, wait time.Duration) *refusal.Refusal {
	return refusal.New(refusal.CodeWaitTooLong, clampRetryAfter(wait), "the queue for %s takes %s, more than the longest wait",
		r.Unit, wait.Round(time.Millisecond))
}

// expectedQueueWait returns the expected wait of a request that arrives now, and
// false if too little is known.
func (c *Controller) expectedQueueWait(now time.Time, r Request) (time.Duration, bool) {
	p := c.pools[r.Pool]
	if p == nil {
		return 0, false
	}
	key, _ := c.flowKeyOf(c.customers[r.Customer], p, &r)
	f := p.flows[key]
	if f == nil {
		return 0, false
	}
	rate := f.dispatchRates[r.Unit]
	if rate == nil {
		return 0, false
	}
	ahead := 0
	last := &Ticket{Request: r, sequence: c.sequence + 1}
	for _, t := range f.waiting {
		if t.Unit == r.Unit && compareTickets(t, last) < 0 {
			ahead++
		}
	}
	return rate.expectedWait(now, ahead)
}

// checkArrival returns a refusal if a new request exceeds the queue limits or the rate,
// or will miss its deadline, and nil otherwise.
func (c *Controller) checkArrival(now time.Time, cust *customer, r Request) *refusal.Refusal {
	var displaced *Ticket
	if c.isQueueFull(cust) {
		displaced = c.findDisplaceable(now, &r)
	}
	if displaced == nil && c.isQueueFull(cust) {
		return refusal.New(refusal.CodeQueueFull, c.queueDrainTime(now, cust), "%d requests of customer %s wait already",
			cust.waitingCount, cust.name)
	}
	if refused := c.checkDeadline(now, r); refused != nil {
		return refused
	}
	wait := cust.limit.tokenWaitWithRebalance(now, len(cust.held)+1, c.fleetAt(now))
	if wait > c.cfg.MaxRateLimitWait+cust.limit.burstFillTime() || (wait > 0 && now.Add(wait).After(r.Deadline)) {
		return refusal.New(refusal.CodeRateLimited, wait, "customer %s is over its rate of %g requests a second",
			cust.name, cust.contract.RequestsPerSecond)
	}
	if displaced != nil {
		c.displace(now, displaced)
	}
	return nil
}

// isQueueFull reports whether the customer's queue has no room for another request.
// If the whole VM's queue is full, a customer below half of an even share may still
// add to it; otherwise a few customers with many requests would exclude the others.
func (c *Controller) isQueueFull(cust *customer) bool {
	bound := cust.contract.MaxQueued
	if bound <= 0 {
		bound = DefaultMaxCustomerQueued
	}
	if cust.waitingCount >= bound {
		return true
	}
	return c.waitingCount >= c.cfg.MaxQueued && cust.waitingCount >= c.cfg.MaxQueued/(2*len(c.customers))
}

// queueDrainTime returns the time until half of the customer's queue is dispatched.
// Retrying at the first free place would collide with all other refused requests.
func (c *Controller) queueDrainTime(now time.Time, cust *customer) time.Duration {
	perSecond := cust.dispatches.Rate(now, customerDispatchWindow)
	if perSecond*customerDispatchWindow.Seconds() < 1 {
		return defaultRetryAfter
	}
	return clampRetryAfter(time.Duration(float64(cust.waitingCount) / 2 / perSecond * float64(time.Second)))
}

// checkDeadline returns a refusal if a new request will miss its deadline, and nil
// otherwise.
func (c *Controller) checkDeadline(now time.Time, r Request) *refusal.Refusal {
	if !now.Before(r.Deadline) {
		return refusal.New(refusal.CodeWaitTooLong, minRetryAfter, "the longest wait for %s is over already", r.Unit)
	}
	p := c.pools[r.Pool]
	if refused := c.checkServable(now, p, r); refused != nil {
		return refused
	}
	if refused, known := c.checkFleet(now, r); known {
		return refused
	}
	wait, ok := c.expectedQueueWait(now, r)
	if ok && p.willMissDeadline(now, &Ticket{Request: r}, wait) {
		return newQueueTooSlowRefusal(r, wait)
	}
	return nil
}

// NextExpiry returns when Expire must be called next if no other call comes first:
// when a ticket reaches its latest dispatch time, or when the rate limit may allow a
// held one. Every other call may change the result.
func (c *Controller) NextExpiry() (time.Time, bool) {
	if (c.recheckNeeded && c.waitingCount > 0) || (c.workspaces != nil && len(c.workspaces.displaced) > 0) {
		return c.lastNow, true
	}
	var next time.Time
	keepEarliest := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for _, p := range c.pools {
		if len(p.deadlines) > 0 {
			keepEarliest(p.latestDispatch(c.lastNow, p.deadlines[0]))
		}
	}
	for cust := range c.customersWithHeld {
		keepEarliest(c.lastNow.Add(cust.limit.tokenWait(c.lastNow, 1)))
	}
	return next, !next.IsZero()
}

// readyTime returns when a unit that is being loaded is expected to be ready. An
// adapter is not ready before its pool's base model.
func (c *Controller) readyTime(unit, pool string) (time.Time, bool) {
	at, ok := c.readyTimes[unit]
	if baseReadyAt, isLoading := c.readyTimes[pool]; isLoading && (!ok || baseReadyAt.After(at)) {
		return baseReadyAt, true
	}
	return at, ok
}

// SetReadyTime sets when a unit that is being loaded is expected to be ready. With
// known false it clears the time, as the unit is ready or the load failed. The next
// Expire refuses requests that cannot wait that long. A time in the past has no
// effect.
func (c *Controller) SetReadyTime(unit string, readyAt time.Time, known bool) {
	if !known {
		delete(c.readyTimes, unit)
		return
	}
	c.readyTimes[unit] = readyAt
	c.recheckNeeded = true
}
