package hosted

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

const (
	// cooldownGrace is how long after an engine asked for a cooldown VMs may still send it
	// requests, maxCooldownRequests how many requests it may get during the cooldown, by the
	// hosting platform's rules.
	cooldownGrace       = 500 * time.Millisecond
	maxCooldownRequests = 2
)

// setCooldown makes an engine reject requests (from VMs for which rejects returns true, or
// all if nil) and ask for a cooldown, or serve again if cooldown is 0.
func (b *engineCluster) setCooldown(id string, cooldown time.Duration, rejects func(vm string) bool) {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	e := b.engines["at-"+id]
	e.retryAfter, e.rejectsVM = cooldown, rejects
}

// checkCooldown checks that no VM sent an engine more requests than allowed during a cooldown
// that the engine had asked that VM for. It returns how many requests the engine rejected.
func (b *engineCluster) checkCooldown(id string) (rejected int) {
	b.Helper()
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	most := 0
	for i, rejection := range b.arrivals {
		if rejection.engine != id || rejection.retryAfter == 0 {
			continue
		}
		rejected++
		within := 0
		for _, a := range b.arrivals[i+1:] {
			elapsed := a.at.Sub(rejection.at)
			if a.engine == id && a.vm == rejection.vm && elapsed > cooldownGrace && elapsed < rejection.retryAfter {
				within++
			}
		}
		most = max(most, within)
	}
	testkit.That(b, most <= maxCooldownRequests, "%d requests reached %s from one VM during the cooldown that it asked for, %d are allowed", most, id, maxCooldownRequests)
	return rejected
}

// Guards against requests that are sent repeatedly to a backend server that rejects them and
// has asked for a cooldown.
func TestBackendCooldown(t *testing.T) {
	for name, c := range map[string]struct {
		vms, engines int
		cooldown     time.Duration
		rejecting    []string
		of           func(vm string) bool
	}{
		"one of six":             {8, 6, 3 * time.Second, []string{"e1"}, nil},
		"single engine":          {8, 1, 3 * time.Second, []string{"e1"}, nil},
		"all of three":           {8, 3, 2 * time.Second, []string{"e1", "e2", "e3"}, nil},
		"for some VMs only":      {8, 2, 3 * time.Second, []string{"e1"}, func(vm string) bool { return vm == "a" || vm == "b" }},
		"shorter than the grace": {8, 2, 400 * time.Millisecond, []string{"e1"}, nil},
		"large fleet":            {30, 2, 3 * time.Second, []string{"e1"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			withEngineCluster(t, c.vms, c.engines, func(b *engineCluster) {
				const pause = 15 * time.Millisecond
				b.sendOtherRequests(2*time.Second, pause)
				for _, id := range c.rejecting {
					b.setCooldown(id, c.cooldown, c.of)
				}
				b.sendOtherRequests(10*time.Second, pause)
				rejected := 0
				for _, id := range c.rejecting {
					rejected += b.checkCooldown(id)
					b.setCooldown(id, 0, nil)
				}
				testkit.That(b, rejected > 0, "no request was rejected")
				b.sendOtherRequests(c.cooldown+time.Second, pause)
				from := time.Now()
				b.sendOtherRequests(3*time.Second, pause)
				b.inFlight.Wait()
				for i := range c.engines {
					id := fmt.Sprint("e", i+1)
					even := 3 * time.Second.Seconds() / pause.Seconds() / float64(c.engines)
					got := float64(len(b.arrivalsAt(id, from, time.Now())))
					testkit.That(b, got > even/2, "%s got %.0f requests once it served again, %.0f would be even", id, got, even)
				}
				b.Logf("%d rejected; %d answered, %d refused, %d broken", rejected, b.answered, b.refused, b.failed)
			})
		})
	}
}
