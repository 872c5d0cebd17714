package daemon

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/internal/node"
	"bergamotreel/internal/telemetry"
)

// statsFor is how long one reading of the node serves the gauges: a scrape reads
// all of them at once.
const statsFor = 100 * time.Millisecond

// telemetryPaths are what telemetryHandler serves.
var telemetryPaths = []string{"/metrics", "/healthz", "/readyz"}

// telemetryHandler serves the metrics and the checks of one node.
func telemetryHandler(n *node.Node) http.Handler {
	mux := http.NewServeMux()
	// A set of its own: a development system has several nodes in one process.
	set := gauges(n.Stats)
	process := telemetry.MetricsHandler()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, r *http.Request) {
		process.ServeHTTP(w, r)
		set.WritePrometheus(w)
		writeRefusals(w, n.Stats().Refusals)
	})
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := n.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	return mux
}

// besideOperators serves the metrics on the operators' port, without a token as
// on a port of their own.
func besideOperators(telemetry, operators http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", operators)
	for _, path := range telemetryPaths {
		mux.Handle(path, telemetry)
	}
	return mux
}

// gauges makes the gauges of one node; docs/operations/metrics.md says what each
// means.
func gauges(read func() node.Stats) *metrics.Set {
	set := metrics.NewSet()
	var newest node.Stats
	var readAt time.Time
	// A scrape calls the gauges one after the other, under the set's lock.
	gauge := func(name string, value func(s node.Stats) float64) {
		set.NewGauge("bergamotreel_"+name, func() float64 {
			if now := time.Now(); now.Sub(readAt) > statsFor {
				newest, readAt = read(), now
			}
			return value(newest)
		})
	}
	gauge("control_applied_offset", func(s node.Stats) float64 { return float64(s.Applied) })
	gauge("control_end_offset", func(s node.Stats) float64 { return float64(s.End) })
	gauge("control_lag_records", func(s node.Stats) float64 { return float64(s.Lag) })
	gauge("control_skipped_records", func(s node.Stats) float64 { return float64(s.SkippedRecords) })
	gauge("claims_skipped_records", func(s node.Stats) float64 { return float64(s.SkippedClaims) })
	gauge("snapshots_written", func(s node.Stats) float64 { return float64(s.SnapshotsWritten) })
	gauge("log_reachable", func(s node.Stats) float64 { return truth(s.LogReachable) })
	gauge("ready", func(s node.Stats) float64 { return truth(s.Ready) })
	gauge("live_vms", func(s node.Stats) float64 { return float64(s.LiveVMs) })
	gauge("listed_vms", func(s node.Stats) float64 { return float64(s.ListedVMs) })
	gauge("session_held", func(s node.Stats) float64 { return truth(s.SessionHeld) })
	gauge("vm_id_contested", func(s node.Stats) float64 { return truth(s.HasDuplicateProcess) })
	gauge("engines_kept", func(s node.Stats) float64 { return float64(s.EnginesKept) })
	gauge("engines_listed", func(s node.Stats) float64 { return float64(s.EnginesListed) })
	gauge("engines_without_keeper", func(s node.Stats) float64 { return float64(s.EnginesUnkept) })
	gauge("requests_open", func(s node.Stats) float64 { return float64(s.OpenRequests) })
	gauge("requests_waiting", func(s node.Stats) float64 { return float64(s.Waiting) })
	gauge("requests_in_flight", func(s node.Stats) float64 { return float64(s.InFlight) })
	return set
}

// writeRefusals writes the counts of refusals by code.
func writeRefusals(w http.ResponseWriter, byCode map[string]uint64) {
	for code, count := range byCode {
		metrics.WriteCounterUint64(w, fmt.Sprintf("bergamotreel_refusals_total{code=%q}", code), count)
	}
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
