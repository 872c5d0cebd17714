// Package engineserver simulates a model engine for tests and trials. The engine
// batches requests continuously, keeps a prefix cache, loads and unloads units
// within its memory, checks fencing tokens if so configured, and injects the
// faults that the system must tolerate. It reads time only through package time,
// so it also runs inside a testing/synctest bubble.
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

// Fetcher downloads checkpoints from the weight store.
type Fetcher interface {
	// Fetch returns once the whole checkpoint is downloaded.
	Fetch(ctx context.Context, checkpoint string) error
}

// Options configure one engine. Zero fields get the defaults of withDefaults,
// except TokenTime, TokenTimePerRequest and PrefillTimePerToken, where 0 means
// that the work takes no time.
type Options struct {
	// Name is the prefix of the incarnation's name.
	Name string
	// MemoryBytes bounds the memory of all units together.
	MemoryBytes int64
	// Slots is the number of requests that can run at the same time.
	Slots int
	// MaxQueued bounds the requests that wait for a slot.
	MaxQueued int
	Role      engine.Role
	// ChecksTokens makes the engine refuse orders with a fencing token below
	// the highest it has seen, and keep that token over restarts.
	ChecksTokens bool
	// TokenTime is the duration of a decoding step of a batch of one; each
	// further request in the batch adds TokenTimePerRequest.
	TokenTime           time.Duration
	TokenTimePerRequest time.Duration
	// PrefillTimePerToken is the prefill time of one uncached prompt token.
	PrefillTimePerToken time.Duration
	// MemoryBytesPerSecond and DiskBytesPerSecond are the rates at which a
	// checkpoint loads from the memory tier and from the disk tier.
	MemoryBytesPerSecond float64
	DiskBytesPerSecond   float64
	// MaxMemoryTierCheckpoints bounds the unloaded checkpoints in the memory
	// tier.
	MaxMemoryTierCheckpoints int
	// Fetcher downloads checkpoints that are in no local tier; with nil the
	// download takes no time.
	Fetcher Fetcher
	// LoadReportDelay is the minimum age of the load that Status reports.
	LoadReportDelay time.Duration
	// MaxCachedPrefixes bounds the number of prefixes in the prefix cache.
	MaxCachedPrefixes int
	// CacheEventDelay is the time until a cache event becomes visible. Every
	// LoseEveryNthCacheEvent-th event is lost; 0 loses none.
	CacheEventDelay        time.Duration
	LoseEveryNthCacheEvent uint64
	// HashPrefixes hashes the prefixes of a prompt, shortest first, as the
	// routers do; the default is HashPromptPrefixes.
	HashPrefixes func(unit string, body []byte) []uint64
	// StreamTTL is how long a stream can be resumed after its end.
	StreamTTL time.Duration
	// RestartDelay is how long the engine is down after a crash by
	// Faults.CrashWhileLoading.
	RestartDelay time.Duration
}

// The defaults of Options, and the format of incarnation names.
const (
	defaultMemoryBytes              = 80 << 30
	defaultSlots                    = 16
	defaultMaxQueued                = 64
	defaultMemoryRate               = 20 << 30
	defaultDiskRate                 = 4 << 30
	defaultMaxMemoryTierCheckpoints = 2
	defaultLoadReportDelay          = 200 * time.Millisecond
	defaultMaxCachedPrefixes        = 4096
	defaultCacheEventDelay          = 500 * time.Millisecond
	defaultStreamTTL                = 30 * time.Second
	defaultRestartDelay             = 5 * time.Second
	incarnationFormat               = "%s-%d"
)

