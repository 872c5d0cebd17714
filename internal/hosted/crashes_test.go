package hosted

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

const (
	// crashLimit is after how many ends a request must be kept away from engines,
	// crashSpread how long VMs have to know of it, and crashExtra how often it may reach
	// one later, by the hosting platform's rules.
	crashLimit  = 3
	crashSpread = 3 * time.Second
	crashExtra  = 3
)

// sendAt sends the crashing request at a VM once a time has come.
func (b *engineBed) sendAt(after time.Duration, vm string) {
	b.inFlight.Go(func() {
		time.Sleep(after)
		err := b.send(vm, crashingURI)
		testkit.That(b, err != nil, "the crashing request was answered")
	})
}

// checkCrashes holds that the crashing request was kept away from engines after its first
// ends, and that no other request was refused.
func (b *engineBed) checkCrashes() {
	b.Helper()
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	b.Logf("%d engines ended, reached %d times; others: %d answered, %d broken, %d refused", len(b.endedAt), len(b.crashSentAt), b.answered, b.failed, b.refused)
	testkit.Need(b, len(b.endedAt) >= crashLimit, "only %d engines ended", len(b.endedAt))
	from, late := b.endedAt[crashLimit-1].Add(crashSpread), 0
	for _, at := range b.crashSentAt {
		if at.After(from) {
			late++
		}
	}
	testkit.That(b, late <= crashExtra, "it reached engines %d times later than %s after its third crash, %d are allowed", late, crashSpread, crashExtra)
	testkit.That(b, b.refused == 0, "%d other requests were refused", b.refused)
	testkit.That(b, b.answered > 10*b.failed, "%d other requests were answered, %d broken", b.answered, b.failed)
}

// Guards against a request that ends engine after engine, as its caller sends it again at
// one VM after the other: offsets and VMs are those of a failure that was seen.
func TestCrashingRequestIsKeptFromEngines(t *testing.T) {
	for _, vms := range []int{8, 30} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			withEngineBed(t, vms, 18, func(b *engineBed) {
				for _, sending := range []struct {
					after time.Duration
					vm    int
				}{
					{0, 1}, {549, 4}, {6361, 6}, {6361, 6}, {6367, 3}, {7774, 4}, {8434, 0}, {7914, 5}, {10385, 3},
					{10831, 1}, {11600, 7}, {12457, 5}, {13248, 3}, {14000, 2}, {15500, 6}, {30000, 0}, {31000, 1},
				} {
					b.sendAt(time.Second+sending.after*time.Millisecond, b.vms[sending.vm])
				}
				b.sendOtherRequests(35*time.Second, 25*time.Millisecond)
				b.inFlight.Wait()
				b.checkCrashes()
			})
		})
	}
}

// Guards against a VM that starts later and sends on what all others refuse.
func TestRestartedVMLearnsOfCrashes(t *testing.T) {
	withEngineBed(t, 8, 18, func(b *engineBed) {
		for i := range 3 {
			b.sendAt(time.Duration(i)*time.Second, b.vms[i])
		}
		b.inFlight.Wait()
		time.Sleep(time.Second)
		b.kill(b.vms[5])
		b.bootSpread(5)
		b.sendAt(2*time.Second, b.vms[5])
		b.inFlight.Wait()
		testkit.Equal(t, "sendings to engines", len(b.crashSentAt), 3)
	})
}

// Guards against refusing a request that is popular, and so is running whenever an engine
// ends for another reason.
func TestPopularRequestOutlivesItsEngines(t *testing.T) {
	withEngineBed(t, 8, 18, func(b *engineBed) {
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

// Guards against a fleet that has forgotten, after all its VMs were killed, what crashed
// its engines before.
func TestQuarantineOutlivesAllVMs(t *testing.T) {
	withEngineBed(t, 8, 18, func(b *engineBed) {
		for i := range 3 {
			b.sendAt(time.Duration(i)*time.Second, b.vms[i])
		}
		b.inFlight.Wait()
		time.Sleep(5 * time.Second)
		b.restartAll()
		for i := range 6 {
			b.sendAt(4*time.Second+time.Duration(i)*700*time.Millisecond, b.vms[i])
		}
		b.inFlight.Wait()
		testkit.Equal(t, "sendings to engines", len(b.crashSentAt), 3)
	})
}
