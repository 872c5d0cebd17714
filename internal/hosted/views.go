package hosted

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bergamotreel/entryvm"
)

// domainView is what this VM knows of the VMs of a failure domain through relays.
type domainView struct {
	// vms are the live ones, version a hash over them; both are empty for a silent domain.
	vms     []entryvm.VMView
	version uint64
	// silent is whether none of its VMs answers the relay that told.
	silent bool
	// history are its last versions.
	history viewHistory
	// load, as of loadAt, is known to relays of other domains only.
	load   entryvm.Load
	loadAt time.Time
}

// relayed is what came through relays, and what this one passes on. It belongs to members
// and is guarded by its mu.
type relayedState struct {
	views map[string]*domainView
	// others is what runs through all other VMs, as this VM's relay told at othersAt.
	inFlightElsewhere   []entryvm.Running
	inFlightElsewhereAt time.Time
	// news is what a relay passes on, seen what this VM has of each relay's news.
	updates     updateLog
	updatesSeen map[string]entryvm.NewsSeen
	// resendAt is when to ask a relay for a keeper's news that is not whole here.
	resendAt map[resendKey]time.Time
	// plan is the newest word of the VM that plans, and when it came.
	plan   *entryvm.PlanNews
	planAt time.Time
	// newestConfig is the VM with the newest configuration heard of.
	newestConfig entryvm.VMVersion
	// ownVersion is of the view of the own domain that this VM told last as a relay.
	ownViewVersion uint64
	// ownHistory are the last versions of that view.
	ownViewHistory viewHistory
}

// resendKey is a keeper's news as a relay tells it.
type resendKey struct{ relay, keeper string }

func newRelayedState() relayedState {
	return relayedState{views: make(map[string]*domainView), updatesSeen: make(map[string]entryvm.NewsSeen),
		resendAt: make(map[resendKey]time.Time), updates: newUpdateLog()}
}

// ownView is the own domain as this relay hears it, itself included. Call with mu held.
func (m *members) buildOwnView(now time.Time, own *entryvm.Report) *domainView {
	view := &domainView{vms: []entryvm.VMView{viewOf(own)}}
	m.eachLiveLocked(now, func(r *entryvm.Report) {
		if r.Domain == own.Domain {
			view.vms = append(view.vms, viewOf(r))
		}
	})
	slices.SortFunc(view.vms, compareViews)
	view.version = viewVersion(view.vms)
	return view
}

// knownOwnView is ownView as of the last draw, or of a change since. Call with mu held.
func (m *members) currentOwnView(now time.Time, own *entryvm.Report) *domainView {
	d := m.currentRoles(now)
	if d.ownView != nil {
		at := slices.IndexFunc(d.ownView.vms, func(v entryvm.VMView) bool { return v.VM == own.VM })
		if published := d.ownView.vms[at]; published.Leaving == own.Leaving && slices.Equal(published.Keeps, own.Keeps) {
			return d.ownView
		}
	}
	d.ownView = m.buildOwnView(now, own)
	m.relayed.ownViewHistory.add(d.ownView.version, d.ownView.vms)
	d.ownView.history = m.relayed.ownViewHistory
	m.relayed.ownViewVersion = d.ownView.version
	return d.ownView
}

func viewOf(r *entryvm.Report) entryvm.VMView {
	return entryvm.VMView{
		VM: r.VM, Address: r.Address, Domain: r.Domain, Incarnation: r.Incarnation, Capacity: r.Capacity,
		Leaving: r.Leaving, Keeps: r.Keeps,
	}
}

// viewVersion is a hash over VMs: one that knows it needs the list no more.
func viewVersion(vms []entryvm.VMView) uint64 {
	hash := xxhash.New()
	var text []byte
	for i := range vms {
		v := &vms[i]
		text = text[:0]
		for _, field := range []string{v.VM, v.Address, v.Incarnation} {
			text = append(append(text, field...), 0)
		}
		text = strconv.AppendInt(text, v.Capacity, 10)
		text = strconv.AppendBool(text, v.Leaving)
		for _, shard := range v.Keeps {
			text = append(strconv.AppendInt(text, int64(shard), 10), 0)
		}
		_, _ = hash.Write(append(text, '\n'))
	}
	return hash.Sum64()
}

// viewsKnown are the versions of the views that this VM has, none where it asks for all of
// them: as a new relay, and while it knows no other VM of its domain. Call with mu held.
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

