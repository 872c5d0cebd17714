package crash

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/admission/quarantine"
	"bergamotreel/entryvm"
	"bergamotreel/internal/serving"
	"bergamotreel/refusal"
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
	// statusTimeout bounds one such query.
	statusTimeout = 600 * time.Millisecond
	// minClearanceInterval is the minimum time between two reports that are sent at once because
	// something was cleared.
	minClearanceInterval = 200 * time.Millisecond
	// suspectSweepInterval is the interval between sweeps for expired suspects.
	suspectSweepInterval = 10 * time.Second
)

// Detector detects backend servers whose process ended while they ran requests, and
// shares these requests and the parts of their prompts (suspects) with the other entry VMs. A
// broken connection alone is no evidence of a crash: it may have been reset, or the network path
// may have failed. So runs are remembered until their instance of a server is known to have ended.
type Detector struct {
	config  Config
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
	runsDropped           = metrics.NewCounter("bergamotreel_runs_dropped_total")
	investigationsDropped = metrics.NewCounter("bergamotreel_broken_runs_dropped_total")
	requestsQuarantined   = metrics.NewCounter("bergamotreel_requests_quarantined_total")
	partsQuarantined      = metrics.NewCounter("bergamotreel_prompt_parts_quarantined_total")
	quarantineTrials      = metrics.NewCounter("bergamotreel_quarantine_trials_total")
)

var _ serving.Quarantine = (*Detector)(nil)

// New returns a Detector that does nothing until Run is called.
func New(config Config) *Detector {
	return &Detector{config: config, pending: make(chan investigation, maxInvestigations), investigating: make(map[string]bool),
		runs: quarantine.NewRuns(), unconfirmed: make(map[string][]unconfirmedAnswer), suspects: quarantine.NewTable(quarantine.Config{}), seenFromPeers: make(map[string]entryvm.PeerPosition), recorded: make(map[quarantine.Subject]bool)}
}

// HasSuspects implements serving.Quarantine.
func (c *Detector) HasSuspects() bool { return c.hasSuspects.Load() }

// RecordConnectionLost implements serving.Quarantine.
func (c *Detector) RecordConnectionLost(target service.Target, request []quarantine.Subject) {
	c.addRun(time.Now(), target, quarantine.RunBroken, request)
	c.enqueue(investigation{target: target})
}

// addRun remembers a run. If its instance is known to have crashed, it is evidence at once.
func (c *Detector) addRun(now time.Time, target service.Target, end quarantine.RunEnd, request []quarantine.Subject) {
	instance := instanceName(target.ID, target.Started)
	c.mu.Lock()
	if c.runs.IsFull() {
		runsDropped.Inc()
	}
	notify := c.addEvidence(now, instance, c.runs.Add(now, instance, end, request))
	c.mu.Unlock()
	if notify {
		c.config.Fleet.NotifyPeers()
	}
}

// enqueue has run investigate an instance.
func (c *Detector) enqueue(i investigation) {
	select {
	case c.pending <- i:
	default:
		investigationsDropped.Inc()
	}
}

// RecordProgress implements serving.Quarantine.
func (c *Detector) RecordProgress(request []quarantine.Subject) {
	c.recordEvidence(request, (*quarantine.Table).RecordProgress)
}

// recordEvidence records evidence that a request is sound. If that clears anything, it is reported
// at once: otherwise the news of a crash could reach other VMs earlier than that of the answer.
func (c *Detector) recordEvidence(request []quarantine.Subject, record func(*quarantine.Table, time.Time, []quarantine.Subject) []quarantine.Subject) {
	now := time.Now()
	c.mu.Lock()
	cleared := record(c.suspects, now, request)
	notify := len(cleared) > 0 && now.Sub(c.clearanceNotifiedAt) >= minClearanceInterval
	if notify {
		c.clearanceNotifiedAt = now
	}
	c.mu.Unlock()
	if len(cleared) > 0 {
		c.config.Logger.Info("request cleared of suspicion", zap.Stringers("fingerprints", cleared))
	}
	if notify {
		c.config.Fleet.NotifyPeers()
	}
}

// RefusalFor implements serving.Quarantine.
func (c *Detector) RefusalFor(request []quarantine.Subject) *refusal.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	refused, ok := c.suspects.RefusalOf(time.Now(), request)
	switch {
	case !ok:
		return nil
	case refused.Subject.PromptPart:
		return refusal.New(refusal.CodeQuarantined, refused.Remaining, "backend servers ended each time that they ran a request with this part of its prompt, %s", refused.Subject)
	default:
		return refusal.New(refusal.CodeQuarantined, refused.Remaining, "backend servers ended each time that they ran this request or one like it, %s", refused.Subject)
	}
}

