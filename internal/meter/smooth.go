package meter

import (
	"math"
	"time"
)

// Smooth returns an exponentially smoothed mean after a sample that held for the given time since the
// last one. A time of 0 or less leaves the mean as it is.
func Smooth(mean, sample float64, age, window time.Duration) float64 {
	return sample + (mean-sample)*math.Exp(-max(age, 0).Seconds()/window.Seconds())
}
