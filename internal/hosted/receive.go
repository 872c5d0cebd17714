package hosted

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
)

// receive applies a report; address is where it came from, if this VM asked for it.
func (m *members) receive(now time.Time, report entryvm.Report, address string) {
	if report.VM == m.node.config.VM || report.Address == "" {
		return
	}
	m.node.crashes.merge(now, &report)
	m.node.limits.merge(now, report.VM, report.Limits)
	m.node.mergeLeaving(now, report.VM, report.LeavingBackends)
	report.Suspects, report.Limits, report.LeavingBackends = nil, nil, nil
	var addresses []string
	for _, other := range report.Members {
		addresses = append(addresses, other.Address)
	}
	if !m.take(now, report) {
		// A newer one came in between. What it answers still counts: only answers tell what
		// runs elsewhere, one after the other.
		if report.Overview != nil {
			m.applySums(now, &report)
		}
		return
	}
	m.learn(addresses)
	if report.Planning {
		m.applyPlan(now, &entryvm.PlanNews{VM: report.VM, StoreLoads: report.StoreLoads, Coming: report.Coming})
	}
	m.fetchNews(now, &report)
	for _, id := range report.Lacking {
		m.node.keeper.doubt(now, id)
	}
	keeper, near := origin(report.VM, report.Incarnation), report.Domain == m.node.config.Domain
	changed := m.applyNews(now, keeper, report.Engines, near)
	if report.AllEngines {
		m.mu.Lock()
		m.relayed.news.complete(now, keeper)
		m.mu.Unlock()
	}
	if report.Overview != nil {
		changed = m.applyRelayed(now, &report) || changed
	}
	if report.Overview != nil && report.Overview.MoreNews {
		m.askAgain(address)
	}
	if changed {
		m.node.serving.Wake()
	}
	if changed || len(report.Waiting) > 0 || waitsIn(report.Overview) {
		m.node.planner.wakeUp()
		m.forwardNews(now, changed)
	}
}

// askAgain has the next report to a peer go out at once.
func (m *members) askAgain(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[address]; p != nil {
		wake(p.notify)
	}
}

// waitsIn tells whether requests wait in another domain.
func waitsIn(o *entryvm.Overview) bool {
	return o != nil && slices.ContainsFunc(o.Domains, func(v entryvm.DomainView) bool {
		return v.Load != nil && len(v.Load.Waiting) > 0
	})
}

// applyPlan applies the newest report of the VM that plans.
func (m *members) applyPlan(now time.Time, plan *entryvm.PlanNews) {
	m.mu.Lock()
	m.relayed.plan, m.relayed.planAt = plan, now
	m.mu.Unlock()
	m.node.planner.adoptMaxStoreLoads(plan.StoreLoads)
	m.node.arrivals.replace(now, plan.Coming)
}

// applyNews takes a keeper's news of engines, and keeps it to be passed on. near is whether
// it comes from a VM of the own domain. It tells whether anything changed.
func (m *members) applyNews(now time.Time, keeper string, list []entryvm.EngineNews, near bool) (changed bool) {
	for _, news := range list {
		newer, holds := m.node.backends.applyNews(now, keeper, news)
		changed = changed || newer
		if !holds {
			continue
		}
		m.mu.Lock()
		m.relayed.news.put(now, keeper, news, near)
		m.mu.Unlock()
	}
	return changed
}

// applyRelayed applies what a relay reports; it returns whether news of engines changed anything.
func (m *members) applyRelayed(now time.Time, report *entryvm.Report) (changed bool) {
	if plan := m.applyOverview(now, report); plan != nil {
		m.applyPlan(now, plan)
	}
	for _, id := range report.Overview.Lacking {
		m.node.keeper.doubt(now, id)
	}
	for _, relayed := range report.Overview.News {
		changed = m.applyNews(now, relayed.Keeper, []entryvm.EngineNews{relayed.News}, false) || changed
	}
	m.applyRenewals(now, report.VM, report.Overview.Renewed)
	return changed
}

// applyRenewals applies a relay's report that keepers' news still holds. What this VM lacks of
// it, as it did not know an engine yet, it asks that relay for with its next report.
func (m *members) applyRenewals(now time.Time, relay string, list []entryvm.NewsRenewal) {
	list = slices.DeleteFunc(list, func(r entryvm.NewsRenewal) bool { return r.Keeper == m.node.origin() || r.Age > newsFor })
	if len(list) == 0 {
		return
	}
	lacking := m.node.backends.renewNews(now, list)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range list {
		if !slices.Contains(lacking, r.Keeper) {
			m.relayed.news.renew(now.Add(-r.Age), r.Keeper)
			delete(m.relayed.resendAt, resendKey{relay, r.Keeper})
			continue
		}
		if _, asked := m.relayed.resendAt[resendKey{relay, r.Keeper}]; !asked {
			m.relayed.resendAt[resendKey{relay, r.Keeper}] = now
		}
	}
}

// resend returns the keepers whose news to ask a relay for now. Call with mu held.
func (m *members) resend(now time.Time, relay string) []string {
	var out []string
	for key, at := range m.relayed.resendAt {
		switch {
		case now.Sub(at) > newsFor:
			delete(m.relayed.resendAt, key) // the relay tells of it no more
		case key.relay == relay && !now.Before(at):
			out = append(out, key.keeper)
			m.relayed.resendAt[key] = now.Add(newsRefresh)
		}
	}
	slices.Sort(out)
	return out
}

// forwardNews has a relay report at once: to the VMs that learn of engines from it, or else the one
// that plans, as requests wait.
func (m *members) forwardNews(now time.Time, news bool) {
	m.mu.Lock()
	d := m.duties(now)
	relay := d.large && d.isRelay(m)
	m.mu.Unlock()
	switch {
	case !relay:
	case news:
		m.notifyAll()
	default:
		m.notifyPlanner(now)
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
		wake(p.notify)
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
	if p.lastSeen.IsZero() || p.report.Incarnation != report.Incarnation || now.Sub(p.lastSeen) > m.seenFor(p) {
		m.node.config.Logger.Info("entry VM heard", zap.String("peer", report.VM), zap.String("address", report.Address),
			zap.String("incarnation", report.Incarnation), zap.Duration("silent_for", silentFor(now, p.lastSeen)))
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
	p.lastSeen, p.reportedAt = now, now
	p.failures = 0
	m.silentDomains[report.Domain] = 0
	m.sums.stale = true
	return true
}

func silentFor(now, lastSeen time.Time) time.Duration {
	if lastSeen.IsZero() {
		return 0
	}
	return now.Sub(lastSeen)
}
