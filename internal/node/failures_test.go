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

// A keeper freezes before it sends a load order. Another VM takes the engine over and
// loads the model there. Then the engine is marked as leaving, the right is withdrawn,
// and the model is requested elsewhere. Only then does the frozen keeper continue and
// send its order, which an engine that ignores tokens obeys. This must not create a
// second replica: the right stays counted until the frozen VM has settled its session,
// or until the engine refuses the order because of its token. After that the model is
// loaded on the other engine.
func TestLateOrderAfterWithdrawalAddsNoReplica(t *testing.T) {
	script := func(s *system) {
		var once sync.Once
		held := make(chan [2]string, 1)
		s.setFreezeOnOrder(func(vm, address string, order engine.Order) bool {
			isFirst := false
			if order.Action == engine.ActionLoad {
				once.Do(func() { isFirst = true; held <- [2]string{vm, address} })
			}
			return isFirst
		})
		go s.generate("v-a1", "clerk", "first", 4)
		frozen := <-held
		vm, engineAddress := frozen[0], frozen[1]
		other := allVMs[0]
		if other == vm {
			other = allVMs[1]
		}
		if a := s.generate(other, "clerk", "second", 4); !a.isComplete("clerk", "second", 4) {
			s.errorf("after the takeover: %q, %v", a.text, a.err)
		}
		s.list.MarkLeaving(engineAddress[len("engine-"):])
		time.Sleep(5 * time.Second)
		orders := s.engines.Engine(engineAddress).Records().Orders
		if last := orders[len(orders)-1].Order; last.Action != engine.ActionUnload {
			s.t.Fatalf("the right has not been withdrawn yet: %+v", last)
		}
		go s.generate(other, "clerk", "moved", 4)
		time.Sleep(5 * time.Second)
		otherEngine, loads := s.readyEngine("clerk"), s.countLoads("clerk")
		s.node(vm).gate.unfreeze()
		time.Sleep(100 * time.Millisecond)
		if otherEngine != "" && s.countLoads("clerk") != loads {
			s.errorf("the late order created a second replica beside that on %s", otherEngine)
		}
		time.Sleep(30 * time.Second)
		if a := s.generate(other, "clerk", "last", 4); !a.isComplete("clerk", "last", 4) {
			s.errorf("after the keeper was unfrozen: %q, %v", a.text, a.err)
		}
		if n := s.maxReplicasOf("clerk"); n > 1 {
			s.errorf("%d replicas at one time, 1 was decided", n)
		}
		s.checkMemory()
	}
	runVariants(t, false, baseContract(1), script)
	runVariants(t, true, baseContract(1), script, noTokenCheck)
}

// The log is down for ten minutes. Requests for a loaded model are served as before. A
// booking is refused at once with "not run", which is true: no claim could be recorded,
// so nothing was sent. A request for a model that no engine has a right to load is
// refused in the same way, since no right can be granted.
func TestLogOutage(t *testing.T) {
	runVariants(t, true, baseContract(1), func(s *system) {
		if a := s.generate("v-a1", "clerk", "before", 4); a.err != nil {
			s.t.Fatal(a.err)
		}
		s.log.Faults().Set(faults.Settings{Outage: true})
		for i := range 10 {
			time.Sleep(time.Minute)
			start := time.Now()
			_, err := s.book("v-b1", fmt.Sprint("key", i))
			refused := refusal.FromError(err)
			if refused.Ran != refusal.RanNo || refused.RetryAfter == 0 || time.Since(start) > time.Second {
				s.errorf("booking %d: %v after %v", i, refused, time.Since(start))
			}
			start = time.Now()
			cold := s.generate("v-a2", "board", fmt.Sprint("cold", i), 4)
			refused = refusal.FromError(cold.err)
			if refused.Ran != refusal.RanNo || refused.RetryAfter == 0 || time.Since(start) > time.Second {
				s.errorf("model without a right: %v after %v", refused, time.Since(start))
			}
			prompt := fmt.Sprint("during", i)
			if a := s.generate("v-b2", "clerk", prompt, 4); !a.isComplete("clerk", prompt, 4) {
				s.errorf("loaded model in the outage: %q, %v", a.text, a.err)
			}
		}
		// A VM that starts during the outage must not report an empty log to operators.
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
		if n := s.countBookings("key0"); n != 1 {
			s.errorf("the booking ran %d times", n)
		}
	}, noClaims)
}

// standbyContract returns a contract that grants each failure domain a right in advance
// for the standby model.
func standbyContract() string {
	return baseContract(2) + "[model \"standby\"]\ncheckpoint = standby:v1\nmemory = 10GB\nmax_replicas = 2\nstandby_per_domain = 1\nmax_wait = 20s\n"
}

