package gossip

import (
	"slices"
	"strings"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/digest"
)

const (
	// sumEntries bounds each list of a sum: what matters most of a cell.
	sumEntries = 16
	// The sums of what lies outside a cell are named after it.
	beyond = "beyond/"
	rest   = "rest/"
)

// fleet is who is there and where this VM stands among them; made once per
// heartbeat.
type fleet struct {
	self    digest.Member
	members []digest.Member
	// listed are the other VMs on the VM list that are not leaving.
	listed []Peer
	cut    *digest.Fleet
	// place is of use only where the cut is not flat.
	place digest.Place
	// group and relays are the VMs of the own group and its relays.
	group, relays map[string]bool
}

func newFleet(self digest.Member, members []digest.Member, topology digest.Topology, round uint64) *fleet {
	f := &fleet{self: self, members: members, cut: topology.Divide(members, round)}
	if f.cut.IsFlat() {
		return f
	}
	f.place = f.cut.Place(self)
	f.group, f.relays = names(f.place.Members), names(f.place.Relays)
	return f
}

func names(members []digest.Member) map[string]bool {
	all := make(map[string]bool, len(members))
	for _, m := range members {
		all[m.VM] = true
	}
	return all
}

// hears tells whether this VM should have the other one's own digests.
func (f *fleet) hears(vm string) bool {
	return f.cut.IsFlat() || (f.group[vm] && (f.place.IsMesh || f.relays[f.self.VM] || f.relays[vm]))
}

// knowledge is what a VM knows of a fleet that is cut into cells. No VM is in it
// twice: the own group's VMs by their digests, all others by sums.
type knowledge struct {
	// near are the live VMs of the own group.
	near []entryvm.Digest
	// groups, domains and regions are sums of the other cells of each kind within
	// the next larger one. Only relays have them.
	groups, domains, regions []entryvm.Digest
	// beyondGroup, beyondDomain and beyondRegion are sums of all that is outside
	// these cells, from a relay that has the sums of the larger ones.
	beyondGroup, beyondDomain, beyondRegion []entryvm.Digest
	// rest is the sum of all whom a VM that hears only its relays does not hear.
	rest []entryvm.Digest
}

func (f *fleet) knowledge(live, sums []entryvm.Digest) knowledge {
	var k knowledge
	for _, d := range live {
		if f.group[d.VM] {
			k.near = append(k.near, d)
		}
	}
	own := []string{f.place.Group, f.place.Domain, f.place.Region}
	inDomain := strings.Replace(f.place.Domain, "domain/", "group/", 1) + "/"
	inRegion := strings.Replace(f.place.Region, "region/", "domain/", 1) + "/"
	for _, d := range sums {
		switch cell := d.Cell; {
		case slices.Contains(own, cell):
		case strings.HasPrefix(cell, inDomain):
			k.groups = append(k.groups, d)
		case strings.HasPrefix(cell, inRegion):
			k.domains = append(k.domains, d)
		case strings.HasPrefix(cell, "region/"):
			k.regions = append(k.regions, d)
		case cell == beyond+f.place.Group:
			k.beyondGroup = append(k.beyondGroup, d)
		case cell == beyond+f.place.Domain:
			k.beyondDomain = append(k.beyondDomain, d)
		case cell == beyond+f.place.Region:
			k.beyondRegion = append(k.beyondRegion, d)
		case cell == rest+f.place.Group && !f.place.IsMesh && !f.relays[f.self.VM]:
			k.rest = append(k.rest, d)
		}
	}
	return k
}

// outsideRegion, outsideDomain and outsideGroup add up to all VMs but those of
// the cell. What this VM puts together itself may lack cells whose relays take
// another VM for theirs, so the one counts that speaks for most VMs.
func (k knowledge) outsideRegion() []entryvm.Digest { return fuller(k.regions, k.beyondRegion) }

func (k knowledge) outsideDomain() []entryvm.Digest {
	return fuller(slices.Concat(k.domains, k.outsideRegion()), k.beyondDomain)
}

func (k knowledge) outsideGroup() []entryvm.Digest {
	return fuller(fuller(slices.Concat(k.groups, k.outsideDomain()), k.beyondGroup), k.rest)
}

func fuller(own, told []entryvm.Digest) []entryvm.Digest {
	if count(told) > count(own) {
		return told
	}
	return own
}

// count is how many VMs the sums speak for.
func count(sums []entryvm.Digest) int {
	n := 0
	for _, d := range sums {
		n += max(d.VMs, 1)
	}
	return n
}

// contents are what this VM gives to a peer that is so far away. A sum of what is
// beyond a cell goes down to smaller cells only, and holds none of its own kind:
// else two VMs would give each other a dead one's news for ever, ever fresh. The sum of the
// rest is three times as long as a digest and wanted less exactly.
func (f *fleet) contents(own entryvm.Digest, k knowledge, level digest.Level, to string, withRest bool) []entryvm.Digest {
	sum := func(cell string, parts ...[]entryvm.Digest) entryvm.Digest {
		return digest.Summarise(own, cell, slices.Concat(parts...), sumEntries)
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
		far := slices.Concat(k.groups, k.outsideDomain())
		switch {
		case !withRest || !f.relays[f.self.VM]:
		case f.place.IsMesh || f.relays[to]:
			add(beyond+f.place.Group, far)
		default:
			add(rest+f.place.Group, slices.Concat(f.unheard(k.near, to), far))
		}
	case digest.LevelDomain:
		out = append(out, sum(f.place.Group, self, k.near))
		if len(k.domains)+len(k.regions) > 0 {
			add(beyond+f.place.Domain, slices.Concat(k.domains, k.outsideRegion()))
		}
	case digest.LevelRegion:
		out = append(out, sum(f.place.Domain, self, k.near, k.groups))
		if len(k.regions) > 0 {
			add(beyond+f.place.Region, k.regions)
		}
	default:
		out = append(out, sum(f.place.Region, self, k.near, k.groups, k.domains))
	}
	return out
}

// unheard are the VMs of the own group that one of them does not hear.
func (f *fleet) unheard(near []entryvm.Digest, to string) []entryvm.Digest {
	return slices.DeleteFunc(slices.Clone(near), func(d entryvm.Digest) bool { return d.VM == to || f.relays[d.VM] })
}

// levelOf tells how far away the sender of digests is, by what it sent.
func levelOf(digests []entryvm.Digest) digest.Level {
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

// Peer is an entry VM as far as this one knows.
type Peer struct {
	VM, Address, Domain string
}

// Present are the other entry VMs that are there and not leaving. Of those that
// this VM does not hear itself the VM list is believed: it trails, so that for
// some seconds a dead one may be taken for the planner of a unit. The list is
// shared: readers must not change it.
func (g *Gossip) ActivePeers() []Peer { return g.seen(time.Now()).present }

func (v *view) findPresent() {
	heard := make(map[string]bool, len(v.live))
	for _, d := range v.live {
		heard[d.VM] = true
		if !d.Leaving {
			v.present = append(v.present, Peer{d.VM, d.Address, d.Domain})
		}
	}
	if v.fleet == nil || v.fleet.cut.IsFlat() {
		return
	}
	for _, p := range v.fleet.listed {
		if !heard[p.VM] && !v.fleet.hears(p.VM) {
			v.present = append(v.present, p)
		}
	}
}
