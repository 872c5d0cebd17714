package hosted

import (
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/relaystate"
)

// buildOverview returns what this VM reports of other VMs, or nil if there is nothing to
// report. own is the report about this VM itself. Loads are sent only in answers: of two
// crossing reports the older is discarded.
func (m *members) buildOverview(now time.Time, own, to *entryvm.Report, isAnswer bool) *entryvm.Overview {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.currentRoles(now)
	if !r.large || to.VM == "" {
		return nil
	}
	if to.Domain == own.Domain && r.isRelayOf(to.Domain, to.VM) && len(to.KnownViews) > 0 && !to.Full {
		// The relay already receives everything this VM could send. If two VMs disagree on
		// the lead relay, full reports still exchange their views.
		return nil
	}
	o := &entryvm.Overview{Relay: r.isRelay(m), NewestConfig: r.newestConfigVM(own)}
	m.addViews(now, o, own, to)
	if !o.Relay {
		return o
	}
	local := to.Domain == own.Domain
	loadDue := isAnswer && m.takeLoadTurn(now, to, r)
	from := uint64(0)
	if to.UpdatesSeen.Incarnation == own.Incarnation {
		from = to.UpdatesSeen.Next
	}
	o.Updates, o.UpdatesNext, o.MoreUpdates = m.relayed.updates.Since(from, !local)
	if !o.MoreUpdates { // otherwise the checksums would differ by the updates not yet sent
		o.Updates = append(o.Updates, m.relayed.updates.OfKeepers(to.ResendKeepers, !local)...)
		if m.takeRenewalTurn(now, to) {
			o.Renewals = m.relayed.updates.Renewals(now, !local)
		}
	}
	if local {
		if loadDue {
			o.HasSums = true
			o.InFlight, o.EnginesMissingUnits = m.inFlightForMember(now, own, to)
			if m.takeSumTurn(now, to.Address) {
				o.Signals = m.sumSignals(now)
			}
		}
		o.Plan = m.currentPlan(now)
		return o
	}
	isPlanner := to.VM == r.planner
	if !loadDue && !isPlanner {
		return o
	}
	load := m.domainLoad(now, own)
	if !loadDue {
		load = &entryvm.Load{Partial: true, Waiting: load.Waiting}
	} else {
		if !m.takeSumTurn(now, to.Address) {
			load.Signals = nil
		}
		if !isPlanner {
			load.Running = m.sumByBackend(load.Running, to.Domain)
		}
	}
	for i := range o.Domains {
		if o.Domains[i].Domain == own.Domain {
			o.Domains[i].Load = load
		}
	}
	return o
}

// takeRenewalTurn reports whether to send a VM the renewals of updates again, and records
// that they are sent. Call with mu held.
func (m *members) takeRenewalTurn(now time.Time, to *entryvm.Report) bool {
	return m.takeTurn(now, to.Address, minRenewalInterval, func(p *member) *time.Time { return &p.renewedAt })
}

// takeLoadTurn reports whether to send a VM the loads again, which is due about once per
// report interval (less often for standby relays of other domains), and records that they
// are sent. Relays exchange reports up to 20 times per second, at each swap and each request
// that starts to wait. With the loads in each of these, 195 VMs send 1.70 GB between failure
// domains in a calm minute of 500 requests per second; with this limit they send 1.32 GB.
// Call with mu held.
func (m *members) takeLoadTurn(now time.Time, to *entryvm.Report, r *roles) bool {
	interval := m.node.config.ReportInterval
	if !r.isLeadRelay(to.Domain, to.VM) && to.Domain != m.node.config.Domain {
		interval *= standbyIntervalFactor
	}
	return m.takeTurn(now, to.Address, interval-minRelayExchangeInterval, func(p *member) *time.Time { return &p.loadSentAt })
}

// takeTurn reports whether the interval has passed since the time that sentAt selects of a peer, and
// sets it to now if so. Call with mu held.
func (m *members) takeTurn(now time.Time, address string, interval time.Duration, sentAt func(*member) *time.Time) bool {
	p := m.peers[address]
	if p == nil {
		return true
	}
	last := sentAt(p)
	if now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}

