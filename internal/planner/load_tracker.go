package planner

import (
	"slices"
	"time"

	"bergamotreel/placement"
)

const (
	// loadsKept are how many loads of a tier are remembered: enough that a few
	// slow ones in a row leave a quick one among them.
	maxLoadSamples = 8
	// loadsWanted are how many must have been seen before an estimate is told.
	minLoadSamples = 3
)

// loads watches how long loads take on all engines, whoever planned them.
//
// An estimate that is told has requests refused at once, so it must not be too
// long. Failures: the policy's first estimate is a guess by the unit's size, and
// had requests refused for 28 s of loading that took 2 s; and loads that an outage
// had held up made the next ones look as slow. So what is told is never more than
// the quickest of the newest loads would take, and nothing before some were seen.
type loadTracker struct {
	inFlight map[holdingKey]load
	// paces are the newest loads of each tier, in seconds a byte.
	secondsPerByte map[placement.Tier][]float64
}

// load is a load under way, or one that has ended after took.
type load struct {
	tier      placement.Tier
	startedAt time.Time
	// onEngine is whether it was seen under way on its engine: begun is then when
	// it was, else when it was wanted.
	reported bool
	// incarnation is the engine's: a restart begins the load anew.
	incarnation string
	duration    time.Duration
}

// sight is how an engine reports a unit that is not ready.
type loadReport struct {
	// tier is where the unit would load from, incarnation the engine's start.
	tier        placement.Tier
	incarnation string
	// loading is whether the engine says that it loads the unit.
	loading bool
}

func newLoadTracker() loadTracker {
	return loadTracker{inFlight: make(map[holdingKey]load), secondsPerByte: make(map[placement.Tier][]float64)}
}

// watch notes a unit that is not ready. The tier is that of the beginning: a
// checkpoint is in memory soon after.
func (l *loadTracker) observe(key holdingKey, now time.Time, h placement.Holding, report loadReport) {
	inFlight, found := l.inFlight[key]
	switch {
	case !h.Wanted || h.Withdrawn:
		delete(l.inFlight, key)
	case !found || inFlight.incarnation != report.incarnation:
		l.inFlight[key] = load{tier: report.tier, startedAt: now, reported: report.loading, incarnation: report.incarnation}
	case report.loading && !inFlight.reported:
		inFlight.startedAt, inFlight.reported = now, true
		l.inFlight[key] = inFlight
	}
}

// end notes that a unit is ready; false if its load was not seen.
func (l *loadTracker) finish(key holdingKey, now time.Time, bytes int64) (load, bool) {
	ended, found := l.inFlight[key]
	if !found {
		return load{}, false
	}
	delete(l.inFlight, key)
	ended.duration = now.Sub(ended.startedAt)
	if bytes > 0 {
		samples := append(l.secondsPerByte[ended.tier], ended.duration.Seconds()/float64(bytes))
		l.secondsPerByte[ended.tier] = samples[max(0, len(samples)-maxLoadSamples):]
	}
	return ended, true
}

// tell is what to tell of the policy's estimate for a load; false for nothing.
func (l *loadTracker) estimate(tier placement.Tier, bytes int64, policyEstimate time.Duration) (time.Duration, bool) {
	samples := l.secondsPerByte[tier]
	if len(samples) < minLoadSamples {
		return 0, false
	}
	quickest := time.Duration(slices.Min(samples) * float64(bytes) * float64(time.Second))
	return min(policyEstimate, quickest), true
}

// forget drops a load whose right or engine is gone.
func (l *loadTracker) drop(key holdingKey) { delete(l.inFlight, key) }
