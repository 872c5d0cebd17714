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
	// usageInterval bounds how often the usage of all engines is read: a reading
	// costs time in proportion to the engines in use, and up to 50 plans are made a
	// second. It equals the heartbeat interval, because other VMs report their
	// usage no more often.
	usageInterval = 500 * time.Millisecond
	// auditInterval is the period in which each engine is reread at least once. For
	// 10,000 engines that is 33 a second, which costs less than a tenth of what the
	// planner may spend.
	auditInterval = 5 * time.Minute
)

// cache holds all engines and the units planned here from one plan to the next, so
// that a plan's cost depends on what changed. One goroutine owns it.
//
// An engine that changes without being listed in the changes of the fleet or of the
// control state would stay stale in the cache, and decisions for it would be
// rejected repeatedly while its requests wait. Therefore each engine is reread once
// per auditInterval, whether or not a change was reported; until then the control
// state still rejects what would overcommit the engine.
type cache struct {
	fleet   *placement.Fleet
	engines map[string]*cachedEngine
	// dirty are the engines whose entry in fleet must be rebuilt.
	dirty map[string]struct{}
	// auditQueue holds the engines still to be reread in this round of the audit.
	// auditedAt is when the round began or its last batch was taken.
	auditQueue []string
	auditedAt  time.Time
	// auditSize is the number of engines at the beginning of the round.
	auditSize int
	rechecks  recheckQueue
	// cursor is the position up to which the changes of the control state were
	// read.
	cursor   state.Cursor
	ownUnits ownUnits
	// plannedUnits are the names of the units planned here and of their bases.
	plannedUnits map[string]bool
	// removed are the engines that left the VM list since the last plan.
	removed map[string]bool
	// reloads are the silent engines to be read before the next plan.
	reloads map[string]struct{}
	// runningEngines are the engines with running requests, unhealthy those that
	// the router avoids; both were read at usageReadAt.
	runningEngines []*cachedEngine
	unhealthy      map[string]bool
	usageReadAt    time.Time
	// usageRound numbers the usage readings.
	usageRound uint64
	// loadsInFlight counts the current loads from the weight store by the rights in
	// the control state, so that each planner sees the loads of the others before
	// an engine reports them.
	loadsInFlight int
}

// cachedEngine is an engine as last read from this VM's fleet.
type cachedEngine struct {
	fleet.Engine
	// dropped is whether it has left the fleet or become silent, reachable is
	// placement.Engine.Reachable as last written to cache.fleet, and
	// holdsPlannedUnit is whether it holds a unit of cache.plannedUnits.
	dropped, reachable, holdsPlannedUnit bool
	// running is the number of requests that run on it, as of the usage reading
	// numbered usageRound.
	running    int
	usageRound uint64
	// inUseUntil is when the first of its holdings stops counting as in use, zero
	// if none is in use.
	inUseUntil time.Time
	// recheckAt is the next time at which the engine may change without an update,
	// zero if there is none.
	recheckAt time.Time
}

// planInput is what is read from other components before a plan.
type planInput struct {
	now    time.Time
	demand []placement.Demand
	share  Share
	// noLongerInUse are engines with holdings that stopped counting as in use.
	noLongerInUse []*cachedEngine
	// hasUsage is whether running and unhealthy were read.
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

// collectUpdates reads the input of a plan from other components. It takes their
// locks, so the caller must hold none.
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
		if cached.dropped || cached.reachable != isReachable(now, cached.Engine) || isSilent(now, cached.Engine) && !cached.holdsPlannedUnit {
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

// readEngine copies an engine from this VM's fleet into the cache.
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

// nextAuditBatch returns the engines that the audit rereads now.
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
	elapsedFraction := now.Sub(c.auditedAt).Seconds() / auditInterval.Seconds()
	n := min(len(c.auditQueue), int(elapsedFraction*float64(c.auditSize)))
	if n == 0 {
		return nil
	}
	next := c.auditQueue[:n]
	c.auditQueue, c.auditedAt = c.auditQueue[n:], now
	return next
}

// scheduleRecheck schedules the engine's next check for the time at which it
// changes without an update: when its status becomes too old for new grants, when
// it becomes silent, or when requests stop counting as running. A new status is an
// update and needs no check.
func (c *cache) scheduleRecheck(e *cachedEngine) {
	at := e.inUseUntil
	silentAt := e.SeenAt.Add(silentTimeout)
	if e.reachable {
		silentAt = e.SeenAt.Add(maxStatusAge)
	}
	if (e.reachable || !e.holdsPlannedUnit) && (at.IsZero() || silentAt.Before(at)) {
		at = silentAt
	}
	if at.IsZero() || !e.recheckAt.IsZero() && !at.Before(e.recheckAt) {
		return
	}
	e.recheckAt = at
	heap.Push(&c.rechecks, recheck{at: at, engine: e})
}

// popDue removes and returns the engines whose check is due.
func (c *cache) popDue(now time.Time) []*cachedEngine {
	var due []*cachedEngine
	for len(c.rechecks) > 0 && !now.Before(c.rechecks[0].at) {
		next := heap.Pop(&c.rechecks).(recheck)
		if next.engine.dropped || !next.engine.recheckAt.Equal(next.at) {
			continue // dropped, or rescheduled to an earlier time
		}
		next.engine.recheckAt = time.Time{}
		due = append(due, next.engine)
	}
	return due
}

// recheck is a scheduled check of an engine.
type recheck struct {
	at     time.Time
	engine *cachedEngine
}

// recheckQueue is a heap of checks, the earliest first.
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

// ownUnits holds the units that this VM plans, by customer.
type ownUnits struct {
	version    uint64
	byCustomer map[string][]placement.Unit
	// sorted lists all units, sorted by customer; nil after a change.
	sorted []placement.Unit
}

// refresh updates the customers whose contract changed. It rereads all units only
// when this VM's share changed. Among thousands of VMs that happens a few times a
// day, because each VM that joins or leaves changes the shares of a few others
// only.
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
