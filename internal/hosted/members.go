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
	seenFor = 1500 * time.Millisecond
	// failuresMost is how many exchanges in a row may fail before a VM counts as gone,
	// domainFailuresMost how many with a failure domain's VMs while none of them is
	// heard before all of them do. Failure: a domain is cut off, and in a large fleet
	// reports are rare; for eight seconds its VMs took the planner for live, and nobody
	// planned for the domain's engines.
	failuresMost       = 2
	domainFailuresMost = 3
	// retryExchange is the pause after an exchange that failed, while that may still
	// tell something.
	retryExchange = 300 * time.Millisecond
	// forgetAfter is how long an address that never answers is tried.
	forgetAfter = 20 * time.Second
	// reportTimeout bounds an exchange of reports.
	reportTimeout = 700 * time.Millisecond
	// reportGap is the least time between two exchanges with one VM, however much
	// there is to tell: news of many requests goes out together.
	reportGap = 12 * time.Millisecond
	// fullMesh is the number of other VMs up to which each exchanges with each; beyond it
	// the fleet is large and exchanges through relays, so that a VM's cost does not grow
	// with the fleet.
	fullMesh = 12
	// fullEvery is the number of reports to a peer of which one is full.
	fullEvery = 5
	// newsRepeat is how many reports carry a change of an engine: one may be lost.
	newsRepeat = 4
	// newsEvery is the number of reports to a peer of which one carries all kept engines.
	newsEvery = 12
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
	silentDomains map[string]int
	// drawn is for duties.
	drawn drawn
	// sums is what runs through the other live VMs.
	sums sums
	// relaySince is since when this VM is a relay, zero while it is none.
	relaySince time.Time
	// relayed is what relays told, where the fleet is large.
	relayed relayed
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
	liveFor time.Duration
	// loadSentAt is when it was told last what runs at others.
	loadSentAt time.Time
	// renewedAt is when it was told last which news holds.
	renewedAt time.Time
	// unwantedAt is since when no exchange with it is wanted, zero while one is.
	unwantedAt time.Time
	// failures counts the exchanges that failed since.
	failures int
	// reports counts the reports to it.
	reports uint64
	// addedAt is when the address was learned.
	addedAt time.Time
	notify  chan struct{}
	stop    context.CancelFunc
}

func newMembers(n *Node) *members {
	return &members{node: n, wake: make(chan struct{}, 1), peers: make(map[string]*member),
		silentDomains: make(map[string]int), sums: newSums(), relayed: newRelayed()}
}

func newMember(address string, now time.Time) *member {
	return &member{address: address, addedAt: now, notify: make(chan struct{}, 1)}
}

// run is the duty that exchanges reports with each known VM.
func (m *members) run(ctx context.Context) {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	m.learn(m.node.config.Seeds)
	timer := time.NewTicker(m.node.config.ReportInterval)
	defer timer.Stop()
	for {
		for _, p := range m.choose(ctx, time.Now()) {
			exchanges.Go(func() { m.exchange(p.ctx, p.member) })
		}
		m.forget()
		select {
		case <-timer.C:
		case <-m.wake:
		case <-ctx.Done():
			return
		}
	}
}

// learn takes addresses at which entry VMs may be.
func (m *members) learn(addresses []string) {
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
type newExchange struct {
	*member
	ctx context.Context
}

// choose ends the exchanges that are no longer wanted, and returns those to begin.
func (m *members) choose(ctx context.Context, now time.Time) []newExchange {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.relayed.news.sweep(now)
	d := m.duties(now)
	var out []newExchange
	for _, p := range m.peers {
		wanted := m.exchangesWith(p, d)
		switch {
		case wanted && p.stop == nil:
			b := newExchange{member: p}
			b.ctx, p.stop = context.WithCancel(ctx)
			out = append(out, b)
		case wanted:
			p.unwantedAt = time.Time{}
		case p.stop == nil:
		case p.unwantedAt.IsZero():
			p.unwantedAt = now
		case now.Sub(p.unwantedAt) > unwantedFor:
			m.end(now, p)
		}
		m.classify(p, d)
	}
	return out
}

// end ends the exchange with a peer. One that did not answer stays silent until somebody
// hears it again. Call with mu held.
func (m *members) end(now time.Time, p *member) {
	if p.failures >= failuresMost {
		p.lastSeen = now.Add(-relayedFor)
	}
	p.stop()
	p.stop, p.unwantedAt, p.failures = nil, time.Time{}, 0
}

// exchange is the duty of one peer.
func (m *members) exchange(ctx context.Context, p *member) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for count := 0; ; count++ {
		select {
		case <-timer.C:
		case <-p.notify:
		case <-ctx.Done():
			return
		}
		sent := m.node.config.BootClock()
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		reply, err := m.node.config.Peers.EntryVMs.Report(callCtx, p.address, m.report(time.Now(), count%fullEvery == 0, m.lastReport(p), false))
		cancel()
		if err == nil {
			m.receive(time.Now(), reply, p.address)
			m.node.applyFeed(sent, &reply)
		} else if ctx.Err() == nil {
			m.failed(p)
		}
		// The gap is part of the pace. Failure: on top of it, what runs elsewhere was up to
		// half as old again at its reader as the paces on its way add up to.
		gap := m.gap(time.Now(), p)
		if !pause.For(ctx, gap) {
			return
		}
		timer.Reset(max(0, m.pace(time.Now(), p)-gap))
	}
}

// pace is the time between two reports to a peer. Of two VMs each begins exchanges
// with the other, so news is half as old.
func (m *members) pace(now time.Time, p *member) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	pace := m.node.config.ReportInterval
	if d := m.duties(now); d.large {
		pace = m.largePace(p, d)
	}
	if p.failures > 0 && p.failures < failuresMost {
		pace = min(pace, retryExchange)
	}
	return pace
}

// gap is the least time between two exchanges with a peer. Failure: each VM of a large
// fleet told others of each request that began to wait; together they filled the link of
// 10 Mbit/s of the VM that plans, and it could not read a new configuration for twenty
// seconds.
func (m *members) gap(now time.Time, p *member) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.duties(now)
	switch {
	case !d.large:
		return reportGap
	case p.report.Domain == m.node.config.Domain:
		return memberGap
	default:
		return relayGap
	}
}

// readsFor tells whether the peer reads the registry for this VM. Call with mu held.
func (m *members) readsFor(now time.Time, p *member) bool {
	return p.report.Domain == m.node.config.Domain && p.report.VM == m.pickReader(now)
}

// notifyDomain has reports go to the VMs of the own domain at once, if this one reads for them.
func (m *members) notifyDomain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pickReader(time.Now()) != m.node.config.VM {
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
	d := m.duties(time.Now())
	for _, p := range m.peers {
		if m.notifiedAtOnce(p, d) {
			wake(p.notify)
		}
	}
}

// notifyPlanner has a report go to the VM that plans at once, or the relay on the way to it.
func (m *members) notifyPlanner(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.duties(now)
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
