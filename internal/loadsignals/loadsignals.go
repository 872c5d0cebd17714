// Package loadsignals sums up the signals of entry VMs, and converts them from and to what the
// packages that decide by them use. It does no I/O.
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
	queues     map[queueKey]entryvm.QueueLoad
}

type queueKey struct{ service, backend string }

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
	return &Sum{paces: make(map[paceKey]entryvm.EnginePace), workspaces: make(map[workspaceKey]entryvm.WorkspaceUsage), units: make(map[unitKey]entryvm.UnitLoad),
		queues: make(map[queueKey]entryvm.QueueLoad)}
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
	for _, service := range signals.Workspaces {
		for _, w := range service.Workspaces {
			key := workspaceKey{service.Service, w.Workspace}
			known := s.workspaces[key]
			w.Used, w.Waiting = known.Used+w.Used, known.Waiting+w.Waiting
			s.workspaces[key] = w
		}
	}
	for _, u := range signals.Units {
		key := unitKey{u.Unit, u.Priority, u.Target}
		known := s.units[key]
		u.Waiting, u.Arrived, u.Dispatched = known.Waiting+u.Waiting, known.Arrived+u.Arrived, known.Dispatched+u.Dispatched
		u.Returned, u.Usual = known.Returned+u.Returned, known.Usual+u.Usual
		s.units[key] = u
	}
	for _, q := range signals.Queues {
		key := queueKey{q.Service, q.Backend}
		known := s.queues[key]
		q.Arrived, q.Sent, q.Rejected = known.Arrived+q.Arrived, known.Sent+q.Sent, known.Rejected+q.Rejected
		q.Work, q.Length, q.VMs = known.Work+q.Work, known.Length+q.Length, known.VMs+q.VMs
		s.queues[key] = q
	}
}

// maxWorkspaces limits the workspaces of a sum to those that use most. Relays send sums to each VM of
// their domain; 64 workspaces take about 1 KB.
const maxWorkspaces = 64

// largestWorkspaces returns the workspaces by service, or those that use most if there are too many.
func (s *Sum) largestWorkspaces() []entryvm.ServiceUsage {
	keys := slices.Collect(maps.Keys(s.workspaces))
	compareKeys := func(a, b workspaceKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.workspace, b.workspace))
	}
	if len(keys) > maxWorkspaces {
		slices.SortFunc(keys, func(a, b workspaceKey) int {
			x, y := s.workspaces[a], s.workspaces[b]
			return cmp.Or(cmp.Compare(y.Used, x.Used), cmp.Compare(y.Waiting, x.Waiting), compareKeys(a, b))
		})
		keys = keys[:maxWorkspaces]
	}
	slices.SortFunc(keys, compareKeys)
	var list []entryvm.ServiceUsage
	for _, key := range keys {
		list = appendWorkspace(list, key.service, s.workspaces[key])
	}
	return list
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

// maxPaces bounds the paces of a sum. Beyond it, engines with the fewest measured gaps are left out: they
// count as the median of their pools.
const maxPaces = 512

// boundPaces returns the paces to keep; which ones does not depend on the order of the list.
func boundPaces(list []entryvm.EnginePace) []entryvm.EnginePace {
	if len(list) <= maxPaces {
		return list
	}
	count := func(p *entryvm.EnginePace) (sum uint64) {
		for _, c := range p.Gaps {
			sum += uint64(c)
		}
		return sum
	}
	slices.SortFunc(list, func(a, b entryvm.EnginePace) int {
		return cmp.Or(cmp.Compare(count(&b), count(&a)), comparePaces(a, b))
	})
	return list[:maxPaces]
}

// comparePaces orders paces by their keys.
func comparePaces(a, b entryvm.EnginePace) int {
	return cmp.Or(cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.Started, b.Started), cmp.Compare(a.Model, b.Model))
}

// Total returns the sum.
func (s *Sum) Total() *entryvm.LoadSignals {
	total := &entryvm.LoadSignals{Paces: boundPaces(slices.Collect(maps.Values(s.paces))), Workspaces: s.largestWorkspaces(), Units: slices.Collect(maps.Values(s.units)),
		Queues: slices.Collect(maps.Values(s.queues))}
	slices.SortFunc(total.Paces, comparePaces)
	slices.SortFunc(total.Units, func(a, b entryvm.UnitLoad) int {
		return cmp.Or(cmp.Compare(a.Unit, b.Unit), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Target, b.Target))
	})
	slices.SortFunc(total.Queues, func(a, b entryvm.QueueLoad) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Backend, b.Backend))
	})
	return total
}
