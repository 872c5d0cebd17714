package loadgen

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// generator is a run under way.
type generator struct {
	settings Settings
	client   *http.Client
	report   *Report
	open     chan struct{}
	wait     sync.WaitGroup
}

// idlePerTarget is how many idle connections are kept for each target.
const idlePerTarget = 256

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerTarget}}
}

// Run sends the requests until the settings' duration or ctx ends, waits for the
// answers and reports.
func Run(ctx context.Context, settings Settings) (*Report, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	g := &generator{
		settings: settings, client: newClient(), report: newReport(settings), open: make(chan struct{}, maxOpen),
	}
	defer g.client.CloseIdleConnections()
	start := time.Now()
	plan := newPlanner(settings)
	for request, ok := plan.next(); ok; request, ok = plan.next() {
		if !sleepUntil(ctx, start.Add(request.at)) {
			break
		}
		g.launch(ctx, request)
	}
	g.wait.Wait()
	g.report.Elapsed = time.Since(start)
	g.report.fill()
	if len(settings.ServiceAdmins) > 0 {
		g.report.countRuns(ctx, g.client, settings.ServiceAdmins)
	}
	return g.report, nil
}

// sleepUntil returns false if ctx ends first. A time that has passed is at once:
// a late generator catches up instead of lowering the rate.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// launch sends a request without waiting for it.
func (g *generator) launch(ctx context.Context, request planned) {
	select {
	case g.open <- struct{}{}:
	default:
		g.report.add(request, result{outcome: OutcomeNotSent})
		return
	}
	g.wait.Go(func() {
		defer func() { <-g.open }()
		if request.other != "" {
			g.sendTwice(ctx, request)
			return
		}
		g.report.add(request, g.send(ctx, request.target, request))
	})
}

// sendTwice sends one booking at two entry VMs at the same time. Both may be
// told of the one booking that was made, or one may be refused; two different
// bookings are a broken promise.
func (g *generator) sendTwice(ctx context.Context, request planned) {
	var results [2]result
	var both sync.WaitGroup
	for i, target := range []string{request.target, request.other} {
		both.Go(func() { results[i] = g.send(ctx, target, request) })
	}
	both.Wait()
	if results[0].outcome == OutcomeOK && results[1].outcome == OutcomeOK && results[0].body != results[1].body {
		results[1].outcome = OutcomeWrong
		results[1].detail = "two answers for one key: " + results[0].body + " and " + results[1].body
	}
	g.report.add(request, results[0])
	g.report.add(request, results[1])
}
