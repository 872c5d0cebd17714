package hosted

import (
	"fmt"
	"maps"
	"time"

	"bergamotreel/internal/judge"
)

// fault is a kind of fault. run starts it at once and returns at its end; some kinds ignore
// how long it should last.
type fault struct {
	name string
	run  func(d *day, duration time.Duration)
}

// faultKinds are the kinds of faults that a day selects from.
var faultKinds = []fault{
	{"an engine announces in its responses that it leaves", (*day).engineLeaves},
	{"an engine is listed as leaving", (*day).engineRegistersLeaving},
	{"an engine requests a cooldown", (*day).engineRequestsCooldown},
	{"an engine loses responses", (*day).engineLosesResponses},
	{"an engine crashes", (*day).engineCrashes},
	{"a request crashes what runs it", (*day).crashingRequest},
	{"the registry is unavailable", (*day).registryUnavailable},
	{"the registry is restored from an older copy", (*day).registryRestoredFromOlderCopy},
	{"the registry loses its history", (*day).registryLosesHistory},
	{"the registry is unreachable for some VMs", (*day).registryUnreachableForSome},
	{"VMs are killed", (*day).killSomeVMs},
	{"all VMs are killed", (*day).killAllVMs},
	{"failure domains are partitioned from each other", (*day).partitionDomains},
	{"a VM is partitioned from the others", (*day).partitionVM},
	{"a configuration is published", (*day).publishConfiguration},
	{"VMs lose their paths to the engines", (*day).losePathsOfSome},
	{"engines are fragile", (*day).enginesFragile},
	{"an engine pauses", (*day).enginePauses},
}

// repeatableFaultKinds are further kinds for days in which requests may be repeated.
var repeatableFaultKinds = []fault{
	{"all engines fail", (*day).allEnginesFail},
	{"all engines fail while VMs are killed in turn", (*day).allEnginesFailDuringKills},
	{"all engines reject requests", (*day).allEnginesReject},
}

// restartFaultKinds are further kinds for days on which a supervisor restarts engines under their IDs.
var restartFaultKinds = []fault{
	{"engines restart", (*day).enginesRestart},
	{"engines restart without models", (*day).enginesRestartEmpty},
}

// restartDelays are after which times a supervisor restarts an engine: before or after others find it down.
var restartDelays = []time.Duration{0, 30 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond}

// enginesRestart ends up to three engines in turn, which restart under their IDs.
func (d *day) enginesRestart(time.Duration) { d.restartEngines("m1") }

// enginesRestartEmpty is enginesRestart, but the engines hold no models until their keepers load them.
func (d *day) enginesRestartEmpty(time.Duration) { d.restartEngines() }

func (d *day) restartEngines(models ...string) {
	for range 1 + d.random.Intn(3) {
		e, delay := d.randomEngine(), restartDelays[d.random.Intn(len(restartDelays))]
		if e == nil {
			return
		}
		d.statsMu.Lock()
		if !e.hasEnded && !d.isLeaving(e) {
			e.hasEnded = true
			close(e.ended)
			d.restartEngine(e, delay, models...)
		}
		d.statsMu.Unlock()
		time.Sleep(time.Duration(d.random.Intn(800)) * time.Millisecond)
	}
}

// disrupt records a disruption of a VM's network paths, or of those of all VMs if vm is
// empty.
func (d *day) disrupt(vm string, duration time.Duration, registry bool) {
	d.statsMu.Lock()
	defer d.statsMu.Unlock()
	now := time.Now()
	d.history.Disruptions = append(d.history.Disruptions, judge.Disruption{VM: vm, From: now, To: now.Add(duration), Registry: registry})
}

