package hosted

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/feed"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/telemetry"
	"bergamotreel/registry"
)

// In a failure domain with enough live VMs one VM, the reader, reads the registry and the
// others get its changes with their reports. If each VM reads for itself, registry calls
// grow with the fleet: 64 VMs make 110 calls per second, which cost a thirtieth of what all
// requests cost.
//
// The limits on how late a change takes effect hold even if the reader dies, stops or is
// partitioned. Each VM tracks the time up to which it knows all changes, from its own
// reads or the reader's answers, and reads for itself before that time is too long ago.
const (
	// minVMsForSharedReads is the number of live VMs in a domain from which one VM reads
	// for all. With fewer VMs, the reader's more frequent reads cost as many calls as they
	// save.
	minVMsForSharedReads = 6
	// readWaitFraction is the fraction of maxDelay for which the reader's reads wait for
	// changes. readWaitFractionAfterChanges applies to the read that follows one with
	// changes: a read with changes confirms nothing after its start (feed.KnownUntil), so the
	// next one is short. Together with the pause after changes and the interval between two
	// reports, both stay below feed.MaxAgeFraction.
	readWaitFraction             = 0.35
	readWaitFractionAfterChanges = 0.1
	// batchPauseFraction is the fraction of maxDelay to pause after changes of backend
	// servers. Each swap changes an entry, and without the pause every VM would make a
	// call for each. Nobody waits for this pause, because keepers report swaps
	// immediately. readerBatchPauseFraction is the reader's pause.
	batchPauseFraction       = 0.45
	readerBatchPauseFraction = 0.15
	// feedPollInterval is how often a VM that does not read checks whether it has to.
	feedPollInterval = 50 * time.Millisecond
)

// relayKey is the rendezvous hash key for selecting a failure domain's relays and its
// reader: the lead relay and the reader should be the same VM.
const relayKey = "reader"

// reader returns the VM that reads the registry for the whole domain, or "" if each VM
// reads for itself.
func (m *members) reader(now time.Time) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.readerLocked(now)
}

// readerLocked is reader for callers that hold mu.
func (m *members) readerLocked(now time.Time) string { return m.currentRoles(now).reader }

// selectReader selects the reader among the live VMs of the domain. In a large fleet it is
// the lead relay, with which all other VMs of the domain exchange reports anyway.
func (m *members) selectReader(now time.Time, r *roles) string {
	var candidates []roleCandidate
	if !m.node.stopping.Load() {
		candidates = append(candidates, roleCandidate{m.node.config.VM, m.node.config.Capacity})
	}
	m.eachLiveLocked(now, func(report *entryvm.Report) {
		if !report.Leaving && report.Domain == m.node.config.Domain {
			candidates = append(candidates, roleCandidate{report.VM, report.Capacity})
		}
	})
	if len(candidates) < minVMsForSharedReads {
		return ""
	}
	if r.large {
		return r.relays[m.node.config.Domain][0]
	}
	return selectVM(relayKey, candidates)
}

// waitUntilReadDue blocks until this VM has to read the topic: because there is no other
// reader, or because what it knows is too old. It returns how long the read should wait
// for changes, and how long to pause after a read with changes.
func (n *Node) waitUntilReadDue(ctx context.Context, f *feed.State, changed bool) (wait, batchPause time.Duration, err error) {
	for {
		reader := n.members.reader(time.Now())
		now := n.config.BootClock()
		switch {
		case ctx.Err() != nil:
			return 0, 0, ctx.Err()
		case f.IsHeld(now) && len(n.members.snapshotSources(time.Now()).addresses) > 0:
			n.snapshots.askIfOld(f)
		case reader == "":
			return feed.Fraction(feed.MaxAgeFraction, f.MaxDelay), feed.Fraction(batchPauseFraction, f.MaxDelay), nil
		case reader == n.config.VM && !changed:
			return feed.Fraction(readWaitFraction, f.MaxDelay), feed.Fraction(readerBatchPauseFraction, f.MaxDelay), nil
		case reader == n.config.VM, f.IsStale(now), f.Age(now) > feed.Fraction(deputyAgeFraction, f.MaxDelay) && n.members.snapshotSources(time.Now()).isDeputy:
			return feed.Fraction(readWaitFractionAfterChanges, f.MaxDelay), feed.Fraction(readerBatchPauseFraction, f.MaxDelay), nil
		default:
			n.snapshots.askIfOld(f)
		}
		select {
		case <-time.After(feedPollInterval):
		case <-ctx.Done():
		}
	}
}

