package planner

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"bergamotreel/internal/fleet"
	"bergamotreel/placement"
	"bergamotreel/state"
)

const (
	// useEvery bounds how often the use of all engines is looked at: each look
	// costs what there are engines in use, and plans are made up to 50 times a
	// second. It is a heartbeat: other VMs tell theirs no more often.
	usageInterval = 500 * time.Millisecond
	// auditEvery is in which time each engine is looked at anew at least once: 33 a
	// second of 10,000, which is under a tenth of what may be spent.
	auditInterval = 5 * time.Minute
)

// cache is what the planner keeps of all engines and of its own units from one
// plan to the next, so that a plan costs what changed. One goroutine owns it.
//
// Failure: an engine that changes without being named by the fleet's or the
// state's changes would stay as it was in the cache. The symptom is a decision
// that the fold turns down again and again, while its requests wait. So each
// engine is read anew once in auditEvery, whatever was heard of it; until then
// the fold still refuses what would overcommit the engine.
type cache struct {
	fleet   *placement.Fleet
	engines map[string]*cachedEngine
	// dirty are the engines to be made anew in the fleet.
	dirty map[string]struct{}
	// audit are the engines that are still to be looked at in this round of the
	// audit, which began at auditAt.
	auditQueue []string
	auditedAt  time.Time
	// audited is how many there were when it began.
	auditSize int
	rechecks  recheckQueue
	// cursor is how far the state's changes have been read.
	cursor   state.Cursor
	ownUnits ownUnits
	// needed are the names of the own units and of their bases.
	needed map[string]bool
	// lost are the engines that left the VM list since the last plan.
	removed map[string]bool
	// back are silent engines to be read before the next plan.
	reloads map[string]struct{}
	// busy are the engines with running requests, sick those that the router keeps
	// away from; both were read at usedAt.
	runningEngines []*cachedEngine
	unhealthy      map[string]bool
	usageReadAt    time.Time
	// looks numbers the looks at use.
	usageRound uint64
	// loading counts the loads that take from the weight store now, as agreed in
	// the log: so each planner sees those of the others before an engine reports
	// them.
	loadsInFlight int
}

// seenEngine is an engine as last read from the fleet of this VM.
type cachedEngine struct {
	fleet.Engine
	// gone is whether it has left since or went silent, reachable as in the
	// cache, and needed whether it holds a unit of cache.needed.
	dropped, reachable, needed bool
	// running is how many requests run on it, as of the look at use that is
	// numbered look.
	running    int
	usageRound uint64
	// countUntil is until when the first of its holdings counts as in use, zero if
	// none does.
	inUseUntil time.Time
	// recheck is when time alone may change something about it, zero for never.
	recheckAt time.Time
}

// news is what was asked of others before a plan.
type planInput struct {
	now    time.Time
	demand []placement.Demand
	share  Share
	// aged are engines with holdings that no longer count as in use.
	noLongerInUse []*cachedEngine
	// useRead is whether running and sick were read.
	hasUsage  bool
	running   map[string]int
	unhealthy map[string]bool
}

func newCache() *cache {
	return &cache{
		fleet: placement.NewFleet(), engines: make(map[string]*cachedEngine), dirty: make(map[string]struct{}),
		reloads: make(map[string]struct{}), removed: make(map[string]bool),
	}
}

// look asks others what is new. It takes their locks, so it is called with none.
func (p *Planner) collectUpdates(now time.Time) planInput {
	c := p.cache
	for _, address := range p.config.ChangedEngines() {
		c.readEngine(address, p.config.LookupEngine)
		c.dirty[address] = struct{}{}
	}
	for _, address := range c.nextAuditBatch(now) {
		c.readEngine(address, p.config.LookupEngine)
		c.dirty[address] = struct{}{}
	}
	in := planInput{now: now, demand: p.config.Demand(), share: p.config.Share()}
	p.reloadSilent(in.share)
	for _, cached := range c.popDue(now) {
		c.readEngine(cached.VM.Address, p.config.LookupEngine)
		if cached.dropped || cached.reachable != isReachable(now, cached.Engine) || isSilent(now, cached.Engine) && !cached.needed {
			c.dirty[cached.VM.Address] = struct{}{}
			continue
		}
		c.scheduleRecheck(cached)
		if !cached.inUseUntil.IsZero() && !now.Before(cached.inUseUntil) {
			in.noLongerInUse = append(in.noLongerInUse, cached)
		}
	}
	if now.Sub(c.usageReadAt) >= usageInterval {
		c.usageReadAt = now
		in.hasUsage, in.running, in.unhealthy = true, p.config.RunningRequests(), p.config.UnavailableEngines()
	}
	return in
}