// trusts tells whether a report's word on a failure domain counts. A relay hears its own
// domain and goes by the lead of another one for that: two relays that took each other's
// word would keep a dead VM alive. Everyone else goes by its domain's lead. Call with mu
// held.
func (m *members) isAuthoritative(d *roles, report *entryvm.Report, domain string) bool {
	view := m.relayed.views[domain]
	switch {
	case !d.large, view == nil, len(view.vms) == 0, len(d.relays[report.Domain]) == 0:
		return true
	case d.isRelay(m):
		return domain != m.node.config.Domain && domain == report.Domain && d.isLeadRelay(domain, report.VM)
	default:
		return report.Domain == m.node.config.Domain && d.isLeadRelay(report.Domain, report.VM)
	}
}

// applyOverview applies what a relay reports of other VMs. It returns the newest word of the VM
// that plans, nil where there is none or the relay is not the one that this VM goes by.
func (m *members) applyOverview(now time.Time, report *entryvm.Report) (plan *entryvm.PlanNews) {
	o := report.Overview
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.currentRoles(now)
	for i := range o.Domains {
		if view := &o.Domains[i]; m.isAuthoritative(d, report, view.Domain) {
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
	m.relayed.updatesSeen[report.VM] = entryvm.NewsSeen{Incarnation: report.Incarnation, Next: o.NewsNext}
	if d.isRelay(m) || !d.isLeadRelay(m.node.config.Domain, report.VM) {
		return nil
	}
	m.applyInFlight(now, o)
	return o.Plan
}

// applySums applies what an overtaken answer reports of what runs elsewhere.
func (m *members) applyOverviewLoads(now time.Time, report *entryvm.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.currentRoles(now)
	for i := range report.Overview.Domains {
		if view := &report.Overview.Domains[i]; m.isAuthoritative(d, report, view.Domain) {
			m.applyLoad(now, view)
		}
	}
	if !d.isRelay(m) && d.isLeadRelay(m.node.config.Domain, report.VM) {
		m.applyInFlight(now, report.Overview)
	}
}

// applyInFlight applies what runs through all others. Call with mu held.
func (m *members) applyInFlight(now time.Time, o *entryvm.Overview) {
	if !o.Sums {
		return
	}
	m.relayed.inFlightElsewhere, m.relayed.inFlightElsewhereAt = o.InFlight, now
	m.sums.stale = true
}

// applyLoad applies what runs and waits in another failure domain. Call with mu held.
func (m *members) applyLoad(now time.Time, update *entryvm.DomainView) {
	view := m.relayed.views[update.Domain]
	if update.Load == nil || view == nil {
		return
	}
	m.sums.stale = true
	if update.Load.Partial {
		view.load.Waiting = update.Load.Waiting
		return
	}
	rates := view.load.Rates
	view.load, view.loadAt = *update.Load, now
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
		m.node.config.Logger.Info("failure domain by a relay's word", zap.String("domain", update.Domain), zap.Bool("silent", update.Silent))
	}
	view.silent = update.Silent
	switch {
	case update.Silent:
		m.invalidateRoles()
		m.expireVMs(now, view.vms)
		view.vms, view.version = nil, 0
	case update.Base != 0 && update.Base == view.version:
		patched := patchView(view.vms, update.VMs, update.Gone)
		if viewVersion(patched) != update.Version {
			m.node.config.Logger.Warn("view of a failure domain can't be patched", zap.String("domain", update.Domain))
			view.version = 0 // its next report asks for the whole
			break
		}
		m.replaceView(now, view, patched, update.Version)
	case update.Base == 0 && len(update.VMs) > 0:
		m.replaceView(now, view, update.VMs, update.Version)
	}
	if view.version != update.Version {
		return // of a version that this VM lacks: its next report says so
	}
	for i := range view.vms {
		if p := m.peers[view.vms[i].Address]; p != nil {
			p.lastSeen = now
		}
	}
}

// replaceView takes another list for a failure domain's. Call with mu held.
func (m *members) replaceView(now time.Time, view *domainView, vms []entryvm.VMView, version uint64) {
	m.invalidateRoles()
	m.expireVMs(now, view.vms)
	m.addVMs(now, vms)
	view.vms, view.version = vms, version
	view.history.add(version, vms)
}

// meet learns VMs that a relay names, without taking them for live. Call with mu held.
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
			continue // its own word is newer
		}
		if p.report.Incarnation != v.Incarnation {
			p.report, p.failures = entryvm.Report{}, 0
		}
		p.report.VM, p.report.Address, p.report.Domain, p.report.Incarnation = v.VM, v.Address, v.Domain, v.Incarnation
		p.report.Capacity, p.report.Leaving, p.report.Keeps = v.Capacity, v.Leaving, v.Keeps
	}
}

// expire takes VMs for gone that don't report here. Call with mu held.
func (m *members) expireVMs(now time.Time, vms []entryvm.VMView) {
	for i := range vms {
		p := m.peers[vms[i].Address]
		if p != nil && now.Sub(p.reportedAt) >= reportTTL {
			p.lastSeen = now.Add(-relayedTTL)
		}
	}
}