// randomEngine returns a random running engine, or nil if there is none.
func (d *day) randomEngine() *servingEngine {
	d.statsMu.Lock()
	defer d.statsMu.Unlock()
	var up []*servingEngine
	for i := range d.startedEngines {
		if e := d.engines[fmt.Sprint("at-e", i+1)]; e != nil && !e.hasEnded && !e.leaving {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[d.random.Intn(len(up))]
}

func (d *day) randomVMs(share float64) []string {
	var out []string
	for _, vm := range d.vms {
		if d.random.Float64() < share {
			out = append(out, vm)
		}
	}
	return out
}

// engineLeaves makes an engine's responses announce that it leaves, and its registry entry
// before that, later or never; the engine ends some time after its drain.
func (d *day) engineLeaves(duration time.Duration) {
	e := d.randomEngine()
	if e == nil {
		return
	}
	entryAfter := time.Duration(d.random.Int63n(int64(8 * time.Second)))
	listedFirst, never := d.random.Intn(4) == 0, d.random.Intn(4) == 0
	if listedFirst {
		d.registerLeaving(e)
		time.Sleep(entryAfter / 4)
	}
	d.announceLeaving(e.id)
	if !listedFirst && !never {
		time.AfterFunc(entryAfter, func() { d.registerLeaving(e) })
	}
	time.Sleep(maxLeavingPropagation + duration)
	d.endEngine(e)
}

// engineRegistersLeaving makes an engine announce that it leaves by its entry alone.
func (d *day) engineRegistersLeaving(duration time.Duration) {
	e := d.randomEngine()
	if e == nil {
		return
	}
	d.registerLeaving(e)
	time.Sleep(maxLeavingPropagation + duration)
	d.endEngine(e)
}

// registerLeaving marks an engine's registry entry as leaving once the registry is
// available.
func (d *day) registerLeaving(e *servingEngine) {
	for d.isRegistryUnavailable() {
		time.Sleep(50 * time.Millisecond)
	}
	d.registry.mu.Lock()
	entry, listed := d.registry.backends[e.id]
	d.registry.mu.Unlock()
	if !listed {
		return
	}
	entry.Leaving = true
	d.registry.put(entry)
	d.statsMu.Lock()
	defer d.statsMu.Unlock()
	d.history.LeaveNotices = append(d.history.LeaveNotices, judge.LeaveNotice{Backend: e.name(), At: time.Now()})
}

func (d *engineCluster) isRegistryUnavailable() bool {
	d.registry.mu.Lock()
	defer d.registry.mu.Unlock()
	return d.registry.unavailable
}

func (d *day) engineRequestsCooldown(duration time.Duration) {
	e := d.randomEngine()
	if e == nil {
		return
	}
	cooldown := time.Second + time.Duration(d.random.Int63n(int64(3*time.Second)))
	var rejects func(string) bool
	if d.random.Intn(3) == 0 {
		chosen := toSet(d.randomVMs(0.5))
		rejects = func(vm string) bool { return chosen[vm] }
	}
	d.setCooldown(e.id, cooldown, rejects)
	time.Sleep(duration)
	d.setCooldown(e.id, 0, nil)
}

func (d *day) engineLosesResponses(duration time.Duration) {
	e := d.randomEngine()
	if e == nil {
		return
	}
	d.setLossShare(e, 0.3)
	time.Sleep(duration)
	d.setLossShare(e, 0)
}

func (d *day) setLossShare(e *servingEngine, share float64) {
	d.statsMu.Lock()
	defer d.statsMu.Unlock()
	e.lostShare = share
}

func (d *day) engineCrashes(time.Duration) {
	if e := d.randomEngine(); e != nil {
		d.endEngine(e)
	}
}

func (d *day) crashingRequest(duration time.Duration) {
	for range 4 {
		vm := d.vms[d.random.Intn(len(d.vms))]
		d.inFlight.Go(func() { _ = d.send(vm, crashingURI) })
		time.Sleep(duration / 4)
	}
}

func (d *day) registryUnavailable(duration time.Duration) {
	d.disrupt("", duration, true)
	d.registry.setUnavailable(true)
	time.Sleep(duration)
	d.registry.setUnavailable(false)
}

func (d *day) registryRestoredFromOlderCopy(duration time.Duration) {
	const outage = 400 * time.Millisecond
	older := d.registry.snapshot()
	time.Sleep(min(duration, 5*time.Second))
	d.disrupt("", outage, true)
	d.registry.setUnavailable(true)
	time.Sleep(outage)
	newer := d.registry.snapshot()
	removed := registrySnapshot{backends: maps.Clone(older.backends)}
	d.registry.restore(older)
	d.registry.setUnavailable(false)
	time.Sleep(time.Second)
	d.rewriteCurrentState(removed, newer)
}

// rewriteCurrentState repeats the last writes of the operator and the backend servers.
func (d *day) rewriteCurrentState(removed, newer registrySnapshot) {
	d.registry.setConfiguration(newer.configuration)
	for id, entry := range newer.backends {
		if _, err := d.liveEngine(entry.Address); err == nil {
			d.registry.put(entry)
		}
		delete(removed.backends, id)
	}
	for id := range removed.backends {
		d.registry.drop(id)
	}
}

func (d *day) registryLosesHistory(time.Duration) {
	d.disrupt("", 100*time.Millisecond, true)
	d.registry.mu.Lock()
	defer d.registry.mu.Unlock()
	d.registry.historyLost = true
}

func (d *day) registryUnreachableForSome(duration time.Duration) {
	vms := d.randomVMs(0.4)
	for _, vm := range vms {
		d.disrupt(vm, duration, true)
		d.setUnreachable(vm, true)
	}
	time.Sleep(duration)
	for _, vm := range vms {
		d.setUnreachable(vm, false)
	}
}

func (d *day) setUnreachable(vm string, unreachable bool) {
	d.registry.mu.Lock()
	defer d.registry.mu.Unlock()
	d.registry.partitionedReaders[vm] = unreachable
}

func (d *day) killSomeVMs(time.Duration) { d.restart(d.randomVMs(0.4)) }

func (d *day) killAllVMs(time.Duration) { d.restart(d.vms) }

// restart kills VMs and restarts them 0.3 s later.
func (d *day) restart(vms []string) {
	chosen := toSet(vms)
	var down []int
	for i, vm := range d.vms {
		if chosen[vm] && d.killVM(vm) {
			down = append(down, i)
		}
	}
	time.Sleep(300 * time.Millisecond)
	for _, i := range down {
		d.bootSpread(i)
	}
}

// killVM kills a VM; it reports false if the VM is down already.
func (d *day) killVM(vm string) bool {
	d.mu.Lock()
	running := d.nodes[vm] != nil
	d.mu.Unlock()
	if !running {
		return false
	}
	d.disrupt(vm, time.Second, false)
	d.statsMu.Lock()
	d.killedInstances[vmInstance{vm, d.vmStarts[vm]}] = true
	d.statsMu.Unlock()
	d.kill(vm)
	return true
}

func (d *day) partitionDomains(duration time.Duration) {
	d.disrupt("", duration, false)
	d.setDomainsPartitioned(true)
	time.Sleep(duration)
	d.setDomainsPartitioned(false)
}

func (d *day) partitionVM(duration time.Duration) {
	vm := d.vms[d.random.Intn(len(d.vms))]
	d.disrupt(vm, duration, false)
	d.setIsolated(vm, true)
	time.Sleep(duration)
	d.setIsolated(vm, false)
}

func (d *day) publishConfiguration(time.Duration) {
	d.registry.mu.Lock()
	next := *d.registry.configuration
	d.registry.mu.Unlock()
	next.Version++
	d.registry.setConfiguration(&next)
}

// losePathsOfSome makes some VMs lose their paths to all engines, in one of several ways.
func (d *day) losePathsOfSome(duration time.Duration) {
	vms := d.randomVMs(0.5)
	if len(vms) == 0 || len(vms) == len(d.vms) {
		return
	}
	loss := pathLoss{refused: d.random.Intn(2) == 0, keptRequests: d.random.Intn(4)}
	from := time.Now()
	d.losePaths(vms, loss, nil)
	duration += maxPathLossDelay
	time.Sleep(duration)
	d.restorePathsOf(vms)
	d.statsMu.Lock()
	defer d.statsMu.Unlock()
	d.history.PathLosses = append(d.history.PathLosses, judge.PathLoss{VMs: toSet(vms), From: from, To: from.Add(duration)})
}

// enginesFragile makes all engines fragile for some time.
func (d *day) enginesFragile(duration time.Duration) {
	d.statsMu.Lock()
	crashesBefore := len(d.roomCrashes)
	d.statsMu.Unlock()
	from, engines := time.Now(), d.countEngines()
	d.setFragile(2 + d.random.Intn(4))
	time.Sleep(fragileNotice + duration)
	d.setFragile(0)
	d.statsMu.Lock()
	defer d.statsMu.Unlock()
	d.history.Fragile = append(d.history.Fragile, judge.FragilePeriod{Backends: engines, From: from, To: time.Now(), Crashes: d.roomCrashes[crashesBefore:]})
}

func (d *day) countEngines() int {
	d.statsMu.Lock()
	defer d.statsMu.Unlock()
	count := 0
	for _, e := range d.engines {
		if !e.hasEnded {
			count++
		}
	}
	return count
}

// enginePauses makes a sound engine send nothing for a second or so.
func (d *day) enginePauses(time.Duration) {
	e := d.randomEngine()
	if e == nil {
		return
	}
	d.statsMu.Lock()
	defer d.statsMu.Unlock()
	e.pausedUntil = time.Now().Add(time.Second + time.Duration(d.random.Int63n(int64(500*time.Millisecond))))
}

func (d *day) allEnginesFail(duration time.Duration) {
	d.setAllFailing(true)
	time.Sleep(duration)
	d.setAllFailing(false)
}

func (d *day) allEnginesFailDuringKills(duration time.Duration) {
	d.setAllFailing(true)
	for endsAt := time.Now().Add(duration); time.Now().Before(endsAt); {
		d.restart(d.randomVMs(0.5))
		time.Sleep(500 * time.Millisecond)
	}
	d.setAllFailing(false)
}

// allEnginesReject makes all engines reject requests without a cooldown that others would
// keep to.
func (d *day) allEnginesReject(duration time.Duration) {
	d.setAllRejecting(true)
	time.Sleep(duration)
	d.setAllRejecting(false)
}

func (d *day) setAllRejecting(rejecting bool) {
	d.statsMu.Lock()
	defer d.statsMu.Unlock()
	for _, e := range d.engines {
		e.rejecting = rejecting
	}
}
