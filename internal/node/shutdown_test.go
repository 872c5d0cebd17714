package node_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"bergamotreel/engine"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/internal/standin/faults"
)

// pairContract returns a contract with a model that always has two replicas.
func pairContract() string {
	return baseContract(1) + "[model \"pair\"]\ncheckpoint = pair:v1\nmemory = 10GB\nmin_replicas = 2\nmax_replicas = 2\nmax_wait = 20s\n"
}

// An engine starts draining and reports it, while the VM list does not show it yet. The
// log and the VM list are down. Requests that run on the engine must complete; after a
// few seconds it gets no new requests, and the other replica serves the callers. If the
// engine's status reports are lost or the engine dies, its last status counts for
// maxDrainDelay only.
func TestDrainingEngineGetsNoNewRequests(t *testing.T) {
	for _, failure := range []struct {
		cause    func(s *system, draining string)
		maxDelay time.Duration
		faulty   variant
	}{
		{func(*system, string) {}, 4 * time.Second, listOnly},
		{(*system).loseStatuses, maxDrainDelay, staleStatus},
		{func(s *system, draining string) { s.engines.Engine(draining).Crash() }, maxDrainDelay, staleStatus},
	} {
		runVariants(t, true, pairContract(), func(s *system) { s.checkDraining(failure.cause, failure.maxDelay) }, failure.faulty)
	}
}

// checkDraining drains an engine during failures and checks that it gets no new
// requests after maxDelay.
func (s *system) checkDraining(cause func(s *system, draining string), maxDelay time.Duration) {
	time.Sleep(10 * time.Second)
	draining := s.readyEngine("pair")
	var running sync.WaitGroup
	for i := range 8 {
		running.Go(func() {
			prompt := fmt.Sprint("long", i)
			if a := s.generate(allVMs[i%4], "pair", prompt, 400); !a.isComplete("pair", prompt, 400) {
				s.errorf("the running stream %d: %q, %v", i, a.text, a.err)
			}
		})
	}
	time.Sleep(time.Second)
	if s.requestsSentTo(draining) == 0 {
		s.t.Fatal("nothing runs on the draining engine")
	}
	s.engines.Engine(draining).SetDraining(true)
	s.list.Faults().Set(faults.Settings{Outage: true})
	s.log.Faults().Set(faults.Settings{Outage: true})
	cause(s, draining)
	time.Sleep(maxDelay + time.Millisecond)
	before := s.requestsSentTo(draining)
	for i := range 20 {
		prompt := fmt.Sprint("new", i)
		if a := s.generate(allVMs[i%4], "pair", prompt, 4); !a.isComplete("pair", prompt, 4) {
			s.errorf("request %d: %q, %v", i, a.text, a.err)
		}
	}
	if after := s.requestsSentTo(draining); after != before {
		s.errorf("the draining engine got %d new requests", after-before)
	}
	running.Wait()
}

// readyEngine returns an engine on which the unit is ready, or "".
func (s *system) readyEngine(unit string) string {
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		status, err := s.engines.Status(s.ctx, "engine-"+name)
		if err != nil {
			continue
		}
		for _, u := range status.Units {
			if u.Unit == unit && u.Phase == engine.PhaseReady {
				return "engine-" + name
			}
		}
	}
	return ""
}

// An entry VM is stopped while it streams answers, has requests in its queue that wait
// for a load, and its engines load. All requests must complete. The VM then releases
// its engines, and other VMs must become their keepers at once.
func TestPlannedStopCompletesRequests(t *testing.T) {
	runVariants(t, true, baseContract(1), func(s *system) {
		if a := s.generate("v-a1", "clerk", "warm", 4); a.err != nil {
			s.t.Fatal(a.err)
		}
		var group sync.WaitGroup
		check := func(model, prompt string, tokens int) {
			group.Go(func() {
				if a := s.generate("v-a1", model, prompt, tokens); !a.isComplete(model, prompt, tokens) {
					s.errorf("%s: %q, %v", prompt, a.text, a.err)
				}
			})
		}
		check("clerk", "streaming", 300)
		check("board", "waiting for a load", 4)
		time.Sleep(100 * time.Millisecond)
		n := s.node("v-a1")
		s.stop(n)
		group.Wait()
		time.Sleep(3 * time.Second)
		s.checkKeepers()
	}, noShutdown)
}

// balancerDelay is how long callers are still sent to an entry VM that is leaving.
const balancerDelay = 100 * time.Millisecond

// stop shuts an entry VM down gracefully, in the same steps as the daemon.
func (s *system) stop(n *entry) {
	n.leaving.Store(true)
	if s.variant != noShutdown {
		n.Leave()
		if n.Ready() == nil {
			s.errorf("a leaving entry VM reports that it is ready")
		}
		time.Sleep(balancerDelay)
		n.waitNoOpenCalls()
		n.Stop(s.ctx)
	}
	n.kill()
	<-n.done
	n.waitNoOpenCalls()
}

