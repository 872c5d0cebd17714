package node_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/contract"
	"bergamotreel/engine"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/internal/standin/faults"
	"bergamotreel/internal/standin/serviceserver"
	"bergamotreel/operator"
	"bergamotreel/refusal"
	"bergamotreel/state"
	"bergamotreel/vmlist"
)

var (
	chaosSeeds     = flag.Int("chaos.seeds", 12, "number of schedules of TestChaos")
	variantSeeds   = flag.Int("chaos.twinseeds", 60, "maximum number of schedules per faulty variant")
	firstChaosSeed = flag.Int64("chaos.first", 1, "first seed of TestChaos")
)

const (
	chaosModels = 6
	// chaosDuration is the virtual time during which faults and requests occur,
	// recoveryTime the time that the system then has to recover.
	chaosDuration = 60 * time.Second
	recoveryTime  = 40 * time.Second
	// maxStreamTime is how long after its maximum wait a request may still get its
	// final answer, since an answer that is streaming is not cut off.
	maxStreamTime = 15 * time.Second
)

// chaosContract returns a contract with several models that together exceed the
// engines' memory. Each has at most one replica, except for the model "clerk".
func chaosContract(clerkReplicas int) string {
	var b strings.Builder
	b.WriteString(baseContract(clerkReplicas))
	for i := range chaosModels {
		fmt.Fprintf(&b, "[model \"m%d\"]\ncheckpoint = m%d:v1\nmemory = 16GB\nmax_replicas = 1\nmax_wait = 20s\n", i, i)
	}
	return b.String()
}

// Faults of all kinds occur at random times, alone and in combination, while callers
// send generation requests and bookings to random entry VMs. In all schedules each
// caller must get the whole answer to its own request or a refusal in time, "not run"
// must be true, a booking must run at most once, no engine may be overcommitted, no
// model may have more replicas than decided, a draining engine must get no new requests
// after a few seconds, a planned stop must not fail requests, and no entry VM may
// return to an older contract.
func TestChaos(t *testing.T) {
	for seed := *firstChaosSeed; seed < *firstChaosSeed+int64(*chaosSeeds); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runChaos(t, seed, unmodified) })
	}
}

// chaosVariants maps each faulty variant to the texts of violations that it must cause.
var chaosVariants = map[variant][]string{
	uncoordinatedLoads: {"replicas of", "overcommits"}, noDeadline: {"first token after"}, wrongResumePosition: {"wrong answer"},
	unknownIsNotRun: {"but it ran"}, noClaims: {"times"}, listOnly: {"draining for"}, noShutdown: {"cut off by a planned stop"},
}

// Under the schedules of TestChaos, each faulty variant must violate the guarantee that
// its missing safeguard provides. Otherwise TestChaos would not test that safeguard.
func TestChaosDetectsFaultyVariants(t *testing.T) {
	for v, violations := range chaosVariants {
		t.Run(string(v), func(t *testing.T) {
			missing := slices.Clone(violations)
			for seed := *firstChaosSeed; seed < *firstChaosSeed+int64(*variantSeeds); seed++ {
				found := strings.Join(runChaos(t, seed, v).violations, "\n")
				missing = slices.DeleteFunc(missing, func(violation string) bool { return strings.Contains(found, violation) })
				if len(missing) == 0 {
					return
				}
			}
			t.Errorf("no schedule makes the faulty variant cause the violations %q", missing)
		})
	}
}

// runChaos runs one schedule against one variant of the system.
func runChaos(t *testing.T, seed int64, v variant) *system {
	var s *system
	synctest.Test(t, func(t *testing.T) {
		s = newSystem(t, seed%2 == 0, v)
		s.runChaosSchedule(seed)
		if v == unmodified {
			s.checkViolations()
		}
	})
	return s
}

