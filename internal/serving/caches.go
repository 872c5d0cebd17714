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
	cachesEvery = 500 * time.Millisecond
	// cachesPerRound bounds the engines read in one round, those read longest
	// ago first, and cacheReaders those read at once.
	cachesPerRound = 32
	cacheReaders   = 8
	cacheTimeout   = time.Second
	// eventsPerLock bounds the events taken while the queue waits: some tens of
	// microseconds.
	eventsPerLock = 128
)

// cacheReader is how far an engine's cache events were read.
type cacheReader struct {
	// streams counts the own attempts on the engine.
	streams int
	after   uint64
	readAt  time.Time
}

// cache returns the engine's reader. Call with mu held.
func (s *Server) cache(engine string) *cacheReader {
	reader := s.caches[engine]
	if reader == nil {
		reader = &cacheReader{}
		s.caches[engine] = reader
	}
	return reader
}

// readCaches is the duty that reads the cache events of the engines with own
// streams in flight: those are the ones whose caches change by what goes on here.
func (s *Server) readCaches(ctx context.Context) {
	pause.Every(ctx, cachesEvery, func(ctx context.Context) {
		s.readRound(ctx, s.dueCaches(time.Now()))
	})
}

func (s *Server) readRound(ctx context.Context, due []cacheQuestion) {
	var readers sync.WaitGroup
	defer readers.Wait()
	slots := make(chan struct{}, cacheReaders)
	for _, question := range due {
		slots <- struct{}{}
		readers.Go(func() {
			defer func() { <-slots }()
			s.readCache(ctx, question)
		})
	}
}

// cacheQuestion is an engine to ask for what followed the event after.
type cacheQuestion struct {
	engine string
	after  uint64
	start  uint64
	readAt time.Time
}

// dueCaches picks the engines of one round and marks them as read.
func (s *Server) dueCaches(now time.Time) []cacheQuestion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []cacheQuestion
	for engine, reader := range s.caches {
		if reader.streams > 0 {
			due = append(due, cacheQuestion{engine, reader.after, s.starts[engine], reader.readAt})
		}
	}
	slices.SortFunc(due, func(a, b cacheQuestion) int {
		return cmp.Or(a.readAt.Compare(b.readAt), cmp.Compare(a.engine, b.engine))
	})
	due = due[:min(len(due), cachesPerRound)]
	for _, question := range due {
		s.caches[question.engine].readAt = now
	}
	return due
}

func (s *Server) readCache(ctx context.Context, question cacheQuestion) {
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	events, err := s.config.Engines.CacheEvents(ctx, question.engine, question.after)
	if err != nil {
		return // a later round asks for the same
	}
	for batch := range slices.Chunk(events, eventsPerLock) {
		s.takeEvents(question, batch)
	}
}

// takeEvents tells the router. Events of before a restart are of a cache that is
// gone.
func (s *Server) takeEvents(question cacheQuestion, events []engine.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.starts[question.engine] != question.start {
		return
	}
	reader := s.cache(question.engine)
	for _, event := range events {
		s.config.Router.ApplyCacheEvent(question.engine, event.Unit, event.Prefix, event.Evicted)
		reader.after = max(reader.after, event.Sequence)
	}
}
