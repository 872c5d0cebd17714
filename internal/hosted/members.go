package hosted

import (
	"context"
	"sync"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
)

const (
	// reportTTL is how long a VM counts as live after its newest report. It spans several
	// reports, so that losing one does not make a VM count as gone.
	reportTTL = 1500 * time.Millisecond
	// maxFailures is how many exchanges in a row may fail before a VM counts as gone.
	// maxMeshDomainFailures is how many may fail with a failure domain's VMs, while none
	// of them reports, before the whole domain does. Without the limit per domain, after a
	// partition of a large fleet, where reports are rare, a domain's VMs count a planner
	// on the other side as live for eight seconds, and nobody plans for the domain's
	// engines.
	maxFailures           = 2
	maxMeshDomainFailures = 3
	// exchangeRetryDelay is the pause after a failed exchange while further failures still
	// decide whether the VM counts as live.
	exchangeRetryDelay = 300 * time.Millisecond
	// unansweredAddressTTL is how long an address that does not answer is tried.
	unansweredAddressTTL = 20 * time.Second
	// reportTimeout limits an exchange of reports.
	reportTimeout = 700 * time.Millisecond
	// minMeshExchangeInterval is the minimum time between two exchanges with one VM in a
	// small fleet, so that updates of many requests are sent together.
	minMeshExchangeInterval = 12 * time.Millisecond
	// maxFullMeshPeers is the maximum number of other VMs with which each VM exchanges
	// reports directly. A larger fleet exchanges them through relays, so that a VM's cost
	// does not grow with the fleet.
	maxFullMeshPeers = 12
	// reportsPerFullReport is the number of reports to a peer of which one is full.
	reportsPerFullReport = 5
	// updateRepeats is how many reports carry a change of an engine, because one may be
	// lost.
	updateRepeats = 4
	// reportsPerEngineList is the number of reports to a peer of which one lists all
	// kept engines.
	reportsPerEngineList = 12
)

// members is what this VM knows of the other entry VMs. It is safe for concurrent use.
type members struct {
	node *Node
	// wake makes run look for new addresses.
	wake chan struct{}

	mu       sync.Mutex
	sequence uint64
	peers    map[string]*member // by address
	// domainFailures counts the failed exchanges with a domain's VMs since one of them
	// last reported.
	domainFailures map[string]int
	// roles is the cached result of currentRoles.
	roles roles
	// runningCounts counts the requests that the other live VMs have in flight.
	runningCounts runningCounts
	signals       fleetSignals
	// relaySince is when this VM became a relay, zero while it is none.
	relaySince time.Time
	// relayed is what relays reported, in a large fleet.
	relayed relayedState
}

// runKey identifies a unit on a backend server.
type runKey struct{ backend, unit string }

// member is another entry VM, or an address at which one should be.
type member struct {
	address string
	// report is the newest report, lastSeen when it arrived; both are zero before the
	// first.
	report   entryvm.Report
	lastSeen time.Time
	// reportedAt is when its own last report arrived. lastSeen is later if a relay has
	// named the VM since.
	reportedAt time.Time
	// liveTTL is how long it counts as live without a report, 0 for the default.
	liveTTL time.Duration
	// loadSentAt is when it was last sent the loads of others.
	loadSentAt time.Time
	// signalsSentAt is when it was last sent this VM's signals.
	signalsSentAt time.Time
	// sumSentAt is when it was last sent a sum of signals.
	sumSentAt time.Time
	// renewedAt is when it was last sent renewals of updates.
	renewedAt time.Time
	// unwantedAt is since when no exchange with it has been wanted, zero while one is.
	unwantedAt time.Time
	// failures counts the failed exchanges since its last report.
	failures int
	// reportCount counts the reports to it.
	reportCount uint64
	// addedAt is when the address became known.
	addedAt time.Time
	notify  chan struct{}
	stop    context.CancelFunc
}

func newMembers(n *Node) *members {
	return &members{node: n, wake: make(chan struct{}, 1), peers: make(map[string]*member),
		domainFailures: make(map[string]int), runningCounts: newRunningCounts(), relayed: newRelayedState()}
}

func newMember(address string, now time.Time) *member {
	return &member{address: address, addedAt: now, notify: make(chan struct{}, 1)}
}

