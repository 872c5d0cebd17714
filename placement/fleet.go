package placement

import (
	"maps"
	"slices"
	"sort"
	"strings"
)

// Fleet holds the engines and the indices that a plan needs. Its owner calls
// SetEngine for each engine that changed, so that the cost of a plan grows with its
// own units and not with all engines. It is not safe for concurrent use.
type Fleet struct {
	engines map[string]*fleetEngine
	// sortedEngines are in the order of their names, so that equal fleets give equal
	// plans.
	sortedEngines []*fleetEngine
	byUnit        map[string][]replica
	cached        map[string]map[*fleetEngine]Tier
	// sharedAdapterCounts are the maps that fleetEngine.adaptersByBase shares.
	sharedAdapterCounts map[adapterCountKey]map[string]int
	// silent are the engines that only a summary is kept of; see SetSilent.
	silent       map[string]*silentEngine
	silentCounts map[unitKey]*silentCount
}

// fleetEngine is an engine with the sums over its holdings.
type fleetEngine struct {
	Engine
	// freeBytes is memory that no right takes; withdrawnBytes is what withdrawn
	// rights take.
	freeBytes, withdrawnBytes int64
	streams                   int
	// adaptersByBase counts the adapters that are not withdrawn by their base. It
	// may be shared with other engines and must not be changed.
	adaptersByBase map[string]int
}

// replica is one right on one engine, loaded or not.
type replica struct {
	engine  *fleetEngine
	holding *Holding
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{
		engines: make(map[string]*fleetEngine),
		byUnit:  make(map[string][]replica),
		cached:  make(map[string]map[*fleetEngine]Tier),

		sharedAdapterCounts: make(map[adapterCountKey]map[string]int),
		silent:              make(map[string]*silentEngine),
		silentCounts:        make(map[unitKey]*silentCount),
	}
}

// fleetOf returns a fleet of the View's engines. It fills in the bases of adapters
// that the View leaves out.
func fleetOf(v View) *Fleet {
	f := NewFleet()
	for _, e := range v.Engines {
		for i := range e.Holdings {
			h := &e.Holdings[i]
			if h.Base != "" || v.LookupUnit == nil {
				continue
			}
			if u, ok := v.LookupUnit(h.Customer, h.Unit); ok {
				h.Base = u.Base
			}
		}
		f.SetEngine(e)
	}
	return f
}

// Len returns the number of engines, not counting silent ones.
func (f *Fleet) Len() int { return len(f.sortedEngines) }

// SetEngine adds or replaces an engine. The fleet keeps the engine's slices and maps,
// so the caller must not change them afterwards.
func (f *Fleet) SetEngine(e Engine) {
	f.removeSilent(e.Name)
	fe := f.engines[e.Name]
	if fe == nil {
		fe = &fleetEngine{}
		f.engines[e.Name] = fe
		f.insertSorted(fe, e.Name)
	} else {
		f.unindexHoldings(fe)
	}
	if !maps.Equal(fe.Cached, e.Cached) {
		f.unindexCached(fe)
		f.indexCached(fe, e.Cached)
	}
	fe.Engine = e
	f.indexHoldings(fe)
}

// Remove removes an engine, silent or not.
func (f *Fleet) Remove(name string) {
	f.removeSilent(name)
	fe := f.engines[name]
	if fe == nil {
		return
	}
	f.unindexHoldings(fe)
	f.unindexCached(fe)
	delete(f.engines, name)
	i := f.sortedIndex(name)
	f.sortedEngines = append(f.sortedEngines[:i], f.sortedEngines[i+1:]...)
}

func (f *Fleet) insertSorted(fe *fleetEngine, name string) {
	i := f.sortedIndex(name)
	f.sortedEngines = append(f.sortedEngines, nil)
	copy(f.sortedEngines[i+1:], f.sortedEngines[i:])
	fe.Name = name
	f.sortedEngines[i] = fe
}

func (f *Fleet) sortedIndex(name string) int {
	return sort.Search(len(f.sortedEngines), func(i int) bool { return f.sortedEngines[i].Name >= name })
}

func (f *Fleet) indexHoldings(fe *fleetEngine) {
	fe.freeBytes, fe.withdrawnBytes = fe.MemoryBytes, 0
	fe.adaptersByBase = nil
	for i := range fe.Holdings {
		h := &fe.Holdings[i]
		fe.freeBytes -= h.Bytes
		if h.Withdrawn {
			fe.withdrawnBytes += h.Bytes
		} else if h.Base != "" {
			fe.adaptersByBase = f.withOneMoreAdapter(fe.adaptersByBase, h.Base)
		}
		f.addReplica(replica{fe, h})
	}
	fe.countStreams()
}

// adapterCountKey identifies a shared map with n adapters on one base.
type adapterCountKey struct {
	base string
	n    int
}

// withOneMoreAdapter returns the counts with one more adapter on the base. Nearly
// all engines have adapters on one base only. Those with equal counts share one
// map, as a map for each would be a seventh of the memory that an engine takes.
func (f *Fleet) withOneMoreAdapter(counts map[string]int, base string) map[string]int {
	if len(counts) > 1 || len(counts) == 1 && counts[base] == 0 {
		own := maps.Clone(counts)
		own[base]++
		return own
	}
	key := adapterCountKey{base, counts[base] + 1}
	shared := f.sharedAdapterCounts[key]
	if shared == nil {
		shared = map[string]int{key.base: key.n}
		f.sharedAdapterCounts[key] = shared
	}
	return shared
}

