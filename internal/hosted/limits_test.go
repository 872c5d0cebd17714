package hosted

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"bergamotreel/admission/permit"
	"bergamotreel/internal/testkit"
	"bergamotreel/service"
)

const (
	// maxLimitPropagation is the time until all VMs together must respect a new limit. In any
	// span of limitWindow an engine may get maxLimitFactor times what the limit allows plus
	// maxLimitExcess requests, by the hosting platform's rules.
	maxLimitPropagation = 3 * time.Second
	limitWindow         = 4 * time.Second
	maxLimitFactor      = 1.5
	maxLimitExcess      = 5
)

// setLimit makes a share of an engine's responses report a limit.
func (b *engineCluster) setLimit(id string, limit service.Limit, share float64) {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	e := b.engines["at-"+id]
	e.limit, e.limitShare = limit, share
}

// arrivalsAt returns the times at which requests reached an engine between from and to.
func (b *engineCluster) arrivalsAt(id string, from, to time.Time) []time.Time {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	var out []time.Time
	for _, a := range b.arrivals {
		if a.engine == id && !a.at.Before(from) && a.at.Before(to) {
			out = append(out, a.at)
		}
	}
	return out
}

// checkLimit checks that an engine got no more requests than its limit allows in any window,
// and at least minShare of what the limit allows overall.
func (b *engineCluster) checkLimit(id string, perSecond float64, from, to time.Time, minShare float64) {
	b.Helper()
	times := b.arrivalsAt(id, from, to)
	allowed := int(maxLimitFactor*perSecond*limitWindow.Seconds() + maxLimitExcess)
	first, most := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	rate := float64(len(times)) / to.Sub(from).Seconds()
	b.Logf("%s: limit %.1f a second, got %.2f; at most %d in %s, %d allowed", id, perSecond, rate, most, limitWindow, allowed)
	testkit.That(b, most <= allowed, "%s got %d requests in %s, %d are allowed", id, most, limitWindow, allowed)
	testkit.That(b, rate >= minShare*perSecond, "%s got %.2f requests a second of %.1f", id, rate, perSecond)
}

// Guards against VMs that together send a backend server several times the rate limit that it
// has reported, and against a limited server that gets no requests at all.
func TestFleetRespectsBackendLimit(t *testing.T) {
	for name, c := range map[string]struct {
		vms, engines int
		pause        time.Duration
		limits       map[string]float64
		minShare     float64
	}{
		"one of six":                     {8, 6, 15 * time.Millisecond, map[string]float64{"e1": 1}, 0},
		"two of six":                     {8, 6, 15 * time.Millisecond, map[string]float64{"e1": 4.1, "e4": 5.3}, 0.3},
		"single engine":                  {8, 1, 60 * time.Millisecond, map[string]float64{"e1": 4.1}, 0.6},
		"all of three":                   {8, 3, 30 * time.Millisecond, map[string]float64{"e1": 4.1, "e2": 1, "e3": 7.4}, 0.6},
		"large fleet":                    {30, 6, 15 * time.Millisecond, map[string]float64{"e1": 1, "e2": 7.4}, 0},
		"single engine in a large fleet": {30, 1, 60 * time.Millisecond, map[string]float64{"e1": 4.1}, 0.6},
		"limit of zero":                  {8, 2, 30 * time.Millisecond, map[string]float64{"e1": 0}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			withEngineCluster(t, c.vms, c.engines, func(b *engineCluster) {
				b.sendOtherRequests(2*time.Second, c.pause)
				for id, perSecond := range c.limits {
					b.setLimit(id, service.Limit{Limited: true, PerSecond: perSecond}, 1)
				}
				from := time.Now().Add(maxLimitPropagation)
				b.sendOtherRequests(25*time.Second, c.pause)
				to := time.Now()
				for id, perSecond := range c.limits {
					b.checkLimit(id, perSecond, from, to, c.minShare)
					b.setLimit(id, service.Limit{}, 0)
				}
				lowest := slices.Min(slices.Collect(maps.Values(c.limits)))
				b.sendOtherRequests(maxLimitLiftTime(lowest), c.pause)
				from = time.Now()
				b.sendOtherRequests(3*time.Second, c.pause)
				b.inFlight.Wait()
				for i := range c.engines {
					id := fmt.Sprint("e", i+1)
					even := 3 * time.Second.Seconds() / c.pause.Seconds() / float64(c.engines)
					got := float64(len(b.arrivalsAt(id, from, time.Now())))
					testkit.That(t, got > even/2, "%s got %.0f requests after its limit was lifted, %.0f would be even", id, got, even)
				}
				b.Logf("%d answered, %d refused, %d broken", b.answered, b.refused, b.failed)
			})
		})
	}
}