// run exchanges reports with all known VMs until ctx ends.
func (m *members) run(ctx context.Context) {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	m.addAddresses(m.node.config.Seeds)
	timer := time.NewTicker(m.node.config.ReportInterval)
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

// addAddresses adds addresses at which entry VMs may be.
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

// pendingExchange is a peer with which exchanges are to start; they last until ctx ends.
type pendingExchange struct {
	*member
	ctx context.Context
}

// updateExchanges ends the exchanges that are no longer wanted and returns those to start.
func (m *members) updateExchanges(ctx context.Context, now time.Time) []pendingExchange {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.relayed.updates.DropExpired(now)
	r := m.currentRoles(now)
	var out []pendingExchange
	for _, p := range m.peers {
		wanted := m.shouldExchange(p, r)
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
		m.setLiveTTL(p, r)
	}
	return out
}

// endExchange ends the exchanges with a peer. A peer that did not answer stays silent
// until a VM receives a report from it again. Call with mu held.
func (m *members) endExchange(now time.Time, p *member) {
	if p.failures >= maxFailures {
		p.lastSeen = now.Add(-relayedTTL)
	}
	p.stop()
	p.stop, p.unwantedAt, p.failures = nil, time.Time{}, 0
}

// runExchange exchanges reports with one peer until ctx ends.
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
		sentAt := m.node.config.BootClock()
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		reply, err := m.node.config.Peers.EntryVMs.Report(callCtx, p.address, m.buildReport(time.Now(), count%reportsPerFullReport == 0, m.lastReport(p), false))
		cancel()
		if err == nil {
			m.receive(time.Now(), reply, p.address)
			m.node.applyFeed(sentAt, &reply)
		} else if ctx.Err() == nil {
			m.recordFailure(p)
		}
		// The interval includes the minimum pause. Added on top, it would make in-flight
		// counts up to 1.5 times as old as the configured intervals allow.
		interval := m.minExchangeInterval(time.Now(), p)
		if !pause.For(ctx, interval) {
			return
		}
		timer.Reset(max(0, m.exchangeInterval(time.Now(), p)-interval))
	}
}

// exchangeInterval returns the time between two reports to a peer. Of two VMs each starts
// exchanges with the other, which halves the age of their data.
func (m *members) exchangeInterval(now time.Time, p *member) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	interval := m.node.config.ReportInterval
	if r := m.currentRoles(now); r.large {
		interval = m.relayedExchangeInterval(p, r)
	}
	if p.failures > 0 && p.failures < maxFailures {
		interval = min(interval, exchangeRetryDelay)
	}
	return interval
}

// minExchangeInterval returns the minimum time between two exchanges with a peer. Without
// it, each VM of a large fleet reported every request that started to wait; together they
// filled the planner's 10 Mbit/s link, and it could not read a new configuration for 20
// seconds.
func (m *members) minExchangeInterval(now time.Time, p *member) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.currentRoles(now)
	switch {
	case !r.large:
		return minMeshExchangeInterval
	case p.report.Domain == m.node.config.Domain:
		return minMemberExchangeInterval
	default:
		return minRelayExchangeInterval
	}
}

// isReader reports whether the peer reads the registry for this VM. Call with mu held.
func (m *members) isReader(now time.Time, p *member) bool {
	return p.report.Domain == m.node.config.Domain && p.report.VM == m.readerLocked(now)
}

// notifyDomain sends reports to the VMs of this domain at once if this VM is their reader.
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

// notifyAll sends reports at once to all peers for which shouldNotify holds.
func (m *members) notifyAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.currentRoles(time.Now())
	for _, p := range m.peers {
		if m.shouldNotify(p, r) {
			wake(p.notify)
		}
	}
}

// notifyPlanner sends a report at once to the planner, or to the relay on the way to it.
func (m *members) notifyPlanner(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.currentRoles(now)
	to := r.planner
	if relays := r.relays[m.node.config.Domain]; r.large && !r.isRelay(m) && len(relays) > 0 {
		to = relays[0]
	}
	for _, p := range m.peers {
		if p.report.VM == to {
			wake(p.notify)
		}
	}
}

// plannerKey is the rendezvous hash key for selecting the planner.
const plannerKey = "planner"
