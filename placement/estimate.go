package placement

import "time"

// loadEstimates estimates load times by unit and tier, and how slow each tier is
// at present. When the weight store slows down, the first slow load of any unit
// raises the estimates of all units.
type loadEstimates struct {
	cfg Config
	// measured are the load times at a slowdown of 1.
	measured map[loadKey]time.Duration
	// slowdown is the ratio of observed to base load times, 1 if absent.
	slowdown map[Tier]float64
}

type loadKey struct {
	unit string
	tier Tier
}

func newLoadEstimates(cfg Config) *loadEstimates {
	return &loadEstimates{cfg: cfg, measured: make(map[loadKey]time.Duration), slowdown: make(map[Tier]float64)}
}

const (
	// slowdownWeight is the weight of a new load in the moving average of its tier's
	// slowdown. Three or four loads adapt it to a changed store; one outlier does not.
	slowdownWeight = 0.3
	// unitWeight is the weight of a new load in the moving average of the unit's own
	// load time, which changes only with its checkpoint.
	unitWeight = 0.1
)

// add updates the estimates with a finished load.
func (l *loadEstimates) add(u Unit, tier Tier, took time.Duration) {
	baseTime := l.baseTime(u, tier)
	if baseTime <= 0 {
		baseTime = took
	}
	slowdown := l.slowdownOf(tier)
	slowdown += slowdownWeight * (float64(took)/float64(baseTime) - slowdown)
	l.slowdown[tier] = slowdown
	l.measured[loadKey{u.Name, tier}] = baseTime + time.Duration(unitWeight*(float64(took)/slowdown-float64(baseTime)))
}

// expectedTime returns the expected load time of a unit from a tier.
func (l *loadEstimates) expectedTime(u Unit, tier Tier) time.Duration {
	return time.Duration(float64(l.baseTime(u, tier)) * l.slowdownOf(tier))
}

func (l *loadEstimates) slowdownOf(tier Tier) float64 {
	if slowdown, ok := l.slowdown[tier]; ok {
		return slowdown
	}
	return 1
}

// initialTierSpeedup is how much faster than the weight store a tier is assumed
// to be until a load from it was measured.
var initialTierSpeedup = map[Tier]float64{TierMemory: 10, TierDisk: 2.5, TierRemote: 1}

// baseTime returns the load time at a slowdown of 1.
func (l *loadEstimates) baseTime(u Unit, tier Tier) time.Duration {
	if took, ok := l.measured[loadKey{u.Name, tier}]; ok {
		return took
	}
	if first, ok := l.cfg.InitialLoadTimes[tier]; ok {
		return first
	}
	setup := l.cfg.ModelSetup
	if u.Base != "" {
		setup = l.cfg.AdapterSetup
	}
	rate := l.cfg.RemoteBytesPerSecond * initialTierSpeedup[tier]
	return setup + time.Duration(float64(u.Bytes)/rate*float64(time.Second))
}
