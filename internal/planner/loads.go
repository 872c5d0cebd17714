package planner

import (
	"slices"
	"time"

	"bergamotreel/placement"
)

const (
	// loadsKept are how many loads of a tier are remembered: enough that a few
	// slow ones in a row leave a quick one among them.
	loadsKept = 8
	// loadsWanted are how many must have been seen before an estimate is told.
	loadsWanted = 3
)

// loads watches how long loads take on all engines, whoever planned them.
//
// An estimate that is told has requests refused at once, so it must not be too
// long. Failures: the policy's first estimate is a guess by the unit's size, and
// had requests refused for 28 s of loading that took 2 s; and loads that an outage
// had held up made the next ones look as slow. So what is told is never more than
// the quickest of the newest loads would take, and nothing before some were seen.
type loads struct {
	running map[holding]load
	// paces are the newest loads of each tier, in seconds a byte.
	paces map[placement.Tier][]float64
}

// load is a load under way, or one that has ended after took.
type load struct {
	tier  placement.Tier
	begun time.Time
	// onEngine is whether it was seen under way on its engine: begun is then when
	// it was, else when it was wanted.
	onEngine bool
	// incarnation is the engine's: a restart begins the load anew.
	incarnation string
	took        time.Duration
}

// sight is how an engine reports a unit that is not ready.
type sight struct {
	// tier is where the unit would load from, incarnation the engine's start.
	tier        placement.Tier
	incarnation string
	// loading is whether the engine says that it loads the unit.
	loading bool
}

func newLoads() loads {
	return loads{running: make(map[holding]load), paces: make(map[placement.Tier][]float64)}
}

// watch notes a unit that is not ready. The tier is that of the beginning: a
// checkpoint is in memory soon after.
func (l *loads) watch(key holding, now time.Time, h placement.Holding, seen sight) {
	known, running := l.running[key]
	switch {
	case !h.Wanted || h.Withdrawn:
		delete(l.running, key)
	case !running || known.incarnation != seen.incarnation:
		l.running[key] = load{tier: seen.tier, begun: now, onEngine: seen.loading, incarnation: seen.incarnation}
	case seen.loading && !known.onEngine:
		known.begun, known.onEngine = now, true
		l.running[key] = known
	}
}

// end notes that a unit is ready; false if its load was not seen.
func (l *loads) end(key holding, now time.Time, bytes int64) (load, bool) {
	ended, running := l.running[key]
	if !running {
		return load{}, false
	}
	delete(l.running, key)
	ended.took = now.Sub(ended.begun)
	if bytes > 0 {
		paces := append(l.paces[ended.tier], ended.took.Seconds()/float64(bytes))
		l.paces[ended.tier] = paces[max(0, len(paces)-loadsKept):]
	}
	return ended, true
}

// tell is what to tell of the policy's estimate for a load; false for nothing.
func (l *loads) tell(tier placement.Tier, bytes int64, estimate time.Duration) (time.Duration, bool) {
	paces := l.paces[tier]
	if len(paces) < loadsWanted {
		return 0, false
	}
	quickest := time.Duration(slices.Min(paces) * float64(bytes) * float64(time.Second))
	return min(estimate, quickest), true
}

// forget drops a load whose right or engine is gone.
func (l *loads) forget(key holding) { delete(l.running, key) }
