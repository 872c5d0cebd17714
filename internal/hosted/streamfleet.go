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

func (f streamFleet) VersionsView(now time.Time, service string) streamversion.View {
	confirmedAt := now.Add(-f.node.backendsFeed.Age(f.node.config.BootClock()))
	return f.node.backends.versionsView(now, service, confirmedAt)
}

func (f streamFleet) IsListStale() bool {
	return f.node.backendsFeed.IsStale(f.node.config.BootClock())
}

func (f streamFleet) ConfirmList(ctx context.Context) bool { return f.node.confirmBackends(ctx) }

func (f streamFleet) HasSeveralVersions(now time.Time, service string) bool {
	return f.node.backends.hasSeveralVersions(now, service)
}

func (f streamFleet) AllVersions(now time.Time) (versions map[string][]string, complete bool) {
	versions, complete = f.node.backends.allVersions(now)
	return versions, complete && !f.IsListStale()
}

func (f streamFleet) RecoverVersions(now time.Time, versions map[string][]string, complete bool) {
	f.node.backends.recoverVersions(now, versions, complete)
}

func (f streamFleet) KeepsStreams(now time.Time) bool { return f.node.members.keepsStreams(now) }

// ExpectStream implements serving.ForwardDirectory.
func (n *Node) ExpectStream(stream streamversion.Stream) { n.streamVersions.ExpectStream(stream) }

// RecordStream implements serving.ForwardDirectory.
func (n *Node) RecordStream(stream streamversion.Stream, version string) {
	if streamversion.IsUnlisted(version) {
		n.backends.recordUnlistedVersion(time.Now(), stream.Service, version)
	}
	n.streamVersions.RecordStream(stream, version)
}

// FindStreamVersion implements serving.ForwardDirectory.
func (n *Node) FindStreamVersion(ctx context.Context, stream streamversion.Stream) (string, *refusal.Refusal) {
	version, refused := n.streamVersions.FindVersion(ctx, stream)
	return n.backends.resolveVersion(stream.Service, version), refused
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

// allVersions returns versions of each service.
func (t *backendTable) allVersions(now time.Time) (versions map[string][]string, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.versionHistory.All(now), t.versionHistory.IsComplete(now)
}

// recoverVersions adds the versions that served before this VM knew the list.
func (t *backendTable) recoverVersions(now time.Time, versions map[string][]string, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versionHistory.Recover(now, versions, complete)
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

// versionsView returns what this VM knows of the software versions that a stream of the service may have begun
// at, given when the list was last known to be up to date.
func (t *backendTable) versionsView(now time.Time, service string, confirmedAt time.Time) streamversion.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.versionHistory.View(now, service, confirmedAt)
}

// hasSeveralVersions reports whether a stream of the service may have begun at several versions.
func (t *backendTable) hasSeveralVersions(now time.Time, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.versionHistory.HasSeveral(now, service)
}
