package engineserver

import (
	"context"
	"slices"
	"time"

	"bergamotreel/engine"
)

// maxCacheEvents bounds the cache events that are kept for CacheEvents.
const maxCacheEvents = 4096

// prefixCache is the engine's LRU cache of prompt prefixes. Both prefixes, by
// their last use, and events are ordered oldest first.
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
	visibleAt time.Time
}

func newPrefixCache(options Options) prefixCache {
	return prefixCache{options: options}
}

// recordPrompt adds a prompt's prefixes to the cache and returns the uncached
// share of the prompt, from 0 to 1. It returns 1 for a prompt without prefixes,
// of which nothing can be reused.
func (c *prefixCache) recordPrompt(unit string, hashes []uint64, now time.Time) float64 {
	cached := 0
	for i, hash := range hashes {
		entry := cachedPrefix{unit, hash}
		if index := slices.Index(c.prefixes, entry); index >= 0 {
			c.prefixes = slices.Delete(c.prefixes, index, index+1)
			cached = i + 1
		} else {
			c.publish(entry, false, now)
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
		c.publish(c.prefixes[0], true, now)
		c.prefixes = c.prefixes[1:]
	}
}

// publish makes an event visible after Options.CacheEventDelay, or loses it where
// Options.LoseEveryNthCacheEvent says so. A lost event uses up a sequence number,
// so that readers can detect the gap.
func (c *prefixCache) publish(entry cachedPrefix, evicted bool, now time.Time) {
	c.sequence++
	if c.options.LoseEveryNthCacheEvent > 0 && c.sequence%c.options.LoseEveryNthCacheEvent == 0 {
		return
	}
	event := engine.CacheEvent{Sequence: c.sequence, Unit: entry.unit, Prefix: entry.hash, Evicted: evicted}
	c.events = append(c.events, cacheEvent{event, now.Add(c.options.CacheEventDelay)})
	if excess := len(c.events) - maxCacheEvents; excess > 0 {
		c.events = slices.Delete(c.events, 0, excess)
	}
}

// CacheEvents returns the events with a sequence number above after that are
// already visible.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	if err := e.waitUntilRunning(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	visible := []engine.CacheEvent{}
	for _, event := range e.cache.events {
		if event.Sequence > after && !event.visibleAt.After(now) {
			visible = append(visible, event.CacheEvent)
		}
	}
	return visible, nil
}
