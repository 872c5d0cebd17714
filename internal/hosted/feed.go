package hosted

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/telemetry"
	"bergamotreel/registry"
)

// In a large failure domain one VM reads the registry, and the others learn from it. With
// each VM reading for itself the registry's calls grew with the fleet: among 64 VMs 110
// calls a second, which cost as much as a thirtieth of all requests.
//
// What must be in force within a bound stays so whoever dies, stops or is cut off: each
// VM knows up to when it knows all changes, from its own reads or from the reader's
// answers, and reads for itself before that is too long ago.

const (
	// sharedFrom is the number of live VMs in a domain from which one reads for all: among
	// fewer, its more frequent reads cost as many calls as they save.
	sharedFrom = 6
	// staleShare of a bound is the age from which a VM reads for itself, and how long a
	// read waits for news where nobody reads for others. It bounds how late a change can
	// be: a connection that has gone silent shows after it, and a read that begins while
	// a record is being appended may be answered only at its end.
	staleShare = 0.85
	// readShare of a bound is how long the reader's reads wait for news, readAfterNews
	// of it how long the one after news does: an answer with news tells less of when it
	// was given. With the pause after news and the time between two reports these stay
	// below staleShare.
	readShare     = 0.35
	readAfterNews = 0.1
	// gatherShare of a bound is the pause after news of backend servers: each swap
	// changes an entry, and all VMs would make a call for each. Keepers tell of swaps at
	// once, so that nobody waits for this. gatherReader is the reader's pause.
	gatherShare  = 0.45
	gatherReader = 0.15
	// feedPoll is how often a VM that does not read looks whether it has to.
	feedPoll = 50 * time.Millisecond
	// recentMost is how many changes the reader keeps for the others. One that lacks
	// older ones reads for itself.
	recentMost = 512
)

// feed is what a VM knows of one topic of the registry. Times are readings of
// Config.Boot, which goes on while the VM is suspended: an age that stood still meanwhile
// would pass for fresh. It is safe for concurrent use.
type feed struct {
	bound time.Duration
	// renewed measures the times between which all changes were known: a change is in
	// force that much after its acceptance, at the latest.
	renewed *metrics.Histogram

	mu     sync.Mutex
	known  bool
	cursor registry.Cursor
	// epoch is the newest that the whole was read in, read whether it ever was.
	epoch uint64
	read  bool
	// at is up to when all changes are known.
	at time.Duration
	// recent are the newest changes, oldest first.
	recent []changeBatch
	count  int
}

// changeBatch is the changes between two cursors.
type changeBatch struct {
	from, to registry.Cursor
	list     []registry.Change
}

var (
	configurationsRenewed = metrics.NewHistogram(`bergamotreel_registry_renewed_seconds{topic="configuration"}`)
	backendsRenewed       = metrics.NewHistogram(`bergamotreel_registry_renewed_seconds{topic="backends"}`)
)

// confirm notes that all changes up to then are known.
func (f *feed) confirm(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at <= f.at {
		return
	}
	if f.renewed != nil && f.at > 0 {
		f.renewed.Update((at - f.at).Seconds())
	}
	f.at = at
}

// expire has this VM read for itself at once, as there is news.
func (f *feed) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at = 0
}

// age is how long ago all changes were known.
func (f *feed) age(now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now - f.at
}

// stale tells whether this VM has to read for itself.
func (f *feed) stale(now time.Duration) bool { return f.age(now) > fractionOf(staleShare, f.bound) }

// position is from where on to read, false where the whole has to be read.
func (f *feed) position() (registry.Cursor, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cursor, f.known
}

// restart sets the position after the whole was read, or forgets it.
func (f *feed) restart(cursor registry.Cursor, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cursor, f.known = cursor, known
	f.recent, f.count = nil, 0
}

// newEpoch notes the epoch in which the whole was read; it tells whether it was read in an
// earlier one before.
func (f *feed) newEpoch(cursor registry.Cursor) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	epoch, before, read := registry.Epoch(uint64(cursor)), f.epoch, f.read
	f.epoch, f.read = epoch, true
	return read && epoch > before
}

// extend applies changes that were read between two cursors, unless the position has
// moved on meanwhile: older changes after newer ones would undo them.
func (f *feed) extend(batch changeBatch, apply func([]registry.Change)) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known || batch.from > f.cursor || batch.to < f.cursor {
		return false
	}
	if batch.to == f.cursor {
		return true
	}
	if len(batch.list) > 0 {
		apply(batch.list)
	}
	f.cursor = batch.to
	f.recent = append(f.recent, batch)
	f.count += len(batch.list)
	for f.count > recentMost && len(f.recent) > 1 {
		f.count -= len(f.recent[0].list)
		f.recent = f.recent[1:]
	}
	return true
}

