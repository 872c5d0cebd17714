package hosted

import (
	"context"
	"time"

	"bergamotreel/engine"
	"bergamotreel/routing/streamversion"
	"bergamotreel/service"
)

// askStart asks an engine for its start.
func (n *Node) askStart(ctx context.Context, target service.Target) (start int64, err error) {
	begun := time.Now()
	if starts := n.config.Peers.Starts; starts != nil {
		start, err = starts.Start(ctx, target)
	} else {
		var status engine.Status
		status, err = n.config.Peers.Engines.Status(ctx, target.Address)
		start = status.Started
	}
	if err == nil && start == target.Started {
		n.serving.RecordAnswer(target.ID, begun)
	}
	return start, err
}

// DoubtStart implements serving.ForwardDirectory.
func (n *Node) DoubtStart(target service.Target) { n.startChecks.Doubt(target) }

// IsStartConfirmed implements serving.ForwardDirectory. Only engines report their start.
func (n *Node) IsStartConfirmed(target service.Target, answeredAt time.Time) bool {
	b, listed := n.backends.get(target.ID)
	return !listed || !b.IsEngine || b.start == target.Started && n.startChecks.IsConfirmed(target, answeredAt)
}

// VerifyStart implements serving.ForwardDirectory. Only engines report their start. One whose entry has been removed
// may still serve for a while.
func (n *Node) VerifyStart(ctx context.Context, target service.Target) bool {
	b, listed := n.backends.get(target.ID)
	if listed && b.start != target.Started {
		return false
	}
	return listed && !b.IsEngine || n.startChecks.Verify(ctx, target)
}

// softwareVersion returns the software version of the newest known instance. The entry names that of the
// instance that wrote it.
func (b *backend) softwareVersion() string {
	if b.start == b.Started || b.Version == "" {
		return b.Version
	}
	return streamversion.UnlistedVersion(b.ID, b.start)
}

// recordUnlistedVersion records that a stream of the service began at a version that isn't listed.
func (t *backendTable) recordUnlistedVersion(now time.Time, service, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versionHistory.RecordBegin(now, service, version)
}

// resolveVersion returns the listed version of the start that an unlisted one is named after, and any other version
// unchanged.
func (t *backendTable) resolveVersion(service, version string) string {
	if !streamversion.IsUnlisted(version) {
		return version
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.entriesOf(service) {
		if b.start == b.Started && streamversion.UnlistedVersion(b.ID, b.start) == version {
			return b.Version
		}
	}
	return version
}
