package hosted

import (
	"testing"
	"time"
)

// Guards against a request that crashes engine after engine a moment after each has answered it.
func TestRequestThatCrashesEnginesAfterItsAnswerIsQuarantined(t *testing.T) {
	for name, c := range map[string]struct {
		vms, engines int
		supervised   bool
		// otherInterval is the time between two other requests, zero for none.
		otherInterval time.Duration
	}{
		"beside others":    {8, 18, false, 25 * time.Millisecond},
		"few others":       {8, 18, false, 300 * time.Millisecond},
		"large fleet":      {30, 18, false, 25 * time.Millisecond},
		"restarted":        {8, 18, true, 25 * time.Millisecond},
		"restarted, alone": {8, 18, true, 0},
		"few engines":      {8, 3, true, 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withEngineCluster(t, c.vms, c.engines, func(b *engineCluster) {
				if c.supervised {
					b.supervise(0)
					time.Sleep(2 * time.Second)
				}
				if c.otherInterval > 0 {
					b.inFlight.Go(func() { b.sendOtherRequests(20*time.Second, c.otherInterval) })
				}
				for range 40 {
					b.inFlight.Go(func() { _ = b.send(b.randomVM(), lateCrashingURI) })
					time.Sleep(500 * time.Millisecond)
				}
				b.inFlight.Wait()
				b.checkCrashesEnd()
			})
		})
	}
}

// randomVM returns a VM at random.
func (b *engineCluster) randomVM() string {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	return b.vms[b.random.Intn(len(b.vms))]
}
