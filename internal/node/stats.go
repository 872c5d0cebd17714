package node

import (
	"time"

	"bergamotreel/admission"
	"bergamotreel/internal/fleet"
	"bergamotreel/routing"
	"bergamotreel/state"
	"bergamotreel/vmlist"
)

// Stats is what the metrics tell of this entry VM.
type Stats struct {
	// Applied and End are offsets of the control stream, Lag their difference.
	Applied, End, Lag uint64
	// Skipped counts control records that no VM could read.
	Skipped uint64
	// SkippedClaims counts records of the stream of claims likewise.
	SkippedClaims uint64
	// SnapshotsWritten counts those that this VM wrote since its start, of both
	// streams.
	SnapshotsWritten uint64
	// LogReachable and Ready are as in the operators' status.
	LogReachable, Ready bool
	// LiveVMs are the entry VMs that are heard, ListedVMs those on the VM list;
	// both include this one.
	LiveVMs, ListedVMs int
	// SessionHeld is whether this VM has a keeper's session, EnginesKept how many
	// engines it keeps.
	SessionHeld bool
	EnginesKept int
	// Contested is whether another process runs under this VM's name.
	Contested bool
	// EnginesListed are the engines on the VM list, EnginesUnkept those of them
	// that nobody keeps.
	EnginesListed, EnginesUnkept int
	// Open counts requests here; Waiting those for a backend server, InFlight
	// those on one.
	Open, Waiting, InFlight int
	// Refusals counts them here since the start, by code.
	Refusals map[string]uint64
}

// Stats reads them.
func (n *Node) Stats() Stats {
	now := time.Now()
	position := operators{n}.logPosition(now)
	stats := Stats{
		Applied: position.Applied, End: position.End, Lag: position.Lag,
		LogReachable: position.Reachable, Ready: n.Ready() == nil,
		LiveVMs: n.gossip.VMs() + 1, ListedVMs: len(n.fleet.VMs(vmlist.KindEntry)),
		SkippedClaims: n.claims.Skipped(), SnapshotsWritten: n.control.SnapshotsWritten() + n.claims.SnapshotsWritten(),
		Open: n.serving.OpenRequests(), Refusals: n.refused.byCode(),
	}
	_, stats.Contested = n.keeper.FindDuplicate(now)
	n.readEngines(&stats, n.fleet.Engines())
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

func (n *Node) readEngines(stats *Stats, engines []fleet.Engine) {
	session := n.keeper.Session()
	stats.SessionHeld = session != 0
	stats.EnginesListed = len(engines)
	n.control.View(func(s *state.State) {
		stats.Skipped = s.SkippedRecords
		if session != 0 {
			stats.EnginesKept = len(s.EnginesKeptBy(session))
		}
		for _, e := range engines {
			if agreed := s.Engines[e.VM.Address]; agreed == nil || agreed.KeeperSession == 0 {
				stats.EnginesUnkept++
			}
		}
	})
}
