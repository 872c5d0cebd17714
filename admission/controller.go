package admission

import (
	"time"

	"bergamotreel/admission/fairshare"
	"bergamotreel/contract"
	"bergamotreel/internal/meter"
	"bergamotreel/refusal"
)

// Controller accepts, orders and refuses the requests of one entry VM. It is not
// safe for concurrent use.
type Controller struct {
	cfg       Config
	customers map[string]*customer
	// customersWithHeld are the customers with tickets held for their rate limit.
	customersWithHeld map[*customer]bool
	pools             map[string]*pool
	// readyTimes is when each unit that is being loaded is expected to be ready.
	readyTimes map[string]time.Time
	// poolUsage is each pool's usage over all entry VMs as of the last SetPeerUsage.
	poolUsage map[string]poolUsage

	// workspaces shares pools between workspaces, nil unless Config.FairWorkspaces is set.
	workspaces *workspaceShares

	fleet       fleet
	peerUsageAt time.Time // time of the last SetPeerUsage
	lastNow     time.Time // time of the last call

	waitingCount int
	sequence     uint64
	// recheckNeeded is whether something changed that may make waiting tickets miss
	// their deadlines, so that the next Expire must check all of them.
	recheckNeeded bool
	checkedAt     time.Time
}

// customer is one customer's state on this entry VM.
type customer struct {
	name         string
	contract     *contract.Contract // nil after it was removed
	pools        []string           // base models in the contract
	limit        *sharedLimit
	held         ticketList // waiting for the rate limit
	waitingCount int        // held and queued tickets
	runningCount int
	dispatches   meter.Meter // rate of dispatched tickets
	admittedRate float64     // smoothed, over all entry VMs, in requests per second
}

// New returns a Controller without contracts that assumes a single entry VM until
// SetVMs is called.
func New(cfg Config) *Controller {
	c := &Controller{
		cfg:               cfg.withDefaults(),
		customers:         map[string]*customer{},
		customersWithHeld: map[*customer]bool{},
		pools:             map[string]*pool{},
		readyTimes:        map[string]time.Time{},
		poolUsage:         map[string]poolUsage{},
		fleet:             fleet{liveVMs: 1},
	}
	if cfg.FairWorkspaces {
		c.workspaces = &workspaceShares{meter: fairshare.NewMeter(), shares: fairshare.NewShares()}
	}
	return c
}

// SetContracts replaces the contracts. Waiting requests of a customer whose
// contract was removed are refused by the next Expire.
func (c *Controller) SetContracts(contracts map[string]*contract.Contract) {
	for name, k := range contracts {
		if k == nil {
			continue
		}
		cust := c.customers[name]
		if cust == nil {
			cust = &customer{name: name, limit: newSharedLimit(k.RequestsPerSecond, k.Burst)}
			c.customers[name] = cust
		}
		cust.limit.setRate(k.RequestsPerSecond, k.Burst)
		if cust.contract != k {
			cust.contract = k
			cust.pools = contractPools(k)
		}
	}
	for name, cust := range c.customers {
		if contracts[name] != nil {
			continue
		}
		cust.contract = nil
		c.recheckNeeded = true
		c.deleteIfUnused(cust)
	}
}

func contractPools(k *contract.Contract) []string {
	var pools []string
	seen := map[string]bool{}
	for _, unit := range k.Units() {
		name := unit.Base
		if name == "" {
			name = unit.Name
		}
		if !seen[name] {
			seen[name] = true
			pools = append(pools, name)
		}
	}
	return pools
}

func (c *Controller) deleteIfUnused(cust *customer) {
	if cust.contract == nil && cust.waitingCount+cust.runningCount == 0 {
		delete(c.customers, cust.name)
	}
}

func (cust *customer) weight() float64 {
	if cust.contract == nil {
		return 1
	}
	return float64(max(cust.contract.Weight, 1))
}

