// Package weightserver stands in for the platform's store of checkpoints. Store
// transfers no bytes, but each fetch takes as long as the real one would. Handler
// serves a Store over HTTP.
package weightserver

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"bergamotreel/internal/standin/faults"
	"bergamotreel/weightstore"

	"golang.org/x/time/rate"
)

// Config configures a Store.
type Config struct {
	// Checkpoints maps the names of checkpoints to their sizes in bytes.
	Checkpoints map[string]int64
	// DefaultBytes is the size of every checkpoint that is not in Checkpoints; 0
	// means that no others exist.
	DefaultBytes int64
	// BytesPerSecond is the full speed of one fetch; 0 makes fetches immediate.
	BytesPerSecond float64
	// MaxConcurrentLoads is the number of concurrent fetches that run at full speed;
	// more fetches share the same total bandwidth. 0 is unlimited.
	MaxConcurrentLoads int
	// LoadsPerSecond limits how many fetches start per second, without bursts; 0 is
	// unlimited.
	LoadsPerSecond float64
}

// Store simulates the weight store in memory. It is safe for concurrent use.
type Store struct {
	config  Config
	faults  *faults.Injector
	limiter *rate.Limiter

	mu sync.Mutex
	// waiting counts the fetches that wait for the rate limit.
	waiting int
	running map[*transfer]struct{}
	// progressAt is the time up to which the progress of the transfers is counted.
	progressAt time.Time
	// transferRate is the speed of each transfer since progressAt, in bytes per
	// second.
	transferRate float64
	// changed is closed when the number of transfers changes.
	changed chan struct{}
}

// transfer holds the progress of one running fetch; Store.mu guards it.
type transfer struct {
	// remainingBytes is a float because progress is counted in fractions of seconds.
	remainingBytes float64
}

// completionTolerance is the number of remaining bytes up to which a transfer counts
// as complete, because timers have a resolution of whole nanoseconds.
const completionTolerance = 16

// New returns a store without running fetches.
func New(config Config) *Store {
	limit := rate.Inf
	if config.LoadsPerSecond > 0 {
		limit = rate.Limit(config.LoadsPerSecond)
	}
	config.Checkpoints = maps.Clone(config.Checkpoints)
	return &Store{
		config:  config,
		faults:  faults.NewInjector(0),
		limiter: rate.NewLimiter(limit, 1),
		running: map[*transfer]struct{}{},
		changed: make(chan struct{}),
	}
}

// Faults returns the fault switches of the store.
func (s *Store) Faults() *faults.Injector { return s.faults }

// Checkpoint implements weightstore.Store.
func (s *Store) Checkpoint(ctx context.Context, name string) (weightstore.Checkpoint, error) {
	if err := s.faults.BeginCall(ctx); err != nil {
		return weightstore.Checkpoint{}, wrapUnavailable(err)
	}
	return s.lookupCheckpoint(name)
}

// lookupCheckpoint returns the named checkpoint or weightstore.ErrNotFound.
func (s *Store) lookupCheckpoint(name string) (weightstore.Checkpoint, error) {
	bytes, found := s.config.Checkpoints[name]
	if !found {
		bytes = s.config.DefaultBytes
	}
	if bytes <= 0 {
		return weightstore.Checkpoint{}, weightstore.Error.Wrap(fmt.Errorf("%w: %s", weightstore.ErrNotFound, name))
	}
	return weightstore.Checkpoint{Name: name, Bytes: bytes}, nil
}

// Status implements weightstore.Store.
func (s *Store) Status(ctx context.Context) (weightstore.Status, error) {
	if err := s.faults.BeginCall(ctx); err != nil {
		return weightstore.Status{}, wrapUnavailable(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return weightstore.Status{
		LoadsPerSecond:     s.config.LoadsPerSecond,
		MaxConcurrentLoads: s.config.MaxConcurrentLoads,
		Running:            len(s.running),
		Waiting:            s.waiting,
	}, nil
}

// Fetch takes as long as fetching the checkpoint would. It fails with
// weightstore.ErrNotFound or weightstore.ErrUnavailable.
func (s *Store) Fetch(ctx context.Context, name string) error {
	if err := s.faults.BeginCall(ctx); err != nil {
		return wrapUnavailable(err)
	}
	checkpoint, err := s.lookupCheckpoint(name)
	if err != nil {
		return err
	}
	if err := s.waitForStart(ctx); err != nil {
		return wrapUnavailable(err)
	}
	if s.config.BytesPerSecond <= 0 {
		return nil
	}
	return s.runTransfer(ctx, float64(checkpoint.Bytes))
}

// waitForStart waits until the rate limit lets the next fetch start.
func (s *Store) waitForStart(ctx context.Context) error {
	s.addWaiting(1)
	defer s.addWaiting(-1)
	return s.limiter.Wait(ctx)
}

func (s *Store) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += n
}

// runTransfer waits until a transfer of the given size is complete.
func (s *Store) runTransfer(ctx context.Context, bytes float64) error {
	current := &transfer{remainingBytes: bytes}
	s.updateTransfers(func() { s.running[current] = struct{}{} })
	defer s.updateTransfers(func() { delete(s.running, current) })
	for {
		faultsChanged := s.faults.Changed()
		if s.faults.Get().Outage {
			return wrapUnavailable(faults.ErrOutage)
		}
		remaining, changed := s.remainingTime(current)
		if remaining <= 0 {
			return nil
		}
		timer := time.NewTimer(remaining)
		select {
		case <-timer.C:
		case <-changed:
		case <-faultsChanged:
		case <-ctx.Done():
			timer.Stop()
			return wrapUnavailable(ctx.Err())
		}
		timer.Stop()
	}
}

// updateTransfers counts the progress so far, changes the set of transfers and wakes
// all of them to compute their remaining time again.
func (s *Store) updateTransfers(update func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceTransfers()
	update()
	s.transferRate = s.currentRate()
	close(s.changed)
	s.changed = make(chan struct{})
}

// remainingTime returns how long a transfer still takes if its rate does not change.
// The channel is closed when the number of transfers changes.
func (s *Store) remainingTime(current *transfer) (time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceTransfers()
	s.transferRate = s.currentRate()
	if current.remainingBytes <= completionTolerance {
		return 0, s.changed
	}
	seconds := current.remainingBytes / s.transferRate
	return time.Duration(seconds*float64(time.Second)) + 1, s.changed
}

// advanceTransfers counts the progress of all transfers up to now. The caller holds
// mu.
func (s *Store) advanceTransfers() {
	now := time.Now()
	transferred := now.Sub(s.progressAt).Seconds() * s.transferRate
	s.progressAt = now
	for t := range s.running {
		t.remainingBytes -= transferred
	}
}

// currentRate returns the current speed of each transfer in bytes per second. The
// caller holds mu.
func (s *Store) currentRate() float64 {
	bytesPerSecond := s.config.BytesPerSecond
	if s.config.MaxConcurrentLoads > 0 && len(s.running) > s.config.MaxConcurrentLoads {
		bytesPerSecond *= float64(s.config.MaxConcurrentLoads) / float64(len(s.running))
	}
	if factor := s.faults.Get().SlowFactor; factor > 1 {
		bytesPerSecond /= factor
	}
	return bytesPerSecond
}

func wrapUnavailable(cause error) error {
	return weightstore.Error.Wrap(fmt.Errorf("%w: %w", weightstore.ErrUnavailable, cause))
}

var _ weightstore.Store = (*Store)(nil)
