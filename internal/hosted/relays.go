package hosted

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/rendezvous"
)

// A large fleet exchanges reports through relays. Without them, in a fleet of 195 VMs each
// VM holds 390 connections, receives a report from a given VM every three seconds, and
// reports each swap to 194 others. With relays, a VM holds a few connections, and updates
// of a swap reach all VMs within three short exchanges, whatever the size of the fleet.
//
// The relays of a failure domain are selected among its live VMs. The first one is the
// lead relay: its view of the domain is authoritative, and it forwards updates at once.
// The others receive the same reports and are standbys.

const (
	// relaysPerDomain is how many VMs of a failure domain receive all its reports: the
	// lead relay, and a standby that takes over without a gap when the lead is lost.
	relaysPerDomain = 2
	// standbyIntervalFactor times the configured report interval is the time between two
	// reports to a standby relay; memberIntervalFactor applies to reports from a relay to
	// a VM that reports to it anyway.
	standbyIntervalFactor = 3
	memberIntervalFactor  = 10
	// unknownIntervalFactor times the configured report interval is the time between two
	// attempts at an address that has not answered yet.
	unknownIntervalFactor = 5
	// minRelayExchangeInterval is the minimum time between two reports to another domain's
	// relay; minMemberExchangeInterval applies between a VM and its domain's relay in
	// either direction. Updates of many requests and swaps are sent together.
	minRelayExchangeInterval  = 50 * time.Millisecond
	minMemberExchangeInterval = 100 * time.Millisecond
	// relayedTTL is how long a VM counts as live after a relay last named it, and how long
	// a relay's data is valid. It is longer than it takes to notice a lost relay and
	// select the next one.
	relayedTTL = 6 * time.Second
	// relayStartupPeriod is how long a new relay asks each VM that it exchanges reports
	// with for all its views.
	relayStartupPeriod = 3 * time.Second
	// unwantedExchangeTTL is how long an exchange continues after it is no longer wanted,
	// because a later selection of roles may want it again.
	unwantedExchangeTTL = 3 * time.Second
	// probeRotationInterval is how long the same VMs of a silent domain are tried.
	probeRotationInterval = 2 * time.Second
	// minResendInterval is the minimum time between two requests for a keeper's missing
	// updates. An update is valid for newsFor.
	minResendInterval = 2 * time.Second
	// minRenewalInterval is the minimum time between two renewals to one VM. It is short
	// enough that through two relays, and after a keeper's longest pause, updates are
	// renewed before they expire.
	minRenewalInterval = 700 * time.Millisecond
	// maxUpdatesPerReport is the maximum number of engine updates in one report. On a slow
	// link, a report with everything that a new VM lacks would take too long and be lost
	// as a whole.
	maxUpdatesPerReport = 1000
	// relayedAllEnginesReportInterval is allEnginesReportInterval in a large fleet.
	relayedAllEnginesReportInterval = 7
)

// isRelay reports whether this VM is one of its domain's relays.
func (d *roles) isRelay(m *members) bool {
	return slices.Contains(d.relays[m.node.config.Domain], m.node.config.VM)
}

// isLeadRelay reports whether the VM is the first relay of its domain.
func (d *roles) isLeadRelay(domain, vm string) bool {
	relays := d.relays[domain]
	return len(relays) > 0 && relays[0] == vm
}

// isRelayOf reports whether the VM is one of the domain's relays.
func (d *roles) isRelayOf(domain, vm string) bool { return slices.Contains(d.relays[domain], vm) }

// selectRelays selects the relays of each failure domain with a live VM, and the VMs to
// probe in the other domains. Call with mu held.
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

// selectTop returns up to limit candidates: the largest ones, and among equals those with
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

// shouldExchange reports whether this VM starts exchanges with a peer. Call with mu held.
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

// setLiveTTL sets how long a peer counts as live without a report: a short time where its
// reports come at the configured interval, a longer one elsewhere. Call with mu held.
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

// relayedExchangeInterval is exchangeInterval in a large fleet. Call with mu held.
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
	return time.Duration(factor) * m.node.config.ReportInterval
}

// shouldNotify reports whether a peer gets updates at once. A standby relay notifies only
// other relays; the lead relay notifies all peers that it exchanges reports with. Call
// with mu held.
func (m *members) shouldNotify(p *member, d *roles) bool {
	if !d.large {
		return true
	}
	if p.stop == nil {
		return false
	}
	return d.isRelayOf(p.report.Domain, p.report.VM) || d.isLeadRelay(m.node.config.Domain, m.node.config.VM)
}
