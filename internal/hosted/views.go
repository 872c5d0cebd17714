package hosted

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/relaystate"
)

// domainView is what this VM knows through relays of the VMs of a failure domain.
type domainView struct {
	// vms are the live VMs, version is a hash over them; both are empty for a silent
	// domain.
	vms     []entryvm.VMView
	version uint64
	// silent is whether none of the domain's VMs answers the relay that reported the view.
	silent bool
	// history holds the view's last versions.
	history relaystate.ViewHistory
	// load holds the requests in flight and waiting in the domain as of loadAt; only relays
	// of other domains know it.
	load   entryvm.Load
	loadAt time.Time
}

// relayedState is what this VM received through relays and, as a relay, forwards. It
// belongs to members and is guarded by its mu.
type relayedState struct {
	views map[string]*domainView
	// inFlightElsewhere counts the requests that the other live VMs have in flight, as this
	// VM's relay reported it at inFlightElsewhereAt.
	inFlightElsewhere   []entryvm.RunningCount
	inFlightElsewhereAt time.Time
	// updates are the engine updates that a relay forwards; updatesSeen is how far this VM
	// has received each relay's updates.
	updates     relaystate.UpdateLog
	updatesSeen map[string]entryvm.PeerPosition
	// resendAt is when to ask a relay for a keeper's updates, of which some are missing
	// here.
	resendAt map[resendKey]time.Time
	// plan is the newest update from the planner, planAt when it came.
	plan   *entryvm.PlanStatus
	planAt time.Time
	// newestConfig is the VM with the newest configuration reported so far.
	newestConfig entryvm.VMVersion
	// ownViewVersion is the version of the view of its own domain that this VM last sent
	// as a relay.
	ownViewVersion uint64
	// ownViewHistory holds the last versions of that view.
	ownViewHistory relaystate.ViewHistory
}

// resendKey identifies a keeper's updates as forwarded by one relay.
type resendKey struct{ relay, keeper string }

func newRelayedState() relayedState {
	return relayedState{views: make(map[string]*domainView), updatesSeen: make(map[string]entryvm.PeerPosition),
		resendAt: make(map[resendKey]time.Time), updates: relaystate.NewUpdateLog()}
}

// buildOwnView returns the view of this relay's own domain by the reports that it
// receives, this VM included. Call with mu held.
func (m *members) buildOwnView(now time.Time, own *entryvm.Report) *domainView {
	view := &domainView{vms: []entryvm.VMView{viewOf(own)}}
	m.eachLiveLocked(now, func(r *entryvm.Report) {
		if r.Domain == own.Domain {
			view.vms = append(view.vms, viewOf(r))
		}
	})
	slices.SortFunc(view.vms, relaystate.CompareViews)
	view.version = relaystate.ViewVersion(view.vms)
	return view
}

// currentOwnView returns buildOwnView's result as of the last selection of roles, or
// rebuilt if this VM's own entry has changed since. Call with mu held.
func (m *members) currentOwnView(now time.Time, own *entryvm.Report) *domainView {
	r := m.currentRoles(now)
	if r.ownView != nil {
		at := slices.IndexFunc(r.ownView.vms, func(v entryvm.VMView) bool { return v.VM == own.VM })
		if published := r.ownView.vms[at]; published.Leaving == own.Leaving && published.LostPaths == own.LostPaths && slices.Equal(published.KeptShards, own.KeptShards) {
			return r.ownView
		}
	}
	r.ownView = m.buildOwnView(now, own)
	m.relayed.ownViewHistory.Add(r.ownView.version, r.ownView.vms)
	r.ownView.history = m.relayed.ownViewHistory
	m.relayed.ownViewVersion = r.ownView.version
	return r.ownView
}

func viewOf(r *entryvm.Report) entryvm.VMView {
	return entryvm.VMView{
		VM: r.VM, Address: r.Address, Domain: r.Domain, Incarnation: r.Incarnation, Capacity: r.Capacity,
		Leaving: r.Leaving, KeptShards: r.KeptShards, LostPaths: r.LostPaths,
	}
}

