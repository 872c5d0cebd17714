package hosted

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
)

// live calls f with the newest report of each live peer, under the lock.
func (m *members) eachLive(now time.Time, f func(*entryvm.Report)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.eachLiveLocked(now, f)
}

func (m *members) eachLiveLocked(now time.Time, f func(*entryvm.Report)) {
	for _, p := range m.peers {
		if m.isLive(now, p) {
			f(&p.report)
		}
	}
}

// isLive tells whether a VM counts as live: heard lately, and not found silent since,
// nor its whole failure domain. Call with mu held.
func (m *members) isLive(now time.Time, p *member) bool {
	domain := p.report.Domain
	return !p.lastSeen.IsZero() && now.Sub(p.lastSeen) < m.liveTTL(p) && p.failures < maxFailures && !m.isSilentLocked(domain)
}

// isSilent tells whether no VM of another failure domain answers this one, or the relay
// that it goes by. Call with mu held.
func (m *members) isSilentLocked(domain string) bool {
	if domain == m.node.config.Domain {
		return false
	}
	view := m.relayed.views[domain]
	return m.domainFailures[domain] >= m.maxDomainFailures() || (view != nil && view.silent)
}

// failuresOfASilentDomain is how many exchanges in a row fail with the VMs of a silent
// failure domain. In a large fleet the first four are with its two relays. Failure: both
// died, and the whole domain counted as cut off until the next one was heard. Call with mu
// held.
func (m *members) maxDomainFailures() int {
	if m.isLarge() {
		return relaysPerDomain*maxFailures + 1
	}
	return maxMeshDomainFailures
}

// large tells whether the fleet exchanges through relays. Call with mu held.
func (m *members) isLarge() bool { return len(m.peers) > maxFullMeshPeers }

// silent is isSilent for all who don't hold mu.
func (m *members) isSilent(domain string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isSilentLocked(domain)
}

// seenFor is how long a VM counts as live without a word. Call with mu held.
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

// count is the number of live entry VMs, this one included.
func (m *members) liveCount(now time.Time) int {
	live := 1
	m.eachLive(now, func(*entryvm.Report) { live++ })
	return live
}

// plans tells whether this VM plans for all: the live one with the lowest hash that
// is not leaving. Two that both think so cost a swap too many, never safety: each
// swap is checked by its engine's keeper.
func (m *members) isPlanner(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.plannerLocked(now) == m.node.config.VM
}

// drawEvery is the least time between two draws of the VMs that have duties for others,
// drawLargeEvery in a large fleet, where what changes a draw has it made anew at once. In a
// fleet of 63 VMs each exchange drew them five times over all peers, a fifth of the processor
// time of exchanges and plans; in one of 180, drawing them every 20 ms was a third of it
// (profiles in virtual time).
const (
	rolesInterval           = 20 * time.Millisecond
	largeFleetRolesInterval = 200 * time.Millisecond
)

// drawn are the VMs that have duties for others, as of some moment.
type roles struct {
	at              time.Time
	stopping        bool
	planner, reader string
	// large is whether the fleet exchanges through relays; relays are then each failure
	// domain's, the one that leads first, and probes the addresses to try in domains
	// without a live VM.
	large  bool
	relays map[string][]string
	probes map[string]bool
	// keepers are the own domain's VMs that may be in its group, the first ones first.
	keepers []string
	// alone is whether this VM knows no other live one in its domain.
	aloneInDomain bool
	// own is the view of the own domain that a relay tells, nil before the first, and newestConfig
	// the VM with the newest configuration.
	ownView      *domainView
	newestConfig entryvm.VMVersion
}

// every is the least time until the next draw.
func (d *roles) interval() time.Duration {
	if d.large {
		return largeFleetRolesInterval
	}
	return rolesInterval
}

// redraw has the VMs with duties drawn anew. Call with mu held.
func (m *members) invalidateRoles() { m.roles.at = time.Time{} }

// duties returns the VMs that have duties for others. Call with mu held.
func (m *members) currentRoles(now time.Time) *roles {
	stopping := m.node.stopping.Load()
	if age := now.Sub(m.roles.at); age < 0 || age >= m.roles.interval() || m.roles.stopping != stopping {
		d := roles{at: now, stopping: stopping, large: m.isLarge()}
		if d.large {
			m.selectRelays(now, &d)
			d.newestConfig = m.refreshNewestConfig()
		}
		d.planner, d.reader = m.selectPlanner(now, &d), m.selectReader(now, &d)
		m.roles = d
	}
	return &m.roles
}

// pickPlanner returns the VM that plans. Call with mu held.
func (m *members) plannerLocked(now time.Time) string { return m.currentRoles(now).planner }

// drawPlanner draws among all live VMs, in a large fleet among the relays that lead their
// domains: they hear of requests that wait before others do.
func (m *members) selectPlanner(now time.Time, d *roles) string {
	candidates := []roleCandidate{{m.node.config.VM, m.node.config.Capacity}}
	if d.large && !d.isLeadRelay(m.node.config.Domain, m.node.config.VM) {
		candidates = nil
	}
	m.eachLiveLocked(now, func(r *entryvm.Report) {
		if !r.Leaving && (!d.large || d.isLeadRelay(r.Domain, r.VM)) {
			candidates = append(candidates, roleCandidate{r.VM, r.Capacity})
		}
	})
	return selectVM(plannerKey, candidates)
}

// volunteer is a VM that could take a duty for others.
type roleCandidate struct {
	name     string
	capacity int64
}

// draw picks one of the largest VMs for a duty. Failure: of 64 VMs most have a link of
// 10 Mbit/s and a fifth of a core; a duty that talks to all others filled the link of
// one of them, and its own callers waited behind.
func selectVM(key string, candidates []roleCandidate) string {
	if top := selectTop(key, candidates, 1); len(top) > 0 {
		return top[0]
	}
	return ""
}

// keeperOf returns the VM that gives orders to a shard's engines and its address;
// false if no live one does.
func (m *members) keeperOf(now time.Time, domain string, shard int) (vm, address string, ok bool) {
	m.eachLive(now, func(r *entryvm.Report) {
		if r.Domain == domain && slices.Contains(r.Keeps, shard) {
			vm, address, ok = r.VM, r.Address, true
		}
	})
	return vm, address, ok
}

// withNewerConfig returns the addresses of VMs that know more: a newer configuration, or,
// where this VM lacks its start, any at all.
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

// newestConfiguration is the newest version that another VM reported.
func (m *members) newestConfiguration() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.findNewestConfig().Configuration
}

// failed notes an exchange that failed. Where it was the last that the VM, or its whole
// failure domain, may fail, it no longer counts as live.
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
		wake(m.wake) // another one may have to be exchanged with
		m.invalidateRoles()
		m.node.config.Logger.Info("entry VM silent", zap.String("peer", p.report.VM), zap.Int("failed_exchanges", p.failures))
	}
	if domain != m.node.config.Domain && m.domainFailures[domain] == m.maxDomainFailures() {
		m.node.config.Logger.Warn("failure domain silent", zap.String("domain", domain))
		m.sums.stale = true
		m.invalidateRoles()
		m.node.planner.wakeUp()
	}
}

// forget drops addresses that have not answered for long.
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
