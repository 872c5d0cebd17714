package hosted

import (
	"time"

	"bergamotreel/entryvm"
)

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
		knows = m.viewsKnown(now)
	} else if full {
		others = m.liveMembers(now)
	}
	seen := m.relayed.seen[to.VM]
	allEngines := m.allEnginesDue(to.Address, large)
	var resend []string
	if large && !answers {
		resend = m.resend(now, to.VM) // nobody answers an answer
	}
	m.mu.Unlock()
	r := entryvm.Report{
		VM: n.config.VM, Address: n.config.Address, Domain: n.config.Domain, Incarnation: n.config.Incarnation,
		Capacity: n.config.Capacity, Sequence: sequence, Full: full, Leaving: n.stopping.Load(), Keeps: n.activeShards(),
		Configuration: n.configurationVersion(), Members: others, Knows: knows, Seen: seen, Resend: resend,
	}
	r.AllEngines = allEngines
	r.Engines = n.keeper.news(r.AllEngines)
	if large && relay {
		// They go out with those of others, once to each.
		m.logNews(now, r.Engines, r.AllEngines)
		r.Engines, r.AllEngines = nil, false
	}
	if cursor, known := n.changes.position(); known {
		r.BackendsCursor = uint64(cursor)
	}
	r.Planning, r.StoreLoads, r.Coming = n.planner.told(now)
	for _, run := range n.serving.RunningRequests() {
		r.Running = append(r.Running, entryvm.Running{Backend: run.Backend, Unit: run.Unit, Count: run.Count})
	}
	for _, wait := range n.serving.WaitingRequests(now) {
		r.Waiting = append(r.Waiting, entryvm.Waiting{Unit: wait.Unit, Count: wait.Count, Oldest: wait.OldestWait})
	}
	if full {
		r.Rates = n.demand.modelRates(now)
	}
	r.Failing = n.unavailableBackends(now)
	r.Lacking = n.backends.idsMissingUnits(now)
	r.Overview = m.overview(now, &r, &to, answers)
	n.crashes.publish(now, &r, &to)
	n.limits.publish(now, &r)
	n.backends.publishLeaving(now, &r)
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

// allEnginesDue tells whether the next report to a peer carries all kept engines. Reports
// are counted for each peer: by a count over all peers the same one would get them each
// time, where reports go to the peers in turn. Call with mu held.
func (m *members) allEnginesDue(address string, large bool) bool {
	p := m.peers[address]
	if p == nil {
		return true
	}
	p.reports++
	return p.reports%m.newsInterval(large) == 0
}

// newsInterval is the number of reports after which all kept engines are reported again.
func (m *members) newsInterval(large bool) uint64 {
	if large {
		return relayedNewsEvery
	}
	return newsEvery
}

// logNews keeps news of the engines that this relay keeps itself, to be passed on.
func (m *members) logNews(now time.Time, list []entryvm.EngineNews, all bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, news := range list {
		m.relayed.news.put(now, m.node.origin(), news, true)
	}
	if all {
		m.relayed.news.complete(now, m.node.origin())
	}
}