// knownViewVersions returns the versions of the views that this VM has. It returns none to
// ask for all views: as a new relay, and while this VM knows no other VM of its domain.
// Call with mu held.
func (m *members) knownViewVersions(now time.Time) []entryvm.DomainVersion {
	own := m.node.config
	relay := m.currentRoles(now).isRelay(m)
	switch {
	case !relay:
		m.relaySince = time.Time{}
	case m.relaySince.IsZero():
		m.relaySince = now
	}
	if relay && (m.currentRoles(now).aloneInDomain || now.Sub(m.relaySince) < relayStartupPeriod) {
		return nil
	}
	var out []entryvm.DomainVersion
	if relay {
		out = append(out, entryvm.DomainVersion{Domain: own.Domain, Version: m.relayed.ownViewVersion})
	}
	for domain, view := range m.relayed.views {
		if len(view.vms) > 0 && !(relay && domain == own.Domain) {
			out = append(out, entryvm.DomainVersion{Domain: domain, Version: view.version})
		}
	}
	return out
}

// isAuthoritative reports whether to apply a report's view of a failure domain. A relay
// has its own domain's reports and takes another domain's view from the lead relay there:
// two relays that took their own domain's view from each other would keep a dead VM alive.
// All other VMs take every view from their domain's lead relay. Call with mu held.
func (m *members) isAuthoritative(r *roles, report *entryvm.Report, domain string) bool {
	view := m.relayed.views[domain]
	switch {
	case !r.large, view == nil, len(view.vms) == 0, len(r.relays[report.Domain]) == 0:
		return true
	case r.isRelay(m):
		return domain != m.node.config.Domain && domain == report.Domain && r.isLeadRelay(domain, report.VM)
	default:
		return report.Domain == m.node.config.Domain && r.isLeadRelay(report.Domain, report.VM)
	}
}

// applyOverview applies what a relay reports of other VMs. It returns the newest update
// from the planner, or nil if there is none or the relay is not this VM's lead relay.
func (m *members) applyOverview(now time.Time, report *entryvm.Report) (plan *entryvm.PlanStatus) {
	o := report.Overview
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.currentRoles(now)
	for i := range o.Domains {
		if view := &o.Domains[i]; m.isAuthoritative(r, report, view.Domain) {
			m.applyView(now, view)
			m.applyLoad(now, view)
		} else {
			m.addVMs(now, view.VMs)
		}
	}
	if m.relayed.newestConfig.Configuration < o.NewestConfig.Configuration {
		m.relayed.newestConfig = o.NewestConfig
	}
	if !o.Relay {
		return nil
	}
	m.relayed.updatesSeen[report.VM] = entryvm.PeerPosition{Incarnation: report.Incarnation, Next: o.UpdatesNext}
	if r.isRelay(m) || !r.isLeadRelay(m.node.config.Domain, report.VM) {
		return nil
	}
	m.applyInFlight(now, o)
	return o.Plan
}

// applyOverviewLoads applies only the loads of an answer that a newer report overtook.
func (m *members) applyOverviewLoads(now time.Time, report *entryvm.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.currentRoles(now)
	for i := range report.Overview.Domains {
		if view := &report.Overview.Domains[i]; m.isAuthoritative(r, report, view.Domain) {
			m.applyLoad(now, view)
		}
	}
	if !r.isRelay(m) && r.isLeadRelay(m.node.config.Domain, report.VM) {
		m.applyInFlight(now, report.Overview)
	}
}

// applyInFlight applies the counts of requests that the other live VMs have in flight. Call
// with mu held.
func (m *members) applyInFlight(now time.Time, o *entryvm.Overview) {
	if !o.HasSums {
		return
	}
	m.relayed.inFlightElsewhere, m.relayed.inFlightElsewhereAt = o.InFlight, now
	if o.Signals != nil {
		m.signals.relayed, m.signals.relayedAt = o.Signals, now
	}
	m.runningCounts.stale = true
}