// Submit accepts a request, or refuses it because it exceeds its contract's rate
// or queue limit or will miss its deadline. An accepted ticket waits until Next
// dispatches it.
func (c *Controller) Submit(now time.Time, r Request) (*Ticket, *refusal.Refusal) {
	c.lastNow = now
	cust := c.customers[r.Customer]
	if cust == nil || cust.contract == nil {
		return nil, refusal.New(refusal.CodeUnknownKey, 0, "no contract for customer %q", r.Customer)
	}
	cust.limit.arrivals.Add(now, 1, UsageWindow)
	c.recordFleetArrival(now, r)
	c.releaseHeld(now, cust)
	if r.Cost <= 0 {
		r.Cost = 1
	}
	if refused := c.checkArrival(now, cust, r); refused != nil {
		c.noteRefusal(now, &r, refused)
		return nil, refused
	}
	c.sequence++
	t := &Ticket{Request: r, sequence: c.sequence}
	c.addWaiting(now, t)
	if len(cust.held) == 0 && cust.limit.tryTake(now) {
		c.enqueue(now, cust, t)
		return t, nil
	}
	cust.held.insert(t)
	cust.limit.heldCount = len(cust.held)
	c.customersWithHeld[cust] = true
	return t, nil
}

// addWaiting counts a ticket as waiting.
func (c *Controller) addWaiting(now time.Time, t *Ticket) {
	c.recordWait(now, &t.Request, 1)
	c.waitingCount++
	c.customers[t.Customer].waitingCount++
	c.poolFor(t.Pool).deadlines.add(t)
}

// removeWaiting reverts addWaiting.
func (c *Controller) removeWaiting(now time.Time, t *Ticket) {
	c.recordWait(now, &t.Request, -1)
	c.waitingCount--
	c.customers[t.Customer].waitingCount--
	c.pools[t.Pool].deadlines.remove(t)
}

func (c *Controller) poolFor(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = newPool()
		c.pools[name] = p
	}
	return p
}

// releaseHeld queues as many of a customer's held tickets as its rate allows.
func (c *Controller) releaseHeld(now time.Time, cust *customer) {
	cust.limit.adjustBucket(now, c.fleetAt(now))
	for len(cust.held) > 0 && cust.limit.tryTake(now) {
		t := cust.held[0]
		c.removeHeld(cust, t)
		c.enqueue(now, cust, t)
	}
}

func (c *Controller) releaseAllHeld(now time.Time) {
	for cust := range c.customersWithHeld {
		c.releaseHeld(now, cust)
	}
}

func (c *Controller) removeHeld(cust *customer, t *Ticket) {
	cust.held.remove(t)
	cust.limit.heldCount = len(cust.held)
	if len(cust.held) == 0 {
		delete(c.customersWithHeld, cust)
	}
}

func (c *Controller) enqueue(now time.Time, cust *customer, t *Ticket) {
	t.phase = phaseQueued
	p := c.poolFor(t.Pool)
	key, weight := c.flowKeyOf(cust, p, &t.Request)
	p.addTicket(now, t, key, weight)
	c.recordFleetWaiting(now, t)
}

// Next dispatches the next ticket of the pool for which fits returns true. It
// selects by weighted fair queueing between customers, then by priority, then by
// earliest deadline, and returns nil if no ticket fits. It may call fits for
// several tickets; fits must not call the controller.
func (c *Controller) Next(now time.Time, poolName string, fits func(*Ticket) bool) *Ticket {
	c.lastNow = now
	c.releaseAllHeld(now)
	p := c.pools[poolName]
	if p == nil || len(p.backlogged) == 0 {
		return nil
	}
	canDispatch := func(t *Ticket) bool {
		return now.Before(t.Deadline) && (fits == nil || fits(t))
	}
	isOverFairShare := func(f *flow) bool { return c.isOverFairShare(poolName, f) }
	p.mayDispatch = c.fleetGate(now, canDispatch)
	var t *Ticket
	if c.workspaces == nil {
		t = p.pick(now, isOverFairShare, canDispatch)
	} else {
		t = p.pickFair(now, func(f *flow) bool { return c.isWorkspaceOver(now, &f.waiting[0].Request) || isOverFairShare(f) }, canDispatch)
	}
	if t == nil {
		return nil
	}
	c.recordFleetDispatch(now, t)
	c.removeWaiting(now, t)
	c.recordRun(now, &t.Request, 1)
	if c.isWorkspaceOver(now, &t.Request) {
		c.workspaces.stats.DispatchedOverShare++
	}
	t.phase = phaseRunning
	t.Attempts++
	t.dispatchedAt = now
	cust := c.customers[t.Customer]
	cust.runningCount++
	cust.dispatches.Add(now, 1, customerDispatchWindow)
	return t
}

