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
	chaosSeeds = flag.Int("chaos.seeds", 12, "schedules of TestChaos")
	twinSeeds  = flag.Int("chaos.twinseeds", 60, "schedules that a naive twin gets at most")
	chaosFirst = flag.Int64("chaos.first", 1, "first seed of TestChaos")
)

const (
	chaosModels = 6
	// chaosTime is the virtual time in which faults and requests come, calmTime
	// what the system then gets to recover.
	chaosTime = 60 * time.Second
	calmTime  = 40 * time.Second
	// graceAfterWait is how long after its longest wait a request may still get
	// its final answer: an answer already streaming is not cut off.
	graceAfterWait = 15 * time.Second
)

// chaosText is the contract with several models that together exceed the
// engines, each with one replica but for the clerk's.
func chaosText(clerks int) string {
	var b strings.Builder
	b.WriteString(text(clerks))
	for i := range chaosModels {
		fmt.Fprintf(&b, "[model \"m%d\"]\ncheckpoint = m%d:v1\nmemory = 16GB\nmax_replicas = 1\nmax_wait = 20s\n", i, i)
	}
	return b.String()
}

// Faults of all kinds come at random moments, alone and together, while callers
// ask and book at random entry VMs. Whatever happens: each caller gets the whole
// answer to its own request or a refusal in time, "not run" is true, a booking
// runs at most once, no engine is overcommitted, no model has more replicas than
// decided, an engine that leaves gets no new work after a few seconds, a planned
// stop cuts nobody off, and no entry VM goes back to an older contract.
func TestChaos(t *testing.T) {
	for seed := *chaosFirst; seed < *chaosFirst+int64(*chaosSeeds); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { inChaos(t, seed, ours) })
	}
}

// chaosTwins are naive versions, each with what the breaches of its promises say.
var chaosTwins = map[twin][]string{
	ownLoads: {"replicas of", "overcommits"}, noDeadline: {"first token after"}, noPosition: {"wrong answer"},
	unknownIsNo: {"but it ran"}, noClaims: {"times"}, listOnly: {"leaves since"}, noShutdown: {"cut off by a planned stop"},
}

// Under the same schedules each naive version breaks the promise that its
// missing safeguard is for: else TestChaos would prove nothing of it.
func TestChaosBreaksNaiveTwins(t *testing.T) {
	for version, breaches := range chaosTwins {
		t.Run(string(version), func(t *testing.T) {
			left := slices.Clone(breaches)
			for seed := *chaosFirst; seed < *chaosFirst+int64(*twinSeeds); seed++ {
				found := strings.Join(inChaos(t, seed, version).breaches, "\n")
				left = slices.DeleteFunc(left, func(breach string) bool { return strings.Contains(found, breach) })
				if len(left) == 0 {
					return
				}
			}
			t.Errorf("the naive twin keeps its promise in all schedules: none of %q", left)
		})
	}
}

// inChaos runs one schedule against one version of the system.
func inChaos(t *testing.T, seed int64, version twin) *system {
	var s *system
	synctest.Test(t, func(t *testing.T) {
		s = newSystem(t, seed%2 == 0, version)
		s.chaos(seed)
		if version == ours {
			s.judge()
		}
	})
	return s
}

