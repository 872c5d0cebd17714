package hosted

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"bergamotreel/internal/pause"
	"bergamotreel/registry"
)

// fakeRegistry is a registry in memory. A test assigns the shards of a group to a VM, or
// has them divided among the group's members.
type fakeRegistry struct {
	mu                  sync.Mutex
	configuration       *registry.Configuration
	configurationCursor registry.Cursor
	backends            map[string]registry.Backend
	changes             []registry.Change
	owners              map[string][]registry.Ownership
	ownerWrites         map[string]registry.Cursor
	generation          uint64
	assignedVM          map[int]string
	// sharedGroups holds the groups whose shards are divided among the members, with the time
	// of each member's last join; joins counts all joins.
	sharedGroups map[string]map[string]time.Time
	joins        int
	// unavailable makes every call fail; historyLost makes reads of changes fail until the
	// list of backend servers is read.
	unavailable bool
	historyLost bool
	// maxChanges bounds the changes of one answer, 0 for no bound.
	maxChanges int
	// partitionedMembers are the members whose joins fail.
	partitionedMembers map[string]bool
	// latency is the duration of a call on ownership; conflicts counts the refused ones.
	latency   time.Duration
	conflicts int
	// partitionedReaders are the VMs whose reads get no answer.
	partitionedReaders map[string]bool
	// lostHistory are the VMs whose next read of changes fails as they are no longer kept.
	lostHistory map[string]bool
	// readLatency is the duration of a read of the list's changes before it waits for any.
	readLatency time.Duration
	quarantined map[registry.QuarantineKey]registry.Quarantined
	vms         map[string]registry.VMRecord
	// vmReads and vmRenewals count the calls on the records of VMs.
	vmReads, vmRenewals int
	// epoch counts the restores.
	epoch uint64
	// reads counts the reads of the configuration and of the changes of the list.
	reads int
	// confirmingReads counts the reads of the changes of the list that don't wait for any.
	confirmingReads int
	// streams is what it holds of streams.
	streams fakeStreams
	// link, if set, is the link over which the VMs read.
	link *registryLink
}

func newFakeRegistry() *fakeRegistry {
	return &fakeRegistry{backends: make(map[string]registry.Backend), owners: make(map[string][]registry.Ownership),
		ownerWrites: make(map[string]registry.Cursor), generation: 1, assignedVM: make(map[int]string), sharedGroups: make(map[string]map[string]time.Time), partitionedMembers: make(map[string]bool), partitionedReaders: make(map[string]bool), lostHistory: make(map[string]bool), quarantined: make(map[registry.QuarantineKey]registry.Quarantined), vms: make(map[string]registry.VMRecord)}
}

// vmRegistry is the registry as one VM reaches it.
type vmRegistry struct {
	*fakeRegistry
	vm string
}

func (r vmRegistry) failIfUnreachable(ctx context.Context, wait time.Duration) error {
	r.mu.Lock()
	silent := r.partitionedReaders[r.vm]
	r.mu.Unlock()
	if !silent {
		return nil
	}
	pause.For(ctx, wait+time.Second)
	return registry.ErrUnavailable
}

func (r vmRegistry) AwaitConfiguration(ctx context.Context, from registry.Cursor, wait time.Duration) (*registry.Configuration, registry.Cursor, error) {
	if err := r.failIfUnreachable(ctx, wait); err != nil {
		return nil, from, err
	}
	if r.link != nil {
		return r.awaitOverLink(ctx, from, wait)
	}
	return r.fakeRegistry.AwaitConfiguration(ctx, from, wait)
}

func (r vmRegistry) VMs(ctx context.Context) ([]registry.VMRecord, error) {
	if err := r.failIfUnreachable(ctx, 0); err != nil {
		return nil, err
	}
	return r.fakeRegistry.VMs(ctx)
}

func (r vmRegistry) RecordVM(ctx context.Context, record registry.VMRecord) error {
	if err := r.failIfUnreachable(ctx, 0); err != nil {
		return err
	}
	return r.fakeRegistry.RecordVM(ctx, record)
}

func (r vmRegistry) AwaitBackends(ctx context.Context, from registry.Cursor, wait time.Duration) (registry.Changes, error) {
	if err := r.failIfUnreachable(ctx, wait); err != nil {
		return registry.Changes{Next: from}, err
	}
	if err := r.delayRead(ctx); err != nil {
		return registry.Changes{Next: from}, err
	}
	if r.link != nil {
		return r.awaitBackendsOverLink(ctx, from, wait)
	}
	return r.fakeRegistry.AwaitBackends(ctx, from, wait)
}

func (f *fakeRegistry) beginCall() (func(), error) {
	f.mu.Lock()
	if f.unavailable {
		f.mu.Unlock()
		return nil, registry.ErrUnavailable
	}
	return f.mu.Unlock, nil
}

