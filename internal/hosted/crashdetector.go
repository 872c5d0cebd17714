package hosted

import (
	"context"
	"strconv"
	"strings"
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
	// minClearanceInterval is the minimum time between two reports that are sent at once because
	// something was cleared.
	minClearanceInterval = 200 * time.Millisecond
	// suspectSweepInterval is the interval between sweeps for expired suspects.
	suspectSweepInterval = 10 * time.Second
)

// interruptedRequest is a request whose connection broke while a backend server ran it.
type interruptedRequest struct {
	backend  string
	subjects []quarantine.Subject
	at       time.Time
	// delay is how long to wait before the backend server is investigated.
	delay time.Duration
}

// interruption is what broke at a backend server, and when the first connection did.
type interruption struct {
	subjects []quarantine.Subject
	at       time.Time
}

// crashDetector detects backend servers whose process ended while they ran requests, and
// shares these requests and the parts of their prompts (suspects) with the other entry VMs. A
// broken connection alone is no evidence of a crash: it may have been reset, or the network path
// may have failed.
type crashDetector struct {
	node        *Node
	interrupted chan interruptedRequest
	// hasSuspects is whether the table may contain suspects. It is read without mu.
	hasSuspects atomic.Bool

	mu sync.Mutex
	// interruptions holds what broke at each backend server under investigation.
	interruptions map[string]interruption
	abandoned     *quarantine.AbandonedRuns
	// abandonedProbedAt is when a backend server was last probed because of an abandoned run.
	abandonedProbedAt time.Time
	suspects          *quarantine.Table
	// clearanceNotifiedAt is when reports were last sent at once because something was cleared.
	clearanceNotifiedAt time.Time
	// seenFromPeers holds, for each other VM, the version up to which this VM has its suspects.
	seenFromPeers map[string]entryvm.PeerPosition
	// recorded holds the subjects that are known to be recorded in the registry.
	recorded map[quarantine.Subject]bool
}

var (
	crashesDetected            = metrics.NewCounter("bergamotreel_backend_crashes_total")
	announcedEnds              = metrics.NewCounter("bergamotreel_backend_announced_ends_total")
	brokenRunsUnexplained      = metrics.NewCounter("bergamotreel_broken_runs_unexplained_total")
	interruptedRequestsDropped = metrics.NewCounter("bergamotreel_broken_runs_dropped_total")
	requestsQuarantined        = metrics.NewCounter("bergamotreel_requests_quarantined_total")
	partsQuarantined           = metrics.NewCounter("bergamotreel_prompt_parts_quarantined_total")
	quarantineTrials           = metrics.NewCounter("bergamotreel_quarantine_trials_total")
)

var _ serving.Quarantine = (*crashDetector)(nil)

func newCrashDetector(n *Node) *crashDetector {
	return &crashDetector{node: n, interrupted: make(chan interruptedRequest, maxInterruptedRequests), interruptions: make(map[string]interruption),
		abandoned: quarantine.NewAbandonedRuns(), suspects: quarantine.NewTable(quarantine.Config{}), seenFromPeers: make(map[string]entryvm.PeerPosition), recorded: make(map[quarantine.Subject]bool)}
}

// HasSuspects implements serving.Quarantine.
func (c *crashDetector) HasSuspects() bool { return c.hasSuspects.Load() }

// RecordConnectionLost implements serving.Quarantine.
func (c *crashDetector) RecordConnectionLost(backend string, request []quarantine.Subject) {
	c.enqueue(interruptedRequest{backend: backend, subjects: request, at: time.Now()})
}

// enqueue has run investigate an interrupted request.
func (c *crashDetector) enqueue(run interruptedRequest) {
	select {
	case c.interrupted <- run:
	default:
		interruptedRequestsDropped.Inc()
	}
}

// RecordSuccess implements serving.Quarantine.
func (c *crashDetector) RecordSuccess(request []quarantine.Subject) {
	c.recordEvidence(request, (*quarantine.Table).RecordSuccess)
}

// RecordProgress implements serving.Quarantine.
func (c *crashDetector) RecordProgress(request []quarantine.Subject) {
	c.recordEvidence(request, (*quarantine.Table).RecordProgress)
}

