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
	// maxInterruptedRequests is the maximum number of interrupted requests waiting to be
	// investigated.
	maxInterruptedRequests = 1024
	// crashProbeDelay is the delay before each probe of a backend server with a broken
	// connection. Further connections that break meanwhile are included in the investigation.
	crashProbeDelay = 100 * time.Millisecond
	// maxCrashProbes is how often a backend server that doesn't answer is probed.
	maxCrashProbes = 3
	// maxReportedSuspects limits the suspects in one report; the next one carries the rest.
	maxReportedSuspects = 256
	// suspectSweepInterval is the interval between sweeps for expired suspects.
	suspectSweepInterval = 10 * time.Second
)

// interruptedRequest is a request whose connection broke while a backend server ran it.
type interruptedRequest struct {
	backend string
	request quarantine.Fingerprint
}

// crashDetector detects backend servers whose process ended while they ran requests, and
// shares these requests (suspects) with the other entry VMs. A broken connection alone is
// no evidence of a crash: it may have been reset, or the network path may have failed.
type crashDetector struct {
	node        *Node
	interrupted chan interruptedRequest
	// hasSuspects is whether the table may contain suspects. It is read without mu.
	hasSuspects atomic.Bool

	mu sync.Mutex
	// interruptedByBackend holds the interrupted requests of each backend server under
	// investigation.
	interruptedByBackend map[string][]quarantine.Fingerprint
	suspects             *quarantine.Table
	// seenFromPeers holds, for each other VM, the version up to which this VM has its suspects.
	seenFromPeers map[string]entryvm.PeerPosition
	// recorded holds the requests that are known to be recorded in the registry.
	recorded map[quarantine.Fingerprint]bool
}

var (
	crashesDetected            = metrics.NewCounter("bergamotreel_backend_crashes_total")
	interruptedRequestsDropped = metrics.NewCounter("bergamotreel_broken_runs_dropped_total")
	requestsQuarantined        = metrics.NewCounter("bergamotreel_requests_quarantined_total")
)

var _ serving.Quarantine = (*crashDetector)(nil)

func newCrashDetector(n *Node) *crashDetector {
	return &crashDetector{node: n, interrupted: make(chan interruptedRequest, maxInterruptedRequests), interruptedByBackend: make(map[string][]quarantine.Fingerprint),
		suspects: quarantine.NewTable(quarantine.Config{}), seenFromPeers: make(map[string]entryvm.PeerPosition), recorded: make(map[quarantine.Fingerprint]bool)}
}

// HasSuspects implements serving.Quarantine.
func (c *crashDetector) HasSuspects() bool { return c.hasSuspects.Load() }

// RecordConnectionLost implements serving.Quarantine.
func (c *crashDetector) RecordConnectionLost(backend string, request quarantine.Fingerprint) {
	select {
	case c.interrupted <- interruptedRequest{backend, request}:
	default:
		interruptedRequestsDropped.Inc()
	}
}

// RecordSuccess implements serving.Quarantine.
func (c *crashDetector) RecordSuccess(request quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.suspects.RecordSuccess(time.Now(), request) {
		c.node.config.Logger.Info("request cleared of suspicion", zap.Stringer("fingerprint", request))
	}
}

// RefusalFor implements serving.Quarantine.
func (c *crashDetector) RefusalFor(request quarantine.Fingerprint) *refusal.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	left, refused := c.suspects.RefusedFor(time.Now(), request)
	if !refused {
		return nil
	}
	return refusal.New(refusal.CodeQuarantined, left, "backend servers ended each time that they ran this request, %s", request)
}

// run investigates interrupted requests until ctx ends.
func (c *crashDetector) run(ctx context.Context) {
	var investigations sync.WaitGroup
	defer investigations.Wait()
	sweep := time.NewTicker(suspectSweepInterval)
	defer sweep.Stop()
	for {
		select {
		case run := <-c.interrupted:
			if c.addInterrupted(run) {
				investigations.Go(func() { c.investigate(ctx, run.backend) })
			}
		case <-sweep.C:
			c.expire()
		case <-ctx.Done():
			return
		}
	}
}

// expire drops expired suspects.
func (c *crashDetector) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects.Expire(time.Now())
	c.hasSuspects.Store(c.suspects.Len() > 0)
}

// addInterrupted records an interrupted request and reports whether it begins a new
// investigation of the backend server.
func (c *crashDetector) addInterrupted(run interruptedRequest) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests, known := c.interruptedByBackend[run.backend]
	c.interruptedByBackend[run.backend] = append(requests, run.request)
	return !known
}

// removeInterrupted removes and returns the interrupted requests of a backend server.
func (c *crashDetector) removeInterrupted(backend string) []quarantine.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := c.interruptedByBackend[backend]
	delete(c.interruptedByBackend, backend)
	return requests
}

// investigate determines whether a backend server's process has ended: it has if the server's
// address refuses the connections of this VM, and no other VM reaches it. A network may also
// refuse connections of a VM whose paths are lost.
func (c *crashDetector) investigate(ctx context.Context, id string) {
	b, listed := c.node.backends.get(id)
	ended := false
	for range maxCrashProbes {
		if !pause.For(ctx, crashProbeDelay) {
			return
		}
		if !listed {
			break // its address is unknown
		}
		err := c.node.tryConnect(ctx, service.Target{ID: id, Address: b.Address})
		ended = errors.Is(err, service.ErrConnectionRefused)
		if err == nil || ended {
			break
		}
	}
	ended = ended && !c.node.paths.isReachable(ctx, &b)
	requests := c.removeInterrupted(id)
	if !ended {
		return
	}
	crashesDetected.Inc()
	c.node.config.Logger.Warn("backend server ended while it ran requests", zap.String("backend", id),
		zap.Stringers("fingerprints", requests))
	c.recordCrash(id, b.Started, requests)
}

// recordCrash records that an instance of a backend server ended while it ran the requests.
func (c *crashDetector) recordCrash(id string, started int64, requests []quarantine.Fingerprint) {
	start := id + "@" + strconv.FormatInt(started, 10)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logQuarantined(c.suspects.RecordCrash(time.Now(), start, requests))
	c.hasSuspects.Store(true)
}

// logQuarantined logs and counts requests that are refused from now on.
func (c *crashDetector) logQuarantined(requests []quarantine.Fingerprint) {
	if len(requests) == 0 {
		return
	}
	requestsQuarantined.Add(len(requests))
	c.node.config.Logger.Warn("requests quarantined", zap.Stringers("fingerprints", requests))
}

// publish adds to a report the suspects that the receiving VM doesn't have yet; last is that
// VM's newest report.
func (c *crashDetector) publish(now time.Time, report, last *entryvm.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report.SuspectsSeen = c.seenFromPeers[last.VM]
	if last.VM == "" {
		return // before its first report it is unknown which suspects it has
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

// merge merges the suspects of a report and records the position up to which this VM has the
// sender's suspects. Within an incarnation that position never moves back.
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
		c.seenFromPeers[report.VM] = entryvm.PeerPosition{Incarnation: report.Incarnation, Next: report.SuspectsNext}
	}
	c.logQuarantined(c.suspects.Merge(now, entries))
	c.hasSuspects.Store(c.suspects.Len() > 0)
}