// isOverFairShare reports whether a customer uses more than its fair share of a
// pool, by its traffic on all entry VMs. The requests that run from this VM alone
// would mislead: a bursting customer may be the only one on its VM, and a customer
// with normal traffic may be the largest on another. A customer with held requests
// exceeds its contract's rate, so its remaining requests also wait behind those of
// other customers.
func (c *Controller) isOverFairShare(poolName string, f *flow) bool {
	cust := c.customers[f.key.customer]
	total, weight := c.poolUsage[poolName], f.weight
	if c.workspaces != nil {
		weight = cust.weight() // the flow is one of several
	}
	if len(cust.held) > 0 && total.weight > weight {
		return true
	}
	return exceedsFairShare(cust.admittedRate, weight, total)
}

// Requeue puts back a ticket whose attempt ended. The ticket keeps its priority,
// deadline and arrival order, and its customer is not charged
// for the attempt. Queue limits don't apply, as the ticket was accepted already.
func (c *Controller) Requeue(now time.Time, t *Ticket) {
	c.lastNow = now
	if t.phase != phaseRunning {
		return
	}
	cust := c.customers[t.Customer]
	cust.runningCount--
	c.recordRun(now, &t.Request, -1)
	c.pools[t.Pool].releaseSlot(now, t, 0)
	c.addWaiting(now, t)
	c.recordFleetUndo(now, t)
	c.enqueue(now, cust, t)
	c.recheckNeeded = c.recheckNeeded || cust.contract == nil
	if _, loading := c.readyTimes[t.Unit]; loading {
		c.recheckNeeded = true
	}
}

// SetDeadline changes the deadline of a running ticket, for its next wait. It does nothing
// to any other ticket: the order of waiting tickets depends on their deadlines.
func (c *Controller) SetDeadline(t *Ticket, deadline time.Time) {
	if t.phase == phaseRunning {
		t.Deadline = deadline
	}
}

// SetUnit changes the unit of a running ticket, for its next wait, to another one of its pool. It
// does nothing to any other ticket: waiting tickets are counted by unit.
func (c *Controller) SetUnit(t *Ticket, unit string) {
	if t.phase == phaseRunning {
		t.Unit = unit
	}
}

// Finish ends a dispatched ticket.
func (c *Controller) Finish(now time.Time, t *Ticket, o Outcome) {
	c.lastNow = now
	if t.phase != phaseRunning {
		return
	}
	p := c.pools[t.Pool]
	p.recordOutcome(now, o)
	c.endTicket(now, t, o.ServiceTime)
}

// Cancel ends a ticket in any phase, after its caller disconnected.
func (c *Controller) Cancel(now time.Time, t *Ticket) {
	c.lastNow = now
	c.endTicket(now, t, now.Sub(t.dispatchedAt))
}

// endTicket ends a ticket in any phase. serviceTime counts only if it was running.
func (c *Controller) endTicket(now time.Time, t *Ticket, serviceTime time.Duration) {
	if t.phase == phaseEnded {
		return
	}
	cust := c.customers[t.Customer]
	p := c.pools[t.Pool]
	switch t.phase {
	case phaseHeld:
		c.removeHeld(cust, t)
	case phaseQueued:
		p.removeTicket(t)
		c.recordFleetLeft(now, t)
	case phaseRunning:
		cust.runningCount--
		c.recordRun(now, &t.Request, -1)
		p.releaseSlot(now, t, p.actualCost(t, serviceTime))
	}
	if t.isWaiting() {
		c.removeWaiting(now, t)
	}
	t.phase = phaseEnded
	c.deleteIfUnused(cust)
}
