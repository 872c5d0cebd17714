package node

import (
	"slices"
	"sync"

	"bergamotreel/internal/gossip"
	"bergamotreel/internal/planner"
	"bergamotreel/internal/rendezvous"
)

// plannerTable assigns units to the live entry VMs that plan them. VMs that see the same
// set of live VMs agree on it. If they don't, two VMs plan a unit, which only adds log
// appends; safety does not depend on it.
type plannerTable struct {
	self string
	// activePeers returns the other entry VMs that are live and not leaving.
	activePeers func() []gossip.Peer
	// isLeaving reports whether this VM is leaving.
	isLeaving func() bool

	mu sync.Mutex
	// appliedActivePeers and appliedLeaving are the results of activePeers and isLeaving
	// that table was built from.
	appliedActivePeers []gossip.Peer
	appliedLeaving     bool
	table              *rendezvous.Table
	// ownBuckets holds the buckets of this VM. ownVersion increases whenever they change.
	ownBuckets []int
	ownVersion uint64
	// liveVersion counts the changes to the set of live VMs.
	liveVersion uint64
}

func newPlannerTable(self string, activePeers func() []gossip.Peer, isLeaving func() bool) *plannerTable {
	return &plannerTable{self: self, activePeers: activePeers, isLeaving: isLeaving, appliedLeaving: true, table: rendezvous.NewTable()}
}

// currentShare returns this VM's share of the planning among the VMs that are live now.
func (t *plannerTable) currentShare() planner.Share {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return planner.Share{Version: t.ownVersion, LiveVersion: t.liveVersion, OwnsUnit: t.ownsUnit, PlannerOf: t.plannerOf, NextPlannerOf: t.nextPlannerOf}
}

// ownsUnit reports whether this VM plans the unit as of the last refresh.
func (t *plannerTable) ownsUnit(unit string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Pick(unit) == t.self
}

// plannerOf returns the VM that plans the unit as of the last refresh.
func (t *plannerTable) plannerOf(unit string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Pick(unit)
}

// nextPlannerOf returns the VM that will plan the unit once its planner is gone, as of
// the last refresh.
func (t *plannerTable) nextPlannerOf(unit string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.NextOwner(rendezvous.BucketOf(unit))
}

// currentPlannerOf refreshes the table and returns the VM that plans the unit.
func (t *plannerTable) currentPlannerOf(unit string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.table.Pick(unit)
}

// refresh applies changes of the live VMs to the table. The caller must hold mu.
func (t *plannerTable) refresh() {
	active, leaving := t.activePeers(), t.isLeaving()
	if leaving == t.appliedLeaving && slices.EqualFunc(active, t.appliedActivePeers, isSameVM) {
		return
	}
	t.appliedActivePeers, t.appliedLeaving = active, leaving
	live := make([]string, 0, len(active)+1)
	if !leaving {
		live = append(live, t.self)
	}
	for _, other := range active {
		live = append(live, other.VM)
	}
	t.table.SetNodes(live)
	t.liveVersion++
	own := t.table.OwnedBuckets(t.self)
	if !slices.Equal(own, t.ownBuckets) {
		t.ownBuckets = own
		t.ownVersion++
	}
}

func isSameVM(a, b gossip.Peer) bool { return a.VM == b.VM }
