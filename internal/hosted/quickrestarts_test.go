package hosted

import (
	"errors"
	"math"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
	"bergamotreel/registry"
)

// entryRenewalInterval is how long the entry of a restarted engine goes on to show its former start.
const entryRenewalInterval = time.Second

// supervise has engines restarted under their IDs after a delay from now on.
func (b *engineCluster) supervise(delay time.Duration) {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	b.supervised, b.supervisorDelay = true, delay
	for _, e := range b.engines {
		b.reportStart(e)
	}
}

// reportStart has an engine report when it started from now on.
func (b *engineCluster) reportStart(e *servingEngine) {
	b.testCluster.engines.mu.Lock()
	fake := b.testCluster.engines.all["at-"+e.id]
	fake.started = time.Now().UnixMilli()
	b.testCluster.engines.recordStatus(fake)
	b.testCluster.engines.mu.Unlock()
	b.listEngine(fake)
}

// restartEngine restarts an engine that has ended under its ID, with the given models. Its entry shows
// that later. Call with statsMu held.
func (b *engineCluster) restartEngine(e *servingEngine, delay time.Duration, models ...string) {
	next := &servingEngine{id: e.id, start: e.start + 1, domain: e.domain, version: e.version, unframed: e.unframed, ended: make(chan struct{})}
	if e.room != nil && b.newEngineRoom != nil {
		next.room = b.newEngineRoom()
	}
	fakes := b.testCluster.engines
	fake := fakes.all["at-"+e.id]
	start := func() {
		fakes.restart(fake, time.Now().UnixMilli(), models...)
		b.engines[fake.address] = next
		time.AfterFunc(entryRenewalInterval, func() {
			b.statsMu.Lock()
			lists := b.engines[fake.address] == next && !next.hasEnded && !b.isLeaving(next)
			b.statsMu.Unlock()
			if lists && !b.isRegistryUnavailable() {
				b.listEngine(fake)
			}
		})
	}
	if delay == 0 {
		start()
		return
	}
	time.AfterFunc(delay, func() {
		b.statsMu.Lock()
		defer b.statsMu.Unlock()
		start()
	})
}

// isLeaving reports whether an engine leaves, so that no supervisor restarts it. Call with statsMu held.
func (b *engineCluster) isLeaving(e *servingEngine) bool {
	b.registry.mu.Lock()
	defer b.registry.mu.Unlock()
	return e.leaving || b.registry.backends[e.id].Leaving
}

// Guards against a request that crashes engine after engine because a supervisor starts them again
// before a probe finds them down.
func TestRequestThatCrashesRestartedEnginesIsQuarantined(t *testing.T) {
	for name, c := range map[string]struct {
		vms, engines int
		delay        time.Duration
		// statusLag is how old the engines' statuses are, otherInterval the time between two other
		// requests, leaveAfter when the callers leave, zero for never.
		statusLag, otherInterval, leaveAfter time.Duration
	}{
		"at once":                {8, 18, 0, 0, 25 * time.Millisecond, 0},
		"after 50 ms":            {8, 18, 50 * time.Millisecond, 0, 25 * time.Millisecond, 0},
		"after 150 ms":           {8, 18, 150 * time.Millisecond, 0, 25 * time.Millisecond, 0},
		"after a second":         {8, 18, time.Second, 0, 25 * time.Millisecond, 0},
		"statuses lag":           {8, 18, 0, 300 * time.Millisecond, 25 * time.Millisecond, 0},
		"large fleet":            {30, 18, 0, 0, 25 * time.Millisecond, 0},
		"few engines":            {8, 3, 0, 0, 50 * time.Millisecond, 0},
		"callers leave":          {8, 18, 0, 0, 25 * time.Millisecond, 30 * time.Millisecond},
		"they leave, few others": {8, 18, 0, 0, time.Second, 30 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withEngineCluster(t, c.vms, c.engines, func(b *engineCluster) {
				b.testCluster.engines.statusLag = c.statusLag
				b.supervise(c.delay)
				time.Sleep(2 * time.Second)
				b.inFlight.Go(func() { b.sendOtherRequests(20*time.Second, c.otherInterval) })
				b.sendCrashing(80, 250*time.Millisecond, c.leaveAfter)
				b.inFlight.Wait()
				b.checkCrashesEnd()
			})
		})
	}
}

// sendCrashing sends the crashing request as often as given, to VMs at random.
func (b *engineCluster) sendCrashing(times int, interval, leaveAfter time.Duration) {
	for range times {
		if leaveAfter > 0 {
			b.sendUntilLeft(crashingURI, leaveAfter)
		} else {
			b.sendCrashingAfter(0, b.randomVM())
		}
		time.Sleep(interval)
	}
}

// Guards against the quarantine of a request that many send, because engines restart again and again
// for another reason and break its runs.
func TestPopularRequestOnRestartedEnginesIsNotQuarantined(t *testing.T) {
	withEngineCluster(t, 8, 18, func(b *engineCluster) {
		b.supervise(0)
		time.Sleep(2 * time.Second)
		refused := 0
		for i := range 400 {
			b.inFlight.Go(func() {
				var refusal *refusal.Refusal
				if err := b.send(b.vms[i%8], "/popular"); errors.As(err, &refusal) {
					b.statsMu.Lock()
					refused++
					b.statsMu.Unlock()
				}
			})
			if i%40 == 20 {
				b.endEngine(testkit.Value(b.liveEngine("at-e1"))(t))
			}
			time.Sleep(20 * time.Millisecond)
		}
		b.inFlight.Wait()
		testkit.That(t, refused < 20, "%d of 400 requests were refused", refused)
	})
}

