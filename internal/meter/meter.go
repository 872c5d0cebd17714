// Package meter measures exponentially smoothed rates of events. It reads no clock: the
// caller passes the time.
package meter

import (
	"math"
	"time"
)

// Meter measures an exponentially smoothed rate of events. The zero value has no events.
type Meter struct {
	// Count is the number of events so far, each weighted by its age at the last Decay.
	Count float64
	at    time.Time
}

// Decay reduces the count for the time since the last call.
func (m *Meter) Decay(now time.Time, window time.Duration) {
	if age := now.Sub(m.at); age > 0 {
		m.Count *= math.Exp(-age.Seconds() / window.Seconds())
		m.at = now
	}
}

// Add adds n events at now.
func (m *Meter) Add(now time.Time, n float64, window time.Duration) {
	m.Decay(now, window)
	m.Count += n
}

// Rate returns the events per second.
func (m *Meter) Rate(now time.Time, window time.Duration) float64 {
	m.Decay(now, window)
	return m.Count / window.Seconds()
}
