package hosted

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"bergamotreel/contract"
	"bergamotreel/internal/judge"
	"bergamotreel/internal/testkit"
)

const (
	// retryWindow, retryRatio and fleetRetrySlack are the bound on retries that operators of the
	// hosting platform state for a fleet.
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	// retryClusterEngines is the number of engines of a withRetryCluster.
	retryClusterEngines = 2 * spreadDomainCount
	// failingAfter is how long the engines of a retryCase answer before all of them fail.
	failingAfter = 12 * time.Second
	// budgetFillTime exceeds the time in which an empty budget fills.
	budgetFillTime = 25 * time.Second
)

func fleetRetrySlack(vms int) float64 { return float64(40 + 2*vms) }

// retryCase is a fleet whose engines all fail from some time on, while requests may be repeated.
type retryCase struct {
	vms int
	// pause is the time between two requests.
	pause time.Duration
	// prepare, if set, is called before the engines begin to fail.
	prepare func(d *day)
	// disturb, if set, is called when the engines begin to fail.
	disturb func(d *day)
}

// killInTurn kills half of the VMs every 1.2 s.
func killInTurn(d *day) {
	for i := range 9 {
		var half []string
		for j, vm := range d.vms {
			if j%2 == i%2 {
				half = append(half, vm)
			}
		}
		d.inFlight.Go(func() { d.restart(half) })
		time.Sleep(1200 * time.Millisecond)
	}
}

// disturbInSeveralWays kills some of the VMs four times, while the failure domains are partitioned
// from each other and engines crash.
func disturbInSeveralWays(d *day) {
	d.inFlight.Go(func() { d.partitionDomains(6 * time.Second) })
	for range 4 {
		d.inFlight.Go(func() { d.restart(d.randomVMs(0.4)) })
		d.engineCrashes(0)
		time.Sleep(2 * time.Second)
	}
}

// restartApart restarts all VMs while none reaches another one, and waits until their budgets are
// full.
func restartApart(d *day) {
	d.isolateAll(true)
	d.restart(d.vms)
	time.Sleep(budgetFillTime)
}

// restartInTurnApart does that in groups, one after the other.
func restartInTurnApart(d *day) {
	d.isolateAll(true)
	for i := 0; i < len(d.vms); i += 3 {
		d.restart(d.vms[i:min(i+3, len(d.vms))])
		time.Sleep(4 * time.Second)
	}
	time.Sleep(budgetFillTime)
}

// restartHalfApart restarts half of the VMs while they reach no other one.
func restartHalfApart(d *day) {
	half := d.vms[len(d.vms)/2:]
	for _, vm := range half {
		d.setIsolated(vm, true)
	}
	d.restart(half)
	time.Sleep(budgetFillTime)
}

// isolateAll sets whether no VM reaches another one.
func (d *day) isolateAll(isolated bool) {
	for _, vm := range d.vms {
		d.setIsolated(vm, isolated)
	}
}

// Guards against retries that all VMs together may not make, while each of them keeps to a
// budget of its own.
func TestFleetKeepsRetryBudget(t *testing.T) {
	for name, c := range map[string]retryCase{
		"many VMs":                     {64, 30 * time.Millisecond, nil, nil},
		"much traffic":                 {8, 10 * time.Millisecond, nil, nil},
		"VMs killed in turn":           {9, 33 * time.Millisecond, nil, killInTurn},
		"many VMs killed in turn":      {24, 20 * time.Millisecond, nil, killInTurn},
		"all VMs killed":               {24, 20 * time.Millisecond, nil, func(d *day) { d.restart(d.vms) }},
		"partitioned domains":          {24, 20 * time.Millisecond, nil, func(d *day) { d.partitionDomains(20 * time.Second) }},
		"partitioned and killed":       {24, 20 * time.Millisecond, nil, func(d *day) { d.setDomainsPartitioned(true); killInTurn(d) }},
		"several faults at once":       {63, 14 * time.Millisecond, nil, disturbInSeveralWays},
		"VMs killed in turn, long ago": {24, 20 * time.Millisecond, nil, func(d *day) { killInTurn(d); time.Sleep(15 * time.Second); killInTurn(d) }},
		"restarted apart":              {24, 30 * time.Millisecond, restartApart, nil},
		"many VMs restarted apart":     {64, 30 * time.Millisecond, restartApart, nil},
		"restarted apart in turn":      {24, 30 * time.Millisecond, restartInTurnApart, nil},
		"half restarted apart":         {30, 30 * time.Millisecond, restartHalfApart, nil},
		"restarted apart and killed":   {24, 30 * time.Millisecond, restartApart, killInTurn},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkFleetRetries(t, c)
		})
	}
}