// sumByBackend sums running requests by backend server. It keeps the units only for
// engines of the receiving domain, whose keepers need them. Call with mu held.
func (m *members) sumByBackend(list []entryvm.RunningCount, domain string) []entryvm.RunningCount {
	var out []entryvm.RunningCount
	for _, r := range list { // sorted by backend server
		if b, ok := m.node.backends.get(r.Backend); ok && b.Domain == domain {
			out = append(out, r)
			continue
		}
		if last := len(out) - 1; last >= 0 && out[last].Backend == r.Backend {
			out[last].Count += r.Count
			continue
		}
		out = append(out, entryvm.RunningCount{Backend: r.Backend, Count: r.Count})
	}
	return out
}

// addViews adds the views that the receiver lacks: a relay of another domain gets the view
// of this domain, every other VM gets all views. Call with mu held.
func (m *members) addViews(now time.Time, o *entryvm.Overview, own, to *entryvm.Report) {
	knows := make(map[string]uint64, len(to.KnownViews))
	for _, k := range to.KnownViews {
		knows[k.Domain] = k.Version
	}
	add := func(domain string, view *domainView, silent bool) {
		update := entryvm.DomainView{Domain: domain, Version: view.version, Silent: silent}
		if known := knows[domain]; !silent && known != view.version {
			update.VMs = view.vms
			if base, kept := view.history.VMsAt(known); kept {
				update.Base = known
				update.VMs, update.Removed = relaystate.DiffViews(base, view.vms)
			}
		}
		if silent || len(view.vms) > 0 {
			o.Domains = append(o.Domains, update)
		}
	}
	if o.Relay {
		add(own.Domain, m.currentOwnView(now, own), false)
	} else if view := m.relayed.views[own.Domain]; view != nil {
		add(own.Domain, view, false)
	}
	if o.Relay && to.Domain != own.Domain && len(to.KnownViews) > 0 {
		return
	}
	for domain, view := range m.relayed.views {
		if domain != own.Domain {
			add(domain, view, m.isSilentLocked(domain))
		}
	}
}

// refreshNewestConfig records and returns the other VM with the newest known
// configuration. Call with mu held.
func (m *members) refreshNewestConfig() entryvm.VMVersion {
	m.relayed.newestConfig = m.findNewestConfig()
	return m.relayed.newestConfig
}

// findNewestConfig returns the VM with the newest configuration that a relay or a peer
// reported. Call with mu held.
func (m *members) findNewestConfig() entryvm.VMVersion {
	newestConfig := m.relayed.newestConfig
	for _, p := range m.peers {
		if p.report.Configuration > newestConfig.Configuration {
			newestConfig = entryvm.VMVersion{Address: p.address, Configuration: p.report.Configuration}
		}
	}
	return newestConfig
}

// newestConfigVM returns the VM with the newest configuration as of the last selection of
// roles, or this VM if its configuration is at least as new.
func (r *roles) newestConfigVM(own *entryvm.Report) entryvm.VMVersion {
	if own.Configuration >= r.newestConfig.Configuration {
		return entryvm.VMVersion{Address: own.Address, Configuration: own.Configuration}
	}
	return r.newestConfig
}

// currentPlan returns the newest update from the planner with its times reduced by its
// age, or nil if there is none or this VM is the planner. Call with mu held.
func (m *members) currentPlan(now time.Time) *entryvm.PlanStatus {
	plan, age := m.relayed.plan, now.Sub(m.relayed.planAt)
	if plan == nil || age > relayedTTL || plan.VM == m.node.config.VM {
		return nil
	}
	current := &entryvm.PlanStatus{VM: plan.VM, StoreLoads: plan.StoreLoads}
	for _, c := range plan.ReadyEstimates {
		c.ReadyIn = max(0, c.ReadyIn-age)
		current.ReadyEstimates = append(current.ReadyEstimates, c)
	}
	return current
}
