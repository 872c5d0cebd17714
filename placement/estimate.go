package placement

import "time"

// loadEstimates learns load times by unit and tier.
type loadEstimates struct {
	cfg  Config
	seen map[loadKey]time.Duration
}

type loadKey struct {
	unit string
	tier Tier
}

func newLoadEstimates(cfg Config) *loadEstimates {
	return &loadEstimates{cfg: cfg, seen: make(map[loadKey]time.Duration)}
}

// add moves the estimate a quarter of the way to the newest load.
func (l *loadEstimates) add(unit string, tier Tier, took time.Duration) {
	k := loadKey{unit, tier}
	old, ok := l.seen[k]
	if !ok {
		l.seen[k] = took
		return
	}
	l.seen[k] = old + (took-old)/4
}

// firstTierSpeed is how much faster than the weight store a tier is taken to
// be until loads were seen.
var firstTierSpeed = map[Tier]float64{TierMemory: 16, TierDisk: 4, TierRemote: 1}

// expect is the expected load time.
func (l *loadEstimates) expect(unit string, tier Tier, bytes int64) time.Duration {
	if took, ok := l.seen[loadKey{unit, tier}]; ok {
		return took
	}
	if first, ok := l.cfg.LoadTime[tier]; ok {
		return first
	}
	rate := l.cfg.RemoteBytesPerSecond * firstTierSpeed[tier]
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}
