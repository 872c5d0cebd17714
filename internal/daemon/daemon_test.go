package daemon

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/caller"
	"bergamotreel/internal/node"
	"bergamotreel/internal/settings"
	"bergamotreel/internal/testkit"
)

// sampleSettings parses the sample settings with a valid secret. replacements holds further
// pairs of old and new text.
func sampleSettings(t *testing.T, replacements ...string) *settings.Settings {
	t.Helper()
	replacements = append(replacements, "replace-by-32-or-more-random-characters", strings.Repeat("x", settings.MinSecretLength))
	s := testkit.Value(settings.Parse("sample.ini", strings.NewReplacer(replacements...).Replace(settings.Sample())))(t)
	return s
}

// Guards against a limit that the settings offer but callerLimits doesn't pass on: the
// operator would rely on a limit that isn't enforced.
func TestEachLimitReachesThePort(t *testing.T) {
	limits := reflect.ValueOf(callerLimits(sampleSettings(t).Limits, func() int { return 0 }))
	for i := range limits.NumField() {
		testkit.That(t, !limits.Field(i).IsZero(), "caller.Limits.%s is not set", limits.Type().Field(i).Name)
	}
	testkit.Equal(t, "held bytes", limits.Interface().(caller.Limits).HeldBytes, 128<<20)
}

// Guards against limits that together allow more than a small VM's memory.
func TestHostedLimitsFitMemory(t *testing.T) {
	l := sampleSettings(t).Limits
	l.Memory = 184_000_000
	small := hostedLimits(l)
	testkit.That(t, small.HeldBytes <= l.Memory/4 && int64(small.Connections)*connectionBytes <= l.Memory/2, "%+v", small)
	l.Memory = 1 << 40
	large := hostedLimits(l)
	testkit.That(t, large.HeldBytes == l.HeldBytes && large.Connections == l.Connections, "%+v", large)
}

func TestRetryBudgetReachesTheNode(t *testing.T) {
	s := sampleSettings(t)
	for budget, want := range map[float64]float64{0: -1, 0.25: 0.25} {
		s.Policy.RetryBudget = budget
		testkit.Equal(t, fmt.Sprintf("share for retry_budget %v", budget), nodeConfig(s, "i", "v", nil, node.Peers{}, nil).RetryShare, want)
	}
}

// Without a metrics address the operators' port serves the metrics without a token, and
// the operators' paths still go to the operators' handler.
func TestMetricsOnOperatorsPort(t *testing.T) {
	respondWith := func(name string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(name)) })
	}
	handler := withTelemetry(respondWith("telemetry"), respondWith("operators"))
	for path, want := range map[string]string{"/metrics": "telemetry", "/readyz": "telemetry", "/status": "operators"} {
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest("GET", path, nil))
		testkit.That(t, answer.Body.String() == want, "%s is served by %s", path, answer.Body)
	}
}

// The metrics page must describe each served metric, and no others.
func TestPageNamesEachMetric(t *testing.T) {
	page := testkit.Value(os.ReadFile("../../docs/operations/metrics.md"))(t)
	var text bytes.Buffer
	stats := node.Stats{Lag: 7, Refusals: map[string]uint64{"slow": 3}}
	gauges(func() node.Stats { return stats }).WritePrometheus(&text)
	answer := httptest.NewRecorder()
	writeRefusals(answer, stats.Refusals)
	text.WriteString(answer.Body.String())
	text.WriteString(callerMetricNames())
	testkit.That(t, strings.Contains(text.String(), "bergamotreel_control_lag_records 7"), "got %s", text.String())
	name := regexp.MustCompile(`bergamotreel_[a-z_]+`)
	served := make(map[string]bool)
	for _, metric := range name.FindAllString(text.String(), -1) {
		served[metric] = true
		testkit.That(t, strings.Contains(string(page), "`"+metric+"`"), "the page doesn't name %s", metric)
	}
	for _, metric := range name.FindAllString(string(page), -1) {
		testkit.That(t, served[metric], "the page names %s, which is not served", metric)
	}
}

// emptyBackend is a caller.Backend that identifies no caller.
type emptyBackend struct{ caller.Backend }

func (emptyBackend) Identify(string) (caller.Identity, bool) { return caller.Identity{}, false }

func (emptyBackend) Ready() error { return nil }

// callerMetricNames returns the names of the callers' port's metrics after one request.
func callerMetricNames() string {
	handler := caller.New(emptyBackend{}, caller.Limits{})
	handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/v1/models", nil))
	return strings.Join(metrics.ListMetricNames(), "\n")
}

// A small heap grows to heapFloor. A large one grows by Go's default, so that it never
// takes more memory than without the floor.
func TestHeapFloor(t *testing.T) {
	for _, live := range []uint64{0, 1 << 20, 4 << 20, heapFloor/2 - 1, heapFloor / 2, 100 << 20} {
		target := live + live*uint64(gcPercent(live))/100
		testkit.That(t, target <= max(heapFloor, 2*live) && (live == 0 || target >= heapFloor*99/100), "%d live bytes grow to %d", live, target)
	}
}
