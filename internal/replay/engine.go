package replay

import (
	"container/list"
	"time"

	"bergamotreel/placement"
)

// engine models a backend server: its memory, slots and checkpoint caches.
type engine struct {
	id               int
	name             string
	domain           int
	memory           int64
	slots            int
	running          int
	reclaimed        bool                      // the VM was reclaimed
	forBooking       bool                      // bought for booking
	tierByCheckpoint map[string]placement.Tier // the planners' view of the caches; nil after they changed
	replicas         []*replica
	memoryCache      *cache
	diskCache        *cache
	dirty            bool // changed since it was last set in the planners' fleets
}

// replica is a right to hold one unit on one engine, together with the state of the
// loaded unit.
type replica struct {
	unit   *unit
	engine *engine
	right  uint64
	// owners are the routers that may send requests to it, one bit each.
	owners                          uint32
	wanted, ready, withdrawn, ended bool
	streams                         int
	lastUsed, readySince            time.Duration
	loadStarted                     time.Duration
	tier                            placement.Tier
	loading                         *load
	// idleFrom is the time up to which its idle time is accounted.
	idleFrom time.Duration
}

// contractRights returns how many rights of the unit its contract asks for at all
// times, loaded or as standby.
func (s *sim) contractRights(u *unit) int {
	return max(u.minReplicas, u.standbyPerDomain*s.deployment.Domains)
}

// load is a load in progress. Loads from the weight store share its bandwidth.
type load struct {
	replica   *replica
	remaining float64 // bytes, for remote loads
	cancelled bool
}

func (e *engine) replicaOf(u *unit) *replica {
	for _, r := range e.replicas {
		if r.unit == u {
			return r
		}
	}
	return nil
}

func (e *engine) freeBytes() int64 {
	free := e.memory
	for _, r := range e.replicas {
		free -= r.unit.replicaBytes
	}
	return free
}

func (e *engine) removeReplica(r *replica) {
	for i, other := range e.replicas {
		if other == r {
			e.replicas = append(e.replicas[:i], e.replicas[i+1:]...)
			break
		}
	}
	e.dirty = true
}

// checkpointTier returns the fastest tier that has the unit's checkpoint for the
// engine.
func (e *engine) checkpointTier(u *unit) placement.Tier {
	switch {
	case e.memoryCache.has(u):
		return placement.TierMemory
	case e.diskCache.has(u):
		return placement.TierDisk
	}
	return placement.TierRemote
}

// cacheCheckpoint adds a checkpoint that the engine has loaded to both caches.
func (e *engine) cacheCheckpoint(u *unit) {
	e.tierByCheckpoint = nil
	e.memoryCache.put(u)
	e.diskCache.put(u)
}

// cache is an LRU cache of checkpoints with a limit in bytes.
type cache struct {
	limit, used int64
	order       *list.List // of *unit, newest first
	elements    map[*unit]*list.Element
}

func newCache(limit int64) *cache {
	return &cache{limit: limit, order: list.New(), elements: make(map[*unit]*list.Element)}
}

func (c *cache) has(u *unit) bool { return c.elements[u] != nil }

func (c *cache) put(u *unit) {
	if at := c.elements[u]; at != nil {
		c.order.MoveToFront(at)
		return
	}
	c.elements[u] = c.order.PushFront(u)
	c.used += u.weightBytes
	for c.used > c.limit && c.order.Len() > 1 {
		oldest := c.order.Remove(c.order.Back()).(*unit)
		delete(c.elements, oldest)
		c.used -= oldest.weightBytes
	}
}

func setupTime(u *unit) time.Duration {
	if u.base != nil {
		return AdapterSetup
	}
	return ModelSetup
}

// localLoadTime returns how long a load from host memory or disk takes.
func localLoadTime(u *unit, tier placement.Tier) time.Duration {
	rate := DiskRate
	if tier == placement.TierMemory {
		rate = MemoryRate
	}
	return setupTime(u) + time.Duration(float64(u.weightBytes)/rate*float64(time.Second))
}

// store models the weight store. The rate of load starts is limited, and loads beyond
// MaxConcurrentLoads share the bandwidth of that many.
type store struct {
	slowdown  float64
	active    []*load
	waiting   []*load
	updatedAt time.Duration
	nextStart time.Duration
	// version counts changes, so that the event of an outdated completion is
	// ignored.
	version int
}

// loadRate returns the current rate of each load in bytes per second.
func (s *store) loadRate() float64 {
	return RemoteRate / s.slowdown * min(1, MaxConcurrentLoads/float64(max(len(s.active), 1)))
}

// advanceLoads updates the remaining bytes of the active loads to the time now.
func (s *store) advanceLoads(now time.Duration) {
	moved := s.loadRate() * (now - s.updatedAt).Seconds()
	for _, l := range s.active {
		l.remaining -= moved
	}
	s.updatedAt = now
}

// nextCompletion returns when the next active load has all its bytes, provided that
// the set of active loads stays the same. It reports false if there are none.
func (s *store) nextCompletion() (time.Duration, bool) {
	if len(s.active) == 0 {
		return 0, false
	}
	least := s.active[0].remaining
	for _, l := range s.active {
		least = min(least, l.remaining)
	}
	return s.updatedAt + time.Duration(max(least, 0)/s.loadRate()*float64(time.Second)) + time.Microsecond, true
}
