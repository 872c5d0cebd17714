package hosted

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/admission/quarantine"
	"bergamotreel/internal/pause"
	"bergamotreel/service"
)

const (
	// brokenMost bounds the broken connections that wait to be looked into.
	brokenMost = 1024
	// crashGather is how long after the first broken connection further ones are waited for
	// before the backend server is probed.
	crashGather = 100 * time.Millisecond
	// crashProbes is how often one that does not answer the probe is probed.
	crashProbes = 3
)

// brokenRun is a request whose connection ended while a backend server ran it.
type brokenRun struct {
	backend string
	request quarantine.Fingerprint
}

// crashes finds backend servers whose process ended while they ran requests. A broken
// connection alone tells nothing: it may have been reset, or its path cut.
type crashes struct {
	node   *Node
	broken chan brokenRun

	mu sync.Mutex
	// running are the requests that broke at each backend server that is looked into.
	running map[string][]quarantine.Fingerprint
}

var (
	crashesSeen   = metrics.NewCounter("bergamotreel_backend_crashes_total")
	crashesUnseen = metrics.NewCounter("bergamotreel_broken_runs_dropped_total")
)

func newCrashes(n *Node) *crashes {
	return &crashes{node: n, broken: make(chan brokenRun, brokenMost), running: make(map[string][]quarantine.Fingerprint)}
}

// Broken implements serving.ForwardDirectory.
func (n *Node) Broken(backend string, request quarantine.Fingerprint) {
	select {
	case n.crashes.broken <- brokenRun{backend, request}:
	default:
		crashesUnseen.Inc()
	}
}

// run is the duty that looks into broken connections.
func (c *crashes) run(ctx context.Context) {
	var lookups sync.WaitGroup
	defer lookups.Wait()
	for {
		select {
		case run := <-c.broken:
			if c.add(run) {
				lookups.Go(func() { c.lookInto(ctx, run.backend) })
			}
		case <-ctx.Done():
			return
		}
	}
}

// add notes a broken run; it tells whether it is the backend server's first.
func (c *crashes) add(run brokenRun) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests, known := c.running[run.backend]
	c.running[run.backend] = append(requests, run.request)
	return !known
}

// take returns the requests that broke at a backend server, and forgets them.
func (c *crashes) take(backend string) []quarantine.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := c.running[backend]
	delete(c.running, backend)
	return requests
}

// lookInto finds out whether a backend server's process has ended.
func (c *crashes) lookInto(ctx context.Context, backend string) {
	ended := false
	for range crashProbes {
		if !pause.For(ctx, crashGather) {
			return
		}
		err := c.probe(ctx, backend)
		ended = errors.Is(err, service.ErrRefused)
		if err == nil || ended {
			break
		}
	}
	requests := c.take(backend)
	if !ended {
		return
	}
	crashesSeen.Inc()
	c.node.config.Logger.Warn("backend server ended while it ran requests", zap.String("backend", backend),
		zap.Stringers("fingerprints", requests))
}

// probe tells whether a backend server accepts connections.
func (c *crashes) probe(ctx context.Context, backend string) error {
	target, ok := c.node.Target(backend)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeMost)
	defer cancel()
	return c.node.config.Peers.Backends.Probe(ctx, target)
}
