// Package weightserver stands in for the platform's store of checkpoints. Store
// is the store in memory: it moves no bytes, but each fetch takes as long as the
// real one would. Handler serves a Store over HTTP.
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

// Config is what a Store is made with.
type Config struct {
	// Checkpoints are the sizes in bytes by name.
	Checkpoints map[string]int64
	// DefaultBytes is the size of every checkpoint that is not named; 0 means
	// that others don't exist.
	DefaultBytes int64
	// BytesPerSecond is the full speed of one fetch; 0 makes fetches immediate.
	BytesPerSecond float64
	// AtOnce is how many fetches run at full speed together; more of them share
	// the same total. 0 is unlimited.
	AtOnce int
	// LoadsPerSecond limits the starts of fetches, one at a time; 0 is unlimited.
	LoadsPerSecond float64
}

// Store is the store in memory. It is safe for concurrent use.
type Store struct {
	config  Config
	faults  *faults.Injector
	limiter *rate.Limiter

	mu      sync.Mutex
	waiting int
	running map[*transfer]struct{}
	// advanced is the time up to which the transfers' progress is counted.
	advanced time.Time
	// rate is the speed of each transfer since then, in bytes a second.
	rate float64
	// changed is closed when the number of transfers changes.
	changed chan struct{}
}

// transfer is one running fetch; Store.mu guards it.
type transfer struct {
	// left is in bytes; a float, as it is counted in parts of seconds.
	left float64
}

// doneBytes is what counts as nothing left: timers have whole nanoseconds.
const doneBytes = 16

// New returns an idle store.
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

// Faults are the store's switches.
func (s *Store) Faults() *faults.Injector { return s.faults }

// Checkpoint implements weightstore.Store.
func (s *Store) Checkpoint(ctx context.Context, name string) (weightstore.Checkpoint, error) {
	if err := s.faults.BeginCall(ctx); err != nil {
		return weightstore.Checkpoint{}, unavailable(err)
	}
	return s.checkpoint(name)
}

func (s *Store) checkpoint(name string) (weightstore.Checkpoint, error) {
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
		return weightstore.Status{}, unavailable(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return weightstore.Status{
		LoadsPerSecond: s.config.LoadsPerSecond,
		AtOnce:         s.config.AtOnce,
		Running:        len(s.running),
		Waiting:        s.waiting,
	}, nil
}

// Fetch takes as long as fetching the checkpoint would. It fails with
// weightstore.ErrNotFound or weightstore.ErrUnavailable.
func (s *Store) Fetch(ctx context.Context, name string) error {
	if err := s.faults.BeginCall(ctx); err != nil {
		return unavailable(err)
	}
	checkpoint, err := s.checkpoint(name)
	if err != nil {
		return err
	}
	if err := s.waitForStart(ctx); err != nil {
		return unavailable(err)
	}
	if s.config.BytesPerSecond <= 0 {
		return nil
	}
	return s.transfer(ctx, float64(checkpoint.Bytes))
}

// waitForStart waits for the rate limit on starts.
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

// transfer runs one fetch to its end.
func (s *Store) transfer(ctx context.Context, bytes float64) error {
	mine := &transfer{left: bytes}
	s.alter(func() { s.running[mine] = struct{}{} })
	defer s.alter(func() { delete(s.running, mine) })
	for {
		faultsChanged := s.faults.Changed()
		if s.faults.Get().Outage {
			return unavailable(faults.ErrOutage)
		}
		left, changed := s.timeLeft(mine)
		if left <= 0 {
			return nil
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-changed:
		case <-faultsChanged:
		case <-ctx.Done():
			timer.Stop()
			return unavailable(ctx.Err())
		}
		timer.Stop()
	}
}

// alter counts the progress so far, changes the set of transfers and wakes them.
func (s *Store) alter(edit func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	edit()
	s.rate = s.presentRate()
	close(s.changed)
	s.changed = make(chan struct{})
}

// timeLeft says how long a transfer takes from now on if nothing changes; the
// channel is closed when the number of transfers does.
func (s *Store) timeLeft(mine *transfer) (time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.rate = s.presentRate()
	if mine.left <= doneBytes {
		return 0, s.changed
	}
	seconds := mine.left / s.rate
	return time.Duration(seconds*float64(time.Second)) + 1, s.changed
}

// advance counts the progress of all transfers up to now; the caller holds mu.
func (s *Store) advance() {
	now := time.Now()
	moved := now.Sub(s.advanced).Seconds() * s.rate
	s.advanced = now
	for running := range s.running {
		running.left -= moved
	}
}

// presentRate is the speed of each transfer now; the caller holds mu.
func (s *Store) presentRate() float64 {
	speed := s.config.BytesPerSecond
	if s.config.AtOnce > 0 && len(s.running) > s.config.AtOnce {
		speed *= float64(s.config.AtOnce) / float64(len(s.running))
	}
	if factor := s.faults.Get().SlowFactor; factor > 1 {
		speed /= factor
	}
	return speed
}

func unavailable(cause error) error {
	return weightstore.Error.Wrap(fmt.Errorf("%w: %w", weightstore.ErrUnavailable, cause))
}

var _ weightstore.Store = (*Store)(nil)
