package planner

import (
	"time"

	"bergamotreel/placement"
)

// Stage is the stage of a right on an engine; operator.Phase has the same stages.
type Stage uint8

// The stages of a right.
const (
	StageStandby Stage = iota
	StageLoading
	StageLoaded
	StageUnloading
)

// stageEntry is a stage and the time at which this VM first saw the right in it.
type stageEntry struct {
	stage Stage
	since time.Time
}

func stageOf(h *placement.Holding) Stage {
	switch {
	case h.Withdrawn:
		return StageUnloading
	case h.Ready:
		return StageLoaded
	case h.Wanted:
		return StageLoading
	default:
		return StageStandby
	}
}

// recordStages records since when an engine's rights are in their stages. The
// caller must hold mu.
func (p *Planner) recordStages(now time.Time, e *placement.Engine) {
	for i := range e.Holdings {
		key, stage := holdingKey{e.Name, e.Holdings[i].Unit}, stageOf(&e.Holdings[i])
		if previous, ok := p.stages[key]; !ok || previous.stage != stage {
			p.stages[key] = stageEntry{stage, now}
		}
	}
}

// StageSince returns when this VM first saw the unit's right on the engine in the
// stage; for a stage that began before this VM started, that is the VM's start. It
// returns the zero time if this VM has not seen the right in the stage, as on an
// engine that has been silent for long.
func (p *Planner) StageSince(engine, unit string, stage Stage) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if entry := p.stages[holdingKey{engine, unit}]; entry.stage == stage {
		return entry.since
	}
	return time.Time{}
}