// BeginTrial implements serving.Quarantine. Only the planner begins trials: each may end a backend
// server.
func (c *Detector) BeginTrial(request []quarantine.Subject) bool {
	now := time.Now()
	if !c.config.Fleet.CanActAsPlanner(now) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.suspects.BeginTrial(now, request) {
		return false
	}
	quarantineTrials.Inc()
	c.config.Logger.Warn("trial of a quarantined request", zap.Stringers("fingerprints", request))
	return true
}

// Run investigates backend servers that may have crashed until ctx ends.
func (c *Detector) Run(ctx context.Context) {
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
func (c *Detector) expire() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects.Expire(now)
	c.runs.Expire(now)
	maps.DeleteFunc(c.unconfirmed, func(_ string, answers []unconfirmedAnswer) bool {
		return now.Sub(answers[0].at) >= suspectSweepInterval
	})
	c.hasSuspects.Store(c.suspects.Len() > 0)
}

// HandleEnd handles the news that an instance of a backend server has ended. One that is only gone from
// the list is investigated if it may have run anything.
func (c *Detector) HandleEnd(ended End) {
	instance := instanceName(ended.Target.ID, ended.Target.Started)
	c.mu.Lock()
	hasEvidence := c.runs.HasEvidence(time.Now(), instance)
	c.mu.Unlock()
	switch {
	case ended.Announced:
		c.recordAnnouncedEnd(instance)
	case !ended.Dropped:
		c.recordCrash(instance)
	case hasEvidence:
		c.enqueue(investigation{target: ended.Target, service: ended.Service})
	}
}

// recordAnnouncedEnd records that an instance ended as it had announced, whatever it ran.
func (c *Detector) recordAnnouncedEnd(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs.RecordAnnouncedEnd(time.Now(), instance) {
		announcedEnds.Inc()
	}
}

// recordCrash records that an instance of a backend server ended, and what it may have run.
func (c *Detector) recordCrash(instance string) {
	now := time.Now()
	c.mu.Lock()
	found := c.runs.RecordCrash(now, instance, time.Time{})
	notify := c.addEvidence(now, instance, found)
	c.mu.Unlock()
	if len(found.Subjects) == 0 {
		return
	}
	crashesDetected.Inc()
	c.config.Logger.Warn("backend server ended while it ran requests", zap.String("instance", instance),
		zap.Stringers("fingerprints", found.Subjects))
	if notify {
		c.config.Fleet.NotifyPeers()
	}
}

// addEvidence makes what an instance may have run when it crashed suspects. It reports whether the other
// VMs have to know at once, as a request that ends servers would reach more of them meanwhile. Call with
// mu held.
func (c *Detector) addEvidence(now time.Time, instance string, found quarantine.Evidence) (notify bool) {
	if len(found.Subjects) == 0 {
		return false
	}
	abandonedRunsSuspected.Add(found.Abandoned)
	c.suspects.SetBackends(now, c.config.Fleet.CountServers())
	refused := c.suspects.RecordCrash(now, found.CrashedAt, instance, found.Subjects)
	c.addConfirmedAnswers(now, found.Subjects)
	c.logQuarantined(now, refused)
	c.hasSuspects.Store(true)
	return slices.ContainsFunc(found.Subjects, func(s quarantine.Subject) bool { return c.suspects.IsNearlyRefused(now, s) })
}

// addConfirmedAnswers records which answers this VM has received to requests like the suspects. Call with mu held.
func (c *Detector) addConfirmedAnswers(now time.Time, suspects []quarantine.Subject) {
	fingerprints := make(map[quarantine.Fingerprint]bool)
	for _, subject := range suspects {
		if !subject.PromptPart {
			fingerprints[subject.Fingerprint] = true
		}
	}
	c.suspects.RecordConfirmedAnswers(now, c.runs.ConfirmedAnswers(now, fingerprints))
}

// logQuarantined logs and counts those requests and parts of prompts that are refused from now on.
func (c *Detector) logQuarantined(now time.Time, subjects []quarantine.Subject) {
	subjects = slices.DeleteFunc(subjects, func(s quarantine.Subject) bool { return !c.suspects.IsRefused(now, s) })
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
	c.config.Logger.Warn("requests quarantined", zap.Stringers("fingerprints", subjects))
}