// addReplica adds a replica to byUnit. It keeps a unit's replicas in the order of
// the engines' names, so that ties between them are broken the same way whatever
// the order of changes was.
func (f *Fleet) addReplica(rep replica) {
	replicas := f.byUnit[rep.holding.Unit]
	i, _ := findReplica(replicas, rep.engine.Name)
	f.byUnit[rep.holding.Unit] = slices.Insert(replicas, i, rep)
}

func findReplica(replicas []replica, engine string) (int, bool) {
	return slices.BinarySearchFunc(replicas, engine, func(rep replica, name string) int {
		return strings.Compare(rep.engine.Name, name)
	})
}

func (fe *fleetEngine) countStreams() {
	fe.streams = fe.Running
	if fe.Running > 0 {
		return
	}
	for i := range fe.Holdings {
		fe.streams += fe.Holdings[i].Streams
	}
}

// Engine returns an engine. Its slices and maps are the fleet's and must not be
// changed.
func (f *Fleet) Engine(name string) (Engine, bool) {
	fe := f.engines[name]
	if fe == nil {
		return Engine{}, false
	}
	return fe.Engine, true
}

// IsHeld reports whether any engine but the silent ones has a right for the unit,
// withdrawn or not.
func (f *Fleet) IsHeld(unit string) bool { return len(f.byUnit[unit]) > 0 }

// UpdateUsage calls change with the engine if the fleet has it. The function may
// set Running, and Streams and LastUsed of the holdings, but nothing else.
// UpdateUsage costs less than SetEngine.
func (f *Fleet) UpdateUsage(name string, change func(*Engine)) {
	if fe := f.engines[name]; fe != nil {
		change(&fe.Engine)
		fe.countStreams()
	}
}

// UpdateHolderUsage is UpdateUsage for all engines with a right for the unit.
func (f *Fleet) UpdateHolderUsage(unit string, change func(*Engine)) {
	for _, rep := range f.byUnit[unit] {
		change(&rep.engine.Engine)
		rep.engine.countStreams()
	}
}

func (f *Fleet) indexCached(fe *fleetEngine, cached map[string]Tier) {
	for checkpoint, tier := range cached {
		engines := f.cached[checkpoint]
		if engines == nil {
			engines = make(map[*fleetEngine]Tier)
			f.cached[checkpoint] = engines
		}
		engines[fe] = tier
	}
}

func (f *Fleet) unindexHoldings(fe *fleetEngine) {
	for i := range fe.Holdings {
		unit := fe.Holdings[i].Unit
		replicas := f.byUnit[unit]
		if j, found := findReplica(replicas, fe.Name); found {
			replicas = slices.Delete(replicas, j, j+1)
		}
		if len(replicas) == 0 {
			delete(f.byUnit, unit)
		} else {
			f.byUnit[unit] = replicas
		}
	}
}

func (f *Fleet) unindexCached(fe *fleetEngine) {
	for checkpoint := range fe.Cached {
		delete(f.cached[checkpoint], fe)
		if len(f.cached[checkpoint]) == 0 {
			delete(f.cached, checkpoint)
		}
	}
}

// tierAfterUnload returns the tier that a unit is expected to load from once it
// has been unloaded. Engines keep what they unload in memory only while there is
// room, so it is TierMemory if a usable engine has the checkpoint in memory, and
// TierDisk otherwise.
func (f *Fleet) tierAfterUnload(checkpoint string) Tier {
	best := TierDisk
	for fe, tier := range f.cached[checkpoint] {
		if fe.isUsable() && tierRank[tier] < tierRank[best] {
			best = tier
		}
	}
	return best
}

// fastestTier returns the fastest tier of the checkpoint on any usable engine.
func (f *Fleet) fastestTier(checkpoint string) Tier {
	best := TierRemote
	for fe, tier := range f.cached[checkpoint] {
		if fe.isUsable() && tierRank[tier] < tierRank[best] {
			best = tier
		}
	}
	return best
}

// tierRank orders the tiers, fastest first.
var tierRank = map[Tier]int{TierMemory: 0, TierDisk: 1, TierRemote: 2}

// tier returns the tier that the engine would load the checkpoint from.
func (fe *fleetEngine) tier(checkpoint string) Tier {
	if tier, ok := fe.Cached[checkpoint]; ok {
		return tier
	}
	return TierRemote
}

// isUsable reports whether the engine may get new rights.
func (fe *fleetEngine) isUsable() bool {
	return fe.Reachable && fe.HasKeeper && !fe.Leaving && !fe.Unhealthy
}

// isServing reports whether new requests may go to the engine.
func (fe *fleetEngine) isServing() bool { return fe.Reachable && !fe.Leaving && !fe.Unhealthy }

// findHolding returns the engine's right for the unit, withdrawn or not, or nil.
func (fe *fleetEngine) findHolding(unit string) *Holding {
	for i := range fe.Holdings {
		if fe.Holdings[i].Unit == unit {
			return &fe.Holdings[i]
		}
	}
	return nil
}
