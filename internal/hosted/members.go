package hosted

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
)

const (
	// heardFor is how long a VM counts as live after its newest report: several
	// reports, so that one lost is no death.
	heardFor = 1500 * time.Millisecond
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
	// tellGap is the least time between two exchanges with one VM, however much
	// there is to tell: news of many requests goes out together.
	tellGap = 12 * time.Millisecond
	// fullMesh is the number of other VMs up to which each exchanges with each; beyond it
	// the fleet is large and exchanges through relays, so that a VM's cost does not grow
	// with the fleet.
	fullMesh = 12
	// fullEvery is the number of reports to a peer of which one is full.
	fullEvery = 5
	// newsRepeat is how many reports carry a change of an engine: one may be lost.
	newsRepeat = 4
	// newsEvery is the number of reports after which all engines are told again.
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
	// report is the newest, heardAt when it came; zero before the first.
	report  entryvm.Report
	heardAt time.Time
	// reportedAt is when its own last report came; heardAt is later where a relay named it
	// since.
	reportedAt time.Time
	// liveFor is how long it counts as live without a word, 0 for the usual time.
	liveFor time.Duration
	// loadToldAt is when it was told last what runs at others.
	loadToldAt time.Time
	// unwantedAt is since when no exchange with it is wanted, zero while one is.
	unwantedAt time.Time
	// failures counts the exchanges that failed since.
	failures int
	// addedAt is when the address was learned.
	addedAt time.Time
	tell    chan struct{}
	stop    context.CancelFunc
}

func newMembers(n *Node) *members {
	return &members{node: n, wake: make(chan struct{}, 1), peers: make(map[string]*member),
		silentDomains: make(map[string]int), sums: newSums(), relayed: newRelayed()}
}

func newMember(address string, now time.Time) *member {
	return &member{address: address, addedAt: now, tell: make(chan struct{}, 1)}
}

// run is the duty that exchanges reports with each known VM.
func (m *members) run(ctx context.Context) {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	m.learn(m.node.config.Seeds)
	timer := time.NewTicker(m.node.config.Report)
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
		p.heardAt = now.Add(-relayedFor)
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
		case <-p.tell:
		case <-ctx.Done():
			return
		}
		sent := m.node.config.Boot()
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		reply, err := m.node.config.Peers.EntryVMs.Report(callCtx, p.address, m.report(time.Now(), count%fullEvery == 0, m.lastReport(p), false))
		cancel()
		if err == nil {
			m.heard(time.Now(), reply, p.address)
			m.node.takeFeed(sent, &reply)
		} else if ctx.Err() == nil {
			m.failed(p)
		}
		if !pause.For(ctx, m.gap(time.Now(), p)) {
			return
		}
		timer.Reset(m.pace(time.Now(), p))
	}
}

// pace is the time between two reports to a peer. Of two VMs each begins exchanges
// with the other, so news is half as old.
func (m *members) pace(now time.Time, p *member) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	pace := m.node.config.Report
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
		return tellGap
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

// tellDomain has the VMs of the own domain told at once, if this one reads for them.
func (m *members) tellDomain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pickReader(time.Now()) != m.node.config.VM {
		return
	}
	for _, p := range m.peers {
		if p.report.Domain == m.node.config.Domain {
			wake(p.tell)
		}
	}
}

// tell has all peers told at once.
func (m *members) tell() {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.duties(time.Now())
	for _, p := range m.peers {
		if m.toldAtOnce(p, d) {
			wake(p.tell)
		}
	}
}

// tellPlanner has the VM that plans told at once, or the relay on the way to it.
func (m *members) tellPlanner(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.duties(now)
	to := d.planner
	if relays := d.relays[m.node.config.Domain]; d.large && !d.isRelay(m) && len(relays) > 0 {
		to = relays[0]
	}
	for _, p := range m.peers {
		if p.report.VM == to {
			wake(p.tell)
		}
	}
}