// Guards against the whole limit of a backend server at each VM that starts while it reaches no other
// one, and against a limit that isn't used any more once VMs are gone.
func TestVMsStartedApartShareABackendLimit(t *testing.T) {
	const limit, pause = 4.1, 60 * time.Millisecond
	for _, vms := range []int{8, 30} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			withEngineCluster(t, vms, 1, func(b *engineCluster) {
				isolate := func(isolated bool) {
					for _, vm := range b.vms {
						b.setIsolated(vm, isolated)
					}
				}
				isolate(true)
				b.restartAll()
				b.sendOtherRequests(8*time.Second, pause)
				b.setLimit("e1", service.Limit{Limited: true, PerSecond: limit}, 1)
				from := time.Now().Add(maxLimitPropagation)
				b.sendOtherRequests(25*time.Second, pause)
				b.checkLimit("e1", limit, from, time.Now(), 0.3)
				isolate(false)
				for _, vm := range b.vms[vms/2:] {
					b.kill(vm)
				}
				b.vms = b.vms[:vms/2]
				b.sendOtherRequests(time.Minute, pause)
				from = time.Now()
				b.sendOtherRequests(15*time.Second, pause)
				b.checkLimit("e1", limit, from, time.Now(), 0.6)
				b.inFlight.Wait()
			})
		})
	}
}

// maxLimitLiftTime returns how long a limit may still have an effect after it ended. VMs notice
// the end after ten responses at the limited rate; with a limit of zero, one request is sent
// every four seconds.
func maxLimitLiftTime(perSecond float64) time.Duration {
	return 4*time.Second + time.Duration(10/max(perSecond, 0.25)*float64(time.Second))
}

// Guards against a single response without the limit that lifts it on all VMs.
func TestLimitInSomeResponses(t *testing.T) {
	for _, share := range []float64{0.3, 0.5, 0.8} {
		t.Run(fmt.Sprint(share, " of them"), func(t *testing.T) {
			withEngineCluster(t, 8, 6, func(b *engineCluster) {
				named := map[string]float64{"e1": 4.1, "e4": 5.9}
				for id, perSecond := range named {
					b.setLimit(id, service.Limit{Limited: true, PerSecond: perSecond}, share)
				}
				b.sendOtherRequests(maxLimitPropagation, 12*time.Millisecond)
				from := time.Now()
				b.sendOtherRequests(40*time.Second, 12*time.Millisecond)
				for id, perSecond := range named {
					b.checkLimit(id, perSecond, from, time.Now(), 0.3)
				}
				b.inFlight.Wait()
			})
		})
	}
}

// Guards against two issuers that both grant the whole limit after one issuer was killed, and
// against a backend server for which no VM gets permits any more.
func TestPermitIssuersKilledInTurn(t *testing.T) {
	for _, vms := range []int{9, 30} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			withEngineCluster(t, vms, 1, func(b *engineCluster) {
				const perSecond, pause = 4.1, 60 * time.Millisecond
				b.setLimit("e1", service.Limit{Limited: true, PerSecond: perSecond}, 1)
				b.sendOtherRequests(maxLimitPropagation, pause)
				from := time.Now()
				for range 3 {
					b.kill(b.issuerOf("e1"))
					killed := time.Now()
					b.sendOtherRequests(8*time.Second, pause)
					late := b.arrivalsAt("e1", killed.Add(3*time.Second), time.Now())
					testkit.That(t, len(late) >= 10, "%d requests from the third to the eighth second after its issuer was killed", len(late))
				}
				b.checkLimit("e1", perSecond, from, time.Now(), 0.5)
				b.inFlight.Wait()
			})
		})
	}
}

// issuerOf returns the VM that most live VMs consider the issuer of a backend server's permits.
func (b *engineCluster) issuerOf(id string) string {
	votes := make(map[string]int)
	b.eachNode(func(_ string, n *Node) { votes[n.issuers.selectIssuer(time.Now(), id)]++ })
	winner := ""
	for _, vm := range slices.Sorted(maps.Keys(votes)) {
		if votes[vm] > votes[winner] {
			winner = vm
		}
	}
	return winner
}

// Guards against a forwarded limit that overrides its own lift. A message doesn't age while it
// is in transit between VMs, so a limit that was forwarded back looks newer than it is.
func TestForwardedLimitDoesNotUndoLift(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1")
		w.registry.assignAllShards("a")
		w.listEngine(w.engines.add("e1", "m1"))
		vms := []string{"a", "b", "c"}
		for _, vm := range vms {
			w.boot(vm, true)
		}
		time.Sleep(3 * time.Second)
		w.mu.Lock()
		w.reportDelay = 600 * time.Millisecond
		w.mu.Unlock()
		a := w.nodes["a"]
		limited := func(n *Node) bool {
			n.limits.mu.Lock()
			defer n.limits.mu.Unlock()
			b := n.limits.byBackend["e1"]
			return b != nil && b.Limited
		}
		a.RecordLimit("e1", service.Limit{Limited: true, PerSecond: 4})
		time.Sleep(800 * time.Millisecond)
		testkit.That(t, limited(w.nodes["b"]), "b has not received the limit")
		a.limits.mu.Lock()
		a.limits.observe("e1", a.limits.newLocalLimit(permit.Limit{}), "a")
		a.limits.mu.Unlock()
		for range 40 {
			time.Sleep(250 * time.Millisecond)
			testkit.That(t, !limited(a), "a is limited again")
		}
		for _, vm := range vms {
			testkit.That(t, !limited(w.nodes[vm]), "%s is still limited", vm)
		}
	})
}
