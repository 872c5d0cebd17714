// Package digest is the pure part of the exchange of digests between entry VMs: a
// table that merges received digests, sums that stand for the digests of other cells,
// and the topology that decides which VMs exchange digests. It does no I/O and reads
// no clock.
package digest

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"bergamotreel/entryvm"
)

// forgetAfterTimeouts is the number of heartbeat timeouts after which a silent VM's
// entry is removed. The stored sequence must outlive every late copy of the VM's
// digests, or such a copy would make a dead VM live again.
const forgetAfterTimeouts = 20

// Table keeps the newest digest of each incarnation of each other VM. It is not safe
// for concurrent use. Invariants:
//
//   - The sequence stored for an incarnation only grows.
//   - A digest counts as live for at most the timeout after it was made, give or
//     take its transmission time, however many VMs forwarded it.
//   - The content does not depend on the order in which digests arrived, except for
//     their ages.
type Table struct {
	self    string
	timeout time.Duration
	entries map[entryKey]StoredDigest
	// sweptAt is when old entries were last removed.
	sweptAt time.Time
}

// entryKey identifies one incarnation of a VM, and the cell if the digest is a sum.
type entryKey struct{ vm, incarnation, cell string }

// StoredDigest is a digest with the time at which it was made.
type StoredDigest struct {
	Digest entryvm.Digest
	// MadeAt is when the digest was made, by the local clock: its time of arrival
	// minus the time for which other VMs held it.
	MadeAt time.Time
}

// NewTable returns an empty table for the VM self. A VM whose newest digest is older
// than the timeout is not live.
func NewTable(self string, timeout time.Duration) *Table {
	return &Table{self: self, timeout: timeout, entries: map[entryKey]StoredDigest{}}
}

// Merge stores digests that arrived at now and returns those that were new.
func (t *Table) Merge(now time.Time, digests []entryvm.Digest) []entryvm.Digest {
	var newDigests []entryvm.Digest
	for _, d := range digests {
		if d.VM != t.self && t.mergeOne(now, d) {
			newDigests = append(newDigests, d)
		}
	}
	t.sweep(now)
	return newDigests
}

// mergeOne stores one digest and reports whether it was new.
func (t *Table) mergeOne(now time.Time, d entryvm.Digest) bool {
	key := entryKey{d.VM, d.Incarnation, d.Cell}
	made := now.Add(-max(d.Age, 0))
	known, found := t.entries[key]
	if found && d.Sequence < known.Digest.Sequence {
		return false
	}
	if found && d.Sequence == known.Digest.Sequence {
		// The copy that was transmitted faster gives the more exact time of making.
		if made.Before(known.MadeAt) {
			known.MadeAt = made
			t.entries[key] = known
		}
		return false
	}
	t.entries[key] = StoredDigest{Digest: d, MadeAt: made}
	return true
}

// sweep removes old entries, at most once per timeout.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < t.timeout {
		return
	}
	t.sweptAt = now
	for key, h := range t.entries {
		if now.Sub(h.MadeAt) > forgetAfterTimeouts*t.timeout {
			delete(t.entries, key)
		}
	}
}

// Live returns the newest own digest of each live VM, sorted by VM and with its Age
// at now. Leaving VMs are included: they still hold requests.
func (t *Table) Live(now time.Time) []entryvm.Digest {
	return t.liveMatching(now, func(d entryvm.Digest) bool { return d.Cell == "" })
}

// Sums returns one live sum of each cell, sorted by cell: several VMs make sums of
// the same cell, and adding two of them would count it twice. Of several sums it
// returns the one that covers the most VMs.
func (t *Table) Sums(now time.Time) []entryvm.Digest {
	all := t.liveMatching(now, func(d entryvm.Digest) bool { return d.Cell != "" })
	slices.SortStableFunc(all, func(a, b entryvm.Digest) int {
		return cmp.Or(strings.Compare(a.Cell, b.Cell), cmp.Compare(b.VMs, a.VMs))
	})
	return slices.CompactFunc(all, func(a, b entryvm.Digest) bool { return a.Cell == b.Cell })
}

// liveMatching returns the live digests that match, sorted by VM and with their Age at
// now.
func (t *Table) liveMatching(now time.Time, matches func(entryvm.Digest) bool) []entryvm.Digest {
	var live []entryvm.Digest
	for _, h := range t.newest() {
		if now.Sub(h.MadeAt) >= t.timeout || !matches(h.Digest) {
			continue
		}
		h.Digest.Age = now.Sub(h.MadeAt)
		live = append(live, h.Digest)
	}
	return live
}

// Incarnation returns the newest incarnation of a VM among its live digests and sums,
// "" if there are none.
func (t *Table) Incarnation(now time.Time, vm string) string {
	var best StoredDigest
	for key, h := range t.entries {
		if key.vm == vm && now.Sub(h.MadeAt) < t.timeout && (best.Digest.VM == "" || isNewer(h, best)) {
			best = h
		}
	}
	return best.Digest.Incarnation
}

// All returns the newest own digest of each stored VM, live or not, sorted by VM.
func (t *Table) All() []StoredDigest {
	return slices.DeleteFunc(t.newest(), func(h StoredDigest) bool { return h.Digest.Cell != "" })
}

// makerKey identifies a VM and the cell that it sums up, if any.
type makerKey struct{ vm, cell string }

// newest returns the digests of the newest incarnation of each VM: the one whose
// newest digest was made last. Late digests of a dead incarnation count for one
// timeout at most.
func (t *Table) newest() []StoredDigest {
	byMaker := make(map[makerKey]StoredDigest, len(t.entries))
	for _, h := range t.entries {
		maker := makerKey{h.Digest.VM, h.Digest.Cell}
		best, found := byMaker[maker]
		if !found || isNewer(h, best) {
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

// isNewer reports whether a is of a newer incarnation of a VM than b.
func isNewer(a, b StoredDigest) bool {
	if !a.MadeAt.Equal(b.MadeAt) {
		return a.MadeAt.After(b.MadeAt)
	}
	return a.Digest.Incarnation > b.Digest.Incarnation
}
