package admission

import (
	"cmp"
	"slices"
	"strings"
)

// fitsPerUnit bounds how many waiting requests of one unit Next asks about: a
// few may have failed on the engine that is free, but if four don't fit, the
// unit has no room.
const fitsPerUnit = 4

// compareTickets orders one customer's tickets: priority, earliest deadline,
// arrival.
func compareTickets(a, b *Ticket) int {
	if c := cmp.Compare(b.Priority, a.Priority); c != 0 {
		return c
	}
	if c := a.Deadline.Compare(b.Deadline); c != 0 {
		return c
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// ticketList is tickets in the order of compareTickets.
type ticketList []*Ticket

func (l *ticketList) insert(t *Ticket) {
	i, _ := slices.BinarySearchFunc(*l, t, compareTickets)
	*l = slices.Insert(*l, i, t)
}

func (l *ticketList) remove(t *Ticket) {
	if i, found := slices.BinarySearchFunc(*l, t, compareTickets); found {
		*l = slices.Delete(*l, i, i+1)
	}
}

// flow is one customer's part of a pool.
type flow struct {
	customer string
	weight   float64
	waiting  ticketList
	running  float64 // cost handed out and not ended
	start    float64 // virtual time of its next turn
}

func compareFlows(a, b *flow) int {
	if c := cmp.Compare(a.start, b.start); c != 0 {
		return c
	}
	return strings.Compare(a.customer, b.customer)
}

// pool is the waiting requests of one base model, shared by start-time fair
// queueing: the customer with the lowest virtual start goes next, and each
// request moves its customer's start on by cost ÷ weight. So a burst moves only
// its own customer back.
type pool struct {
	flows map[string]*flow
	// active are the flows with waiting tickets, in the order of compareFlows.
	active []*flow
	// virtual is the highest virtual start served.
	virtual float64
	// misses counts tickets that did not fit, by unit, within one pick.
	misses map[string]int
}

func newPool() *pool {
	return &pool{flows: map[string]*flow{}, misses: map[string]int{}}
}

func (p *pool) activate(f *flow) {
	i, _ := slices.BinarySearchFunc(p.active, f, compareFlows)
	p.active = slices.Insert(p.active, i, f)
}

func (p *pool) deactivate(f *flow) {
	if i, found := slices.BinarySearchFunc(p.active, f, compareFlows); found {
		p.active = slices.Delete(p.active, i, i+1)
	}
}

func (p *pool) add(t *Ticket, weight float64) {
	f := p.flows[t.Customer]
	if f == nil {
		f = &flow{customer: t.Customer}
		p.flows[t.Customer] = f
	}
	f.weight = weight
	if len(f.waiting) == 0 {
		// An idle customer saves no turns up, else it could come back and shut
		// the others out.
		f.start = max(f.start, p.virtual)
		p.activate(f)
	}
	f.waiting.insert(t)
}

func (p *pool) remove(t *Ticket) {
	f := p.flows[t.Customer]
	if f == nil {
		return
	}
	f.waiting.remove(t)
	if len(f.waiting) == 0 {
		p.deactivate(f)
	}
}

// pick takes the ticket whose turn it is among those that fit.
func (p *pool) pick(fits func(*Ticket) bool) *Ticket {
	clear(p.misses)
	surplus := p.surplusAbove()
	for _, f := range p.active {
		for _, t := range f.waiting {
			if p.misses[t.Unit] >= fitsPerUnit {
				continue
			}
			t.Surplus = f.running/f.weight > surplus
			if fits == nil || fits(t) {
				p.serve(f, t)
				return t
			}
			p.misses[t.Unit]++
		}
	}
	return nil
}

// surplusAbove is the running cost per weight that is the even share.
func (p *pool) surplusAbove() float64 {
	var running, weight float64
	for _, f := range p.flows {
		if f.running > 0 || len(f.waiting) > 0 {
			running += f.running
			weight += f.weight
		}
	}
	if weight == 0 {
		return 0
	}
	return running / weight
}

// serve hands t out and charges its customer. A flow that was passed over, as
// its unit was not loaded, starts from the present virtual time: it has no claim
// to turns that it could not have used.
func (p *pool) serve(f *flow, t *Ticket) {
	p.deactivate(f)
	f.waiting.remove(t)
	p.virtual = max(p.virtual, f.start)
	t.charged = t.Cost / f.weight
	f.start = p.virtual + t.charged
	f.running += t.Cost
	if len(f.waiting) > 0 {
		p.activate(f)
	}
}

// release ends t's stay on an engine; what is left over from empty flows goes.
func (p *pool) release(t *Ticket) {
	f := p.flows[t.Customer]
	if f == nil {
		return
	}
	f.running = max(0, f.running-t.Cost)
	if f.running == 0 && len(f.waiting) == 0 && f.start <= p.virtual {
		delete(p.flows, t.Customer)
	}
}

// refund takes back the charge of an attempt in which nothing ran.
func (p *pool) refund(t *Ticket) {
	f := p.flows[t.Customer]
	if f == nil {
		return
	}
	listed := len(f.waiting) > 0
	if listed {
		p.deactivate(f)
	}
	f.start -= t.charged
	t.charged = 0
	if listed {
		p.activate(f)
	}
}
