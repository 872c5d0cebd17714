package hosted

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/rendezvous"
)

// A large fleet exchanges reports through relays. Load pattern: 195 VMs that each exchange
// with each other one hold 390 connections each, hear from a given one every three seconds,
// and tell 194 others of each swap. With relays a VM holds a few connections and news of a
// swap is everywhere within three short exchanges, whatever the size of the fleet.
//
// The relays of a failure domain are drawn among its live VMs. The first one leads: its
// word on the domain counts, and it passes news on at once. The others hear the same
// reports and stand by.

const (
	// relaysPerDomain is how many VMs of a failure domain hear all its reports: one to
	// lead, one that takes over without a gap when that one is lost.
	relaysPerDomain = 2
	// standbyPace and memberPace times the configured pace are the time between two
	// reports to a relay that stands by, and from a relay to a VM that reports to it
	// anyway.
	standbyPace = 3
	memberPace  = 10
	// unknownPace times the configured pace is the time between two tries at an address
	// at which nobody has answered yet.
	unknownPace = 5
	// relayGap is the least time between two reports to another domain's relay, memberGap
	// between a VM of the domain and its relay, either way: news of many requests and
	// swaps goes out together.
	relayGap  = 50 * time.Millisecond
	memberGap = 100 * time.Millisecond
	// relayedFor is how long a VM counts as live after a relay named it last, and what a
	// relay told holds: longer than a lost relay is noticed and the next one drawn.
	relayedFor = 6 * time.Second
	// relayLearns is how long a new relay asks each VM that it meets whom it knows.
	relayLearns = 3 * time.Second
	// unwantedFor is how long an exchange goes on that is no longer wanted: a draw may
	// come back to it.
	unwantedFor = 3 * time.Second
	// probeTurn is how long the same VMs of a silent domain are tried.
	probeTurn = 2 * time.Second
	// newsRefresh is the least time after which news that is repeated unchanged is passed
	// on again: a keeper's word holds for newsFor.
	newsRefresh = 2 * time.Second
	// relayedNewsEvery is newsEvery in a large fleet. It is odd, so that the relays of a
	// domain take turns at it.
	relayedNewsEvery = 7
)

// isRelay tells whether this VM is one of its domain's relays.
func (d *drawn) isRelay(m *members) bool {
	return slices.Contains(d.relays[m.node.config.Domain], m.node.config.VM)
}

// leads tells whether the VM is the first relay of its domain.
func (d *drawn) leads(domain, vm string) bool {
	relays := d.relays[domain]
	return len(relays) > 0 && relays[0] == vm
}

// relaysOf returns whether the VM is a relay of its domain.
func (d *drawn) relaysOf(domain, vm string) bool { return slices.Contains(d.relays[domain], vm) }

// drawRelays draws the relays of each failure domain with a live VM, and the VMs to try in
// the others. Call with mu held.
func (m *members) drawRelays(now time.Time, d *drawn) {
	able := make(map[string][]volunteer)
	if !d.stopping {
		able[m.node.config.Domain] = []volunteer{{m.node.config.VM, m.node.config.Capacity}}
	}
	m.eachLive(now, func(r *entryvm.Report) {
		if !r.Leaving {
			able[r.Domain] = append(able[r.Domain], volunteer{r.VM, r.Capacity})
		}
	})
	d.alone = len(able[m.node.config.Domain]) <= 1
	d.relays = make(map[string][]string, len(able))
	for domain, volunteers := range able {
		d.relays[domain] = rank(readerKey, volunteers, relaysPerDomain)
	}
	d.probes = make(map[string]bool)
	turn := strconv.FormatInt(now.UnixNano()/int64(probeTurn), 10)
	silent := make(map[string][]volunteer)
	for _, p := range m.peers {
		if domain := p.report.Domain; p.report.VM != "" && len(d.relays[domain]) == 0 {
			silent[domain] = append(silent[domain], volunteer{p.address, 0})
		}
	}
	for _, volunteers := range silent {
		for _, address := range rank(turn, volunteers, relaysPerDomain) {
			d.probes[address] = true
		}
	}
}

