package hosted

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

const (
	// minCrashes is the number of crashes after which a request must not reach engines any
	// more, maxCrashPropagation the time for this to reach all VMs, and maxLateCrashes how
	// often the request may still reach an engine after that, by the hosting platform's
	// rules.
	minCrashes          = 3
	maxCrashPropagation = 3 * time.Second
	maxLateCrashes      = 3
)

// sendCrashingAfter sends the crashing request to a VM after a delay.
func (b *engineCluster) sendCrashingAfter(after time.Duration, vm string) {
	b.inFlight.Go(func() {
		time.Sleep(after)
		err := b.send(vm, crashingURI)
		testkit.That(b, err != nil, "the crashing request was answered")
	})
}

// checkCrashes is checkCrashesEnd, and checks that few other requests broke.
func (b *engineCluster) checkCrashes() {
	b.Helper()
	b.checkCrashesEnd()
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	testkit.That(b, b.answered > 10*b.failed, "%d other requests were answered, %d broken", b.answered, b.failed)
}

// checkCrashesEnd checks that the crashing request no longer reached engines after its first
// crashes, and that no other request was refused.
func (b *engineCluster) checkCrashesEnd() {
	b.Helper()
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	b.Logf("%d engines ended, reached %d times; others: %d answered, %d broken, %d refused", len(b.endedAt), len(b.crashSentAt), b.answered, b.failed, b.refused)
	testkit.Need(b, len(b.endedAt) >= minCrashes, "only %d engines ended", len(b.endedAt))
	from, late := b.endedAt[minCrashes-1].Add(maxCrashPropagation), 0
	for _, at := range b.crashSentAt {
		if at.After(from) {
			late++
		}
	}
	testkit.That(b, late <= maxLateCrashes, "it reached engines %d times later than %s after its third crash, %d are allowed", late, maxCrashPropagation, maxLateCrashes)
	testkit.That(b, b.refused == 0, "%d other requests were refused", b.refused)
}

// Guards against a request that crashes engine after engine because its caller repeats it at
// one VM after another. The offsets and VMs are taken from an observed failure.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, vms := range []int{8, 30} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			withEngineCluster(t, vms, 18, func(b *engineCluster) {
				for _, sending := range []struct {
					after time.Duration
					vm    int
				}{
					{0, 1}, {549, 4}, {6361, 6}, {6361, 6}, {6367, 3}, {7774, 4}, {8434, 0}, {7914, 5}, {10385, 3},
					{10831, 1}, {11600, 7}, {12457, 5}, {13248, 3}, {14000, 2}, {15500, 6}, {30000, 0}, {31000, 1},
				} {
					b.sendCrashingAfter(time.Second+sending.after*time.Millisecond, b.vms[sending.vm])
				}
				b.sendOtherRequests(35*time.Second, 25*time.Millisecond)
				b.inFlight.Wait()
				b.checkCrashes()
			})
		})
	}
}

// Guards against a restarted VM that forwards a request which all other VMs refuse.
func TestRestartedVMLearnsOfCrashes(t *testing.T) {
	withEngineCluster(t, 8, 18, func(b *engineCluster) {
		for i := range 3 {
			b.sendCrashingAfter(time.Duration(i)*time.Second, b.vms[i])
		}
		b.inFlight.Wait()
		time.Sleep(time.Second)
		b.kill(b.vms[5])
		b.bootSpread(5)
		b.sendCrashingAfter(2*time.Second, b.vms[5])
		b.inFlight.Wait()
		testkit.Equal(t, "sendings to engines", len(b.crashSentAt), 3)
	})
}

// Guards against quarantining a popular request, which is running whenever an engine crashes
// for another reason.
func TestPopularRequestIsNotQuarantined(t *testing.T) {
	withEngineCluster(t, 8, 18, func(b *engineCluster) {
		failed := 0
		for i := range 400 {
			b.inFlight.Go(func() {
				if err := b.send(b.vms[i%8], "/popular"); err != nil {
					b.statsMu.Lock()
					failed++
					b.statsMu.Unlock()
				}
			})
			if i%40 == 20 {
				b.statsMu.Lock()
				e := b.engines[fmt.Sprint("at-e", 1+i/40)]
				b.statsMu.Unlock()
				b.endEngine(e)
			}
			time.Sleep(20 * time.Millisecond)
		}
		b.inFlight.Wait()
		testkit.That(t, failed < 20, "%d of 400 requests failed", failed)
	})
}

// Guards against quarantined requests that reach engines again after all VMs were killed and
// restarted.
func TestQuarantineSurvivesFleetRestart(t *testing.T) {
	withEngineCluster(t, 8, 18, func(b *engineCluster) {
		for i := range 3 {
			b.sendCrashingAfter(time.Duration(i)*time.Second, b.vms[i])
		}
		b.inFlight.Wait()
		time.Sleep(5 * time.Second)
		b.restartAll()
		for i := range 6 {
			b.sendCrashingAfter(4*time.Second+time.Duration(i)*700*time.Millisecond, b.vms[i])
		}
		b.inFlight.Wait()
		testkit.Equal(t, "sendings to engines", len(b.crashSentAt), 3)
	})
}
