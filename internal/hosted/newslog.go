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
type newsLog struct {
	next    uint64
	entries map[string]*loggedNews
	// completeAt is when each keeper last named all its engines.
	completeAt map[string]time.Time
	// sums are those of renewals, of all entries and of the near ones; nil where they have
	// to be made anew.
	sums, nearSums map[string]uint64
}

// loggedNews is the newest news of an engine.
type loggedNews struct {
	entryvm.RelayedNews
	// position is its place in the order, near whether it came from the keeper itself, at
	// when it was last said.
	position uint64
	near     bool
	at       time.Time
}

func newNewsLog() newsLog {
	return newsLog{next: 1, entries: make(map[string]*loggedNews), completeAt: make(map[string]time.Time)}
}

// put takes news that holds by the backend table's judgement.
func (l *newsLog) put(now time.Time, keeper string, news entryvm.EngineNews, near bool) {
	known := l.entries[news.ID]
	if known != nil && known.Keeper == keeper && known.News.Version == news.Version && known.near == (known.near || near) {
		known.at = now
		return
	}
	l.entries[news.ID] = &loggedNews{
		RelayedNews: entryvm.RelayedNews{Keeper: keeper, News: news}, position: l.next, near: near, at: now,
	}
	l.next++
	l.sums = nil
}

// complete notes that a keeper has just named all its engines: it keeps no others.
func (l *newsLog) complete(now time.Time, keeper string) {
	l.completeAt[keeper] = now
	for id, known := range l.entries {
		if known.Keeper == keeper && known.at.Before(now) {
			delete(l.entries, id)
			l.sums = nil
		}
	}
}

// renew notes that all news of a keeper held at a time.
func (l *newsLog) renew(at time.Time, keeper string) {
	if at.Before(l.completeAt[keeper]) {
		return
	}
	l.completeAt[keeper] = at
	for _, known := range l.entries {
		if known.Keeper == keeper && known.at.Before(at) {
			known.at = at
		}
	}
}

// since returns the news from a position on, up to newsMost of it, and the position after
// that; more is whether there is more.
func (l *newsLog) since(position uint64, nearOnly bool) (out []entryvm.RelayedNews, next uint64, more bool) {
	var found []*loggedNews
	for _, known := range l.entries {
		if known.position >= position && (known.near || !nearOnly) {
			found = append(found, known)
		}
	}
	next = l.next
	if len(found) > newsMost {
		slices.SortFunc(found, func(a, b *loggedNews) int { return cmp.Compare(a.position, b.position) })
		next, more = found[newsMost].position, true
		found = found[:newsMost]
	}
	for _, known := range found {
		out = append(out, known.RelayedNews)
	}
	return out, next, more
}

// of returns all news of some keepers.
func (l *newsLog) of(keepers []string, nearOnly bool) (out []entryvm.RelayedNews) {
	if len(keepers) == 0 {
		return nil
	}
	for _, known := range l.entries {
		if slices.Contains(keepers, known.Keeper) && (known.near || !nearOnly) {
			out = append(out, known.RelayedNews)
		}
	}
	return out
}

// renewals tells of each keeper that lately named all its engines.
func (l *newsLog) renewals(now time.Time, nearOnly bool) []entryvm.NewsRenewal {
	if l.sums == nil {
		l.addUp()
	}
	sums := l.sums
	if nearOnly {
		sums = l.nearSums
	}
	var out []entryvm.NewsRenewal
	for keeper, sum := range sums {
		if at, known := l.completeAt[keeper]; known {
			out = append(out, entryvm.NewsRenewal{Keeper: keeper, Sum: sum, Age: now.Sub(at)})
		}
	}
	slices.SortFunc(out, func(a, b entryvm.NewsRenewal) int { return cmp.Compare(a.Keeper, b.Keeper) })
	return out
}

// addUp makes the sums of renewals.
func (l *newsLog) addUp() {
	l.sums, l.nearSums = make(map[string]uint64), make(map[string]uint64)
	for id, known := range l.entries {
		sum := newsSum(id, known.News.Version)
		l.sums[known.Keeper] += sum
		if known.near {
			l.nearSums[known.Keeper] += sum
		}
	}
}

// newsSum is an engine's part of the sum over a keeper's news.
func newsSum(engine string, version uint64) uint64 {
	return (xxhash.Sum64String(engine) ^ version) * 0x9E3779B97F4A7C15
}

// sweep drops news that holds no more.
func (l *newsLog) sweep(now time.Time) {
	for id, known := range l.entries {
		if now.Sub(known.at) > keeperStatusTTL {
			delete(l.entries, id)
			l.sums = nil
		}
	}
	for keeper, at := range l.completeAt {
		if now.Sub(at) > keeperStatusTTL {
			delete(l.completeAt, keeper)
		}
	}
}
