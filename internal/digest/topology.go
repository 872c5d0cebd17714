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

// Topology bounds who talks to whom, so that one VM's messages don't grow with
// the fleet. Small fleets talk everyone to everyone. In larger ones each failure
// domain is cut into groups of about the square root of its VMs; VMs talk within
// their group, a few relays of each group talk to those of the other groups, a
// few relays of each domain to those of the region's other domains, and a few
// relays of each region to those of the other regions. A relay sends sums.
//
// All VMs that see the same fleet compute the same relays. Two that see
// different fleets send a message too many or too few for a while; every VM
// takes in what it gets, so nothing worse follows.
type Topology struct {
	// FlatBound is up to how many VMs in all everyone talks to everyone.
	FlatBound int
	// MeshBound is up to how many VMs a group's members all talk to each other;
	// in a larger group they talk to its relays only.
	MeshBound int
	// Relays is how many relays speak for each cell. Each one talks to the other
	// cells' relay of its own rank only: with two, every path exists twice.
	Relays int
}

// DefaultTopology has today's 9 VMs all talk to each other, with room to double.
var DefaultTopology = Topology{FlatBound: 18, MeshBound: 8, Relays: 2}

// Level says how far apart two VMs are that talk: the smallest cell that holds
// both.
type Level int

// The levels, from near to far.
const (
	LevelGroup Level = iota
	LevelDomain
	LevelRegion
	LevelWorld
)

// farPeriod is how many heartbeats pass between two exchanges of sums. Two: a sum
// is three times as long as a digest and wanted less exactly, and one may still
// be lost before the timeout of six heartbeats.
const farPeriod = 2

// Period is the time between two exchanges with a target of the level.
func (l Level) Period(heartbeat time.Duration) time.Duration {
	if l == LevelGroup {
		return heartbeat
	}
	return farPeriod * heartbeat
}

// Member is an entry VM that the VM list or a digest names.
type Member struct {
	VM, Address, Domain, Region string
	// Live is whether its digests arrive, or those of a VM that hears it.
	Live bool
}

// Target is a VM to exchange digests with.
type Target struct {
	Member Member
	Level  Level
}

// Targets returns whom self exchanges digests with, sorted by level and VM.
// Members must hold the listed VMs that are silent too: a domain that was cut
// off is found again only by those who go on trying. Where a cell has no live
// VM, round (a counter of exchanges) moves the try on from VM to VM.
func (t Topology) Targets(self Member, members []Member, round uint64) []Target {
	self.Live = true
	members = slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.VM == self.VM })
	return t.Cut(append(members, self), round).Targets(self)
}

// Fleet is a fleet cut into cells. It stays good as long as nobody comes, goes
// or falls silent and no cell is wholly silent.
type Fleet struct {
	topology Topology
	// flat are all members of a small fleet; the rest is empty then.
	flat []Member
	// groups are the cells of each domain, domains those of each region.
	groups  map[domainKey][]cell
	domains map[string][]cell
	regions []cell
}

// domainKey names a failure domain.
type domainKey struct{ region, domain string }

// cell is a group, a domain or a region.
type cell struct {
	name string
	// members of a group; empty in larger cells.
	members []Member
	// relays speak for the cell, by rank.
	relays []Member
}

// Cut cuts the fleet into cells. The members must not be changed afterwards.
func (t Topology) Cut(members []Member, round uint64) *Fleet {
	if len(members) <= t.FlatBound {
		return &Fleet{topology: t, flat: members}
	}
	byDomain := map[domainKey][]Member{}
	for _, m := range members {
		key := domainKey{m.Region, m.Domain}
		byDomain[key] = append(byDomain[key], m)
	}
	f := &Fleet{topology: t, groups: map[domainKey][]cell{}, domains: map[string][]cell{}}
	for _, key := range slices.SortedFunc(maps.Keys(byDomain), compareDomains) {
		groups := t.groups(key, byDomain[key], round)
		f.groups[key] = groups
		domain := t.join(domainName(key.region, key.domain), groups, round)
		f.domains[key.region] = append(f.domains[key.region], domain)
	}
	for _, region := range slices.Sorted(maps.Keys(f.domains)) {
		f.regions = append(f.regions, t.join(regionName(region), f.domains[region], round))
	}
	return f
}

func compareDomains(a, b domainKey) int {
	return cmp.Or(strings.Compare(a.region, b.region), strings.Compare(a.domain, b.domain))
}

// Place is where a VM stands in a fleet that is cut into cells.
type Place struct {
	// Group, Domain and Region name the cells that hold it.
	Group, Domain, Region string
	// Members are those of its group, itself included.
	Members []Member
	// Mesh is whether they all exchange digests with each other; else they do
	// with Relays only.
	Mesh   bool
	Relays []Member
}

// Flat tells whether everyone talks to everyone; there are no cells then.
func (f *Fleet) Flat() bool { return f.flat != nil }

