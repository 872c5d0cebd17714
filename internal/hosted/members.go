package hosted

import (
	"context"
	"sync"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
)

const (
	// seenFor is how long a VM counts as live after its newest report: several
	// reports, so that one lost is no death.
	reportTTL = 1500 * time.Millisecond
	// failuresMost is how many exchanges in a row may fail before a VM counts as gone,
	// domainFailuresMost how many with a failure domain's VMs while none of them is
	// heard before all of them do. Failure: a domain is cut off, and in a large fleet
	// reports are rare; for eight seconds its VMs took the planner for live, and nobody
	// planned for the domain's engines.
	maxFailures           = 2
	maxMeshDomainFailures = 3
	// retryExchange is the pause after an exchange that failed, while that may still
	// tell something.
	exchangeRetryDelay = 300 * time.Millisecond
	// forgetAfter is how long an address that never answers is tried.
	unansweredAddressTTL = 20 * time.Second
	// reportTimeout bounds an exchange of reports.
	reportTimeout = 700 * time.Millisecond
	// reportGap is the least time between two exchanges with one VM, however much
	// there is to tell: news of many requests goes out together.
	minMeshExchangeInterval = 12 * time.Millisecond
	// fullMesh is the number of other VMs up to which each exchanges with each; beyond it
	// the fleet is large and exchanges through relays, so that a VM's cost does not grow
	// with the fleet.
	maxFullMeshPeers = 12
	// fullEvery is the number of reports to a peer of which one is full.
	fullReportInterval = 5
	// newsRepeat is how many reports carry a change of an engine: one may be lost.
	updateRepeats = 4
	// newsEvery is the number of reports to a peer of which one carries all kept engines.
	allEnginesReportInterval = 12
)

// members is what this VM knows of the other entry VMs. It is safe for concurrent
// use.
type members struct {
	node *Node
	// wake asks the duty to look for new addresses.
	wake chan struct{}

	mu       sync.Mutex
	sequence uint64
	peers    map[string]*member // by address
	// silentDomains counts the exchanges that failed with a domain's VMs since one of
	// them was heard.
	domainFailures map[string]int
	// drawn is for duties.
	roles roles
	// sums is what runs through the other live VMs.
	sums sums
	// relaySince is since when this VM is a relay, zero while it is none.
	relaySince time.Time
	// relayed is what relays told, where the fleet is large.
	relayed relayedState
}

// runKey is a unit on a backend server.
type runKey struct{ backend, unit string }

// member is another entry VM, or an address at which one should be.
type member struct {
	address string
	// report is the newest, lastSeen when it came; zero before the first.
	report   entryvm.Report
	lastSeen time.Time
	// reportedAt is when its own last report came; lastSeen is later where a relay named it
	// since.
	reportedAt time.Time
	// liveFor is how long it counts as live without a word, 0 for the usual time.
	liveTTL time.Duration
	// loadSentAt is when it was told last what runs at others.
	loadSentAt time.Time
	// renewedAt is when it was told last which news holds.
	renewedAt time.Time
	// unwantedAt is since when no exchange with it is wanted, zero while one is.
	unwantedAt time.Time
	// failures counts the exchanges that failed since.
	failures int
	// reports counts the reports to it.
	reportCount uint64
	// addedAt is when the address was learned.
	addedAt time.Time
	notify  chan struct{}
	stop    context.CancelFunc
}

func newMembers(n *Node) *members {
	return &members{node: n, wake: make(chan struct{}, 1), peers: make(map[string]*member),
		domainFailures: make(map[string]int), sums: newSums(), relayed: newRelayedState()}
}

func newMember(address string, now time.Time) *member {
	return &member{address: address, addedAt: now, notify: make(chan struct{}, 1)}
}

// run is the duty that exchanges reports with each known VM.
func (m *members) run(ctx context.Context) {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	m.addAddresses(m.node.config.Seeds)
	timer := time.NewTicker(m.node.config.Report)
	defer timer.Stop()
	for {
		for _, p := range m.updateExchanges(ctx, time.Now()) {
			exchanges.Go(func() { m.runExchange(p.ctx, p.member) })
		}
		m.dropSilentPeers()
		select {
		case <-timer.C:
		case <-m.wake:
		case <-ctx.Done():
			return
		}
	}
}