// waitNoOpenCalls waits until all callers have their final answers.
func (n *entry) waitNoOpenCalls() {
	for n.openCalls.Load() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
}

// An entry VM is stopped while two other failures happen: the log is down, a keeper is
// frozen, a VM is isolated from its peers, an engine breaks its streams, answers of the
// log and of engines are lost, another entry VM dies, or another entry VM is stopped at
// the same time. Requests that stream through the stopped VM, or arrive just as it
// leaves, must complete, and its engines must get other keepers.
func TestPlannedStopDuringOtherFailures(t *testing.T) {
	runVariants(t, true, pairContract(), func(s *system) {
		time.Sleep(10 * time.Second)
		var group sync.WaitGroup
		check := func(vm, prompt string, tokens int) {
			if a := s.generate(vm, "pair", prompt, tokens); !a.isComplete("pair", prompt, tokens) {
				s.errorf("%s at %s: %q, %v", prompt, vm, a.text, a.err)
			}
		}
		failures := []func(){
			func() { s.log.Faults().Set(faults.Settings{Outage: true}) },
			func() { s.node("v-b2").gate.freeze() },
			func() { s.mesh.setIsolated("v-a2", true) },
			func() { s.engines.Engine(s.readyEngine("pair")).SetFaults(engineserver.Faults{DropStreamsAfter: 40}) },
			func() {
				s.log.Faults().Set(faults.Settings{LoseAnswers: 3})
				for _, name := range engineNames {
					s.engines.Engine(name).SetFaults(engineserver.Faults{LoseStreamAnswers: 1, LoseOrderAnswers: 2})
				}
			},
			func() { s.node("v-b2").kill() },
			func() {
				group.Go(func() { check("v-a2", "stopped too", 400) })
				time.Sleep(10 * time.Millisecond)
				group.Go(func() { s.stop(s.node("v-a2")) })
			},
		}
		for i, vm := range []string{"v-a1", "v-a2", "v-b1", "v-a1", "v-b1", "v-a1"} {
			group.Go(func() { check(vm, fmt.Sprint("stopped", i), 400) })
			time.Sleep(200 * time.Millisecond)
			failures[i]()
			failures[i+1]()
			group.Go(func() {
				time.Sleep(balancerDelay / 2)
				check(vm, fmt.Sprint("late", i), 4)
			})
			s.stop(s.node(vm))
			group.Wait()
			s.heal()
			s.restartStopped(fmt.Sprint("-again-", i))
		}
		time.Sleep(20 * time.Second)
		s.checkKeepers()
		if n := s.maxReplicasOf("pair"); n > 2 {
			s.errorf("%d replicas at one time, 2 were decided", n)
		}
		s.checkMemory()
	}, noShutdown)
}

// restartStopped restarts the entry VMs that have ended and waits until they are ready.
func (s *system) restartStopped(incarnation string) {
	for _, vm := range allVMs {
		select {
		case <-s.node(vm).done:
			s.start(vm, vm+incarnation)
		default:
		}
	}
	s.waitReady()
}

// checkKeepers records a violation for each engine without a running keeper.
func (s *system) checkKeepers() {
	report, err := s.node("v-b2").Operators().Status(s.ctx)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, e := range report.Engines {
		if e.Keeper == "" || s.node(e.Keeper).processCtx.Err() != nil {
			s.errorf("engine %s is kept by %q", e.Name, e.Keeper)
		}
	}
}

// An entry VM is killed while callers at all entry VMs stream or wait for models that
// are not loaded, whose planner or keeper it may be. It is killed either in normal
// operation or during a planned stop. The connections of its own callers break at that
// time. All other callers must be served: another VM takes over its engines within their
// maximum wait.
func TestKilledVMFailsOnlyItsOwnCallers(t *testing.T) {
	for _, stopping := range []bool{false, true} {
		runVariants(t, true, chaosContract(1), func(s *system) {
			var group sync.WaitGroup
			killed, victim := time.Now().Add(300*time.Millisecond), s.node("v-a1")
			for i := range 4 * chaosModels {
				vm, model, prompt := allVMs[i%4], fmt.Sprint("m", i/4), fmt.Sprint("p", i)
				group.Go(func() {
					a := s.generate(vm, model, prompt, 4)
					if vm == "v-a1" && (a.err == nil || time.Now().After(killed)) {
						s.errorf("%s at the killed VM: %v at %v", prompt, a.err, time.Since(killed))
					}
					if vm != "v-a1" && !a.isComplete(model, prompt, 4) {
						s.errorf("%s at %s: %q, %v", prompt, vm, a.text, a.err)
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
			if stopping {
				victim.Leave()
			}
			time.Sleep(time.Until(killed))
			victim.kill()
			group.Wait()
			time.Sleep(20 * time.Second)
			s.checkKeepers()
			s.checkMemory()
		}, noTakeover)
	}
}
