package replay

import (
	"container/list"
	"time"

	"bergamotreel/placement"
)

// engine is a model of a backend server: memory, slots and checkpoint caches.
type engine struct {
	id       int
	name     string
	domain   int
	memory   int64
	slots    int
	running  int
	gone     bool                      // reclaimed
	booking  bool                      // bought for booking
	cachedAt map[string]placement.Tier // as the planners see it; nil once the caches changed
	replicas []*replica
	ram      *cache
	disk     *cache
	dirty    bool // changed since its last entry in the planners' Fleet
}

// replica is one right on one engine.
type replica struct {
	unit   *unit
	engine *engine
	right  uint64
	// owners are the routers that may use it, one bit each.
	owners                          uint32
	wanted, ready, withdrawn, ended bool
	streams                         int
	lastUsed, readySince            time.Duration
	loadStarted                     time.Duration
	tier                            placement.Tier
	loading                         *load
	// idleFrom is since when its idle time is not yet accounted.
	idleFrom time.Duration
}

// contractRights is how many rights of the unit its contract asks for at all
// times, loaded or as standby.
func (s *sim) contractRights(u *unit) int { return max(u.minReplicas, u.standby*s.d.Domains) }

// load is one load under way; remote ones share the weight store.
type load struct {
	replica   *replica
	remaining float64 // bytes, for remote loads
	cancelled bool
}

func (e *engine) holds(u *unit) *replica {
	for _, r := range e.replicas {
		if r.unit == u {
			return r
		}
	}
	return nil
}

func (e *engine) free() int64 {
	free := e.memory
	for _, r := range e.replicas {
		free -= r.unit.replica
	}
	return free
}

func (e *engine) drop(r *replica) {
	for i, other := range e.replicas {
		if other == r {
			e.replicas = append(e.replicas[:i], e.replicas[i+1:]...)
			break
		}
	}
	e.dirty = true
}

// tier is where the engine has the unit's checkpoint.
func (e *engine) tier(u *unit) placement.Tier {
	switch {
	case e.ram.has(u):
		return placement.TierMemory
	case e.disk.has(u):
		return placement.TierDisk
	}
	return placement.TierRemote
}

// keepCached notes that the checkpoint passed through the engine.
func (e *engine) keepCached(u *unit) {
	e.cachedAt = nil
	e.ram.put(u)
	e.disk.put(u)
}

// cache holds checkpoints and drops the least recently used.
type cache struct {
	limit, used int64
	order       *list.List // of *unit, newest first
	at          map[*unit]*list.Element
}

func newCache(limit int64) *cache {
	return &cache{limit: limit, order: list.New(), at: make(map[*unit]*list.Element)}
}

func (c *cache) has(u *unit) bool { return c.at[u] != nil }

func (c *cache) put(u *unit) {
	if at := c.at[u]; at != nil {
		c.order.MoveToFront(at)
		return
	}
	c.at[u] = c.order.PushFront(u)
	c.used += u.weights
	for c.used > c.limit && c.order.Len() > 1 {
		oldest := c.order.Remove(c.order.Back()).(*unit)
		delete(c.at, oldest)
		c.used -= oldest.weights
	}
}

func setupTime(u *unit) time.Duration {
	if u.base != nil {
		return AdapterSetup
	}
	return ModelSetup
}

// localLoadTime is how long a load from memory or disk takes.
func localLoadTime(u *unit, tier placement.Tier) time.Duration {
	rate := DiskRate
	if tier == placement.TierMemory {
		rate = MemoryRate
	}
	return setupTime(u) + time.Duration(float64(u.weights)/rate*float64(time.Second))
}

// store is the weight store: starts are limited to a rate, and more loads than
// StoreAtOnce share the bandwidth of StoreAtOnce.
type store struct {
	slow      float64
	active    []*load
	waiting   []*load
	updated   time.Duration
	nextStart time.Duration
	// version counts changes, so that an outdated completion is ignored.
	version int
}

// rate is one load's bytes a second now.
func (s *store) rate() float64 {
	return RemoteRate / s.slow * min(1, StoreFullRateLoads/float64(max(len(s.active), 1)))
}

// advance moves the loads on to now.
func (s *store) advance(now time.Duration) {
	moved := s.rate() * (now - s.updated).Seconds()
	for _, l := range s.active {
		l.remaining -= moved
	}
	s.updated = now
}

// firstDone is when the next load has all its bytes, if none starts before.
func (s *store) firstDone() (time.Duration, bool) {
	if len(s.active) == 0 {
		return 0, false
	}
	least := s.active[0].remaining
	for _, l := range s.active {
		least = min(least, l.remaining)
	}
	return s.updated + time.Duration(max(least, 0)/s.rate()*float64(time.Second)) + time.Microsecond, true
}
