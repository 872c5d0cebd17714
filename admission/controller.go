package admission

import (
	"cmp"
	"slices"
	"time"

	"bergamotreel/contract"
	"bergamotreel/refusal"
)

// Controller takes, orders and refuses the requests of one entry VM. It is not
// safe for concurrent use.
type Controller struct {
	cfg       Config
	customers map[string]*customer
	pools     map[string]*pool
	expected  map[string]time.Time // when a unit that is being loaded is ready
	fleet     fleet
	peersAt   time.Time // of the last SetPeers
	waiting   int
	sequence  uint64
}

// customer is one customer's state on this entry VM.
type customer struct {
	name     string
	contract *contract.Contract // nil once removed
	limit    *sharedLimit
	held     ticketList // accepted, waiting for the rate
	waiting  int        // held and queued
	running  int
}

// New makes a controller without contracts.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:       cfg.withDefaults(),
		customers: map[string]*customer{},
		pools:     map[string]*pool{},
		expected:  map[string]time.Time{},
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
		known.contract = k
		known.limit.set(k.RequestsPerSecond, k.Burst)
	}
	for name, known := range c.customers {
		if contracts[name] != nil {
			continue
		}
		known.contract = nil
		if known.waiting+known.running == 0 {
			delete(c.customers, name)
		}
	}
}

// SetVMs tells how many entry VMs are live, this one included, and how many of
// the others were heard lately.
func (c *Controller) SetVMs(live, heard int) {
	c.fleet = fleet{live: max(live, heard+1, 1), heard: max(heard, 0)}
}

// SetPeers gives the usage of the other entry VMs; customers that are left out
// are idle there.
func (c *Controller) SetPeers(now time.Time, usage map[string]PeerUsage) {
	c.peersAt = now
	for name, known := range c.customers {
		known.limit.peers = usage[name]
		known.limit.adjust(now, c.fleetAt(now))
	}
}

// fleetAt is the fleet as it must be taken now: with no news for PeersStale,
// the others may use all of their shares.
func (c *Controller) fleetAt(now time.Time) fleet {
	if now.Sub(c.peersAt) > c.cfg.PeersStale {
		return fleet{live: c.fleet.live}
	}
	return c.fleet
}

// Arrive takes a request, or refuses it: over its contract's rate or queue, or
// known to miss its longest wait. The ticket waits until Next hands it out.
func (c *Controller) Arrive(now time.Time, r Request) (*Ticket, *refusal.Refusal) {
	known := c.customers[r.Customer]
	if known == nil || known.contract == nil {
		return nil, refusal.New(refusal.CodeUnknownKey, 0, "no contract for customer %q", r.Customer)
	}
	known.limit.arrived.add(now, 1, UsageWindow)
	known.limit.adjust(now, c.fleetAt(now))
	c.release(now, known)
	if r.Cost <= 0 {
		r.Cost = 1
	}
	if refused := c.refuseArrival(now, known, r); refused != nil {
		return nil, refused
	}
	c.sequence++
	t := &Ticket{Request: r, sequence: c.sequence}
	c.waiting++
	known.waiting++
	if len(known.held) == 0 && known.limit.take(now) {
		c.enqueue(known, t)
		return t, nil
	}
	t.phase = phaseHeld
	known.held.insert(t)
	return t, nil
}

func (c *Controller) refuseArrival(now time.Time, known *customer, r Request) *refusal.Refusal {
	bound := known.contract.MaxQueued
	if bound <= 0 {
		bound = DefaultCustomerQueued
	}
	if known.waiting >= bound || c.waiting >= c.cfg.MaxQueued {
		return refusal.New(refusal.CodeQueueFull, time.Second, "%d requests of customer %s wait already", known.waiting, known.name)
	}
	wait := known.limit.wait(now, len(known.held)+1)
	if wait > c.cfg.MaxTokenWait || (wait > 0 && now.Add(wait).After(r.Deadline)) {
		return refusal.New(refusal.CodeRateLimited, wait, "customer %s is over its rate of %g requests a second", known.name, known.contract.RequestsPerSecond)
	}
	return c.tooLate(now, r)
}

// tooLate refuses a request that cannot make its longest wait.
func (c *Controller) tooLate(now time.Time, r Request) *refusal.Refusal {
	if !now.Before(r.Deadline) {
		return refusal.New(refusal.CodeWaitTooLong, time.Second, "%s was not ready within the longest wait", r.Unit)
	}
	at, known := c.expected[r.Unit]
	if known && at.After(r.Deadline) {
		return refusal.New(refusal.CodeWaitTooLong, at.Sub(now), "%s is expected in %s, after the longest wait", r.Unit, at.Sub(now).Round(time.Millisecond))
	}
	return nil
}

// release moves held tickets on as far as the customer's rate allows.
func (c *Controller) release(now time.Time, known *customer) {
	for len(known.held) > 0 && known.limit.take(now) {
		t := known.held[0]
		known.held.remove(t)
		c.enqueue(known, t)
	}
}

func (c *Controller) enqueue(known *customer, t *Ticket) {
	t.phase = phaseQueued
	p := c.pools[t.Pool]
	if p == nil {
		p = newPool()
		c.pools[t.Pool] = p
	}
	p.add(t, known.weight())
}

func (k *customer) weight() float64 {
	if k.contract == nil {
		return 1
	}
	return float64(max(k.contract.Weight, 1))
}

