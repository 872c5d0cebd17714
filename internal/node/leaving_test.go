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

// pairText keeps two replicas of a model loaded.
func pairText() string {
	return text(1) + "[model \"pair\"]\ncheckpoint = pair:v1\nmemory = 10GB\nmin_replicas = 2\nmax_replicas = 2\nmax_wait = 20s\n"
}

// An engine is told to leave: it says so itself, while the VM list still trails.
// Requests that run on it are answered whole; after a few seconds nothing new
// reaches it, and callers are served by the other replica. The log is down and the
// VM list out of reach meanwhile. Where the engine's own word is lost, or it dies,
// what it said before counts for leaveLimit only.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	for _, failure := range []struct {
		cause func(s *system, leaving string)
		known time.Duration
		naive twin
	}{
		{func(*system, string) {}, 4 * time.Second, listOnly},
		{(*system).loseWord, leaveLimit, oldWord},
		{func(s *system, leaving string) { s.engines.Engine(leaving).Crash() }, leaveLimit, oldWord},
	} {
		inSystem(t, true, pairText(), func(s *system) { s.leaveAmid(failure.cause, failure.known) }, failure.naive)
	}
}

// leaveAmid has an engine leave amid failures and checks that it gets no new work
// once this must be known.
func (s *system) leaveAmid(cause func(s *system, leaving string), known time.Duration) {
	time.Sleep(10 * time.Second)
	leaving := s.holder("pair")
	var running sync.WaitGroup
	for i := range 8 {
		running.Go(func() {
			prompt := fmt.Sprint("long", i)
			if a := s.ask(allVMs[i%4], "pair", prompt, 400); !a.whole("pair", prompt, 400) {
				s.errorf("the running stream %d: %q, %v", i, a.text, a.err)
			}
		})
	}
	time.Sleep(time.Second)
	if s.sentTo(leaving) == 0 {
		s.t.Fatal("nothing runs on the engine that leaves")
	}
	s.engines.Engine(leaving).SetDraining(true)
	s.list.Faults().Set(faults.Settings{Outage: true})
	s.log.Faults().Set(faults.Settings{Outage: true})
	cause(s, leaving)
	time.Sleep(known + time.Millisecond)
	before := s.sentTo(leaving)
	for i := range 20 {
		prompt := fmt.Sprint("new", i)
		if a := s.ask(allVMs[i%4], "pair", prompt, 4); !a.whole("pair", prompt, 4) {
			s.errorf("request %d: %q, %v", i, a.text, a.err)
		}
	}
	if after := s.sentTo(leaving); after != before {
		s.errorf("the leaving engine got %d new requests", after-before)
	}
	running.Wait()
}

// holder is an engine that has the unit ready.
func (s *system) holder(unit string) string {
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

// An entry VM is stopped while requests stream through it, wait in its queue for
// a load, and its engines load. All of them get their whole answers; then it
// gives its engines back, and another VM keeps them at once.
func TestStoppedEntryVMCutsOffNothing(t *testing.T) {
	inSystem(t, true, text(1), func(s *system) {
		if a := s.ask("v-a1", "clerk", "warm", 4); a.err != nil {
			s.t.Fatal(a.err)
		}
		var group sync.WaitGroup
		check := func(model, prompt string, tokens int) {
			group.Go(func() {
				if a := s.ask("v-a1", model, prompt, tokens); !a.whole(model, prompt, tokens) {
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
		s.checkKept()
	}, noShutdown)
}

// balancerDelay is how long callers still come to an entry VM that leaves.
const balancerDelay = 100 * time.Millisecond

// stop is the graceful shutdown of an entry VM, as the daemon does it.
func (s *system) stop(n *entry) {
	n.leaving.Store(true)
	if s.twin != noShutdown {
		n.Leave()
		if n.Ready() == nil {
			s.errorf("a leaving entry VM says that it is ready")
		}
		time.Sleep(balancerDelay)
		n.waitOpen()
		n.Stop(s.ctx)
	}
	n.kill()
	<-n.done
	n.waitOpen()
}

// waitOpen waits until all callers have their final answers.
func (n *entry) waitOpen() {
	for n.open.Load() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
}

// An entry VM is stopped while two other things fail: the log is out, a keeper is
// frozen, a VM is cut off from its peers, an engine breaks its streams, answers of
// the log and of engines are lost, another entry VM dies, another one is stopped at
// the same moment. Whoever streams through the stopped VM, or comes just as it
// leaves, still gets the whole answer, and its engines get other keepers.
func TestStopDuringOtherFailures(t *testing.T) {
	inSystem(t, true, pairText(), func(s *system) {
		time.Sleep(10 * time.Second)
		var group sync.WaitGroup
		check := func(vm, prompt string, tokens int) {
			if a := s.ask(vm, "pair", prompt, tokens); !a.whole("pair", prompt, tokens) {
				s.errorf("%s at %s: %q, %v", prompt, vm, a.text, a.err)
			}
		}
		failures := []func(){
			func() { s.log.Faults().Set(faults.Settings{Outage: true}) },
			func() { s.node("v-b2").gate.freeze() },
			func() { s.mesh.separate("v-a2", true) },
			func() { s.engines.Engine(s.holder("pair")).SetFaults(engineserver.Faults{DropStreamsAfter: 40}) },
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
		s.checkKept()
		if n := s.mostReplicas("pair"); n > 2 {
			s.errorf("%d replicas at one time, 2 were decided", n)
		}
		s.checkMemory()
	}, noShutdown)
}

// restartStopped starts the entry VMs that have ended and waits until they serve.
func (s *system) restartStopped(incarnation string) {
	for _, vm := range allVMs {
		select {
		case <-s.node(vm).done:
			s.start(vm, vm+incarnation)
		default:
		}
	}
	s.ready()
}

// checkKept notes engines without a keeper that is there.
func (s *system) checkKept() {
	report, err := s.node("v-b2").Operators().Status(s.ctx)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, e := range report.Engines {
		if e.Keeper == "" || s.node(e.Keeper).alive.Err() != nil {
			s.errorf("engine %s is kept by %q", e.Name, e.Keeper)
		}
	}
}

// An entry VM is killed while callers stream through it and wait at all entry VMs
// for cold models, whose planner or keeper it may be; once of its own accord, once
// in the middle of a planned stop. Its own callers see their connection break at
// that moment. All others are served: another VM takes its engines over within
// their longest wait.
func TestKilledEntryVMCutsOffOnlyItsOwnCallers(t *testing.T) {
	for _, stopping := range []bool{false, true} {
		inSystem(t, true, chaosText(1), func(s *system) {
			var group sync.WaitGroup
			killed, victim := time.Now().Add(300*time.Millisecond), s.node("v-a1")
			for i := range 4 * chaosModels {
				vm, model, prompt := allVMs[i%4], fmt.Sprint("m", i/4), fmt.Sprint("p", i)
				group.Go(func() {
					a := s.ask(vm, model, prompt, 4)
					if vm == "v-a1" && (a.err == nil || time.Now().After(killed)) {
						s.errorf("%s at the killed VM: %v at %v", prompt, a.err, time.Since(killed))
					}
					if vm != "v-a1" && !a.whole(model, prompt, 4) {
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
			s.checkKept()
			s.checkMemory()
		}, noTakeover)
	}
}
