// Package fleet tracks the other VMs for an entry VM: the platform's VM list, which
// lags, and the statuses that the engines report when they are polled.
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

// Engine is the known state of one engine. Copies share the slices and maps of Status:
// callers must not change them.
type Engine struct {
	VM     vmlist.VM
	Status engine.Status
	// SeenAt is when the engine last confirmed Status, to this VM or to its keeper;
	// zero before the first time.
	SeenAt time.Time
	// Reachable is set if the engine answered this VM's newest poll.
	Reachable bool
	// ReportedDraining is set if another VM recently reported that the engine is
	// draining, and the engine has not answered this VM since.
	ReportedDraining bool
}

// IsLeaving reports whether the engine gets no new work. Its own status counts as well
// as the VM list, because the list lags by seconds.
func (e Engine) IsLeaving() bool { return e.VM.Leaving || e.Status.Draining || e.ReportedDraining }

// HasReadyUnit reports whether the unit is ready on the engine.
func (e Engine) HasReadyUnit(unit string) bool {
	for _, u := range e.Status.Units {
		if u.Unit == unit {
			return u.Phase == engine.PhaseReady
		}
	}
	return false
}

// Config configures a Fleet.
type Config struct {
	Lister vmlist.Lister
	Engine engine.Client
	Logger *zap.Logger
	// ListInterval is the time between two reads of the VM list; default 1 s.
	ListInterval time.Duration
	// IdlePollInterval is the time between two polls of an engine that no request of
	// this VM waits for; default 2 s.
	IdlePollInterval time.Duration
	// FrequentPollInterval is the time between two polls of an engine for which
	// PollFrequently was called; default 200 ms.
	FrequentPollInterval time.Duration
	// KeeperReportTTL is how long a report of an engine's keeper replaces polling the
	// engine; default 4 s.
	KeeperReportTTL time.Duration
	// MaxRemotePollRate returns the maximum number of polls per second of engines whose
	// keeper's reports don't reach this VM, in a fleet too large to poll them all at
	// each interval; 0 means unlimited, as does a nil function.
	MaxRemotePollRate func() float64
	// OnDraining is called when this VM is the first to find an engine draining, so
	// that the other VMs can be informed at once. May be nil.
	OnDraining func()
	// Timeout bounds one poll and one read of the VM list; default 1 s.
	Timeout time.Duration
	// OnStateLost is called when an engine was removed from the VM list or has restarted:
	// state learned about it is no longer valid. May be nil.
	OnStateLost func(address string)
}

// Fleet polls the VM list and the engines and keeps the newest results. It is safe for
// concurrent use.
type Fleet struct {
	config Config
	// wake makes Run check for due polls at once.
	wake chan struct{}

	mu       sync.Mutex
	list     vmlist.List
	listedAt time.Time
	// listingVersion grows whenever an engine is added to the VM list, removed from it
	// or listed with other data.
	listingVersion uint64
	engines        map[string]*entry
	// changedEngines are the engines that changed since the last call of
	// ChangedEngines.
	changedEngines map[string]struct{}
	onChange       func(changed bool)
	onList         func(time.Time, vmlist.List)
	// pollCredit is the number of polls available as of creditUpdatedAt for engines
	// that are subject to MaxRemotePollRate; see pickWithinPollRate.
	pollCredit      float64
	creditUpdatedAt time.Time
}

// entry is an engine with its polling state.
type entry struct {
	Engine
	// version is the fingerprint of Status.
	version uint64
	// nextPollAt is when to poll next, polledAt when this VM's newest poll began.
	nextPollAt, polledAt time.Time
	isPolling            bool
	// frequentUntil and usedUntil are when the effects of PollFrequently and
	// LookupForRequest end.
	frequentUntil, usedUntil time.Time
	// keeperPolledAt is when this VM as the engine's keeper last polled it,
	// keeperAnswered whether it got an answer, and drainingSince when this VM first
	// saw it draining.
	keeperPolledAt, drainingSince time.Time
	keeperAnswered                bool
	// peerReport is the newest report of another VM, drainingReportedAt the observation
	// time of the newest one that set ReportedDraining.
	peerReport         PeerReport
	drainingReportedAt time.Time
}

