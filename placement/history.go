package placement

import "time"

// history is the arrivals of one unit.
type history struct {
	last time.Time
	gaps [gapBuckets]float64
	seen float64
}

// gapBuckets are half-octaves from a second up.
const gapBuckets = 40

func (h *history) arrive(at time.Time) {
	if !h.last.IsZero() && at.After(h.last) {
		h.gaps[bucketOf(at.Sub(h.last))]++
		h.seen++
	}
	if at.After(h.last) {
		h.last = at
	}
}

func bucketOf(gap time.Duration) int {
	i := 0
	for limit := time.Second; gap > limit && i < gapBuckets-1; i++ {
		limit += limit / 2
	}
	return i
}

// keep is how long to keep after the last arrival.
func (h *history) keep(cfg Config, load time.Duration) time.Duration {
	keep := cfg.MinKeep
	if h.seen > 0 {
		limit, sum := time.Second, 0.0
		for i := 0; i < gapBuckets; i++ {
			sum += h.gaps[i]
			if sum >= h.seen*cfg.ColdStartWeight {
				break
			}
			limit += limit / 2
		}
		keep = max(keep, limit)
	}
	return min(keep, cfg.MaxKeep)
}
