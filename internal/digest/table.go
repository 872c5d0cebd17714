// Package digest is the pure part of the exchange of digests between entry VMs:
// a table that merges what arrives, sums for what is far away, and the topology
// that says who talks to whom. It does no I/O and reads no clock.
package digest

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"bergamotreel/entryvm"
)

// forgetAfter is after how many heartbeat timeouts a silent VM is forgotten. Its
// sequence must outlive every late copy of its digests, or one would make a dead
// VM live again.
const forgetAfter = 20

// Table keeps the newest digest of each start of each other VM. It is not safe
// for concurrent use. Invariants:
//
//   - The sequence kept for an incarnation only grows.
//   - A digest counts as live for at most the timeout after its making, give or
//     take the time it travelled, however many VMs handed it on.
//   - Its content does not depend on the order in which digests arrived, but for
//     their ages.
type Table struct {
	self    string
	timeout time.Duration
	entries map[entryKey]StoredDigest
	// swept is when the silent ones were last forgotten.
	swept time.Time
}

// entryKey is one start of one VM, and the cell if it is a sum.
type entryKey struct{ vm, incarnation, cell string }

// Heard is a kept digest.
type StoredDigest struct {
	Digest entryvm.Digest
	// Made is when it was made, by the local clock: when it arrived less the time
	// that other VMs held it.
	MadeAt time.Time
}

// NewTable returns an empty table of the VM self. A VM whose newest digest is
// older than the timeout is not live.
func NewTable(self string, timeout time.Duration) *Table {
	return &Table{self: self, timeout: timeout, entries: map[entryKey]StoredDigest{}}
}

// Merge takes in digests that arrived now and returns those that were new.
func (t *Table) Merge(now time.Time, digests []entryvm.Digest) []entryvm.Digest {
	var fresh []entryvm.Digest
	for _, d := range digests {
		if d.VM != t.self && t.merge(now, d) {
			fresh = append(fresh, d)
		}
	}
	t.sweep(now)
	return fresh
}

// merge takes in one digest and tells whether it was new.
func (t *Table) merge(now time.Time, d entryvm.Digest) bool {
	key := entryKey{d.VM, d.Incarnation, d.Cell}
	made := now.Add(-max(d.Age, 0))
	known, found := t.entries[key]
	if found && d.Sequence < known.Digest.Sequence {
		return false
	}
	if found && d.Sequence == known.Digest.Sequence {
		// The copy that travelled faster tells the time of making better.
		if made.Before(known.MadeAt) {
			known.MadeAt = made
			t.entries[key] = known
		}
		return false
	}
	t.entries[key] = StoredDigest{Digest: d, MadeAt: made}
	return true
}

// sweep forgets the silent ones, once per timeout.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.swept) < t.timeout {
		return
	}
	t.swept = now
	for key, h := range t.entries {
		if now.Sub(h.MadeAt) > forgetAfter*t.timeout {
			delete(t.entries, key)
		}
	}
}

// Live returns the newest own digest of each VM that is live, sorted by VM and
// with its present Age. Leaving VMs are among them: they still hold requests.
func (t *Table) Live(now time.Time) []entryvm.Digest {
	return t.live(now, func(d entryvm.Digest) bool { return d.Cell == "" })
}

// Sums returns one live sum of each cell, sorted by cell: several VMs sum up the
// same cell, and adding two of them would count it twice. The one that speaks
// for most VMs is taken.
func (t *Table) Sums(now time.Time) []entryvm.Digest {
	all := t.live(now, func(d entryvm.Digest) bool { return d.Cell != "" })
	slices.SortStableFunc(all, func(a, b entryvm.Digest) int {
		return cmp.Or(strings.Compare(a.Cell, b.Cell), cmp.Compare(b.VMs, a.VMs))
	})
	return slices.CompactFunc(all, func(a, b entryvm.Digest) bool { return a.Cell == b.Cell })
}

// live returns the wanted ones of the live digests, sorted by VM.
func (t *Table) live(now time.Time, want func(entryvm.Digest) bool) []entryvm.Digest {
	var live []entryvm.Digest
	for _, h := range t.newest() {
		if now.Sub(h.MadeAt) >= t.timeout || !want(h.Digest) {
			continue
		}
		h.Digest.Age = now.Sub(h.MadeAt)
		live = append(live, h.Digest)
	}
	return live
}

// Incarnation is the newest start of a VM by its digests and sums, "" where none
// of them is live.
func (t *Table) Incarnation(now time.Time, vm string) string {
	var best StoredDigest
	for key, h := range t.entries {
		if key.vm == vm && now.Sub(h.MadeAt) < t.timeout && (best.Digest.VM == "" || newer(h, best)) {
			best = h
		}
	}
	return best.Digest.Incarnation
}

// All returns the newest own digest of each remembered VM, live or not, sorted
// by VM.
func (t *Table) All() []StoredDigest {
	return slices.DeleteFunc(t.newest(), func(h StoredDigest) bool { return h.Digest.Cell != "" })
}

// makerKey is a VM and the cell that it sums up, if any.
type makerKey struct{ vm, cell string }

// newest picks the newest start of each VM: the one whose newest digest was made
// last. A dead start's late digests count for a timeout at most.
func (t *Table) newest() []StoredDigest {
	byMaker := make(map[makerKey]StoredDigest, len(t.entries))
	for _, h := range t.entries {
		maker := makerKey{h.Digest.VM, h.Digest.Cell}
		best, found := byMaker[maker]
		if !found || newer(h, best) {
			byMaker[maker] = h
		}
	}
	all := make([]StoredDigest, 0, len(byMaker))
	for _, h := range byMaker {
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b StoredDigest) int {
		return cmp.Or(strings.Compare(a.Digest.VM, b.Digest.VM), strings.Compare(a.Digest.Cell, b.Digest.Cell))
	})
	return all
}

// newer orders two starts of one VM.
func newer(a, b StoredDigest) bool {
	if !a.MadeAt.Equal(b.MadeAt) {
		return a.MadeAt.After(b.MadeAt)
	}
	return a.Digest.Incarnation > b.Digest.Incarnation
}
