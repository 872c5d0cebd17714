package hosted

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"bergamotreel/internal/judge"
)

const (
	// restartDayDivisor is how many times fewer days with restarted engines are played than others.
	restartDayDivisor = 4
	// crashingRequestInterval is the time between two requests that crash engines.
	crashingRequestInterval = 500 * time.Millisecond
)

// requestCrashBound is what the hosting platform's rules allow a request that crashes engines.
var requestCrashBound = judge.CrashBound{Crashes: minCrashes, MaxLate: maxLateCrashes, Settle: maxCrashPropagation}

// Guards against a request that goes on crashing engines which a supervisor restarts under their IDs, or
// crashes them after its answer or its caller's leaving, while faults of several kinds overlap.
func TestRandomDaysOfRestartedEngines(t *testing.T) {
	for seed := *daysFrom; seed < *daysFrom+int64(*daySeeds/restartDayDivisor); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playRestartDay(t, seed) })
	}
}

// playRestartDay plays and checks the random day of a seed on which a supervisor restarts engines.
func playRestartDay(t *testing.T, seed int64) {
	t.Parallel()
	random := rand.New(rand.NewSource(seed))
	vms, engines := 2+random.Intn(9), 3+random.Intn(12)
	if random.Intn(6) == 0 {
		vms = maxFullMeshPeers + 2 + random.Intn(12)
	}
	withEngineCluster(t, vms, engines, func(b *engineCluster) {
		d := &day{engineCluster: b, random: random, kinds: slices.Concat(faultKinds, restartFaultKinds, restartFaultKinds, restartFaultKinds)}
		b.testCluster.engines.statusLag = time.Duration(random.Intn(3)) * 150 * time.Millisecond
		d.supervise(restartDelays[random.Intn(len(restartDelays))])
		d.crashingRequests = &judge.CrashingPart{}
		uri, leaveAfter := []string{crashingURI, lateCrashingURI}[random.Intn(2)], time.Duration(random.Intn(2))*30*time.Millisecond
		d.crashingRequestURI = uri
		from := time.Duration(random.Int63n(int64(10 * time.Second)))
		d.faultLog = append(d.faultLog, fmt.Sprintf("%s comes from %s on, callers leave after %s, engines are back after %s", uri, from, leaveAfter, b.supervisorDelay))
		d.inFlight.Go(func() {
			for startedAt := time.Now(); time.Since(startedAt) < faultsEnd; time.Sleep(crashingRequestInterval) {
				switch vm := b.randomVM(); {
				case time.Since(startedAt) < from:
				case leaveAfter > 0:
					b.sendUntilLeft(uri, leaveAfter)
				default:
					d.inFlight.Go(func() { _ = d.send(vm, uri) })
				}
			}
		})
		d.runAndCheck(engines)
		h := judge.History{CrashingParts: []judge.CrashingPart{*d.crashingRequests}, Disruptions: d.history.Disruptions}
		for _, v := range judge.CheckCrashingParts(&h, requestCrashBound) {
			d.Errorf("%s; %s", v, d.faultLog)
		}
	})
}
