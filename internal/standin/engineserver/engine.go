// Package engineserver is a small stand-in of a model engine for tests and
// trials: it batches requests continuously, keeps a prefix cache, loads and
// unloads units within its memory, checks fencing tokens if told to, and has
// switches for the faults that the system must stand. Its clock is package
// time, so it also runs inside a testing/synctest bubble.
package engineserver

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"bergamotreel/engine"
	"bergamotreel/internal/pause"
)

// Fetcher brings a checkpoint from the weight store.
type Fetcher interface {
	// Fetch returns once the whole checkpoint has arrived.
	Fetch(ctx context.Context, checkpoint string) error
}

// Options describe one engine. Zero fields get the defaults of withDefaults,
// but for the times a token, which stay 0 (no time).
type Options struct {
	// Name starts the incarnation's name.
	Name string
	// MemoryBytes bounds all units.
	MemoryBytes int64
	// Slots is how many requests run at once.
	Slots int
	// QueueLimit bounds the requests that wait for a slot.
	MaxQueued    int
	Role         engine.Role
	ChecksTokens bool
	// TokenTime is one decoding step of a batch of one; each further request in
	// the batch adds TokenTimePerRequest.
	TokenTime           time.Duration
	TokenTimePerRequest time.Duration
	// PrefillTime is the time for one prompt token that is not cached.
	PrefillTimePerToken time.Duration
	// MemoryBytesPerSecond and DiskBytesPerSecond are how fast a checkpoint
	// comes out of its cached tier.
	MemoryBytesPerSecond float64
	DiskBytesPerSecond   float64
	// MemoryTierUnits is how many unloaded checkpoints stay in the memory tier.
	MaxMemoryTierCheckpoints int
	// Fetcher brings checkpoints that are in no tier; nil brings them at once.
	Fetcher Fetcher
	// LoadLag is how old the load report is.
	LoadReportDelay time.Duration
	// CachePrefixes bounds the prefix cache, in prefixes.
	MaxCachedPrefixes int
	// CacheLag is how late cache events show; each CacheGap-th is lost (0: none).
	CacheEventDelay        time.Duration
	LoseEveryNthCacheEvent uint64
	// Prefixes hashes the prefixes of a prompt, shortest first, as the routers
	// do; nil takes PromptPrefixes.
	HashPrefixes func(unit string, body []byte) []uint64
	// Keep is how long a stream can be resumed after its end.
	StreamTTL time.Duration
	// RestartAfter is how long the engine is down after a crash by a fault.
	RestartDelay time.Duration
}

// The defaults of Options.
const (
	defaultMemoryBytes    = 80 << 30
	defaultSlots          = 16
	defaultQueueLimit     = 64
	defaultMemoryRate     = 20 << 30
	defaultDiskRate       = 4 << 30
	defaultMemoryTier     = 2
	defaultLoadLag        = 200 * time.Millisecond
	defaultCachePrefixes  = 4096
	defaultCacheLag       = 500 * time.Millisecond
	defaultKeep           = 30 * time.Second
	defaultRestartAfter   = 5 * time.Second
	defaultIncarnationFmt = "%s-%d"
)

