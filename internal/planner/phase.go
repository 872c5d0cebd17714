package planner

import (
	"time"

	"bergamotreel/placement"
)

// Phase is the phase of a right on an engine; operator.Phase has the same phases.
type Phase uint8

// The phases of a right.
const (
	PhaseStandby Phase = iota
	PhaseLoading
	PhaseLoaded
	PhaseUnloading
)

// phaseEntry is a phase and the time at which this VM first saw the right in it.
type phaseEntry struct {
	phase Phase
	since time.Time
}

func phaseOfHolding(h *placement.Holding) Phase {
	switch {
	case h.Withdrawn:
		return PhaseUnloading
	case h.Ready:
		return PhaseLoaded
	case h.Wanted:
		return PhaseLoading
	default:
		return PhaseStandby
	}
}

// recordPhases records since when an engine's rights are in their phases. The
// caller must hold mu.
func (p *Planner) recordPhases(now time.Time, e *placement.Engine) {
	for i := range e.Holdings {
		key, phase := holdingKey{e.Name, e.Holdings[i].Unit}, phaseOfHolding(&e.Holdings[i])
		if previous, ok := p.phases[key]; !ok || previous.phase != phase {
			p.phases[key] = phaseEntry{phase, now}
		}
	}
}

// PhaseSince returns when this VM first saw the unit's right on the engine in the
// phase; for a phase that began before this VM started, that is the VM's start. It
// returns the zero time if this VM has not seen the right in the phase, as on an
// engine that has been silent for long.
func (p *Planner) PhaseSince(engine, unit string, phase Phase) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if entry := p.phases[holdingKey{engine, unit}]; entry.phase == phase {
		return entry.since
	}
	return time.Time{}
}
