package hosted

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/rendezvous"
)

// A large fleet exchanges reports through relays, so that a VM holds a few connections, and
// updates of a swap reach all VMs within three short exchanges, whatever the size of the
// fleet. Without relays, each VM of a fleet of 195 holds 390 connections, receives a report
// from a given VM every three seconds, and reports each swap to 194 others.
//
// The relays of a failure domain are selected among its live VMs. The first one is the
// lead relay: its view of the domain is authoritative, and it forwards updates at once.
// The others receive the same reports and are standbys.

const (
	// relaysPerDomain is how many VMs of a failure domain receive all its reports: the
	// lead relay, and a standby that takes over without a gap when the lead is lost.
	relaysPerDomain = 2
	// standbyIntervalFactor times the configured report interval is the time between two
	// reports to a standby relay; memberIntervalFactor applies to reports from a relay to a
	// VM that already reports to it.
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
	// relayStartupPeriod: for this long after becoming a relay, a VM requests all views from
	// its peers.
	relayStartupPeriod = 3 * time.Second
	// unwantedExchangeTTL is how long an exchange continues after it is no longer wanted,
	// because a later selection of roles may want it again.
	unwantedExchangeTTL = 3 * time.Second
	// probeRotationInterval is the interval after which other VMs of a silent domain are
	// probed.
	probeRotationInterval = 2 * time.Second
	// minResendInterval is the minimum time between two requests for a keeper's missing
	// updates. An update is valid for relaystate.UpdateTTL.
	minResendInterval = 2 * time.Second
	// minRenewalInterval is the minimum time between two renewals to one VM. It is short
	// enough that through two relays, and after a keeper's longest pause, updates are
	// renewed before they expire.
	minRenewalInterval = 700 * time.Millisecond
	// relayedReportsPerEngineList is reportsPerEngineList in a large fleet.
	relayedReportsPerEngineList = 7
)

// isRelay reports whether this VM is one of its domain's relays.
func (r *roles) isRelay(m *members) bool {
	return slices.Contains(r.relays[m.node.config.Domain], m.node.config.VM)
}

// isRelay reports whether this VM is one of its domain's relays.
func (m *members) isRelay(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentRoles(now).isRelay(m)
}

// isLeadRelay reports whether the VM is the first relay of its domain.
func (r *roles) isLeadRelay(domain, vm string) bool {
	relays := r.relays[domain]
	return len(relays) > 0 && relays[0] == vm
}

// isRelayOf reports whether the VM is one of the domain's relays.
func (r *roles) isRelayOf(domain, vm string) bool { return slices.Contains(r.relays[domain], vm) }

// selectRelays selects the relays of each failure domain with a live VM, and the VMs to
// probe in the other domains. Call with mu held.
func (m *members) selectRelays(now time.Time, r *roles) {
	candidatesByDomain := make(map[string][]roleCandidate)
	var keepers []roleCandidate
	own := m.node.config.Domain
	add := func(domain string, candidate roleCandidate, lostPaths bool) {
		candidatesByDomain[domain] = append(candidatesByDomain[domain], candidate)
		if domain == own && !lostPaths {
			keepers = append(keepers, candidate)
		}
	}
	if !r.stopping {
		add(own, roleCandidate{m.node.config.VM, m.node.config.Capacity}, m.node.paths.areLost())
	}
	m.eachLiveLocked(now, func(report *entryvm.Report) {
		if !report.Leaving {
			add(report.Domain, roleCandidate{report.VM, report.Capacity}, report.LostPaths)
		}
	})
	r.aloneInDomain = len(candidatesByDomain[own]) <= 1
	r.relays = make(map[string][]string, len(candidatesByDomain))
	for domain, candidates := range candidatesByDomain {
		r.relays[domain] = selectTop(relayKey, candidates, relaysPerDomain)
	}
	r.keepers = selectTop(keeperKey, keepers, maxKeepersPerDomain)
	r.probes = make(map[string]bool)
	rotation := strconv.FormatInt(now.UnixNano()/int64(probeRotationInterval), 10)
	silent := make(map[string][]roleCandidate)
	for _, p := range m.peers {
		if domain := p.report.Domain; p.report.VM != "" && len(r.relays[domain]) == 0 {
			silent[domain] = append(silent[domain], roleCandidate{p.address, 0})
		}
	}
	for _, candidates := range silent {
		for _, address := range selectTop(rotation, candidates, relaysPerDomain) {
			r.probes[address] = true
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
func (m *members) shouldExchange(p *member, r *roles) bool {
	domain, vm := p.report.Domain, p.report.VM
	switch {
	case !r.large, vm == "":
		return true
	case domain == m.node.config.Domain:
		return r.isRelayOf(domain, vm) || r.isRelay(m)
	case len(r.relays[domain]) == 0:
		return r.isRelay(m) && r.probes[p.address]
	default:
		return r.isRelay(m) && r.isRelayOf(domain, vm)
	}
}

// setLiveTTL sets how long a peer counts as live without a report: a short time where its
// reports come at the configured interval, a longer one elsewhere. Call with mu held.
func (m *members) setLiveTTL(p *member, r *roles) {
	domain, vm := p.report.Domain, p.report.VM
	own := m.node.config
	switch {
	case !r.large:
		p.liveTTL = 0
	case domain == own.Domain && r.isLeadRelay(domain, own.VM), p.stop != nil && r.isLeadRelay(domain, vm):
		p.liveTTL = reportTTL
	default:
		p.liveTTL = relayedTTL
	}
}

// relayedExchangeInterval is exchangeInterval in a large fleet. Call with mu held.
func (m *members) relayedExchangeInterval(p *member, r *roles) time.Duration {
	domain, vm := p.report.Domain, p.report.VM
	factor := 1
	switch {
	case vm == "", r.probes[p.address]:
		factor = unknownIntervalFactor
	case domain != m.node.config.Domain, r.isLeadRelay(domain, vm):
	case r.isRelayOf(domain, vm):
		factor = standbyIntervalFactor
	default:
		factor = memberIntervalFactor
	}
	return time.Duration(factor) * m.node.config.ReportInterval
}

// shouldNotify reports whether a peer gets updates at once. A standby relay notifies only
// other relays; the lead relay notifies all peers that it exchanges reports with. Call
// with mu held.
func (m *members) shouldNotify(p *member, r *roles) bool {
	if !r.large {
		return true
	}
	if p.stop == nil {
		return false
	}
	return r.isRelayOf(p.report.Domain, p.report.VM) || r.isLeadRelay(m.node.config.Domain, m.node.config.VM)
}
