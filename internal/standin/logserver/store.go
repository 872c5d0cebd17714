// Package logserver stands in for the platform's append-only log in tests and on
// a developer's machine. Store holds the log in memory. It implements
// platformlog.Log without a socket, so it also runs under testing/synctest.
// Handler serves a Store over HTTP.
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

// MaxRecordBytes bounds the data of one record.
const MaxRecordBytes = 1 << 20

var errTooManyAppends = errs.New("too many appends a second")

// Config configures a Store. The zero value keeps all records and does not limit
// the append rate.
type Config struct {
	// MaxAge and MaxRecords bound the records that each stream keeps; 0 is unbounded.
	MaxAge     time.Duration
	MaxRecords int
	// AppendsPerSecond and Burst limit the appends over all streams. An
	// AppendsPerSecond of 0 is unlimited; a Burst below 1 counts as 1.
	AppendsPerSecond float64
	Burst            int
	// Seed makes the random choice of lost answers repeatable.
	Seed uint64
}

// Store holds the log in memory. It is safe for concurrent use.
type Store struct {
	config  Config
	faults  *faults.Injector
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	views   map[string]*View
}

// stream holds the retained records of one stream; Store.mu guards it.
type stream struct {
	records []platformlog.Record
	end     platformlog.Offset
	// lastTime is the time of the newest record; no later record has an earlier
	// time.
	lastTime time.Time
	// appended is closed at the next append to wake waiting readers.
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

// Faults returns the fault switches that affect all clients.
func (s *Store) Faults() *faults.Injector { return s.faults }

// View returns the named client's view of the log. It has its own fault switches,
// so that a test can disconnect a single client. The same name returns the same
// View.
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

// Append implements platformlog.Log for the client with the empty name.
func (s *Store) Append(ctx context.Context, stream string, data []byte) (platformlog.Offset, error) {
	return s.View("").Append(ctx, stream, data)
}

// Read implements platformlog.Log for the client with the empty name.
func (s *Store) Read(ctx context.Context, stream string, from platformlog.Offset, max int, wait time.Duration) (platformlog.Batch, error) {
	return s.View("").Read(ctx, stream, from, max, wait)
}

// appendRecord stores a record at the end of the named stream.
func (s *Store) appendRecord(name string, data []byte) platformlog.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := s.getOrCreateStream(name)
	// HTTP carries whole milliseconds. Truncating here lets all readers see the
	// same time.
	now := time.UnixMilli(time.Now().UnixMilli())
	if now.Before(target.lastTime) {
		now = target.lastTime
	}
	target.lastTime = now
	target.end++
	target.records = append(target.records, platformlog.Record{Offset: target.end, Time: now, Data: data})
	s.trim(target, now)
	close(target.appended)
	target.appended = make(chan struct{})
	return target.end
}

// getOrCreateStream returns the named stream and creates it at first use. The
// caller holds mu.
func (s *Store) getOrCreateStream(name string) *stream {
	found := s.streams[name]
	if found == nil {
		found = &stream{appended: make(chan struct{})}
		s.streams[name] = found
	}
	return found
}

// trim drops the records that exceed MaxRecords or MaxAge. The caller holds mu.
func (s *Store) trim(target *stream, now time.Time) {
	drop := 0
	if s.config.MaxRecords > 0 {
		drop = max(0, len(target.records)-s.config.MaxRecords)
	}
	if s.config.MaxAge > 0 {
		for drop < len(target.records) && now.Sub(target.records[drop].Time) > s.config.MaxAge {
			drop++
		}
	}
	target.records = target.records[drop:]
}

// readAvailable returns the available records without waiting. The channel is closed
// at the stream's next append.
func (s *Store) readAvailable(name string, from platformlog.Offset, limit int) (platformlog.Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from = max(from, 1)
	target := s.getOrCreateStream(name)
	s.trim(target, time.Now())
	earliest := target.end + 1 - platformlog.Offset(len(target.records))
	batch := platformlog.Batch{Next: from, Earliest: earliest, End: target.end}
	if from < earliest {
		return batch, target.appended, platformlog.Error.Wrap(platformlog.ErrTrimmed)
	}
	if from > target.end {
		return batch, target.appended, nil
	}
	records := target.records[from-earliest:]
	records = records[:min(len(records), max(limit, 1))]
	batch.Records = slices.Clone(records)
	batch.Next = from + platformlog.Offset(len(records))
	return batch, target.appended, nil
}

var _ platformlog.Log = (*Store)(nil)
