package digest

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"strconv"
	"strings"
	"time"

	"bergamotreel/internal/rendezvous"

	"github.com/cespare/xxhash/v2"
)

// Topology limits which VMs exchange digests, so that the number of messages per VM
// does not grow with the fleet. In small fleets all VMs exchange digests with each
// other. In larger ones each failure domain is divided into groups of about the square
// root of its VMs; VMs exchange digests within their group, a few relays of each group
// with those of the domain's other groups, a few relays of each domain with those of
// the region's other domains, and a few relays of each region with those of the other
// regions. Relays send sums to other cells.
//
// All VMs that see the same fleet compute the same relays. Two that see different
// fleets send a message too many or too few for a while; every VM merges whatever it
// receives, so this has no other effect.
type Topology struct {
	// MaxFlatVMs is the largest fleet in which all VMs exchange digests with each
	// other.
	MaxFlatVMs int
	// MaxMeshMembers is the largest group in which all members exchange digests with
	// each other; in a larger one they do so with its relays only.
	MaxMeshMembers int
	// RelaysPerCell is the number of relays of each cell. Each one exchanges sums only
	// with the relays of its own rank in other cells: with two, every path exists
	// twice.
	RelaysPerCell int
}

// DefaultTopology has all VMs exchange digests with each other in fleets of up to 18
// VMs, twice the size of a deployment of 9.
var DefaultTopology = Topology{MaxFlatVMs: 18, MaxMeshMembers: 8, RelaysPerCell: 2}

// Level is the distance between two VMs that exchange digests: the smallest cell that
// contains both.
type Level int

// The levels, from near to far.
const (
	LevelGroup Level = iota
	LevelDomain
	LevelRegion
	LevelWorld
)

// sumExchangePeriod is the number of heartbeats between two exchanges of sums. A sum
// is three times as long as a digest and needed less precisely; at two heartbeats,
// one may still be lost before the timeout of six heartbeats.
const sumExchangePeriod = 2

// ExchangeInterval returns the time between two exchanges with a target of the level.
func (l Level) ExchangeInterval(heartbeat time.Duration) time.Duration {
	if l == LevelGroup {
		return heartbeat
	}
	return sumExchangePeriod * heartbeat
}

// Member is an entry VM known from the VM list or from a digest.
type Member struct {
	VM, Address, Domain, Region string
	// Live is set if the VM counts as live: its digests arrive or, for a VM that sends
	// this one none, the newest exchange with it did not fail.
	Live bool
}

// Target is a VM to exchange digests with.
type Target struct {
	Member Member
	Level  Level
}

// Targets returns the VMs that self exchanges digests with, sorted by level and VM.
// Members must include listed VMs that are silent: a domain that was unreachable is
// found again only if others keep trying it. Where a cell has no live VM, round (a
// counter of exchanges) selects a different VM to try each time.
func (t Topology) Targets(self Member, members []Member, round uint64) []Target {
	self.Live = true
	members = slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.VM == self.VM })
	return t.Divide(append(members, self), round).Targets(self)
}

// Fleet is a fleet divided into cells. It stays valid as long as no VM is added or
// removed or changes between live and silent, and each cell has a live VM.
type Fleet struct {
	topology Topology
	// flatMembers are all members of a small fleet; the other fields are empty then.
	flatMembers []Member
	// groups are the groups of each domain, domains the domains of each region.
	groups  map[domainKey][]cell
	domains map[string][]cell
	regions []cell
}

// domainKey identifies a failure domain.
type domainKey struct{ region, domain string }

// cell is a group, a domain or a region.
type cell struct {
	name string
	// members are the VMs of a group; empty in larger cells.
	members []Member
	// relays are the VMs that exchange sums for the cell, by rank.
	relays []Member
}

