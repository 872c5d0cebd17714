package residency

// Summary tells how well a pool's models fit its engines.
type Summary struct {
	// Models is how many there are, Resident how many have a place, Replicas their
	// places, Missing those without one that requests wait for.
	Models, Resident, Replicas, Missing int
	Waiting, Running                    int
	// Engines are those that serve, Orderable those that could begin a swap.
	Engines, Orderable int
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
		if e.Orderable && e.BusyFor == 0 {
			s.Orderable++
		}
		s.FreeBytes += e.Room
		for _, held := range e.Models {
			s.Replicas++
			s.FreeBytes -= bytes[held.Name]
			resident[held.Name] = true
		}
	}
	for _, m := range models {
		s.Waiting += m.Waiting
		if m.Waiting > 0 && !resident[m.Name] {
			s.Missing++
		}
	}
	s.Resident = len(resident)
	return s
}