// addFeed adds the registry changes that the asker lacks to an answer, if this VM is the
// asker's reader.
func (n *Node) addFeed(asker entryvm.Report, answer *entryvm.Report) {
	if asker.Domain != n.config.Domain || n.members.reader(time.Now()) != n.config.VM {
		return
	}
	now := n.config.BootClock()
	answer.ConfigurationAge, answer.BackendsAge = n.configurationFeed.Age(now), n.backendsFeed.Age(now)
	// Read after the age, so that a version that arrives in between is not counted as
	// known to the asker.
	answer.Configuration = n.configurationVersion()
	batch, ok := n.backendsFeed.Since(registry.Cursor(asker.BackendsCursor))
	if !ok {
		return
	}
	if len(batch.List) > 0 {
		var encoded bytes.Buffer
		if err := gob.NewEncoder(&encoded).Encode(batch.List); err != nil {
			n.config.Logger.Error("changes of backend servers can't be encoded", telemetry.Reason(err))
			return
		}
		answer.Changes = encoded.Bytes()
	}
	answer.IsRegistryReader = true
	answer.ChangesFrom, answer.BackendsCursor = uint64(batch.From), uint64(batch.To)
}

// applyFeed applies the reader's answer to a report sent at sentAt. The age of its data is
// known only for an answer: a report that arrives unasked may have waited in this VM's
// socket while the VM was suspended.
func (n *Node) applyFeed(sentAt time.Duration, answer *entryvm.Report) {
	if !answer.IsRegistryReader || answer.Domain != n.config.Domain {
		return
	}
	if answer.Configuration <= n.configurationVersion() {
		n.configurationFeed.Confirm(sentAt - answer.ConfigurationAge)
	} else {
		n.snapshots.announce(answer.Configuration)
	}
	batch := feed.Batch{From: registry.Cursor(answer.ChangesFrom), To: registry.Cursor(answer.BackendsCursor)}
	if len(answer.Changes) > 0 {
		if err := gob.NewDecoder(bytes.NewReader(answer.Changes)).Decode(&batch.List); err != nil {
			n.config.Logger.Error("changes of backend servers from a peer can't be read", zap.String("peer", answer.VM), telemetry.Reason(err))
			return
		}
	}
	cursor, _ := n.backendsFeed.Position()
	if registry.EpochOf(answer.BackendsCursor) > registry.EpochOf(uint64(cursor)) {
		n.backendsFeed.Expire() // the reader's changes don't follow on this VM's cursor
	}
	if !n.backendsFeed.ApplyBatch(batch, n.applyChanges) {
		return
	}
	n.backendsFeed.Confirm(sentAt - answer.BackendsAge)
	if len(batch.List) > 0 {
		n.handleBackendChanges()
	}
}

func (n *Node) applyChanges(list []registry.Change) { n.backends.applyChanges(time.Now(), list) }

// followConfiguration keeps the newest configuration in force until ctx ends.
func (n *Node) followConfiguration(ctx context.Context) {
	f, changed := &n.configurationFeed, false
	for {
		wait, _, err := n.waitUntilReadDue(ctx, f, changed)
		if err != nil {
			return
		}
		changed = n.readConfiguration(ctx, f, wait)
	}
}

// readConfiguration reads the configuration once. It reports whether the read counts as
// one with changes: so do a first read, a lost history and an unusable version.
func (n *Node) readConfiguration(ctx context.Context, f *feed.State, wait time.Duration) (changed bool) {
	start := n.config.BootClock()
	cursor, known := f.Position()
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
		f.Reset(0, false)
		n.snapshots.request()
		return true
	case errors.Is(err, registry.ErrUnavailable):
		if newest := n.members.newestConfiguration(); newest > n.configurationVersion() && ctx.Err() == nil {
			n.config.Logger.Warn("newer configuration can't be read", zap.Uint64("version", n.configurationVersion()),
				zap.Uint64("newest", newest), zap.Duration("took", n.config.BootClock()-start), telemetry.Reason(err))
		}
		n.snapshots.backOff(f)
		n.recordRegistryFailure(ctx, err)
		return false
	case err != nil:
		// The version can't be translated: the previous one stays in force.
		untranslatedConfigurations.Inc()
		n.config.Logger.Error("configuration can't be used", telemetry.Reason(err))
	}
	n.recordRegistrySuccess()
	f.RecordSuccess()
	f.Reset(cursor, true)
	if next != nil {
		n.applyConfiguration(next, "registry")
		n.members.notifyDomain()
	}
	changed = next != nil || err != nil || !known
	f.Confirm(feed.KnownUntil(start, n.config.BootClock(), wait, changed))
	return changed
}