// since returns the changes from a cursor on, false where some are no longer kept.
func (f *feed) since(cursor registry.Cursor) (changeBatch, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := changeBatch{from: cursor, to: f.cursor}
	if !f.known || cursor > f.cursor {
		return out, false
	}
	if cursor == f.cursor {
		return out, true
	}
	for _, batch := range f.recent {
		if batch.to <= cursor {
			continue
		}
		if len(out.list) == 0 {
			out.from = batch.from
		}
		out.list = append(out.list, batch.list...)
	}
	return out, out.from <= cursor && len(f.recent) > 0
}

// readerKey is what a failure domain's reader is drawn for.
const readerKey = "reader"

// reader returns the VM that reads for its whole domain, empty where each reads for
// itself.
func (m *members) reader(now time.Time) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pickReader(now)
}

// pickReader is reader with mu held.
func (m *members) pickReader(now time.Time) string { return m.duties(now).reader }

// drawReader draws among the live VMs of the domain; in a large fleet it is the relay that
// leads, which all others there ask anyway.
func (m *members) drawReader(now time.Time, d *drawn) string {
	var able []volunteer
	if !m.node.stopping.Load() {
		able = append(able, volunteer{m.node.config.VM, m.node.config.Capacity})
	}
	m.eachLive(now, func(r *entryvm.Report) {
		if !r.Leaving && r.Domain == m.node.config.Domain {
			able = append(able, volunteer{r.VM, r.Capacity})
		}
	})
	if len(able) < sharedFrom {
		return ""
	}
	if d.large {
		return d.relays[m.node.config.Domain][0]
	}
	return draw(readerKey, able)
}

// mustRead waits until this VM has to read the topic: nobody reads for it, or what it
// knows is too old. It tells how long the read should wait for news, and how long to
// pause after some.
func (n *Node) mustRead(ctx context.Context, f *feed, news bool) (wait, gather time.Duration, err error) {
	for {
		reader := n.members.reader(time.Now())
		switch {
		case ctx.Err() != nil:
			return 0, 0, ctx.Err()
		case reader == "":
			return fractionOf(staleShare, f.bound), fractionOf(gatherShare, f.bound), nil
		case reader == n.config.VM && !news:
			return fractionOf(readShare, f.bound), fractionOf(gatherReader, f.bound), nil
		case reader == n.config.VM, f.stale(n.config.BootClock()):
			return fractionOf(readAfterNews, f.bound), fractionOf(gatherReader, f.bound), nil
		}
		select {
		case <-time.After(feedPoll):
		case <-ctx.Done():
		}
	}
}

// readAt is up to when a read told all. One that found nothing waited at the registry, but
// only if it took that long. Failure: a read of 700 ms came back with nothing after 70 ms,
// just before the reader lost the registry; its domain took changes for known up to 630 ms
// after that, and heard of a leaving backend server later than the bound.
func readAt(begun, ended, wait time.Duration, news bool) time.Duration {
	if news || ended-begun < wait {
		return begun
	}
	return begun + wait
}

// feedReport is what the reader tells another VM of its domain.
func (n *Node) feedReport(asker entryvm.Report, answer *entryvm.Report) {
	if asker.Domain != n.config.Domain || n.members.reader(time.Now()) != n.config.VM {
		return
	}
	now := n.config.BootClock()
	answer.ConfigurationAge, answer.BackendsAge = n.configurations.age(now), n.changes.age(now)
	// After the age: a version that came in between must not pass for known by the asker.
	answer.Configuration = n.configurationVersion()
	batch, ok := n.changes.since(registry.Cursor(asker.BackendsCursor))
	if !ok {
		return
	}
	if len(batch.list) > 0 {
		var encoded bytes.Buffer
		if err := gob.NewEncoder(&encoded).Encode(batch.list); err != nil {
			n.config.Logger.Error("changes of backend servers can't be encoded", telemetry.Reason(err))
			return
		}
		answer.Changes = encoded.Bytes()
	}
	answer.Reads = true
	answer.ChangesFrom, answer.BackendsCursor = uint64(batch.from), uint64(batch.to)
}

// applyFeed applies what the reader answered to a report that was sent at the given time.
// Only an answer tells how old its word is: a report that came by itself may have waited
// in this VM's socket while it was suspended.
func (n *Node) applyFeed(sent time.Duration, answer *entryvm.Report) {
	if !answer.Reads || answer.Domain != n.config.Domain {
		return
	}
	if answer.Configuration <= n.configurationVersion() {
		n.configurations.confirm(sent - answer.ConfigurationAge)
	} else {
		// The registry hands it out to all at once; the reader's link may be slow.
		n.configurations.expire()
	}
	batch := changeBatch{from: registry.Cursor(answer.ChangesFrom), to: registry.Cursor(answer.BackendsCursor)}
	if len(answer.Changes) > 0 {
		if err := gob.NewDecoder(bytes.NewReader(answer.Changes)).Decode(&batch.list); err != nil {
			n.config.Logger.Error("changes of backend servers from a peer can't be read", zap.String("peer", answer.VM), telemetry.Reason(err))
			return
		}
	}
	cursor, _ := n.changes.position()
	if registry.Epoch(answer.BackendsCursor) > registry.Epoch(uint64(cursor)) {
		n.changes.expire() // its changes don't continue what is known here
	}
	if !n.changes.extend(batch, n.applyChanges) {
		return
	}
	n.changes.confirm(sent - answer.BackendsAge)
	if len(batch.list) > 0 {
		n.handleBackendChanges()
	}
}

