package hosted

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotreel/entryvm"
)

// newsLog is the news of engines that a relay passes on, in the order in which it came.
// News that did not change is not sent again: a renewal for each keeper tells that all of
// its news still holds, and who finds that it lacks some asks for that keeper's.
type updateLog struct {
	next    uint64
	entries map[string]*loggedUpdate
	// completeAt is when each keeper last named all its engines.
	fullListAt map[string]time.Time
	// sums are those of renewals, of all entries and of the near ones; nil where they have
	// to be made anew.
	sums, localSums map[string]uint64
}

// loggedNews is the newest news of an engine.
type loggedUpdate struct {
	entryvm.RelayedNews
	// position is its place in the order, near whether it came from the keeper itself, at
	// when it was last said.
	position uint64
	local    bool
	at       time.Time
}

func newUpdateLog() updateLog {
	return updateLog{next: 1, entries: make(map[string]*loggedUpdate), fullListAt: make(map[string]time.Time)}
}

// put takes news that holds by the backend table's judgement.
func (l *updateLog) put(now time.Time, keeper string, update entryvm.EngineNews, local bool) {
	existing := l.entries[update.ID]
	if existing != nil && existing.Keeper == keeper && existing.News.Version == update.Version && existing.local == (existing.local || local) {
		existing.at = now
		return
	}
	l.entries[update.ID] = &loggedUpdate{
		RelayedNews: entryvm.RelayedNews{Keeper: keeper, News: update}, position: l.next, local: local, at: now,
	}
	l.next++
	l.sums = nil
}

// complete notes that a keeper has just named all its engines: it keeps no others.
func (l *updateLog) recordFullList(now time.Time, keeper string) {
	l.fullListAt[keeper] = now
	for id, entry := range l.entries {
		if entry.Keeper == keeper && entry.at.Before(now) {
			delete(l.entries, id)
			l.sums = nil
		}
	}
}

// renew notes that all news of a keeper held at a time.
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

// since returns the news from a position on, up to newsMost of it, and the position after
// that; more is whether there is more.
func (l *updateLog) since(position uint64, localOnly bool) (out []entryvm.RelayedNews, next uint64, more bool) {
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
		out = append(out, entry.RelayedNews)
	}
	return out, next, more
}

// of returns all news of some keepers.
func (l *updateLog) ofKeepers(keepers []string, localOnly bool) (out []entryvm.RelayedNews) {
	if len(keepers) == 0 {
		return nil
	}
	for _, entry := range l.entries {
		if slices.Contains(keepers, entry.Keeper) && (entry.local || !localOnly) {
			out = append(out, entry.RelayedNews)
		}
	}
	return out
}

// renewals tells of each keeper that lately named all its engines.
func (l *updateLog) renewals(now time.Time, localOnly bool) []entryvm.NewsRenewal {
	if l.sums == nil {
		l.computeSums()
	}
	sums := l.sums
	if localOnly {
		sums = l.localSums
	}
	var out []entryvm.NewsRenewal
	for keeper, sum := range sums {
		if at, listed := l.fullListAt[keeper]; listed {
			out = append(out, entryvm.NewsRenewal{Keeper: keeper, Sum: sum, Age: now.Sub(at)})
		}
	}
	slices.SortFunc(out, func(a, b entryvm.NewsRenewal) int { return cmp.Compare(a.Keeper, b.Keeper) })
	return out
}

// addUp makes the sums of renewals.
func (l *updateLog) computeSums() {
	l.sums, l.localSums = make(map[string]uint64), make(map[string]uint64)
	for id, entry := range l.entries {
		sum := updateSum(id, entry.News.Version)
		l.sums[entry.Keeper] += sum
		if entry.local {
			l.localSums[entry.Keeper] += sum
		}
	}
}

// newsSum is an engine's part of the sum over a keeper's news.
func updateSum(engine string, version uint64) uint64 {
	return (xxhash.Sum64String(engine) ^ version) * 0x9E3779B97F4A7C15
}

// sweep drops news that holds no more.
func (l *updateLog) dropExpired(now time.Time) {
	for id, entry := range l.entries {
		if now.Sub(entry.at) > newsFor {
			delete(l.entries, id)
			l.sums = nil
		}
	}
	for keeper, at := range l.fullListAt {
		if now.Sub(at) > newsFor {
			delete(l.fullListAt, keeper)
		}
	}
}