const (
	defaultListInterval         = time.Second
	defaultIdlePollInterval     = 2 * time.Second
	defaultFrequentPollInterval = 200 * time.Millisecond
	defaultKeeperReportTTL      = 4 * time.Second
	defaultTimeout              = time.Second
)

// New returns a Fleet that starts polling when Run is called. onChange is called after
// each poll, each read of the VM list and each report that confirms or changes a
// status; its argument is whether anything but the load changed. onList is called
// after each read of the VM list. Both may be nil.
func New(config Config, onChange func(changed bool), onList func(time.Time, vmlist.List)) *Fleet {
	setDefault(&config.ListInterval, defaultListInterval)
	setDefault(&config.IdlePollInterval, defaultIdlePollInterval)
	setDefault(&config.FrequentPollInterval, defaultFrequentPollInterval)
	setDefault(&config.KeeperReportTTL, defaultKeeperReportTTL)
	setDefault(&config.Timeout, defaultTimeout)
	if onChange == nil {
		onChange = func(bool) {}
	}
	if onList == nil {
		onList = func(time.Time, vmlist.List) {}
	}
	if config.OnStateLost == nil {
		config.OnStateLost = func(string) {}
	}
	if config.OnDraining == nil {
		config.OnDraining = func() {}
	}
	if config.MaxRemotePollRate == nil {
		config.MaxRemotePollRate = func() float64 { return 0 }
	}
	return &Fleet{
		config: config, wake: make(chan struct{}, 1),
		engines: make(map[string]*entry), changedEngines: make(map[string]struct{}), onChange: onChange, onList: onList,
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

// readList reads the VM list and applies it. While the platform is unreachable the
// last list stays in use, so backend servers that still answer keep serving.
func (f *Fleet) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timeout)
	defer cancel()
	list, err := f.config.Lister.List(ctx)
	if err != nil {
		f.config.Logger.Debug("VM list not read", zap.Error(err))
		return
	}
	now := time.Now()
	f.mu.Lock()
	changed := f.list.Version != list.Version || f.listedAt.IsZero()
	var removed []string
	if changed || !isSameList(f.list.VMs, list.VMs) {
		removed = f.applyList(list)
	}
	f.list = list
	f.listedAt = now
	f.mu.Unlock()
	for _, address := range removed {
		f.config.OnStateLost(address)
	}
	if changed {
		f.wakeRun()
	}
	f.onList(now, list)
	f.onChange(changed)
}

// isSameList reports whether both slices are the same parsed list of the client, which
// is never modified.
func isSameList(a, b []vmlist.VM) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// applyList adds, updates and removes engines according to the list and returns the
// removed ones. The caller holds mu.
func (f *Fleet) applyList(list vmlist.List) (removed []string) {
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
			f.listingVersion++
			f.changedEngines[vm.Address] = struct{}{}
		}
	}
	for address := range f.engines {
		if !listed[address] {
			delete(f.engines, address)
			f.listingVersion++
			f.changedEngines[address] = struct{}{}
			removed = append(removed, address)
		}
	}
	return removed
}

// Engine returns the known state of one engine.
func (f *Fleet) Engine(address string) (Engine, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.engines[address]
	if !ok {
		return Engine{}, false
	}
	return e.Engine, true
}

// minNotableSilence is the shortest silence after which an engine that answers again
// counts as changed: a reader that excludes engines by SeenAt after at least this time
// must look at the engine again.
const minNotableSilence = 5 * time.Second

// markChanged adds an engine to the result of ChangedEngines if it changed or answered
// again after a silence. The caller holds mu.
func (f *Fleet) markChanged(now time.Time, e *entry, before Engine, changed bool) {
	if changed || e.SeenAt.After(before.SeenAt) && now.Sub(before.SeenAt) >= minNotableSilence {
		f.changedEngines[e.VM.Address] = struct{}{}
	}
}

// ChangedEngines returns the engines that were added, removed, answered again after a
// silence or changed anything but their load since the last call. Only the planner may
// call it.
func (f *Fleet) ChangedEngines() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.changedEngines) == 0 {
		return nil
	}
	out := slices.Collect(maps.Keys(f.changedEngines))
	clear(f.changedEngines)
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

// ListingVersion returns a number that grows whenever the VM list has other engines
// than before or other data about one.
func (f *Fleet) ListingVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listingVersion
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

// ListedAt returns when the VM list was last read, zero before the first time.
func (f *Fleet) ListedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listedAt
}
