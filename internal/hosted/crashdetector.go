package hosted

import (
	"context"
	"slices"
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
	"bergamotreel/registry"
	"bergamotreel/service"
)

const (
	// maxInvestigations is how many investigations may wait to begin.
	maxInvestigations = 1024
	// crashProbeDelay is the delay before each probe of a backend server with a broken
	// connection. Further connections that break meanwhile are included in the investigation.
	crashProbeDelay = 100 * time.Millisecond
	// maxCrashProbes is how often a backend server that doesn't answer is probed.
	maxCrashProbes = 3
	// maxReportedSuspects limits the suspects in one report; the next one carries the rest.
	maxReportedSuspects = 256
	// An engine that accepts connections after runs broke there is asked for its start maxStartQueries
	// times, startQueryInterval apart: its status may be that old.
	maxStartQueries    = 2
	startQueryInterval = 500 * time.Millisecond
	// minClearanceInterval is the minimum time between two reports that are sent at once because
	// something was cleared.
	minClearanceInterval = 200 * time.Millisecond
	// suspectSweepInterval is the interval between sweeps for expired suspects.
	suspectSweepInterval = 10 * time.Second
)

// investigation is a backend server that may have crashed.
type investigation struct {
	// target is the instance that ran what shows it.
	target service.Target
	// service is the name of its service, needed only if it is no longer listed.
	service string
	// delay is how long to wait before it begins.
	delay time.Duration
	// answer has the instance's answers to suspects confirmed instead.
	answer bool
}

// crashDetector detects backend servers whose process ended while they ran requests, and
// shares these requests and the parts of their prompts (suspects) with the other entry VMs. A
// broken connection alone is no evidence of a crash: it may have been reset, or the network path
// may have failed. So runs are remembered until their instance of a server is known to have ended.
type crashDetector struct {
	node    *Node
	pending chan investigation
	// hasSuspects is whether the table may contain suspects. It is read without mu.
	hasSuspects atomic.Bool

	mu sync.Mutex
	// investigating holds the instances under investigation.
	investigating map[string]bool
	runs          *quarantine.Runs
	// unconfirmed holds the answers to suspects by the instance that may yet crash under them.
	unconfirmed map[string][]unconfirmedAnswer
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
	crashesDetected       = metrics.NewCounter("bergamotreel_backend_crashes_total")
	announcedEnds         = metrics.NewCounter("bergamotreel_backend_announced_ends_total")
	brokenRunsUnexplained = metrics.NewCounter("bergamotreel_broken_runs_unexplained_total")
	investigationsDropped = metrics.NewCounter("bergamotreel_broken_runs_dropped_total")
	requestsQuarantined   = metrics.NewCounter("bergamotreel_requests_quarantined_total")
	partsQuarantined      = metrics.NewCounter("bergamotreel_prompt_parts_quarantined_total")
	quarantineTrials      = metrics.NewCounter("bergamotreel_quarantine_trials_total")
)

var _ serving.Quarantine = (*crashDetector)(nil)

func newCrashDetector(n *Node) *crashDetector {
	return &crashDetector{node: n, pending: make(chan investigation, maxInvestigations), investigating: make(map[string]bool),
		runs: quarantine.NewRuns(), unconfirmed: make(map[string][]unconfirmedAnswer), suspects: quarantine.NewTable(quarantine.Config{}), seenFromPeers: make(map[string]entryvm.PeerPosition), recorded: make(map[quarantine.Subject]bool)}
}

// HasSuspects implements serving.Quarantine.
func (c *crashDetector) HasSuspects() bool { return c.hasSuspects.Load() }

// RecordConnectionLost implements serving.Quarantine.
func (c *crashDetector) RecordConnectionLost(target service.Target, request []quarantine.Subject) {
	c.addRun(time.Now(), target, quarantine.RunBroken, request)
	c.enqueue(investigation{target: target})
}

