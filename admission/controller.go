package admission

import (
	"time"

	"bergamotreel/contract"
	"bergamotreel/internal/meter"
	"bergamotreel/refusal"
)

// Controller takes, orders and refuses the requests of one entry VM. It is not
// safe for concurrent use.
type Controller struct {
	cfg       Config
	customers map[string]*customer
	// holding are the customers with tickets held for their rate.
	holding map[*customer]bool
	pools   map[string]*pool
	// expected is when a unit whose load is under way is ready.
	expected map[string]time.Time
	// rates is each pool's traffic over all entry VMs, as of the last SetPeers.
	rates map[string]usage

	fleet   fleet
	peersAt time.Time // of the last SetPeers
	lastNow time.Time // the newest time seen

	waiting  int
	sequence uint64
	// recheck is whether something changed that may make waiting tickets late.
	recheck   bool
	checkedAt time.Time
}

// customer is one customer's state on this entry VM.
type customer struct {
	name     string
	contract *contract.Contract // nil once removed
	pools    []string           // base models that the contract gives it
	limit    *sharedLimit
	held     ticketList // accepted, waiting for the rate
	waiting  int        // held and queued
	running  int
	drain    meter.Meter // waiting tickets that were dispatched
	rate     float64     // admitted over all entry VMs, requests a second
}

// New makes a controller without contracts, for a single entry VM until SetVMs.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:       cfg.withDefaults(),
		customers: map[string]*customer{},
		holding:   map[*customer]bool{},
		pools:     map[string]*pool{},
		expected:  map[string]time.Time{},
		rates:     map[string]usage{},
		fleet:     fleet{live: 1},
	}
}

// SetContracts puts the contracts in force. Requests that wait for a customer
// whose contract has ended are refused by the next Expire.
func (c *Controller) SetContracts(contracts map[string]*contract.Contract) {
	for name, k := range contracts {
		if k == nil {
			continue
		}
		known := c.customers[name]
		if known == nil {
			known = &customer{name: name, limit: newSharedLimit(k.RequestsPerSecond, k.Burst)}
			c.customers[name] = known
		}
		known.limit.set(k.RequestsPerSecond, k.Burst)
		if known.contract != k {
			known.contract = k
			known.pools = poolsOf(k)
		}
	}
	for name, known := range c.customers {
		if contracts[name] != nil {
			continue
		}
		known.contract = nil
		c.recheck = true
		c.forgetIfGone(known)
	}
}

func poolsOf(k *contract.Contract) []string {
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

func (c *Controller) forgetIfGone(known *customer) {
	if known.contract == nil && known.waiting+known.running == 0 {
		delete(c.customers, known.name)
	}
}

func (k *customer) weight() float64 {
	if k.contract == nil {
		return 1
	}
	return float64(max(k.contract.Weight, 1))
}

// Arrive takes a request, or refuses it: over its contract's rate or queue, or
// known to miss its longest wait. The ticket waits until Next hands it out.
func (c *Controller) Submit(now time.Time, r Request) (*Ticket, *refusal.Refusal) {
	c.lastNow = now
	known := c.customers[r.Customer]
	if known == nil || known.contract == nil {
		return nil, refusal.New(refusal.CodeUnknownKey, 0, "no contract for customer %q", r.Customer)
	}
	known.limit.arrived.Add(now, 1, UsageWindow)
	c.release(now, known)
	if r.Cost <= 0 {
		r.Cost = 1
	}
	if refused := c.refuseArrival(now, known, r); refused != nil {
		return nil, refused
	}
	c.sequence++
	t := &Ticket{Request: r, sequence: c.sequence}
	c.wait(t)
	if len(known.held) == 0 && known.limit.take(now) {
		c.enqueue(now, known, t)
		return t, nil
	}
	known.held.insert(t)
	known.limit.held = len(known.held)
	c.holding[known] = true
	return t, nil
}

// wait counts a ticket as waiting.
func (c *Controller) wait(t *Ticket) {
	c.waiting++
	c.customers[t.Customer].waiting++
	c.pool(t.Pool).deadlines.add(t)
}

// unwait ends what wait began.
func (c *Controller) unwait(t *Ticket) {
	c.waiting--
	c.customers[t.Customer].waiting--
	c.pools[t.Pool].deadlines.remove(t)
}

func (c *Controller) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = newPool()
		c.pools[name] = p
	}
	return p
}