func (f *fakeRegistry) Configuration(context.Context) (*registry.Configuration, registry.Cursor, error) {
	end, err := f.beginCall()
	if err != nil {
		return nil, 0, err
	}
	defer end()
	f.reads++
	return f.configuration, registry.Cursor(registry.NewPosition(f.epoch, uint64(f.configurationCursor))), nil
}

func (f *fakeRegistry) AwaitConfiguration(ctx context.Context, from registry.Cursor, wait time.Duration) (*registry.Configuration, registry.Cursor, error) {
	if !pause.For(ctx, wait) {
		return nil, from, ctx.Err()
	}
	return f.Configuration(ctx)
}

func (f *fakeRegistry) Parse(source []byte) (*registry.Configuration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if string(source) != string(f.configuration.Source) {
		return nil, errors.New("not this one")
	}
	return f.configuration, nil
}

func (f *fakeRegistry) Backends(context.Context) (registry.Backends, error) {
	end, err := f.beginCall()
	if err != nil {
		return registry.Backends{}, err
	}
	defer end()
	f.historyLost = false
	list := registry.Backends{Next: registry.Cursor(registry.NewPosition(f.epoch, uint64(len(f.changes))))}
	for _, id := range slices.Sorted(maps.Keys(f.backends)) {
		list.List = append(list.List, f.backends[id])
	}
	return list, nil
}

func (f *fakeRegistry) AwaitBackends(ctx context.Context, from registry.Cursor, wait time.Duration) (registry.Changes, error) {
	if !pause.For(ctx, wait/10) {
		return registry.Changes{Next: from}, ctx.Err()
	}
	end, err := f.beginCall()
	if err != nil {
		return registry.Changes{Next: from}, err
	}
	defer end()
	f.reads++
	if wait == 0 {
		f.confirmingReads++
	}
	if f.historyLost || registry.EpochOf(uint64(from)) != f.epoch {
		return registry.Changes{Next: from}, registry.ErrHistoryLost
	}
	list := slices.Clone(f.changes[registry.NumberInEpoch(uint64(from)):])
	more := f.maxChanges > 0 && len(list) > f.maxChanges
	if more {
		list = list[:f.maxChanges]
	}
	return registry.Changes{List: list, Next: from + registry.Cursor(len(list)), More: more}, nil
}

// setConfiguration stores another configuration, as an operator would.
func (f *fakeRegistry) setConfiguration(c *registry.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configuration = c
	f.configurationCursor++
}

// put adds or updates a backend server; drop removes one.
func (f *fakeRegistry) put(b registry.Backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backends[b.ID] = b
	f.changes = append(f.changes, registry.Change{ID: b.ID, Backend: &b})
}

func (f *fakeRegistry) drop(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.backends, id)
	f.changes = append(f.changes, registry.Change{ID: id})
}

func (f *fakeRegistry) setUnavailable(unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = unavailable
}

// assignAllShards assigns all shards to a VM.
func (f *fakeRegistry) assignAllShards(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.generation++
	for shard := range testShards {
		f.assignedVM[shard] = vm
	}
}

func (f *fakeRegistry) Join(_ context.Context, r registry.JoinRequest) (registry.Assignment, error) {
	end, err := f.beginCall()
	if err != nil {
		return registry.Assignment{}, err
	}
	defer end()
	if f.partitionedMembers[r.Member] {
		return registry.Assignment{}, registry.ErrUnavailable
	}
	f.joins++
	if f.sharedGroups[r.Group] != nil {
		return f.joinShared(r), nil
	}
	assignment := registry.Assignment{Generation: registry.NewPosition(f.epoch, f.generation)}
	for shard := range testShards {
		if f.assignedVM[shard] == r.Member {
			assignment.Shards = append(assignment.Shards, shard)
		}
	}
	return assignment, nil
}

// shareShards makes the registry divide a group's shards among its members.
func (f *fakeRegistry) shareShards(group string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sharedGroups[group] = make(map[string]time.Time)
}

// joinShared joins a group whose shards are divided among its members. Call with mu held.
func (f *fakeRegistry) joinShared(r registry.JoinRequest) registry.Assignment {
	members := f.sharedGroups[r.Group]
	before := len(members)
	maps.DeleteFunc(members, func(_ string, at time.Time) bool { return time.Since(at) > r.TTL })
	_, known := members[r.Member]
	members[r.Member] = time.Now()
	if !known || len(members) != before {
		f.generation++
	}
	assignment := registry.Assignment{Generation: registry.NewPosition(f.epoch, f.generation)}
	sorted := slices.Sorted(maps.Keys(members))
	for shard := range testShards {
		if sorted[shard%len(sorted)] == r.Member {
			assignment.Shards = append(assignment.Shards, shard)
		}
	}
	return assignment
}

// memberCount returns the number of a group's live members.
func (f *fakeRegistry) memberCount(group string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	live := 0
	for _, at := range f.sharedGroups[group] {
		if time.Since(at) < membershipTTL {
			live++
		}
	}
	return live
}

