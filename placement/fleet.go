package placement

import (
	"maps"
	"slices"
	"sort"
	"strings"
)

// Fleet is the engines with the indices that a plan needs. Its owner sets an
// engine when something about it changed, so that a plan costs what its own
// units cost and not what all engines do. It is not safe for concurrent use.
type Fleet struct {
	engines map[string]*fleetEngine
	// order is sorted by name, so that equal fleets make equal plans.
	order  []*fleetEngine
	byUnit map[string][]place
	cached map[string]map[*fleetEngine]Tier
	// adapterCounts are the shared counts of adapters.
	adapterCounts map[adapterCount]map[string]int
	// silent are the engines of which next to nothing is kept; see SetSilent.
	silent       map[string]*silentEngine
	silentCounts map[unitKey]*silentCount
}

// fleetEngine is an engine with the sums over its holdings.
type fleetEngine struct {
	Engine
	// free is memory that no right takes; leaving is what withdrawn rights take.
	free, leaving int64
	streams       int
	// adapters counts standing rights by their base. It may be shared with other
	// engines.
	adapters map[string]int
}

// place is one right on one engine.
type place struct {
	engine  *fleetEngine
	holding *Holding
}

// NewFleet makes an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{
		engines: make(map[string]*fleetEngine),
		byUnit:  make(map[string][]place),
		cached:  make(map[string]map[*fleetEngine]Tier),

		adapterCounts: make(map[adapterCount]map[string]int),
		silent:        make(map[string]*silentEngine),
		silentCounts:  make(map[unitKey]*silentCount),
	}
}

// fleetOf makes a fleet of a View's engines, and fills in the bases of adapters
// that the View left out.
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
		f.Set(e)
	}
	return f
}

// Len is the number of engines, silent ones apart.
func (f *Fleet) Len() int { return len(f.order) }

// Set adds an engine or replaces what is known of it. The fleet keeps the
// engine's slices and maps: its owner must not change them afterwards.
func (f *Fleet) Set(e Engine) {
	f.removeSilent(e.Name)
	fe := f.engines[e.Name]
	if fe == nil {
		fe = &fleetEngine{}
		f.engines[e.Name] = fe
		f.insert(fe, e.Name)
	} else {
		f.unindex(fe)
	}
	if !maps.Equal(fe.Cached, e.Cached) {
		f.unindexCached(fe)
		f.indexCached(fe, e.Cached)
	}
	fe.Engine = e
	f.index(fe)
}

// Remove forgets an engine.
func (f *Fleet) Remove(name string) {
	f.removeSilent(name)
	fe := f.engines[name]
	if fe == nil {
		return
	}
	f.unindex(fe)
	f.unindexCached(fe)
	delete(f.engines, name)
	i := f.position(name)
	f.order = append(f.order[:i], f.order[i+1:]...)
}

func (f *Fleet) insert(fe *fleetEngine, name string) {
	i := f.position(name)
	f.order = append(f.order, nil)
	copy(f.order[i+1:], f.order[i:])
	fe.Name = name
	f.order[i] = fe
}

func (f *Fleet) position(name string) int {
	return sort.Search(len(f.order), func(i int) bool { return f.order[i].Name >= name })
}

func (f *Fleet) index(fe *fleetEngine) {
	fe.free, fe.leaving = fe.MemoryBytes, 0
	fe.adapters = nil
	for i := range fe.Holdings {
		h := &fe.Holdings[i]
		fe.free -= h.Bytes
		if h.Withdrawn {
			fe.leaving += h.Bytes
		} else if h.Base != "" {
			fe.adapters = f.oneMore(fe.adapters, h.Base)
		}
		f.addPlace(place{fe, h})
	}
	fe.countStreams()
}

// adapterCount is so many adapters on one base.
type adapterCount struct {
	base string
	n    int
}

// oneMore counts one more adapter. Nearly all engines have one base of adapters;
// those with as many of the same share one map, as one each took a seventh of the
// memory that an engine takes here.
func (f *Fleet) oneMore(counts map[string]int, base string) map[string]int {
	if len(counts) > 1 || len(counts) == 1 && counts[base] == 0 {
		own := maps.Clone(counts)
		own[base]++
		return own
	}
	key := adapterCount{base, counts[base] + 1}
	shared := f.adapterCounts[key]
	if shared == nil {
		shared = map[string]int{key.base: key.n}
		f.adapterCounts[key] = shared
	}
	return shared
}

