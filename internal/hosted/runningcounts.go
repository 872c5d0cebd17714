package hosted

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/loadsignals"
)

// runningCountsInterval is the minimum time between two computations of runningCounts over
// all reports, because in a large fleet a report arrives every few milliseconds.
const runningCountsInterval = 40 * time.Millisecond

// runningCounts counts the requests that the other live VMs have in flight, by backend
// server, and by backend server and unit. It belongs to members, is guarded by its mu and is
// refreshed as reports arrive.
type runningCounts struct {
	stale      bool
	at         time.Time
	onBackends map[string]int
	onUnits    map[runKey]int
}

func newRunningCounts() runningCounts {
	return runningCounts{onBackends: make(map[string]int), onUnits: make(map[runKey]int)}
}

func (s *runningCounts) add(list []entryvm.RunningCount) {
	for _, running := range list {
		s.onBackends[running.Backend] += running.Count
		if running.Unit != "" {
			s.onUnits[runKey{running.Backend, running.Unit}] += running.Count
		}
	}
}

// refreshRunningCounts recomputes the counts over the other VMs if they are out of date.
// Call with mu held.
func (m *members) refreshRunningCounts(now time.Time) {
	s := &m.runningCounts
	age := now.Sub(s.at)
	if age < runningCountsInterval || (!s.stale && age < m.node.config.ReportInterval) {
		return
	}
	s.stale, s.at = false, now
	clear(s.onBackends)
	clear(s.onUnits)
	if r := m.currentRoles(now); r.large && !r.isRelay(m) {
		if now.Sub(m.relayed.inFlightElsewhereAt) < relayedTTL {
			s.add(m.relayed.inFlightElsewhere)
		}
		return
	}
	m.eachLoadLocked(now, func(_ string, l *entryvm.Load) { s.add(l.Running) })
}

// inFlight returns how many requests the other live VMs have in flight on a backend server.
func (m *members) inFlight(now time.Time, backend string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshRunningCounts(now)
	return m.runningCounts.onBackends[backend]
}

// inFlightAge estimates the age of inFlight's data: 0 in a small fleet; otherwise the time
// since the relay's report plus one report interval. On a relay it is one report interval.
func (m *members) inFlightAge(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.currentRoles(now)
	switch {
	case !r.large:
		return 0
	case r.isRelay(m):
		return m.node.config.ReportInterval
	default:
		return m.node.config.ReportInterval + min(now.Sub(m.relayed.inFlightElsewhereAt), relayedTTL)
	}
}

// unitsInFlight returns how many requests the other live VMs have in flight, by backend
// server and unit.
// In a large fleet a VM that is not a relay knows this only for the engines that it keeps.
func (m *members) unitsInFlight(now time.Time) map[runKey]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshRunningCounts(now)
	return maps.Clone(m.runningCounts.onUnits)
}

// eachLoad calls f with the requests that the other live VMs have in flight or waiting, by
// failure domain. In a large fleet only relays have this data.
func (m *members) eachLoad(now time.Time, f func(domain string, l *entryvm.Load)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.eachLoadLocked(now, f)
}

// eachLoadLocked is eachLoad for callers that hold mu.
func (m *members) eachLoadLocked(now time.Time, f func(domain string, l *entryvm.Load)) {
	large := m.currentRoles(now).large
	own := m.node.config.Domain
	m.eachLiveLocked(now, func(r *entryvm.Report) {
		if !large || r.Domain == own {
			f(r.Domain, loadOf(r))
		}
	})
	if !large {
		return
	}
	for domain, view := range m.relayed.views {
		if domain != own && !m.isSilentLocked(domain) && now.Sub(view.loadAt) < relayedTTL {
			f(domain, &view.load)
		}
	}
}

// loadOf returns the load of a single VM.
func loadOf(r *entryvm.Report) *entryvm.Load {
	l := &entryvm.Load{VMs: 1, Running: r.Running, Waiting: r.Waiting, Rates: r.Rates, EnginesMissingUnits: r.EnginesMissingUnits, Signals: r.Signals}
	for _, id := range r.Failing {
		l.Failing = append(l.Failing, entryvm.FailingCount{Backend: id, VMs: 1})
	}
	return l
}

// domainLoad sums the loads of this domain for relays of other domains: what its VMs
// reported, and this VM's own report, which is about to be sent. Call with mu held.
func (m *members) domainLoad(now time.Time, own *entryvm.Report) *entryvm.Load {
	sum, ownLoad := newLoadSum(), loadOf(own)
	ownLoad.Signals = m.signals.own // the report carries them only once per signalsInterval
	sum.add(ownLoad)
	m.eachLiveLocked(now, func(r *entryvm.Report) {
		if r.Domain == own.Domain {
			sum.add(loadOf(r))
		}
	})
	return sum.total(own.Full)
}

