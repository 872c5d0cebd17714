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
	maxBrokenRuns = 1024
	// crashGather is how long after the first broken connection further ones are waited for
	// before the backend server is probed.
	crashProbeDelay = 100 * time.Millisecond
	// crashProbes is how often one that does not answer the probe is probed.
	maxCrashProbes = 3
	// suspectsMost bounds the suspects in one report; the next one carries the rest.
	maxReportedSuspects = 256
	// suspectsSweep is how often outdated suspects are looked for.
	suspectSweepInterval = 10 * time.Second
)

// brokenRun is a request whose connection ended while a backend server ran it.
type brokenRun struct {
	backend string
	request quarantine.Fingerprint
}

// crashes finds backend servers whose process ended while they ran requests, and shares
// with the other entry VMs which requests these were. A broken connection alone tells
// nothing: it may have been reset, or its path cut.
type crashDetector struct {
	node   *Node
	broken chan brokenRun
	// active is whether there are suspects.
	hasSuspects atomic.Bool

	mu sync.Mutex
	// running are the requests that broke at each backend server that is investigated.
	brokenRequests map[string][]quarantine.Fingerprint
	suspects       *quarantine.Table
	// seen is up to which version this VM has each other one's suspects.
	seenFromPeers map[string]entryvm.NewsSeen
	// recorded are the requests whose record in the registry is known to this VM.
	recorded map[quarantine.Fingerprint]bool
}

var (
	crashesDetected     = metrics.NewCounter("bergamotreel_backend_crashes_total")
	brokenRunsDropped   = metrics.NewCounter("bergamotreel_broken_runs_dropped_total")
	requestsQuarantined = metrics.NewCounter("bergamotreel_requests_quarantined_total")
)

var _ serving.Quarantine = (*crashDetector)(nil)

func newCrashDetector(n *Node) *crashDetector {
	return &crashDetector{node: n, broken: make(chan brokenRun, maxBrokenRuns), brokenRequests: make(map[string][]quarantine.Fingerprint),
		suspects: quarantine.NewTable(quarantine.Config{}), seenFromPeers: make(map[string]entryvm.NewsSeen), recorded: make(map[quarantine.Fingerprint]bool)}
}

// Suspects implements serving.Quarantine.
func (c *crashDetector) Suspects() bool { return c.hasSuspects.Load() }

// Broken implements serving.Quarantine.
func (c *crashDetector) Broken(backend string, request quarantine.Fingerprint) {
	select {
	case c.broken <- brokenRun{backend, request}:
	default:
		brokenRunsDropped.Inc()
	}
}

// Answered implements serving.Quarantine.
func (c *crashDetector) Answered(request quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.suspects.RecordSuccess(time.Now(), request) {
		c.node.config.Logger.Info("request cleared of suspicion", zap.Stringer("fingerprint", request))
	}
}

// Refusal implements serving.Quarantine.
func (c *crashDetector) Refusal(request quarantine.Fingerprint) *refusal.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	left, refused := c.suspects.RefusedFor(time.Now(), request)
	if !refused {
		return nil
	}
	return refusal.New(refusal.CodeQuarantined, left, "backend servers ended each time that they ran this request, %s", request)
}

// run is the duty that investigates broken connections.
func (c *crashDetector) run(ctx context.Context) {
	var investigations sync.WaitGroup
	defer investigations.Wait()
	sweep := time.NewTicker(suspectSweepInterval)
	defer sweep.Stop()
	for {
		select {
		case run := <-c.broken:
			if c.addBrokenRun(run) {
				investigations.Go(func() { c.investigate(ctx, run.backend) })
			}
		case <-sweep.C:
			c.expire()
		case <-ctx.Done():
			return
		}
	}
}

func (c *crashDetector) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects.Expire(time.Now())
	c.hasSuspects.Store(c.suspects.Len() > 0)
}

// add notes a broken run; it tells whether it is the backend server's first.
func (c *crashDetector) addBrokenRun(run brokenRun) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests, known := c.brokenRequests[run.backend]
	c.brokenRequests[run.backend] = append(requests, run.request)
	return !known
}

// pop returns the requests that broke at a backend server, and forgets them.
func (c *crashDetector) takeBrokenRequests(backend string) []quarantine.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := c.brokenRequests[backend]
	delete(c.brokenRequests, backend)
	return requests
}

// investigate finds out whether a backend server's process has ended.
func (c *crashDetector) investigate(ctx context.Context, id string) {
	b, listed := c.node.backends.get(id)
	ended := false
	for range maxCrashProbes {
		if !pause.For(ctx, crashProbeDelay) {
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
	requests := c.takeBrokenRequests(id)
	if !ended {
		return
	}
	crashesDetected.Inc()
	c.node.config.Logger.Warn("backend server ended while it ran requests", zap.String("backend", id),
		zap.Stringers("fingerprints", requests))
	c.recordCrash(id, b.Started, requests)
}

// crashed notes the end of one start of a backend server.
func (c *crashDetector) recordCrash(id string, started int64, requests []quarantine.Fingerprint) {
	start := id + "@" + strconv.FormatInt(started, 10)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logQuarantined(c.suspects.RecordCrash(time.Now(), start, requests))
	c.hasSuspects.Store(true)
}

// logQuarantined tells of requests that are refused from now on.
func (c *crashDetector) logQuarantined(requests []quarantine.Fingerprint) {
	if len(requests) == 0 {
		return
	}
	requestsQuarantined.Add(len(requests))
	c.node.config.Logger.Warn("requests quarantined", zap.Stringers("fingerprints", requests))
}

// publish adds to a report the suspects that the VM which it goes to lacks; last is that
// VM's newest report.
func (c *crashDetector) publish(now time.Time, report, last *entryvm.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report.SuspectsSeen = c.seenFromPeers[last.VM]
	if last.VM == "" {
		return // which ones it has is not known before its first report
	}
	from := uint64(0)
	if last.SuspectsSeen.Incarnation == c.node.config.Incarnation {
		from = last.SuspectsSeen.Next
	}
	entries, next := c.suspects.ChangedSince(now, from, maxReportedSuspects)
	report.SuspectsNext = next
	for _, e := range entries {
		report.Suspects = append(report.Suspects, entryvm.Suspect{
			Request: uint64(e.Request), Backends: e.Backends, Cleared: e.Cleared, Age: e.Age,
		})
	}
}

// merge takes the suspects of a report.
func (c *crashDetector) merge(now time.Time, report *entryvm.Report) {
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
	seen := c.seenFromPeers[report.VM]
	if seen.Incarnation != report.Incarnation || seen.Next < report.SuspectsNext {
		c.seenFromPeers[report.VM] = entryvm.NewsSeen{Incarnation: report.Incarnation, Next: report.SuspectsNext}
	}
	c.logQuarantined(c.suspects.Merge(now, entries))
	c.hasSuspects.Store(c.suspects.Len() > 0)
}
