package placement

import "iter"

// silentEngine is the little that plans ask of an engine which nobody can place
// on, as it is not heard, and which holds nothing of the planner's.
//
// Failure: in a fleet of 10,000 engines a VM hears some hundreds; the rest took
// 1.5 KB each and had an entry VM miss its memory. What is left is all that a
// plan reads of such an engine: its size (see largestEngine) and its share of
// the replicas that a contract promises (see promised).
type silentEngine struct {
	memory int64
	rights []silentRight
}

// silentRight is one right on a silent engine; wanted ones are to be loaded and
// stand.
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

// SetSilent keeps only what plans may ask of an engine that is not heard, in
// place of all that was known. Set undoes it.
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

// IsSilent tells whether SetSilent was last called for the engine.
func (f *Fleet) IsSilent(name string) bool { return f.silent[name] != nil }

// SilentEngines are the names of the silent engines with the units they hold.
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

// silentWanted counts a unit's standing replicas on silent engines.
func (f *Fleet) silentWanted(unit, customer string) int {
	if count := f.silentCounts[unitKey{unit, customer}]; count != nil {
		return count.wanted
	}
	return 0
}
