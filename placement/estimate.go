package placement

import "time"

// loadEstimates learns load times by unit and tier, and how slow each tier is
// at present: when the weight store slows down, the first slow load of any unit
// corrects the estimates of all.
type loadEstimates struct {
	cfg  Config
	seen map[loadKey]time.Duration
	pace map[Tier]float64
}

type loadKey struct {
	unit string
	tier Tier
}

func newLoadEstimates(cfg Config) *loadEstimates {
	return &loadEstimates{cfg: cfg, seen: make(map[loadKey]time.Duration), pace: make(map[Tier]float64)}
}

const (
	// paceStep is how far a load moves the pace of its tier: three or four loads
	// carry it over to a changed store, one outlier does not.
	paceStep = 0.3
	// unitStep is the same for the unit's own estimate, which changes only with
	// its checkpoint.
	unitStep = 0.1
)

// add learns from a finished load.
func (l *loadEstimates) add(u Unit, tier Tier, took time.Duration) {
	base := l.base(u, tier)
	if base <= 0 {
		base = took
	}
	pace := l.paceOf(tier)
	pace += paceStep * (float64(took)/float64(base) - pace)
	l.pace[tier] = pace
	l.seen[loadKey{u.Name, tier}] = base + time.Duration(unitStep*(float64(took)/pace-float64(base)))
}

// expect is the expected load time of a unit.
func (l *loadEstimates) expect(u Unit, tier Tier) time.Duration {
	return time.Duration(float64(l.base(u, tier)) * l.paceOf(tier))
}

func (l *loadEstimates) paceOf(tier Tier) float64 {
	if pace, ok := l.pace[tier]; ok {
		return pace
	}
	return 1
}

// firstSpeed is how much faster than the weight store a tier is taken to be
// until loads were seen.
var firstSpeed = map[Tier]float64{TierMemory: 10, TierDisk: 2.5, TierRemote: 1}

// base is the load time at a pace of 1.
func (l *loadEstimates) base(u Unit, tier Tier) time.Duration {
	if took, ok := l.seen[loadKey{u.Name, tier}]; ok {
		return took
	}
	if first, ok := l.cfg.InitialLoadTimes[tier]; ok {
		return first
	}
	setup := l.cfg.ModelSetup
	if u.Base != "" {
		setup = l.cfg.AdapterSetup
	}
	rate := l.cfg.RemoteBytesPerSecond * firstSpeed[tier]
	return setup + time.Duration(float64(u.Bytes)/rate*float64(time.Second))
}
