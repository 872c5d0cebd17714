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

// recordEvery is how often the VM that leads looks for quarantined requests without a
// record.
const recordEvery = time.Second

// keepRecords is the duty that keeps quarantined requests in the registry, so that they
// outlive the fleet. The VM that leads reads the records once and tells the others.
func (c *crashes) keepRecords(ctx context.Context) {
	read, epoch := false, uint64(0)
	pause.Every(ctx, recordEvery, func(ctx context.Context) {
		if !c.node.isFleetPlanner(time.Now()) {
			read = false // another VM may record meanwhile
			return
		}
		err := error(nil)
		if now := c.node.config.Peers.Registry.Epoch(); now != epoch {
			read, epoch = false, now // records may be gone
		}
		if !read {
			err = c.readRecords(ctx)
			read = err == nil
		}
		if err == nil {
			err = c.writeRecords(ctx)
		}
		if err != nil && ctx.Err() == nil {
			c.node.config.Logger.Warn("records of quarantined requests out of reach", telemetry.Reason(err))
		}
	})
}

// readRecords takes the records into the table.
func (c *crashes) readRecords(ctx context.Context) error {
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
	c.logQuarantined(c.table.Merge(now, entries))
	c.active.Store(c.table.Len() > 0)
	return nil
}

// writeRecords records what is refused now, and drops the records of what is refused no
// more.
func (c *crashes) writeRecords(ctx context.Context) error {
	now := time.Now()
	c.mu.Lock()
	outdated := maps.Clone(c.recorded)
	var add []registry.Quarantined
	for _, e := range c.table.Quarantined(now) {
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
