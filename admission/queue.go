package admission

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// maxFitFailuresPerUnit limits how many waiting requests of one unit may fail fits in
	// one call of Next. Some may have failed on the free engine before, but if four
	// don't fit, the unit has no free capacity.
	maxFitFailuresPerUnit = 4
	// flowIdleTTL is how long a customer's flow is kept after its last request. It is
	// about the pause between two requests of one person.
	flowIdleTTL = time.Minute
	// minServiceTimeWeight is the least weight of one request in a pool's mean service
	// time.
	minServiceTimeWeight = 0.05
	// minServiceTimeSamples is how many requests the mean needs before it is used.
	minServiceTimeSamples = 8
	// maxCost limits what a finished request is charged, so that one hung stream does
	// not exclude its customer for long.
	maxCost = 10
	// fairShareMargin prevents rounding errors from marking a customer that is alone
	// in its pool.
	fairShareMargin = 1.001
	// fairShareStdDevs is by how many standard deviations of independent arrivals over
	// fairShareWindow a customer must exceed its fair share. With three, some customer
	// among 22 with equal traffic is wrongly marked in one check of 16; this becomes rarer
	// as the customers' request rate rises.
	fairShareStdDevs = 3
	// minPeakFraction is the fraction of the highest usage by weight above which a
	// customer counts as one of those that fill the pool.
	minPeakFraction = 0.5
)

// compareTickets orders one customer's tickets by priority, then deadline, then
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

// ticketList is a list of tickets sorted by compareTickets.
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

// flow is one customer's requests in a pool, or those of one of its workspaces.
type flow struct {
	key           flowKey
	weight        float64
	waiting       ticketList
	dispatchRates map[string]*dispatchRate // by unit, while any requests wait
	runningCount  int
	virtualStart  float64 // virtual start time of its next request
	lastUsed      time.Time
}

func (f *flow) isIdle() bool { return f.runningCount == 0 && len(f.waiting) == 0 }

func compareFlows(a, b *flow) int {
	if c := cmp.Compare(a.virtualStart, b.virtualStart); c != 0 {
		return c
	}
	return cmp.Or(strings.Compare(a.key.customer, b.key.customer), strings.Compare(a.key.workspace, b.key.workspace))
}

// pool holds the requests of one base model and shares its engines by start-time
// fair queueing: the customer with the lowest virtual start time goes next, and each
// request advances its customer's start time by cost ÷ weight. So a burst delays
// only its own customer.
type pool struct {
	flows map[flowKey]*flow
	// backlogged are the flows with waiting tickets, sorted by compareFlows.
	backlogged []*flow
	// virtualTime is the highest virtual start time that was dispatched.
	virtualTime float64
	// deadlines are the waiting tickets, including those held for the rate limit.
	deadlines   deadlineHeap
	firstTokens firstTokenTimes
	// meanServiceSeconds is the mean time for which a request occupies a slot.
	meanServiceSeconds float64
	serviceTimeSamples int
	// fitFailures counts the tickets for which fits returned false in one call of pick.
	fitFailures map[fitFailureKey]int
	// within, over and next are buffers of pickFair.
	within, over []*flow
	next         []int
	// mayDispatch returns false for tickets that wait for more urgent ones of other VMs. It
	// may be nil.
	mayDispatch func(*Ticket) bool
}

// fitFailureKey groups tickets that did not fit. That a ticket of a customer over its fair
// share did not fit implies nothing for the others, as the reserved slots are kept for
// them.
type fitFailureKey struct {
	unit          string
	overFairShare bool
}

func newPool() *pool {
	return &pool{flows: map[flowKey]*flow{}, fitFailures: map[fitFailureKey]int{}}
}

func (p *pool) insertBacklogged(f *flow) {
	i, _ := slices.BinarySearchFunc(p.backlogged, f, compareFlows)
	p.backlogged = slices.Insert(p.backlogged, i, f)
}

func (p *pool) removeBacklogged(f *flow) {
	if i, found := slices.BinarySearchFunc(p.backlogged, f, compareFlows); found {
		p.backlogged = slices.Delete(p.backlogged, i, i+1)
	}
}

// flowFor returns a flow. A new one starts at the current virtual time.
func (p *pool) flowFor(key flowKey) *flow {
	f := p.flows[key]
	if f == nil {
		f = &flow{key: key, virtualStart: p.virtualTime, dispatchRates: map[string]*dispatchRate{}}
		p.flows[key] = f
	}
	return f
}

func (p *pool) addTicket(now time.Time, t *Ticket, key flowKey, weight float64) {
	f := p.flowFor(key)
	t.flow = f
	f.weight = weight
	f.lastUsed = now
	if len(f.waiting) == 0 {
		// A customer accumulates no claim while idle; otherwise it could exclude the
		// others when it returns.
		f.virtualStart = max(f.virtualStart, p.virtualTime)
		p.insertBacklogged(f)
	}
	f.waiting.insert(t)
	if f.dispatchRates[t.Unit] == nil {
		f.dispatchRates[t.Unit] = &dispatchRate{backlogStart: now}
	}
	f.dispatchRates[t.Unit].waiting++
}

// removeTicket removes a waiting ticket that was not dispatched.
func (p *pool) removeTicket(t *Ticket) {
	f := t.flow
	f.waiting.remove(t)
	f.dispatchRates[t.Unit].waiting--
	p.dropUnusedRate(f, t.Unit)
	if len(f.waiting) == 0 {
		p.removeBacklogged(f)
	}
}

