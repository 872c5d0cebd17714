package hosted

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/relaystate"
)

// receive applies a report. If this VM asked for the report, address is the peer it asked.
func (m *members) receive(now time.Time, report entryvm.Report, address string) {
	if report.VM == m.node.config.VM || report.Address == "" {
		return
	}
	if m.node.backends.mergeStarts(now, report.BackendStarts) {
		m.node.handleBackendChanges()
	}
	m.node.crashes.Merge(now, &report)
	m.node.limits.merge(now, report.VM, report.Limits)
	m.node.rooms.mergeReport(now, report.VM, report.Fragile)
	m.node.mergeLeaving(now, report.VM, report.LeavingBackends)
	m.node.fleetSize.merge(&report)
	report.Suspects, report.Limits, report.LeavingBackends, report.Fragile, report.BackendStarts = nil, nil, nil, nil, nil
	var addresses []string
	for _, other := range report.Members {
		addresses = append(addresses, other.Address)
	}
	if !m.storeReport(now, report) {
		// A newer report overtook this one. Its loads still apply: only answers carry them,
		// and answers arrive one after the other.
		if report.Overview != nil {
			m.applyOverviewLoads(now, &report)
		}
		return
	}
	m.addAddresses(addresses)
	if report.Planning {
		m.applyPlan(now, &entryvm.PlanStatus{VM: report.VM, StoreLoads: report.StoreLoads, ReadyEstimates: report.ReadyEstimates})
	}
	m.requestNewerChanges(now, &report)
	for _, id := range report.EnginesMissingUnits {
		m.node.keeper.recheckEngine(now, id)
	}
	keeper, local := origin(report.VM, report.Incarnation), report.Domain == m.node.config.Domain
	changed := m.applyEngineUpdates(now, keeper, report.Engines, local)
	if report.AllEngines {
		m.mu.Lock()
		m.relayed.updates.RecordFullList(now, keeper)
		m.mu.Unlock()
	}
	if report.Overview != nil {
		changed = m.applyRelayReport(now, &report) || changed
	}
	if report.Overview != nil && report.Overview.MoreUpdates {
		m.expediteReport(address)
	}
	if changed {
		m.node.serving.Wake()
	}
	if changed || len(report.Waiting) > 0 || hasWaitingRequests(report.Overview) {
		m.node.planner.wakeUp()
		m.forwardUpdates(now, changed)
	}
}

// expediteReport makes the next report to a peer go out at once.
func (m *members) expediteReport(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[address]; p != nil {
		wake(p.notify)
	}
}

// hasWaitingRequests reports whether requests wait in another domain.
func hasWaitingRequests(o *entryvm.Overview) bool {
	return o != nil && slices.ContainsFunc(o.Domains, func(v entryvm.DomainView) bool {
		return v.Load != nil && len(v.Load.Waiting) > 0
	})
}

// applyPlan applies the newest update from the planner.
func (m *members) applyPlan(now time.Time, plan *entryvm.PlanStatus) {
	m.mu.Lock()
	m.relayed.plan, m.relayed.planAt = plan, now
	m.mu.Unlock()
	m.node.planner.adoptMaxStoreLoads(plan.StoreLoads)
	m.node.readyEstimates.replace(now, plan.ReadyEstimates)
}

// applyEngineUpdates applies a keeper's updates of engines and logs them for forwarding.
// local is whether they come from a VM of this domain. It reports whether anything
// changed.
func (m *members) applyEngineUpdates(now time.Time, keeper string, updates []entryvm.EngineUpdate, local bool) (changed bool) {
	for _, update := range updates {
		newer, applies := m.node.backends.applyEngineUpdate(now, keeper, update)
		changed = changed || newer
		if !applies {
			continue
		}
		m.mu.Lock()
		m.relayed.updates.Put(now, keeper, update, local)
		m.mu.Unlock()
	}
	return changed
}

// applyRelayReport applies what a relay reports of other VMs. It reports whether engine
// updates changed anything.
func (m *members) applyRelayReport(now time.Time, report *entryvm.Report) (changed bool) {
	if plan := m.applyOverview(now, report); plan != nil {
		m.applyPlan(now, plan)
	}
	for _, id := range report.Overview.EnginesMissingUnits {
		m.node.keeper.recheckEngine(now, id)
	}
	for _, relayed := range report.Overview.Updates {
		changed = m.applyEngineUpdates(now, relayed.Keeper, []entryvm.EngineUpdate{relayed.Update}, false) || changed
	}
	m.applyRenewals(now, report.VM, report.Overview.Renewals)
	return changed
}

