package engineserver

import (
	"context"
	"slices"
	"time"

	"bergamotreel/engine"
)

// maxCacheEvents bounds the events that are kept for readers.
const maxCacheEvents = 4096

// prefixCache is the engine's cache of prompt prefixes, oldest first.
type prefixCache struct {
	options  Options
	prefixes []cachedPrefix
	sequence uint64
	events   []cacheEvent
}

type cachedPrefix struct {
	unit string
	hash uint64
}

type cacheEvent struct {
	engine.CacheEvent
	shownFrom time.Time
}

func newPrefixCache(options Options) prefixCache {
	return prefixCache{options: options}
}

// use takes a prompt into the cache and returns the share of it, 0 to 1, that
// was not cached. Without any prefix nothing can be reused.
func (c *prefixCache) use(unit string, hashes []uint64, now time.Time) float64 {
	cached := 0
	for i, hash := range hashes {
		entry := cachedPrefix{unit, hash}
		if at := slices.Index(c.prefixes, entry); at >= 0 {
			c.prefixes = slices.Delete(c.prefixes, at, at+1)
			cached = i + 1
		} else {
			c.emit(entry, false, now)
		}
		c.prefixes = append(c.prefixes, entry)
	}
	c.evict(now)
	if len(hashes) == 0 {
		return 1
	}
	return 1 - float64(cached)/float64(len(hashes)+1)
}

func (c *prefixCache) evict(now time.Time) {
	for len(c.prefixes) > c.options.MaxCachedPrefixes {
		c.emit(c.prefixes[0], true, now)
		c.prefixes = c.prefixes[1:]
	}
}

// emit publishes an event late, or not at all where a gap is due.
func (c *prefixCache) emit(entry cachedPrefix, evicted bool, now time.Time) {
	c.sequence++
	if c.options.LoseEveryNthCacheEvent > 0 && c.sequence%c.options.LoseEveryNthCacheEvent == 0 {
		return
	}
	event := engine.CacheEvent{Sequence: c.sequence, Unit: entry.unit, Prefix: entry.hash, Evicted: evicted}
	c.events = append(c.events, cacheEvent{event, now.Add(c.options.CacheEventDelay)})
	if over := len(c.events) - maxCacheEvents; over > 0 {
		c.events = slices.Delete(c.events, 0, over)
	}
}

// CacheEvents returns the events after a sequence number that show by now.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	if err := e.enter(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	shown := []engine.CacheEvent{}
	for _, event := range e.cache.events {
		if event.Sequence > after && !event.shownFrom.After(now) {
			shown = append(shown, event.CacheEvent)
		}
	}
	return shown, nil
}
