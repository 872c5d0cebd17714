package hosted

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"bergamotreel/internal/judge"
	"bergamotreel/internal/testkit"
	"bergamotreel/service"
)

// partsHeader names the shared parts of a request's prompt to the test's engines.
const partsHeader = "Parts"

// crashBound is what the hosting platform's rules allow a part of prompts that ends engines.
var crashBound = judge.CrashBound{Crashes: 5, MaxLate: 3, Settle: 3 * time.Second, MinSoundShare: 0.5, MinSound: 20}

// crashingPart is a part of prompts that ends the engines which run a request with it.
type crashingPart struct {
	id string
	// harmless has engines answer requests with the part.
	harmless bool
	history  judge.CrashingPart
}

// runCrashingPart ends the engine soon if a request that a VM sent has a crashing part.
func (b *engineCluster) runCrashingPart(e *servingEngine, vm string, f *service.ForwardRequest) {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	for _, id := range f.Header[partsHeader] {
		part := b.crashingParts[id]
		if part == nil || part.harmless {
			continue
		}
		part.history.Arrivals = append(part.history.Arrivals, judge.Arrival{Request: f.RequestID, Backend: e.id, VM: vm, At: time.Now()})
		time.AfterFunc(crashAfter, func() {
			b.statsMu.Lock()
			ended := e.hasEnded
			if !ended {
				part.history.Crashes = append(part.history.Crashes, time.Now())
			}
			b.statsMu.Unlock()
			b.endEngine(e)
		})
	}
}

// crashingPartCase is a load pattern with a part of prompts that ends engines.
type crashingPartCase struct {
	vms, engines int
	// every is how many requests there are for each one with the crashing part.
	every int
	// guilty and sound are the shared parts of the i-th request of either kind.
	guilty, sound func(i int) []string
	// disturb, if set, is called when requests with the crashing part begin to come.
	disturb func(d *day, part *crashingPart)
	// leaveAfter is after which time the callers of requests with the crashing part leave, zero if they
	// stay.
	leaveAfter time.Duration
}

const (
	crashingPartID = "bad"
	// partRequestInterval is the time between two requests of a crashingPartCase, partCalmTime how
	// long only sound ones are sent, partCrashTime how long both are.
	partRequestInterval = 25 * time.Millisecond
	partCalmTime        = 4 * time.Second
	partCrashTime       = 20 * time.Second
)

// shared returns a function for requests that all have the same parts.
func shared(parts ...string) func(int) []string { return func(int) []string { return parts } }

// varied returns a function for requests that have one of several first and of several second parts.
func varied(first, second string, firstCount, secondCount int) func(int) []string {
	vary := func(part string, count, i int) string {
		if count <= 1 {
			return part
		}
		return fmt.Sprint(part, i%count)
	}
	return func(i int) []string { return []string{vary(first, firstCount, i), vary(second, secondCount, i)} }
}

