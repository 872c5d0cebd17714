package loadgen

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bergamotreel/engine"
)

// Comparison holds the latency that an entry VM adds. One run sends the same kind
// of request alternately through the VM and directly to the engine.
type Comparison struct {
	Seed    uint64 `json:"seed"`
	Workers int    `json:"workers"`
	// Failed counts the requests without a complete answer, by route and outcome.
	// The latencies exclude them.
	Failed    map[string]int      `json:"failed,omitempty"`
	Latencies []LatencyComparison `json:"times"`
}

// LatencyComparison holds one latency, measured on both routes.
type LatencyComparison struct {
	Name     string         `json:"name"`
	Direct   LatencySummary `json:"direct"`
	Through  LatencySummary `json:"through"`
	AddedP50 float64        `json:"added_p50_ms"`
	AddedP99 float64        `json:"added_p99_ms"`
	RatioP50 float64        `json:"ratio_p50"`
	RatioP99 float64        `json:"ratio_p99"`
}

// comparedLatencies names the latencies that a Comparison reports.
var comparedLatencies = []string{"first token", "between tokens", "whole answer"}

// routeStats collects the results of one of the two routes of a comparison.
type routeStats struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
	failed     map[string]int
}

func newRouteStats() *routeStats {
	s := &routeStats{histograms: map[string]*hdrhistogram.Histogram{}, failed: map[string]int{}}
	for _, name := range comparedLatencies {
		s.histograms[name] = hdrhistogram.New(1, maxMicros, significantDigits)
	}
	return s
}

func (s *routeStats) add(r result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.outcome != OutcomeOK {
		s.failed[r.outcome]++
		return
	}
	// RecordValue only fails above maxMicros, which takes a Timeout above maxDuration.
	_ = s.histograms["first token"].RecordValue(r.timeToFirstToken.Microseconds())
	_ = s.histograms["whole answer"].RecordValue(r.totalTime.Microseconds())
	for _, gap := range r.tokenGaps {
		_ = s.histograms["between tokens"].RecordValue(gap.Microseconds())
	}
}

// Compare sends streams alternately to the first target and to the engine, from
// the given number of concurrent workers, for settings.Duration.
func Compare(ctx context.Context, settings Settings, engineAddress string, workers int) (*Comparison, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	if err := checkLoopback([]string{engineAddress}); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, settings.Duration)
	defer cancel()
	g := &generator{settings: settings, client: newClient()}
	defer g.client.CloseIdleConnections()
	direct, through := newRouteStats(), newRouteStats()
	for worker := range workers {
		g.senders.Go(func() { g.sendAlternating(ctx, uint64(worker), engineAddress, direct, through) })
	}
	g.senders.Wait()
	return newComparison(settings.Seed, workers, direct, through), nil
}

// sendAlternating sends to both routes in turn until ctx ends; the order of the
// two changes each round. It finishes the requests in flight.
func (g *generator) sendAlternating(ctx context.Context, worker uint64, engineAddress string, direct, through *routeStats) {
	settings := g.settings
	settings.Seed += worker
	plan := newPlanner(settings)
	requestCtx := context.WithoutCancel(ctx)
	sendStreams := func(senders ...func(plannedRequest)) {
		for _, send := range senders {
			var request plannedRequest
			plan.planGeneration(&request, settings.Models[0])
			request.body = buildChatBody(settings.Models[0], plan.buildPrompt(settings.Models[0]), settings.MaxTokens, true)
			request.stream = true
			send(request)
		}
	}
	sendDirect := func(r plannedRequest) { direct.add(g.sendToEngine(requestCtx, engineAddress, r, plan)) }
	sendThrough := func(r plannedRequest) { through.add(g.send(requestCtx, settings.Targets[0], r)) }
	for ctx.Err() == nil {
		sendStreams(sendDirect, sendThrough)
		sendStreams(sendThrough, sendDirect)
	}
}

// sendToEngine sends a stream request directly to the engine, in its protocol.
func (g *generator) sendToEngine(ctx context.Context, address string, request plannedRequest, plan *planner) result {
	ctx, cancel := context.WithTimeout(ctx, g.settings.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+request.path, strings.NewReader(string(request.body)))
	if err != nil {
		return result{outcome: OutcomeBrokenConnection, detail: err.Error()}
	}
	r.Header.Set(engine.HeaderRequestID, fmt.Sprintf("direct-%016x", plan.random.Uint64()))
	r.Header.Set(engine.HeaderUnit, g.settings.Models[0])
	start := time.Now()
	answer, err := g.client.Do(r)
	if err != nil {
		return result{outcome: connectionFailureOutcome(ctx, err), detail: err.Error()}
	}
	defer answer.Body.Close()
	res := readAnswer(ctx, answer, request, start)
	res.totalTime = time.Since(start)
	return res
}

func newComparison(seed uint64, workers int, direct, through *routeStats) *Comparison {
	c := &Comparison{Seed: seed, Workers: workers, Failed: map[string]int{}}
	for outcome, n := range direct.failed {
		c.Failed["direct: "+outcome] = n
	}
	for outcome, n := range through.failed {
		c.Failed["through: "+outcome] = n
	}
	for _, name := range comparedLatencies {
		d, t := summarize(direct.histograms[name]), summarize(through.histograms[name])
		c.Latencies = append(c.Latencies, LatencyComparison{
			Name: name, Direct: d, Through: t,
			AddedP50: t.P50 - d.P50, AddedP99: t.P99 - d.P99,
			RatioP50: ratio(t.P50, d.P50), RatioP99: ratio(t.P99, d.P99),
		})
	}
	return c
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// WriteTable writes the comparison as text.
func (c *Comparison) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "seed %d, %d workers\n\n", c.Seed, c.Workers)
	fmt.Fprintf(table, "time (ms)\tcount\tdirect p50\tp99\tthrough p50\tp99\tadded p50\tp99\tratio p50\tp99\t\n")
	for _, t := range c.Latencies {
		fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t\n", t.Name, t.Through.Count,
			t.Direct.P50, t.Direct.P99, t.Through.P50, t.Through.P99, t.AddedP50, t.AddedP99, t.RatioP50, t.RatioP99)
	}
	for outcome, n := range c.Failed {
		fmt.Fprintf(table, "%d not whole: %s\n", n, outcome)
	}
	return Error.Wrap(table.Flush())
}
