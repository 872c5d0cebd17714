package placement

import "iter"

// silentEngine is the summary of an engine that sends this VM no reports and
// holds none of the planner's units. Nothing can be placed on it.
//
// In a fleet of 10,000 engines a VM receives reports from some hundreds only.
// Full records of the others, at 1.5 KB each, exceed the memory of an entry VM. So
// the summary has only what plans read of such an engine: its memory size (see
// largestEngineMemory) and its share of the replicas that contracts require (see
// isRequiredByContract).
type silentEngine struct {
	memory int64
	rights []silentRight
}

// silentRight is one right on a silent engine. Wanted rights are to be loaded and
// are not withdrawn.
type silentRight struct {
	count  *silentCount
	wanted bool
}

// silentCount counts the rights of a customer's unit on silent engines.
type silentCount struct {
	key          unitKey
	held, wanted int
}

type unitKey struct{ unit, customer string }

// SetSilent replaces the record of an engine that sends this VM no reports by a
// summary of what plans read of it. SetEngine restores the full record.
func (f *Fleet) SetSilent(e Engine) {
	f.Remove(e.Name)
	s := &silentEngine{memory: e.MemoryBytes, rights: make([]silentRight, 0, len(e.Holdings))}
	for i := range e.Holdings {
		h := &e.Holdings[i]
		key := unitKey{h.Unit, h.Customer}
		count := f.silentCounts[key]
		if count == nil {
			count = &silentCount{key: key}
			f.silentCounts[key] = count
		}
		right := silentRight{count: count, wanted: h.Wanted && !h.Withdrawn}
		right.add(1)
		s.rights = append(s.rights, right)
	}
	f.silent[e.Name] = s
}

// add adds n to the counts that the right belongs to.
func (r silentRight) add(n int) {
	r.count.held += n
	if r.wanted {
		r.count.wanted += n
	}
}

func (f *Fleet) removeSilent(name string) {
	s := f.silent[name]
	if s == nil {
		return
	}
	for _, right := range s.rights {
		right.add(-1)
		if right.count.held == 0 {
			delete(f.silentCounts, right.count.key)
		}
	}
	delete(f.silent, name)
}

// IsSilent reports whether only a summary of the engine is kept.
func (f *Fleet) IsSilent(name string) bool { return f.silent[name] != nil }

// SilentEngines iterates over the names of the silent engines and the units that
// they hold.
func (f *Fleet) SilentEngines() iter.Seq2[string, iter.Seq[string]] {
	return func(yield func(string, iter.Seq[string]) bool) {
		for name, s := range f.silent {
			if !yield(name, s.units) {
				return
			}
		}
	}
}

func (s *silentEngine) units(yield func(string) bool) {
	for _, right := range s.rights {
		if !yield(right.count.key.unit) {
			return
		}
	}
}

// countSilentWanted counts the wanted rights for a customer's unit on silent
// engines.
func (f *Fleet) countSilentWanted(unit, customer string) int {
	if count := f.silentCounts[unitKey{unit, customer}]; count != nil {
		return count.wanted
	}
	return 0
}