// Failure domain a is cut off from the log and from domain b. Its callers still get
// answers from loaded models, and a model that is not loaded but has a right granted in
// advance is loaded inside the domain. A booking is refused. After the partition the
// domains agree again, and there were never more replicas than decided.
func TestIsolatedDomainServesStandbyModel(t *testing.T) {
	runVariants(t, true, standbyContract(), func(s *system) {
		time.Sleep(5 * time.Second)
		for _, vm := range []string{"v-a1", "v-a2"} {
			s.node(vm).logView.Disconnect()
		}
		s.mesh.setPartition("v-a", true)
		time.Sleep(10 * time.Second)
		for i, vm := range allVMs {
			prompt := fmt.Sprint("cut", i)
			if a := s.generate(vm, "standby", prompt, 4); !a.isComplete("standby", prompt, 4) {
				s.errorf("%s: %q, %v", vm, a.text, a.err)
			}
		}
		_, err := s.book("v-a1", "key")
		if err == nil || s.countBookings("key") != 0 {
			s.errorf("booking without the log: %v, ran %d times", err, s.countBookings("key"))
		}
		s.mesh.setPartition("v-a", false)
		for _, vm := range []string{"v-a1", "v-a2"} {
			s.node(vm).logView.Heal()
		}
		time.Sleep(20 * time.Second)
		if n := s.maxReplicasOf("standby"); n > 2 {
			s.errorf("%d replicas, 2 were decided", n)
		}
		if n := s.countLoads("standby"); n != 2 {
			s.errorf("%d loads, want one in each domain", n)
		}
		s.checkMemory()
	}, uncoordinatedLoads, noClaims)
}

// Two operators publish at the same time with the same base version at different entry
// VMs, and one of the answers is lost. One publish must win and the other must get a
// conflict. Publishing again with the same change ID must return the first result.
func TestConcurrentPublishesHaveOneWinner(t *testing.T) {
	runVariants(t, true, baseContract(1), func(s *system) {
		base := s.version("v-a1")
		s.node("v-b1").logView.Faults().Set(faults.Settings{LoseAnswers: 1})
		results := make([]operator.PublishResult, 2)
		var group sync.WaitGroup
		for i, vm := range []string{"v-a1", "v-b1"} {
			group.Go(func() { results[i] = s.publish(vm, fmt.Sprint("race", i), baseContract(2+i), base) })
		}
		group.Wait()
		applied := 0
		for i, r := range results {
			if r.Verdict == state.VerdictApplied {
				applied++
			}
			if again := s.publish("v-b2", fmt.Sprint("race", i), baseContract(2+i), base); again != r {
				s.errorf("asked again: %+v, first: %+v", again, r)
			}
		}
		if applied != 1 {
			s.errorf("%d winners: %+v", applied, results)
		}
	})
}

// A change is accepted while one VM reaches its peers but not the log, and another VM
// restarts. The change must be in force on all VMs within 4 s, and no VM may return to
// an older version.
func TestChangeReachesAllVMsWithinSeconds(t *testing.T) {
	runVariants(t, true, baseContract(1), func(s *system) {
		s.node("v-b2").logView.Disconnect()
		s.node("v-a2").kill()
		<-s.node("v-a2").done
		ctx, stop := context.WithCancel(s.ctx)
		defer stop()
		accepted := s.publish("v-a1", "c2", baseContract(3), s.version("v-a1"))
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

// The log goes down while bursts for models that are not loaded arrive at all routers,
// and engines restart empty. No new right can be granted: the loaded replicas must stay
// within the rights granted before, and after the outage all models must be served.
func TestLogOutageDuringBursts(t *testing.T) {
	for _, checksTokens := range []bool{true, false} {
		runVariants(t, checksTokens, chaosContract(1), func(s *system) {
			s.generate("v-a1", "m0", "warm", 4)
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
				if a := s.generate("v-b1", model, prompt, 4); !a.isComplete(model, prompt, 4) {
					s.errorf("after the outage, %s: %q, %v", model, a.text, a.err)
				}
				if n := s.maxReplicasOf(model); n > 1 {
					s.errorf("%d replicas of %s, 1 was decided", n, model)
				}
			}
			s.checkMemory()
		}, uncoordinatedLoads)
	}
}

// An entry VM is killed at a varying time while it handles a booking, and the caller
// repeats the booking at another entry VM. The booking must run at most once, and a
// refusal that says "not run" must be true.
func TestRepeatedBookingRunsAtMostOnce(t *testing.T) {
	runVariants(t, true, baseContract(1), func(s *system) {
		for i := range 20 {
			key := fmt.Sprint("band", i)
			vm := allVMs[i%4]
			go func() { _, _ = s.book(vm, key) }()
			time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			s.node(vm).kill()
			<-s.node(vm).done
			_, err := s.book(allVMs[(i+1)%4], key)
			ran := s.countBookings(key)
			if ran > 1 {
				s.errorf("%s ran %d times", key, ran)
			}
			if err == nil && ran != 1 {
				s.errorf("%s is answered, but ran %d times", key, ran)
			}
			if err != nil && refusal.FromError(err).Ran == refusal.RanNo && ran > 0 {
				s.errorf("%s: refused with %v, but it ran", key, err)
			}
			s.start(vm, fmt.Sprint(vm, "-after-", i))
			for s.node(vm).Ready() != nil {
				time.Sleep(50 * time.Millisecond)
			}
		}
	}, noClaims)
}
