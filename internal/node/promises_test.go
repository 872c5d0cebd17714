package node_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"bergamotreel/engine"
	"bergamotreel/internal/standin/faults"
	"bergamotreel/operator"
	"bergamotreel/refusal"
	"bergamotreel/state"
)

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
			refused := refusal.FromError(err)
			if refused.Ran != refusal.RanNo || refused.RetryAfter == 0 || time.Since(begun) > time.Second {
				s.errorf("booking %d: %v after %v", i, refused, time.Since(begun))
			}
			begun = time.Now()
			cold := s.ask("v-a2", "board", fmt.Sprint("cold", i), 4)
			refused = refusal.FromError(cold.err)
			if refused.Ran != refusal.RanNo || refused.RetryAfter == 0 || time.Since(begun) > time.Second {
				s.errorf("model without a right: %v after %v", refused, time.Since(begun))
			}
			prompt := fmt.Sprint("during", i)
			if a := s.ask("v-b2", "clerk", prompt, 4); !a.whole("clerk", prompt, 4) {
				s.errorf("loaded model in the outage: %q, %v", a.text, a.err)
			}
		}
		// An operator must not read of an empty log at a VM that starts meanwhile.
		s.node("v-a2").kill()
		<-s.node("v-a2").done
		late := s.start("v-a2", "late")
		time.Sleep(5 * time.Second)
		if got := late.Stats(); got.Applied == 0 || got.End < got.Applied || got.LogReachable {
			s.errorf("started without the log: %+v", got)
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
			if err != nil && refusal.FromError(err).Ran == refusal.RanNo && ran > 0 {
				s.errorf("%s: told %v, but it ran", key, err)
			}
			s.start(vm, fmt.Sprint(vm, "-after-", i))
			for s.node(vm).Ready() != nil {
				time.Sleep(50 * time.Millisecond)
			}
		}
	}, noClaims)
}