func (s *system) chaos(seed int64) {
	rng := rand.New(rand.NewSource(seed))
	s.setHold(func(vm, _ string, order engine.Order) bool {
		return order.Action == engine.ActionLoad && s.node(vm).trap.Swap(false)
	})
	s.ready()
	text := chaosText(2)
	if s.twin == noDeadline {
		text = strings.ReplaceAll(text, "max_wait = 20s", "max_wait = 10m")
	}
	if first := s.publish("v-a1", "c1", text, 0); first.Verdict != state.VerdictApplied {
		s.t.Fatalf("publish: %+v", first)
	}
	time.Sleep(time.Second)
	ctx, stop := context.WithCancel(s.ctx)
	var duties, requests, stops sync.WaitGroup
	duties.Go(func() { s.watchVersions(ctx) })
	duties.Go(func() { s.causeFaults(ctx, rng, &stops) })
	callers := rand.New(rand.NewSource(seed + 1000))
	for begun, i := time.Now(), 0; time.Since(begun) < chaosTime; i++ {
		time.Sleep(time.Duration(callers.Intn(400)) * time.Millisecond)
		at := allVMs[callers.Intn(len(allVMs))]
		if s.node(at).leaving.Load() {
			continue // the balancer sends nobody there
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
	duties.Wait()
	s.heal()
	stops.Wait()
	time.Sleep(calmTime)
	requests.Wait()
	s.checkAfter()
}

func (s *system) checkAnswer(at, model, prompt string) {
	a := s.ask(at, model, prompt, 12)
	if a.took > 20*time.Second+graceAfterWait {
		s.errorf("%s at %s: final answer after %v", prompt, at, a.took)
	}
	if a.first > 21*time.Second {
		s.errorf("%s at %s: first token after %v", prompt, at, a.first)
	}
	if errors.Is(a.err, context.Canceled) {
		return // the entry VM was killed: the connection broke
	}
	s.count(a.err)
	if a.err == nil {
		if !a.whole(model, prompt, 12) {
			s.errorf("%s at %s: wrong answer %q", prompt, at, a.text)
		}
		return
	}
	refused := refusal.FromError(a.err)
	if refused.Ran == refusal.RanNo && s.ran(at+"/"+prompt) {
		s.errorf("%s at %s: told %v, but it ran", prompt, at, refused)
	}
}

// ran tells whether any engine began the request.
func (s *system) ran(id string) bool {
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		if s.engines.Engine("engine-" + name).Records().Ran[id] > 0 {
			return true
		}
	}
	return false
}

func (s *system) checkBooking(at, key string) {
	begun, gate := time.Now(), s.node(at).gate
	frozen := gate.frozenTime()
	_, err := s.book(at, key)
	if took := time.Since(begun) - gate.frozenTime() + frozen; took > 8*time.Second {
		s.errorf("booking %s at %s: final answer after %v", key, at, took)
	}
	if !errors.Is(err, context.Canceled) {
		s.count(err)
	}
	// Other arrivals of the key may run it from now on; at this moment it must
	// not have run.
	if err != nil && refusal.FromError(err).Ran == refusal.RanNo && s.bookings(key) > 0 {
		s.errorf("booking %s at %s: told %v, but it ran", key, at, err)
	}
}

// causeFaults moves one fault switch after another until ctx ends.
func (s *system) causeFaults(ctx context.Context, rng *rand.Rand, stops *sync.WaitGroup) {
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
			n.trap.Store(true)
		case 1:
			n.gate.open()
		case 2:
			n.view.Cut()
		case 3:
			n.view.Heal()
		case 4:
			s.mesh.separate(vm, true)
		case 5:
			s.mesh.separate(vm, false)
		case 6:
			s.log.Faults().Set(faults.Settings{Outage: rng.Intn(2) == 0, LoseProbability: rng.Float64() / 2, SlowMS: int64(rng.Intn(300))})
		case 7:
			s.log.Faults().Set(faults.Settings{})
		case 8:
			e.SetFaults(engineserver.Faults{
				DropStreamsAfter: rng.Intn(8), LoseStreamAnswers: rng.Intn(2), LoseOrderAnswers: rng.Intn(2),
				DelayOrders: rng.Intn(3), DelayOrdersMS: int64(rng.Intn(4000)), CrossChunk: uint64(rng.Intn(6)),
			})
		case 9:
			e.Restart()
			s.leave(address, false)
		case 10:
			s.booking.SetFaults(serviceserver.Faults{LoseAnswers: rng.Intn(3), DropBefore: rng.Intn(2), SlowMS: int64(rng.Intn(800))})
		case 11:
			if n.leaving.Load() {
				continue
			}
			n.gate.open()
			n.kill()
			restarts++
			time.Sleep(time.Second)
			s.start(vm, fmt.Sprint(vm, "-", restarts))
		case 12:
			s.mesh.part([]string{"v-a", "v-b"}[rng.Intn(2)], true)
		case 13:
			s.mesh.part("", false)
		case 14:
			go s.changeContract(vm, fmt.Sprint("chaos", rng.Int()), 1+rng.Intn(2))
		case 15:
			leaving := []string{"a1", "b2"}[rng.Intn(2)]
			s.list.Faults().Set(faults.Settings{Outage: rng.Intn(2) == 0})
			s.list.MarkLeaving(leaving)
			s.leave("engine-"+leaving, true)
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

// changeContract publishes another number of the clerk's replicas, whatever
// comes of it.
func (s *system) changeContract(vm, change string, clerks int) {
	n := s.node(vm)
	ctx, cancel := context.WithTimeout(n.alive, 5*time.Second)
	defer cancel()
	sections, err := contract.Split(chaosText(clerks))
	if err != nil {
		s.t.Error(err)
	}
	_, _ = n.Operators().Publish(ctx, operator.PublishRequest{
		ChangeID: change, Customer: "trinidad", Base: s.version(vm), Sections: sections,
	})
}

// relistEngines lists the engines as staying.
func (s *system) relistEngines() {
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		s.leave("engine-"+name, false)
		s.list.Put(vmlist.VM{ID: name, Kind: vmlist.KindEngine, Address: "engine-" + name, Domain: name[:1]})
	}
}

// heal ends all faults.
func (s *system) heal() {
	s.mesh.part("", false)
	s.list.Faults().Set(faults.Settings{})
	s.relistEngines()
	s.store.Faults().Set(faults.Settings{})
	s.log.Faults().Set(faults.Settings{})
	s.booking.SetFaults(serviceserver.Faults{})
	for _, vm := range allVMs {
		n := s.node(vm)
		n.trap.Store(false)
		n.gate.open()
		n.view.Heal()
		s.mesh.separate(vm, false)
	}
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		s.engines.Engine("engine-" + name).SetFaults(engineserver.Faults{})
	}
}

// watchVersions fails the test if an entry VM goes back to an older contract.
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

// checkAfter checks what must hold over the whole run, and that the healed
// system serves again.
func (s *system) checkAfter() {
	for i := range 20 {
		if ran := s.bookings(fmt.Sprint("key", i)); ran > 1 {
			s.errorf("booking key%d ran %d times", i, ran)
		}
	}
	for unit, limit := range map[string]int{"clerk": 2, "m0": 1, "m1": 1, "m2": 1, "m3": 1, "m4": 1, "m5": 1} {
		if n := s.mostReplicas(unit); n > limit {
			s.errorf("%d replicas of %s at one time, at most %d were decided", n, unit, limit)
		}
	}
	s.checkMemory()
	s.t.Logf("ends: %v", s.ends)
	for _, vm := range allVMs {
		if a := s.ask(vm, "clerk", "after "+vm, 8); !a.whole("clerk", "after "+vm, 8) {
			s.errorf("healed, %s answers %q, %v", vm, a.text, a.err)
		}
	}
}