// recordEvidence records evidence that a request is sound. If that clears anything, it is reported
// at once: otherwise the news of a crash could reach other VMs earlier than that of the answer.
func (c *crashDetector) recordEvidence(request []quarantine.Subject, record func(*quarantine.Table, time.Time, []quarantine.Subject) []quarantine.Subject) {
	now := time.Now()
	c.mu.Lock()
	cleared := record(c.suspects, now, request)
	notify := len(cleared) > 0 && now.Sub(c.clearanceNotifiedAt) >= minClearanceInterval
	if notify {
		c.clearanceNotifiedAt = now
	}
	c.mu.Unlock()
	if len(cleared) > 0 {
		c.node.config.Logger.Info("request cleared of suspicion", zap.Stringers("fingerprints", cleared))
	}
	if notify {
		c.node.members.notifyAll()
	}
}

// RefusalFor implements serving.Quarantine.
func (c *crashDetector) RefusalFor(request []quarantine.Subject) *refusal.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	refused, ok := c.suspects.RefusalOf(time.Now(), request)
	switch {
	case !ok:
		return nil
	case refused.Subject.PromptPart:
		return refusal.New(refusal.CodeQuarantined, refused.Remaining, "backend servers ended each time that they ran a request with this part of its prompt, %s", refused.Subject)
	default:
		return refusal.New(refusal.CodeQuarantined, refused.Remaining, "backend servers ended each time that they ran this request, %s", refused.Subject)
	}
}

// BeginTrial implements serving.Quarantine. Only the planner begins trials: each may end a backend
// server.
func (c *crashDetector) BeginTrial(request []quarantine.Subject) bool {
	now := time.Now()
	if !c.node.canActAsPlanner(now) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.suspects.BeginTrial(now, request) {
		return false
	}
	quarantineTrials.Inc()
	c.node.config.Logger.Warn("trial of a quarantined part of prompts", zap.Stringers("fingerprints", request))
	return true
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
			switch {
			case run.delay > 0:
				investigations.Go(func() { c.enqueueDelayed(ctx, run) })
			case c.addInterrupted(run):
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
	c.abandoned.Expire(time.Now())
	c.hasSuspects.Store(c.suspects.Len() > 0)
}

// addInterrupted records an interrupted request and reports whether it begins a new
// investigation of the backend server.
func (c *crashDetector) addInterrupted(run interruptedRequest) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	broken, known := c.interruptions[run.backend]
	if !known {
		broken.at = run.at
	}
	broken.subjects = append(broken.subjects, run.subjects...)
	c.interruptions[run.backend] = broken
	return !known
}

// removeInterruption removes and returns what broke at a backend server.
func (c *crashDetector) removeInterruption(backend string) interruption {
	c.mu.Lock()
	defer c.mu.Unlock()
	broken := c.interruptions[backend]
	delete(c.interruptions, backend)
	return broken
}

// investigate determines whether a backend server's process has ended, and records what broke there
// if it has.
func (c *crashDetector) investigate(ctx context.Context, id string) {
	b, listed := c.node.backends.get(id)
	state := processUnknown
	for probe := 1; probe <= maxCrashProbes && state == processUnknown; probe++ {
		if !pause.For(ctx, crashProbeDelay) {
			return
		}
		if !listed {
			break // its address is unknown
		}
		state = c.node.paths.probeProcess(ctx, &b, probe == maxCrashProbes)
	}
	broken := c.removeInterruption(id)
	if state != processEnded {
		c.logUnexplained(id, state, broken)
		return
	}
	if latest, _ := c.node.backends.get(id); latest.isLeaving() || b.isLeaving() {
		announcedEnds.Inc()
		return // it ended as announced, whatever it ran
	}
	c.recordCrash(id, b.Started, broken)
}

// logUnexplained logs and counts runs that broke at a backend server whose process is not known to have
// ended.
func (c *crashDetector) logUnexplained(id string, state processState, broken interruption) {
	if len(broken.subjects) == 0 {
		return
	}
	brokenRunsUnexplained.Inc()
	b, listed := c.node.backends.get(id)
	c.node.config.Logger.Info("connections to a backend server broke, no end of it is known", zap.String("backend", id), zap.Stringer("process", state),
		zap.Bool("listed", listed), zap.Int64("listed_start", b.Started), zap.Int64("newest_start", b.start), zap.Stringers("fingerprints", broken.subjects))
}

// instanceName identifies one start of a backend server among crashes.
func instanceName(id string, started int64) string {
	return id + "@" + strconv.FormatInt(started, 10)
}

