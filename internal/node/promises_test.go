package node_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/engine"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/internal/standin/faults"
	"bergamotreel/operator"
	"bergamotreel/refusal"
	"bergamotreel/state"
)

// twin says what a naive version of the system lacks.
type twin string

const (
	ours twin = ""
	// noPeers follows the log alone, never another entry VM.
	noPeers twin = "no peers"
	// listOnly believes the VM list alone, not the engine's own word.
	listOnly twin = "VM list only"
	// oldWord believes what an engine said last, however long ago.
	oldWord twin = "old word"
	// noShutdown ends the process at the signal to stop.
	noShutdown twin = "no graceful shutdown"
	// noClaims sends a call that may not be repeated without a claim in the log.
	noClaims twin = "no claims"
	// unknownIsNo tells of each request that failed that it was not run.
	unknownIsNo twin = "unknown is no"
	// noDeadline lets requests wait for as long as it takes.
	noDeadline twin = "no longest wait"
	// noPosition takes a broken stream up behind what the engine sent.
	noPosition twin = "no position"
	// ownLoads has each entry VM load what its callers ask for, without a right.
	ownLoads twin = "loads on its own"
	// noTakeover lets a session live on whose VM is dead.
	noTakeover twin = "no takeover"
	// noTokens has engines obey orders of any age.
	noTokens twin = "no tokens"
)

// inSystem runs a script against a ready system with the contract published:
// ours must keep the promise, and each naive twin must be seen to break it.
func inSystem(t *testing.T, checksTokens bool, contractText string, script func(*system), twins ...twin) {
	for _, version := range append([]twin{ours}, twins...) {
		t.Run(string(version), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t, checksTokens, version)
				s.ready()
				if r := s.publish("v-a1", "c1", contractText, 0); r.Verdict != state.VerdictApplied {
					t.Fatalf("publish: %+v", r)
				}
				time.Sleep(time.Second)
				script(s)
				s.judge()
			})
		})
	}
}

// errorf notes that a promise was broken.
func (s *system) errorf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaches = append(s.breaches, fmt.Sprintf(format, args...))
}

// judge fails the test if ours broke the promise, or if a naive twin kept it.
func (s *system) judge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.twin != ours && len(s.breaches) == 0 {
		s.t.Errorf("the naive twin (%s) keeps the promise: the script proves nothing", s.twin)
	}
	for _, breach := range s.breaches {
		if s.twin == ours {
			s.t.Error(breach)
		}
	}
}

// A keeper freezes with a load order in hand. Another VM takes the engine over
// and loads the model there; then the engine leaves, the right is withdrawn, and
// the model is wanted elsewhere. Only then does the frozen keeper thaw and send
// its order, which an engine that ignores tokens obeys. Callers must see no
// second replica: the right stays counted until the frozen VM has settled its
// session, or until the engine refuses its order by the token; and after that the model is loaded on the other engine.
func TestLateOrderAfterWithdrawalMakesNoReplica(t *testing.T) {
	script := func(s *system) {
		var once sync.Once
		held := make(chan [2]string, 1)
		s.setHold(func(vm, address string, order engine.Order) bool {
			isFirst := false
			if order.Action == engine.ActionLoad {
				once.Do(func() { isFirst = true; held <- [2]string{vm, address} })
			}
			return isFirst
		})
		go s.ask("v-a1", "clerk", "first", 4)
		frozen := <-held
		vm, engineAddress := frozen[0], frozen[1]
		other := allVMs[0]
		if other == vm {
			other = allVMs[1]
		}
		if a := s.ask(other, "clerk", "second", 4); !a.whole("clerk", "second", 4) {
			s.errorf("after the takeover: %q, %v", a.text, a.err)
		}
		s.list.MarkLeaving(engineAddress[len("engine-"):])
		time.Sleep(5 * time.Second)
		orders := s.engines.Engine(engineAddress).Records().Orders
		if last := orders[len(orders)-1].Order; last.Action != engine.ActionUnload {
			s.t.Fatalf("the right is not withdrawn yet: %+v", last)
		}
		go s.ask(other, "clerk", "moved", 4)
		time.Sleep(5 * time.Second)
		elsewhere, loads := s.holder("clerk"), s.loads("clerk")
		s.node(vm).gate.open()
		time.Sleep(100 * time.Millisecond)
		if elsewhere != "" && s.loads("clerk") != loads {
			s.errorf("the late order made a replica beside that of %s", elsewhere)
		}
		time.Sleep(30 * time.Second)
		if a := s.ask(other, "clerk", "last", 4); !a.whole("clerk", "last", 4) {
			s.errorf("after the thaw: %q, %v", a.text, a.err)
		}
		if n := s.mostReplicas("clerk"); n > 1 {
			s.errorf("%d replicas at one time, 1 was decided", n)
		}
		s.checkMemory()
	}
	inSystem(t, false, text(1), script)
	inSystem(t, true, text(1), script, noTokens)
}

