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
	minVMsForSharedReads = 6
	// staleShare of a bound is the age from which a VM reads for itself, and how long a
	// read waits for news where nobody reads for others. It bounds how late a change can
	// be: a connection that has gone silent shows after it, and a read that begins while
	// a record is being appended may be answered only at its end.
	maxAgeShare = 0.85
	// readShare of a bound is how long the reader's reads wait for news, readAfterNews
	// of it how long the one after news does: an answer with news tells less of when it
	// was given. With the pause after news and the time between two reports these stay
	// below staleShare.
	readWaitShare             = 0.35
	readWaitShareAfterChanges = 0.1
	// gatherShare of a bound is the pause after news of backend servers: each swap
	// changes an entry, and all VMs would make a call for each. Keepers tell of swaps at
	// once, so that nobody waits for this. gatherReader is the reader's pause.
	batchPauseShare       = 0.45
	readerBatchPauseShare = 0.15
	// feedPoll is how often a VM that does not read looks whether it has to.
	feedPollInterval = 50 * time.Millisecond
	// recentMost is how many changes the reader keeps for the others. One that lacks
	// older ones reads for itself.
	maxRecentChanges = 512
)

// feed is what a VM knows of one topic of the registry. Times are readings of
// Config.Boot, which goes on while the VM is suspended: an age that stood still meanwhile
// would pass for fresh. It is safe for concurrent use.
type feed struct {
	maxDelay time.Duration
	// renewed measures the times between which all changes were known: a change is in
	// force that much after its acceptance, at the latest.
	confirmIntervals *metrics.Histogram

	mu          sync.Mutex
	cursorKnown bool
	cursor      registry.Cursor
	// epoch is the newest that the whole was read in, read whether it ever was.
	epoch    uint64
	everRead bool
	// at is up to when all changes are known.
	knownUntil time.Duration
	// recent are the newest changes, oldest first.
	recent      []changeBatch
	recentCount int
}

// changeBatch is the changes between two cursors.
type changeBatch struct {
	from, to registry.Cursor
	list     []registry.Change
}

var (
	configurationConfirmIntervals = metrics.NewHistogram(`bergamotreel_registry_renewed_seconds{topic="configuration"}`)
	backendsConfirmIntervals      = metrics.NewHistogram(`bergamotreel_registry_renewed_seconds{topic="backends"}`)
)

// confirm notes that all changes up to then are known.
func (f *feed) confirm(knownUntil time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if knownUntil <= f.knownUntil {
		return
	}
	if f.confirmIntervals != nil && f.knownUntil > 0 {
		f.confirmIntervals.Update((knownUntil - f.knownUntil).Seconds())
	}
	f.knownUntil = knownUntil
}

// expire has this VM read for itself at once, as there is news.
func (f *feed) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.knownUntil = 0
}

// age is how long ago all changes were known.
func (f *feed) age(now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now - f.knownUntil
}

// stale tells whether this VM has to read for itself.
func (f *feed) isStale(now time.Duration) bool { return f.age(now) > share(maxAgeShare, f.maxDelay) }

// position is from where on to read, false where the whole has to be read.
func (f *feed) position() (registry.Cursor, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cursor, f.cursorKnown
}

// restart sets the position after the whole was read, or forgets it.
func (f *feed) reset(cursor registry.Cursor, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cursor, f.cursorKnown = cursor, known
	f.recent, f.recentCount = nil, 0
}

// newEpoch notes the epoch in which the whole was read; it tells whether it was read in an
// earlier one before.
func (f *feed) recordEpoch(cursor registry.Cursor) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	epoch, previous, read := registry.Epoch(uint64(cursor)), f.epoch, f.everRead
	f.epoch, f.everRead = epoch, true
	return read && epoch > previous
}

// extend applies changes that were read between two cursors, unless the position has
// moved on meanwhile: older changes after newer ones would undo them.
func (f *feed) applyBatch(batch changeBatch, apply func([]registry.Change)) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cursorKnown || batch.from > f.cursor || batch.to < f.cursor {
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
	f.recentCount += len(batch.list)
	for f.recentCount > maxRecentChanges && len(f.recent) > 1 {
		f.recentCount -= len(f.recent[0].list)
		f.recent = f.recent[1:]
	}
	return true
}