// dropUnusedRate discards the unit's dispatch rate once none of its requests wait.
func (p *pool) dropUnusedRate(f *flow, unit string) {
	if f.dispatchRates[unit].waiting == 0 {
		delete(f.dispatchRates, unit)
	}
}

// pick dispatches and returns the next ticket in fair order that fits.
func (p *pool) pick(now time.Time, isOverFairShare func(*flow) bool, fits func(*Ticket) bool) *Ticket {
	clear(p.fitFailures)
	for _, f := range p.backlogged {
		overFairShare := isOverFairShare(f)
		for _, t := range f.waiting {
			if p.tryDispatch(now, f, t, overFairShare, fits) {
				return t
			}
		}
	}
	return nil
}

// tryDispatch dispatches a waiting ticket of a flow if it may be dispatched and fits.
func (p *pool) tryDispatch(now time.Time, f *flow, t *Ticket, overFairShare bool, fits func(*Ticket) bool) bool {
	key := fitFailureKey{unit: t.Unit, overFairShare: overFairShare}
	if p.fitFailures[key] >= maxFitFailuresPerUnit {
		return false
	}
	t.OverFairShare = overFairShare
	if p.mayDispatch != nil && !p.mayDispatch(t) {
		return false
	}
	if !fits(t) {
		p.fitFailures[key]++
		return false
	}
	p.dispatchTicket(now, f, t)
	return true
}

// poolUsage is the total usage of a pool's customers.
type poolUsage struct {
	rate, weight      float64
	peakRatePerWeight float64 // the highest rate of one customer, divided by its weight
}

// exceedsFairShare reports whether a customer uses more than its fair share: more
// than its share by weight, beyond random variation, and not far below the highest
// usage. Without the allowance for random variation, half of a pool of equal
// customers count as over their share at any time and wait behind the reserve
// although nobody sends a burst. The comparison with the highest usage spares
// customers with slightly more requests than usual next to a burst, which alone
// fills the pool.
func exceedsFairShare(used, weight float64, total poolUsage) bool {
	if total.weight <= 0 {
		return false
	}
	fairShare := total.rate * weight / total.weight
	chanceMargin := fairShareStdDevs * math.Sqrt(fairShare/(2*fairShareWindow.Seconds()))
	return used > fairShareMargin*fairShare+chanceMargin && used > minPeakFraction*total.peakRatePerWeight*weight
}

// dispatchTicket moves t from waiting to running and charges its customer. A flow
// that was passed over because its unit was not loaded starts from the current
// virtual time: it has no claim to turns that it could not have used.
func (p *pool) dispatchTicket(now time.Time, f *flow, t *Ticket) {
	p.removeBacklogged(f)
	f.waiting.remove(t)
	f.dispatchRates[t.Unit].recordDispatch(now)
	p.dropUnusedRate(f, t.Unit)
	p.virtualTime = max(p.virtualTime, f.virtualStart)
	t.chargedVirtualTime = t.Cost / f.weight
	f.virtualStart = p.virtualTime + t.chargedVirtualTime
	f.runningCount++
	f.lastUsed = now
	if len(f.waiting) > 0 {
		p.insertBacklogged(f)
	}
}

// releaseSlot ends t's occupation of an engine and charges its customer the
// difference between the attempt's actual and expected cost.
func (p *pool) releaseSlot(now time.Time, t *Ticket, cost float64) {
	f := t.flow
	f.runningCount--
	f.lastUsed = now
	isBacklogged := len(f.waiting) > 0
	if isBacklogged {
		p.removeBacklogged(f)
	}
	f.virtualStart += cost/f.weight - t.chargedVirtualTime
	t.chargedVirtualTime = 0
	if isBacklogged {
		p.insertBacklogged(f)
	}
}

// actualCost converts a service time to a cost. It returns the expected cost if the
// service time or the mean is unknown.
func (p *pool) actualCost(t *Ticket, serviceTime time.Duration) float64 {
	if serviceTime <= 0 || p.serviceTimeSamples < minServiceTimeSamples || p.meanServiceSeconds <= 0 {
		return t.Cost
	}
	return min(serviceTime.Seconds()/p.meanServiceSeconds, maxCost)
}

// recordOutcome updates the estimates with a finished request.
func (p *pool) recordOutcome(now time.Time, o Outcome) {
	if o.TimeToFirstToken > 0 {
		p.firstTokens.add(now, o.TimeToFirstToken)
	}
	if !o.OK || o.ServiceTime <= 0 {
		return
	}
	p.serviceTimeSamples++
	weight := max(minServiceTimeWeight, 1/float64(p.serviceTimeSamples))
	p.meanServiceSeconds += weight * (o.ServiceTime.Seconds() - p.meanServiceSeconds)
}

// pruneIdleFlows deletes flows that have been idle for flowIdleTTL.
func (p *pool) pruneIdleFlows(now time.Time) {
	for name, f := range p.flows {
		if f.isIdle() && now.Sub(f.lastUsed) > flowIdleTTL {
			delete(p.flows, name)
		}
	}
}

// latestDispatch returns when a ticket must be dispatched to meet its deadline: the
// deadline less the shortest recent time to first token. At most half of the whole
// wait is subtracted, as an engine that is slow now may be fast by then.
func (p *pool) latestDispatch(now time.Time, t *Ticket) time.Time {
	halfWait := t.Deadline.Sub(t.Arrived) / 2
	return t.Deadline.Add(-min(p.firstTokens.minTime(now), max(halfWait, 0)))
}