// learn takes addresses at which entry VMs may be.
func (m *members) addAddresses(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	added := false
	for _, address := range addresses {
		if address == "" || address == m.node.config.Address || m.peers[address] != nil {
			continue
		}
		m.peers[address] = newMember(address, time.Now())
		added = true
	}
	if added {
		wake(m.wake)
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// newExchange is a peer with which exchanges are to begin, until ctx ends.
type pendingExchange struct {
	*member
	ctx context.Context
}

// choose ends the exchanges that are no longer wanted, and returns those to begin.
func (m *members) updateExchanges(ctx context.Context, now time.Time) []pendingExchange {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.relayed.updates.dropExpired(now)
	d := m.currentRoles(now)
	var out []pendingExchange
	for _, p := range m.peers {
		wanted := m.shouldExchange(p, d)
		switch {
		case wanted && p.stop == nil:
			started := pendingExchange{member: p}
			started.ctx, p.stop = context.WithCancel(ctx)
			out = append(out, started)
		case wanted:
			p.unwantedAt = time.Time{}
		case p.stop == nil:
		case p.unwantedAt.IsZero():
			p.unwantedAt = now
		case now.Sub(p.unwantedAt) > unwantedExchangeTTL:
			m.endExchange(now, p)
		}
		m.setLiveTTL(p, d)
	}
	return out
}

// end ends the exchange with a peer. One that did not answer stays silent until somebody
// hears it again. Call with mu held.
func (m *members) endExchange(now time.Time, p *member) {
	if p.failures >= maxFailures {
		p.lastSeen = now.Add(-relayedTTL)
	}
	p.stop()
	p.stop, p.unwantedAt, p.failures = nil, time.Time{}, 0
}

// exchange is the duty of one peer.
func (m *members) runExchange(ctx context.Context, p *member) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for count := 0; ; count++ {
		select {
		case <-timer.C:
		case <-p.notify:
		case <-ctx.Done():
			return
		}
		sentAt := m.node.config.Boot()
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		reply, err := m.node.config.Peers.EntryVMs.Report(callCtx, p.address, m.buildReport(time.Now(), count%fullReportInterval == 0, m.lastReport(p), false))
		cancel()
		if err == nil {
			m.receive(time.Now(), reply, p.address)
			m.node.applyFeed(sentAt, &reply)
		} else if ctx.Err() == nil {
			m.recordFailure(p)
		}
		// The gap is part of the pace. Failure: on top of it, what runs elsewhere was up to
		// half as old again at its reader as the paces on its way add up to.
		interval := m.minExchangeInterval(time.Now(), p)
		if !pause.For(ctx, interval) {
			return
		}
		timer.Reset(max(0, m.exchangeInterval(time.Now(), p)-interval))
	}
}

// pace is the time between two reports to a peer. Of two VMs each begins exchanges
// with the other, so news is half as old.
func (m *members) exchangeInterval(now time.Time, p *member) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	interval := m.node.config.Report
	if d := m.currentRoles(now); d.large {
		interval = m.relayedExchangeInterval(p, d)
	}
	if p.failures > 0 && p.failures < maxFailures {
		interval = min(interval, exchangeRetryDelay)
	}
	return interval
}

// gap is the least time between two exchanges with a peer. Failure: each VM of a large
// fleet told others of each request that began to wait; together they filled the link of
// 10 Mbit/s of the VM that plans, and it could not read a new configuration for twenty
// seconds.
func (m *members) minExchangeInterval(now time.Time, p *member) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.currentRoles(now)
	switch {
	case !d.large:
		return minMeshExchangeInterval
	case p.report.Domain == m.node.config.Domain:
		return minMemberExchangeInterval
	default:
		return minRelayExchangeInterval
	}
}

// readsFor tells whether the peer reads the registry for this VM. Call with mu held.
func (m *members) isReader(now time.Time, p *member) bool {
	return p.report.Domain == m.node.config.Domain && p.report.VM == m.readerLocked(now)
}

// notifyDomain has reports go to the VMs of the own domain at once, if this one reads for them.
func (m *members) notifyDomain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readerLocked(time.Now()) != m.node.config.VM {
		return
	}
	for _, p := range m.peers {
		if p.report.Domain == m.node.config.Domain {
			wake(p.notify)
		}
	}
}

// notifyAll has reports go to all peers at once.
func (m *members) notifyAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.currentRoles(time.Now())
	for _, p := range m.peers {
		if m.shouldNotify(p, d) {
			wake(p.notify)
		}
	}
}

// notifyPlanner has a report go to the VM that plans at once, or the relay on the way to it.
func (m *members) notifyPlanner(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.currentRoles(now)
	to := d.planner
	if relays := d.relays[m.node.config.Domain]; d.large && !d.isRelay(m) && len(relays) > 0 {
		to = relays[0]
	}
	for _, p := range m.peers {
		if p.report.VM == to {
			wake(p.notify)
		}
	}
}

// plannerKey is what the planner is drawn for.
const plannerKey = "planner"