// checkFleetRetries checks that a fleet keeps to its retry budget, and that it uses some of it.
func checkFleetRetries(t *testing.T, c retryCase) {
	withRetryCluster(t, c.vms, func(b *engineCluster) {
		d := &day{engineCluster: b, random: rand.New(rand.NewSource(1))}
		d.allowRepeats()
		stop := make(chan struct{})
		d.inFlight.Go(func() { d.sendUntil(stop, c.pause) })
		time.Sleep(failingAfter)
		if c.prepare != nil {
			c.prepare(d)
		}
		d.setAllFailing(true)
		startedAt := time.Now()
		if c.disturb != nil {
			c.disturb(d)
		}
		time.Sleep(max(0, 25*time.Second-time.Since(startedAt)))
		close(stop)
		d.inFlight.Wait()
		violations := judge.CheckRetries(&d.history, retryBound(c.vms))
		testkit.That(t, len(violations) == 0, "%v", violations)
		retries := d.countRetries()
		t.Logf("%d retries of %d requests", retries, len(d.history.Outcomes))
		testkit.That(t, retries > 0, "no retry of %d requests", len(d.history.Outcomes))
	})
}

// withRetryCluster runs a test with an engineCluster whose VMs know the retry bound.
func withRetryCluster(t *testing.T, vms int, run func(*engineCluster)) {
	withConfiguredEngineCluster(t, vms, retryClusterEngines, func(w *testCluster) {
		w.domains, w.retryShare, w.retrySlack = spreadDomainCount, retryRatio, fleetRetrySlack(vms)
	}, run)
}

func retryBound(vms int) judge.RetryBound {
	return judge.RetryBound{Window: retryWindow, Ratio: retryRatio, Slack: fleetRetrySlack(vms)}
}

// allowRepeats publishes a configuration under which requests may be repeated.
func (d *day) allowRepeats() {
	d.changeRoute(func(r *contract.Route) { r.Repeat, r.Stream = contract.RepeatSafe, false })
}

// changeRoute publishes a configuration with a change of the route.
func (d *day) changeRoute(change func(*contract.Route)) {
	d.registry.mu.Lock()
	next := *d.registry.configuration
	d.registry.mu.Unlock()
	changed := *next.Contract
	changed.Routes = append([]contract.Route(nil), changed.Routes...)
	change(&changed.Routes[0])
	next.Version++
	next.Contract = &changed
	d.registry.setConfiguration(&next)
	time.Sleep(3 * time.Second)
}

// countRetries returns how many requests reached engines beyond the first arrival of each.
func (d *day) countRetries() int {
	requests := make(map[string]bool)
	for _, a := range d.history.Arrivals {
		requests[a.Request] = true
	}
	return len(d.history.Arrivals) - len(requests)
}

// setAllFailing sets whether all engines lose their answers.
func (d *day) setAllFailing(failing bool) {
	d.statsMu.Lock()
	defer d.statsMu.Unlock()
	for _, e := range d.engines {
		e.lostShare = 0
		if failing {
			e.lostShare = 1
		}
	}
}

// sendUntil sends requests, each to a VM at random, with a pause between two.
func (d *day) sendUntil(stop <-chan struct{}, pause time.Duration) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		vm, id := d.vms[d.engineCluster.random.Intn(len(d.vms))], fmt.Sprint("r", i)
		d.inFlight.Go(func() { d.sendAndRecord(vm, id) })
		time.Sleep(pause)
	}
}

// Guards against parts of the retry slack that add up to more than the fleet's, as VMs restart
// or lose sight of each other.
func TestRetrySlackIsDividedOnce(t *testing.T) {
	for _, vms := range []int{9, 30} {
		for _, knownDomains := range []int{0, spreadDomainCount} {
			withConfiguredEngineCluster(t, vms, 1, func(w *testCluster) {
				w.domains, w.retrySlack = knownDomains, fleetRetrySlack(vms)
			}, func(b *engineCluster) {
				check := func(when string) {
					sum := 0.0
					b.eachNode(func(_ string, n *Node) { sum += n.retrySlack() })
					testkit.That(t, sum <= fleetRetrySlack(vms), "%d VMs, %s: the parts of %.0f add up to %.0f", vms, when, fleetRetrySlack(vms), sum)
					testkit.That(t, sum >= fleetRetrySlack(vms)/2, "%d VMs, %s: the parts of %.0f add up to only %.0f", vms, when, fleetRetrySlack(vms), sum)
				}
				check("calm")
				b.setDomainsPartitioned(true)
				time.Sleep(time.Minute)
				check("partitioned for a minute")
				b.setDomainsPartitioned(false)
				time.Sleep(10 * time.Second)
				check("healed")
				b.restartAll()
				time.Sleep(8 * time.Second)
				check("all restarted")
				for _, vm := range b.vms {
					b.setIsolated(vm, true)
				}
				b.restartAll()
				time.Sleep(30 * time.Second)
				check("all restarted apart")
				for _, vm := range b.vms {
					b.setIsolated(vm, false)
				}
				time.Sleep(10 * time.Second)
				check("in touch again")
			})
		}
	}
}

// setCutOff sets whether VMs are cut off from the registry and all other VMs.
func (b *engineCluster) setCutOff(vms []string, cutOff bool) {
	b.registry.mu.Lock()
	defer b.registry.mu.Unlock()
	for _, vm := range vms {
		b.setIsolated(vm, cutOff)
		b.registry.partitionedReaders[vm] = cutOff
	}
}

