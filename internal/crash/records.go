package crash

import (
	"context"
	"maps"
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

// SyncRecords stores quarantined requests in the registry until ctx ends, so that they
// survive a restart of the whole fleet. The planner reads the records once and distributes
// them in its reports.
func (c *Detector) SyncRecords(ctx context.Context) {
	read, epoch := false, uint64(0)
	pause.Every(ctx, recordInterval, func(ctx context.Context) {
		if !c.config.Fleet.CanActAsPlanner(time.Now()) {
			read = false // another VM may write records now
			return
		}
		err := error(nil)
		if current := c.config.Registry.Epoch(); current != epoch {
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
			c.config.Logger.Warn("records of quarantined requests not synced", telemetry.Reason(err))
		}
	})
}

// readRecords merges the registry's records into the table.
func (c *Detector) readRecords(ctx context.Context) error {
	records, err := c.config.Registry.Quarantined(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.recorded)
	var entries []quarantine.Suspect
	for _, r := range records {
		entry := decodeQuarantined(now, r)
		c.recorded[entry.Subject] = true
		entries = append(entries, entry)
	}
	c.logQuarantined(now, c.suspects.Merge(now, entries))
	c.hasSuspects.Store(c.suspects.Len() > 0)
	return nil
}

// writeRecords records requests that are refused now, and deletes the records of requests
// that are no longer refused.
func (c *Detector) writeRecords(ctx context.Context) error {
	now := time.Now()
	c.mu.Lock()
	outdated := maps.Clone(c.recorded)
	var add []registry.Quarantined
	for _, e := range c.suspects.Quarantined(now) {
		if !c.recorded[e.Subject] {
			add = append(add, encodeQuarantined(now, e))
		}
		delete(outdated, e.Subject)
	}
	c.mu.Unlock()
	if len(add)+len(outdated) == 0 {
		return nil
	}
	var drop []registry.QuarantineKey
	for subject := range outdated {
		drop = append(drop, quarantineKey(subject))
	}
	if err := c.config.Registry.Quarantine(ctx, add, drop); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range add {
		c.recorded[quarantineSubject(r.QuarantineKey)] = true
	}
	for subject := range outdated {
		delete(c.recorded, subject)
	}
	c.config.Logger.Info("quarantined requests recorded", zap.Int("added", len(add)), zap.Int("dropped", len(drop)))
	return nil
}

func quarantineKey(subject quarantine.Subject) registry.QuarantineKey {
	return registry.QuarantineKey{Request: uint64(subject.Fingerprint), PromptPart: subject.PromptPart, Details: registry.QuarantineDetails(subject.Details)}
}

func quarantineSubject(key registry.QuarantineKey) quarantine.Subject {
	return quarantine.Subject{Fingerprint: quarantine.Fingerprint(key.Request), PromptPart: key.PromptPart, Details: quarantine.Details(key.Details)}
}

// encodeQuarantined returns the record of a suspect with the crashes that count.
func encodeQuarantined(now time.Time, s quarantine.Suspect) registry.Quarantined {
	record := registry.Quarantined{QuarantineKey: quarantineKey(s.Subject), At: now.Add(-s.Age)}
	for _, crash := range s.Crashes {
		if !crash.Cleared {
			record.Backends, record.EndedAt = append(record.Backends, crash.Backend), append(record.EndedAt, now.Add(-crash.Age))
		}
	}
	return record
}

func decodeQuarantined(now time.Time, r registry.Quarantined) quarantine.Suspect {
	suspect := quarantine.Suspect{Subject: quarantineSubject(r.QuarantineKey), Age: max(0, now.Sub(r.At))}
	for i, backend := range r.Backends {
		at := r.At
		if i < len(r.EndedAt) {
			at = r.EndedAt[i]
		}
		suspect.Crashes = append(suspect.Crashes, quarantine.Crash{Backend: backend, Age: max(0, now.Sub(at))})
	}
	return suspect
}