// since returns the changes from a cursor on, false where some are no longer kept.
func (f *feed) since(cursor registry.Cursor) (changeBatch, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := changeBatch{from: cursor, to: f.cursor}
	if !f.cursorKnown || cursor > f.cursor {
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
	return m.readerLocked(now)
}

// pickReader is reader with mu held.
func (m *members) readerLocked(now time.Time) string { return m.currentRoles(now).reader }

// drawReader draws among the live VMs of the domain; in a large fleet it is the relay that
// leads, which all others there ask anyway.
func (m *members) selectReader(now time.Time, d *roles) string {
	var candidates []roleCandidate
	if !m.node.stopping.Load() {
		candidates = append(candidates, roleCandidate{m.node.config.VM, m.node.config.Capacity})
	}
	m.eachLiveLocked(now, func(r *entryvm.Report) {
		if !r.Leaving && r.Domain == m.node.config.Domain {
			candidates = append(candidates, roleCandidate{r.VM, r.Capacity})
		}
	})
	if len(candidates) < minVMsForSharedReads {
		return ""
	}
	if d.large {
		return d.relays[m.node.config.Domain][0]
	}
	return selectVM(readerKey, candidates)
}

// mustRead waits until this VM has to read the topic: nobody reads for it, or what it
// knows is too old. It tells how long the read should wait for news, and how long to
// pause after some.
func (n *Node) waitUntilReadDue(ctx context.Context, f *feed, changed bool) (wait, batchPause time.Duration, err error) {
	for {
		reader := n.members.reader(time.Now())
		switch {
		case ctx.Err() != nil:
			return 0, 0, ctx.Err()
		case reader == "":
			return share(maxAgeShare, f.maxDelay), share(batchPauseShare, f.maxDelay), nil
		case reader == n.config.VM && !changed:
			return share(readWaitShare, f.maxDelay), share(readerBatchPauseShare, f.maxDelay), nil
		case reader == n.config.VM, f.isStale(n.config.Boot()):
			return share(readWaitShareAfterChanges, f.maxDelay), share(readerBatchPauseShare, f.maxDelay), nil
		}
		select {
		case <-time.After(feedPollInterval):
		case <-ctx.Done():
		}
	}
}

// readAt is up to when a read told all. One that found nothing waited at the registry, but
// only if it took that long. Failure: a read of 700 ms came back with nothing after 70 ms,
// just before the reader lost the registry; its domain took changes for known up to 630 ms
// after that, and heard of a leaving backend server later than the bound.
func readKnownUntil(start, end, wait time.Duration, changed bool) time.Duration {
	if changed || end-start < wait {
		return start
	}
	return start + wait
}

// feedReport is what the reader tells another VM of its domain.
func (n *Node) addFeed(asker entryvm.Report, answer *entryvm.Report) {
	if asker.Domain != n.config.Domain || n.members.reader(time.Now()) != n.config.VM {
		return
	}
	now := n.config.Boot()
	answer.ConfigurationAge, answer.BackendsAge = n.configurations.age(now), n.changes.age(now)
	// After the age: a version that came in between must not pass for known by the asker.
	answer.Configuration = n.version()
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
func (n *Node) applyFeed(sentAt time.Duration, answer *entryvm.Report) {
	if !answer.Reads || answer.Domain != n.config.Domain {
		return
	}
	if answer.Configuration <= n.version() {
		n.configurations.confirm(sentAt - answer.ConfigurationAge)
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
	if !n.changes.applyBatch(batch, n.applyChanges) {
		return
	}
	n.changes.confirm(sentAt - answer.BackendsAge)
	if len(batch.list) > 0 {
		n.backendsChanged()
	}
}

func (n *Node) applyChanges(list []registry.Change) { n.backends.change(time.Now(), list) }

// followConfiguration is the duty that keeps the newest configuration in force.
func (n *Node) followConfiguration(ctx context.Context) {
	f, changed := &n.configurations, false
	for {
		wait, _, err := n.waitUntilReadDue(ctx, f, changed)
		if err != nil {
			return
		}
		changed = n.readConfiguration(ctx, f, wait)
	}
}

// readConfiguration makes one read; it tells whether there was news.
func (n *Node) readConfiguration(ctx context.Context, f *feed, wait time.Duration) (changed bool) {
	start := n.config.Boot()
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
		f.reset(0, false)
		return true
	case errors.Is(err, registry.ErrUnavailable):
		if newest := n.members.newestConfiguration(); newest > n.version() && ctx.Err() == nil {
			n.config.Logger.Warn("newer configuration can't be read", zap.Uint64("version", n.version()),
				zap.Uint64("newest", newest), zap.Duration("took", n.config.Boot()-start), telemetry.Reason(err))
		}
		n.lost(ctx, err)
		return false
	case err != nil:
		// A version that can't be translated: the one before stays in force.
		untranslatedTotal.Inc()
		n.config.Logger.Error("configuration can't be used", telemetry.Reason(err))
	}
	n.answered()
	f.reset(cursor, true)
	if next != nil {
		n.apply(next, "registry")
		n.members.notifyDomain()
	}
	changed = next != nil || err != nil || !known
	f.confirm(readKnownUntil(start, n.config.Boot(), wait, changed))
	return changed
}

// followBackends is the duty that keeps the list of backend servers.
func (n *Node) followBackends(ctx context.Context) {
	f, changed := &n.changes, false
	for {
		wait, batchPause, err := n.waitUntilReadDue(ctx, f, changed)
		if err != nil {
			return
		}
		if changed = n.readBackends(ctx, f, wait); changed {
			pause.For(ctx, batchPause)
		}
	}
}

// readBackends makes one read of the list or of its changes; it tells whether there were
// changes.
func (n *Node) readBackends(ctx context.Context, f *feed, wait time.Duration) (changed bool) {
	start := n.config.Boot()
	cursor, known := f.position()
	if !known {
		list, err := n.config.Peers.Registry.Backends(ctx)
		if err != nil {
			n.lost(ctx, err)
			return false
		}
		n.answered()
		if f.recordEpoch(list.Next) {
			n.config.Logger.Warn("list of backend servers read anew, as the registry came back without its newest records",
				zap.Uint64("epoch", registry.Epoch(uint64(list.Next))), zap.Int("listed", len(list.List)))
			n.backends.restored(time.Now())
		}
		n.backends.replace(time.Now(), list.List)
		f.reset(list.Next, true)
		f.confirm(start)
		n.backendsChanged()
		return false
	}
	changes, err := n.config.Peers.Registry.AwaitBackends(ctx, cursor, wait)
	if errors.Is(err, registry.ErrHistoryLost) {
		n.config.Logger.Info("history of backend servers lost, reading the whole list")
		f.reset(0, false)
		return false
	}
	if err != nil {
		n.lost(ctx, err)
		return false
	}
	n.answered()
	changed = len(changes.List) > 0
	if !f.applyBatch(changeBatch{from: cursor, to: changes.Next, list: changes.List}, n.applyChanges) {
		return false // the reader's word was newer
	}
	f.confirm(readKnownUntil(start, n.config.Boot(), wait, changed))
	if changed {
		n.backendsChanged()
		n.members.notifyDomain()
	}
	return changed
}
