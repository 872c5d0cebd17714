// Package fleet keeps an entry VM's picture of the other VMs: the platform's VM
// list, which lags, and what the engines say of themselves when asked.
package fleet

import (
	"context"
	"reflect"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/engine"
	"bergamotreel/internal/pause"
	"bergamotreel/vmlist"
)

// Engine is what is known of one engine. Its pool of copies is shared: readers
// must not change the Status.
type Engine struct {
	VM     vmlist.VM
	Status engine.Status
	// SeenAt is when the newest status arrived, zero before the first.
	SeenAt time.Time
	// Reachable is whether the newest question was answered.
	Reachable bool
}

// Leaving tells whether the engine should get new work. Its own word counts
// beside the VM list, because the list trails by seconds.
func (e Engine) Leaving() bool { return e.VM.Leaving || e.Status.Draining }

// Holds tells whether the unit is ready on the engine.
func (e Engine) Holds(unit string) bool {
	for _, u := range e.Status.Units {
		if u.Unit == unit {
			return u.Phase == engine.PhaseReady
		}
	}
	return false
}

// Config is what a Fleet needs.
type Config struct {
	Lister vmlist.Lister
	Engine engine.Client
	Log    *zap.Logger
	// ListEvery is the pause between two reads of the VM list; default 1 s.
	ListEvery time.Duration
	// IdleEvery is the pause between two questions to an engine that nobody
	// here waits for; default 2 s.
	IdleEvery time.Duration
	// BusyEvery is the pause for an engine of Interest; default 200 ms.
	BusyEvery time.Duration
	// Timeout bounds one question; default 1 s.
	Timeout time.Duration
	// Gone is called for an engine that left the VM list or restarted: what was
	// learned of it counts no more. May be nil.
	Gone func(address string)
}

// Fleet polls and remembers. Its methods may be called from any goroutine.
type Fleet struct {
	config Config

	mu       sync.Mutex
	list     vmlist.List
	listedAt time.Time
	engines  map[string]*entry
	changed  func(news bool)
	onList   func(time.Time, vmlist.List)
}

// entry is one engine with its polling state.
type entry struct {
	Engine
	next      time.Time
	asking    bool
	busyUntil time.Time
}

const (
	defaultListEvery = time.Second
	defaultIdleEvery = 2 * time.Second
	defaultBusyEvery = 200 * time.Millisecond
	defaultTimeout   = time.Second
	// tick is how often due questions are looked for.
	tick = 50 * time.Millisecond
	// interestFor is how long one call of Interest keeps an engine polled often.
	interestFor = 3 * time.Second
	// askers bounds the questions under way at once. It is above the number of
	// engines that a deployment has: questions to engines that are cut off last
	// until Timeout, and must not hold up those to the others.
	askers = 1024
)

// New makes a fleet. changed is called after each answer of an engine or of the VM
// list, and told whether it says anything new beside the load; onList after each
// read of the VM list. Both may be nil.
func New(config Config, changed func(news bool), onList func(time.Time, vmlist.List)) *Fleet {
	setDefault(&config.ListEvery, defaultListEvery)
	setDefault(&config.IdleEvery, defaultIdleEvery)
	setDefault(&config.BusyEvery, defaultBusyEvery)
	setDefault(&config.Timeout, defaultTimeout)
	if changed == nil {
		changed = func(bool) {}
	}
	if onList == nil {
		onList = func(time.Time, vmlist.List) {}
	}
	if config.Gone == nil {
		config.Gone = func(string) {}
	}
	return &Fleet{config: config, engines: make(map[string]*entry), changed: changed, onList: onList}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Run polls until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { f.pollList(ctx) })
	slots := make(chan struct{}, askers)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		for _, address := range f.due(time.Now()) {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			group.Go(func() {
				defer func() { <-slots }()
				f.ask(ctx, address)
			})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (f *Fleet) pollList(ctx context.Context) {
	pause.Every(ctx, f.config.ListEvery, f.readList)
}

// readList takes a new VM list. With the platform out of reach the old one
// stays: backend servers that still answer go on being used.
func (f *Fleet) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timeout)
	defer cancel()
	list, err := f.config.Lister.List(ctx)
	if err != nil {
		f.config.Log.Debug("VM list not read", zap.Error(err))
		return
	}
	now := time.Now()
	f.mu.Lock()
	news := f.list.Version != list.Version || f.listedAt.IsZero()
	f.list = list
	f.listedAt = now
	gone := f.take(list)
	f.mu.Unlock()
	for _, address := range gone {
		f.config.Gone(address)
	}
	f.onList(now, list)
	f.changed(news)
}