// addPlace keeps the places of a unit in the order of the engines' names, so that
// ties between them are decided alike however the fleet came about.
func (f *Fleet) addPlace(at place) {
	places := f.byUnit[at.holding.Unit]
	i, _ := findPlace(places, at.engine.Name)
	f.byUnit[at.holding.Unit] = slices.Insert(places, i, at)
}

func findPlace(places []place, engine string) (int, bool) {
	return slices.BinarySearchFunc(places, engine, func(at place, name string) int {
		return strings.Compare(at.engine.Name, name)
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

// Engine returns what is known of an engine. Its slices and maps are the fleet's.
func (f *Fleet) Engine(name string) (Engine, bool) {
	fe := f.engines[name]
	if fe == nil {
		return Engine{}, false
	}
	return fe.Engine, true
}

// IsHeld tells whether an engine has a right for the unit, withdrawn or not; silent
// engines are not asked.
func (f *Fleet) IsHeld(unit string) bool { return len(f.byUnit[unit]) > 0 }

// UpdateUsage has change note the use of an engine: it may set Running, and Streams and
// LastUsed of the holdings, nothing else. It costs less than Set.
func (f *Fleet) UpdateUsage(name string, change func(*Engine)) {
	if fe := f.engines[name]; fe != nil {
		change(&fe.Engine)
		fe.countStreams()
	}
}

// UpdateHolderUsage is Touch for all engines with a right for the unit.
func (f *Fleet) UpdateHolderUsage(unit string, change func(*Engine)) {
	for _, at := range f.byUnit[unit] {
		change(&at.engine.Engine)
		at.engine.countStreams()
	}
}

func (f *Fleet) indexCached(fe *fleetEngine, cached map[string]Tier) {
	for checkpoint, tier := range cached {
		at := f.cached[checkpoint]
		if at == nil {
			at = make(map[*fleetEngine]Tier)
			f.cached[checkpoint] = at
		}
		at[fe] = tier
	}
}

func (f *Fleet) unindex(fe *fleetEngine) {
	for i := range fe.Holdings {
		unit := fe.Holdings[i].Unit
		places := f.byUnit[unit]
		if j, found := findPlace(places, fe.Name); found {
			places = slices.Delete(places, j, j+1)
		}
		if len(places) == 0 {
			delete(f.byUnit, unit)
		} else {
			f.byUnit[unit] = places
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

// tierAfterUnload is the tier the unit would load from the next time: engines
// keep what they unload in memory while there is room, so it is the slower of
// that and what is known of the other copies.
func (f *Fleet) tierAfterUnload(checkpoint string) Tier {
	best := TierDisk
	for fe, tier := range f.cached[checkpoint] {
		if fe.usable() && tierRank[tier] < tierRank[best] {
			best = tier
		}
	}
	return best
}

// bestTier is the fastest tier the checkpoint has on a usable engine.
func (f *Fleet) bestTier(checkpoint string) Tier {
	best := TierRemote
	for fe, tier := range f.cached[checkpoint] {
		if fe.usable() && tierRank[tier] < tierRank[best] {
			best = tier
		}
	}
	return best
}

var tierRank = map[Tier]int{TierMemory: 0, TierDisk: 1, TierRemote: 2}

// tier is where the engine would load the checkpoint from.
func (fe *fleetEngine) tier(checkpoint string) Tier {
	if tier, ok := fe.Cached[checkpoint]; ok {
		return tier
	}
	return TierRemote
}

// usable engines may get new rights.
func (fe *fleetEngine) usable() bool {
	return fe.Reachable && fe.HasKeeper && !fe.Leaving && !fe.Unhealthy
}

// serving tells whether new requests may go to the engine.
func (fe *fleetEngine) serving() bool { return fe.Reachable && !fe.Leaving && !fe.Unhealthy }

// holds tells whether the engine has a right for the unit, withdrawn or not.
func (fe *fleetEngine) holds(unit string) *Holding {
	for i := range fe.Holdings {
		if fe.Holdings[i].Unit == unit {
			return &fe.Holdings[i]
		}
	}
	return nil
}