// The platform's log goes down for ten minutes. A caller of a loaded model is
// served as before. A booking is refused at once, and "not run" is true: no
// claim could be recorded, so nothing was sent. So is a request for a model that
// no engine has a right to load: none can be granted now.
func TestLogOutage(t *testing.T) {
	inSystem(t, true, text(1), func(s *system) {
		if a := s.ask("v-a1", "clerk", "before", 4); a.err != nil {
			s.t.Fatal(a.err)
		}
		s.log.Faults().Set(faults.Settings{Outage: true})
		for i := range 10 {
			time.Sleep(time.Minute)
			begun := time.Now()
			_, err := s.book("v-b1", fmt.Sprint("key", i))
			refused := refusal.From(err)
			if refused.Ran != refusal.RanNo || refused.RetryAfter == 0 || time.Since(begun) > time.Second {
				s.errorf("booking %d: %v after %v", i, refused, time.Since(begun))
			}
			begun = time.Now()
			cold := s.ask("v-a2", "board", fmt.Sprint("cold", i), 4)
			refused = refusal.From(cold.err)
			if refused.Ran != refusal.RanNo || refused.RetryAfter == 0 || time.Since(begun) > time.Second {
				s.errorf("model without a right: %v after %v", refused, time.Since(begun))
			}
			prompt := fmt.Sprint("during", i)
			if a := s.ask("v-b2", "clerk", prompt, 4); !a.whole("clerk", prompt, 4) {
				s.errorf("loaded model in the outage: %q, %v", a.text, a.err)
			}
		}
		s.log.Faults().Set(faults.Settings{})
		time.Sleep(5 * time.Second)
		if _, err := s.book("v-b1", "key0"); err != nil {
			s.errorf("after the outage: %v", err)
		}
		if n := s.bookings("key0"); n != 1 {
			s.errorf("the booking ran %d times", n)
		}
	}, noClaims)
}

// standbyText grants each failure domain a right ahead for the clerk's model.
func standbyText() string {
	return text(2) + "[model \"standby\"]\ncheckpoint = standby:v1\nmemory = 10GB\nmax_replicas = 2\nstandby_per_domain = 1\nmax_wait = 20s\n"
}

// Failure domain a is cut off from the log and from domain b. Its callers still
// get what is loaded there, and a cold model with a right granted ahead is
// loaded inside the domain; a booking is refused. After the cut the domain
// agrees again, and never were there more replicas than decided.
func TestCutOffDomainServesWhatItCan(t *testing.T) {
	inSystem(t, true, standbyText(), func(s *system) {
		time.Sleep(5 * time.Second)
		for _, vm := range []string{"v-a1", "v-a2"} {
			s.node(vm).view.Cut()
		}
		s.mesh.part("v-a", true)
		time.Sleep(10 * time.Second)
		for i, vm := range allVMs {
			prompt := fmt.Sprint("cut", i)
			if a := s.ask(vm, "standby", prompt, 4); !a.whole("standby", prompt, 4) {
				s.errorf("%s: %q, %v", vm, a.text, a.err)
			}
		}
		_, err := s.book("v-a1", "key")
		if err == nil || s.bookings("key") != 0 {
			s.errorf("booking without the log: %v, ran %d times", err, s.bookings("key"))
		}
		s.mesh.part("v-a", false)
		for _, vm := range []string{"v-a1", "v-a2"} {
			s.node(vm).view.Heal()
		}
		time.Sleep(20 * time.Second)
		if n := s.mostReplicas("standby"); n > 2 {
			s.errorf("%d replicas, 2 were decided", n)
		}
		if n := s.loads("standby"); n != 2 {
			s.errorf("%d loads, want one in each domain", n)
		}
		s.checkMemory()
	}, ownLoads, noClaims)
}

