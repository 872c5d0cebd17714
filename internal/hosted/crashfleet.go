package hosted

import (
	"context"
	"time"

	"bergamotreel/internal/crash"
)

// crashFleet implements crash.Fleet.
type crashFleet struct{ node *Node }

func (f crashFleet) FindServer(id string) (crash.Server, bool) {
	b, listed := f.node.backends.get(id)
	if !listed {
		return crash.Server{}, false
	}
	return crash.Server{ID: b.ID, Address: b.Address, Service: b.Service, IsEngine: b.IsEngine, Leaving: b.isLeaving(),
		Unreachable: b.isUnreachable(), ListedStart: b.Started, Start: b.start}, true
}

func (f crashFleet) CountServers() int { return f.node.backends.count() }

func (f crashFleet) ProbeProcess(ctx context.Context, b *crash.Server, askIfSilent bool) crash.ProcessState {
	return f.node.paths.probeProcess(ctx, b, askIfSilent)
}

func (f crashFleet) RecordStart(id string, start int64) {
	if f.node.backends.recordStart(time.Now(), id, start) {
		f.node.handleBackendChanges()
	}
}

func (f crashFleet) MarkEnded(id string) { f.node.backends.markUnreachable(time.Now(), id, true) }

func (f crashFleet) NotifyPeers() { f.node.members.notifyAll() }

func (f crashFleet) CanActAsPlanner(now time.Time) bool { return f.node.canActAsPlanner(now) }