// Guards against requests that have one part of their prompts in common, and nothing else, and that
// crash engine after engine; and against the refusal of sound requests that share their other parts.
func TestCrashingPartOfPromptsIsQuarantined(t *testing.T) {
	for name, c := range map[string]crashingPartCase{
		"second part":         {8, 18, 8, shared("first", crashingPartID), varied("first", "second", 1, 5), nil, 0},
		"several first parts": {8, 18, 8, varied("first", crashingPartID, 3, 1), varied("first", "second", 3, 5), nil, 0},
		"first part":          {8, 18, 8, varied(crashingPartID, "second", 1, 5), varied("first", "second", 1, 5), nil, 0},
		"rarely sent":         {8, 18, 40, shared("first", crashingPartID), varied("first", "second", 1, 5), nil, 0},
		"callers leave":       {8, 18, 8, shared("first", crashingPartID), varied("first", "second", 1, 5), nil, 30 * time.Millisecond},
		"large fleet":         {30, 18, 8, shared("first", crashingPartID), varied("first", "second", 1, 5), nil, 0},
		"few engines":         {8, 3, 20, shared("first", crashingPartID), varied("first", "second", 1, 5), nil, 0},
		"VMs killed": {8, 18, 8, shared("first", crashingPartID), varied("first", "second", 1, 5), func(d *day, _ *crashingPart) {
			time.Sleep(time.Second)
			d.restart(d.vms[:3])
		}, 0},
		"VMs without paths": {8, 18, 20, shared("first", crashingPartID), varied("first", "second", 1, 5), func(d *day, _ *crashingPart) {
			d.losePaths(d.vms[:7], pathLoss{}, nil)
		}, 0},
		"all VMs killed": {8, 18, 8, shared("first", crashingPartID), varied("first", "second", 1, 5), func(d *day, _ *crashingPart) {
			time.Sleep(6 * time.Second)
			d.restart(d.vms)
		}, 0},
		"harmless at first": {8, 18, 8, shared("first", crashingPartID), varied("first", "second", 1, 5), func(d *day, part *crashingPart) {
			d.setHarmless(part, true)
			time.Sleep(4 * time.Second)
			d.setHarmless(part, false)
		}, 0},
		"engines crash at once": {8, 18, 8, shared("first", crashingPartID), varied("first", "second", 1, 5), func(d *day, _ *crashingPart) {
			for range 6 {
				d.engineCrashes(0)
			}
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkCrashingPart(t, c)
		})
	}
}

// checkCrashingPart plays a load pattern and checks it.
func checkCrashingPart(t *testing.T, c crashingPartCase) {
	withEngineCluster(t, c.vms, c.engines, func(b *engineCluster) {
		d := &day{engineCluster: b, random: rand.New(rand.NewSource(1))}
		part := d.addCrashingPart(crashingPartID)
		startedAt := time.Now()
		disturbed := false
		for i := 0; time.Since(startedAt) < partCalmTime+partCrashTime; i++ {
			crashing := time.Since(startedAt) >= partCalmTime
			if crashing && !disturbed && c.disturb != nil {
				d.inFlight.Go(func() { c.disturb(d, part) })
			}
			disturbed = disturbed || crashing
			if crashing && i%c.every == 0 {
				d.sendCrashing(part, i, c.leaveAfter, c.guilty(i/c.every))
			} else {
				d.sendSound(part, i, c.sound(i))
			}
			time.Sleep(partRequestInterval)
		}
		d.inFlight.Wait()
		d.checkCrashingPart(part)
	})
}

// addCrashingPart has engines crash under requests with a part.
func (d *day) addCrashingPart(id string) *crashingPart {
	d.statsMu.Lock()
	defer d.statsMu.Unlock()
	part := &crashingPart{id: id}
	if d.crashingParts == nil {
		d.crashingParts = make(map[string]*crashingPart)
	}
	d.crashingParts[id] = part
	return part
}

func (d *day) setHarmless(part *crashingPart, harmless bool) {
	d.statsMu.Lock()
	defer d.statsMu.Unlock()
	part.harmless = harmless
}

// sendCrashing sends a request with the crashing part to a VM at random. Its caller leaves after the
// given time unless that is zero.
func (d *day) sendCrashing(part *crashingPart, i int, leaveAfter time.Duration, parts []string) {
	vm := d.pickVM()
	ctx, cancel := context.WithCancel(context.Background())
	if leaveAfter > 0 {
		time.AfterFunc(leaveAfter, cancel)
	}
	d.statsMu.Lock()
	part.history.Sent = append(part.history.Sent, time.Now())
	d.statsMu.Unlock()
	d.inFlight.Go(func() {
		defer cancel()
		_ = d.sendWithContext(ctx, vm, fmt.Sprint("crashing-", i), fmt.Sprint("/crashing/", i), parts...)
	})
}

// sendSound sends a sound request to a VM at random and records its outcome. One that its VM did
// not read, as it was down, doesn't count.
func (d *day) sendSound(part *crashingPart, i int, parts []string) {
	vm, sent := d.pickVM(), time.Now()
	d.inFlight.Go(func() {
		d.statsMu.Lock()
		instance := vmInstance{vm, d.vmStarts[vm]}
		d.statsMu.Unlock()
		err := d.sendWithParts(vm, fmt.Sprint("sound-", i), fmt.Sprint("/sound/", i), parts...)
		d.statsMu.Lock()
		defer d.statsMu.Unlock()
		if !d.killedInstances[instance] {
			part.history.Sound = append(part.history.Sound, judge.Outcome{VM: vm, Sent: sent, Answered: err == nil})
		}
	})
}