// rank returns the first few of the volunteers: the largest, and among equals those with
// the highest hash for the key.
func rank(key string, able []volunteer, most int) []string {
	type ranked struct {
		volunteer
		sum uint64
	}
	before := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(b.sum, a.sum), cmp.Compare(a.name, b.name))
	}
	var first []ranked
	for _, v := range able {
		if len(first) == most && v.capacity < first[most-1].capacity {
			continue
		}
		candidate := ranked{v, rendezvous.Sum(key, v.name)}
		at, _ := slices.BinarySearchFunc(first, candidate, before)
		if at < most {
			first = slices.Insert(first, at, candidate)[:min(len(first)+1, most)]
		}
	}
	var out []string
	for _, v := range first {
		out = append(out, v.name)
	}
	return out
}

// exchangesWith tells whether this VM begins exchanges with a peer. Call with mu held.
func (m *members) exchangesWith(p *member, d *drawn) bool {
	domain, vm := p.report.Domain, p.report.VM
	switch {
	case !d.large, vm == "":
		return true
	case domain == m.node.config.Domain:
		return d.relaysOf(domain, vm) || d.isRelay(m)
	case len(d.relays[domain]) == 0:
		return d.isRelay(m) && d.probes[p.address]
	default:
		return d.isRelay(m) && d.relaysOf(domain, vm)
	}
}

// classify notes for how long a peer counts as live without a word: where reports come at
// the configured pace, not for long. Call with mu held.
func (m *members) classify(p *member, d *drawn) {
	domain, vm := p.report.Domain, p.report.VM
	own := m.node.config
	switch {
	case !d.large:
		p.liveFor = 0
	case domain == own.Domain && d.leads(domain, own.VM), p.stop != nil && d.leads(domain, vm):
		p.liveFor = heardFor
	default:
		p.liveFor = relayedFor
	}
}

// largePace is pace in a large fleet. Call with mu held.
func (m *members) largePace(p *member, d *drawn) time.Duration {
	domain, vm := p.report.Domain, p.report.VM
	times := 1
	switch {
	case vm == "", d.probes[p.address]:
		times = unknownPace
	case domain != m.node.config.Domain, d.leads(domain, vm):
	case d.relaysOf(domain, vm):
		times = standbyPace
	default:
		times = memberPace
	}
	return time.Duration(times) * m.node.config.Report
}

// toldAtOnce tells whether a peer gets news at once. A relay that stands by tells nobody:
// the one that leads does. Call with mu held.
func (m *members) toldAtOnce(p *member, d *drawn) bool {
	if !d.large {
		return true
	}
	if p.stop == nil {
		return false
	}
	return d.relaysOf(p.report.Domain, p.report.VM) || d.leads(m.node.config.Domain, m.node.config.VM)
}

// domainView is what this VM knows of the VMs of a failure domain through relays.
type domainView struct {
	version uint64
	vms     []entryvm.VMView
	silent  bool
	// load is known to relays of other domains only.
	load   entryvm.Load
	loadAt time.Time
}

// relayed is what came through relays, and what this one passes on. It belongs to members
// and is guarded by its mu.
type relayed struct {
	views map[string]*domainView
	// others is what runs through all other VMs, as this VM's relay told at othersAt.
	others   []entryvm.Running
	othersAt time.Time
	// news is what a relay passes on, seen what this VM has of each relay's news.
	news newsLog
	seen map[string]entryvm.NewsSeen
	// plan is the newest word of the VM that plans, and when it came.
	plan   *entryvm.PlanNews
	planAt time.Time
	wisest entryvm.VMVersion
	// ownVersion is of the view of the own domain that this VM told last as a relay.
	ownVersion uint64
}

func newRelayed() relayed {
	return relayed{views: make(map[string]*domainView), seen: make(map[string]entryvm.NewsSeen), news: newNewsLog()}
}

// ownView is the own domain as this relay hears it, itself included. Call with mu held.
func (m *members) ownView(now time.Time, own *entryvm.Report) *domainView {
	view := &domainView{vms: []entryvm.VMView{viewOf(own)}}
	m.eachLive(now, func(r *entryvm.Report) {
		if r.Domain == own.Domain {
			view.vms = append(view.vms, viewOf(r))
		}
	})
	slices.SortFunc(view.vms, func(a, b entryvm.VMView) int { return cmp.Compare(a.Address, b.Address) })
	view.version = viewVersion(view.vms)
	return view
}

// knownOwnView is ownView as of the last draw, or of a change since. Call with mu held.
func (m *members) knownOwnView(now time.Time, own *entryvm.Report) *domainView {
	d := m.duties(now)
	if d.own != nil {
		at := slices.IndexFunc(d.own.vms, func(v entryvm.VMView) bool { return v.VM == own.VM })
		if told := d.own.vms[at]; told.Leaving == own.Leaving && slices.Equal(told.Keeps, own.Keeps) {
			return d.own
		}
	}
	d.own = m.ownView(now, own)
	m.relayed.ownVersion = d.own.version
	return d.own
}