func (o Options) withDefaults() Options {
	setDefault(&o.Name, "engine")
	setDefault(&o.MemoryBytes, defaultMemoryBytes)
	setDefault(&o.Slots, defaultSlots)
	setDefault(&o.MaxQueued, defaultMaxQueued)
	setDefault(&o.Role, engine.RoleBoth)
	setDefault(&o.MemoryBytesPerSecond, defaultMemoryRate)
	setDefault(&o.DiskBytesPerSecond, defaultDiskRate)
	setDefault(&o.MaxMemoryTierCheckpoints, defaultMaxMemoryTierCheckpoints)
	setDefault(&o.LoadReportDelay, defaultLoadReportDelay)
	setDefault(&o.MaxCachedPrefixes, defaultMaxCachedPrefixes)
	setDefault(&o.CacheEventDelay, defaultCacheEventDelay)
	setDefault(&o.StreamTTL, defaultStreamTTL)
	setDefault(&o.RestartDelay, defaultRestartDelay)
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

// errDown is returned for calls while the engine's process is not running. A
// network client would have its connection refused.
var errDown = errors.New("engine is down")

// errAnswerLost is returned for a call that took effect but whose answer a fault
// discards.
var errAnswerLost = errors.New("answer lost")

// Engine is the simulated engine, without a network. It is safe for concurrent
// use.
type Engine struct {
	options Options
	// ctx is cancelled by Close, processCtx also by each crash.
	ctx    context.Context
	cancel context.CancelFunc
	// startMu ensures that no goroutine starts once Close has begun to wait for
	// them.
	startMu sync.Mutex
	tasks   sync.WaitGroup

	mu            sync.Mutex
	processCtx    context.Context
	cancelProcess context.CancelFunc
	// workReady signals to runSteps of the current process that requests are
	// queued.
	workReady    chan struct{}
	up           bool
	startCount   int
	role         engine.Role
	draining     bool
	highestToken engine.Token
	units        map[string]*unit
	loadErrors   map[string]string
	diskTier     map[string]bool
	memoryTier   []string
	streams      map[string]*stream
	queue        []*stream
	running      []*stream
	loadReports  []engine.Load
	cache        prefixCache
	faults       Faults
	thawed       chan struct{}
	records      Records
}

// New returns a running engine; the caller must call Close.
func New(options Options) *Engine {
	e := &Engine{
		options:  options.withDefaults(),
		diskTier: map[string]bool{},
		thawed:   make(chan struct{}),
		records:  newRecords(),
	}
	e.role = e.options.Role
	e.ctx, e.cancel = context.WithCancel(context.Background())
	close(e.thawed)
	e.Start()
	return e
}

// Start starts the engine's process after Crash, without units or streams and
// with a new incarnation. The highest fencing token survives only if the engine
// checks tokens; the disk tier and the role always do.
func (e *Engine) Start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.up || e.ctx.Err() != nil {
		return
	}
	e.up = true
	e.startCount++
	e.processCtx, e.cancelProcess = context.WithCancel(e.ctx)
	workReady := make(chan struct{}, 1)
	e.workReady = workReady
	e.units = map[string]*unit{}
	e.loadErrors = map[string]string{}
	e.memoryTier = nil
	e.streams = map[string]*stream{}
	e.queue = nil
	e.running = nil
	e.loadReports = nil
	e.draining = false
	e.cache = newPrefixCache(e.options)
	if !e.options.ChecksTokens {
		e.highestToken = 0
	}
	e.startTask(e.processCtx, func(ctx context.Context) { e.runSteps(ctx, workReady) })
}

// Crash ends the engine's process immediately: it aborts all streams and drops
// all units.
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
	e.cancelProcess()
	for _, s := range e.streams {
		s.abort()
	}
	e.units = map[string]*unit{}
}

// Restart calls Crash and Start.
func (e *Engine) Restart() {
	e.Crash()
	e.Start()
}

// Close stops the engine for good and waits for its goroutines.
func (e *Engine) Close() {
	e.Crash()
	e.startMu.Lock()
	e.cancel()
	e.startMu.Unlock()
	e.tasks.Wait()
}

// SetDraining sets whether the engine refuses new requests.
func (e *Engine) SetDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

// startTask runs task in a goroutine that Close waits for. After Close it starts
// nothing and returns false.
func (e *Engine) startTask(ctx context.Context, task func(context.Context)) bool {
	e.startMu.Lock()
	defer e.startMu.Unlock()
	if e.ctx.Err() != nil {
		return false
	}
	e.tasks.Go(func() { task(ctx) })
	return true
}

// Status returns the engine's report of itself.
func (e *Engine) Status(ctx context.Context) (engine.Status, error) {
	if err := e.waitUntilRunning(ctx); err != nil {
		return engine.Status{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status(), nil
}

func (e *Engine) status() engine.Status {
	return engine.Status{
		Incarnation:  fmt.Sprintf(incarnationFormat, e.options.Name, e.startCount),
		Role:         e.role,
		MemoryBytes:  e.options.MemoryBytes,
		ChecksTokens: e.options.ChecksTokens,
		HighestToken: e.highestToken,
		Units:        e.listUnits(),
		Failed:       cloneMap(e.loadErrors),
		Cached:       e.listCached(),
		Load:         e.delayedLoad(time.Now()),
		Slots:        e.options.Slots,
		Draining:     e.draining,
	}
}

// waitUntilRunning waits while the engine is frozen and returns errDown while its
// process is not running.
func (e *Engine) waitUntilRunning(ctx context.Context) error {
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
	case <-e.ctx.Done():
		return errDown
	}
}

// deliver runs effect like a message in transit: after the delay and once the
// engine is not frozen, even if the caller has stopped waiting by then.
func deliver[T any](ctx context.Context, e *Engine, delay time.Duration, effect func() (T, error)) (T, error) {
	type outcome struct {
		value T
		err   error
	}
	results := make(chan outcome, 1)
	started := e.startTask(e.ctx, func(engineCtx context.Context) {
		var result outcome
		if !pause.For(engineCtx, delay) {
			result.err = errDown
		} else if result.err = e.waitUntilRunning(engineCtx); result.err == nil {
			result.value, result.err = effect()
		}
		results <- result
	})
	if !started {
		var zero T
		return zero, errDown
	}
	select {
	case result := <-results:
		return result.value, result.err
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
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
