package hosted

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotreel/entryvm"
)

// updateLog holds the engine updates that a relay forwards, in the order of their arrival.
// An unchanged update is not sent again: a renewal per keeper says that all its updates
// are still valid, and a VM that finds some of them missing asks for that keeper's
// updates.
type updateLog struct {
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

func newUpdateLog() updateLog {
	return updateLog{next: 1, entries: make(map[string]*loggedUpdate), fullListAt: make(map[string]time.Time)}
}

// put logs an update that the backend table has accepted.
func (l *updateLog) put(now time.Time, keeper string, update entryvm.EngineUpdate, local bool) {
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

// recordFullList records that a keeper has just listed all its engines, and drops the
// updates of engines that it did not list.
func (l *updateLog) recordFullList(now time.Time, keeper string) {
	l.fullListAt[keeper] = now
	for id, entry := range l.entries {
		if entry.Keeper == keeper && entry.at.Before(now) {
			delete(l.entries, id)
			l.checksums = nil
		}
	}
}

// renew records that all updates of a keeper were valid at a time.
func (l *updateLog) renew(at time.Time, keeper string) {
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

// since returns up to maxUpdatesPerReport updates from a position on, the position to
// continue from, and whether there are more.
func (l *updateLog) since(position uint64, localOnly bool) (out []entryvm.RelayedUpdate, next uint64, more bool) {
	var matching []*loggedUpdate
	for _, entry := range l.entries {
		if entry.position >= position && (entry.local || !localOnly) {
			matching = append(matching, entry)
		}
	}
	next = l.next
	if len(matching) > maxUpdatesPerReport {
		slices.SortFunc(matching, func(a, b *loggedUpdate) int { return cmp.Compare(a.position, b.position) })
		next, more = matching[maxUpdatesPerReport].position, true
		matching = matching[:maxUpdatesPerReport]
	}
	for _, entry := range matching {
		out = append(out, entry.RelayedUpdate)
	}
	return out, next, more
}

// ofKeepers returns all updates of the given keepers.
func (l *updateLog) ofKeepers(keepers []string, localOnly bool) (out []entryvm.RelayedUpdate) {
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

// renewals returns a renewal for each keeper that recently listed all its engines.
func (l *updateLog) renewals(now time.Time, localOnly bool) []entryvm.UpdateRenewal {
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
func (l *updateLog) computeChecksums() {
	l.checksums, l.localChecksums = make(map[string]uint64), make(map[string]uint64)
	for id, entry := range l.entries {
		sum := updateChecksum(id, entry.Update.Version)
		l.checksums[entry.Keeper] += sum
		if entry.local {
			l.localChecksums[entry.Keeper] += sum
		}
	}
}

// updateChecksum returns an engine's part of the checksum over a keeper's updates.
func updateChecksum(engine string, version uint64) uint64 {
	return (xxhash.Sum64String(engine) ^ version) * 0x9E3779B97F4A7C15
}

// dropExpired drops updates and full lists that are older than engineUpdateTTL.
func (l *updateLog) dropExpired(now time.Time) {
	for id, entry := range l.entries {
		if now.Sub(entry.at) > engineUpdateTTL {
			delete(l.entries, id)
			l.checksums = nil
		}
	}
	for keeper, at := range l.fullListAt {
		if now.Sub(at) > engineUpdateTTL {
			delete(l.fullListAt, keeper)
		}
	}
}