func viewOf(r *entryvm.Report) entryvm.VMView {
	return entryvm.VMView{
		VM: r.VM, Address: r.Address, Domain: r.Domain, Incarnation: r.Incarnation, Capacity: r.Capacity,
		Leaving: r.Leaving, Keeps: r.Keeps,
	}
}

// viewVersion is a hash over VMs.
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
// them: as a new relay, while it knows no other VM of its domain, and those in every full
// report. Failure: a VM
// that started knew one other in its domain, and drew itself as the lead; that one, which
// knew all, took it for the lead as well and told it of nobody. Call with mu held.
func (m *members) viewsKnown(now time.Time, full bool, to *entryvm.Report) []entryvm.DomainVersion {
	own := m.node.config
	relay := m.duties(now).isRelay(m)
	switch {
	case !relay:
		m.relaySince = time.Time{}
	case m.relaySince.IsZero():
		m.relaySince = now
	}
	if relay && (m.duties(now).alone || now.Sub(m.relaySince) < relayLearns || (full && to.Domain == own.Domain)) {
		return nil
	}
	var out []entryvm.DomainVersion
	if relay {
		out = append(out, entryvm.DomainVersion{Domain: own.Domain, Version: m.relayed.ownVersion})
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
func (m *members) trusts(d *drawn, report *entryvm.Report, domain string) bool {
	view := m.relayed.views[domain]
	switch {
	case !d.large, view == nil, len(view.vms) == 0, len(d.relays[report.Domain]) == 0:
		return true
	case d.isRelay(m):
		return domain != m.node.config.Domain && domain == report.Domain && d.leads(domain, report.VM)
	default:
		return report.Domain == m.node.config.Domain && d.leads(report.Domain, report.VM)
	}
}

// takeOverview takes what a relay tells of other VMs. It returns the newest word of the VM
// that plans, nil where there is none or the relay is not the one that this VM goes by.
func (m *members) takeOverview(now time.Time, report *entryvm.Report) (plan *entryvm.PlanNews) {
	o := report.Overview
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.duties(now)
	for i := range o.Domains {
		if view := &o.Domains[i]; m.trusts(d, report, view.Domain) {
			m.takeView(now, view)
			m.takeLoad(now, view)
		} else {
			m.meet(now, view.VMs)
		}
	}
	if m.relayed.wisest.Configuration < o.Wisest.Configuration {
		m.relayed.wisest = o.Wisest
	}
	if !o.Relay {
		return nil
	}
	m.relayed.seen[report.VM] = entryvm.NewsSeen{Incarnation: report.Incarnation, Next: o.NewsNext}
	if d.isRelay(m) || !d.leads(m.node.config.Domain, report.VM) {
		return nil
	}
	m.takeInFlight(now, o)
	return o.Plan
}

// takeSums takes what an overtaken answer tells of what runs elsewhere.
func (m *members) takeSums(now time.Time, report *entryvm.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.duties(now)
	for i := range report.Overview.Domains {
		if view := &report.Overview.Domains[i]; m.trusts(d, report, view.Domain) {
			m.takeLoad(now, view)
		}
	}
	if !d.isRelay(m) && d.leads(m.node.config.Domain, report.VM) {
		m.takeInFlight(now, report.Overview)
	}
}

// takeInFlight takes what runs through all others. Call with mu held.
func (m *members) takeInFlight(now time.Time, o *entryvm.Overview) {
	if !o.Sums {
		return
	}
	m.relayed.others, m.relayed.othersAt = o.InFlight, now
	m.sums.stale = true
}

// takeLoad takes what runs and waits in another failure domain. Call with mu held.
func (m *members) takeLoad(now time.Time, told *entryvm.DomainView) {
	view := m.relayed.views[told.Domain]
	if told.Load == nil || view == nil {
		return
	}
	m.sums.stale = true
	if told.Load.Partial {
		view.load.Waiting = told.Load.Waiting
		return
	}
	rates := view.load.Rates
	view.load, view.loadAt = *told.Load, now
	if told.Load.Rates == nil {
		view.load.Rates = rates
	}
}

// takeView takes a relay's word on a failure domain. Call with mu held.
func (m *members) takeView(now time.Time, told *entryvm.DomainView) {
	view := m.relayed.views[told.Domain]
	if view == nil {
		view = &domainView{}
		m.relayed.views[told.Domain] = view
	}
	if view.silent != told.Silent {
		m.node.config.Logger.Info("failure domain by a relay's word", zap.String("domain", told.Domain), zap.Bool("silent", told.Silent))
	}
	view.silent = told.Silent
	switch {
	case told.Silent:
		m.redraw()
		m.expire(now, view.vms)
		view.vms, view.version = nil, 0
	case len(told.VMs) > 0:
		m.redraw()
		m.expire(now, view.vms)
		m.meet(now, told.VMs)
		view.vms, view.version = told.VMs, told.Version
	}
	if view.version != told.Version {
		return // of a version that this VM lacks: its next report says so
	}
	for i := range view.vms {
		if p := m.peers[view.vms[i].Address]; p != nil {
			p.heardAt = now
		}
	}
}

// meet learns VMs that a relay names, without taking them for live. Call with mu held.
func (m *members) meet(now time.Time, vms []entryvm.VMView) {
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
		if !p.reportedAt.IsZero() && now.Sub(p.reportedAt) < heardFor {
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
func (m *members) expire(now time.Time, vms []entryvm.VMView) {
	for i := range vms {
		p := m.peers[vms[i].Address]
		if p != nil && now.Sub(p.reportedAt) >= heardFor {
			p.heardAt = now.Add(-relayedFor)
		}
	}
}

// overview is what this VM tells another one, nil where that is nothing. The report holds
// what this VM says of itself; rates are this VM's own. Sums are told in answers only: two
// reports may overtake each other, and the older one is dropped.
func (m *members) overview(now time.Time, own, to *entryvm.Report, rates []entryvm.ModelRate, answers bool) *entryvm.Overview {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.duties(now)
	if !d.large || to.VM == "" {
		return nil
	}
	if to.Domain == own.Domain && d.relaysOf(to.Domain, to.VM) && len(to.Knows) > 0 {
		return nil // it hears all this VM could tell it
	}
	o := &entryvm.Overview{Relay: d.isRelay(m), Wisest: d.wisestVM(own)}
	m.addViews(now, o, own, to)
	if !o.Relay {
		return o
	}
	near := to.Domain == own.Domain
	due := answers && m.loadDue(now, to, d)
	from := uint64(0)
	if to.Seen.Incarnation == own.Incarnation {
		from = to.Seen.Next
	}
	o.News, o.NewsNext = m.relayed.news.since(from, !near)
	if near {
		if due {
			o.Sums = true
			o.InFlight, o.Lacking = m.forMember(now, own, to)
		}
		o.Plan = m.planNews(now)
		return o
	}
	load := m.domainLoad(now, own, rates)
	switch plans := to.VM == d.planner; {
	case !due && !plans:
		return o
	case !due:
		load = &entryvm.Load{Partial: true, Waiting: load.Waiting}
	case !plans:
		load.Running = m.withoutUnits(load.Running, to.Domain)
	}
	for i := range o.Domains {
		if o.Domains[i].Domain == own.Domain {
			o.Domains[i].Load = load
		}
	}
	return o
}

// loadDue tells whether it is time to tell a VM again what runs, and notes that it is told.
// Load pattern: each swap and each request that begins to wait makes relays exchange up to
// twenty times a second; with the sums in each of them 195 VMs sent 30 MB/s between failure
// domains, nine tenths of all bytes there. Call with mu held.
func (m *members) loadDue(now time.Time, to *entryvm.Report, d *drawn) bool {
	p := m.peers[to.Address]
	if p == nil {
		return true
	}
	pace := m.node.config.Report
	if !d.leads(to.Domain, to.VM) && to.Domain != m.node.config.Domain {
		pace *= standbyPace
	}
	if now.Sub(p.loadToldAt) < pace-relayGap {
		return false
	}
	p.loadToldAt = now
	return true
}

// withoutUnits sums up what runs by backend server, but for the engines of the domain that
// is told: their keepers are there. Call with mu held.
func (m *members) withoutUnits(list []entryvm.Running, domain string) []entryvm.Running {
	var out []entryvm.Running
	for _, r := range list { // sorted by backend server
		if b, ok := m.node.backends.get(r.Backend); ok && b.Domain == domain {
			out = append(out, r)
			continue
		}
		if last := len(out) - 1; last >= 0 && out[last].Backend == r.Backend {
			out[last].Count += r.Count
			continue
		}
		out = append(out, entryvm.Running{Backend: r.Backend, Count: r.Count})
	}
	return out
}

// addViews adds what the other one lacks: a relay of another domain gets the own domain,
// everyone else all of them. Call with mu held.
func (m *members) addViews(now time.Time, o *entryvm.Overview, own, to *entryvm.Report) {
	knows := make(map[string]uint64, len(to.Knows))
	for _, k := range to.Knows {
		knows[k.Domain] = k.Version
	}
	add := func(domain string, view *domainView, silent bool) {
		told := entryvm.DomainView{Domain: domain, Version: view.version, Silent: silent}
		if !silent && knows[domain] != view.version {
			told.VMs = view.vms
		}
		if silent || len(view.vms) > 0 {
			o.Domains = append(o.Domains, told)
		}
	}
	if o.Relay {
		add(own.Domain, m.knownOwnView(now, own), false)
	} else if view := m.relayed.views[own.Domain]; view != nil {
		add(own.Domain, view, false)
	}
	if o.Relay && to.Domain != own.Domain && len(to.Knows) > 0 {
		return
	}
	for domain, view := range m.relayed.views {
		if domain != own.Domain {
			add(domain, view, m.isSilent(domain))
		}
	}
}

// drawWisest is the other VM with the newest configuration known. Call with mu held.
func (m *members) drawWisest() entryvm.VMVersion {
	wisest := m.relayed.wisest
	for _, p := range m.peers {
		if p.report.Configuration > wisest.Configuration {
			wisest = entryvm.VMVersion{Address: p.address, Configuration: p.report.Configuration}
		}
	}
	m.relayed.wisest = wisest
	return wisest
}

// wisestVM is drawWisest's, or this VM.
func (d *drawn) wisestVM(own *entryvm.Report) entryvm.VMVersion {
	if own.Configuration >= d.wisest.Configuration {
		return entryvm.VMVersion{Address: own.Address, Configuration: own.Configuration}
	}
	return d.wisest
}

// planNews is the newest word of the VM that plans, where that is another one. Call with
// mu held.
func (m *members) planNews(now time.Time) *entryvm.PlanNews {
	plan, age := m.relayed.plan, now.Sub(m.relayed.planAt)
	if plan == nil || age > relayedFor || plan.VM == m.node.config.VM {
		return nil
	}
	told := &entryvm.PlanNews{VM: plan.VM, StoreLoads: plan.StoreLoads}
	for _, c := range plan.Coming {
		c.In = max(0, c.In-age)
		told.Coming = append(told.Coming, c)
	}
	return told
}

// newsLog is the news of engines that a relay passes on, in the order in which it came.
type newsLog struct {
	next    uint64
	entries map[string]*loggedNews
}

// loggedNews is the newest news of an engine.
type loggedNews struct {
	entryvm.RelayedNews
	// position is its place in the order, near whether it came from the keeper itself.
	position uint64
	near     bool
	at       time.Time
}

func newNewsLog() newsLog { return newsLog{next: 1, entries: make(map[string]*loggedNews)} }

// put takes news. What only repeats the newest is passed on now and then, and anything
// older than it, by the backend table's judgement, not at all.
func (l *newsLog) put(now time.Time, keeper string, news entryvm.EngineNews, near, newer bool) {
	known := l.entries[news.ID]
	repeats := known != nil && known.Keeper == keeper && known.News.Version == news.Version
	if (repeats && now.Sub(known.at) < newsRefresh) || (!repeats && !newer) {
		return
	}
	l.entries[news.ID] = &loggedNews{
		RelayedNews: entryvm.RelayedNews{Keeper: keeper, News: news}, position: l.next, near: near, at: now,
	}
	l.next++
}

// since returns the news from a position on that still holds, and the next position.
func (l *newsLog) since(position uint64, nearOnly bool) ([]entryvm.RelayedNews, uint64) {
	var out []entryvm.RelayedNews
	for _, known := range l.entries {
		if known.position >= position && (known.near || !nearOnly) {
			out = append(out, known.RelayedNews)
		}
	}
	return out, l.next
}

// sweep drops news that holds no more.
func (l *newsLog) sweep(now time.Time) {
	for id, known := range l.entries {
		if now.Sub(known.at) > newsFor {
			delete(l.entries, id)
		}
	}
}
