package node

import (
	"slices"
	"sync"

	"bergamotreel/internal/gossip"
	"bergamotreel/internal/planner"
	"bergamotreel/internal/rendezvous"
)

// shares is which live entry VM plans which unit. VMs that see the same others
// live agree on it; where they don't, two plan a unit: that costs appends, never
// safety.
type plannerTable struct {
	self string
	// others are the other entry VMs that are there and not leaving.
	presentPeers func() []gossip.Peer
	// leaving is whether this one is.
	isLeaving func() bool

	mu sync.Mutex
	// seen and left are the others and leaving as they are in the table.
	appliedPeers   []gossip.Peer
	appliedLeaving bool
	table          *rendezvous.Table
	// own are the buckets of this VM; version grows whenever they change.
	ownBuckets []int
	ownVersion uint64
	// changes counts the changes of the live VMs.
	liveVersion uint64
}

func newPlannerTable(self string, presentPeers func() []gossip.Peer, isLeaving func() bool) *plannerTable {
	return &plannerTable{self: self, presentPeers: presentPeers, isLeaving: isLeaving, appliedLeaving: true, table: rendezvous.NewTable()}
}

// share is what this VM plans among the VMs that are live now.
func (s *plannerTable) currentShare() planner.Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	return planner.Share{Version: s.ownVersion, LiveVersion: s.liveVersion, OwnsUnit: s.ownsUnit, PlannerOf: s.plannerOf, NextPlannerOf: s.nextPlannerOf}
}

// mine tells whether this VM plans the unit, by the newest refresh.
func (s *plannerTable) ownsUnit(unit string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Pick(unit) == s.self
}

// now is the VM that plans the unit, next the one that will once that is gone, by
// the newest refresh.
func (s *plannerTable) plannerOf(unit string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Pick(unit)
}

func (s *plannerTable) nextPlannerOf(unit string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.NextOwner(rendezvous.BucketOf(unit))
}

// planner is the VM that plans the unit.
func (s *plannerTable) currentPlannerOf(unit string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	return s.table.Pick(unit)
}

// refresh takes the live VMs into the table. Call with mu held.
func (s *plannerTable) refresh() {
	others, leaving := s.presentPeers(), s.isLeaving()
	if leaving == s.appliedLeaving && slices.EqualFunc(others, s.appliedPeers, isSameVM) {
		return
	}
	s.appliedPeers, s.appliedLeaving = others, leaving
	live := make([]string, 0, len(others)+1)
	if !leaving {
		live = append(live, s.self)
	}
	for _, other := range others {
		live = append(live, other.VM)
	}
	s.table.SetNodes(live)
	s.liveVersion++
	own := s.table.OwnedBuckets(s.self)
	if !slices.Equal(own, s.ownBuckets) {
		s.ownBuckets = own
		s.ownVersion++
	}
}

func isSameVM(a, b gossip.Peer) bool { return a.VM == b.VM }
