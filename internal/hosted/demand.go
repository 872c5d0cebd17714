package hosted

import (
	"math"
	"sync"
	"time"

	"bergamotreel/entryvm"
)

// modelKey names a model of a service.
type modelKey struct{ service, model string }

const (
	// rateWindow is the time constant of a model's rate: long enough that a model
	// that is asked for every few seconds does not look idle, short enough to follow
	// a shift of demand within seconds.
	rateTimeConstant = 6 * time.Second
	// rateLeast is the rate, a second, below which a model is left out of reports.
	minReportedRate = 0.005
)

// demand measures how often each model is asked for on this VM. It is safe for
// concurrent use.
type demandMeter struct {
	mu    sync.Mutex
	rates map[modelKey]decayingCount
}

// decaying is a count that fades with rateWindow.
type decayingCount struct {
	count float64
	at    time.Time
}

func (d decayingCount) valueAt(now time.Time) float64 {
	return d.count * math.Exp(-now.Sub(d.at).Seconds()/rateTimeConstant.Seconds())
}

func newDemandMeter() *demandMeter { return &demandMeter{rates: make(map[modelKey]decayingCount)} }

// arrived counts a request.
func (d *demandMeter) recordRequest(now time.Time, key modelKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rates[key] = decayingCount{count: d.rates[key].valueAt(now) + 1, at: now}
}

// report returns the models that are asked for.
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
