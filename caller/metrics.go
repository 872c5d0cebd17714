package caller

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// instruments holds the metrics of a Handler, registered in the default set.
type instruments struct {
	firstTokenCold *metrics.Histogram
	firstTokenWarm *metrics.Histogram
	betweenTokens  *metrics.Histogram
	// openRequests is the number of requests in flight.
	openRequests *metrics.Gauge
}

func newInstruments() *instruments {
	return &instruments{
		firstTokenCold: metrics.GetOrCreateHistogram(`bergamotreel_caller_first_token_seconds{cold="true"}`),
		firstTokenWarm: metrics.GetOrCreateHistogram(`bergamotreel_caller_first_token_seconds{cold="false"}`),
		betweenTokens:  metrics.GetOrCreateHistogram(`bergamotreel_caller_between_tokens_seconds`),
		openRequests:   metrics.GetOrCreateGauge(`bergamotreel_caller_open_requests`, nil),
	}
}

// countRequest counts one completed request. Customers come from contracts, routes
// and codes from constants, so callers can't increase the number of series.
func (*instruments) countRequest(customer, route, code string) {
	name := fmt.Sprintf(`bergamotreel_caller_requests_total{customer=%q,route=%q,code=%q}`, customer, route, code)
	metrics.GetOrCreateCounter(name).Inc()
}

func (m *instruments) observeFirstToken(cold bool, wait time.Duration) {
	if cold {
		m.firstTokenCold.Update(wait.Seconds())
		return
	}
	m.firstTokenWarm.Update(wait.Seconds())
}

// cutOffTotal counts the open connections that Server.Close closed, by their state.
var cutOffTotal = struct{ new, idle, reading, answering *metrics.Counter }{
	metrics.NewCounter(`bergamotreel_caller_connections_cut_off_total{state="new"}`),
	metrics.NewCounter(`bergamotreel_caller_connections_cut_off_total{state="idle"}`),
	metrics.NewCounter(`bergamotreel_caller_connections_cut_off_total{state="reading"}`),
	metrics.NewCounter(`bergamotreel_caller_connections_cut_off_total{state="answering"}`),
}

func countCutOff(counts ConnectionCounts) {
	cutOffTotal.new.Add(counts.New)
	cutOffTotal.idle.Add(counts.Idle)
	cutOffTotal.reading.Add(counts.Reading)
	cutOffTotal.answering.Add(counts.Answering)
}