// Two operators publish at the same moment on the same base, at different entry
// VMs; one of the answers is lost. One of them wins, the other is told of the
// conflict, and asking again with the same identity gives the first result.
func TestRacingOperators(t *testing.T) {
	inSystem(t, true, text(1), func(s *system) {
		base := s.version("v-a1")
		s.node("v-b1").view.Faults().Set(faults.Settings{LoseAnswers: 1})
		results := make([]operator.PublishResult, 2)
		var group sync.WaitGroup
		for i, vm := range []string{"v-a1", "v-b1"} {
			group.Go(func() { results[i] = s.publish(vm, fmt.Sprint("race", i), text(2+i), base) })
		}
		group.Wait()
		applied := 0
		for i, r := range results {
			if r.Verdict == state.VerdictApplied {
				applied++
			}
			if again := s.publish("v-b2", fmt.Sprint("race", i), text(2+i), base); again != r {
				s.errorf("asked again: %+v, first: %+v", again, r)
			}
		}
		if applied != 1 {
			s.errorf("%d winners: %+v", applied, results)
		}
	})
}

// A change is accepted while one VM cannot reach the log but its peers, and one
// is restarted. It is in force on all of them within 4 s, and no VM goes back.
func TestChangeIsInForceEverywhereWithinSeconds(t *testing.T) {
	inSystem(t, true, text(1), func(s *system) {
		s.node("v-b2").view.Cut()
		s.node("v-a2").kill()
		<-s.node("v-a2").done
		ctx, stop := context.WithCancel(s.ctx)
		defer stop()
		accepted := s.publish("v-a1", "c2", text(3), s.version("v-a1"))
		s.start("v-a2", "v-a2-again")
		go s.watchVersions(ctx)
		time.Sleep(4 * time.Second)
		for _, vm := range allVMs {
			if got := s.version(vm); got != accepted.Revision {
				s.errorf("%s has version %d in force, want %d", vm, got, accepted.Revision)
			}
		}
	}, noPeers)
}

func (s *system) version(vm string) state.Revision {
	got, err := s.node(vm).Operators().Contract(s.ctx, "trinidad")
	if err != nil {
		return 0
	}
	return got.Version
}

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
		n.open.Wait()
		n.Stop(s.ctx)
	}
	n.kill()
	<-n.done
	n.open.Wait()
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

// The log goes down just as bursts for cold models arrive at all routers, and
// engines restart empty meanwhile. Nothing new can be decided: whatever is loaded
// stays within what was decided before, and after the outage all is served.
func TestOutageDuringBursts(t *testing.T) {
	for _, checks := range []bool{true, false} {
		inSystem(t, checks, chaosText(1), func(s *system) {
			s.ask("v-a1", "m0", "warm", 4)
			go s.burst("m1", 2)
			time.Sleep(30 * time.Millisecond)
			s.log.Faults().Set(faults.Settings{Outage: true})
			for i := range 4 {
				go s.burst(fmt.Sprint("m", 2+i), 1)
			}
			s.engines.Engine("engine-a1").Restart()
			s.engines.Engine("engine-b1").Restart()
			time.Sleep(40 * time.Second)
			s.log.Faults().Set(faults.Settings{})
			time.Sleep(15 * time.Second)
			for i := range chaosModels {
				model := fmt.Sprint("m", i)
				prompt := "after " + model
				if a := s.ask("v-b1", model, prompt, 4); !a.whole(model, prompt, 4) {
					s.errorf("after the outage, %s: %q, %v", model, a.text, a.err)
				}
				if n := s.mostReplicas(model); n > 1 {
					s.errorf("%d replicas of %s, 1 was decided", n, model)
				}
			}
			s.checkMemory()
		}, ownLoads)
	}
}

// A tenth of a booking's answers is lost, the claimer is killed at any point, and
// the caller repeats the booking at another entry VM each time. It runs once or
// not at all, and whoever is told "not run" is told the truth.
func TestRepeatedBookingRunsOnce(t *testing.T) {
	inSystem(t, true, text(1), func(s *system) {
		for i := range 20 {
			key := fmt.Sprint("band", i)
			vm := allVMs[i%4]
			go func() { _, _ = s.book(vm, key) }()
			time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			s.node(vm).kill()
			<-s.node(vm).done
			_, err := s.book(allVMs[(i+1)%4], key)
			ran := s.bookings(key)
			if ran > 1 {
				s.errorf("%s ran %d times", key, ran)
			}
			if err == nil && ran != 1 {
				s.errorf("%s is answered, but ran %d times", key, ran)
			}
			if err != nil && refusal.From(err).Ran == refusal.RanNo && ran > 0 {
				s.errorf("%s: told %v, but it ran", key, err)
			}
			s.start(vm, fmt.Sprint(vm, "-after-", i))
			for s.node(vm).Ready() != nil {
				time.Sleep(50 * time.Millisecond)
			}
		}
	}, noClaims)
}