// read takes an engine as the fleet of this VM has it.
func (c *cache) readEngine(address string, engine func(string) (fleet.Engine, bool)) {
	e, exists := engine(address)
	if !exists {
		if cached := c.engines[address]; cached != nil {
			cached.dropped = true
		}
		delete(c.engines, address)
		c.removed[address] = true
		c.dirty[address] = struct{}{}
		return
	}
	cached := c.engines[address]
	if cached == nil {
		cached = &cachedEngine{}
		c.engines[address] = cached
	}
	cached.Engine = e
}

// nextAudit are the engines whose turn it is to be looked at.
func (c *cache) nextAuditBatch(now time.Time) []string {
	if len(c.auditQueue) == 0 {
		c.auditQueue = slices.Collect(maps.Keys(c.engines))
		for address := range c.fleet.SilentEngines() {
			c.auditQueue = append(c.auditQueue, address)
		}
		c.auditSize = len(c.auditQueue)
		c.auditedAt = now
		return nil
	}
	share := now.Sub(c.auditedAt).Seconds() / auditInterval.Seconds()
	n := min(len(c.auditQueue), int(share*float64(c.auditSize)))
	if n == 0 {
		return nil
	}
	next := c.auditQueue[:n]
	c.auditQueue, c.auditedAt = c.auditQueue[n:], now
	return next
}

// schedule has the engine looked at again when time alone changes it: when it has
// not been heard for long (that it is heard again is news), first for new rights
// and then for being kept at all, and when requests no longer count as running.
func (c *cache) scheduleRecheck(e *cachedEngine) {
	at := e.inUseUntil
	silentAt := e.SeenAt.Add(silentTimeout)
	if e.reachable {
		silentAt = e.SeenAt.Add(maxStatusAge)
	}
	if (e.reachable || !e.needed) && (at.IsZero() || silentAt.Before(at)) {
		at = silentAt
	}
	if at.IsZero() || !e.recheckAt.IsZero() && !at.Before(e.recheckAt) {
		return
	}
	e.recheckAt = at
	heap.Push(&c.rechecks, recheck{at: at, engine: e})
}

// takeDue takes the engines that are to be looked at again by now.
func (c *cache) popDue(now time.Time) []*cachedEngine {
	var due []*cachedEngine
	for len(c.rechecks) > 0 && !now.Before(c.rechecks[0].at) {
		next := heap.Pop(&c.rechecks).(recheck)
		if next.engine.dropped || !next.engine.recheckAt.Equal(next.at) {
			continue // gone, or an earlier time was set since
		}
		next.engine.recheckAt = time.Time{}
		due = append(due, next.engine)
	}
	return due
}

// recheck is an engine to be looked at again at a time.
type recheck struct {
	at     time.Time
	engine *cachedEngine
}

// recheckQueue is a heap of them, the earliest first.
type recheckQueue []recheck

func (q recheckQueue) Len() int           { return len(q) }
func (q recheckQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q recheckQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *recheckQueue) Push(x any)        { *q = append(*q, x.(recheck)) }
func (q *recheckQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// ownUnits are the units that this VM plans, kept by customer.
type ownUnits struct {
	version    uint64
	byCustomer map[string][]placement.Unit
	// all is the list of them, sorted by customer; nil after a change.
	sorted []placement.Unit
}

// refresh takes in the customers whose contract changed. All units are looked at
// anew only when this VM's share of them changed, which is a few times a day
// among thousands of VMs: each that comes or goes takes from or gives to a few.
func (u *ownUnits) refresh(s *state.State, changes state.Changes, share Share) {
	if changes.All || share.Version != u.version || u.byCustomer == nil {
		u.version, u.byCustomer, u.sorted = share.Version, make(map[string][]placement.Unit), nil
		for customer := range s.Contracts {
			u.refreshCustomer(s, customer, share)
		}
		return
	}
	for _, customer := range changes.Customers {
		u.refreshCustomer(s, customer, share)
	}
}

func (u *ownUnits) refreshCustomer(s *state.State, customer string, share Share) {
	var own []placement.Unit
	if published := s.Contracts[customer]; published != nil && published.Contract != nil {
		for unit := range published.Contract.EachUnit() {
			if share.OwnsUnit(unit.Name) {
				own = append(own, placementUnit(unit))
			}
		}
	}
	u.sorted = nil
	if len(own) == 0 {
		delete(u.byCustomer, customer)
		return
	}
	u.byCustomer[customer] = own
}

func (u *ownUnits) list() []placement.Unit {
	if u.sorted == nil {
		for _, customer := range slices.Sorted(maps.Keys(u.byCustomer)) {
			u.sorted = append(u.sorted, u.byCustomer[customer]...)
		}
	}
	return u.sorted
}
