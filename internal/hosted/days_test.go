package hosted

import (
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"bergamotreel/internal/judge"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
)

var (
	daySeeds = flag.Int("days.seeds", 100, "random days that TestRandomDays plays")
	daysFrom = flag.Int64("days.from", 1, "seed of the first random day")
)

const (
	// requestDuration is how long requests are sent; the last fault ends by faultsEnd.
	requestDuration = 36 * time.Second
	faultsEnd       = 20 * time.Second
	// From recoveryDeadline on, at least minServedShare of the requests that the engines
	// have slots for must be served.
	recoveryDeadline = faultsEnd + 12*time.Second
	minServedShare   = 0.5
	engineSlots      = 8
	// repeatableDayDivisor is how many times fewer days with repeatable requests are played: their
	// fleets are larger.
	repeatableDayDivisor = 4
	// apartDayDivisor is the same for days whose VMs start apart: these take twice as long.
	apartDayDivisor = 10
	// minCalmBefore is how long a VM must have been undisturbed for the bounds to apply.
	minCalmBefore = 3 * time.Second
)

// day is a randomized run of a fleet with overlapping faults.
type day struct {
	*engineCluster
	random *rand.Rand
	// kinds are the kinds of faults that are drawn.
	kinds []fault
	// repeatable is whether requests may be sent again after they may have run.
	repeatable bool
	// streaming is whether requests are for streams that may be resumed.
	streaming bool
	// requestInterval is the time between two requests.
	requestInterval time.Duration
	// faultLog describes the selected faults.
	faultLog []string
}

// run starts random faults while it sends requests, and waits until all have ended.
func (d *day) run() {
	for range 2 + d.random.Intn(7) {
		kind := d.kinds[d.random.Intn(len(d.kinds))]
		duration := time.Duration(1+d.random.Intn(7)) * time.Second
		at := time.Duration(d.random.Int63n(int64(faultsEnd - 8*time.Second)))
		d.faultLog = append(d.faultLog, fmt.Sprintf("%s at %s for %s", kind.name, at, duration))
		d.inFlight.Go(func() {
			time.Sleep(at)
			kind.run(d, duration)
		})
	}
	startedAt := time.Now()
	d.requestInterval = time.Duration(5+d.random.Intn(40)) * time.Millisecond
	for i := 0; time.Since(startedAt) < requestDuration; i++ {
		vm, id := d.vms[d.engineCluster.random.Intn(len(d.vms))], fmt.Sprint("r", i)
		d.inFlight.Go(func() { d.sendAndRecord(vm, id) })
		time.Sleep(d.requestInterval)
	}
	d.inFlight.Wait()
}

// servableShare returns the fraction of the requests that the engines have slots for.
func (d *day) servableShare(engines int) float64 {
	duration := runTime
	if d.streaming {
		duration = streamEvents * eventInterval
	}
	requestRate, slots := 1/d.requestInterval.Seconds(), float64(engines*engineSlots)/duration.Seconds()
	return min(1, slots/requestRate)
}

// sendAndRecord sends one request and records its outcome. The response of a VM that was
// killed meanwhile doesn't reach the caller.
func (d *day) sendAndRecord(vm, id string) {
	if d.streaming {
		d.sendStream(vm, id)
		return
	}
	d.statsMu.Lock()
	sent := time.Now()
	d.sentAt[id] = sent
	start := vmInstance{vm, d.vmStarts[vm]}
	d.statsMu.Unlock()
	err := d.sendWithParts(vm, id, "/day/"+id, sharedPartsOf(id)...)
	d.statsMu.Lock()
	defer d.statsMu.Unlock()
	var refused *refusal.Refusal
	killed := d.killedInstances[start]
	d.history.Outcomes = append(d.history.Outcomes, judge.Outcome{Request: id, VM: vm, Service: testService, Sent: sent, Answered: !killed && err == nil,
		NotRun: !killed && errors.As(err, &refused) && refused.Ran == refusal.RanNo, QuarantinedAt: quarantinedAt(err)})
}

// summary describes the events that the checks cover.
func (d *day) summary() string {
	answered, refused, leaving, cooldowns := 0, 0, 0, 0
	for _, e := range d.history.Outcomes {
		if e.Answered {
			answered++
		}
		if e.NotRun {
			refused++
		}
	}
	for _, a := range d.history.Arrivals {
		if a.Leaving {
			leaving++
		}
		if a.RetryAfter > 0 {
			cooldowns++
		}
	}
	return fmt.Sprintf("%d requests: %d answered, %d not run; %d answers said leaving, %d cooldowns, %d leave notices, %d path losses, %d fragile periods",
		len(d.history.Outcomes), answered, refused, leaving, cooldowns, len(d.history.LeaveNotices), len(d.history.PathLosses), len(d.history.Fragile))
}

