package hosted

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

const (
	// restGrace is how long after it was asked for a rest is still to begin, restExtra how
	// many requests an engine may get within it, by the hosting platform's rules.
	restGrace = 500 * time.Millisecond
	restExtra = 2
)

// askRest has an engine turn requests away and ask for rest, or serve again.
func (b *engineBed) askRest(id string, rest time.Duration, of func(vm string) bool) {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	e := b.engines["at-"+id]
	e.retryAfter, e.rejectsVM = rest, of
}

// checkRest holds that no VM sent an engine more than is allowed while that wanted rest
// from it; it returns how many requests the engine turned away.
func (b *engineBed) checkRest(id string) (turnedAway int) {
	b.Helper()
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	most := 0
	for i, asked := range b.arrivals {
		if asked.engine != id || asked.retryAfter == 0 {
			continue
		}
		turnedAway++
		within := 0
		for _, a := range b.arrivals[i+1:] {
			after := a.at.Sub(asked.at)
			if a.engine == id && a.vm == asked.vm && after > restGrace && after < asked.retryAfter {
				within++
			}
		}
		most = max(most, within)
	}
	testkit.That(b, most <= restExtra, "%d requests reached %s from one VM within the rest that it wanted, %d are allowed", most, id, restExtra)
	return turnedAway
}

// Guards against requests that go round and round to a backend server which turns them away
// and has asked for rest.
func TestRestThatABackendServerAsksFor(t *testing.T) {
	for name, c := range map[string]struct {
		vms, engines int
		rest         time.Duration
		tired        []string
		of           func(vm string) bool
	}{
		"one of six":          {8, 6, 3 * time.Second, []string{"e1"}, nil},
		"the only one":        {8, 1, 3 * time.Second, []string{"e1"}, nil},
		"all of three":        {8, 3, 2 * time.Second, []string{"e1", "e2", "e3"}, nil},
		"of some VMs only":    {8, 2, 3 * time.Second, []string{"e1"}, func(vm string) bool { return vm == "a" || vm == "b" }},
		"for less than it is": {8, 2, 400 * time.Millisecond, []string{"e1"}, nil},
		"in a large fleet":    {30, 2, 3 * time.Second, []string{"e1"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			withEngineBed(t, c.vms, c.engines, func(b *engineBed) {
				const pause = 15 * time.Millisecond
				b.sendOtherRequests(2*time.Second, pause)
				for _, id := range c.tired {
					b.askRest(id, c.rest, c.of)
				}
				b.sendOtherRequests(10*time.Second, pause)
				turnedAway := 0
				for _, id := range c.tired {
					turnedAway += b.checkRest(id)
					b.askRest(id, 0, nil)
				}
				testkit.That(b, turnedAway > 0, "nothing was turned away")
				b.sendOtherRequests(c.rest+time.Second, pause)
				from := time.Now()
				b.sendOtherRequests(3*time.Second, pause)
				b.inFlight.Wait()
				for i := range c.engines {
					id := fmt.Sprint("e", i+1)
					even := 3 * time.Second.Seconds() / pause.Seconds() / float64(c.engines)
					got := float64(len(b.arrivalsAt(id, from, time.Now())))
					testkit.That(b, got > even/2, "%s got %.0f requests once it served again, %.0f would be even", id, got, even)
				}
				b.Logf("%d turned away; %d answered, %d refused, %d broken", turnedAway, b.answered, b.refused, b.failed)
			})
		})
	}
}