// Divide divides the fleet into cells. The members must not be changed afterwards.
func (t Topology) Divide(members []Member, round uint64) *Fleet {
	if len(members) <= t.MaxFlatVMs {
		return &Fleet{topology: t, flatMembers: members}
	}
	byDomain := map[domainKey][]Member{}
	for _, m := range members {
		key := domainKey{m.Region, m.Domain}
		byDomain[key] = append(byDomain[key], m)
	}
	f := &Fleet{topology: t, groups: map[domainKey][]cell{}, domains: map[string][]cell{}}
	for _, key := range slices.SortedFunc(maps.Keys(byDomain), compareDomains) {
		groups := t.divideDomain(key, byDomain[key], round)
		f.groups[key] = groups
		domain := t.joinCells(domainName(key.region, key.domain), groups, round)
		f.domains[key.region] = append(f.domains[key.region], domain)
	}
	for _, region := range slices.Sorted(maps.Keys(f.domains)) {
		f.regions = append(f.regions, t.joinCells(regionName(region), f.domains[region], round))
	}
	return f
}

func compareDomains(a, b domainKey) int {
	return cmp.Or(strings.Compare(a.region, b.region), strings.Compare(a.domain, b.domain))
}

// Place is a VM's place in a fleet that is divided into cells.
type Place struct {
	// Group, Domain and Region are the names of the cells that contain it.
	Group, Domain, Region string
	// Members are the VMs of its group, itself included.
	Members []Member
	// IsMesh is set if all Members exchange digests with each other; otherwise they do
	// so with Relays only.
	IsMesh bool
	Relays []Member
}

// IsFlat reports whether all VMs exchange digests with each other; there are no cells
// then.
func (f *Fleet) IsFlat() bool { return f.flatMembers != nil }

// Place returns the place of self, one of the members. The fleet must not be flat.
func (f *Fleet) Place(self Member) Place {
	groups := f.groups[domainKey{self.Region, self.Domain}]
	own := groups[groupIndex(self, len(groups))]
	return Place{
		Group: own.name, Domain: domainName(self.Region, self.Domain), Region: regionName(self.Region),
		Members: own.members, IsMesh: len(own.members) <= f.topology.MaxMeshMembers, Relays: own.relays,
	}
}

func domainName(region, domain string) string { return "domain/" + region + "/" + domain }
func regionName(region string) string         { return "region/" + region }

// Targets returns the VMs that self, one of the members, exchanges digests with.
func (f *Fleet) Targets(self Member) []Target {
	if f.flatMembers != nil {
		return targetsExcept(self, f.flatMembers, LevelGroup)
	}
	groups := f.groups[domainKey{self.Region, self.Domain}]
	own := groups[groupIndex(self, len(groups))]
	targets := targetsExcept(self, own.relays, LevelGroup)
	if len(own.members) <= f.topology.MaxMeshMembers {
		targets = targetsExcept(self, own.members, LevelGroup)
	}
	for rank := range f.topology.RelaysPerCell {
		targets = append(targets, f.relayTargets(self, rank)...)
	}
	slices.SortFunc(targets, compareTargets)
	return slices.CompactFunc(targets, func(a, b Target) bool { return compareTargets(a, b) == 0 })
}

// relayTargets returns, for each level at which self is its cell's relay of the rank,
// the relays of the same rank in the other cells.
func (f *Fleet) relayTargets(self Member, rank int) []Target {
	var targets []Target
	for level, cells := range [][]cell{
		LevelDomain: f.groups[domainKey{self.Region, self.Domain}],
		LevelRegion: f.domains[self.Region],
		LevelWorld:  f.regions,
	} {
		relays := relaysOfRank(cells, rank)
		if !slices.ContainsFunc(relays, func(m Member) bool { return m.VM == self.VM }) {
			continue
		}
		targets = append(targets, targetsExcept(self, relays, Level(level))...)
	}
	return targets
}

// relaysOfRank returns each cell's relay of the rank.
func relaysOfRank(cells []cell, rank int) []Member {
	var relays []Member
	for _, c := range cells {
		if relay, found := c.relayOfRank(rank); found {
			relays = append(relays, relay)
		}
	}
	return relays
}

