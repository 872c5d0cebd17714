package hosted

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
)

// eachLive calls f with the newest report of each live peer while it holds mu.
func (m *members) eachLive(now time.Time, f func(*entryvm.Report)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.eachLiveLocked(now, f)
}

// eachSeen calls f with the newest report of each peer that this VM has seen and not forgotten
// since, live or not, while it holds mu.
func (m *members) eachSeen(f func(*entryvm.Report)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if !p.lastSeen.IsZero() {
			f(&p.report)
		}
	}
}

// eachLiveLocked is eachLive for callers that hold mu.
func (m *members) eachLiveLocked(now time.Time, f func(*entryvm.Report)) {
	for _, p := range m.peers {
		if m.isLive(now, p) {
			f(&p.report)
		}
	}
}

// isLive reports whether a VM counts as live: it reported recently, and neither it nor its
// whole failure domain has gone silent since. Call with mu held.
func (m *members) isLive(now time.Time, p *member) bool {
	domain := p.report.Domain
	return !p.lastSeen.IsZero() && now.Sub(p.lastSeen) < m.liveTTL(p) && p.failures < maxFailures && !m.isSilentLocked(domain)
}

// isSilentLocked reports whether another failure domain counts as silent: its VMs don't
// answer this VM, or they don't answer the relay whose view of the domain this VM uses. Call
// with mu held.
func (m *members) isSilentLocked(domain string) bool {
	if domain == m.node.config.Domain {
		return false
	}
	view := m.relayed.views[domain]
	return m.domainFailures[domain] >= m.maxDomainFailures() || (view != nil && view.silent)
}

// maxDomainFailures returns how many exchanges in a row fail with a failure domain's VMs
// before the domain counts as silent. In a large fleet the limit must exceed the failures
// that two dead relays cause (relaysPerDomain*maxFailures); otherwise losing both marks the
// whole domain as partitioned until the next report from it. Call with mu held.
func (m *members) maxDomainFailures() int {
	if m.isLarge() {
		return relaysPerDomain*maxFailures + 1
	}
	return maxMeshDomainFailures
}

// isLarge reports whether the fleet exchanges reports through relays. Call with mu held.
func (m *members) isLarge() bool { return len(m.peers) > maxFullMeshPeers }

// isSilent is isSilentLocked for callers that don't hold mu.
func (m *members) isSilent(domain string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isSilentLocked(domain)
}

// liveTTL returns how long a VM counts as live without a report. Call with mu held.
func (m *members) liveTTL(p *member) time.Duration {
	switch {
	case p.liveTTL > 0:
		return p.liveTTL
	case m.isLarge():
		return relayedTTL
	default:
		return reportTTL
	}
}

// liveCount returns the number of live entry VMs, including this one.
func (m *members) liveCount(now time.Time) int {
	live := 1
	m.eachLive(now, func(*entryvm.Report) { live++ })
	return live
}

// recentLiveCount returns liveCount as of the last selection of roles, for use at each request.
func (m *members) recentLiveCount(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentRoles(now).liveVMs
}

// isPlanner reports whether this VM plans for the whole fleet. If two VMs both act as the
// planner, it costs superfluous swaps but never safety, because each swap is checked by its
// engine's keeper.
func (m *members) isPlanner(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.plannerLocked(now) == m.node.config.VM
}

// rolesInterval is the minimum time between two selections of the VMs with roles;
// largeFleetRolesInterval applies in a large fleet, where whatever changes a selection also
// invalidates it at once. Without a minimum, each exchange in a fleet of 63 VMs selects them
// five times over all peers, which takes a fifth of the processor time of exchanges and
// plans; in one of 180 VMs, selecting them every 20 ms takes a third of it.
const (
	rolesInterval           = 20 * time.Millisecond
	largeFleetRolesInterval = 200 * time.Millisecond
)

// roles holds which VMs have which roles for others, as of some moment.
type roles struct {
	at              time.Time
	stopping        bool
	planner, reader string
	// liveVMs is the number of live entry VMs, including this one.
	liveVMs int
	// large is whether the fleet exchanges reports through relays. If so, relays are those
	// of each failure domain, the lead relay first, and probes are the addresses to try in
	// domains without a live VM.
	large  bool
	relays map[string][]string
	probes map[string]bool
	// keepers are the VMs of this domain that may be in its keeper group, in order of
	// preference.
	keepers []string
	// aloneInDomain is whether this VM knows no other live VM of its domain.
	aloneInDomain bool
	// ownView is the view of its domain that this VM sends as a relay, nil before the
	// first one. newestConfig is the other VM with the newest configuration.
	ownView      *domainView
	newestConfig entryvm.VMVersion
}

// interval returns the minimum time until the next selection.
func (r *roles) interval() time.Duration {
	if r.large {
		return largeFleetRolesInterval
	}
	return rolesInterval
}

// invalidateRoles makes the next currentRoles select the VMs with roles again. Call with
// mu held.
func (m *members) invalidateRoles() { m.roles.at = time.Time{} }

