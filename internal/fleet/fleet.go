// Package fleet keeps what an entry VM knows of the other VMs: the platform's VM
// list, which lags, and what the engines say of themselves when asked.
package fleet

import (
	"context"
	"maps"
	"slices"
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
	// SeenAt is when the engine last said that its status is so, to this VM or to
	// its keeper; zero before the first time.
	SeenAt time.Time
	// Reachable is whether this VM's own newest question was answered.
	Reachable bool
	// ToldLeaving is whether another VM lately told that the engine drains, and
	// the engine itself has not been heard since.
	ReportedLeaving bool
}

// Leaving tells whether the engine gets no new work. Its own word counts
// beside the VM list, because the list trails by seconds.
func (e Engine) IsLeaving() bool { return e.VM.Leaving || e.Status.Draining || e.ReportedLeaving }

// Holds tells whether the unit is ready on the engine.
func (e Engine) HasReadyUnit(unit string) bool {
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
	ListInterval time.Duration
	// IdleEvery is the pause between two questions to an engine that nobody
	// here waits for; default 2 s.
	IdlePollInterval time.Duration
	// BusyEvery is the pause for an engine of Interest; default 200 ms.
	FrequentPollInterval time.Duration
	// TrustFor is for how long the word of an engine's keeper stands in for asking
	// it; default 4 s.
	KeeperReportTTL time.Duration
	// Turns bounds the questions a second to engines whose keeper this VM doesn't
	// hear, in a fleet too large to ask them all each time; 0 is no bound. May be
	// nil: never one.
	MaxRemotePollRate func() float64
	// Drains is called for an engine that was found draining here first: the
	// other VMs are to be told at once. May be nil.
	OnDraining func()
	// Timeout bounds one question; default 1 s.
	Timeout time.Duration
	// Gone is called for an engine that left the VM list or restarted: what was
	// learned of it counts no more. May be nil.
	OnGone func(address string)
}

// Fleet polls and remembers. Its methods may be called from any goroutine.
type Fleet struct {
	config Config
	// wake has Run look at once which questions are due.
	wake chan struct{}

	mu       sync.Mutex
	list     vmlist.List
	listedAt time.Time
	// listing grows whenever an engine is listed, dropped or listed otherwise.
	listing uint64
	engines map[string]*entry
	// news names the engines of which there is news since Changes was last asked.
	news    map[string]struct{}
	changed func(news bool)
	onList  func(time.Time, vmlist.List)
	// turns are the questions left to engines kept by other VMs as of turnedAt; see
	// inTurn.
	turns    float64
	turnedAt time.Time
}

// entry is one engine with its polling state.
type entry struct {
	Engine
	// version is the fingerprint of Status.
	version uint64
	// next is when to ask, askedAt when the newest question of this VM began.
	next, askedAt time.Time
	asking        bool
	// busyUntil and usedUntil are how long Interest and Use last.
	busyUntil, usedUntil time.Time
	// keptAt is when this VM as the engine's keeper last asked it, answered whether
	// it got an answer, and drainsAt when it was first seen to drain here.
	keptAt, drainsAt time.Time
	answered         bool
	// told is the newest word of another VM, leavingAt the time of the newest that
	// said that the engine drains.
	told      PeerReport
	leavingAt time.Time
}

const (
	defaultListEvery = time.Second
	defaultIdleEvery = 2 * time.Second
	defaultBusyEvery = 200 * time.Millisecond
	defaultTrustFor  = 4 * time.Second
	defaultTimeout   = time.Second
)

// New makes a fleet. changed is called after each answer of an engine or of the VM
// list, and told whether it says anything new beside the load; onList after each
// read of the VM list. Both may be nil.
func New(config Config, changed func(news bool), onList func(time.Time, vmlist.List)) *Fleet {
	setDefault(&config.ListInterval, defaultListEvery)
	setDefault(&config.IdlePollInterval, defaultIdleEvery)
	setDefault(&config.FrequentPollInterval, defaultBusyEvery)
	setDefault(&config.KeeperReportTTL, defaultTrustFor)
	setDefault(&config.Timeout, defaultTimeout)
	if changed == nil {
		changed = func(bool) {}
	}
	if onList == nil {
		onList = func(time.Time, vmlist.List) {}
	}
	if config.OnGone == nil {
		config.OnGone = func(string) {}
	}
	if config.OnDraining == nil {
		config.OnDraining = func() {}
	}
	if config.MaxRemotePollRate == nil {
		config.MaxRemotePollRate = func() float64 { return 0 }
	}
	return &Fleet{
		config: config, wake: make(chan struct{}, 1),
		engines: make(map[string]*entry), news: make(map[string]struct{}), changed: changed, onList: onList,
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func (f *Fleet) pollList(ctx context.Context) {
	pause.Every(ctx, f.config.ListInterval, f.readList)
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
	var gone []string
	if news || !sameList(f.list.VMs, list.VMs) {
		gone = f.take(list)
	}
	f.list = list
	f.listedAt = now
	f.mu.Unlock()
	for _, address := range gone {
		f.config.OnGone(address)
	}
	if news {
		f.rouse()
	}
	f.onList(now, list)
	f.changed(news)
}

// sameList tells whether both are the one list that the client has parsed, which
// nobody changes.
func sameList(a, b []vmlist.VM) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
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
		if e.VM != vm {
			e.VM = vm
			f.listing++
			f.news[vm.Address] = struct{}{}
		}
	}
	for address := range f.engines {
		if !listed[address] {
			delete(f.engines, address)
			f.listing++
			f.news[address] = struct{}{}
			gone = append(gone, address)
		}
	}
	return gone
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

// silentLong is after what silence an engine that is heard again is news: who
// counts an engine out by SeenAt, after at least that long, looks at it again.
const silentLong = 5 * time.Second

// note has an engine named in Changes if it is news. Call with mu held.
func (f *Fleet) note(now time.Time, e *entry, before Engine, news bool) {
	if news || e.SeenAt.After(before.SeenAt) && now.Sub(before.SeenAt) >= silentLong {
		f.news[e.VM.Address] = struct{}{}
	}
}

// Changes returns the engines that came, left, were heard again after a silence
// or said anything new beside their load since it was last asked. It has one
// reader, the planner.
func (f *Fleet) ChangedEngines() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.news) == 0 {
		return nil
	}
	out := slices.Collect(maps.Keys(f.news))
	clear(f.news)
	return out
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

// Listing is a number that grows whenever the VM list has other engines than
// before, or says something else of one.
func (f *Fleet) ListingVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listing
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
