package residency

import (
	"cmp"
	"slices"
	"time"
)

// Summary tells how well a pool's models fit its engines.
type Summary struct {
	// Models is how many there are, Resident how many have a place, Replicas their
	// places, Missing those without one that requests wait for.
	Models, Resident, Replicas, RequestedNotResident int
	Waiting, Running                                 int
	// Engines are those that serve, Orderable those that could begin a swap.
	Engines, ReadyToSwap int
	// FreeBytes is the room that no model takes.
	FreeBytes int64
}

// Summarize looks at a moment.
func Summarize(engines []Engine, models []Model) Summary {
	s := Summary{Models: len(models)}
	bytes := make(map[string]int64, len(models))
	for _, m := range models {
		bytes[m.Name] = m.Bytes
	}
	resident := make(map[string]bool)
	for i := range engines {
		e := &engines[i]
		if !e.Serving {
			continue
		}
		s.Engines++
		s.Running += e.Running
		if e.AcceptsSwaps && e.BusyFor == 0 {
			s.ReadyToSwap++
		}
		s.FreeBytes += e.CapacityBytes
		for _, held := range e.Models {
			s.Replicas++
			s.FreeBytes -= bytes[held.Name]
			resident[held.Name] = true
		}
	}
	for _, m := range models {
		s.Waiting += m.Waiting
		if m.Waiting > 0 && !resident[m.Name] {
			s.RequestedNotResident++
		}
	}
	s.Resident = len(resident)
	return s
}

// Shortage is a model with waiting requests, and what stands in the way of serving
// them.
type Shortage struct {
	Model      string
	Waiting    int
	OldestWait time.Duration
	// Rate is its requests, a second; Running counts those that run.
	Rate    float64
	Running int
	// Replicas are the engines that have it, Coming those that are loading it.
	Replicas, Loading int
	// InMemory and OnDisk are the other engines with a copy that can be given orders;
	// Free of these have no order under way.
	InMemory, OnDisk, IdleEngines int
}

// Shortages returns the models with waiting requests, the most urgent ones first, at
// most that many.
func FindShortages(engines []Engine, models []Model, loading []Swap, most int) []Shortage {
	var waited []*Model
	for i := range models {
		if models[i].Waiting > 0 {
			waited = append(waited, &models[i])
		}
	}
	slices.SortFunc(waited, func(a, b *Model) int {
		return cmp.Or(cmp.Compare(b.urgency(), a.urgency()), cmp.Compare(a.Name, b.Name))
	})
	out := make([]Shortage, 0, min(most, len(waited)))
	for _, m := range waited[:min(most, len(waited))] {
		out = append(out, shortageOf(m, engines, loading))
	}
	return out
}

func shortageOf(m *Model, engines []Engine, loading []Swap) Shortage {
	s := Shortage{Model: m.Name, Waiting: m.Waiting, OldestWait: m.OldestWait, Rate: m.Rate, Running: m.Running}
	for _, swap := range loading {
		if swap.Load == m.Name {
			s.Loading++
		}
	}
	for i := range engines {
		e := &engines[i]
		switch {
		case !e.Serving:
			continue
		case holds(e, m.Name):
			s.Replicas++
			continue
		case !e.AcceptsSwaps:
			continue
		case e.InMemory[m.Name]:
			s.InMemory++
		case e.OnDisk[m.Name]:
			s.OnDisk++
		default:
			continue
		}
		if e.BusyFor == 0 {
			s.IdleEngines++
		}
	}
	return s
}
