package residency

import (
	"cmp"
	"slices"
	"time"
)

// Summary describes how well a pool's models fit its engines.
type Summary struct {
	// Models is the number of configured models, Resident of those with a replica, Replicas
	// of all replicas, RequestedNotResident of the models without a replica that requests
	// wait for.
	Models, Resident, Replicas, RequestedNotResident int
	Waiting, Running                                 int
	// Engines is the number of serving engines, ReadyToSwap of those that could begin a swap
	// now.
	Engines, ReadyToSwap int
	// FreeBytes is the memory of the serving engines that no model takes.
	FreeBytes int64
}

// Summarize returns the summary of a pool's engines and models.
func Summarize(engines []Engine, models []Model) Summary {
	s := Summary{Models: len(models)}
	modelBytes := make(map[string]int64, len(models))
	for _, m := range models {
		modelBytes[m.Name] = m.Bytes
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
		for _, replica := range e.Models {
			s.Replicas++
			s.FreeBytes -= modelBytes[replica.Name]
			resident[replica.Name] = true
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

// Shortage describes a model with waiting requests and where it could be served.
type Shortage struct {
	Model      string
	Waiting    int
	OldestWait time.Duration
	// Rate is the model's requests per second, Running the number of those that run.
	Rate    float64
	Running int
	// Replicas is the number of engines that hold the model, Loading of the loads in flight.
	Replicas, Loading int
	// InMemory and OnDisk are the numbers of other engines that have a copy and accept
	// swaps; IdleEngines is the number of these without a swap in flight.
	InMemory, OnDisk, IdleEngines int
}

// FindShortages returns up to limit models with waiting requests, the most urgent first.
func FindShortages(engines []Engine, models []Model, inFlight []Swap, limit int) []Shortage {
	var waiting []*Model
	for i := range models {
		if models[i].Waiting > 0 {
			waiting = append(waiting, &models[i])
		}
	}
	slices.SortFunc(waiting, func(a, b *Model) int {
		return cmp.Or(cmp.Compare(b.urgency(), a.urgency()), cmp.Compare(a.Name, b.Name))
	})
	out := make([]Shortage, 0, min(limit, len(waiting)))
	for _, m := range waiting[:min(limit, len(waiting))] {
		out = append(out, describeShortage(m, engines, inFlight))
	}
	return out
}

func describeShortage(m *Model, engines []Engine, inFlight []Swap) Shortage {
	s := Shortage{Model: m.Name, Waiting: m.Waiting, OldestWait: m.OldestWait, Rate: m.Rate, Running: m.Running}
	for _, swap := range inFlight {
		if swap.Load == m.Name {
			s.Loading++
		}
	}
	for i := range engines {
		e := &engines[i]
		switch {
		case !e.Serving:
			continue
		case hasReplica(e, m.Name):
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