// recordCrash records that an instance of a backend server ended, what broke there, and what it may
// have gone on running after this VM had abandoned it.
func (c *crashDetector) recordCrash(id string, started int64, broken interruption) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	broken.subjects = append(broken.subjects, c.takeAbandoned(instanceName(id, started), broken.at)...)
	if len(broken.subjects) == 0 {
		return
	}
	crashesDetected.Inc()
	c.node.config.Logger.Warn("backend server ended while it ran requests", zap.String("backend", id),
		zap.Stringers("fingerprints", broken.subjects))
	c.suspects.SetBackends(now, c.node.backends.count())
	c.logQuarantined(c.suspects.RecordCrash(now, broken.at, instanceName(id, started), broken.subjects))
	c.hasSuspects.Store(true)
}

// logQuarantined logs and counts the requests and parts of prompts that are refused from now on.
func (c *crashDetector) logQuarantined(subjects []quarantine.Subject) {
	if len(subjects) == 0 {
		return
	}
	for _, subject := range subjects {
		if subject.PromptPart {
			partsQuarantined.Inc()
		} else {
			requestsQuarantined.Inc()
		}
	}
	c.node.config.Logger.Warn("requests quarantined", zap.Stringers("fingerprints", subjects))
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
		report.Suspects = append(report.Suspects, encodeSuspect(e))
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
		entries = append(entries, decodeSuspect(s))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.seenFromPeers[report.VM]
	if seen.Incarnation != report.Incarnation || seen.Next < report.SuspectsNext {
		c.seenFromPeers[report.VM] = entryvm.PeerPosition{Incarnation: report.Incarnation, Next: report.SuspectsNext}
	}
	if len(entries) > 0 {
		c.suspects.SetBackends(now, c.node.backends.count())
	}
	c.logQuarantined(c.suspects.Merge(now, entries))
	c.addAbandonedRuns(now, entries)
	c.hasSuspects.Store(c.suspects.Len() > 0)
	c.markEnded(now, entries)
}

// maxEndNewsAge is how long ago a backend server may have ended for another VM's report of it to mark
// it as unreachable here.
const maxEndNewsAge = 2 * time.Second

// markEnded marks the backend servers as unreachable that ended a moment ago. Without this, a VM takes
// servers of which it has sent nothing to since for ready, and refuses requests for their crashes
// instead of letting them wait for a server.
func (c *crashDetector) markEnded(now time.Time, entries []quarantine.Suspect) {
	for _, entry := range entries {
		for _, crash := range entry.Crashes {
			id, _, _ := strings.Cut(crash.Backend, "@")
			b, listed := c.node.backends.get(id)
			if crash.Age < maxEndNewsAge && listed && !b.isUnreachable() && crash.Backend == instanceName(id, b.Started) {
				c.node.backends.markUnreachable(now, id, true)
			}
		}
	}
}

func encodeSuspect(s quarantine.Suspect) entryvm.Suspect {
	encoded := entryvm.Suspect{
		Request: uint64(s.Subject.Fingerprint), PromptPart: s.Subject.PromptPart, Cleared: s.Cleared, Age: s.Age,
		Answered: s.Answered, AnswerAge: s.AnswerAge,
	}
	for _, crash := range s.Crashes {
		if crash.Cleared {
			encoded.ClearedBackends = append(encoded.ClearedBackends, crash.Backend)
			continue
		}
		encoded.Backends, encoded.CrashAges = append(encoded.Backends, crash.Backend), append(encoded.CrashAges, crash.Age)
	}
	return encoded
}

func decodeSuspect(s entryvm.Suspect) quarantine.Suspect {
	decoded := quarantine.Suspect{
		Subject: quarantine.Subject{Fingerprint: quarantine.Fingerprint(s.Request), PromptPart: s.PromptPart},
		Cleared: s.Cleared, Age: s.Age, Answered: s.Answered, AnswerAge: s.AnswerAge,
	}
	for i, backend := range s.Backends {
		age := s.Age
		if i < len(s.CrashAges) {
			age = s.CrashAges[i]
		}
		decoded.Crashes = append(decoded.Crashes, quarantine.Crash{Backend: backend, Age: age})
	}
	for _, backend := range s.ClearedBackends {
		decoded.Crashes = append(decoded.Crashes, quarantine.Crash{Backend: backend, Age: s.Age, Cleared: true})
	}
	return decoded
}
