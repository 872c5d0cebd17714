package hosted

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/admission/quarantine"
	"bergamotreel/internal/pause"
	"bergamotreel/service"
)

const (
	// maxAbandonedRunTime is how long a backend server may go on running a request that this VM has
	// abandoned: most stop when the connection closes, others only when they write.
	maxAbandonedRunTime = 2 * time.Second
	// abandonedRunTTL is how long an abandoned run is remembered. The news that its backend server has
	// crashed meanwhile may come from another VM through two relays.
	abandonedRunTTL = 10 * time.Second
	// maxAbandonedRuns limits the abandoned runs that are remembered.
	maxAbandonedRuns = 4096
	// abandonedProbeDelay is the time from an abandoned run to the probe of its backend server, and
	// minAbandonedProbeInterval the minimum time between two such probes. They find a crash that nobody
	// else would report, because nothing else runs on that server.
	abandonedProbeDelay       = 500 * time.Millisecond
	minAbandonedProbeInterval = time.Second
)

var (
	abandonedRunsSuspected = metrics.NewCounter("bergamotreel_abandoned_runs_suspected_total")
	abandonedRunsDropped   = metrics.NewCounter("bergamotreel_abandoned_runs_dropped_total")
)

// abandonedRun is a request that this VM stopped waiting for while a backend server ran it: its caller
// left, its deadline passed, or it goes on elsewhere.
type abandonedRun struct {
	subjects []quarantine.Subject
	at       time.Time
}

// abandonedRuns holds the newest abandoned runs of each backend server instance, oldest first. It is
// not safe for concurrent use.
type abandonedRuns struct {
	byInstance map[string][]abandonedRun
	count      int
	// probedAt is when a backend server was last probed because of an abandoned run.
	probedAt time.Time
}

func newAbandonedRuns() abandonedRuns {
	return abandonedRuns{byInstance: make(map[string][]abandonedRun)}
}

// add adds a run and reports whether a probe of its backend server is due.
func (a *abandonedRuns) add(instance string, run abandonedRun) (probe bool) {
	if a.count >= maxAbandonedRuns {
		a.expire(run.at)
	}
	if a.count >= maxAbandonedRuns {
		abandonedRunsDropped.Inc()
		return false
	}
	a.byInstance[instance] = append(a.byInstance[instance], run)
	a.count++
	if run.at.Sub(a.probedAt) < minAbandonedProbeInterval {
		return false
	}
	a.probedAt = run.at
	return true
}

// take removes the runs of an instance that crashed at the given time and returns the subjects of
// those that it may still have run then.
func (a *abandonedRuns) take(instance string, crashedAt time.Time) (subjects []quarantine.Subject) {
	runs := a.byInstance[instance]
	for _, run := range runs {
		if crashedAt.Sub(run.at) <= maxAbandonedRunTime {
			subjects = append(subjects, run.subjects...)
			abandonedRunsSuspected.Inc()
		}
	}
	a.count -= len(runs)
	delete(a.byInstance, instance)
	return subjects
}

// hasRecent reports whether an instance may still run a request that was abandoned.
func (a *abandonedRuns) hasRecent(now time.Time, instance string) bool {
	return slices.ContainsFunc(a.byInstance[instance], func(run abandonedRun) bool { return now.Sub(run.at) <= maxAbandonedRunTime })
}

// expire drops the runs that were abandoned too long ago.
func (a *abandonedRuns) expire(now time.Time) {
	a.count = 0
	for instance, runs := range a.byInstance {
		runs = slices.DeleteFunc(runs, func(run abandonedRun) bool { return now.Sub(run.at) >= abandonedRunTTL })
		if len(runs) == 0 {
			delete(a.byInstance, instance)
			continue
		}
		a.byInstance[instance] = runs
		a.count += len(runs)
	}
}

// RecordAbandonedRun implements serving.Quarantine.
func (c *crashDetector) RecordAbandonedRun(backend string, request []quarantine.Subject) {
	b, listed := c.node.backends.get(backend)
	if !listed {
		return
	}
	now := time.Now()
	c.mu.Lock()
	probe := c.abandoned.add(instanceName(b.ID, b.Started), abandonedRun{request, now})
	c.mu.Unlock()
	if probe {
		c.enqueue(interruptedRequest{backend: backend, at: now, delay: abandonedProbeDelay})
	}
}

// recordRefusedConnection has a backend server investigated whose address refuses connections although
// it may still run a request that this VM abandoned.
func (c *crashDetector) recordRefusedConnection(target service.Target, cause error) {
	if target.Gateway != "" || !errors.Is(cause, service.ErrConnectionRefused) {
		return
	}
	b, listed := c.node.backends.get(target.ID)
	if !listed {
		return
	}
	now := time.Now()
	c.mu.Lock()
	hasRecent := c.abandoned.hasRecent(now, instanceName(b.ID, b.Started))
	c.mu.Unlock()
	if hasRecent {
		c.enqueue(interruptedRequest{backend: target.ID, at: now})
	}
}

// enqueueDelayed enqueues a run again once its delay has passed.
func (c *crashDetector) enqueueDelayed(ctx context.Context, run interruptedRequest) {
	if pause.For(ctx, run.delay) {
		run.delay = 0
		c.enqueue(run)
	}
}

// addAbandonedRuns adds the runs that this VM had abandoned to crashes that other VMs found. Call with
// mu held.
func (c *crashDetector) addAbandonedRuns(now time.Time, entries []quarantine.Suspect) {
	if c.abandoned.count == 0 {
		return
	}
	for _, entry := range entries {
		for _, crash := range entry.Crashes {
			crashedAt := now.Add(-crash.Age)
			if subjects := c.abandoned.take(crash.Backend, crashedAt); len(subjects) > 0 {
				c.logQuarantined(c.suspects.RecordCrash(now, crashedAt, crash.Backend, subjects))
			}
		}
	}
}
