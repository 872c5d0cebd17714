package planner

import (
	"time"

	"bergamotreel/placement"
)

// Stage is how far a right on an engine is; operator.Phase has the same stages.
type Stage uint8

// The stages of a right.
const (
	StageStandby Stage = iota
	StageLoading
	StageLoaded
	StageUnloading
)

// stageSince is a stage with when this VM first saw the right in it.
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

// noteStages notes since when an engine's rights are in their stages. Call with mu
// held.
func (p *Planner) recordStages(now time.Time, e *placement.Engine) {
	for i := range e.Holdings {
		key, stage := holdingKey{e.Name, e.Holdings[i].Unit}, stageOf(&e.Holdings[i])
		if previous, ok := p.stages[key]; !ok || previous.stage != stage {
			p.stages[key] = stageEntry{stage, now}
		}
	}
}

// Since is when this VM first saw the unit's right on the engine in the stage: at
// its start, for what was so before. Zero if it did not, as with an engine that it
// has not heard for long.
func (p *Planner) StageSince(engine, unit string, stage Stage) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if entry := p.stages[holdingKey{engine, unit}]; entry.stage == stage {
		return entry.since
	}
	return time.Time{}
}
