package hosted

import (
	"context"
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// sendUntilLeft sends a request to a VM at random. Its caller leaves after the given time.
func (b *engineCluster) sendUntilLeft(uri string, leaveAfter time.Duration) {
	b.statsMu.Lock()
	vm := b.vms[b.random.Intn(len(b.vms))]
	b.statsMu.Unlock()
	b.inFlight.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaveAfter)
		defer cancel()
		_ = b.sendWithContext(ctx, vm, "left", uri)
	})
}

// Guards against a request that crashes engine after engine, shortly after its caller has left:
// whoever closes early would end engines without limit. The engines run other requests, few or none.
func TestRequestThatCrashesEnginesAfterItsCallerLeftIsQuarantined(t *testing.T) {
	for name, c := range map[string]struct {
		vms int
		// otherInterval is the time between two other requests, zero for none.
		otherInterval time.Duration
		leaveAfter    time.Duration
	}{
		"beside others":              {8, 25 * time.Millisecond, 30 * time.Millisecond},
		"large fleet":                {30, 25 * time.Millisecond, 30 * time.Millisecond},
		"few others":                 {8, time.Second, 30 * time.Millisecond},
		"alone":                      {8, 0, 30 * time.Millisecond},
		"at the moment of the crash": {8, 25 * time.Millisecond, crashAfter},
	} {
		t.Run(name, func(t *testing.T) {
			withEngineCluster(t, c.vms, 18, func(b *engineCluster) {
				if c.otherInterval > 0 {
					b.inFlight.Go(func() { b.sendOtherRequests(20*time.Second, c.otherInterval) })
				}
				for range 80 {
					b.sendUntilLeft(crashingURI, c.leaveAfter)
					time.Sleep(250 * time.Millisecond)
				}
				b.inFlight.Wait()
				b.checkCrashesEnd()
			})
		})
	}
}

// Guards against the refusal of a sound request most of whose callers leave, and which has therefore
// run on engines that crashed for another reason.
func TestRequestOfCallersThatLeaveIsNotQuarantined(t *testing.T) {
	withEngineCluster(t, 8, 18, func(b *engineCluster) {
		failed := 0
		for i := range 400 {
			if i%5 > 0 {
				b.sendUntilLeft("/popular", 100*time.Millisecond)
			} else {
				b.inFlight.Go(func() {
					if err := b.send(b.vms[i%8], "/popular"); err != nil {
						b.statsMu.Lock()
						failed++
						b.statsMu.Unlock()
					}
				})
			}
			if i%40 == 20 {
				b.statsMu.Lock()
				e := b.engines[fmt.Sprint("at-e", 1+i/40)]
				b.statsMu.Unlock()
				b.endEngine(e)
			}
			time.Sleep(20 * time.Millisecond)
		}
		b.inFlight.Wait()
		testkit.That(t, failed < 10, "%d of 80 requests failed", failed)
	})
}
