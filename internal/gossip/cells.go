package gossip

import (
	"slices"
	"strings"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/digest"
)

const (
	// maxSumEntries bounds each list of a sum to the cell's most important entries.
	maxSumEntries = 16
	// A sum for the members of a cell that covers VMs outside it is named after that
	// cell, with one of these prefixes. outsidePrefix: a sum of all VMs outside the
	// cell. restPrefix: a sum of all VMs whose digests the receiver doesn't get, because
	// it exchanges digests only with its group's relays.
	outsidePrefix = "beyond/"
	restPrefix    = "rest/"
)

// membership lists the entry VMs and locates this VM among their cells. It is
// rebuilt before each round of exchanges.
type membership struct {
	self    digest.Member
	members []digest.Member
	// listedPeers are the other VMs on the VM list that are not leaving.
	listedPeers []Peer
	cells       *digest.Fleet
	// place is set only if the fleet is divided into cells.
	place digest.Place
	// groupVMs and relayVMs are the IDs of this VM's group members and their relays.
	groupVMs, relayVMs map[string]bool
}

// newMembership divides the members into cells and locates self among them.
func newMembership(self digest.Member, members []digest.Member, topology digest.Topology, round uint64) *membership {
	m := &membership{self: self, members: members, cells: topology.Divide(members, round)}
	if m.cells.IsFlat() {
		return m
	}
	m.place = m.cells.Place(self)
	m.groupVMs, m.relayVMs = vmSet(m.place.Members), vmSet(m.place.Relays)
	return m
}

func vmSet(members []digest.Member) map[string]bool {
	all := make(map[string]bool, len(members))
	for _, m := range members {
		all[m.VM] = true
	}
	return all
}

// receivesDigestOf reports whether this VM exchanges digests with vm directly and
// so should have its own digest, not only sums that include it.
func (m *membership) receivesDigestOf(vm string) bool {
	return m.cells.IsFlat() || (m.groupVMs[vm] && (m.place.IsMesh || m.relayVMs[m.self.VM] || m.relayVMs[vm]))
}

// scopedDigests holds the digests and sums known in a fleet that is divided into
// cells, by the cell they cover. No VM is counted twice: VMs of the own group are
// covered by their digests, all others by sums.
type scopedDigests struct {
	// groupDigests are the digests of the live VMs of the own group.
	groupDigests []entryvm.Digest
	// groupSums cover the other groups of the own domain, domainSums the other
	// domains of the own region, regionSums the other regions. Only relays have them.
	groupSums, domainSums, regionSums []entryvm.Digest
	// These sums cover all VMs outside the own group, domain and region. They come
	// from a relay that has the sums of the larger cells.
	receivedOutsideGroup, receivedOutsideDomain, receivedOutsideRegion []entryvm.Digest
	// restSums cover all VMs whose digests a VM that exchanges with its relays only
	// does not receive.
	restSums []entryvm.Digest
}

// scopeDigests selects the live digests and sums that are needed at this VM's place and
// sorts them by the cell they cover.
func (m *membership) scopeDigests(live, sums []entryvm.Digest) scopedDigests {
	var s scopedDigests
	for _, d := range live {
		if m.groupVMs[d.VM] {
			s.groupDigests = append(s.groupDigests, d)
		}
	}
	own := []string{m.place.Group, m.place.Domain, m.place.Region}
	inDomain := strings.Replace(m.place.Domain, "domain/", "group/", 1) + "/"
	inRegion := strings.Replace(m.place.Region, "region/", "domain/", 1) + "/"
	for _, d := range sums {
		switch cell := d.Cell; {
		case slices.Contains(own, cell):
		case strings.HasPrefix(cell, inDomain):
			s.groupSums = append(s.groupSums, d)
		case strings.HasPrefix(cell, inRegion):
			s.domainSums = append(s.domainSums, d)
		case strings.HasPrefix(cell, "region/"):
			s.regionSums = append(s.regionSums, d)
		case cell == outsidePrefix+m.place.Group:
			s.receivedOutsideGroup = append(s.receivedOutsideGroup, d)
		case cell == outsidePrefix+m.place.Domain:
			s.receivedOutsideDomain = append(s.receivedOutsideDomain, d)
		case cell == outsidePrefix+m.place.Region:
			s.receivedOutsideRegion = append(s.receivedOutsideRegion, d)
		case cell == restPrefix+m.place.Group && !m.place.IsMesh && !m.relayVMs[m.self.VM]:
			s.restSums = append(s.restSums, d)
		}
	}
	return s
}

// outsideRegion returns sums that together cover all VMs outside the own region,
// as outsideDomain and outsideGroup do for their cells. The sums that this VM
// combines itself may lack cells whose relays exchange with another VM of its cell
// because they see a different fleet, so the set that covers more VMs is used.
func (s scopedDigests) outsideRegion() []entryvm.Digest {
	return selectLargerCoverage(s.regionSums, s.receivedOutsideRegion)
}

