package hosted

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/rendezvous"
)

// A large fleet exchanges reports through relays. Load pattern: 195 VMs that each exchange
// with each other one hold 390 connections each, hear from a given one every three seconds,
// and tell 194 others of each swap. With relays a VM holds a few connections and news of a
// swap is everywhere within three short exchanges, whatever the size of the fleet.
//
// The relays of a failure domain are drawn among its live VMs. The first one leads: its
// word on the domain counts, and it passes news on at once. The others hear the same
// reports and stand by.

const (
	// relaysPerDomain is how many VMs of a failure domain hear all its reports: one to
	// lead, one that takes over without a gap when that one is lost.
	relaysPerDomain = 2
	// standbyPace and memberPace times the configured pace are the time between two
	// reports to a relay that stands by, and from a relay to a VM that reports to it
	// anyway.
	standbyPace = 3
	memberPace  = 10
	// unknownPace times the configured pace is the time between two tries at an address
	// at which nobody has answered yet.
	unknownPace = 5
	// relayGap is the least time between two reports to another domain's relay, memberGap
	// between a VM of the domain and its relay, either way: news of many requests and
	// swaps goes out together.
	relayGap  = 50 * time.Millisecond
	memberGap = 100 * time.Millisecond
	// relayedFor is how long a VM counts as live after a relay named it last, and what a
	// relay told holds: longer than a lost relay is noticed and the next one drawn.
	relayedFor = 6 * time.Second
	// relayLearns is how long a new relay asks each VM that it meets whom it knows.
	relayLearns = 3 * time.Second
	// unwantedFor is how long an exchange goes on that is no longer wanted: a draw may
	// come back to it.
	unwantedFor = 3 * time.Second
	// probeTurn is how long the same VMs of a silent domain are tried.
	probeTurn = 2 * time.Second
	// newsRefresh is the least time between two questions for a keeper's news that is not
	// whole here: a keeper's word holds for newsFor.
	newsRefresh = 2 * time.Second
	// renewalGap is the least time between two renewals to one VM. Through two relays and
	// after the longest pause of a keeper news is still renewed before it runs out.
	renewalGap = 700 * time.Millisecond
	// newsMost is how much news of engines one report carries: on a slow link the rest of
	// what a new VM lacks would be lost with a report that takes too long.
	newsMost = 1000
	// relayedNewsEvery is newsEvery in a large fleet.
	relayedNewsEvery = 7
)

// isRelay tells whether this VM is one of its domain's relays.
func (d *drawn) isRelay(m *members) bool {
	return slices.Contains(d.relays[m.node.config.Domain], m.node.config.VM)
}

// leads tells whether the VM is the first relay of its domain.
func (d *drawn) leads(domain, vm string) bool {
	relays := d.relays[domain]
	return len(relays) > 0 && relays[0] == vm
}

// relaysFor tells whether the VM is one of the domain's relays.
func (d *drawn) relaysFor(domain, vm string) bool { return slices.Contains(d.relays[domain], vm) }

// drawRelays draws the relays of each failure domain with a live VM, and the VMs to try in
// the others. Call with mu held.
func (m *members) drawRelays(now time.Time, d *drawn) {
	able := make(map[string][]volunteer)
	if !d.stopping {
		able[m.node.config.Domain] = []volunteer{{m.node.config.VM, m.node.config.Capacity}}
	}
	m.eachLive(now, func(r *entryvm.Report) {
		if !r.Leaving {
			able[r.Domain] = append(able[r.Domain], volunteer{r.VM, r.Capacity})
		}
	})
	d.alone = len(able[m.node.config.Domain]) <= 1
	d.relays = make(map[string][]string, len(able))
	for domain, volunteers := range able {
		d.relays[domain] = rank(readerKey, volunteers, relaysPerDomain)
	}
	d.keepers = rank(keeperKey, able[m.node.config.Domain], maxKeepersPerDomain)
	d.probes = make(map[string]bool)
	turn := strconv.FormatInt(now.UnixNano()/int64(probeTurn), 10)
	silent := make(map[string][]volunteer)
	for _, p := range m.peers {
		if domain := p.report.Domain; p.report.VM != "" && len(d.relays[domain]) == 0 {
			silent[domain] = append(silent[domain], volunteer{p.address, 0})
		}
	}
	for _, volunteers := range silent {
		for _, address := range rank(turn, volunteers, relaysPerDomain) {
			d.probes[address] = true
		}
	}
}

// rank returns the first few of the volunteers: the largest, and among equals those with
// the highest hash for the key.
func rank(key string, able []volunteer, most int) []string {
	type ranked struct {
		volunteer
		sum uint64
	}
	before := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(b.sum, a.sum), cmp.Compare(a.name, b.name))
	}
	var first []ranked
	for _, v := range able {
		if len(first) == most && v.capacity < first[most-1].capacity {
			continue
		}
		candidate := ranked{v, rendezvous.Weight(key, v.name)}
		at, _ := slices.BinarySearchFunc(first, candidate, before)
		if at < most {
			first = slices.Insert(first, at, candidate)[:min(len(first)+1, most)]
		}
	}
	var out []string
	for _, v := range first {
		out = append(out, v.name)
	}
	return out
}

// exchangesWith tells whether this VM begins exchanges with a peer. Call with mu held.
func (m *members) exchangesWith(p *member, d *drawn) bool {
	domain, vm := p.report.Domain, p.report.VM
	switch {
	case !d.large, vm == "":
		return true
	case domain == m.node.config.Domain:
		return d.relaysFor(domain, vm) || d.isRelay(m)
	case len(d.relays[domain]) == 0:
		return d.isRelay(m) && d.probes[p.address]
	default:
		return d.isRelay(m) && d.relaysFor(domain, vm)
	}
}

// classify notes for how long a peer counts as live without a word: where reports come at
// the configured pace, not for long. Call with mu held.
func (m *members) classify(p *member, d *drawn) {
	domain, vm := p.report.Domain, p.report.VM
	own := m.node.config
	switch {
	case !d.large:
		p.liveFor = 0
	case domain == own.Domain && d.leads(domain, own.VM), p.stop != nil && d.leads(domain, vm):
		p.liveFor = seenFor
	default:
		p.liveFor = relayedFor
	}
}

// largePace is pace in a large fleet. Call with mu held.
func (m *members) largePace(p *member, d *drawn) time.Duration {
	domain, vm := p.report.Domain, p.report.VM
	times := 1
	switch {
	case vm == "", d.probes[p.address]:
		times = unknownPace
	case domain != m.node.config.Domain, d.leads(domain, vm):
	case d.relaysFor(domain, vm):
		times = standbyPace
	default:
		times = memberPace
	}
	return time.Duration(times) * m.node.config.Report
}

// notifiedAtOnce tells whether a peer gets news at once. A relay that stands by notifies nobody:
// the one that leads does. Call with mu held.
func (m *members) notifiedAtOnce(p *member, d *drawn) bool {
	if !d.large {
		return true
	}
	if p.stop == nil {
		return false
	}
	return d.relaysFor(p.report.Domain, p.report.VM) || d.leads(m.node.config.Domain, m.node.config.VM)
}
