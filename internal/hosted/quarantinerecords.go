package hosted

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotreel/admission/quarantine"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/telemetry"
	"bergamotreel/registry"
)

// recordInterval is the interval at which the planner checks for quarantined requests that
// are not recorded.
const recordInterval = time.Second

// syncRecords stores quarantined requests in the registry until ctx ends, so that they
// survive a restart of the whole fleet. The planner reads the records once and distributes
// them in its reports.
func (c *crashDetector) syncRecords(ctx context.Context) {
	read, epoch := false, uint64(0)
	pause.Every(ctx, recordInterval, func(ctx context.Context) {
		if !c.node.canActAsPlanner(time.Now()) {
			read = false // another VM may write records now
			return
		}
		err := error(nil)
		if current := c.node.config.Peers.Registry.Epoch(); current != epoch {
			read, epoch = false, current // the registry may have lost records
		}
		if !read {
			err = c.readRecords(ctx)
			read = err == nil
		}
		if err == nil {
			err = c.writeRecords(ctx)
		}
		if err != nil && ctx.Err() == nil {
			c.node.config.Logger.Warn("records of quarantined requests not synced", telemetry.Reason(err))
		}
	})
}

// readRecords merges the registry's records into the table.
func (c *crashDetector) readRecords(ctx context.Context) error {
	records, err := c.node.config.Peers.Registry.Quarantined(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.recorded)
	var entries []quarantine.Suspect
	for _, r := range records {
		c.recorded[quarantine.Fingerprint(r.Request)] = true
		entries = append(entries, quarantine.Suspect{
			Request: quarantine.Fingerprint(r.Request), Backends: r.Backends, Age: max(0, now.Sub(r.At)),
		})
	}
	c.logQuarantined(c.suspects.Merge(now, entries))
	c.hasSuspects.Store(c.suspects.Len() > 0)
	return nil
}

// writeRecords records requests that are refused now, and deletes the records of requests
// that are no longer refused.
func (c *crashDetector) writeRecords(ctx context.Context) error {
	now := time.Now()
	c.mu.Lock()
	outdated := maps.Clone(c.recorded)
	var add []registry.Quarantined
	for _, e := range c.suspects.Quarantined(now) {
		if !c.recorded[e.Request] {
			add = append(add, registry.Quarantined{Request: uint64(e.Request), Backends: e.Backends, At: now.Add(-e.Age)})
		}
		delete(outdated, e.Request)
	}
	c.mu.Unlock()
	if len(add)+len(outdated) == 0 {
		return nil
	}
	var drop []uint64
	for _, request := range slices.Sorted(maps.Keys(outdated)) {
		drop = append(drop, uint64(request))
	}
	if err := c.node.config.Peers.Registry.Quarantine(ctx, add, drop); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range add {
		c.recorded[quarantine.Fingerprint(r.Request)] = true
	}
	for request := range outdated {
		delete(c.recorded, request)
	}
	c.node.config.Logger.Info("quarantined requests recorded", zap.Int("added", len(add)), zap.Int("dropped", len(drop)))
	return nil
}