func (s scopedDigests) outsideDomain() []entryvm.Digest {
	return selectLargerCoverage(slices.Concat(s.domainSums, s.outsideRegion()), s.receivedOutsideDomain)
}

func (s scopedDigests) outsideGroup() []entryvm.Digest {
	return selectLargerCoverage(selectLargerCoverage(slices.Concat(s.groupSums, s.outsideDomain()), s.receivedOutsideGroup), s.restSums)
}

// selectLargerCoverage returns received if it covers more VMs than own, else own.
func selectLargerCoverage(own, received []entryvm.Digest) []entryvm.Digest {
	if countVMs(received) > countVMs(own) {
		return received
	}
	return own
}

// countVMs returns how many VMs the sums cover.
func countVMs(sums []entryvm.Digest) int {
	n := 0
	for _, d := range sums {
		n += max(d.VMs, 1)
	}
	return n
}

// digestsFor returns the digests and sums to send to a peer at the given level. A
// sum of the VMs outside a cell is sent only within that cell and never includes a
// received sum of its own kind: otherwise two VMs would keep sending a dead VM's
// figures back and forth, always with a recent age. A sum of all VMs outside the
// group is three times as long as a digest and needed less precisely, so it is sent
// within the group only if includeOutsideSum is set.
func (m *membership) digestsFor(own entryvm.Digest, s scopedDigests, level digest.Level, to string, includeOutsideSum bool) []entryvm.Digest {
	sum := func(cell string, parts ...[]entryvm.Digest) entryvm.Digest {
		return digest.Summarize(own, cell, slices.Concat(parts...), maxSumEntries)
	}
	self := []entryvm.Digest{own}
	var out []entryvm.Digest
	add := func(cell string, parts []entryvm.Digest) {
		if len(parts) > 0 {
			out = append(out, sum(cell, parts))
		}
	}
	switch level {
	case digest.LevelGroup:
		out = self
		outside := slices.Concat(s.groupSums, s.outsideDomain())
		switch {
		case !includeOutsideSum || !m.relayVMs[m.self.VM]:
		case m.place.IsMesh || m.relayVMs[to]:
			add(outsidePrefix+m.place.Group, outside)
		default:
			add(restPrefix+m.place.Group, slices.Concat(m.digestsNotReceivedBy(s.groupDigests, to), outside))
		}
	case digest.LevelDomain:
		out = append(out, sum(m.place.Group, self, s.groupDigests))
		if len(s.domainSums)+len(s.regionSums) > 0 {
			add(outsidePrefix+m.place.Domain, slices.Concat(s.domainSums, s.outsideRegion()))
		}
	case digest.LevelRegion:
		out = append(out, sum(m.place.Domain, self, s.groupDigests, s.groupSums))
		if len(s.regionSums) > 0 {
			add(outsidePrefix+m.place.Region, s.regionSums)
		}
	default:
		out = append(out, sum(m.place.Region, self, s.groupDigests, s.groupSums, s.domainSums))
	}
	return out
}

// digestsNotReceivedBy returns the group's digests that the member named to does not
// receive: those of all members but itself and the relays.
func (m *membership) digestsNotReceivedBy(groupDigests []entryvm.Digest, to string) []entryvm.Digest {
	return slices.DeleteFunc(slices.Clone(groupDigests), func(d entryvm.Digest) bool { return d.VM == to || m.relayVMs[d.VM] })
}

// senderLevel derives the level of a sender from the digests it sent: a VM's own
// digest goes to its group, a sum of its group to other groups, and so on.
func senderLevel(digests []entryvm.Digest) digest.Level {
	for _, d := range digests {
		switch {
		case d.Cell == "":
			return digest.LevelGroup
		case strings.HasPrefix(d.Cell, "group/"):
			return digest.LevelDomain
		case strings.HasPrefix(d.Cell, "domain/"):
			return digest.LevelRegion
		}
	}
	return digest.LevelWorld
}

// Peer identifies another entry VM.
type Peer struct {
	VM, Address, Domain string
}

// ActivePeers returns the other entry VMs that are live and not leaving. VMs that
// this VM does not exchange digests with are taken from the VM list. The list lags,
// so a dead VM may be taken for the planner of a unit for some seconds. The result
// is shared: callers must not change it.
func (g *Gossip) ActivePeers() []Peer { return g.currentView(time.Now()).activePeers }

// findActivePeers sets activePeers; see ActivePeers.
func (v *view) findActivePeers() {
	received := make(map[string]bool, len(v.live))
	for _, d := range v.live {
		received[d.VM] = true
		if !d.Leaving {
			v.activePeers = append(v.activePeers, Peer{d.VM, d.Address, d.Domain})
		}
	}
	if v.membership == nil || v.membership.cells.IsFlat() {
		return
	}
	for _, p := range v.membership.listedPeers {
		if !received[p.VM] && !v.membership.receivesDigestOf(p.VM) {
			v.activePeers = append(v.activePeers, p)
		}
	}
}
