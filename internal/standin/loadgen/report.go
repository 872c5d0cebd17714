package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Histograms cover 10 us to maxDuration with 3 significant digits.
	minMicros         = 10
	maxMicros         = int64(maxDuration / time.Microsecond)
	significantDigits = 3
	// maxDetailsPerOutcome bounds the details that a report keeps for each outcome.
	maxDetailsPerOutcome = 3
)

// Report holds the outcomes and the latencies of a run.
type Report struct {
	Seed     uint64         `json:"seed"`
	Elapsed  time.Duration  `json:"took_ns"`
	Outcomes map[string]int `json:"outcomes"`
	// Details explains the first results of each outcome other than OutcomeOK.
	Details []string `json:"details,omitempty"`
	// DuplicateRuns lists the idempotency keys whose booking ran more than once.
	DuplicateRuns []string `json:"ran_twice,omitempty"`
	// RunsChecked reports whether the services were queried for duplicate runs.
	RunsChecked bool                      `json:"runs_checked"`
	Quantiles   map[string]LatencySummary `json:"quantiles"`

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// LatencySummary holds the quantiles of one latency, in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func newReport(settings Settings) *Report {
	return &Report{
		Seed: settings.Seed, Outcomes: map[string]int{},
		Quantiles: map[string]LatencySummary{}, histograms: map[string]*hdrhistogram.Histogram{},
	}
}

// addResult adds the result of one request. Only complete answers count in the
// latencies, because quick refusals would make the answers look faster.
func (r *Report) addResult(request plannedRequest, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kind := requestKind(request)
	r.countOutcome(kind+": "+res.outcome, res.detail)
	if res.outcome != OutcomeOK {
		return
	}
	startKind := "warm"
	if res.cold {
		startKind = "cold"
	}
	r.recordLatency(kind+" whole answer, "+startKind, res.totalTime)
	if res.timeToFirstToken > 0 {
		r.recordLatency("first token, "+startKind, res.timeToFirstToken)
	}
	for _, gap := range res.tokenGaps {
		r.recordLatency("between tokens, "+startKind, gap)
	}
}

// countOutcome counts an outcome and keeps its detail. The caller holds r.mu.
func (r *Report) countOutcome(outcome, detail string) {
	r.Outcomes[outcome]++
	if detail != "" && r.Outcomes[outcome] <= maxDetailsPerOutcome {
		r.Details = append(r.Details, outcome+": "+detail)
	}
}

// requestKind returns the kind of request that outcomes are reported under.
func requestKind(request plannedRequest) string {
	switch {
	case request.idempotencyKey != "":
		return "booking"
	case request.stream:
		return "stream"
	}
	return "one piece"
}

// recordLatency adds a latency to the named histogram. The caller holds r.mu.
func (r *Report) recordLatency(name string, latency time.Duration) {
	h, ok := r.histograms[name]
	if !ok {
		h = hdrhistogram.New(minMicros, maxMicros, significantDigits)
		r.histograms[name] = h
	}
	// RecordValue only fails above maxMicros, which takes a Timeout above maxDuration.
	_ = h.RecordValue(latency.Microseconds())
}

func summarize(h *hdrhistogram.Histogram) LatencySummary {
	quantileMillis := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return LatencySummary{Count: h.TotalCount(), P50: quantileMillis(50), P95: quantileMillis(95), P99: quantileMillis(99), Max: float64(h.Max()) / 1000}
}

// HasViolations reports whether a request had an outcome that is never allowed or a
// booking ran more than once.
func (r *Report) HasViolations() bool {
	for outcome, count := range r.Outcomes {
		for _, violation := range []string{OutcomeWrong, OutcomeTruncated, OutcomeTimedOut} {
			if count > 0 && strings.HasSuffix(outcome, ": "+violation) {
				return true
			}
		}
	}
	return len(r.DuplicateRuns) > 0
}

// Result is the result of a run, printed as text by WriteTable or as JSON by its
// fields.
type Result interface {
	WriteTable(w io.Writer) error
}

// computeQuantiles fills in Quantiles from the histograms.
func (r *Report) computeQuantiles() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, h := range r.histograms {
		r.Quantiles[name] = summarize(h)
	}
}

// WriteTable writes the report as text.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "seed %d, took %v\n\ncount\toutcome\t\n", r.Seed, r.Elapsed.Round(time.Millisecond))
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(table, "%d\t%s\t\n", r.Outcomes[outcome], outcome)
	}
	fmt.Fprintf(table, "\ncount\tp50 ms\tp95 ms\tp99 ms\tmax ms\ttime\t\n")
	for _, name := range slices.Sorted(maps.Keys(r.Quantiles)) {
		q := r.Quantiles[name]
		fmt.Fprintf(table, "%d\t%.2f\t%.2f\t%.2f\t%.2f\t%s\t\n", q.Count, q.P50, q.P95, q.P99, q.Max, name)
	}
	if r.RunsChecked {
		fmt.Fprintf(table, "\nbookings that ran more than once: %d %v\n", len(r.DuplicateRuns), r.DuplicateRuns)
	}
	for _, detail := range r.Details {
		fmt.Fprintln(table, detail)
	}
	return Error.Wrap(table.Flush())
}
