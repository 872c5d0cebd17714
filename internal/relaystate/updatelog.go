// Package relaystate holds what the relays of a large fleet forward between its failure domains: a log of the engines'
// updates, and the versions of each domain's view with the differences between them. It does no I/O; the caller
// passes the time in.
package relaystate

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotreel/entryvm"
)

const (
	// UpdateTTL is how long an engine's update from its keeper takes precedence over
	// the registry's entry. It is twice the interval at which a keeper repeats the update,
	// so the update of a keeper that no longer runs expires.
	UpdateTTL = 6 * time.Second
	// MaxUpdatesPerReport is the maximum number of engine updates in one report. On a slow
	// link, a report with everything that a new VM lacks would take too long and be lost
	// as a whole.
	MaxUpdatesPerReport = 1000
)

// UpdateLog holds the engine updates that a relay forwards, in the order of their arrival.
// An unchanged update is not sent again: a renewal per keeper says that all its updates
// are still valid, and a VM that finds some of them missing asks for that keeper's
// updates.
type UpdateLog struct {
	next    uint64
	entries map[string]*loggedUpdate
	// fullListAt is when each keeper last listed all its engines.
	fullListAt map[string]time.Time
	// checksums are the checksums per keeper that renewals carry, over all entries;
	// localChecksums are those over local entries only. checksums is nil when both have to
	// be computed again.
	checksums, localChecksums map[string]uint64
}

// loggedUpdate is the newest update of an engine.
type loggedUpdate struct {
	entryvm.RelayedUpdate
	// position is the update's place in the log. local is whether it came directly from a
	// keeper of this domain, at when it was last confirmed.
	position uint64
	local    bool
	at       time.Time
}

// NewUpdateLog returns an empty log.
func NewUpdateLog() UpdateLog {
	return UpdateLog{next: 1, entries: make(map[string]*loggedUpdate), fullListAt: make(map[string]time.Time)}
}

// Put logs an update that the backend table has accepted.
func (l *UpdateLog) Put(now time.Time, keeper string, update entryvm.EngineUpdate, local bool) {
	existing := l.entries[update.ID]
	if existing != nil && existing.Keeper == keeper && existing.Update.Version == update.Version && existing.local == (existing.local || local) {
		existing.at = now
		return
	}
	l.entries[update.ID] = &loggedUpdate{
		RelayedUpdate: entryvm.RelayedUpdate{Keeper: keeper, Update: update}, position: l.next, local: local, at: now,
	}
	l.next++
	l.checksums = nil
}

// RecordFullList records that a keeper has just listed all its engines, and drops the
// updates of engines that it did not list.
func (l *UpdateLog) RecordFullList(now time.Time, keeper string) {
	l.fullListAt[keeper] = now
	for id, entry := range l.entries {
		if entry.Keeper == keeper && entry.at.Before(now) {
			delete(l.entries, id)
			l.checksums = nil
		}
	}
}

// Renew records that all updates of a keeper were valid at a time.
func (l *UpdateLog) Renew(at time.Time, keeper string) {
	if at.Before(l.fullListAt[keeper]) {
		return
	}
	l.fullListAt[keeper] = at
	for _, entry := range l.entries {
		if entry.Keeper == keeper && entry.at.Before(at) {
			entry.at = at
		}
	}
}

// Since returns up to MaxUpdatesPerReport updates from a position on, the position to
// continue from, and whether there are more.
func (l *UpdateLog) Since(position uint64, localOnly bool) (out []entryvm.RelayedUpdate, next uint64, more bool) {
	var matching []*loggedUpdate
	for _, entry := range l.entries {
		if entry.position >= position && (entry.local || !localOnly) {
			matching = append(matching, entry)
		}
	}
	next = l.next
	if len(matching) > MaxUpdatesPerReport {
		slices.SortFunc(matching, func(a, b *loggedUpdate) int { return cmp.Compare(a.position, b.position) })
		next, more = matching[MaxUpdatesPerReport].position, true
		matching = matching[:MaxUpdatesPerReport]
	}
	for _, entry := range matching {
		out = append(out, entry.RelayedUpdate)
	}
	return out, next, more
}

// OfKeepers returns all updates of the given keepers.
func (l *UpdateLog) OfKeepers(keepers []string, localOnly bool) (out []entryvm.RelayedUpdate) {
	if len(keepers) == 0 {
		return nil
	}
	for _, entry := range l.entries {
		if slices.Contains(keepers, entry.Keeper) && (entry.local || !localOnly) {
			out = append(out, entry.RelayedUpdate)
		}
	}
	return out
}

// Renewals returns a renewal for each keeper that recently listed all its engines.
func (l *UpdateLog) Renewals(now time.Time, localOnly bool) []entryvm.UpdateRenewal {
	if l.checksums == nil {
		l.computeChecksums()
	}
	checksums := l.checksums
	if localOnly {
		checksums = l.localChecksums
	}
	var out []entryvm.UpdateRenewal
	for keeper, sum := range checksums {
		if at, listed := l.fullListAt[keeper]; listed {
			out = append(out, entryvm.UpdateRenewal{Keeper: keeper, Checksum: sum, Age: now.Sub(at)})
		}
	}
	slices.SortFunc(out, func(a, b entryvm.UpdateRenewal) int { return cmp.Compare(a.Keeper, b.Keeper) })
	return out
}

// computeChecksums computes the checksums for renewals.
func (l *UpdateLog) computeChecksums() {
	l.checksums, l.localChecksums = make(map[string]uint64), make(map[string]uint64)
	for id, entry := range l.entries {
		sum := UpdateChecksum(id, entry.Update.Version)
		l.checksums[entry.Keeper] += sum
		if entry.local {
			l.localChecksums[entry.Keeper] += sum
		}
	}
}

// UpdateChecksum returns an engine's part of the checksum over a keeper's updates.
func UpdateChecksum(engine string, version uint64) uint64 {
	return (xxhash.Sum64String(engine) ^ version) * 0x9E3779B97F4A7C15
}

// DropExpired drops updates and full lists that are older than UpdateTTL.
func (l *UpdateLog) DropExpired(now time.Time) {
	for id, entry := range l.entries {
		if now.Sub(entry.at) > UpdateTTL {
			delete(l.entries, id)
			l.checksums = nil
		}
	}
	for keeper, at := range l.fullListAt {
		if now.Sub(at) > UpdateTTL {
			delete(l.fullListAt, keeper)
		}
	}
}