func (f *fakeRegistry) Leave(_ context.Context, group, member string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.sharedGroups[group][member]; known {
		delete(f.sharedGroups[group], member)
		f.generation++
	}
	return nil
}

func (f *fakeRegistry) Owners(_ context.Context, group string) ([]registry.Ownership, registry.Cursor, error) {
	time.Sleep(f.latency)
	end, err := f.beginCall()
	if err != nil {
		return nil, 0, err
	}
	defer end()
	return slices.Clone(f.owners[group]), registry.Cursor(registry.NewPosition(f.epoch, uint64(f.ownerWrites[group]))), nil
}

func (f *fakeRegistry) RecordOwners(_ context.Context, group string, owned []registry.Ownership, at registry.Cursor) error {
	time.Sleep(f.latency)
	end, err := f.beginCall()
	if err != nil {
		return err
	}
	defer end()
	if registry.NewPosition(f.epoch, uint64(f.ownerWrites[group])) != uint64(at) {
		f.conflicts++
		return registry.ErrConflict
	}
	for _, o := range owned {
		f.owners[group] = slices.DeleteFunc(f.owners[group], func(old registry.Ownership) bool { return old.Index == o.Index })
		f.owners[group] = append(f.owners[group], o)
		f.ownerWrites[group]++
	}
	return nil
}

func (f *fakeRegistry) Quarantined(context.Context) ([]registry.Quarantined, error) {
	end, err := f.beginCall()
	if err != nil {
		return nil, err
	}
	defer end()
	return slices.Collect(maps.Values(f.quarantined)), nil
}

func (f *fakeRegistry) Quarantine(_ context.Context, add []registry.Quarantined, drop []registry.QuarantineKey) error {
	end, err := f.beginCall()
	if err != nil {
		return err
	}
	defer end()
	for _, q := range add {
		f.quarantined[q.QuarantineKey] = q
	}
	for _, request := range drop {
		delete(f.quarantined, request)
	}
	return nil
}

func (f *fakeRegistry) VMs(context.Context) ([]registry.VMRecord, error) {
	end, err := f.beginCall()
	if err != nil {
		return nil, err
	}
	defer end()
	f.vmReads++
	return slices.Collect(maps.Values(f.vms)), nil
}

func (f *fakeRegistry) RecordVM(_ context.Context, record registry.VMRecord) error {
	end, err := f.beginCall()
	if err != nil {
		return err
	}
	defer end()
	f.vmRenewals++
	f.vms[record.VM] = record
	return nil
}

// vmCalls returns how often records of VMs were read and renewed.
func (f *fakeRegistry) vmCalls() (reads, renewals int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vmReads, f.vmRenewals
}

func (f *fakeRegistry) MaintainVMs(_ context.Context, lapsed []registry.VMRecord, drop []string) error {
	end, err := f.beginCall()
	if err != nil {
		return err
	}
	defer end()
	for _, record := range lapsed {
		f.vms[record.VM] = record
	}
	for _, vm := range drop {
		delete(f.vms, vm)
	}
	return nil
}

// Epoch implements registry.Registry.
func (f *fakeRegistry) Epoch() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.epoch
}

// registrySnapshot is the content of a registry at some moment.
type registrySnapshot struct {
	configuration       *registry.Configuration
	configurationCursor registry.Cursor
	backends            map[string]registry.Backend
	changes             []registry.Change
	owners              map[string][]registry.Ownership
	ownerWrites         map[string]registry.Cursor
	generation          uint64
	assignedVM          map[int]string
	quarantined         map[registry.QuarantineKey]registry.Quarantined
	vms                 map[string]registry.VMRecord
	streams             fakeStreams
}

func (f *fakeRegistry) snapshot() registrySnapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := registrySnapshot{configuration: f.configuration, configurationCursor: f.configurationCursor, backends: maps.Clone(f.backends), changes: slices.Clone(f.changes),
		owners: make(map[string][]registry.Ownership), ownerWrites: maps.Clone(f.ownerWrites), generation: f.generation, assignedVM: maps.Clone(f.assignedVM), quarantined: maps.Clone(f.quarantined), vms: maps.Clone(f.vms), streams: f.streams.clone()}
	for group, list := range f.owners {
		c.owners[group] = slices.Clone(list)
	}
	return c
}

// restore replaces the registry's content by a snapshot and begins a new epoch.
func (f *fakeRegistry) restore(c registrySnapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configuration, f.configurationCursor, f.backends, f.changes, f.owners = c.configuration, c.configurationCursor, c.backends, c.changes, c.owners
	f.ownerWrites, f.generation, f.assignedVM, f.quarantined, f.vms = c.ownerWrites, c.generation, c.assignedVM, c.quarantined, c.vms
	f.streams = c.streams
	f.epoch++
}

// makeUnreadable makes a backend server's record unreadable.
func (f *fakeRegistry) makeUnreadable(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.backends, id)
	f.changes = append(f.changes, registry.Change{ID: id, Unreadable: true})
}