// applyRenewals applies a relay's statement that keepers' updates are still valid. If this
// VM lacks some of a keeper's updates, as when it did not know an engine yet, its next
// report asks that relay for them.
func (m *members) applyRenewals(now time.Time, relay string, renewals []entryvm.UpdateRenewal) {
	renewals = slices.DeleteFunc(renewals, func(r entryvm.UpdateRenewal) bool { return r.Keeper == m.node.origin() || r.Age > relaystate.UpdateTTL })
	if len(renewals) == 0 {
		return
	}
	mismatched := m.node.backends.renewEngineUpdates(now, renewals)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range renewals {
		if !slices.Contains(mismatched, r.Keeper) {
			m.relayed.updates.Renew(now.Add(-r.Age), r.Keeper)
			delete(m.relayed.resendAt, resendKey{relay, r.Keeper})
			continue
		}
		if _, asked := m.relayed.resendAt[resendKey{relay, r.Keeper}]; !asked {
			m.relayed.resendAt[resendKey{relay, r.Keeper}] = now
		}
	}
}

// dueResends returns the keepers whose updates to request from a relay now. Call with mu
// held.
func (m *members) dueResends(now time.Time, relay string) []string {
	var keepers []string
	for key, at := range m.relayed.resendAt {
		switch {
		case now.Sub(at) > relaystate.UpdateTTL:
			delete(m.relayed.resendAt, key) // the relay no longer renews it
		case key.relay == relay && !now.Before(at):
			keepers = append(keepers, key.keeper)
			m.relayed.resendAt[key] = now.Add(minResendInterval)
		}
	}
	slices.Sort(keepers)
	return keepers
}

// forwardUpdates makes a relay report at once: if engine updates changed, to the VMs that
// learn of engines from it; otherwise, because requests wait, towards the planner.
func (m *members) forwardUpdates(now time.Time, changed bool) {
	m.mu.Lock()
	r := m.currentRoles(now)
	relay := r.large && r.isRelay(m)
	m.mu.Unlock()
	switch {
	case !relay:
	case changed:
		m.notifyAll()
	default:
		m.notifyPlanner(now)
	}
}

// requestNewerChanges sends a report to the reader at once if the reader's report shows that it
// knows of newer changes.
func (m *members) requestNewerChanges(now time.Time, report *entryvm.Report) {
	cursor, known := m.node.backendsFeed.Position()
	if report.Domain != m.node.config.Domain || !known ||
		(report.BackendsCursor <= uint64(cursor) && report.Configuration <= m.node.configurationVersion()) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[report.Address]; p != nil && m.isReader(now, p) {
		wake(p.notify)
	}
}

// storeReport stores a peer's report and reports true, unless a newer one is already
// stored.
func (m *members) storeReport(now time.Time, report entryvm.Report) bool {
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
	if p.lastSeen.IsZero() || p.report.Incarnation != report.Incarnation || now.Sub(p.lastSeen) > m.liveTTL(p) {
		m.node.config.Logger.Info("entry VM heard", zap.String("peer", report.VM), zap.String("address", report.Address),
			zap.String("incarnation", report.Incarnation), zap.Duration("silent_for", silentFor(now, p.lastSeen)))
	}
	if !report.Full && p.report.Incarnation == report.Incarnation {
		report.Rates, report.Members = p.report.Rates, p.report.Members
	}
	if report.Signals == nil && p.report.Incarnation == report.Incarnation {
		report.Signals = p.report.Signals
	}
	previous := &p.report
	if !m.isLive(now, p) || previous.Incarnation != report.Incarnation || previous.Leaving != report.Leaving ||
		!slices.Equal(previous.KeptShards, report.KeptShards) {
		m.invalidateRoles()
	}
	// Relayed data is applied separately; kept here, it would be stored about a hundred times.
	report.Overview, report.Changes = nil, nil
	p.report = report
	p.lastSeen, p.reportedAt = now, now
	p.failures = 0
	m.domainFailures[report.Domain] = 0
	m.runningCounts.stale = true
	return true
}

// silentFor returns the time since a peer was last seen; 0 in the log marks a new peer.
func silentFor(now, lastSeen time.Time) time.Duration {
	if lastSeen.IsZero() {
		return 0
	}
	return now.Sub(lastSeen)
}