// addRun remembers a run. If its instance is known to have crashed, it is evidence at once.
func (c *crashDetector) addRun(now time.Time, target service.Target, end quarantine.RunEnd, request []quarantine.Subject) {
	instance := instanceName(target.ID, target.Started)
	c.mu.Lock()
	notify := c.addEvidence(now, instance, c.runs.Add(now, instance, end, request))
	c.mu.Unlock()
	if notify {
		c.node.members.notifyAll()
	}
}

// enqueue has run investigate an instance.
func (c *crashDetector) enqueue(i investigation) {
	select {
	case c.pending <- i:
	default:
		investigationsDropped.Inc()
	}
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

// run investigates backend servers that may have crashed until ctx ends.
func (c *crashDetector) run(ctx context.Context) {
	var investigations sync.WaitGroup
	defer investigations.Wait()
	sweep := time.NewTicker(suspectSweepInterval)
	defer sweep.Stop()
	for {
		select {
		case i := <-c.pending:
			switch {
			case i.delay > 0:
				investigations.Go(func() { c.enqueueDelayed(ctx, i) })
			case i.answer:
				investigations.Go(func() { c.confirmAnswers(ctx, i) })
			case c.beginInvestigation(i.target):
				investigations.Go(func() { c.investigate(ctx, i) })
			}
		case <-sweep.C:
			c.expire()
		case <-ctx.Done():
			return
		}
	}
}

// expire drops what happened too long ago.
func (c *crashDetector) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects.Expire(time.Now())
	c.runs.Expire(time.Now())
	c.hasSuspects.Store(c.suspects.Len() > 0)
}