// pickVM returns a VM at random.
func (d *day) pickVM() string {
	d.statsMu.Lock()
	defer d.statsMu.Unlock()
	return d.vms[d.engineCluster.random.Intn(len(d.vms))]
}

// checkCrashingPart checks what the requests with a crashing part and the sound ones came to.
func (d *day) checkCrashingPart(part *crashingPart) {
	d.Helper()
	d.statsMu.Lock()
	defer d.statsMu.Unlock()
	history := &part.history
	slices.SortFunc(history.Sound, func(a, b judge.Outcome) int { return a.Sent.Compare(b.Sent) })
	d.Logf("%d engines ended, requests with the part reached engines %d times of %d", len(history.Crashes), len(history.Arrivals), len(history.Sent))
	h := judge.History{CrashingParts: []judge.CrashingPart{*history}, Disruptions: d.history.Disruptions}
	for _, v := range append(judge.CheckCrashingParts(&h, crashBound), judge.CheckSoundRequests(&h, crashBound)...) {
		d.Errorf("%s", v)
	}
	testkit.That(d, len(history.Crashes) > 0, "no engine ended")
}

// crashingPartDayDivisor is how many times fewer days with a crashing part are played, and
// leftCrashingPartDayDivisor the same if callers leave before the crash.
const (
	crashingPartDayDivisor     = 4
	leftCrashingPartDayDivisor = 8
)

// playCrashingPartDay plays and checks the random day of a seed on which engines crash under a part of
// prompts, beside the other faults. The callers of requests with the part leave after the given time,
// unless that is zero.
func playCrashingPartDay(t *testing.T, seed int64, leaveAfter time.Duration) {
	t.Parallel()
	random := rand.New(rand.NewSource(seed))
	vms, engines := 2+random.Intn(9), 4+random.Intn(12)
	if random.Intn(6) == 0 {
		vms = maxFullMeshPeers + 2 + random.Intn(12)
	}
	withEngineCluster(t, vms, engines, func(b *engineCluster) {
		d := &day{engineCluster: b, random: random, kinds: faultKinds}
		part := d.addCrashingPart(crashingPartID)
		every, firstParts := 4+random.Intn(40), 1+random.Intn(3)
		from := time.Duration(random.Int63n(int64(10 * time.Second)))
		d.faultLog = append(d.faultLog, fmt.Sprintf("a part of prompts crashes engines from %s on, in every %d. request", from, every))
		d.inFlight.Go(func() {
			guilty, sound := varied("first", crashingPartID, firstParts, 1), varied("first", "second", firstParts, 5)
			startedAt := time.Now()
			for i := 0; time.Since(startedAt) < faultsEnd; i++ {
				if time.Since(startedAt) >= from && i%every == 0 {
					d.sendCrashing(part, i, leaveAfter, guilty(i/every))
				} else {
					d.sendSound(part, i, sound(i))
				}
				time.Sleep(partRequestInterval)
			}
		})
		d.runAndCheck(engines)
	})
}

// Guards against parts of prompts that go on crashing engines while faults of several kinds overlap.
func TestRandomDaysOfCrashingParts(t *testing.T) {
	for seed := *daysFrom; seed < *daysFrom+int64(*daySeeds/crashingPartDayDivisor); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playCrashingPartDay(t, seed, 0) })
	}
}

// Guards against the same if whoever sends the part has always left before the crash.
func TestRandomDaysOfCrashingPartsAfterCallersLeft(t *testing.T) {
	for seed := *daysFrom; seed < *daysFrom+int64(*daySeeds/leftCrashingPartDayDivisor); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playCrashingPartDay(t, seed, 30*time.Millisecond) })
	}
}
