package hosted

import (
	"testing"
	"time"
)

// Guards against a whole domain's part of a quota at each VM that starts while it reaches no other
// one.
func TestQuotaOfVMsStartedApart(t *testing.T) {
	for name, kills := range map[string]int{"started once": 1, "killed in turn": 12} {
		t.Run(name, func(t *testing.T) {
			withQuotaCluster(t, 15, map[string]float64{"hot": 20_000}, func(b *quotaCluster) {
				b.isolateAll(true)
				b.inFlight.Go(func() {
					for range kills {
						b.restartAll()
						time.Sleep(1200 * time.Millisecond)
					}
				})
				b.sendRequests(30*time.Second, map[string]float64{"hot": 80_000}, b.randomVM)
				b.inFlight.Wait()
				b.checkWindows("hot", 20_000)
			})
		})
	}
}

// restartAll kills all VMs and starts them again.
func (b *quotaCluster) restartAll() {
	for _, vm := range b.vms {
		b.kill(vm)
	}
	time.Sleep(300 * time.Millisecond)
	for i := range b.vms {
		b.bootSpread(i)
	}
}

// Guards against refusals of requests within their quota while all VMs have just started and haven't
// met yet.
func TestRequestsWithinQuotaAreServedAfterAllVMsRestart(t *testing.T) {
	// meetingTime is how long after their start VMs reach no other one, as after a loss of power.
	const meetingTime = 700 * time.Millisecond
	withQuotaCluster(t, 60, map[string]float64{"steady": 200_000}, func(b *quotaCluster) {
		b.inFlight.Go(func() {
			time.Sleep(time.Second)
			b.isolateAll(true)
			b.restartAll()
			time.Sleep(meetingTime)
			b.isolateAll(false)
		})
		b.sendRequests(5*time.Second, map[string]float64{"steady": 100_000}, b.randomVM)
		b.inFlight.Wait()
		b.checkWindows("steady", 200_000)
		b.checkRefused("steady", 0.01)
	})
}

// isolateAll sets whether no VM reaches another one.
func (b *quotaCluster) isolateAll(isolated bool) {
	for _, vm := range b.vms {
		b.setIsolated(vm, isolated)
	}
}