func (o Options) withDefaults() Options {
	setDefault(&o.Name, "engine")
	setDefault(&o.MemoryBytes, defaultMemoryBytes)
	setDefault(&o.Slots, defaultSlots)
	setDefault(&o.MaxQueued, defaultQueueLimit)
	setDefault(&o.Role, engine.RoleBoth)
	setDefault(&o.MemoryBytesPerSecond, defaultMemoryRate)
	setDefault(&o.DiskBytesPerSecond, defaultDiskRate)
	setDefault(&o.MaxMemoryTierCheckpoints, defaultMemoryTier)
	setDefault(&o.LoadReportDelay, defaultLoadLag)
	setDefault(&o.MaxCachedPrefixes, defaultCachePrefixes)
	setDefault(&o.CacheEventDelay, defaultCacheLag)
	setDefault(&o.StreamTTL, defaultKeep)
	setDefault(&o.RestartDelay, defaultRestartAfter)
	if o.HashPrefixes == nil {
		o.HashPrefixes = HashPromptPrefixes
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// errDown is what a call meets while the engine's process is not running; the
// caller's connection is refused.
var errDown = errors.New("engine is down")

// errLost is what a call meets whose answer is lost after its effect.
var errLost = errors.New("answer lost")

// Engine is the stand-in's core. It is safe for concurrent use.
type Engine struct {
	options Options
	// closed ends with Close; process with each crash.
	closed context.Context
	close  context.CancelFunc
	// closing guards the start of goroutines against Close.
	closing sync.Mutex
	wait    sync.WaitGroup

	mu      sync.Mutex
	process context.Context
	kill    context.CancelFunc
	// wake tells this process's batch duty that there is work.
	wake     chan struct{}
	up       bool
	starts   int
	role     engine.Role
	draining bool
	highest  engine.Token
	units    map[string]*unit
	failed   map[string]string
	disk     map[string]bool
	memory   []string
	streams  map[string]*stream
	queue    []*stream
	running  []*stream
	reports  []engine.Load
	cache    prefixCache
	faults   Faults
	thawed   chan struct{}
	records  Records
}

// New starts an engine; Close ends it.
func New(options Options) *Engine {
	e := &Engine{
		options: options.withDefaults(),
		disk:    map[string]bool{},
		thawed:  make(chan struct{}),
		records: newRecords(),
	}
	e.role = e.options.Role
	e.closed, e.close = context.WithCancel(context.Background())
	close(e.thawed)
	e.Start()
	return e
}

// Start starts the engine's process after Crash, empty and with a new
// incarnation. An engine that checks tokens has kept the highest one.
func (e *Engine) Start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.up || e.closed.Err() != nil {
		return
	}
	e.up = true
	e.starts++
	e.process, e.kill = context.WithCancel(e.closed)
	wake := make(chan struct{}, 1)
	e.wake = wake
	e.units = map[string]*unit{}
	e.failed = map[string]string{}
	e.memory = nil
	e.streams = map[string]*stream{}
	e.queue = nil
	e.running = nil
	e.reports = nil
	e.draining = false
	e.cache = newPrefixCache(e.options)
	if !e.options.ChecksTokens {
		e.highest = 0
	}
	e.start(e.process, func(ctx context.Context) { e.batch(ctx, wake) })
}

// Crash ends the engine's process at once: streams break, units are gone.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	if !e.up {
		return
	}
	e.up = false
	e.kill()
	for _, s := range e.streams {
		s.breakOff()
	}
	e.units = map[string]*unit{}
}

// Restart is Crash and Start.
func (e *Engine) Restart() {
	e.Crash()
	e.Start()
}

// Close ends the engine and waits for its goroutines.
func (e *Engine) Close() {
	e.Crash()
	e.closing.Lock()
	e.close()
	e.closing.Unlock()
	e.wait.Wait()
}

// SetDraining tells the engine to take no new request, or to take them again.
func (e *Engine) SetDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

// start runs duty in a goroutine that Close waits for; it refuses after Close.
func (e *Engine) start(ctx context.Context, duty func(context.Context)) bool {
	e.closing.Lock()
	defer e.closing.Unlock()
	if e.closed.Err() != nil {
		return false
	}
	e.wait.Go(func() { duty(ctx) })
	return true
}

// Status is the engine's own report.
func (e *Engine) Status(ctx context.Context) (engine.Status, error) {
	if err := e.enter(ctx); err != nil {
		return engine.Status{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status(), nil
}

func (e *Engine) status() engine.Status {
	return engine.Status{
		Incarnation:  fmt.Sprintf(defaultIncarnationFmt, e.options.Name, e.starts),
		Role:         e.role,
		MemoryBytes:  e.options.MemoryBytes,
		ChecksTokens: e.options.ChecksTokens,
		HighestToken: e.highest,
		Units:        e.listUnits(),
		Failed:       cloneMap(e.failed),
		Cached:       e.listCached(),
		Load:         e.laggingLoad(time.Now()),
		Slots:        e.options.Slots,
		Draining:     e.draining,
	}
}

// enter waits while the engine is frozen and fails while it is down.
func (e *Engine) enter(ctx context.Context) error {
	e.mu.Lock()
	thawed, up := e.thawed, e.up
	e.mu.Unlock()
	if !up {
		return errDown
	}
	select {
	case <-thawed:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	case <-e.closed.Done():
		return errDown
	}
}

// deliver runs effect as a message that is on its way: it takes effect after
// the delay and any freeze, also when the caller has stopped waiting by then.
func deliver[T any](ctx context.Context, e *Engine, delay time.Duration, effect func() (T, error)) (T, error) {
	type outcome struct {
		value T
		err   error
	}
	arrived := make(chan outcome, 1)
	started := e.start(e.closed, func(life context.Context) {
		var result outcome
		if !pause.For(life, delay) {
			result.err = errDown
		} else if result.err = e.enter(life); result.err == nil {
			result.value, result.err = effect()
		}
		arrived <- result
	})
	if !started {
		var none T
		return none, errDown
	}
	select {
	case result := <-arrived:
		return result.value, result.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if len(m) == 0 {
		return nil
	}
	clone := make(map[K]V, len(m))
	for k, v := range m {
		clone[k] = v
	}
	return clone
}
