package caller

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// instruments are the package's metrics, in the process's default set.
type instruments struct {
	firstTokenCold *metrics.Histogram
	firstTokenWarm *metrics.Histogram
	betweenTokens  *metrics.Histogram
	// open counts the requests under way.
	open *metrics.Gauge
}

func newInstruments() *instruments {
	return &instruments{
		firstTokenCold: metrics.GetOrCreateHistogram(`bergamotreel_caller_first_token_seconds{cold="true"}`),
		firstTokenWarm: metrics.GetOrCreateHistogram(`bergamotreel_caller_first_token_seconds{cold="false"}`),
		betweenTokens:  metrics.GetOrCreateHistogram(`bergamotreel_caller_between_tokens_seconds`),
		open:           metrics.GetOrCreateGauge(`bergamotreel_caller_open_requests`, nil),
	}
}

// request counts one ended request. Customers come from contracts, routes and
// codes from constants, so callers cannot make the number of series grow.
func (*instruments) request(customer, route, code string) {
	name := fmt.Sprintf(`bergamotreel_caller_requests_total{customer=%q,route=%q,code=%q}`, customer, route, code)
	metrics.GetOrCreateCounter(name).Inc()
}

func (m *instruments) firstToken(cold bool, wait time.Duration) {
	if cold {
		m.firstTokenCold.Update(wait.Seconds())
		return
	}
	m.firstTokenWarm.Update(wait.Seconds())
}