// targetsExcept returns targets for all members but self, sorted by VM.
func targetsExcept(self Member, members []Member, level Level) []Target {
	targets := make([]Target, 0, len(members))
	for _, m := range members {
		if m.VM != self.VM {
			targets = append(targets, Target{m, level})
		}
	}
	slices.SortFunc(targets, compareTargets)
	return targets
}

func compareTargets(a, b Target) int {
	return cmp.Or(cmp.Compare(a.Level, b.Level), strings.Compare(a.Member.VM, b.Member.VM))
}

// divideDomain divides a domain into groups. The number of groups is a power of two
// that changes only when the domain grows or shrinks fourfold, so that replacing VMs
// does not move the others to other groups.
func (t Topology) divideDomain(domain domainKey, members []Member, round uint64) []cell {
	count := 1 << (bits.Len(uint(len(members))) / 2)
	if len(members) <= t.MaxMeshMembers {
		count = 1
	}
	groups := make([]cell, count)
	for _, m := range members {
		group := &groups[groupIndex(m, count)]
		group.members = append(group.members, m)
	}
	for i := range groups {
		groups[i].name = "group/" + domain.region + "/" + domain.domain + "/" + strconv.Itoa(i)
		groups[i].relays = pickRelays(groups[i].name, groups[i].members, t.RelaysPerCell, round)
	}
	return groups
}

// groupIndex selects a VM's group by the top bits of its hash.
func groupIndex(m Member, count int) int {
	high, _ := bits.Mul64(xxhash.Sum64String(m.VM), uint64(count))
	return int(high)
}

// joinCells forms one cell from several: its relay of each rank is one of the parts'
// relays of that rank.
func (t Topology) joinCells(name string, parts []cell, round uint64) cell {
	joined := cell{name: name}
	for rank := range t.RelaysPerCell {
		candidates := relaysOfRank(parts, rank)
		joined.relays = append(joined.relays, pickRelays(name, candidates, 1, round)...)
	}
	return joined
}

// relayOfRank returns the cell's relay of a rank; cells with fewer relays than ranks
// use one for several ranks.
func (c cell) relayOfRank(rank int) (Member, bool) {
	if len(c.relays) == 0 {
		return Member{}, false
	}
	return c.relays[rank%len(c.relays)], true
}

// pickRelays selects the relays of a cell by rank, in the order of the hash of cell
// and VM. Only live members are selected: relays exchange sums only with relays of
// their own rank, so a dead relay would leave that rank of the other cells without
// this cell's sum; see relayOfRank. If no member is live, it selects among all of
// them, in a different order each round.
func pickRelays(cell string, members []Member, count int, round uint64) []Member {
	anyLive := slices.ContainsFunc(members, func(m Member) bool { return m.Live })
	if !anyLive {
		cell += "#" + strconv.FormatUint(round, 10)
	}
	best := make([]candidate, 0, count+1)
	for _, m := range members {
		if anyLive && !m.Live {
			continue
		}
		c := candidate{m, rendezvous.Weight(cell, m.VM)}
		at, _ := slices.BinarySearchFunc(best, c, compareCandidates)
		if at < count {
			best = slices.Insert(best, at, c)
			best = best[:min(len(best), count)]
		}
	}
	picked := make([]Member, len(best))
	for i, c := range best {
		picked[i] = c.member
	}
	return picked
}

// candidate is a member with its rendezvous weight for a cell.
type candidate struct {
	member Member
	weight uint64
}

// compareCandidates orders live candidates before dead ones, then by descending
// weight. The candidates of one call of pickRelays are all live or all dead.
func compareCandidates(a, b candidate) int {
	if a.member.Live != b.member.Live {
		return cmp.Compare(livenessOrder(a.member), livenessOrder(b.member))
	}
	return cmp.Or(cmp.Compare(b.weight, a.weight), strings.Compare(a.member.VM, b.member.VM))
}

// livenessOrder is the sort key of compareCandidates: live members come first.
func livenessOrder(m Member) int {
	if m.Live {
		return 0
	}
	return 1
}