func (n *Node) applyChanges(list []registry.Change) { n.backends.applyChanges(time.Now(), list) }

// followConfiguration is the duty that keeps the newest configuration in force.
func (n *Node) followConfiguration(ctx context.Context) {
	f, news := &n.configurations, false
	for {
		wait, _, err := n.mustRead(ctx, f, news)
		if err != nil {
			return
		}
		news = n.readConfiguration(ctx, f, wait)
	}
}

// readConfiguration makes one read; it tells whether there was news.
func (n *Node) readConfiguration(ctx context.Context, f *feed, wait time.Duration) (news bool) {
	begun := n.config.BootClock()
	cursor, known := f.position()
	var next *registry.Configuration
	var err error
	if known {
		next, cursor, err = n.config.Peers.Registry.AwaitConfiguration(ctx, cursor, wait)
	} else {
		next, cursor, err = n.config.Peers.Registry.Configuration(ctx)
	}
	switch {
	case errors.Is(err, registry.ErrHistoryLost):
		n.config.Logger.Info("history of the configuration lost, reading the newest")
		f.restart(0, false)
		return true
	case errors.Is(err, registry.ErrUnavailable):
		if newest := n.members.newestConfiguration(); newest > n.configurationVersion() && ctx.Err() == nil {
			n.config.Logger.Warn("newer configuration can't be read", zap.Uint64("version", n.configurationVersion()),
				zap.Uint64("newest", newest), zap.Duration("took", n.config.BootClock()-begun), telemetry.Reason(err))
		}
		n.recordRegistryFailure(ctx, err)
		return false
	case err != nil:
		// A version that can't be translated: the one before stays in force.
		untranslatedConfigurations.Inc()
		n.config.Logger.Error("configuration can't be used", telemetry.Reason(err))
	}
	n.recordRegistrySuccess()
	f.restart(cursor, true)
	if next != nil {
		n.applyConfiguration(next, "registry")
		n.members.notifyDomain()
	}
	news = next != nil || err != nil || !known
	f.confirm(readAt(begun, n.config.BootClock(), wait, news))
	return news
}

// followBackends is the duty that keeps the list of backend servers.
func (n *Node) followBackends(ctx context.Context) {
	f, news := &n.changes, false
	for {
		wait, gather, err := n.mustRead(ctx, f, news)
		if err != nil {
			return
		}
		if news = n.readBackends(ctx, f, wait); news {
			pause.For(ctx, gather)
		}
	}
}

// readBackends makes one read of the list or of its changes; it tells whether there were
// changes.
func (n *Node) readBackends(ctx context.Context, f *feed, wait time.Duration) (news bool) {
	begun := n.config.BootClock()
	cursor, known := f.position()
	if !known {
		list, err := n.config.Peers.Registry.Backends(ctx)
		if err != nil {
			n.recordRegistryFailure(ctx, err)
			return false
		}
		n.recordRegistrySuccess()
		if f.newEpoch(list.Next) {
			n.config.Logger.Warn("list of backend servers read anew, as the registry came back without its newest records",
				zap.Uint64("epoch", registry.Epoch(uint64(list.Next))), zap.Int("listed", len(list.List)))
			n.backends.handleRegistryRestore(time.Now())
		}
		n.backends.replace(time.Now(), list.List)
		f.restart(list.Next, true)
		f.confirm(begun)
		n.handleBackendChanges()
		return false
	}
	changes, err := n.config.Peers.Registry.AwaitBackends(ctx, cursor, wait)
	if errors.Is(err, registry.ErrHistoryLost) {
		n.config.Logger.Info("history of backend servers lost, reading the whole list")
		f.restart(0, false)
		return false
	}
	if err != nil {
		n.recordRegistryFailure(ctx, err)
		return false
	}
	n.recordRegistrySuccess()
	news = len(changes.List) > 0
	if !f.extend(changeBatch{from: cursor, to: changes.Next, list: changes.List}, n.applyChanges) {
		return false // the reader's word was newer
	}
	f.confirm(readAt(begun, n.config.BootClock(), wait, news))
	if news {
		n.handleBackendChanges()
		n.members.notifyDomain()
	}
	return news
}