// release moves a customer's held tickets on as far as its rate allows.
func (c *Controller) release(now time.Time, known *customer) {
	known.limit.adjust(now, c.fleetAt(now))
	for len(known.held) > 0 && known.limit.take(now) {
		t := known.held[0]
		c.unhold(known, t)
		c.enqueue(now, known, t)
	}
}

func (c *Controller) releaseAll(now time.Time) {
	for known := range c.holding {
		c.release(now, known)
	}
}

func (c *Controller) unhold(known *customer, t *Ticket) {
	known.held.remove(t)
	known.limit.held = len(known.held)
	if len(known.held) == 0 {
		delete(c.holding, known)
	}
}

func (c *Controller) enqueue(now time.Time, known *customer, t *Ticket) {
	t.phase = phaseQueued
	c.pool(t.Pool).add(now, t, known.weight())
}

// Next takes the next ticket of the pool for which fits answers true: weighted
// fair between customers, then by priority, then by earliest deadline. It
// returns nil if there is none. fits may be asked about several tickets, and
// must not call the controller.
func (c *Controller) Next(now time.Time, poolName string, fits func(*Ticket) bool) *Ticket {
	c.lastNow = now
	c.releaseAll(now)
	p := c.pools[poolName]
	if p == nil || len(p.active) == 0 {
		return nil
	}
	inTime := func(t *Ticket) bool {
		return now.Before(t.Deadline) && (fits == nil || fits(t))
	}
	surplus := func(f *flow) bool { return c.surplus(poolName, f) }
	t := p.pick(now, surplus, inTime)
	if t == nil {
		return nil
	}
	c.unwait(t)
	t.phase = phaseRunning
	t.Attempts++
	t.dispatched = now
	known := c.customers[t.Customer]
	known.running++
	known.drain.Add(now, 1, drainWindow)
	return t
}

// surplus tells whether a customer uses more than its fair share of a pool, by
// its traffic at all entry VMs. What runs from here would say little: a burst may
// be alone on its VM, and a bystander the largest on another. A customer whose
// requests are held here is over its contract's rate: what it may still send
// waits behind the others' requests as well.
func (c *Controller) surplus(poolName string, f *flow) bool {
	known := c.customers[f.customer]
	all := c.rates[poolName]
	if len(known.held) > 0 && all.weight > f.weight {
		return true
	}
	return overFair(known.rate, f.weight, all)
}

// Requeue puts back a ticket whose attempt ended before anything ran. It keeps
// its place: its priority, deadline and time of arrival, and it is not charged
// for the attempt. It ignores the queue bounds, as the ticket was accepted.
func (c *Controller) Requeue(now time.Time, t *Ticket) {
	c.lastNow = now
	if t.phase != phaseRunning {
		return
	}
	known := c.customers[t.Customer]
	known.running--
	c.pools[t.Pool].release(now, t, 0)
	c.wait(t)
	c.enqueue(now, known, t)
	c.recheck = c.recheck || known.contract == nil
	if _, loading := c.expected[t.Unit]; loading {
		c.recheck = true
	}
}

// Finish ends a ticket that was handed out.
func (c *Controller) Finish(now time.Time, t *Ticket, o Outcome) {
	c.lastNow = now
	if t.phase != phaseRunning {
		return
	}
	p := c.pools[t.Pool]
	p.learn(now, o)
	c.end(now, t, o.ServiceTime)
}

// Leave ends a ticket whose caller went away, at any point.
func (c *Controller) Cancel(now time.Time, t *Ticket) {
	c.lastNow = now
	c.end(now, t, now.Sub(t.dispatched))
}

// end is the one end of a ticket. served counts only for one that was running.
func (c *Controller) end(now time.Time, t *Ticket, served time.Duration) {
	if t.phase == phaseEnded {
		return
	}
	known := c.customers[t.Customer]
	p := c.pools[t.Pool]
	switch t.phase {
	case phaseHeld:
		c.unhold(known, t)
	case phaseQueued:
		p.remove(t)
	case phaseRunning:
		known.running--
		p.release(now, t, p.actualCost(t, served))
	}
	if t.waits() {
		c.unwait(t)
	}
	t.phase = phaseEnded
	c.forgetIfGone(known)
}
