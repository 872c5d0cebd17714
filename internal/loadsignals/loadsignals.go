// Package loadsignals sums up the signals of entry VMs. It does no I/O.
package loadsignals

import (
	"cmp"
	"maps"
	"slices"

	"bergamotreel/entryvm"
)

// Sum is the sum of signals of several VMs. It is not safe for concurrent use.
type Sum struct {
	paces      map[paceKey]entryvm.EnginePace
	workspaces map[workspaceKey]entryvm.WorkspaceUsage
	units      map[unitKey]entryvm.UnitLoad
}

type paceKey struct {
	backend string
	started int64
	model   string
}

type workspaceKey struct{ service, workspace string }

type unitKey struct {
	unit     string
	priority int
	target   int64
}

// NewSum returns an empty sum.
func NewSum() *Sum {
	return &Sum{paces: make(map[paceKey]entryvm.EnginePace), workspaces: make(map[workspaceKey]entryvm.WorkspaceUsage), units: make(map[unitKey]entryvm.UnitLoad)}
}

// Add adds the signals of one or several VMs; nil adds nothing.
func (s *Sum) Add(signals *entryvm.LoadSignals) {
	if signals == nil {
		return
	}
	for _, p := range signals.Paces {
		key := paceKey{p.Backend, p.Started, p.Model}
		known := s.paces[key]
		p.Gaps, p.FirstEvents = addCounts(known.Gaps, p.Gaps), addCounts(known.FirstEvents, p.FirstEvents)
		s.paces[key] = p
	}
	for _, w := range signals.Workspaces {
		key := workspaceKey{w.Service, w.Workspace}
		known := s.workspaces[key]
		w.Used, w.Waiting = known.Used+w.Used, known.Waiting+w.Waiting
		s.workspaces[key] = w
	}
	for _, u := range signals.Units {
		key := unitKey{u.Unit, u.Priority, u.Target}
		known := s.units[key]
		u.Waiting, u.Arrived, u.Dispatched = known.Waiting+u.Waiting, known.Arrived+u.Arrived, known.Dispatched+u.Dispatched
		u.Returned, u.Usual = known.Returned+u.Returned, known.Usual+u.Usual
		s.units[key] = u
	}
}

// addCounts returns the sum of two lists of counts, of which one may be shorter.
func addCounts(a, b []uint32) []uint32 {
	if len(a) < len(b) {
		a, b = b, a
	}
	sum := slices.Clone(a)
	for i, count := range b {
		sum[i] += count
	}
	return sum
}

// Total returns the sum.
func (s *Sum) Total() *entryvm.LoadSignals {
	total := &entryvm.LoadSignals{Paces: slices.Collect(maps.Values(s.paces)), Workspaces: slices.Collect(maps.Values(s.workspaces)), Units: slices.Collect(maps.Values(s.units))}
	slices.SortFunc(total.Paces, func(a, b entryvm.EnginePace) int {
		return cmp.Or(cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.Started, b.Started), cmp.Compare(a.Model, b.Model))
	})
	slices.SortFunc(total.Workspaces, func(a, b entryvm.WorkspaceUsage) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Workspace, b.Workspace))
	})
	slices.SortFunc(total.Units, func(a, b entryvm.UnitLoad) int {
		return cmp.Or(cmp.Compare(a.Unit, b.Unit), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Target, b.Target))
	})
	return total
}
