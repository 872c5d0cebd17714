package admission

import (
	"math"
	"time"
)

// meter is an exponentially smoothed rate of events.
type meter struct {
	count float64 // events, each weighted by its age
	at    time.Time
}

func (m *meter) decay(now time.Time, window time.Duration) {
	if age := now.Sub(m.at); age > 0 {
		m.count *= math.Exp(-age.Seconds() / window.Seconds())
		m.at = now
	}
}

func (m *meter) add(now time.Time, n float64, window time.Duration) {
	m.decay(now, window)
	m.count += n
}

// rate is events a second.
func (m *meter) rate(now time.Time, window time.Duration) float64 {
	m.decay(now, window)
	return m.count / window.Seconds()
}
