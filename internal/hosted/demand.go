package hosted

import (
	"math"
	"sync"
	"time"

	"bergamotreel/entryvm"
)

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }

const (
	// rateTimeConstant is the time constant of a model's request rate: long enough that a
	// model requested every few seconds doesn't look idle, short enough to follow a shift of
	// demand within seconds.
	rateTimeConstant = 6 * time.Second
	// minReportedRate is the rate, in requests per second, below which a model is left out of
	// reports.
	minReportedRate = 0.005
)

// demandMeter measures the rate of requests for each model on this VM. It is safe for
// concurrent use.
type demandMeter struct {
	mu    sync.Mutex
	rates map[modelKey]decayingCount
}

// decayingCount is a count that decays exponentially with rateTimeConstant.
type decayingCount struct {
	count float64
	at    time.Time
}

// valueAt returns the decayed count.
func (d decayingCount) valueAt(now time.Time) float64 {
	return d.count * math.Exp(-now.Sub(d.at).Seconds()/rateTimeConstant.Seconds())
}

func newDemandMeter() *demandMeter { return &demandMeter{rates: make(map[modelKey]decayingCount)} }

// recordRequest counts a request.
func (d *demandMeter) recordRequest(now time.Time, key modelKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rates[key] = decayingCount{count: d.rates[key].valueAt(now) + 1, at: now}
}

// modelRates returns the request rates and drops models whose rate is below minReportedRate.
func (d *demandMeter) modelRates(now time.Time) []entryvm.ModelRate {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []entryvm.ModelRate
	for key, counted := range d.rates {
		rate := counted.valueAt(now) / rateTimeConstant.Seconds()
		if rate < minReportedRate {
			delete(d.rates, key)
			continue
		}
		out = append(out, entryvm.ModelRate{Service: key.service, Model: key.model, Rate: float32(rate)})
	}
	return out
}