// applyLoad applies the load of another failure domain: its requests in flight and waiting.
// Call with mu held.
func (m *members) applyLoad(now time.Time, update *entryvm.DomainView) {
	view := m.relayed.views[update.Domain]
	if update.Load == nil || view == nil {
		return
	}
	m.runningCounts.stale = true
	if update.Load.Partial {
		view.load.Waiting = update.Load.Waiting
		return
	}
	rates, signals := view.load.Rates, view.load.Signals
	view.load, view.loadAt = *update.Load, now
	if update.Load.Signals == nil {
		view.load.Signals = signals
	}
	if update.Load.Rates == nil {
		view.load.Rates = rates
	}
}

// applyView applies a relay's view of a failure domain. Call with mu held.
func (m *members) applyView(now time.Time, update *entryvm.DomainView) {
	view := m.relayed.views[update.Domain]
	if view == nil {
		view = &domainView{}
		m.relayed.views[update.Domain] = view
	}
	if view.silent != update.Silent {
		m.node.config.Logger.Info("failure domain state reported by a relay", zap.String("domain", update.Domain), zap.Bool("silent", update.Silent))
	}
	view.silent = update.Silent
	switch {
	case update.Silent:
		m.invalidateRoles()
		m.expireVMs(now, view.vms)
		view.vms, view.version = nil, 0
	case update.Base != 0 && update.Base == view.version:
		patched := relaystate.PatchView(view.vms, update.VMs, update.Removed)
		if relaystate.ViewVersion(patched) != update.Version {
			m.node.config.Logger.Warn("view of a failure domain can't be patched", zap.String("domain", update.Domain))
			view.version = 0 // this VM's next report asks for the whole view
			break
		}
		m.replaceView(now, view, patched, update.Version)
	case update.Base == 0 && len(update.VMs) > 0:
		m.replaceView(now, view, update.VMs, update.Version)
	}
	if view.version != update.Version {
		return // this VM lacks that version, and its next report says so
	}
	for i := range view.vms {
		if p := m.peers[view.vms[i].Address]; p != nil {
			p.lastSeen = now
		}
	}
}

// replaceView replaces the VMs of a failure domain's view. Call with mu held.
func (m *members) replaceView(now time.Time, view *domainView, vms []entryvm.VMView, version uint64) {
	m.invalidateRoles()
	m.expireVMs(now, view.vms)
	m.addVMs(now, vms)
	view.vms, view.version = vms, version
	view.history.Add(version, vms)
}

// addVMs records VMs that a relay names without counting them as live. Call with mu held.
func (m *members) addVMs(now time.Time, vms []entryvm.VMView) {
	for i := range vms {
		v := &vms[i]
		if v.VM == m.node.config.VM || v.Address == m.node.config.Address || v.Address == "" {
			continue
		}
		p := m.peers[v.Address]
		if p == nil {
			p = newMember(v.Address, now)
			m.peers[v.Address] = p
			wake(m.wake)
		}
		if !p.reportedAt.IsZero() && now.Sub(p.reportedAt) < reportTTL {
			continue // the VM's own report is newer
		}
		if p.report.Incarnation != v.Incarnation {
			p.report, p.failures = entryvm.Report{}, 0
		}
		p.report.VM, p.report.Address, p.report.Domain, p.report.Incarnation = v.VM, v.Address, v.Domain, v.Incarnation
		p.report.Capacity, p.report.Leaving, p.report.KeptShards, p.report.LostPaths = v.Capacity, v.Leaving, v.KeptShards, v.LostPaths
	}
}

// expireVMs stops counting VMs as live that have not reported to this VM lately. Call with
// mu held.
func (m *members) expireVMs(now time.Time, vms []entryvm.VMView) {
	for i := range vms {
		p := m.peers[vms[i].Address]
		if p != nil && now.Sub(p.reportedAt) >= reportTTL {
			p.lastSeen = now.Add(-relayedTTL)
		}
	}
}