// Next takes the next ticket of the pool for which fits answers true: weighted
// fair between customers, then by priority, then by earliest deadline. It
// returns nil if there is none. fits may be asked about several tickets, and
// must not call the controller.
func (c *Controller) Next(now time.Time, poolName string, fits func(*Ticket) bool) *Ticket {
	for _, known := range c.customers {
		if len(known.held) > 0 {
			known.limit.adjust(now, c.fleetAt(now))
			c.release(now, known)
		}
	}
	p := c.pools[poolName]
	if p == nil {
		return nil
	}
	t := p.pick(func(t *Ticket) bool {
		return now.Before(t.Deadline) && (fits == nil || fits(t))
	})
	if t == nil {
		return nil
	}
	t.phase = phaseRunning
	t.Attempts++
	c.waiting--
	known := c.customers[t.Customer]
	known.waiting--
	known.running++
	return t
}

// Requeue puts back a ticket whose attempt ended before anything ran. It keeps
// its place: its priority, deadline and time of arrival, and it is not charged
// for the attempt. It ignores the queue bounds, as the ticket was accepted.
func (c *Controller) Requeue(now time.Time, t *Ticket) {
	if t.phase != phaseRunning {
		return
	}
	known := c.customers[t.Customer]
	known.running--
	known.waiting++
	c.waiting++
	p := c.pools[t.Pool]
	p.release(t)
	p.refund(t)
	c.enqueue(known, t)
}

// Finish ends a ticket that was handed out.
func (c *Controller) Finish(now time.Time, t *Ticket, o Outcome) {
	if t.phase != phaseRunning {
		return
	}
	c.end(t)
}

// Leave ends a ticket whose caller went away, at any point.
func (c *Controller) Leave(now time.Time, t *Ticket) { c.end(t) }

func (c *Controller) end(t *Ticket) {
	known := c.customers[t.Customer]
	switch t.phase {
	case phaseEnded:
		return
	case phaseHeld:
		known.held.remove(t)
	case phaseQueued:
		c.pools[t.Pool].remove(t)
	case phaseRunning:
		known.running--
		c.pools[t.Pool].release(t)
	}
	if t.phase != phaseRunning {
		known.waiting--
		c.waiting--
	}
	t.phase = phaseEnded
}

// Expire ends the waiting tickets that cannot make their longest wait any more
// and moves on those held for their customer's rate. The owner answers each
// with its refusal, then asks Next of each pool.
func (c *Controller) Expire(now time.Time) []Expired {
	var expired []Expired
	for _, known := range c.customers {
		known.limit.adjust(now, c.fleetAt(now))
		c.release(now, known)
	}
	for _, t := range c.tickets() {
		refused := c.tooLate(now, t.Request)
		if known := c.customers[t.Customer]; known.contract == nil {
			refused = refusal.New(refusal.CodeUnknownKey, 0, "the contract of customer %s has ended", t.Customer)
		}
		if refused == nil {
			continue
		}
		c.end(t)
		expired = append(expired, Expired{Ticket: t, Refusal: refused})
	}
	return expired
}

// tickets lists all waiting tickets by arrival.
func (c *Controller) tickets() []*Ticket {
	var all []*Ticket
	for _, known := range c.customers {
		all = append(all, known.held...)
	}
	for _, p := range c.pools {
		for _, f := range p.active {
			all = append(all, f.waiting...)
		}
	}
	slices.SortFunc(all, func(a, b *Ticket) int { return cmp.Compare(a.sequence, b.sequence) })
	return all
}

// NextExpiry is when Expire should be called next, if nothing else happens: a
// deadline passes, or a ticket held for its customer's rate may go on.
func (c *Controller) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, t := range c.tickets() {
		if next.IsZero() || t.Deadline.Before(next) {
			next = t.Deadline
		}
	}
	return next, !next.IsZero()
}

// Expect tells when capacity for a unit is expected, as a load of it is under
// way; known false forgets it, as the unit is ready or the load failed. The
// next Expire refuses those who cannot wait so long.
func (c *Controller) Expect(unit string, at time.Time, known bool) {
	if !known {
		delete(c.expected, unit)
		return
	}
	c.expected[unit] = at
}

// Usage is the traffic of each customer here, for the digest to the others.
func (c *Controller) Usage(now time.Time) []Usage {
	var usage []Usage
	for name, known := range c.customers {
		usage = append(usage, known.limit.announce(now, name))
	}
	slices.SortFunc(usage, func(a, b Usage) int { return cmp.Compare(a.Customer, b.Customer) })
	return usage
}

// Demand is what waits here, by unit and customer.
func (c *Controller) Demand(now time.Time) []Demand {
	type key struct{ unit, customer string }
	byKey := map[key]*Demand{}
	var order []key
	for _, t := range c.tickets() {
		k := key{t.Unit, t.Customer}
		d := byKey[k]
		if d == nil {
			d = &Demand{Unit: t.Unit, Customer: t.Customer, Earliest: t.Deadline, Priority: t.Priority}
			byKey[k] = d
			order = append(order, k)
		}
		d.Waiting++
		d.Priority = max(d.Priority, t.Priority)
		if t.Deadline.Before(d.Earliest) {
			d.Earliest = t.Deadline
		}
	}
	demand := make([]Demand, 0, len(order))
	for _, k := range order {
		demand = append(demand, *byKey[k])
	}
	return demand
}