// violations returns the guarantees that the day violated.
func (d *day) violations(startedAt time.Time, engines int) []judge.Violation {
	h := &d.history
	var violations []judge.Violation
	violations = append(violations, judge.CheckSoftwareVersions(h)...)
	violations = append(violations, judge.CheckCompleteStreams(h)...)
	violations = append(violations, judge.CheckStreamOrder(h)...)
	if d.repeatable {
		violations = append(violations, judge.CheckRetries(h, retryBound(len(d.vms)))...)
	} else {
		violations = append(violations, judge.CheckAtMostOnce(h)...)
		violations = append(violations, judge.CheckHonestRefusals(h)...)
	}
	violations = append(violations, judge.CheckDrainByAnswer(h, maxLeavingPropagation)...)
	violations = append(violations, judge.CheckDrainByRegistry(h, maxLeavingPropagation, minCalmBefore)...)
	violations = append(violations, judge.CheckRetryAfter(h, cooldownGrace, maxCooldownRequests)...)
	violations = append(violations, judge.CheckServedWithoutPaths(h, maxPathLossDelay, minPathLossShare, allowedPathLossFailures)...)
	violations = append(violations, judge.CheckRoom(h, allowedFragileCrashes, minCalmBefore)...)
	for _, part := range d.crashingParts {
		h.CrashingParts = append(h.CrashingParts, part.history)
	}
	violations = append(violations, judge.CheckCrashingParts(h, crashBound)...)
	if len(d.crashingParts) == 0 {
		violations = append(violations, judge.CheckSoundRefusals(h, maxSoundRefusalTime)...)
	}
	return append(violations, judge.CheckRecovery(h, startedAt.Add(recoveryDeadline), minServedShare*d.servableShare(engines))...)
}

// Guards against guarantees that are violated while faults of several kinds overlap.
// -days.seeds and -days.from select the days.
func TestRandomDays(t *testing.T) {
	for seed := *daysFrom; seed < *daysFrom+int64(*daySeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playDay(t, seed) })
	}
}

// Guards against retries beyond the fleet's budget, and against the other violations, while
// requests may be repeated and engines also fail all together.
func TestRandomDaysOfRepeatableRequests(t *testing.T) {
	for seed := *daysFrom; seed < *daysFrom+int64(*daySeeds/repeatableDayDivisor); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playRepeatableDay(t, seed) })
	}
}

// Guards against retries beyond the fleet's budget by VMs that start while they reach no other one,
// before a day in which engines also fail all together.
func TestRandomDaysOfVMsStartedApart(t *testing.T) {
	for seed := *daysFrom; seed < *daysFrom+int64(*daySeeds/apartDayDivisor); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playDayOfVMsStartedApart(t, seed) })
	}
}

// Guards against VMs that get less than their share of a single engine that is overloaded: the
// others use each slot again as it becomes free.
func TestRandomDaysOfOverloadedEngine(t *testing.T) {
	for _, seed := range []int64{16, 147, 209, 288, 344, 415} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playDay(t, seed) })
	}
}

// playDay plays and checks the random day of a seed.
func playDay(t *testing.T, seed int64) {
	t.Parallel()
	random := rand.New(rand.NewSource(seed))
	vms, engines := 2+random.Intn(9), 1+random.Intn(6)
	if random.Intn(6) == 0 {
		vms = maxFullMeshPeers + 2 + random.Intn(12) // reports go through relays
	}
	withEngineCluster(t, vms, engines, func(b *engineCluster) {
		d := &day{engineCluster: b, random: random, kinds: faultKinds}
		d.runAndCheck(engines)
	})
}

// playRepeatableDay plays and checks the random day of a seed in which requests may be
// repeated.
func playRepeatableDay(t *testing.T, seed int64) {
	t.Parallel()
	random := rand.New(rand.NewSource(seed))
	vms := 2 + random.Intn(40)
	withRetryCluster(t, vms, func(b *engineCluster) {
		d := &day{engineCluster: b, random: random, repeatable: true, kinds: slices.Concat(faultKinds, repeatableFaultKinds)}
		d.allowRepeats()
		d.runAndCheck(retryClusterEngines)
	})
}

// playDayOfVMsStartedApart plays a random day of repeatable requests at whose start some VMs are
// restarted, up to a quarter of the fleet at a time, while they reach no other one. They stay isolated
// for a random part of the day. It checks the retries.
func playDayOfVMsStartedApart(t *testing.T, seed int64) {
	t.Parallel()
	random := rand.New(rand.NewSource(seed))
	vms := 2 + random.Intn(40)
	withRetryCluster(t, vms, func(b *engineCluster) {
		d := &day{engineCluster: b, random: random, repeatable: true, kinds: slices.Concat(faultKinds, repeatableFaultKinds)}
		d.allowRepeats()
		apart := d.randomVMs(0.3 + 0.7*random.Float64())
		for _, vm := range apart {
			d.setIsolated(vm, true)
		}
		for group := range slices.Chunk(apart, 1+random.Intn(1+vms/4)) {
			d.restart(group)
			time.Sleep(time.Duration(random.Intn(6000)) * time.Millisecond)
		}
		time.Sleep(time.Duration(random.Intn(40)) * time.Second)
		isolationLeft := time.Duration(random.Intn(30)) * time.Second
		d.inFlight.Go(func() {
			time.Sleep(isolationLeft)
			for _, vm := range apart {
				d.setIsolated(vm, false)
			}
		})
		d.run()
		violations := judge.CheckRetries(&d.history, retryBound(vms))
		testkit.That(t, len(violations) == 0, "%d VMs, %d of them restarted apart; %s: %v", vms, len(apart), strings.Join(d.faultLog, "; "), violations)
	})
}

// runAndCheck plays the day and checks it.
func (d *day) runAndCheck(engines int) {
	startedAt := time.Now()
	d.run()
	violations := d.violations(startedAt, engines)
	d.Log(d.summary())
	if len(violations) == 0 {
		return
	}
	d.Errorf("%d VMs, %d engines; %s", len(d.vms), engines, strings.Join(d.faultLog, "; "))
	for _, v := range violations[:min(len(violations), 5)] {
		d.Errorf("%s after %s (of %d)", v, v.At.Sub(startedAt), len(violations))
	}
}
