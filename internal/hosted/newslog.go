package hosted

import (
	"time"

	"bergamotreel/entryvm"
)

// newsLog is the news of engines that a relay passes on, in the order in which it came.
type newsLog struct {
	next    uint64
	entries map[string]*loggedNews
}

// loggedNews is the newest news of an engine.
type loggedNews struct {
	entryvm.RelayedNews
	// position is its place in the order, near whether it came from the keeper itself.
	position uint64
	near     bool
	at       time.Time
}

func newNewsLog() newsLog { return newsLog{next: 1, entries: make(map[string]*loggedNews)} }

// put takes news. What only repeats the newest is passed on now and then, and anything
// older than it, by the backend table's judgement, not at all.
func (l *newsLog) put(now time.Time, keeper string, news entryvm.EngineNews, near, newer bool) {
	known := l.entries[news.ID]
	repeats := known != nil && known.Keeper == keeper && known.News.Version == news.Version
	if (repeats && now.Sub(known.at) < newsRefresh) || (!repeats && !newer) {
		return
	}
	l.entries[news.ID] = &loggedNews{
		RelayedNews: entryvm.RelayedNews{Keeper: keeper, News: news}, position: l.next, near: near, at: now,
	}
	l.next++
}

// since returns the news from a position on that still holds, and the next position.
func (l *newsLog) since(position uint64, nearOnly bool) ([]entryvm.RelayedNews, uint64) {
	var out []entryvm.RelayedNews
	for _, known := range l.entries {
		if known.position >= position && (known.near || !nearOnly) {
			out = append(out, known.RelayedNews)
		}
	}
	return out, l.next
}

// sweep drops news that holds no more.
func (l *newsLog) sweep(now time.Time) {
	for id, known := range l.entries {
		if now.Sub(known.at) > newsFor {
			delete(l.entries, id)
		}
	}
}