// heard takes a report; address is where it came from, if this VM asked for it.
func (m *members) heard(now time.Time, report entryvm.Report, address string) {
	if report.VM == m.node.config.VM || report.Address == "" {
		return
	}
	var addresses []string
	for _, other := range report.Members {
		addresses = append(addresses, other.Address)
	}
	if !m.take(now, report) {
		// A newer one came in between. What it answers still counts: only answers tell what
		// runs elsewhere, one after the other.
		if report.Overview != nil {
			m.takeSums(now, &report)
		}
		return
	}
	m.learn(addresses)
	if report.Planning {
		m.takePlan(now, &entryvm.PlanNews{VM: report.VM, StoreLoads: report.StoreLoads, Coming: report.Coming})
	}
	m.fetchNews(now, &report)
	for _, id := range report.Lacking {
		m.node.keeper.doubt(now, id)
	}
	changed := m.takeNews(now, origin(report.VM, report.Incarnation), report.Engines, report.Domain == m.node.config.Domain)
	if report.Overview != nil {
		changed = m.takeRelayed(now, &report) || changed
	}
	if changed {
		m.node.serving.Wake()
	}
	if changed || len(report.Waiting) > 0 || waitsIn(report.Overview) {
		m.node.planner.wakeUp()
		m.passOn(now, changed)
	}
}

// waitsIn tells whether requests wait in another domain.
func waitsIn(o *entryvm.Overview) bool {
	return o != nil && slices.ContainsFunc(o.Domains, func(v entryvm.DomainView) bool {
		return v.Load != nil && len(v.Load.Waiting) > 0
	})
}

// takePlan takes the newest word of the VM that plans.
func (m *members) takePlan(now time.Time, plan *entryvm.PlanNews) {
	m.mu.Lock()
	m.relayed.plan, m.relayed.planAt = plan, now
	m.mu.Unlock()
	m.node.planner.learnStoreLoads(plan.StoreLoads)
	m.node.arrivals.replace(now, plan.Coming)
}

// takeNews takes a keeper's news of engines, and keeps it to be passed on. near is whether
// it comes from a VM of the own domain. It tells whether anything changed.
func (m *members) takeNews(now time.Time, keeper string, list []entryvm.EngineNews, near bool) (changed bool) {
	for _, news := range list {
		newer := m.node.backends.tell(now, keeper, news)
		changed = changed || newer
		m.mu.Lock()
		m.relayed.news.put(now, keeper, news, near, newer)
		m.mu.Unlock()
	}
	return changed
}

// takeRelayed takes what a relay tells; it tells whether news of engines changed anything.
func (m *members) takeRelayed(now time.Time, report *entryvm.Report) (changed bool) {
	if plan := m.takeOverview(now, report); plan != nil {
		m.takePlan(now, plan)
	}
	for _, id := range report.Overview.Lacking {
		m.node.keeper.doubt(now, id)
	}
	for _, relayed := range report.Overview.News {
		changed = m.takeNews(now, relayed.Keeper, []entryvm.EngineNews{relayed.News}, false) || changed
	}
	return changed
}

// passOn has a relay tell at once: the VMs that hear of engines from it, or else the one
// that plans, as requests wait.
func (m *members) passOn(now time.Time, news bool) {
	m.mu.Lock()
	d := m.duties(now)
	relay := d.large && d.isRelay(m)
	m.mu.Unlock()
	switch {
	case !relay:
	case news:
		m.tell()
	default:
		m.tellPlanner(now)
	}
}

// fetchNews asks the reader at once where its report says that it knows more.
func (m *members) fetchNews(now time.Time, report *entryvm.Report) {
	cursor, known := m.node.changes.position()
	if report.Domain != m.node.config.Domain || !known ||
		(report.BackendsCursor <= uint64(cursor) && report.Configuration <= m.node.version()) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[report.Address]; p != nil && m.readsFor(now, p) {
		wake(p.tell)
	}
}

