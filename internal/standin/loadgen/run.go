package loadgen

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// generator holds the state of one run.
type generator struct {
	settings Settings
	client   *http.Client
	report   *Report
	// inFlight holds one element for each request in flight.
	inFlight chan struct{}
	senders  sync.WaitGroup
}

// maxIdleConnsPerTarget bounds the idle connections kept for each target.
const maxIdleConnsPerTarget = 256

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerTarget}}
}

// Run sends requests until settings.Duration has passed or ctx ends, waits for the
// answers and returns the report.
func Run(ctx context.Context, settings Settings) (*Report, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	g := &generator{
		settings: settings, client: newClient(), report: newReport(settings), inFlight: make(chan struct{}, maxInFlight),
	}
	defer g.client.CloseIdleConnections()
	start := time.Now()
	plan := newPlanner(settings)
	for request, ok := plan.nextRequest(); ok; request, ok = plan.nextRequest() {
		if !sleepUntil(ctx, start.Add(request.offset)) {
			break
		}
		g.sendAsync(ctx, request)
	}
	g.senders.Wait()
	g.report.Elapsed = time.Since(start)
	g.report.computeQuantiles()
	if len(settings.ServiceAdmins) > 0 {
		g.report.findDuplicateRuns(ctx, g.client, settings.ServiceAdmins)
	}
	return g.report, nil
}

// sleepUntil waits until the given time and returns false if ctx ends first. It
// returns at once if the time has passed, so that a late generator catches up
// instead of lowering the rate.
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

// sendAsync sends a request without waiting for its answer.
func (g *generator) sendAsync(ctx context.Context, request plannedRequest) {
	select {
	case g.inFlight <- struct{}{}:
	default:
		g.report.addResult(request, result{outcome: OutcomeNotSent})
		return
	}
	g.senders.Go(func() {
		defer func() { <-g.inFlight }()
		if request.repeatTarget != "" {
			g.sendTwice(ctx, request)
			return
		}
		g.report.addResult(request, g.send(ctx, request.target, request))
	})
}

// sendTwice sends one booking to two entry VMs at the same time. Both may answer
// with the same booking, or one may refuse. Answers with two different bookings
// violate the idempotency of the key.
func (g *generator) sendTwice(ctx context.Context, request plannedRequest) {
	var results [2]result
	var senders sync.WaitGroup
	for i, target := range []string{request.target, request.repeatTarget} {
		senders.Go(func() { results[i] = g.send(ctx, target, request) })
	}
	senders.Wait()
	if results[0].outcome == OutcomeOK && results[1].outcome == OutcomeOK && results[0].body != results[1].body {
		results[1].outcome = OutcomeWrong
		results[1].detail = "two answers for one key: " + results[0].body + " and " + results[1].body
	}
	g.report.addResult(request, results[0])
	g.report.addResult(request, results[1])
}