func (s *system) runChaosSchedule(seed int64) {
	rng := rand.New(rand.NewSource(seed))
	s.setFreezeOnOrder(func(vm, _ string, order engine.Order) bool {
		return order.Action == engine.ActionLoad && s.node(vm).freezeAtNextLoad.Swap(false)
	})
	s.waitReady()
	text := chaosContract(2)
	if s.variant == noDeadline {
		text = strings.ReplaceAll(text, "max_wait = 20s", "max_wait = 10m")
	}
	if first := s.publish("v-a1", "c1", text, 0); first.Verdict != state.VerdictApplied {
		s.t.Fatalf("publish: %+v", first)
	}
	time.Sleep(time.Second)
	ctx, stop := context.WithCancel(s.ctx)
	var background, requests, stops sync.WaitGroup
	background.Go(func() { s.watchVersions(ctx) })
	background.Go(func() { s.injectFaults(ctx, rng, &stops) })
	callers := rand.New(rand.NewSource(seed + 1000))
	for start, i := time.Now(), 0; time.Since(start) < chaosDuration; i++ {
		time.Sleep(time.Duration(callers.Intn(400)) * time.Millisecond)
		at := allVMs[callers.Intn(len(allVMs))]
		if s.node(at).leaving.Load() {
			continue // the balancer sends no requests there
		}
		if callers.Intn(4) == 0 {
			key := fmt.Sprint("key", callers.Intn(20))
			requests.Go(func() { s.checkBooking(at, key) })
			continue
		}
		model := fmt.Sprint("m", callers.Intn(chaosModels))
		if callers.Intn(3) == 0 {
			model = "clerk"
		}
		requests.Go(func() { s.checkAnswer(at, model, fmt.Sprint("p", i)) })
	}
	stop()
	background.Wait()
	s.heal()
	stops.Wait()
	time.Sleep(recoveryTime)
	requests.Wait()
	s.checkFinalState()
}

func (s *system) checkAnswer(at, model, prompt string) {
	a := s.generate(at, model, prompt, 12)
	if a.duration > 20*time.Second+maxStreamTime {
		s.errorf("%s at %s: final answer after %v", prompt, at, a.duration)
	}
	if a.firstToken > 21*time.Second {
		s.errorf("%s at %s: first token after %v", prompt, at, a.firstToken)
	}
	if errors.Is(a.err, context.Canceled) {
		return // the entry VM was killed, which broke the connection
	}
	s.countOutcome(a.err)
	if a.err == nil {
		if !a.isComplete(model, prompt, 12) {
			s.errorf("%s at %s: wrong answer %q", prompt, at, a.text)
		}
		return
	}
	refused := refusal.FromError(a.err)
	if refused.Ran == refusal.RanNo && s.hasRun(at+"/"+prompt) {
		s.errorf("%s at %s: refused with %v, but it ran", prompt, at, refused)
	}
}

// hasRun reports whether any engine started the request.
func (s *system) hasRun(id string) bool {
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		if s.engines.Engine("engine-" + name).Records().RunCounts[id] > 0 {
			return true
		}
	}
	return false
}

func (s *system) checkBooking(at, key string) {
	start, gate := time.Now(), s.node(at).gate
	frozen := gate.frozenTime()
	_, err := s.book(at, key)
	if took := time.Since(start) - gate.frozenTime() + frozen; took > 8*time.Second {
		s.errorf("booking %s at %s: final answer after %v", key, at, took)
	}
	if !errors.Is(err, context.Canceled) {
		s.countOutcome(err)
	}
	// Another request with the same key may run the booking later, but it must not have
	// run by now.
	if err != nil && refusal.FromError(err).Ran == refusal.RanNo && s.countBookings(key) > 0 {
		s.errorf("booking %s at %s: refused with %v, but it ran", key, at, err)
	}
}

// injectFaults changes one random fault after another until ctx ends.
func (s *system) injectFaults(ctx context.Context, rng *rand.Rand, stops *sync.WaitGroup) {
	restarts := 0
	for ctx.Err() == nil {
		vm := allVMs[rng.Intn(len(allVMs))]
		n := s.node(vm)
		address := "engine-" + []string{"a1", "a2", "b1", "b2"}[rng.Intn(4)]
		e := s.engines.Engine(address)
		pause := time.Duration(rng.Intn(5000)) * time.Millisecond
		switch rng.Intn(21) {
		case 0:
			n.gate.freeze()
		case 19, 20:
			n.freezeAtNextLoad.Store(true)
		case 1:
			n.gate.unfreeze()
		case 2:
			n.logView.Disconnect()
		case 3:
			n.logView.Heal()
		case 4:
			s.mesh.setIsolated(vm, true)
		case 5:
			s.mesh.setIsolated(vm, false)
		case 6:
			s.log.Faults().Set(faults.Settings{Outage: rng.Intn(2) == 0, LoseProbability: rng.Float64() / 2, SlowMS: int64(rng.Intn(300))})
		case 7:
			s.log.Faults().Set(faults.Settings{})
		case 8:
			e.SetFaults(engineserver.Faults{
				DropStreamsAfter: rng.Intn(8), LoseStreamAnswers: rng.Intn(2), LoseOrderAnswers: rng.Intn(2),
				DelayOrders: rng.Intn(3), DelayOrdersMS: int64(rng.Intn(4000)), ForeignChunkPosition: uint64(rng.Intn(6)),
			})
		case 9:
			e.Restart()
			s.setDraining(address, false)
		case 10:
			s.booking.SetFaults(serviceserver.Faults{LoseAnswers: rng.Intn(3), DropBeforeEffect: rng.Intn(2), SlowMS: int64(rng.Intn(800))})
		case 11:
			if n.leaving.Load() {
				continue
			}
			n.gate.unfreeze()
			n.kill()
			restarts++
			time.Sleep(time.Second)
			s.start(vm, fmt.Sprint(vm, "-", restarts))
		case 12:
			s.mesh.setPartition([]string{"v-a", "v-b"}[rng.Intn(2)], true)
		case 13:
			s.mesh.setPartition("", false)
		case 14:
			go s.changeContract(vm, fmt.Sprint("chaos", rng.Int()), 1+rng.Intn(2))
		case 15:
			leaving := []string{"a1", "b2"}[rng.Intn(2)]
			s.list.Faults().Set(faults.Settings{Outage: rng.Intn(2) == 0})
			s.list.MarkLeaving(leaving)
			s.setDraining("engine-"+leaving, true)
		case 16:
			s.relistEngines()
			s.store.Faults().Set(faults.Settings{SlowFactor: float64(1 + rng.Intn(6))})
		case 17:
			if n.leaving.Swap(true) {
				continue
			}
			restarts++
			incarnation := fmt.Sprint(vm, "-", restarts)
			stops.Go(func() { s.stop(n); s.start(vm, incarnation) })
		case 18:
			s.list.Faults().Set(faults.Settings{})
		}
		time.Sleep(pause)
	}
}

