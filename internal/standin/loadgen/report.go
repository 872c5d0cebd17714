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
	// Histograms hold 10 us to 15 min with 3 digits.
	lowestMicros  = 10
	highestMicros = int64(maxDuration / time.Microsecond)
	digits        = 3
	// detailsPerOutcome bounds the kept details of each outcome.
	detailsPerOutcome = 3
)

// Report is what came out of a run.
type Report struct {
	Seed     uint64         `json:"seed"`
	Elapsed  time.Duration  `json:"took_ns"`
	Outcomes map[string]int `json:"outcomes"`
	// Details tell of the first outcomes of each kind other than ok.
	Details []string `json:"details,omitempty"`
	// RanTwice are the idempotency keys whose booking ran more than once.
	DuplicateRuns []string `json:"ran_twice,omitempty"`
	// RunsChecked is whether the services were asked for that.
	RunsChecked bool                      `json:"runs_checked"`
	Quantiles   map[string]LatencySummary `json:"quantiles"`

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// Summary is the quantiles of one time, in milliseconds.
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

// add counts one ended request. Times are those of whole answers only: a quick
// refusal is no quick answer.
func (r *Report) add(request planned, ended result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kind := kindOf(request)
	r.explain(kind+": "+ended.outcome, ended.detail)
	if ended.outcome != OutcomeOK {
		return
	}
	temperature := "warm"
	if ended.cold {
		temperature = "cold"
	}
	r.record(kind+" whole answer, "+temperature, ended.whole)
	if ended.first > 0 {
		r.record("first token, "+temperature, ended.first)
	}
	for _, gap := range ended.between {
		r.record("between tokens, "+temperature, gap)
	}
}

// explain counts an outcome and keeps its detail; r.mu is held.
func (r *Report) explain(outcome, detail string) {
	r.Outcomes[outcome]++
	if detail != "" && r.Outcomes[outcome] <= detailsPerOutcome {
		r.Details = append(r.Details, outcome+": "+detail)
	}
}

func kindOf(request planned) string {
	switch {
	case request.key != "":
		return "booking"
	case request.stream:
		return "stream"
	}
	return "one piece"
}

// record adds a time to a histogram; r.mu is held.
func (r *Report) record(name string, took time.Duration) {
	h, ok := r.histograms[name]
	if !ok {
		h = hdrhistogram.New(lowestMicros, highestMicros, digits)
		r.histograms[name] = h
	}
	// Timeouts are below the highest value, so nothing is left out.
	_ = h.RecordValue(took.Microseconds())
}

func summarize(h *hdrhistogram.Histogram) LatencySummary {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return LatencySummary{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// Broken tells whether an outcome came up that must never be.
func (r *Report) HasViolations() bool {
	for outcome, count := range r.Outcomes {
		for _, never := range []string{OutcomeWrong, OutcomeTruncated, OutcomeTimedOut} {
			if count > 0 && strings.HasSuffix(outcome, ": "+never) {
				return true
			}
		}
	}
	return len(r.DuplicateRuns) > 0
}

// Result is what a run prints: WriteTable for people, its fields as JSON.
type Result interface {
	WriteTable(w io.Writer) error
}

// fill works the quantiles out of the histograms.
func (r *Report) fill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, h := range r.histograms {
		r.Quantiles[name] = summarize(h)
	}
}

// WriteTable writes the report for people.
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
