// Package logserver stands in for the platform's append-only log in tests and on
// a developer's machine. Store is the log in memory; it implements
// platformlog.Log itself and needs no socket, so it runs under testing/synctest
// as well. Handler serves a Store over HTTP.
package logserver

import (
	"context"
	"slices"
	"sync"
	"time"

	"bergamotreel/internal/standin/faults"
	"bergamotreel/platformlog"

	"github.com/zeebo/errs"
	"golang.org/x/time/rate"
)

// Error is the class of all errors of this package.
var Error = errs.Class("logserver")

// MaxRecordBytes bounds one record's data.
const MaxRecordBytes = 1 << 20

var errTooManyAppends = errs.New("too many appends a second")

// Config is what a Store is made with. The zero value keeps everything and
// takes any rate.
type Config struct {
	// MaxAge and MaxRecords bound what each stream keeps; 0 is unbounded.
	MaxAge     time.Duration
	MaxRecords int
	// AppendsPerSecond and Burst limit the appends over all streams; 0 is
	// unlimited. Burst is at least 1.
	AppendsPerSecond float64
	Burst            int
	// Seed makes the draws of lost answers repeatable.
	Seed uint64
}

// Store is the log in memory. It is safe for concurrent use.
type Store struct {
	config  Config
	faults  *faults.Injector
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	views   map[string]*View
}

// stream is one stream's kept records; Store.mu guards it.
type stream struct {
	records []platformlog.Record
	end     platformlog.Offset
	// lastTime is the newest record's time; a record is never stamped earlier.
	lastTime time.Time
	// appended is closed at the next append, for readers that wait.
	appended chan struct{}
}

// New returns an empty log.
func New(config Config) *Store {
	limit := rate.Inf
	if config.AppendsPerSecond > 0 {
		limit = rate.Limit(config.AppendsPerSecond)
	}
	return &Store{
		config:  config,
		faults:  faults.NewInjector(config.Seed),
		limiter: rate.NewLimiter(limit, max(config.Burst, 1)),
		streams: map[string]*stream{},
		views:   map[string]*View{},
	}
}

// Faults are the switches that hit all clients.
func (s *Store) Faults() *faults.Injector { return s.faults }

// View is the log as one client reaches it, with switches of its own, so that
// a test can cut a single client off. The same name gives the same View.
func (s *Store) View(client string) *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.views[client]
	if view == nil {
		view = &View{store: s, faults: faults.NewInjector(s.config.Seed + uint64(len(s.views)) + 1)}
		s.views[client] = view
	}
	return view
}

// Append implements platformlog.Log for a client without a name.
func (s *Store) Append(ctx context.Context, stream string, data []byte) (platformlog.Offset, error) {
	return s.View("").Append(ctx, stream, data)
}

// Read implements platformlog.Log for a client without a name.
func (s *Store) Read(ctx context.Context, stream string, from platformlog.Offset, max int, wait time.Duration) (platformlog.Batch, error) {
	return s.View("").Read(ctx, stream, from, max, wait)
}

func (s *Store) store(name string, data []byte) platformlog.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.stream(name)
	// Whole milliseconds, as HTTP carries them: all readers see the same time.
	now := time.UnixMilli(time.Now().UnixMilli())
	if now.Before(at.lastTime) {
		now = at.lastTime
	}
	at.lastTime = now
	at.end++
	at.records = append(at.records, platformlog.Record{Offset: at.end, Time: now, Data: data})
	s.trim(at, now)
	close(at.appended)
	at.appended = make(chan struct{})
	return at.end
}

// stream returns the named stream, made empty at first use; the caller holds mu.
func (s *Store) stream(name string) *stream {
	at := s.streams[name]
	if at == nil {
		at = &stream{appended: make(chan struct{})}
		s.streams[name] = at
	}
	return at
}

// trim drops what the retention no longer keeps; the caller holds mu.
func (s *Store) trim(at *stream, now time.Time) {
	drop := 0
	if s.config.MaxRecords > 0 {
		drop = max(0, len(at.records)-s.config.MaxRecords)
	}
	if s.config.MaxAge > 0 {
		for drop < len(at.records) && now.Sub(at.records[drop].Time) > s.config.MaxAge {
			drop++
		}
	}
	at.records = at.records[drop:]
}

// peek answers at once; the channel is closed at the stream's next append.
func (s *Store) peek(name string, from platformlog.Offset, limit int) (platformlog.Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from = max(from, 1)
	at := s.stream(name)
	s.trim(at, time.Now())
	earliest := at.end + 1 - platformlog.Offset(len(at.records))
	batch := platformlog.Batch{Next: from, Earliest: earliest, End: at.end}
	if from < earliest {
		return batch, at.appended, platformlog.Error.Wrap(platformlog.ErrTrimmed)
	}
	if from > at.end {
		return batch, at.appended, nil
	}
	records := at.records[from-earliest:]
	records = records[:min(len(records), max(limit, 1))]
	batch.Records = slices.Clone(records)
	batch.Next = from + platformlog.Offset(len(records))
	return batch, at.appended, nil
}

var _ platformlog.Log = (*Store)(nil)
