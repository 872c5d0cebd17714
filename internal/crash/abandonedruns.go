package crash

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

var abandonedRunsSuspected = metrics.NewCounter("bergamotreel_abandoned_runs_suspected_total")

// RecordAbandonedRun implements serving.Quarantine.
func (c *Detector) RecordAbandonedRun(target service.Target, request []quarantine.Subject) {
	now := time.Now()
	c.addRun(now, target, quarantine.RunAbandoned, request)
	c.mu.Lock()
	probe := now.Sub(c.abandonedProbedAt) >= minAbandonedProbeInterval
	if probe {
		c.abandonedProbedAt = now
	}
	c.mu.Unlock()
	if probe {
		c.enqueue(investigation{target: target, delay: abandonedProbeDelay})
	}
}

// RecordRefusedConnection has an instance of a backend server investigated whose address refuses
// connections although it may still run a request of this VM.
func (c *Detector) RecordRefusedConnection(target service.Target, cause error) {
	if target.Gateway != "" || !errors.Is(cause, service.ErrConnectionRefused) {
		return
	}
	c.mu.Lock()
	hasEvidence := c.runs.HasEvidence(time.Now(), instanceName(target.ID, target.Started))
	c.mu.Unlock()
	if hasEvidence {
		c.enqueue(investigation{target: target})
	}
}

// enqueueDelayed enqueues an investigation again once its delay has passed.
func (c *Detector) enqueueDelayed(ctx context.Context, i investigation) {
	if pause.For(ctx, i.delay) {
		i.delay = 0
		c.enqueue(i)
	}
}

// addOwnRuns adds what this VM had run on the instances whose crashes other VMs found. Call with mu
// held.
func (c *Detector) addOwnRuns(now time.Time, entries []quarantine.Suspect) {
	for _, entry := range entries {
		for _, crash := range entry.Crashes {
			if !crash.Cleared {
				c.addEvidence(now, crash.Backend, c.runs.RecordCrash(now, crash.Backend, now.Add(-crash.Age)))
			}
		}
	}
}
