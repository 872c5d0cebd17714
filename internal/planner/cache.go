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
	useEvery = 500 * time.Millisecond
	// auditEvery is in which time each engine is looked at anew at least once: 33 a
	// second of 10,000, which is under a tenth of what may be spent.
	auditEvery = 5 * time.Minute
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
	engines map[string]*seenEngine
	// dirty are the engines to be made anew in the fleet.
	dirty map[string]struct{}
	// audit are the engines that are still to be looked at in this round of the
	// audit, which began at auditAt.
	audit   []string
	auditAt time.Time
	// audited is how many there were when it began.
	audited int
	due     recheckQueue
	// cursor is how far the state's changes have been read.
	cursor state.Cursor
	units  ownUnits
	// needed are the names of the own units and of their bases.
	needed map[string]bool
	// lost are the engines that left the VM list since the last plan.
	lost map[string]bool
	// back are silent engines to be read before the next plan.
	back map[string]struct{}
	// busy are the engines with running requests, sick those that the router keeps
	// away from; both were read at usedAt.
	busy   []*seenEngine
	sick   map[string]bool
	usedAt time.Time
	// looks numbers the looks at use.
	looks uint64
	// loading counts the loads that take from the weight store now, as agreed in
	// the log: so each planner sees those of the others before an engine reports
	// them.
	loading int
}

// seenEngine is an engine as last read from the fleet of this VM.
type seenEngine struct {
	fleet.Engine
	// gone is whether it has left since or went silent, reachable as in the
	// cache, and needed whether it holds a unit of cache.needed.
	gone, reachable, needed bool
	// running is how many requests run on it, as of the look at use that is
	// numbered look.
	running int
	look    uint64
	// countUntil is until when the first of its holdings counts as in use, zero if
	// none does.
	countUntil time.Time
	// recheck is when time alone may change something about it, zero for never.
	recheck time.Time
}

// news is what was asked of others before a plan.
type news struct {
	now    time.Time
	demand []placement.Demand
	share  Share
	// aged are engines with holdings that no longer count as in use.
	aged []*seenEngine
	// useRead is whether running and sick were read.
	useRead bool
	running map[string]int
	sick    map[string]bool
}

func newCache() *cache {
	return &cache{
		fleet: placement.NewFleet(), engines: make(map[string]*seenEngine), dirty: make(map[string]struct{}),
		back: make(map[string]struct{}), lost: make(map[string]bool),
	}
}

// look asks others what is new. It takes their locks, so it is called with none.
func (p *Planner) look(now time.Time) news {
	v := p.cache
	for _, address := range p.config.ChangedEngines() {
		v.read(address, p.config.LookupEngine)
		v.dirty[address] = struct{}{}
	}
	for _, address := range v.nextAudit(now) {
		v.read(address, p.config.LookupEngine)
		v.dirty[address] = struct{}{}
	}
	n := news{now: now, demand: p.config.Demand(), share: p.config.Share()}
	p.readBack(n.share)
	for _, known := range v.takeDue(now) {
		v.read(known.VM.Address, p.config.LookupEngine)
		if known.gone || known.reachable != reachable(now, known.Engine) || silent(now, known.Engine) && !known.needed {
			v.dirty[known.VM.Address] = struct{}{}
			continue
		}
		v.schedule(known)
		if !known.countUntil.IsZero() && !now.Before(known.countUntil) {
			n.aged = append(n.aged, known)
		}
	}
	if now.Sub(v.usedAt) >= useEvery {
		v.usedAt = now
		n.useRead, n.running, n.sick = true, p.config.RunningRequests(), p.config.UnavailableEngines()
	}
	return n
}

// read takes an engine as the fleet of this VM has it.
func (v *cache) read(address string, engine func(string) (fleet.Engine, bool)) {
	e, there := engine(address)
	if !there {
		if known := v.engines[address]; known != nil {
			known.gone = true
		}
		delete(v.engines, address)
		v.lost[address] = true
		v.dirty[address] = struct{}{}
		return
	}
	known := v.engines[address]
	if known == nil {
		known = &seenEngine{}
		v.engines[address] = known
	}
	known.Engine = e
}

// nextAudit are the engines whose turn it is to be looked at.
func (v *cache) nextAudit(now time.Time) []string {
	if len(v.audit) == 0 {
		v.audit = slices.Collect(maps.Keys(v.engines))
		for address := range v.fleet.SilentEngines() {
			v.audit = append(v.audit, address)
		}
		v.audited = len(v.audit)
		v.auditAt = now
		return nil
	}
	share := now.Sub(v.auditAt).Seconds() / auditEvery.Seconds()
	n := min(len(v.audit), int(share*float64(v.audited)))
	if n == 0 {
		return nil
	}
	next := v.audit[:n]
	v.audit, v.auditAt = v.audit[n:], now
	return next
}

// schedule has the engine looked at again when time alone changes it: when it has
// not been heard for long (that it is heard again is news), first for new rights
// and then for being kept at all, and when requests no longer count as running.
func (v *cache) schedule(e *seenEngine) {
	at := e.countUntil
	silentAt := e.SeenAt.Add(silentAfter)
	if e.reachable {
		silentAt = e.SeenAt.Add(reachableFor)
	}
	if (e.reachable || !e.needed) && (at.IsZero() || silentAt.Before(at)) {
		at = silentAt
	}
	if at.IsZero() || !e.recheck.IsZero() && !at.Before(e.recheck) {
		return
	}
	e.recheck = at
	heap.Push(&v.due, recheck{at: at, engine: e})
}

// takeDue takes the engines that are to be looked at again by now.
func (v *cache) takeDue(now time.Time) []*seenEngine {
	var due []*seenEngine
	for len(v.due) > 0 && !now.Before(v.due[0].at) {
		next := heap.Pop(&v.due).(recheck)
		if next.engine.gone || !next.engine.recheck.Equal(next.at) {
			continue // gone, or an earlier time was set since
		}
		next.engine.recheck = time.Time{}
		due = append(due, next.engine)
	}
	return due
}

// recheck is an engine to be looked at again at a time.
type recheck struct {
	at     time.Time
	engine *seenEngine
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
	version uint64
	byOwner map[string][]placement.Unit
	// all is the list of them, sorted by customer; nil after a change.
	all []placement.Unit
}

// refresh takes in the customers whose contract changed. All units are looked at
// anew only when this VM's share of them changed, which is a few times a day
// among thousands of VMs: each that comes or goes takes from or gives to a few.
func (u *ownUnits) refresh(s *state.State, changes state.Changes, share Share) {
	if changes.All || share.Version != u.version || u.byOwner == nil {
		u.version, u.byOwner, u.all = share.Version, make(map[string][]placement.Unit), nil
		for customer := range s.Contracts {
			u.take(s, customer, share)
		}
		return
	}
	for _, customer := range changes.Customers {
		u.take(s, customer, share)
	}
}

func (u *ownUnits) take(s *state.State, customer string, share Share) {
	var own []placement.Unit
	if published := s.Contracts[customer]; published != nil && published.Contract != nil {
		for unit := range published.Contract.EachUnit() {
			if share.OwnsUnit(unit.Name) {
				own = append(own, planned(unit))
			}
		}
	}
	u.all = nil
	if len(own) == 0 {
		delete(u.byOwner, customer)
		return
	}
	u.byOwner[customer] = own
}

func (u *ownUnits) list() []placement.Unit {
	if u.all == nil {
		for _, customer := range slices.Sorted(maps.Keys(u.byOwner)) {
			u.all = append(u.all, u.byOwner[customer]...)
		}
	}
	return u.all
}