// Place returns where self, one of the members, stands. The fleet must not be
// flat.
func (f *Fleet) Place(self Member) Place {
	groups := f.groups[domainKey{self.Region, self.Domain}]
	own := groups[groupOf(self, len(groups))]
	return Place{
		Group: own.name, Domain: domainName(self.Region, self.Domain), Region: regionName(self.Region),
		Members: own.members, Mesh: len(own.members) <= f.topology.MeshBound, Relays: own.relays,
	}
}

func domainName(region, domain string) string { return "domain/" + region + "/" + domain }
func regionName(region string) string         { return "region/" + region }

// Targets returns whom self, one of the members, exchanges digests with.
func (f *Fleet) Targets(self Member) []Target {
	if f.flat != nil {
		return others(self, f.flat, LevelGroup)
	}
	groups := f.groups[domainKey{self.Region, self.Domain}]
	own := groups[groupOf(self, len(groups))]
	targets := others(self, own.relays, LevelGroup)
	if len(own.members) <= f.topology.MeshBound {
		targets = others(self, own.members, LevelGroup)
	}
	for rank := range f.topology.Relays {
		targets = append(targets, f.asRelay(self, rank)...)
	}
	slices.SortFunc(targets, compareTargets)
	return slices.CompactFunc(targets, func(a, b Target) bool { return compareTargets(a, b) == 0 })
}

// asRelay are the relays of self's rank in the other cells of each level at
// which self speaks for its own.
func (f *Fleet) asRelay(self Member, rank int) []Target {
	var targets []Target
	for level, cells := range [][]cell{
		LevelDomain: f.groups[domainKey{self.Region, self.Domain}],
		LevelRegion: f.domains[self.Region],
		LevelWorld:  f.regions,
	} {
		relays := relaysOf(cells, rank)
		if !slices.ContainsFunc(relays, func(m Member) bool { return m.VM == self.VM }) {
			continue
		}
		targets = append(targets, others(self, relays, Level(level))...)
	}
	return targets
}

// relaysOf are the relays of one rank.
func relaysOf(cells []cell, rank int) []Member {
	var relays []Member
	for _, c := range cells {
		if relay, found := c.relay(rank); found {
			relays = append(relays, relay)
		}
	}
	return relays
}

// others makes targets of all members but self, sorted by VM.
func others(self Member, members []Member, level Level) []Target {
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

// groups cuts a domain. The number of groups is a power of two that changes only
// when the domain grows or shrinks fourfold, so that replaced VMs don't move the
// others about.
func (t Topology) groups(domain domainKey, members []Member, round uint64) []cell {
	count := 1 << (bits.Len(uint(len(members))) / 2)
	if len(members) <= t.MeshBound {
		count = 1
	}
	groups := make([]cell, count)
	for _, m := range members {
		group := &groups[groupOf(m, count)]
		group.members = append(group.members, m)
	}
	for i := range groups {
		groups[i].name = "group/" + domain.region + "/" + domain.domain + "/" + strconv.Itoa(i)
		groups[i].relays = speakers(groups[i].name, groups[i].members, t.Relays, round)
	}
	return groups
}

// groupOf places a VM by the top bits of its hash.
func groupOf(m Member, count int) int {
	high, _ := bits.Mul64(xxhash.Sum64String(m.VM), uint64(count))
	return int(high)
}

// join makes one cell of several: its relay of each rank is one of the parts'
// relays of that rank.
func (t Topology) join(name string, parts []cell, round uint64) cell {
	whole := cell{name: name}
	for rank := range t.Relays {
		candidates := relaysOf(parts, rank)
		whole.relays = append(whole.relays, speakers(name, candidates, 1, round)...)
	}
	return whole
}

// relay returns the cell's relay of a rank; cells with fewer relays use theirs
// for several ranks.
func (c cell) relay(rank int) (Member, bool) {
	if len(c.relays) == 0 {
		return Member{}, false
	}
	return c.relays[rank%len(c.relays)], true
}

// speakers picks the members that speak for a cell, by rank: live ones first,
// then by the hash of cell and VM. With none live it draws anew each round. A dead
// one never speaks beside a live one: all who talk to its rank only would miss
// the cell; see relay.
func speakers(cell string, members []Member, count int, round uint64) []Member {
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

// candidate is a member with its hash for a cell.
type candidate struct {
	member Member
	sum    uint64
}

// compareCandidates puts the better candidate first.
func compareCandidates(a, b candidate) int {
	if a.member.Live != b.member.Live {
		return cmp.Compare(deadness(a.member), deadness(b.member))
	}
	return cmp.Or(cmp.Compare(b.sum, a.sum), strings.Compare(a.member.VM, b.member.VM))
}

func deadness(m Member) int {
	if m.Live {
		return 0
	}
	return 1
}