// changeContract publishes a different number of replicas of the model "clerk" and
// ignores the outcome.
func (s *system) changeContract(vm, change string, clerkReplicas int) {
	n := s.node(vm)
	ctx, cancel := context.WithTimeout(n.processCtx, 5*time.Second)
	defer cancel()
	sections, err := contract.Split(chaosContract(clerkReplicas))
	if err != nil {
		s.t.Error(err)
	}
	_, _ = n.Operators().Publish(ctx, operator.PublishRequest{
		ChangeID: change, Customer: "trinidad", Base: s.version(vm), Sections: sections,
	})
}

// relistEngines puts the engines on the VM list as not leaving and ends their draining.
func (s *system) relistEngines() {
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		s.setDraining("engine-"+name, false)
		s.list.Put(vmlist.VM{ID: name, Kind: vmlist.KindEngine, Address: "engine-" + name, Domain: name[:1]})
	}
}

// heal ends all faults.
func (s *system) heal() {
	s.mesh.setPartition("", false)
	s.list.Faults().Set(faults.Settings{})
	s.relistEngines()
	s.store.Faults().Set(faults.Settings{})
	s.log.Faults().Set(faults.Settings{})
	s.booking.SetFaults(serviceserver.Faults{})
	for _, vm := range allVMs {
		n := s.node(vm)
		n.freezeAtNextLoad.Store(false)
		n.gate.unfreeze()
		n.logView.Heal()
		s.mesh.setIsolated(vm, false)
	}
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		s.engines.Engine("engine-" + name).SetFaults(engineserver.Faults{})
	}
}

// watchVersions records a violation if an entry VM returns to an older contract.
func (s *system) watchVersions(ctx context.Context) {
	newest := make(map[*entry]state.Revision)
	for ctx.Err() == nil {
		for _, vm := range allVMs {
			n := s.node(vm)
			got, err := n.Operators().Contract(ctx, "trinidad")
			if err != nil {
				got.Version = 0
			}
			if got.Version < newest[n] {
				s.errorf("%s went back from version %d to %d", vm, newest[n], got.Version)
			}
			newest[n] = got.Version
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkFinalState checks the invariants of the whole run, and that the healed system
// serves requests.
func (s *system) checkFinalState() {
	for i := range 20 {
		if ran := s.countBookings(fmt.Sprint("key", i)); ran > 1 {
			s.errorf("booking key%d ran %d times", i, ran)
		}
	}
	for unit, limit := range map[string]int{"clerk": 2, "m0": 1, "m1": 1, "m2": 1, "m3": 1, "m4": 1, "m5": 1} {
		if n := s.maxReplicasOf(unit); n > limit {
			s.errorf("%d replicas of %s at one time, at most %d were decided", n, unit, limit)
		}
	}
	s.checkMemory()
	s.t.Logf("outcomes: %v", s.outcomes)
	for _, vm := range allVMs {
		if a := s.generate(vm, "clerk", "after "+vm, 8); !a.isComplete("clerk", "after "+vm, 8) {
			s.errorf("healed, %s answers %q, %v", vm, a.text, a.err)
		}
	}
}
