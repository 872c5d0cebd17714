package telemetry

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// MetricsHandler serves the process's metrics in Prometheus' text format.
func MetricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
	})
}