// Guards against VMs that start while others are cut off from the registry and from them, and take over the
// parts of the retry slack that the others still use.
func TestRetrySlackOfCutOffVMsIsNotDividedAgain(t *testing.T) {
	for _, vms := range []int{9, 12, 24} {
		for _, cutOff := range []int{vms / 2, vms * 2 / 3} {
			t.Run(fmt.Sprint(vms, " VMs, ", cutOff, " cut off"), func(t *testing.T) {
				withConfiguredEngineCluster(t, vms, 1, func(w *testCluster) {
					w.domains, w.retrySlack = spreadDomainCount, fleetRetrySlack(vms)
				}, func(b *engineCluster) {
					b.setCutOff(b.vms[:cutOff], true)
					time.Sleep(time.Minute) // until their records have lapsed
					for i, vm := range b.vms[cutOff:] {
						b.kill(vm)
						time.Sleep(time.Second)
						b.bootSpread(cutOff + i)
					}
					time.Sleep(budgetFillTime)
					sum := 0.0
					b.eachNode(func(_ string, n *Node) { sum += n.retrySlack() })
					t.Logf("the parts of %.0f add up to %.1f", fleetRetrySlack(vms), sum)
					testkit.That(t, sum <= fleetRetrySlack(vms), "the parts of %.0f add up to %.0f", fleetRetrySlack(vms), sum)
					testkit.That(t, sum >= fleetRetrySlack(vms)/2, "the parts of %.0f add up to only %.0f", fleetRetrySlack(vms), sum)
				})
			})
		}
	}
}

// Guards against VMs that join a fleet all of whose VMs are cut off from the registry and from them: these never learn of
// the new ones, and their parts of the retry slack are those of a smaller fleet.
func TestRetrySlackOfVMsThatJoinBesideCutOffOnes(t *testing.T) {
	for _, vms := range [][2]int{{4, 12}, {8, 24}, {6, 9}, {8, 12}, {6, 36}} {
		for _, cutFor := range []time.Duration{2 * time.Second, time.Minute} {
			t.Run(fmt.Sprintf("%d to %d VMs, %s after the cut", vms[0], vms[1], cutFor), func(t *testing.T) {
				slack := fleetRetrySlack(vms[1])
				withConfiguredEngineCluster(t, vms[0], 1, func(w *testCluster) {
					w.domains, w.retrySlack = spreadDomainCount, slack
				}, func(b *engineCluster) {
					time.Sleep(budgetFillTime)
					b.setCutOff(b.vms, true)
					time.Sleep(cutFor)
					for i := vms[0]; i < vms[1]; i++ {
						b.bootSpread(i)
					}
					time.Sleep(budgetFillTime)
					sum := 0.0
					b.eachNode(func(_ string, n *Node) { sum += n.retrySlack() })
					t.Logf("the parts of %.0f add up to %.1f", slack, sum)
					testkit.That(t, sum <= slack, "the parts of %.0f add up to %.0f", slack, sum)
					testkit.That(t, sum >= slack/3, "the parts of %.0f add up to only %.0f", slack, sum)
				})
			})
		}
	}
}

// sendAtIntervals sends requests to one VM, with an interval between two.
func (d *day) sendAtIntervals(stop <-chan struct{}, vm string, interval time.Duration) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		d.inFlight.Go(func() { d.sendAndRecord(vm, fmt.Sprint(vm, "-", i)) })
	}
}

// Guards against more retries than the fleet may make, as VMs that start while others are cut off from the
// registry and from them spend the parts of the others a second time.
func TestFleetKeepsRetryBudgetBesideCutOffVMs(t *testing.T) {
	const (
		vms, cutOff = 24, 16
		// cutOffInterval and startedInterval are the times between two requests to a VM that is cut off, and to
		// one that starts: just short enough for each to spend its part.
		cutOffInterval, startedInterval = retryWindow / 4, retryWindow / 13
	)
	withRetryCluster(t, vms, func(b *engineCluster) {
		d := &day{engineCluster: b, random: rand.New(rand.NewSource(1))}
		d.allowRepeats()
		stop := make(chan struct{})
		for i, vm := range d.vms {
			interval := startedInterval
			if i < cutOff {
				interval = cutOffInterval
			}
			d.inFlight.Go(func() { d.sendAtIntervals(stop, vm, interval) })
			time.Sleep(17 * time.Millisecond)
		}
		time.Sleep(failingAfter)
		d.setCutOff(d.vms[:cutOff], true)
		time.Sleep(time.Minute) // until their records have lapsed
		d.restart(d.vms[cutOff:])
		time.Sleep(budgetFillTime)
		d.setAllFailing(true)
		time.Sleep(2 * retryWindow)
		close(stop)
		d.inFlight.Wait()
		violations := judge.CheckRetries(&d.history, retryBound(vms))
		testkit.That(t, len(violations) == 0, "%v", violations)
		t.Logf("%d retries of %d requests", d.countRetries(), len(d.history.Outcomes))
		testkit.That(t, d.countRetries() > 0, "no retry of %d requests", len(d.history.Outcomes))
	})
}
