package hosted

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/admission/quarantine"
	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/serving"
	"bergamotreel/refusal"
	"bergamotreel/service"
)

const (
	// brokenMost bounds the broken connections that wait to be investigated.
	brokenMost = 1024
	// crashGather is how long after the first broken connection further ones are waited for
	// before the backend server is probed.
	crashGather = 100 * time.Millisecond
	// crashProbes is how often one that does not answer the probe is probed.
	crashProbes = 3
	// suspectsMost bounds the suspects in one report; the next one carries the rest.
	suspectsMost = 256
	// suspectsSweep is how often outdated suspects are looked for.
	suspectsSweep = 10 * time.Second
)

// brokenRun is a request whose connection ended while a backend server ran it.
type brokenRun struct {
	backend string
	request quarantine.Fingerprint
}

// crashes finds backend servers whose process ended while they ran requests, and shares
// with the other entry VMs which requests these were. A broken connection alone tells
// nothing: it may have been reset, or its path cut.
type crashes struct {
	node   *Node
	broken chan brokenRun
	// active is whether there are suspects.
	active atomic.Bool

	mu sync.Mutex
	// running are the requests that broke at each backend server that is investigated.
	running map[string][]quarantine.Fingerprint
	table   *quarantine.Table
	// seen is up to which version this VM has each other one's suspects.
	seen map[string]entryvm.NewsSeen
	// recorded are the requests whose record in the registry is known to this VM.
	recorded map[quarantine.Fingerprint]bool
}

var (
	crashesSeen    = metrics.NewCounter("bergamotreel_backend_crashes_total")
	brokenDropped  = metrics.NewCounter("bergamotreel_broken_runs_dropped_total")
	quarantinedNew = metrics.NewCounter("bergamotreel_requests_quarantined_total")
)

var _ serving.Quarantine = (*crashes)(nil)

func newCrashes(n *Node) *crashes {
	return &crashes{node: n, broken: make(chan brokenRun, brokenMost), running: make(map[string][]quarantine.Fingerprint),
		table: quarantine.NewTable(quarantine.Config{}), seen: make(map[string]entryvm.NewsSeen), recorded: make(map[quarantine.Fingerprint]bool)}
}

// Suspects implements serving.Quarantine.
func (c *crashes) Suspects() bool { return c.active.Load() }

// Broken implements serving.Quarantine.
func (c *crashes) Broken(backend string, request quarantine.Fingerprint) {
	select {
	case c.broken <- brokenRun{backend, request}:
	default:
		brokenDropped.Inc()
	}
}

// Answered implements serving.Quarantine.
func (c *crashes) Answered(request quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.RecordSuccess(time.Now(), request) {
		c.node.config.Logger.Info("request cleared of suspicion", zap.Stringer("fingerprint", request))
	}
}

// Refusal implements serving.Quarantine.
func (c *crashes) Refusal(request quarantine.Fingerprint) *refusal.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	left, refused := c.table.RefusedFor(time.Now(), request)
	if !refused {
		return nil
	}
	return refusal.New(refusal.CodeQuarantined, left, "backend servers ended each time that they ran this request, %s", request)
}

// run is the duty that investigates broken connections.
func (c *crashes) run(ctx context.Context) {
	var investigations sync.WaitGroup
	defer investigations.Wait()
	sweep := time.NewTicker(suspectsSweep)
	defer sweep.Stop()
	for {
		select {
		case run := <-c.broken:
			if c.add(run) {
				investigations.Go(func() { c.investigate(ctx, run.backend) })
			}
		case <-sweep.C:
			c.expire()
		case <-ctx.Done():
			return
		}
	}
}

func (c *crashes) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Expire(time.Now())
	c.active.Store(c.table.Len() > 0)
}

// add notes a broken run; it tells whether it is the backend server's first.
func (c *crashes) add(run brokenRun) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests, known := c.running[run.backend]
	c.running[run.backend] = append(requests, run.request)
	return !known
}

// pop returns the requests that broke at a backend server, and forgets them.
func (c *crashes) pop(backend string) []quarantine.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := c.running[backend]
	delete(c.running, backend)
	return requests
}

// investigate finds out whether a backend server's process has ended.
func (c *crashes) investigate(ctx context.Context, id string) {
	b, listed := c.node.backends.get(id)
	ended := false
	for range crashProbes {
		if !pause.For(ctx, crashGather) {
			return
		}
		if !listed {
			break // its address is not known
		}
		err := c.node.tryConnect(ctx, service.Target{ID: id, Address: b.Address})
		ended = errors.Is(err, service.ErrRefused)
		if err == nil || ended {
			break
		}
	}
	requests := c.pop(id)
	if !ended {
		return
	}
	crashesSeen.Inc()
	c.node.config.Logger.Warn("backend server ended while it ran requests", zap.String("backend", id),
		zap.Stringers("fingerprints", requests))
	c.crashed(id, b.Started, requests)
}

// crashed notes the end of one start of a backend server.
func (c *crashes) crashed(id string, started int64, requests []quarantine.Fingerprint) {
	start := id + "@" + strconv.FormatInt(started, 10)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logQuarantined(c.table.RecordCrash(time.Now(), start, requests))
	c.active.Store(true)
}

// logQuarantined tells of requests that are refused from now on.
func (c *crashes) logQuarantined(requests []quarantine.Fingerprint) {
	if len(requests) == 0 {
		return
	}
	quarantinedNew.Add(len(requests))
	c.node.config.Logger.Warn("requests quarantined", zap.Stringers("fingerprints", requests))
}

// publish adds to a report the suspects that the VM which it goes to lacks; last is that
// VM's newest report.
func (c *crashes) publish(now time.Time, report, last *entryvm.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report.SuspectsSeen = c.seen[last.VM]
	if last.VM == "" {
		return // which ones it has is not known before its first report
	}
	from := uint64(0)
	if last.SuspectsSeen.Incarnation == c.node.config.Incarnation {
		from = last.SuspectsSeen.Next
	}
	entries, next := c.table.ChangedSince(now, from, suspectsMost)
	report.SuspectsNext = next
	for _, e := range entries {
		report.Suspects = append(report.Suspects, entryvm.Suspect{
			Request: uint64(e.Request), Backends: e.Backends, Cleared: e.Cleared, Age: e.Age,
		})
	}
}

// merge takes the suspects of a report.
func (c *crashes) merge(now time.Time, report *entryvm.Report) {
	if report.SuspectsNext == 0 {
		return
	}
	entries := make([]quarantine.Suspect, 0, len(report.Suspects))
	for _, s := range report.Suspects {
		entries = append(entries, quarantine.Suspect{
			Request: quarantine.Fingerprint(s.Request), Backends: s.Backends, Cleared: s.Cleared, Age: s.Age,
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.seen[report.VM]
	if seen.Incarnation != report.Incarnation || seen.Next < report.SuspectsNext {
		c.seen[report.VM] = entryvm.NewsSeen{Incarnation: report.Incarnation, Next: report.SuspectsNext}
	}
	c.logQuarantined(c.table.Merge(now, entries))
	c.active.Store(c.table.Len() > 0)
}
