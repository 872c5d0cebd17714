package hosted

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/admission/quarantine"
	"bergamotreel/internal/pause"
	"bergamotreel/service"
)

const (
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

// RecordAbandonedRun implements serving.Quarantine.
func (c *crashDetector) RecordAbandonedRun(backend string, request []quarantine.Subject) {
	b, listed := c.node.backends.get(backend)
	if !listed {
		return
	}
	now := time.Now()
	c.mu.Lock()
	added := c.abandoned.Add(now, instanceName(b.ID, b.Started), request)
	probe := added && now.Sub(c.abandonedProbedAt) >= minAbandonedProbeInterval
	if probe {
		c.abandonedProbedAt = now
	}
	c.mu.Unlock()
	if !added {
		abandonedRunsDropped.Inc()
	}
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
	hasRecent := c.abandoned.HasRecent(now, instanceName(b.ID, b.Started))
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

// takeAbandoned returns the subjects of the runs that this VM had abandoned and that an instance may
// still have run when it crashed. Call with mu held.
func (c *crashDetector) takeAbandoned(instance string, crashedAt time.Time) []quarantine.Subject {
	subjects, runs := c.abandoned.Take(instance, crashedAt)
	abandonedRunsSuspected.Add(runs)
	return subjects
}

// addAbandonedRuns adds the runs that this VM had abandoned to crashes that other VMs found. Call with
// mu held.
func (c *crashDetector) addAbandonedRuns(now time.Time, entries []quarantine.Suspect) {
	if c.abandoned.Len() == 0 {
		return
	}
	for _, entry := range entries {
		for _, crash := range entry.Crashes {
			crashedAt := now.Add(-crash.Age)
			if subjects := c.takeAbandoned(crash.Backend, crashedAt); len(subjects) > 0 {
				c.logQuarantined(c.suspects.RecordCrash(now, crashedAt, crash.Backend, subjects))
			}
		}
	}
}