// loadSum sums loads.
type loadSum struct {
	vms     int
	running map[runKey]int
	waiting map[string]entryvm.WaitingCount
	rates   map[modelKey]float32
	failing map[string]int
	lacking map[string]bool
	signals *loadsignals.Sum
}

func newLoadSum() *loadSum {
	return &loadSum{running: make(map[runKey]int), waiting: make(map[string]entryvm.WaitingCount), rates: make(map[modelKey]float32),
		failing: make(map[string]int), lacking: make(map[string]bool), signals: loadsignals.NewSum()}
}

func (s *loadSum) add(l *entryvm.Load) {
	s.vms += l.VMs
	s.signals.Add(l.Signals)
	for _, r := range l.Running {
		s.running[runKey{r.Backend, r.Unit}] += r.Count
	}
	for _, w := range l.Waiting {
		known := s.waiting[w.Unit]
		s.waiting[w.Unit] = entryvm.WaitingCount{Unit: w.Unit, Count: known.Count + w.Count, Oldest: max(known.Oldest, w.Oldest)}
	}
	for _, r := range l.Rates {
		s.rates[modelKey{r.Service, r.Model}] += r.Rate
	}
	for _, f := range l.Failing {
		s.failing[f.Backend] += f.VMs
	}
	for _, id := range l.EnginesMissingUnits {
		s.lacking[id] = true
	}
}

// total returns the sum, sorted. Rates are included only on request, because they change
// slowly and are the larger part.
func (s *loadSum) total(rates bool) *entryvm.Load {
	l := &entryvm.Load{VMs: s.vms, Signals: s.signals.Total(), EnginesMissingUnits: slices.Sorted(maps.Keys(s.lacking)), Waiting: slices.Collect(maps.Values(s.waiting))}
	for key, count := range s.running {
		l.Running = append(l.Running, entryvm.RunningCount{Backend: key.backend, Unit: key.unit, Count: count})
	}
	for backend, vms := range s.failing {
		l.Failing = append(l.Failing, entryvm.FailingCount{Backend: backend, VMs: vms})
	}
	slices.SortFunc(l.Running, func(a, b entryvm.RunningCount) int {
		return cmp.Or(cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.Unit, b.Unit))
	})
	slices.SortFunc(l.Waiting, func(a, b entryvm.WaitingCount) int { return cmp.Compare(a.Unit, b.Unit) })
	slices.SortFunc(l.Failing, func(a, b entryvm.FailingCount) int { return cmp.Compare(a.Backend, b.Backend) })
	if !rates {
		return l
	}
	for key, rate := range s.rates {
		l.Rates = append(l.Rates, entryvm.ModelRate{Service: key.service, Model: key.model, Rate: rate})
	}
	slices.SortFunc(l.Rates, func(a, b entryvm.ModelRate) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return l
}

// inFlightForMember returns what a VM of this domain needs to know of the requests that the
// other live VMs have in flight, and the engines kept by it that rejected requests because
// they lack a unit. Call with mu held.
func (m *members) inFlightForMember(now time.Time, own, to *entryvm.Report) (running []entryvm.RunningCount, lacking []string) {
	m.refreshRunningCounts(now)
	onBackends := maps.Clone(m.runningCounts.onBackends)
	isKeeper := func(engine string) bool {
		b, ok := m.node.backends.get(engine)
		return ok && b.Domain == to.Domain && slices.Contains(to.KeptShards, m.node.shardOf(engine))
	}
	onUnits := make(map[runKey]int)
	for key, count := range m.runningCounts.onUnits {
		if isKeeper(key.backend) {
			onUnits[key] = count
		}
	}
	addTo := func(list []entryvm.RunningCount, sign int) {
		for _, r := range list {
			onBackends[r.Backend] += sign * r.Count
			if isKeeper(r.Backend) {
				onUnits[runKey{r.Backend, r.Unit}] += sign * r.Count
			}
		}
	}
	addTo(own.Running, 1)
	addTo(to.Running, -1)
	for backend, count := range onBackends {
		if count > 0 && !isKeeper(backend) {
			running = append(running, entryvm.RunningCount{Backend: backend, Count: count})
		}
	}
	for key, count := range onUnits {
		if count > 0 {
			running = append(running, entryvm.RunningCount{Backend: key.backend, Unit: key.unit, Count: count})
		}
	}
	m.eachLoadLocked(now, func(_ string, l *entryvm.Load) {
		for _, id := range l.EnginesMissingUnits {
			if isKeeper(id) && !slices.Contains(lacking, id) {
				lacking = append(lacking, id)
			}
		}
	})
	return running, lacking
}