// take brings the engines in line with the list and returns those that left it.
// Call with mu held.
func (f *Fleet) take(list vmlist.List) (gone []string) {
	listed := make(map[string]bool)
	for _, vm := range list.VMs {
		if vm.Kind != vmlist.KindEngine {
			continue
		}
		listed[vm.Address] = true
		e, ok := f.engines[vm.Address]
		if !ok {
			e = &entry{}
			f.engines[vm.Address] = e
		}
		e.VM = vm
	}
	for address := range f.engines {
		if !listed[address] {
			delete(f.engines, address)
			gone = append(gone, address)
		}
	}
	return gone
}

// due picks the engines to ask now and marks them.
func (f *Fleet) due(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var due []string
	for address, e := range f.engines {
		if e.asking || now.Before(e.next) {
			continue
		}
		e.asking = true
		due = append(due, address)
	}
	sort.Strings(due)
	return due
}

func (f *Fleet) ask(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timeout)
	defer cancel()
	status, err := f.config.Engine.Status(ctx, address)
	f.Saw(address, status, err)
}

// Saw takes a status that was learned here or by another duty of this VM.
func (f *Fleet) Saw(address string, status engine.Status, err error) {
	now := time.Now()
	f.mu.Lock()
	e, ok := f.engines[address]
	restarted, news := false, false
	if ok {
		e.asking = false
		e.next = now.Add(f.pause(e, now))
		news = e.Reachable != (err == nil)
		e.Reachable = err == nil
		if err == nil {
			news = news || differs(e.Status, status)
			restarted = !e.SeenAt.IsZero() && e.Status.Incarnation != status.Incarnation
			e.Status = status
			e.SeenAt = now
		}
	}
	f.mu.Unlock()
	if restarted {
		f.config.Gone(address)
	}
	if ok {
		f.changed(news)
	}
}

// differs tells whether two answers say different things beside the load.
func differs(a, b engine.Status) bool {
	a.Load, b.Load = engine.Load{}, engine.Load{}
	return !reflect.DeepEqual(a, b)
}

func (f *Fleet) pause(e *entry, now time.Time) time.Duration {
	if now.Before(e.busyUntil) {
		return f.config.BusyEvery
	}
	return f.config.IdleEvery
}

// Interest has the engine asked often for the next seconds: requests wait for
// what it is loading, or run on it.
func (f *Fleet) Interest(address string) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.engines[address]
	if !ok {
		return
	}
	e.busyUntil = now.Add(interestFor)
	if soon := now.Add(f.config.BusyEvery); soon.Before(e.next) {
		e.next = soon
	}
}

// Engine returns what is known of one engine.
func (f *Fleet) Engine(address string) (Engine, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.engines[address]
	if !ok {
		return Engine{}, false
	}
	return e.Engine, true
}

// Engines returns all engines, ordered by address.
func (f *Fleet) Engines() []Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Engine, 0, len(f.engines))
	for _, e := range f.engines {
		out = append(out, e.Engine)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM.Address < out[j].VM.Address })
	return out
}

// VMs returns the listed VMs of a kind.
func (f *Fleet) VMs(kind vmlist.Kind) []vmlist.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []vmlist.VM
	for _, vm := range f.list.VMs {
		if vm.Kind == kind {
			out = append(out, vm)
		}
	}
	return out
}

// ListedAt is when the VM list was last read, zero before the first time.
func (f *Fleet) ListedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listedAt
}