// currentRoles returns the VMs with roles, selecting them again if the last selection is
// out of date. Call with mu held.
func (m *members) currentRoles(now time.Time) *roles {
	stopping := m.node.stopping.Load()
	if age := now.Sub(m.roles.at); age < 0 || age >= m.roles.interval() || m.roles.stopping != stopping {
		r := roles{at: now, stopping: stopping, large: m.isLarge()}
		if r.large {
			m.selectRelays(now, &r)
			r.newestConfig = m.refreshNewestConfig()
		}
		r.planner, r.reader = m.selectPlanner(now, &r), m.selectReader(now, &r)
		r.liveVMs = 1
		m.eachLiveLocked(now, func(*entryvm.Report) { r.liveVMs++ })
		m.roles = r
	}
	return &m.roles
}

// plannerLocked returns the planner. Call with mu held.
func (m *members) plannerLocked(now time.Time) string { return m.currentRoles(now).planner }

// selectPlanner selects the planner among all live VMs that are not leaving. In a large
// fleet it selects among the lead relays, because they learn of waiting requests before
// other VMs do.
func (m *members) selectPlanner(now time.Time, r *roles) string {
	candidates := []roleCandidate{{m.node.config.VM, m.node.config.Capacity}}
	if r.large && !r.isLeadRelay(m.node.config.Domain, m.node.config.VM) {
		candidates = nil
	}
	m.eachLiveLocked(now, func(report *entryvm.Report) {
		if !report.Leaving && (!r.large || r.isLeadRelay(report.Domain, report.VM)) {
			candidates = append(candidates, roleCandidate{report.VM, report.Capacity})
		}
	})
	return selectVM(plannerKey, candidates)
}

// roleCandidate is a VM that could take a role for others.
type roleCandidate struct {
	name     string
	capacity int64
}

// selectVM selects one of the largest VMs for a role. Of 64 VMs most have a 10 Mbit/s link
// and a fifth of a core; on one of these, a role that communicates with all other VMs
// filled the link and delayed the VM's own callers.
func selectVM(key string, candidates []roleCandidate) string {
	if top := selectTop(key, candidates, 1); len(top) > 0 {
		return top[0]
	}
	return ""
}

// keeperOf returns the VM that sends orders to a shard's engines, and its address; ok is
// false if no live VM does.
func (m *members) keeperOf(now time.Time, domain string, shard int) (vm, address string, ok bool) {
	m.eachLive(now, func(r *entryvm.Report) {
		if r.Domain == domain && slices.Contains(r.KeptShards, shard) {
			vm, address, ok = r.VM, r.Address, true
		}
	})
	return vm, address, ok
}

// newerConfigAddresses returns the addresses of VMs with a newer configuration, newest
// first. If lacking, as when this VM does not have its initial data yet, it returns the
// addresses of all peers.
func (m *members) newerConfigAddresses(version uint64, lacking bool) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*member
	for _, p := range m.peers {
		if lacking || (!p.lastSeen.IsZero() && p.report.Configuration > version) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.report.Configuration, a.report.Configuration), cmp.Compare(a.address, b.address))
	})
	addresses := make([]string, 0, len(out)+1)
	if newestConfig := m.relayed.newestConfig; newestConfig.Configuration > version && newestConfig.Address != m.node.config.Address {
		addresses = append(addresses, newestConfig.Address)
	}
	for _, p := range out {
		addresses = append(addresses, p.address)
	}
	return addresses
}

// newestConfiguration returns the newest configuration version that another VM reported.
func (m *members) newestConfiguration() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.findNewestConfig().Configuration
}

// recordFailure records a failed exchange. When the VM or its whole failure domain reaches
// the allowed number of failures, it no longer counts as live.
func (m *members) recordFailure(p *member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.failures++
	domain := p.report.Domain
	if p.lastSeen.IsZero() {
		return
	}
	m.domainFailures[domain]++
	if p.failures == maxFailures {
		wake(m.wake) // exchanges with another VM may be needed instead
		m.invalidateRoles()
		m.node.config.Logger.Info("entry VM silent", zap.String("peer", p.report.VM), zap.Int("failed_exchanges", p.failures))
	}
	if domain != m.node.config.Domain && m.domainFailures[domain] == m.maxDomainFailures() {
		m.node.config.Logger.Warn("failure domain silent", zap.String("domain", domain))
		m.runningCounts.stale = true
		m.invalidateRoles()
		m.node.planner.wakeUp()
	}
}

// dropSilentPeers drops addresses that have not answered for unansweredAddressTTL, except
// the seeds.
func (m *members) dropSilentPeers() {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, p := range m.peers {
		last := p.lastSeen
		if last.IsZero() {
			last = p.addedAt
		}
		if now.Sub(last) > unansweredAddressTTL && !slices.Contains(m.node.config.Seeds, address) {
			if p.stop != nil {
				p.stop()
			}
			delete(m.peers, address)
		}
	}
}
