package admission

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// fitsPerUnit bounds how many waiting requests of one unit Next asks about: a
	// few may have failed on the engine that is free, but if four don't fit, the
	// unit has no room.
	fitsPerUnit = 4
	// flowIdle is how long a customer counts as present in a pool after its last
	// request: about the pause between two requests of one person.
	flowIdle = time.Minute
	// servedWeight is how much one request moves a pool's mean time of service.
	servedWeight = 0.05
	// servedLeast is how many requests the mean needs before it is believed.
	servedLeast = 8
	// costMost bounds what one request is charged after the fact, so that one
	// hung stream does not shut its customer out for long.
	costMost = 10
	// surplusMargin keeps rounding from marking a customer that is alone.
	surplusMargin = 1.001
	// surplusChance is how many standard deviations of independent arrivals over
	// surplusWindow a customer must be above its fair share: of 22 equals, one is
	// over by three every 16 looks.
	surplusChance = 3
	// surplusPeak is the part of the highest use from which a customer counts as
	// one of those that fill the pool.
	surplusPeak = 0.5
)

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
	paces    map[string]*pace // by unit, while some wait
	running  int
	start    float64 // virtual time of its next turn
	seen     time.Time
}

func (f *flow) idle() bool { return f.running == 0 && len(f.waiting) == 0 }

func compareFlows(a, b *flow) int {
	if c := cmp.Compare(a.start, b.start); c != 0 {
		return c
	}
	return strings.Compare(a.customer, b.customer)
}

// pool is the requests of one base model, shared by start-time fair queueing:
// the customer with the lowest virtual start goes next, and each request moves
// its customer's start on by cost ÷ weight. So a burst moves only its own
// customer back.
type pool struct {
	flows map[string]*flow
	// active are the flows with waiting tickets, in the order of compareFlows.
	active []*flow
	// virtual is the highest virtual start served.
	virtual float64
	// deadlines are the tickets that wait, those held for the rate included.
	deadlines deadlines
	tokens    firstTokens
	// served is the mean time a request takes a slot, in seconds.
	served      float64
	servedCount int
	// misses counts tickets that did not fit within one pick.
	misses map[miss]int
}

// miss is a kind of ticket that did not fit: one of a customer with surplus use
// says nothing about the others, for whom the reserve is kept.
type miss struct {
	unit    string
	surplus bool
}

func newPool() *pool {
	return &pool{flows: map[string]*flow{}, misses: map[miss]int{}}
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

// flow returns the customer's flow, a new one from the present virtual time.
func (p *pool) flow(customer string) *flow {
	f := p.flows[customer]
	if f == nil {
		f = &flow{customer: customer, start: p.virtual, paces: map[string]*pace{}}
		p.flows[customer] = f
	}
	return f
}

func (p *pool) add(now time.Time, t *Ticket, weight float64) {
	f := p.flow(t.Customer)
	f.weight = weight
	f.seen = now
	if len(f.waiting) == 0 {
		// An idle customer saves no turns up, else it could come back and shut
		// the others out.
		f.start = max(f.start, p.virtual)
		p.activate(f)
	}
	f.waiting.insert(t)
	if f.paces[t.Unit] == nil {
		f.paces[t.Unit] = &pace{since: now}
	}
	f.paces[t.Unit].waiting++
}

// remove takes a ticket that leaves without having been served.
func (p *pool) remove(t *Ticket) {
	f := p.flows[t.Customer]
	f.waiting.remove(t)
	f.paces[t.Unit].waiting--
	p.settle(f, t.Unit)
	if len(f.waiting) == 0 {
		p.deactivate(f)
	}
}

// settle forgets the unit's pace once none of it wait.
func (p *pool) settle(f *flow, unit string) {
	if f.paces[unit].waiting == 0 {
		delete(f.paces, unit)
	}
}

// pick takes the ticket whose turn it is among those that fit.
func (p *pool) pick(now time.Time, surplus func(*flow) bool, fits func(*Ticket) bool) *Ticket {
	clear(p.misses)
	for _, f := range p.active {
		over := surplus(f)
		for _, t := range f.waiting {
			kind := miss{unit: t.Unit, surplus: over}
			if p.misses[kind] >= fitsPerUnit {
				continue
			}
			t.OverFairShare = over
			if fits(t) {
				p.serve(now, f, t)
				return t
			}
			p.misses[kind]++
		}
	}
	return nil
}

// usage is what the customers of a pool use together.
type usage struct {
	sum, weight float64
	peak        float64 // the most that one uses, by its weight
}

// overFair tells whether a customer uses more than its fair share: above the
// even share by weight by more than chance, and not far below the one that uses
// most. Without the first, half of a pool of equals counted as over at any time,
// and waited behind the reserve with nobody bursting. The second spares customers
// that happen to send some requests more than usual beside a burst, which alone
// fills the pool.
func overFair(used, weight float64, all usage) bool {
	if all.weight <= 0 {
		return false
	}
	fair := all.sum * weight / all.weight
	chance := surplusChance * math.Sqrt(fair/(2*surplusWindow.Seconds()))
	return used > surplusMargin*fair+chance && used > surplusPeak*all.peak*weight
}

// serve hands t out and charges its customer. A flow that was passed over, as
// its unit was not loaded, starts from the present virtual time: it has no claim
// to turns that it could not have used.
func (p *pool) serve(now time.Time, f *flow, t *Ticket) {
	p.deactivate(f)
	f.waiting.remove(t)
	f.paces[t.Unit].serve(now)
	p.settle(f, t.Unit)
	p.virtual = max(p.virtual, f.start)
	t.charged = t.Cost / f.weight
	f.start = p.virtual + t.charged
	f.running++
	f.seen = now
	if len(f.waiting) > 0 {
		p.activate(f)
	}
}

// release ends t's stay on an engine, and charges its customer the difference
// between what the attempt cost and what it was expected to.
func (p *pool) release(now time.Time, t *Ticket, cost float64) {
	f := p.flows[t.Customer]
	f.running--
	f.seen = now
	listed := len(f.waiting) > 0
	if listed {
		p.deactivate(f)
	}
	f.start += cost/f.weight - t.charged
	t.charged = 0
	if listed {
		p.activate(f)
	}
}

// actualCost turns a time of service into cost.
func (p *pool) actualCost(t *Ticket, served time.Duration) float64 {
	if served <= 0 || p.servedCount < servedLeast || p.served <= 0 {
		return t.Cost
	}
	return min(served.Seconds()/p.served, costMost)
}

// learn feeds the estimates with a request that ended.
func (p *pool) learn(now time.Time, o Outcome) {
	if o.TimeToFirstToken > 0 {
		p.tokens.add(now, o.TimeToFirstToken)
	}
	if !o.OK || o.ServiceTime <= 0 {
		return
	}
	p.servedCount++
	weight := max(servedWeight, 1/float64(p.servedCount))
	p.served += weight * (o.ServiceTime.Seconds() - p.served)
}

// prune forgets flows that have been idle for flowIdle.
func (p *pool) prune(now time.Time) {
	for name, f := range p.flows {
		if f.idle() && now.Sub(f.seen) > flowIdle {
			delete(p.flows, name)
		}
	}
}

// latestStart is when a ticket must be dispatched to make its deadline: the
// quickest first token before it. At most half of the whole wait is taken off,
// as an engine that is slow now may be quick when its turn comes.
func (p *pool) latestStart(now time.Time, t *Ticket) time.Time {
	half := t.Deadline.Sub(t.Arrived) / 2
	return t.Deadline.Add(-min(p.tokens.quickest(now), max(half, 0)))
}
