package daemon

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/internal/node"
	"bergamotreel/internal/telemetry"
)

// statsCacheTTL is how long the gauges reuse one node.Stats: a scrape reads all gauges
// in a row, and they should come from the same reading.
const statsCacheTTL = 100 * time.Millisecond

// telemetryPaths lists the paths that telemetryHandler serves.
var telemetryPaths = []string{"/metrics", "/healthz", "/readyz"}

// telemetryHandler serves the metrics and the health checks of one node.
func telemetryHandler(n *node.Node) http.Handler {
	mux := http.NewServeMux()
	// Each node has its own set: a development system runs several nodes in one process.
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

// withTelemetry adds the telemetry paths to the operators' handler. They need no token,
// as on a separate metrics port.
func withTelemetry(telemetry, operators http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", operators)
	for _, path := range telemetryPaths {
		mux.Handle(path, telemetry)
	}
	return mux
}

// gauges returns the gauges of one node. docs/operations/metrics.md describes each of
// them.
func gauges(read func() node.Stats) *metrics.Set {
	set := metrics.NewSet()
	var newest node.Stats
	var readAt time.Time
	// A scrape calls the gauges sequentially under the set's lock, so newest and readAt
	// need no lock of their own.
	gauge := func(name string, value func(s node.Stats) float64) {
		set.NewGauge("bergamotreel_"+name, func() float64 {
			if now := time.Now(); now.Sub(readAt) > statsCacheTTL {
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
	gauge("log_reachable", func(s node.Stats) float64 { return boolToFloat(s.LogReachable) })
	gauge("ready", func(s node.Stats) float64 { return boolToFloat(s.Ready) })
	gauge("live_vms", func(s node.Stats) float64 { return float64(s.LiveVMs) })
	gauge("listed_vms", func(s node.Stats) float64 { return float64(s.ListedVMs) })
	gauge("session_held", func(s node.Stats) float64 { return boolToFloat(s.SessionHeld) })
	gauge("vm_id_contested", func(s node.Stats) float64 { return boolToFloat(s.HasDuplicateProcess) })
	gauge("engines_kept", func(s node.Stats) float64 { return float64(s.EnginesKept) })
	gauge("engines_listed", func(s node.Stats) float64 { return float64(s.EnginesListed) })
	gauge("engines_without_keeper", func(s node.Stats) float64 { return float64(s.EnginesUnkept) })
	gauge("requests_open", func(s node.Stats) float64 { return float64(s.OpenRequests) })
	gauge("requests_waiting", func(s node.Stats) float64 { return float64(s.Waiting) })
	gauge("requests_in_flight", func(s node.Stats) float64 { return float64(s.InFlight) })
	return set
}

// writeRefusals writes one counter for each refusal code.
func writeRefusals(w http.ResponseWriter, byCode map[string]uint64) {
	for code, count := range byCode {
		metrics.WriteCounterUint64(w, fmt.Sprintf("bergamotreel_refusals_total{code=%q}", code), count)
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
