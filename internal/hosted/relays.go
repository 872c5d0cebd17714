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
	standbyIntervalFactor = 3
	memberIntervalFactor  = 10
	// unknownPace times the configured pace is the time between two tries at an address
	// at which nobody has answered yet.
	unknownIntervalFactor = 5
	// relayGap is the least time between two reports to another domain's relay, memberGap
	// between a VM of the domain and its relay, either way: news of many requests and
	// swaps goes out together.
	minRelayExchangeInterval  = 50 * time.Millisecond
	minMemberExchangeInterval = 100 * time.Millisecond
	// relayedFor is how long a VM counts as live after a relay named it last, and what a
	// relay told holds: longer than a lost relay is noticed and the next one drawn.
	relayedTTL = 6 * time.Second
	// relayLearns is how long a new relay asks each VM that it meets whom it knows.
	relayStartupPeriod = 3 * time.Second
	// unwantedFor is how long an exchange goes on that is no longer wanted: a draw may
	// come back to it.
	unwantedExchangeTTL = 3 * time.Second
	// probeTurn is how long the same VMs of a silent domain are tried.
	probeRotationInterval = 2 * time.Second
	// newsRefresh is the least time between two questions for a keeper's news that is not
	// whole here: a keeper's word holds for newsFor.
	minResendInterval = 2 * time.Second
	// renewalGap is the least time between two renewals to one VM. Through two relays and
	// after the longest pause of a keeper news is still renewed before it runs out.
	minRenewalInterval = 700 * time.Millisecond
	// newsMost is how much news of engines one report carries: on a slow link the rest of
	// what a new VM lacks would be lost with a report that takes too long.
	maxUpdatesPerReport = 1000
	// relayedNewsEvery is newsEvery in a large fleet.
	relayedAllEnginesReportInterval = 7
)

// isRelay tells whether this VM is one of its domain's relays.
func (d *roles) isRelay(m *members) bool {
	return slices.Contains(d.relays[m.node.config.Domain], m.node.config.VM)
}

// leads tells whether the VM is the first relay of its domain.
func (d *roles) isLeadRelay(domain, vm string) bool {
	relays := d.relays[domain]
	return len(relays) > 0 && relays[0] == vm
}

// relaysFor tells whether the VM is one of the domain's relays.
func (d *roles) isRelayOf(domain, vm string) bool { return slices.Contains(d.relays[domain], vm) }

// drawRelays draws the relays of each failure domain with a live VM, and the VMs to try in
// the others. Call with mu held.
func (m *members) selectRelays(now time.Time, d *roles) {
	candidatesByDomain := make(map[string][]roleCandidate)
	if !d.stopping {
		candidatesByDomain[m.node.config.Domain] = []roleCandidate{{m.node.config.VM, m.node.config.Capacity}}
	}
	m.eachLiveLocked(now, func(r *entryvm.Report) {
		if !r.Leaving {
			candidatesByDomain[r.Domain] = append(candidatesByDomain[r.Domain], roleCandidate{r.VM, r.Capacity})
		}
	})
	d.aloneInDomain = len(candidatesByDomain[m.node.config.Domain]) <= 1
	d.relays = make(map[string][]string, len(candidatesByDomain))
	for domain, candidates := range candidatesByDomain {
		d.relays[domain] = selectTop(readerKey, candidates, relaysPerDomain)
	}
	d.keepers = selectTop(keeperKey, candidatesByDomain[m.node.config.Domain], keepersLeave)
	d.probes = make(map[string]bool)
	rotation := strconv.FormatInt(now.UnixNano()/int64(probeRotationInterval), 10)
	silent := make(map[string][]roleCandidate)
	for _, p := range m.peers {
		if domain := p.report.Domain; p.report.VM != "" && len(d.relays[domain]) == 0 {
			silent[domain] = append(silent[domain], roleCandidate{p.address, 0})
		}
	}
	for _, candidates := range silent {
		for _, address := range selectTop(rotation, candidates, relaysPerDomain) {
			d.probes[address] = true
		}
	}
}

// rank returns the first few of the volunteers: the largest, and among equals those with
// the highest hash for the key.
func selectTop(key string, candidates []roleCandidate, limit int) []string {
	type ranked struct {
		roleCandidate
		sum uint64
	}
	compare := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(b.sum, a.sum), cmp.Compare(a.name, b.name))
	}
	var top []ranked
	for _, v := range candidates {
		if len(top) == limit && v.capacity < top[limit-1].capacity {
			continue
		}
		entry := ranked{v, rendezvous.Weight(key, v.name)}
		at, _ := slices.BinarySearchFunc(top, entry, compare)
		if at < limit {
			top = slices.Insert(top, at, entry)[:min(len(top)+1, limit)]
		}
	}
	var out []string
	for _, v := range top {
		out = append(out, v.name)
	}
	return out
}

// exchangesWith tells whether this VM begins exchanges with a peer. Call with mu held.
func (m *members) shouldExchange(p *member, d *roles) bool {
	domain, vm := p.report.Domain, p.report.VM
	switch {
	case !d.large, vm == "":
		return true
	case domain == m.node.config.Domain:
		return d.isRelayOf(domain, vm) || d.isRelay(m)
	case len(d.relays[domain]) == 0:
		return d.isRelay(m) && d.probes[p.address]
	default:
		return d.isRelay(m) && d.isRelayOf(domain, vm)
	}
}

// classify notes for how long a peer counts as live without a word: where reports come at
// the configured pace, not for long. Call with mu held.
func (m *members) setLiveTTL(p *member, d *roles) {
	domain, vm := p.report.Domain, p.report.VM
	own := m.node.config
	switch {
	case !d.large:
		p.liveTTL = 0
	case domain == own.Domain && d.isLeadRelay(domain, own.VM), p.stop != nil && d.isLeadRelay(domain, vm):
		p.liveTTL = reportTTL
	default:
		p.liveTTL = relayedTTL
	}
}

// largePace is pace in a large fleet. Call with mu held.
func (m *members) relayedExchangeInterval(p *member, d *roles) time.Duration {
	domain, vm := p.report.Domain, p.report.VM
	factor := 1
	switch {
	case vm == "", d.probes[p.address]:
		factor = unknownIntervalFactor
	case domain != m.node.config.Domain, d.isLeadRelay(domain, vm):
	case d.isRelayOf(domain, vm):
		factor = standbyIntervalFactor
	default:
		factor = memberIntervalFactor
	}
	return time.Duration(factor) * m.node.config.Report
}

// notifiedAtOnce tells whether a peer gets news at once. A relay that stands by notifies nobody:
// the one that leads does. Call with mu held.
func (m *members) shouldNotify(p *member, d *roles) bool {
	if !d.large {
		return true
	}
	if p.stop == nil {
		return false
	}
	return d.isRelayOf(p.report.Domain, p.report.VM) || d.isLeadRelay(m.node.config.Domain, m.node.config.VM)
}
