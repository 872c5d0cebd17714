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

// Comparison is the latency that an entry VM adds: the same kind of request,
// through it and to the engine itself, in turn, in one run.
type Comparison struct {
	Seed    uint64 `json:"seed"`
	Workers int    `json:"workers"`
	// Failed counts answers that were not whole, on both ways; they are in no
	// time.
	Failed    map[string]int      `json:"failed,omitempty"`
	Latencies []LatencyComparison `json:"times"`
}

// ComparedTimes is one time on both ways.
type LatencyComparison struct {
	Name     string         `json:"name"`
	Direct   LatencySummary `json:"direct"`
	Through  LatencySummary `json:"through"`
	AddedP50 float64        `json:"added_p50_ms"`
	AddedP99 float64        `json:"added_p99_ms"`
	RatioP50 float64        `json:"ratio_p50"`
	RatioP99 float64        `json:"ratio_p99"`
}

// comparedNames are the times compared.
var comparedNames = []string{"first token", "between tokens", "whole answer"}

// way is one of the two ways of a comparison.
type way struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
	failed     map[string]int
}

func newWay() *way {
	w := &way{histograms: map[string]*hdrhistogram.Histogram{}, failed: map[string]int{}}
	for _, name := range comparedNames {
		w.histograms[name] = hdrhistogram.New(1, highestMicros, digits)
	}
	return w
}

func (w *way) add(r result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.outcome != OutcomeOK {
		w.failed[r.outcome]++
		return
	}
	// Timeouts are below the highest value, so nothing is left out.
	_ = w.histograms["first token"].RecordValue(r.first.Microseconds())
	_ = w.histograms["whole answer"].RecordValue(r.whole.Microseconds())
	for _, gap := range r.between {
		_ = w.histograms["between tokens"].RecordValue(gap.Microseconds())
	}
}

// Compare sends streams in turn to the first target and to the engine, by the
// given number of workers at once, for the settings' duration.
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
	direct, through := newWay(), newWay()
	for worker := range workers {
		g.wait.Go(func() { g.alternate(ctx, uint64(worker), engineAddress, direct, through) })
	}
	g.wait.Wait()
	return newComparison(settings.Seed, workers, direct, through), nil
}

// alternate sends to both ways in turn until ctx ends; which of the two goes
// first changes from round to round. A request in flight is finished.
func (g *generator) alternate(ctx context.Context, worker uint64, engineAddress string, direct, through *way) {
	settings := g.settings
	settings.Seed += worker
	plan := newPlanner(settings)
	running := context.WithoutCancel(ctx)
	ask := func(ways ...func(planned)) {
		for _, send := range ways {
			var request planned
			plan.generation(&request, settings.Models[0])
			request.body = chatBody(settings.Models[0], plan.prompt(settings.Models[0]), settings.MaxTokens, true)
			request.stream = true
			send(request)
		}
	}
	toEngine := func(r planned) { direct.add(g.sendToEngine(running, engineAddress, r, plan)) }
	toEntry := func(r planned) { through.add(g.send(running, settings.Targets[0], r)) }
	for ctx.Err() == nil {
		ask(toEngine, toEntry)
		ask(toEntry, toEngine)
	}
}

// sendToEngine sends a stream by the engine's protocol.
func (g *generator) sendToEngine(ctx context.Context, address string, request planned, plan *planner) result {
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
		return result{outcome: brokenOutcome(ctx, err), detail: err.Error()}
	}
	defer answer.Body.Close()
	ended := readAnswer(ctx, answer, request, start)
	ended.whole = time.Since(start)
	return ended
}

func newComparison(seed uint64, workers int, direct, through *way) *Comparison {
	c := &Comparison{Seed: seed, Workers: workers, Failed: map[string]int{}}
	for outcome, n := range direct.failed {
		c.Failed["direct: "+outcome] = n
	}
	for outcome, n := range through.failed {
		c.Failed["through: "+outcome] = n
	}
	for _, name := range comparedNames {
		d, t := summarize(direct.histograms[name]), summarize(through.histograms[name])
		c.Latencies = append(c.Latencies, LatencyComparison{
			Name: name, Direct: d, Through: t,
			AddedP50: t.P50 - d.P50, AddedP99: t.P99 - d.P99,
			RatioP50: ratio(t.P50, d.P50), RatioP99: ratio(t.P99, d.P99),
		})
	}
	return c
}

// ratio is 0 where there is nothing to compare with.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// WriteTable writes the comparison for people.
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