// Guards against the status of an ended start that a VM takes for the newer one, as it didn't know either
// before, and after which it refuses the right one.
func TestStatusFromBeforeListedStartIsIgnored(t *testing.T) {
	table, now := newBackendTable(zap.NewNop()), time.Now()
	table.applyChanges(now, []registry.Change{{ID: "e", Backend: &registry.Backend{ID: "e", Service: "s", Started: firstStartTime}}})
	testkit.That(t, !table.recordStart(now, "e", firstStartTime-5), "an earlier start is recorded")
	b, _ := table.get("e")
	testkit.Equal(t, "start", b.start, firstStartTime)
}

// Guards against an engine that goes back to an ended start because of an older entry, keeper's update
// or report, and against one whose next start is not recognized after that.
func TestOlderNewsOfStartIsIgnored(t *testing.T) {
	table, now := newBackendTable(zap.NewNop()), time.Now()
	list := func(started int64) {
		table.applyChanges(now, []registry.Change{{ID: "e", Backend: &registry.Backend{ID: "e", Service: "s", Started: started}}})
	}
	checkStart := func(why string, want int64) {
		t.Helper()
		b, _ := table.get("e")
		testkit.Equal(t, why, b.start-firstStartTime, want)
	}
	list(firstStartTime)
	testkit.That(t, table.recordStart(now, "e", firstStartTime+20), "its own status is no news")
	testkit.That(t, !table.recordStart(now, "e", firstStartTime), "its older status is news")
	list(firstStartTime + 10)
	checkStart("with an entry from between", 20)
	table.applyEngineUpdate(now, "a", entryvm.EngineUpdate{ID: "e", Version: 1, Started: firstStartTime})
	checkStart("with an update of a former start", 20)
	report := entryvm.Report{}
	table.publishStarts(now, &report)
	testkit.Equal(t, "reported", len(report.BackendStarts), 1)
	other := newBackendTable(zap.NewNop())
	other.applyChanges(now, []registry.Change{{ID: "e", Backend: &registry.Backend{ID: "e", Service: "s", Started: firstStartTime}}})
	testkit.That(t, other.mergeStarts(now, report.BackendStarts) && !other.mergeStarts(now, report.BackendStarts), "another VM's report is not news once")
	testkit.Equal(t, "ended", other.drainEndedInstances()[0].Target.Started, int64(firstStartTime))
	list(firstStartTime + 30)
	checkStart("with the entry of the next start", 30)
	list(firstStartTime + 20)
	checkStart("with an older entry", 30)
	now = now.Add(maxStartNewsAge)
	list(firstStartTime - 10)
	checkStart("after the clock was set back", -10)
}

// Guards against an engine whose status and keeper's updates are ignored for good, as another writer left an entry
// with a later start in place of its own one.
func TestEntryWithOddStartIsForgotten(t *testing.T) {
	for _, isRemoved := range []bool{false, true} {
		table, now := newBackendTable(zap.NewNop()), time.Now()
		list := func(started int64) {
			table.applyChanges(now, []registry.Change{{ID: "e", Backend: &registry.Backend{ID: "e", Service: "s", IsEngine: true, Started: started}}})
		}
		list(firstStartTime)
		list(math.MaxInt64)
		if isRemoved {
			table.applyChanges(now, []registry.Change{{ID: "e"}})
		}
		for range 3 {
			list(firstStartTime)
			now = now.Add(maxStartNewsAge / 2)
		}
		list(firstStartTime)
		b, _ := table.get("e")
		testkit.Equal(t, "start", b.start, firstStartTime)
		changed, inUse := table.applyEngineUpdate(now, "a", entryvm.EngineUpdate{ID: "e", Version: 1, Started: firstStartTime, Models: []entryvm.EngineModel{{Model: "m"}}})
		testkit.That(t, changed && inUse, "the keeper's update is ignored")
		b, _ = table.get("e")
		testkit.That(t, !b.isOutdatedStart(now, firstStartTime, startFromKeeper), "its status is ignored")
	}
}

// Guards against a return to an ended start because its entry is read again, long after the server or its keeper
// reported the next one.
func TestEntryOfEndedStartReadAgainIsIgnored(t *testing.T) {
	for name, report := range map[string]func(table *backendTable, now time.Time){
		"server": func(table *backendTable, now time.Time) { table.recordStart(now, "e", firstStartTime+20) },
		"keeper": func(table *backendTable, now time.Time) {
			table.applyEngineUpdate(now, "a", entryvm.EngineUpdate{ID: "e", Version: 1, Started: firstStartTime + 20})
		},
		"server, listed before": func(table *backendTable, now time.Time) {
			table.applyChanges(now, []registry.Change{{ID: "e", Backend: &registry.Backend{ID: "e", Service: "s", Started: firstStartTime + 20}}})
			table.recordStart(now, "e", firstStartTime+20)
		},
	} {
		table, now := newBackendTable(zap.NewNop()), time.Now()
		list := []registry.Backend{{ID: "e", Service: "s", Started: firstStartTime}}
		table.replace(now, list)
		report(table, now)
		for range 4 {
			now = now.Add(maxStartNewsAge)
			table.replace(now, list)
		}
		b, _ := table.get("e")
		testkit.Equal(t, "start reported by the "+name, b.start, firstStartTime+20)
	}
}
