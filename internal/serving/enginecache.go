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
	// cacheReadInterval is the time between two rounds of reading cache events.
	// The events are only hints, and engines publish them half a second late anyway.
	cacheReadInterval = 500 * time.Millisecond
	// maxCacheReadsPerRound bounds the engines read in one round, least recently
	// read first; maxConcurrentCacheReads bounds those read concurrently.
	maxCacheReadsPerRound   = 32
	maxConcurrentCacheReads = 8
	cacheReadTimeout        = time.Second
	// maxEventsPerLock bounds the events applied while holding the lock, which
	// blocks the queue for some tens of microseconds.
	maxEventsPerLock = 128
)

// cacheCursor records how far the cache events of an engine have been read.
type cacheCursor struct {
	// activeStreams counts this VM's attempts on the engine.
	activeStreams int
	lastSequence  uint64
	lastRead      time.Time
}

// cacheCursorFor returns the engine's cursor and creates it if needed. Call with mu held.
func (s *Server) cacheCursorFor(engine string) *cacheCursor {
	cursor := s.cacheCursors[engine]
	if cursor == nil {
		cursor = &cacheCursor{}
		s.cacheCursors[engine] = cursor
	}
	return cursor
}

// readCacheEventsLoop reads the cache events of the engines that have streams of
// this VM in flight, as these streams change their caches.
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

// cacheEventQuery asks an engine for the events after afterSequence.
type cacheEventQuery struct {
	engine        string
	afterSequence uint64
	incarnation   uint64
	lastRead      time.Time
}

// selectCacheQueries selects the engines of one round and marks them as read.
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
		return // a later round asks for the same events
	}
	for batch := range slices.Chunk(events, maxEventsPerLock) {
		s.applyCacheEvents(query, batch)
	}
}

// applyCacheEvents passes the events to the router. It drops those of a previous
// incarnation of the engine, whose cache is gone.
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