// beginInvestigation reports whether an instance has to be investigated that isn't yet: one that may have
// ended, or that has and whose next one is unknown.
func (c *crashDetector) beginInvestigation(target service.Target) bool {
	b, listed := c.node.backends.get(target.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	instance := instanceName(target.ID, target.Started)
	if c.investigating[instance] || (c.runs.HasEnded(instance) && (!listed || b.start != target.Started)) {
		return false
	}
	c.investigating[instance] = true
	return true
}

// investigate determines whether an instance of a backend server has ended, and records that it
// crashed if it has.
func (c *crashDetector) investigate(ctx context.Context, i investigation) {
	instance := instanceName(i.target.ID, i.target.Started)
	b, listed := c.node.backends.get(i.target.ID)
	if !listed {
		b.Backend = registry.Backend{ID: i.target.ID, Address: i.target.Address, Service: i.service}
	}
	state := processUnknown
	if listed || i.service != "" {
		state = c.probe(ctx, i.target, &b)
	}
	c.mu.Lock()
	delete(c.investigating, instance)
	ended := c.runs.HasEnded(instance)
	c.mu.Unlock()
	switch latest, _ := c.node.backends.get(i.target.ID); {
	case ended, ctx.Err() != nil:
	case state != processEnded:
		c.logUnexplained(i.target, state)
	case latest.isLeaving(), b.isLeaving():
		c.recordAnnouncedEnd(instance)
	default:
		c.recordCrash(instance)
	}
}

// probe determines whether the process of an instance has ended, or another one has taken its place.
func (c *crashDetector) probe(ctx context.Context, target service.Target, b *backend) processState {
	state := processUnknown
	for probe := 1; probe <= maxCrashProbes && state == processUnknown; probe++ {
		if !pause.For(ctx, crashProbeDelay) {
			return processUnknown
		}
		state = c.node.paths.probeProcess(ctx, b, probe == maxCrashProbes)
	}
	if state == processRuns && c.findNewStart(ctx, target, b) {
		return processEnded
	}
	return state
}

// findNewStart asks an engine whose address accepts connections for its start, and reports whether that
// is another one than the given. An engine may be started again so soon that no probe finds it down.
func (c *crashDetector) findNewStart(ctx context.Context, target service.Target, b *backend) bool {
	if !b.IsEngine || target.Started == 0 {
		return false
	}
	for query := range maxStartQueries {
		if query > 0 && (!c.hasBroken(target) || !pause.For(ctx, startQueryInterval)) {
			return false
		}
		if start := c.node.queryStart(ctx, target.Address); start != 0 && c.node.backends.recordStart(time.Now(), target.ID, start) {
			c.node.handleBackendChanges()
		}
		c.mu.Lock()
		ended := c.runs.HasEnded(instanceName(target.ID, target.Started))
		c.mu.Unlock()
		if ended {
			return true
		}
	}
	return false
}

// queryStart returns the start that an engine reports, 0 if it doesn't answer.
func (n *Node) queryStart(ctx context.Context, address string) int64 {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, err := n.config.Peers.Engines.Status(ctx, address)
	if err != nil {
		return 0
	}
	return status.Started
}

// hasBroken reports whether connections to an instance broke that no known end explains.
func (c *crashDetector) hasBroken(target service.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs.HasBroken(instanceName(target.ID, target.Started))
}

// logUnexplained logs and counts that runs broke at an instance which is not known to have ended.
func (c *crashDetector) logUnexplained(target service.Target, state processState) {
	if !c.hasBroken(target) {
		return
	}
	brokenRunsUnexplained.Inc()
	b, listed := c.node.backends.get(target.ID)
	c.node.config.Logger.Info("connections to a backend server broke, no end of it is known", zap.String("backend", target.ID), zap.Stringer("process", state),
		zap.Bool("listed", listed), zap.Int64("started", target.Started), zap.Int64("listed_start", b.Started), zap.Int64("newest_start", b.start))
}

// instanceName identifies one start of a backend server among crashes.
func instanceName(id string, started int64) string {
	return id + "@" + strconv.FormatInt(started, 10)
}

// handleEnd handles the news that an instance of a backend server has ended. One that is only gone from
// the list is investigated if it may have run anything.
func (c *crashDetector) handleEnd(ended endedInstance) {
	instance := instanceName(ended.target.ID, ended.target.Started)
	c.mu.Lock()
	hasEvidence := c.runs.HasEvidence(time.Now(), instance)
	c.mu.Unlock()
	switch {
	case ended.announced:
		c.recordAnnouncedEnd(instance)
	case !ended.dropped:
		c.recordCrash(instance)
	case hasEvidence:
		c.enqueue(investigation{target: ended.target, service: ended.service})
	}
}

// recordAnnouncedEnd records that an instance ended as it had announced, whatever it ran.
func (c *crashDetector) recordAnnouncedEnd(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs.RecordAnnouncedEnd(time.Now(), instance) {
		announcedEnds.Inc()
	}
}

// recordCrash records that an instance of a backend server ended, and what it may have run.
func (c *crashDetector) recordCrash(instance string) {
	now := time.Now()
	c.mu.Lock()
	found := c.runs.RecordCrash(now, instance, time.Time{})
	notify := c.addEvidence(now, instance, found)
	c.mu.Unlock()
	if len(found.Subjects) == 0 {
		return
	}
	crashesDetected.Inc()
	c.node.config.Logger.Warn("backend server ended while it ran requests", zap.String("instance", instance),
		zap.Stringers("fingerprints", found.Subjects))
	if notify {
		c.node.members.notifyAll()
	}
}

// addEvidence makes what an instance may have run when it crashed suspects. It reports whether the other
// VMs have to know at once, as a request that ends servers would reach more of them meanwhile. Call with
// mu held.
func (c *crashDetector) addEvidence(now time.Time, instance string, found quarantine.Evidence) (notify bool) {
	if len(found.Subjects) == 0 {
		return false
	}
	abandonedRunsSuspected.Add(found.Abandoned)
	c.suspects.SetBackends(now, c.node.backends.count())
	c.logQuarantined(c.suspects.RecordCrash(now, found.CrashedAt, instance, found.Subjects))
	c.hasSuspects.Store(true)
	return slices.ContainsFunc(found.Subjects, c.suspects.IsNearlyRefused)
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
	c.addOwnRuns(now, entries)
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
			if crash.Age < maxEndNewsAge && listed && !b.isUnreachable() && crash.Backend == instanceName(id, b.start) {
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
