package hosted

import (
	"context"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/streamversions"
	"bergamotreel/refusal"
	"bergamotreel/routing/streamversion"
)

// streamFleet implements streamversions.Fleet.
type streamFleet struct{ node *Node }

func (f streamFleet) PossibleKeepers(now time.Time) []streamversions.Keeper {
	return f.node.members.possibleStreamKeepers(now)
}

func (f streamFleet) VersionsView(now time.Time, service string) (view streamversion.View) {
	confirmedAt := now.Add(-f.node.backendsFeed.Age(f.node.config.BootClock()))
	f.node.backends.withVersions(func(h *streamversion.History) { view = h.View(now, service, confirmedAt) })
	return view
}

func (f streamFleet) IsListStale() bool {
	return f.node.backendsFeed.IsStale(f.node.config.BootClock())
}

func (f streamFleet) ConfirmList(ctx context.Context) bool { return f.node.confirmBackends(ctx) }

func (f streamFleet) HasSeveralVersions(now time.Time, service string) bool {
	return f.node.backends.hasSeveralVersions(now, service)
}

func (f streamFleet) AllVersions(now time.Time) (versions map[string][]string, complete bool) {
	f.node.backends.withVersions(func(h *streamversion.History) { versions, complete = h.All(now), h.IsComplete(now) })
	return versions, complete && !f.IsListStale()
}

func (f streamFleet) RecoverVersions(now time.Time, versions map[string][]string, complete bool) {
	f.node.backends.withVersions(func(h *streamversion.History) { h.Recover(now, versions, complete) })
}

func (f streamFleet) KeepsStreams(now time.Time) bool { return f.node.members.keepsStreams(now) }

// ExpectStream implements serving.ForwardDirectory.
func (n *Node) ExpectStream(stream streamversion.Stream) { n.streamVersions.ExpectStream(stream) }

// RecordStream implements serving.ForwardDirectory.
func (n *Node) RecordStream(stream streamversion.Stream, origin streamversion.Origin) {
	if streamversion.IsUnlisted(origin.Version) {
		n.backends.recordUnlistedVersion(time.Now(), stream.Service, origin.Version)
	}
	if stream.Model != "" && origin.Weights != 0 { // the engine's entry may be older than its weights
		n.backends.recordUnlistedVersion(time.Now(), streamversion.ModelScope(stream.Service, stream.Model), streamversion.FormatWeights(origin.Weights))
	}
	n.streamVersions.RecordStream(stream, origin)
}

// FindStreamVersion implements serving.ForwardDirectory.
func (n *Node) FindStreamVersion(ctx context.Context, stream streamversion.Stream) (streamversion.Origin, *refusal.Refusal) {
	origin, refused := n.streamVersions.FindVersion(ctx, stream)
	origin.Version = n.backends.resolveVersion(stream.Service, origin.Version)
	return origin, refused
}

// RecordWeights implements serving.ForwardDirectory.
func (n *Node) RecordWeights(backend, model string, weights int64) {
	n.backends.mu.Lock()
	defer n.backends.mu.Unlock()
	if b := n.backends.entries[backend]; b != nil {
		b.weights[model] = weights
	}
}

// StreamVersions implements entryvm.Coordinator.
func (n *Node) StreamVersions(args entryvm.StreamVersionsArgs) { n.streamVersions.Add(args) }

// FindStream implements entryvm.Coordinator.
func (n *Node) FindStream(args entryvm.FindStreamArgs) entryvm.FindStreamReply {
	return n.streamVersions.Find(args)
}

// keepsStreams reports whether other VMs may take this VM for a keeper of streams.
func (m *members) keepsStreams(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	roles := m.currentRoles(now)
	return !m.node.stopping.Load() && (!roles.large || roles.isRelayOf(m.node.config.Domain, m.node.config.VM))
}

// withVersions calls a function with the versions that streams may have begun at.
func (t *backendTable) withVersions(use func(*streamversion.History)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	use(t.versionHistory)
}

// possibleStreamKeepers returns the VMs that other VMs may take for keepers of streams: the live ones, in a
// large fleet only the relays, to which all VMs are connected anyway. In a small fleet this includes those
// that aren't live here: after a partition, a VM is back before it counts as live.
func (m *members) possibleStreamKeepers(now time.Time) []streamversions.Keeper {
	m.mu.Lock()
	defer m.mu.Unlock()
	roles := m.currentRoles(now)
	var keepers []streamversions.Keeper
	for _, p := range m.peers {
		r := &p.report
		if p.lastSeen.IsZero() || r.Address == "" {
			continue
		}
		isLive := m.isLive(now, p) && !r.Leaving && (!roles.large || roles.isRelayOf(r.Domain, r.VM))
		if isLive || !roles.large {
			keepers = append(keepers, streamversions.Keeper{VM: r.VM, Domain: r.Domain, Address: r.Address, IsLive: isLive})
		}
	}
	return keepers
}

// servesOnlyOtherVersions reports whether backend servers accept requests for the service, but none of
// the software version does.
func (t *backendTable) servesOnlyOtherVersions(service, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	others := false
	for _, b := range t.entriesOf(service) {
		if b.isLeaving() || b.isUnreachable() {
			continue
		}
		if b.softwareVersion() == version {
			return false
		}
		others = true
	}
	return others
}

// hasSeveralVersions reports whether a stream of the service may have begun at several versions.
func (t *backendTable) hasSeveralVersions(now time.Time, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.versionHistory.HasSeveral(now, service)
}
