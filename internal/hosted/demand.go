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
	rateWindow = 6 * time.Second
	// rateLeast is the rate, a second, below which a model is left out of reports.
	rateLeast = 0.005
)

// demand measures how often each model is asked for on this VM. It is safe for
// concurrent use.
type demand struct {
	mu    sync.Mutex
	rates map[modelKey]decaying
}

// decaying is a count that fades with rateWindow.
type decaying struct {
	count float64
	at    time.Time
}

func (d decaying) now(now time.Time) float64 {
	return d.count * math.Exp(-now.Sub(d.at).Seconds()/rateWindow.Seconds())
}

func newDemand() *demand { return &demand{rates: make(map[modelKey]decaying)} }

// arrived counts a request.
func (d *demand) arrived(now time.Time, key modelKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rates[key] = decaying{count: d.rates[key].now(now) + 1, at: now}
}

// report returns the models that are asked for.
func (d *demand) report(now time.Time) []entryvm.ModelRate {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []entryvm.ModelRate
	for key, counted := range d.rates {
		rate := counted.now(now) / rateWindow.Seconds()
		if rate < rateLeast {
			delete(d.rates, key)
			continue
		}
		out = append(out, entryvm.ModelRate{Service: key.service, Model: key.model, Rate: float32(rate)})
	}
	return out
}