// followBackends keeps the list of backend servers up to date until ctx ends.
func (n *Node) followBackends(ctx context.Context) {
	f, changed := &n.backendsFeed, false
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

// readBackends reads the list of backend servers, or its changes, once. It reports whether
// there were changes.
func (n *Node) readBackends(ctx context.Context, f *feed.State, wait time.Duration) (changed bool) {
	start := n.config.BootClock()
	cursor, known := f.Position()
	if !known {
		list, err := n.config.Peers.Registry.Backends(ctx)
		if err != nil {
			n.snapshots.backOff(f)
			n.recordRegistryFailure(ctx, err)
			return false
		}
		n.recordRegistrySuccess()
		f.RecordSuccess()
		n.prepareWholeList(list)
		if f.Advance(list.Next, 0, func() { n.backends.replace(time.Now(), list.List) }) { // else another VM's is newer
			f.Confirm(start)
			n.handleBackendChanges()
		}
		return false
	}
	changes, err := n.config.Peers.Registry.AwaitBackends(ctx, cursor, wait)
	if errors.Is(err, registry.ErrHistoryLost) {
		n.config.Logger.Info("history of backend servers lost, reading the whole list")
		f.Reset(0, false)
		n.snapshots.request()
		return false
	}
	if err != nil {
		n.snapshots.backOff(f)
		n.recordRegistryFailure(ctx, err)
		return false
	}
	n.recordRegistrySuccess()
	f.RecordSuccess()
	changed = len(changes.List) > 0
	if !f.ApplyBatch(feed.Batch{From: cursor, To: changes.Next, List: changes.List}, n.applyChanges) {
		return false // the reader's answer was newer
	}
	if !changes.More {
		f.Confirm(feed.KnownUntil(start, n.config.BootClock(), wait, changed))
	}
	if changed {
		n.handleBackendChanges()
		n.members.notifyDomain()
	}
	return changed && !changes.More
}

// confirmBackends reads what has changed in the list of backend servers, and reports whether the list has all that
// was written before the call. What only followBackends can settle, as a lost history, is left to it.
func (n *Node) confirmBackends(ctx context.Context) bool {
	f, start, applied := &n.backendsFeed, n.config.BootClock(), false
	defer func() {
		if applied {
			n.handleBackendChanges()
		}
	}()
	for {
		cursor, known := f.Position()
		if !known {
			return false
		}
		changes, err := n.config.Peers.Registry.AwaitBackends(ctx, cursor, 0)
		if err != nil {
			n.config.Logger.Debug("list of backend servers not confirmed", telemetry.Reason(err))
			return false
		}
		if f.ApplyBatch(feed.Batch{From: cursor, To: changes.Next, List: changes.List}, n.applyChanges) {
			applied = applied || len(changes.List) > 0
		} else if newest, known := f.Position(); !known || newest < changes.Next {
			return false
		}
		if !changes.More {
			f.Confirm(start)
			return true
		}
	}
}

// prepareWholeList is called before a whole list of backend servers replaces the known one.
func (n *Node) prepareWholeList(list registry.Backends) {
	if !n.backendsFeed.RecordEpoch(list.Next) {
		return
	}
	n.config.Logger.Warn("list of backend servers read anew, as the registry came back without its newest records",
		zap.Uint64("epoch", registry.EpochOf(uint64(list.Next))), zap.Int("listed", len(list.List)))
	n.backends.handleRegistryRestore(time.Now())
}

var (
	configurationConfirmIntervals = metrics.NewHistogram(`bergamotreel_registry_renewed_seconds{topic="configuration"}`)
	backendsConfirmIntervals      = metrics.NewHistogram(`bergamotreel_registry_renewed_seconds{topic="backends"}`)
)
