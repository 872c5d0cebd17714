package hosted

import (
	"time"

	"bergamotreel/entryvm"
)

// lastReport returns a peer's newest report, without what it said of other VMs.
func (m *members) lastReport(p *member) entryvm.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return p.report
}

// buildReport builds this VM's next report for the VM whose last report is to. isAnswer is
// whether it answers that report.
func (m *members) buildReport(now time.Time, full bool, to entryvm.Report, isAnswer bool) entryvm.Report {
	n := m.node
	m.updateSignals(now)
	m.mu.Lock()
	m.sequence++
	sequence := m.sequence
	large, relay := m.currentRoles(now).large, m.currentRoles(now).isRelay(m)
	var others []entryvm.Member
	var knownViews []entryvm.DomainVersion
	if large {
		knownViews = m.knownViewVersions(now)
	} else if full {
		others = m.liveMembers(now)
	}
	seen := m.relayed.updatesSeen[to.VM]
	allEngines := m.allEnginesDue(to.Address, large)
	var resend []string
	if large && !isAnswer {
		resend = m.dueResends(now, to.VM) // an answer gets no answer
	}
	var ownSignals *entryvm.LoadSignals
	// In a large fleet only the domain's relays use them; the others get sums.
	used := !large || (to.Domain == n.config.Domain && m.currentRoles(now).isRelayOf(to.Domain, to.VM))
	if used && m.takeSignalsTurn(now, to.Address) {
		ownSignals = m.signals.own
	}
	m.mu.Unlock()
	r := entryvm.Report{
		VM: n.config.VM, Address: n.config.Address, Domain: n.config.Domain, Incarnation: n.config.Incarnation,
		Capacity: n.config.Capacity, Sequence: sequence, Full: full, Leaving: n.stopping.Load(), KeptShards: n.activeShards(),
		Configuration: n.configurationVersion(), Members: others, KnownViews: knownViews, UpdatesSeen: seen, ResendKeepers: resend,
	}
	r.AllEngines, r.Signals = allEngines, ownSignals
	r.Engines = n.keeper.updatesToReport(r.AllEngines)
	r.LostPaths = n.paths.areLost()
	if large && relay {
		// They are sent with the updates of other keepers, once to each VM.
		m.addOwnUpdatesToLog(now, r.Engines, r.AllEngines)
		r.Engines, r.AllEngines = nil, false
	}
	if cursor, known := n.backendsFeed.Position(); known {
		r.BackendsCursor = uint64(cursor)
	}
	r.Planning, r.StoreLoads, r.ReadyEstimates = n.planner.planStatus(now)
	running := n.serving.RunningRequests()
	n.rooms.recordRunning(running)
	for _, run := range running {
		r.Running = append(r.Running, entryvm.RunningCount{Backend: run.Backend, Unit: run.Unit, Count: run.Count})
	}
	for _, wait := range n.serving.WaitingRequests(now) {
		r.Waiting = append(r.Waiting, entryvm.WaitingCount{Unit: wait.Unit, Count: wait.Count, Oldest: wait.OldestWait})
	}
	if full {
		r.Rates = n.demand.modelRates(now)
	}
	r.Failing = n.unavailableBackends(now)
	r.EnginesMissingUnits = n.backends.idsMissingUnits(now)
	r.Overview = m.buildOverview(now, &r, &to, isAnswer)
	n.crashes.Publish(now, &r, &to)
	n.limits.publish(now, &r)
	n.rooms.publish(now, &r)
	n.backends.publishLeaving(now, &r)
	n.backends.publishStarts(now, &r)
	if to.Domain == n.config.Domain {
		n.fleetSize.publish(&r)
	}
	if large && relay && to.Domain != n.config.Domain {
		// A relay of another domain takes these from the domain's Load.
		r.Running, r.Waiting, r.Rates = nil, nil, nil
	}
	return r
}

// liveMembers returns the live VMs. Call with mu held.
func (m *members) liveMembers(now time.Time) []entryvm.Member {
	var out []entryvm.Member
	m.eachLiveLocked(now, func(r *entryvm.Report) {
		out = append(out, entryvm.Member{VM: r.VM, Address: r.Address, Domain: r.Domain})
	})
	return out
}

// allEnginesDue reports whether the next report to a peer lists all kept engines. Reports
// are counted per peer: where reports go to the peers in turn, a shared count could give
// the full list to the same peer each time. Call with mu held.
func (m *members) allEnginesDue(address string, large bool) bool {
	p := m.peers[address]
	if p == nil {
		return true
	}
	p.reportCount++
	return p.reportCount%m.reportsPerEngineListFor(large) == 0
}

// reportsPerEngineListFor returns the number of reports to a peer of which one lists all
// kept engines.
func (m *members) reportsPerEngineListFor(large bool) uint64 {
	if large {
		return relayedReportsPerEngineList
	}
	return reportsPerEngineList
}

// addOwnUpdatesToLog adds updates of the engines that this relay keeps itself to the log of
// updates to forward.
func (m *members) addOwnUpdatesToLog(now time.Time, updates []entryvm.EngineUpdate, all bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, update := range updates {
		m.relayed.updates.Put(now, m.node.origin(), update, true)
	}
	if all {
		m.relayed.updates.RecordFullList(now, m.node.origin())
	}
}
