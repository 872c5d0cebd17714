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
type shares struct {
	self string
	// others are the other entry VMs that are there and not leaving.
	others func() []gossip.Peer
	// leaving is whether this one is.
	leaving func() bool

	mu sync.Mutex
	// seen and left are the others and leaving as they are in the table.
	seen  []gossip.Peer
	left  bool
	table *rendezvous.Table
	// own are the buckets of this VM; version grows whenever they change.
	own     []int
	version uint64
	// changes counts the changes of the live VMs.
	changes uint64
}

func newShares(self string, others func() []gossip.Peer, leaving func() bool) *shares {
	return &shares{self: self, others: others, leaving: leaving, left: true, table: rendezvous.NewTable()}
}

// share is what this VM plans among the VMs that are live now.
func (s *shares) share() planner.Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	return planner.Share{Version: s.version, LiveVersion: s.changes, OwnsUnit: s.mine, PlannerOf: s.now, NextPlannerOf: s.next}
}

// mine tells whether this VM plans the unit, by the newest refresh.
func (s *shares) mine(unit string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Pick(unit) == s.self
}

// now is the VM that plans the unit, next the one that will once that is gone, by
// the newest refresh.
func (s *shares) now(unit string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Pick(unit)
}

func (s *shares) next(unit string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.NextOwner(rendezvous.BucketOf(unit))
}

// planner is the VM that plans the unit.
func (s *shares) planner(unit string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	return s.table.Pick(unit)
}

// refresh takes the live VMs into the table. Call with mu held.
func (s *shares) refresh() {
	others, leaving := s.others(), s.leaving()
	if leaving == s.left && slices.EqualFunc(others, s.seen, sameVM) {
		return
	}
	s.seen, s.left = others, leaving
	live := make([]string, 0, len(others)+1)
	if !leaving {
		live = append(live, s.self)
	}
	for _, other := range others {
		live = append(live, other.VM)
	}
	s.table.SetNodes(live)
	s.changes++
	own := s.table.OwnedBuckets(s.self)
	if !slices.Equal(own, s.own) {
		s.own = own
		s.version++
	}
}

func sameVM(a, b gossip.Peer) bool { return a.VM == b.VM }