// take stores a report unless a newer one is there.
func (m *members) take(now time.Time, report entryvm.Report) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[report.Address]
	if p == nil {
		p = newMember(report.Address, now)
		m.peers[report.Address] = p
		wake(m.wake)
	}
	if p.report.Incarnation == report.Incarnation && p.report.Sequence >= report.Sequence {
		return false
	}
	if p.heardAt.IsZero() || p.report.Incarnation != report.Incarnation || now.Sub(p.heardAt) > m.heardFor(p) {
		m.node.config.Logger.Info("entry VM heard", zap.String("peer", report.VM), zap.String("address", report.Address),
			zap.String("incarnation", report.Incarnation), zap.Duration("silent_for", silentFor(now, p.heardAt)))
	}
	if !report.Full && p.report.Incarnation == report.Incarnation {
		report.Rates, report.Members = p.report.Rates, p.report.Members
	}
	before := &p.report
	if !m.isLive(now, p) || before.Incarnation != report.Incarnation || before.Leaving != report.Leaving ||
		!slices.Equal(before.Keeps, report.Keeps) {
		m.redraw()
	}
	// What it says of others is taken by itself, and would be kept here a hundred times.
	report.Overview, report.Changes = nil, nil
	p.report = report
	p.heardAt, p.reportedAt = now, now
	p.failures = 0
	m.silentDomains[report.Domain] = 0
	m.sums.stale = true
	return true
}

func silentFor(now, heardAt time.Time) time.Duration {
	if heardAt.IsZero() {
		return 0
	}
	return now.Sub(heardAt)
}

// plannerKey is what the planner is drawn for.
const plannerKey = "planner"

// lastReport is the newest report of a peer, without what it said of others.
func (m *members) lastReport(p *member) entryvm.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return p.report
}

// report makes this VM's next report, for the VM whose last one is given; answers tells
// whether it answers that one.
func (m *members) report(now time.Time, full bool, to entryvm.Report, answers bool) entryvm.Report {
	n := m.node
	m.mu.Lock()
	m.sequence++
	sequence := m.sequence
	large, relay := m.duties(now).large, m.duties(now).isRelay(m)
	var others []entryvm.Member
	var knows []entryvm.DomainVersion
	if large {
		knows = m.viewsKnown(now, full, &to)
	} else if full {
		others = m.liveMembers(now)
	}
	seen := m.relayed.seen[to.VM]
	m.mu.Unlock()
	r := entryvm.Report{
		VM: n.config.VM, Address: n.config.Address, Domain: n.config.Domain, Incarnation: n.config.Incarnation,
		Capacity: n.config.Capacity, Sequence: sequence, Full: full, Leaving: n.stopping.Load(), Keeps: n.activeShards(),
		Configuration: n.version(), Members: others, Knows: knows, Seen: seen,
	}
	r.Engines = n.keeper.news(sequence%m.newsPace(large) == 0)
	if large && relay {
		// They go out with those of others, once to each.
		m.logNews(now, r.Engines)
		r.Engines = nil
	}
	if cursor, known := n.changes.position(); known {
		r.BackendsCursor = uint64(cursor)
	}
	r.Planning, r.StoreLoads, r.Coming = n.planner.told(now)
	for _, run := range n.serving.Runs() {
		r.Running = append(r.Running, entryvm.Running{Backend: run.Backend, Unit: run.Unit, Count: run.Count})
	}
	for _, wait := range n.serving.Waits(now) {
		r.Waiting = append(r.Waiting, entryvm.Waiting{Unit: wait.Unit, Count: wait.Count, Oldest: wait.Oldest})
	}
	var rates []entryvm.ModelRate
	if full {
		rates = n.demand.report(now)
		r.Rates = rates
	}
	r.Failing = n.failing(now)
	r.Lacking = n.backends.lackingNow(now)
	r.Overview = m.overview(now, &r, &to, rates, answers)
	if large && relay && to.Domain != n.config.Domain {
		// A relay of another domain takes them from the sum over this one.
		r.Running, r.Waiting, r.Rates = nil, nil, nil
	}
	return r
}

// liveMembers are the live VMs. Call with mu held.
func (m *members) liveMembers(now time.Time) []entryvm.Member {
	var out []entryvm.Member
	m.eachLive(now, func(r *entryvm.Report) {
		out = append(out, entryvm.Member{VM: r.VM, Address: r.Address, Domain: r.Domain})
	})
	return out
}

// newsPace is the number of reports after which all kept engines are told again.
func (m *members) newsPace(large bool) uint64 {
	if large {
		return relayedNewsEvery
	}
	return newsEvery
}

// logNews keeps news of the engines that this relay keeps itself, to be passed on.
func (m *members) logNews(now time.Time, list []entryvm.EngineNews) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, news := range list {
		m.relayed.news.put(now, m.node.origin(), news, true, true)
	}
}
