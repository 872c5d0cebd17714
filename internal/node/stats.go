package node

import (
	"time"

	"bergamotreel/admission"
	"bergamotreel/internal/fleet"
	"bergamotreel/routing"
	"bergamotreel/state"
	"bergamotreel/vmlist"
)

// Stats holds the values of this entry VM's metrics.
type Stats struct {
	// Applied and End are offsets in the control stream. Lag is End - Applied.
	Applied, End, Lag uint64
	// SkippedRecords counts control records that no VM could read, SkippedClaims such
	// records of the streams of claims.
	SkippedRecords uint64
	SkippedClaims  uint64
	// SnapshotsWritten counts the snapshots of control records and claims that this VM
	// has written since its start.
	SnapshotsWritten uint64
	// LogReachable and Ready have the same meaning as in the operators' status.
	LogReachable, Ready bool
	// LiveVMs counts the live entry VMs, ListedVMs those on the VM list. Both include this
	// one.
	LiveVMs, ListedVMs int
	// SessionHeld is whether this VM holds a keeper session. EnginesKept is the number of
	// engines that it keeps.
	SessionHeld bool
	EnginesKept int
	// HasDuplicateProcess is whether another process runs with this VM's ID.
	HasDuplicateProcess bool
	// EnginesListed counts the engines on the VM list, EnginesUnkept those of them without
	// a keeper.
	EnginesListed, EnginesUnkept int
	// OpenRequests counts all requests at this VM, Waiting those that wait for a backend
	// server and InFlight those that run on one.
	OpenRequests, Waiting, InFlight int
	// Refusals counts this VM's refusals since its start, by code.
	Refusals map[string]uint64
}

// Stats returns the current values of the metrics.
func (n *Node) Stats() Stats {
	now := time.Now()
	position := operators{n}.logPosition(now)
	stats := Stats{
		Applied: position.Applied, End: position.End, Lag: position.Lag,
		LogReachable: position.Reachable, Ready: n.Ready() == nil,
		LiveVMs: n.gossip.KnownVMCount() + 1, ListedVMs: len(n.fleet.VMs(vmlist.KindEntry)),
		SkippedClaims: n.claims.SkippedRecords(), SnapshotsWritten: n.control.SnapshotsWritten() + n.claims.SnapshotsWritten(),
		OpenRequests: n.serving.OpenRequests(), Refusals: n.refusalCounts.byCode(),
	}
	_, stats.HasDuplicateProcess = n.keeper.FindDuplicate(now)
	n.countEngines(&stats, n.fleet.Engines())
	n.serving.WithLockedState(func(a *admission.Controller, r *routing.Router) {
		for _, demand := range a.Demand(now) {
			stats.Waiting += demand.Waiting
		}
		for _, running := range r.InFlight() {
			stats.InFlight += running
		}
	})
	return stats
}

func (n *Node) countEngines(stats *Stats, engines []fleet.Engine) {
	session := n.keeper.Session()
	stats.SessionHeld = session != 0
	stats.EnginesListed = len(engines)
	n.control.View(func(s *state.State) {
		stats.SkippedRecords = s.SkippedRecords
		if session != 0 {
			stats.EnginesKept = len(s.EnginesKeptBy(session))
		}
		for _, e := range engines {
			if engineState := s.Engines[e.VM.Address]; engineState == nil || engineState.KeeperSession == 0 {
				stats.EnginesUnkept++
			}
		}
	})
}
