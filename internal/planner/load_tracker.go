package planner

import (
	"slices"
	"time"

	"bergamotreel/placement"
)

const (
	// maxLoadSamples is the number of recent loads remembered per tier: enough that
	// a few slow loads in a row leave a fast one among them.
	maxLoadSamples = 8
	// minLoadSamples is the number of loads that must have been measured before an
	// estimate is given.
	minLoadSamples = 3
)

// loadTracker measures how long loads take on all engines, whichever VM planned
// them.
//
// An announced estimate can cause requests to be refused immediately, so it must
// not be too long. The policy's initial estimate is a guess from the unit's size:
// requests were refused because of an estimate of 28 s for a load that took 2 s.
// Loads that were delayed by an outage make the next ones look slow. Therefore an
// estimate never exceeds the time at the pace of the fastest recent load, and none
// is given before some loads were measured.
type loadTracker struct {
	inFlight map[holdingKey]load
	// secondsPerByte holds the pace of the newest loads of each tier.
	secondsPerByte map[placement.Tier][]float64
}

// load is a load in flight, or one that finished after duration.
type load struct {
	tier      placement.Tier
	startedAt time.Time
	// reported is whether the engine has reported the load: startedAt is then the
	// time of the first such report, otherwise the time at which the unit was first
	// seen as wanted.
	reported bool
	// incarnation is the engine's; a restart of the engine begins the load anew.
	incarnation string
	duration    time.Duration
}

// loadReport is an engine's report on a unit that is not ready.
type loadReport struct {
	// tier is where the unit would be loaded from, incarnation identifies the
	// engine's start.
	tier        placement.Tier
	incarnation string
	// loading is whether the engine reports that it is loading the unit.
	loading bool
}

func newLoadTracker() loadTracker {
	return loadTracker{inFlight: make(map[holdingKey]load), secondsPerByte: make(map[placement.Tier][]float64)}
}

// observe records a unit that is not ready. The tier is the one at the beginning of
// the load, because the checkpoint is in memory soon after.
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

// finish records that a unit is ready; it returns false if no load was observed.
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

// estimate bounds the policy's estimate for a load by the pace of the fastest
// recent load from the tier. It returns false if too few loads were measured.
func (l *loadTracker) estimate(tier placement.Tier, bytes int64, policyEstimate time.Duration) (time.Duration, bool) {
	samples := l.secondsPerByte[tier]
	if len(samples) < minLoadSamples {
		return 0, false
	}
	quickest := time.Duration(slices.Min(samples) * float64(bytes) * float64(time.Second))
	return min(policyEstimate, quickest), true
}

// drop discards a load whose right or engine is gone.
func (l *loadTracker) drop(key holdingKey) { delete(l.inFlight, key) }
