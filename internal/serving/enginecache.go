package serving

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"bergamotreel/engine"
	"bergamotreel/internal/pause"
)

const (
	// cachesEvery is the pause between two rounds of reading cache events. They
	// are hints that come half a second late anyhow.
	cacheReadInterval = 500 * time.Millisecond
	// cachesPerRound bounds the engines read in one round, those read longest
	// ago first, and cacheReaders those read at once.
	maxCacheReadsPerRound   = 32
	maxConcurrentCacheReads = 8
	cacheReadTimeout        = time.Second
	// eventsPerLock bounds the events taken while the queue waits: some tens of
	// microseconds.
	maxEventsPerLock = 128
)

// cacheReader is how far an engine's cache events were read.
type cacheCursor struct {
	// streams counts the own attempts on the engine.
	activeStreams int
	lastSequence  uint64
	lastRead      time.Time
}

// cache returns the engine's reader. Call with mu held.
func (s *Server) cacheCursorFor(engine string) *cacheCursor {
	cursor := s.cacheCursors[engine]
	if cursor == nil {
		cursor = &cacheCursor{}
		s.cacheCursors[engine] = cursor
	}
	return cursor
}

// readCaches is the duty that reads the cache events of the engines with own
// streams in flight: those are the ones whose caches change by what goes on here.
func (s *Server) readCacheEventsLoop(ctx context.Context) {
	pause.Every(ctx, cacheReadInterval, func(ctx context.Context) {
		s.readCacheEventsRound(ctx, s.selectCacheQueries(time.Now()))
	})
}

func (s *Server) readCacheEventsRound(ctx context.Context, queries []cacheEventQuery) {
	var readers sync.WaitGroup
	defer readers.Wait()
	slots := make(chan struct{}, maxConcurrentCacheReads)
	for _, query := range queries {
		slots <- struct{}{}
		readers.Go(func() {
			defer func() { <-slots }()
			s.readCacheEvents(ctx, query)
		})
	}
}

// cacheQuestion is an engine to ask for what followed the event after.
type cacheEventQuery struct {
	engine        string
	afterSequence uint64
	incarnation   uint64
	lastRead      time.Time
}

// dueCaches picks the engines of one round and marks them as read.
func (s *Server) selectCacheQueries(now time.Time) []cacheEventQuery {
	s.mu.Lock()
	defer s.mu.Unlock()
	var queries []cacheEventQuery
	for engine, cursor := range s.cacheCursors {
		if cursor.activeStreams > 0 {
			queries = append(queries, cacheEventQuery{engine, cursor.lastSequence, s.incarnations[engine], cursor.lastRead})
		}
	}
	slices.SortFunc(queries, func(a, b cacheEventQuery) int {
		return cmp.Or(a.lastRead.Compare(b.lastRead), cmp.Compare(a.engine, b.engine))
	})
	queries = queries[:min(len(queries), maxCacheReadsPerRound)]
	for _, query := range queries {
		s.cacheCursors[query.engine].lastRead = now
	}
	return queries
}

func (s *Server) readCacheEvents(ctx context.Context, query cacheEventQuery) {
	ctx, cancel := context.WithTimeout(ctx, cacheReadTimeout)
	defer cancel()
	events, err := s.config.Engines.CacheEvents(ctx, query.engine, query.afterSequence)
	if err != nil {
		return // a later round asks for the same
	}
	for batch := range slices.Chunk(events, maxEventsPerLock) {
		s.applyCacheEvents(query, batch)
	}
}

// takeEvents tells the router. Events of before a restart are of a cache that is
// gone.
func (s *Server) applyCacheEvents(query cacheEventQuery, events []engine.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnations[query.engine] != query.incarnation {
		return
	}
	cursor := s.cacheCursorFor(query.engine)
	for _, event := range events {
		s.config.Router.ApplyCacheEvent(query.engine, event.Unit, event.Prefix, event.Evicted)
		cursor.lastSequence = max(cursor.lastSequence, event.Sequence)
	}
}
