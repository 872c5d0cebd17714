package routing

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

const (
	weightedRouters = 195
	weightedSlots   = 16
	weightedStep    = 5 * time.Millisecond
	// countAge is the age of the counts of other VMs' requests when they arrive, and
	// countInterval the time between two of them.
	countAge, countInterval = 400 * time.Millisecond, 400 * time.Millisecond
	weightedServiceTime     = 1200 * time.Millisecond
	// maxTimelyWait is the longest wait of a request that is not late.
	maxTimelyWait = 150 * time.Millisecond
)

// weightedSimulation simulates many routers and the few engines that hold a busy model, in
// virtual time. An engine runs weightedSlots requests at once and queues the others.
type weightedSimulation struct {
	rng      *rand.Rand
	now      time.Time
	step     int
	routers  []*Router
	inFlight [][]int // by router and engine
	engines  []simulatedEngine
	past     [][]int // requests in flight of all routers by step and engine
	waiting  []simulatedRequest
	// age is the PeersInFlightAge that the routers are given.
	age                   time.Duration
	pick                  func(r *Router, now time.Time, list []Candidate) int
	served, late, maxLoad int
}

type simulatedEngine struct {
	ends      []time.Time // of the running requests
	routers   []int
	queue     []simulatedRequest
	startStep int
}

type simulatedRequest struct {
	arrived time.Time
	router  int
}

// runWeighted sends rate requests a second for twenty seconds. Some engines start at once and
// the others one after the other, like replicas of a model with rising demand.
func runWeighted(seed int64, engines int, rate float64, age time.Duration, pick func(*Router, time.Time, []Candidate) int) *weightedSimulation {
	w := &weightedSimulation{rng: rand.New(rand.NewSource(seed)), now: start, age: age, pick: pick, engines: make([]simulatedEngine, engines)}
	for i := range weightedRouters {
		w.routers = append(w.routers, New(Config{}, rand.New(rand.NewSource(seed+int64(i)))))
		w.inFlight = append(w.inFlight, make([]int, engines))
	}
	for i := range w.engines {
		w.engines[i].startStep = max(0, i-engines/2) * int(2*time.Second/weightedStep)
	}
	for end := start.Add(20 * time.Second); w.now.Before(end); w.now, w.step = w.now.Add(weightedStep), w.step+1 {
		for i := range w.engines {
			w.advanceEngine(i)
		}
		w.past = append(w.past, w.loads())
		for range poisson(w.rng, rate*weightedStep.Seconds()) {
			w.waiting = append(w.waiting, simulatedRequest{w.now, w.rng.Intn(weightedRouters)})
		}
		w.dispatch()
	}
	return w
}

func poisson(rng *rand.Rand, mean float64) (count int) {
	for at := rng.ExpFloat64(); at < mean; at += rng.ExpFloat64() {
		count++
	}
	return count
}

func (w *weightedSimulation) loads() []int {
	loads := make([]int, len(w.engines))
	for i := range w.engines {
		loads[i] = len(w.engines[i].ends) + len(w.engines[i].queue)
		w.maxLoad = max(w.maxLoad, loads[i])
	}
	return loads
}

// advanceEngine ends the finished requests of an engine and starts queued ones.
func (w *weightedSimulation) advanceEngine(i int) {
	e := &w.engines[i]
	for at := 0; at < len(e.ends); {
		if e.ends[at].After(w.now) {
			at++
			continue
		}
		router := e.routers[at]
		e.ends = slices.Delete(e.ends, at, at+1)
		e.routers = slices.Delete(e.routers, at, at+1)
		w.inFlight[router][i]--
		w.routers[router].RecordFinish(w.now, engineName(i), Result{OK: true, Pool: "m", TimeToFirstToken: 30 * time.Millisecond, ServiceTime: weightedServiceTime})
	}
	for len(e.queue) > 0 && len(e.ends) < weightedSlots {
		request := e.queue[0]
		e.queue = e.queue[1:]
		e.ends = append(e.ends, w.now.Add(time.Duration(w.rng.ExpFloat64()*float64(weightedServiceTime))))
		e.routers = append(e.routers, request.router)
		w.served++
		if w.now.Sub(request.arrived) > maxTimelyWait {
			w.late++
		}
	}
}

// dispatch has the router of each waiting request pick an engine.
func (w *weightedSimulation) dispatch() {
	kept := w.waiting[:0]
	for _, request := range w.waiting {
		list := w.candidates(request.router)
		i := w.pick(w.routers[request.router], w.now, list)
		if i < 0 {
			kept = append(kept, request)
			continue
		}
		w.routers[request.router].RecordStart(w.now, engineName(i), "m", nil)
		w.inFlight[request.router][i]++
		w.engines[i].queue = append(w.engines[i].queue, request)
	}
	w.waiting = kept
}

func (w *weightedSimulation) candidates(router int) []Candidate {
	interval, lag := int(countInterval/weightedStep), int(countAge/weightedStep)
	// Routers get the counts at different times.
	countStep := w.step - lag - (w.step+router*7)%interval
	var list []Candidate
	for i := range w.engines {
		if w.step < w.engines[i].startStep {
			continue
		}
		c := Candidate{Engine: engineName(i), Domain: "a", Slots: weightedSlots, Ready: true, PeersInFlightAge: w.age}
		if countStep >= 0 {
			c.PeersInFlight = w.past[countStep][i]
		}
		list = append(list, c)
	}
	return list
}

// pickWithRouter picks an engine by Router.Pick and returns its index, or -1 without one.
func pickWithRouter(r *Router, now time.Time, list []Candidate) int {
	query := testQuery
	query.Pool = "m"
	choice, ok := r.Pick(now, query, list)
	if !ok {
		return -1
	}
	return slices.IndexFunc(list, func(c Candidate) bool { return c.Engine == choice.Engine })
}

// pickRandom picks any engine at random.
func pickRandom(r *Router, _ time.Time, list []Candidate) int { return r.rng.Intn(len(list)) }

// Guards against requests that are late because 195 entry VMs choose among five to seven
// engines by counts half a second old. If they take the counts for recent, all of them fill
// the same engine and hold requests back from engines with free slots. With the weighted draw
// and the estimate of completed requests, fewer are late than with the power of two choices,
// and fewer than with a random choice.
func TestWeightedDrawWithOutdatedCounts(t *testing.T) {
	for _, load := range []struct {
		engines int
		part    float64
		// overloaded is whether the engines are too few for a while. Requests then wait on
		// any engine, and a random choice is as good.
		overloaded bool
	}{{5, 0.75, false}, {7, 0.85, false}, {5, 0.95, true}} {
		t.Run(fmt.Sprint(load.engines, " ", load.part), func(t *testing.T) {
			rate := load.part * float64(load.engines*weightedSlots) / weightedServiceTime.Seconds()
			lateShare := func(age time.Duration, pick func(*Router, time.Time, []Candidate) int) (late float64, maxLoad int) {
				for seed := range int64(3) {
					w := runWeighted(seed, load.engines, rate, age, pick)
					late += float64(w.late+len(w.waiting)) / float64(w.served+len(w.waiting)) / 3
					maxLoad = max(maxLoad, w.maxLoad)
				}
				return late, maxLoad
			}
			weighted, weightedMax := lateShare(countAge+countInterval/2, pickWithRouter)
			powerOfTwoChoices, powerOfTwoChoicesMax := lateShare(0, pickWithRouter)
			random, randomMax := lateShare(0, pickRandom)
			t.Logf("late share and largest load of an engine: weighted %.3f %d, power of two choices by outdated counts %.3f %d, random %.3f %d",
				weighted, weightedMax, powerOfTwoChoices, powerOfTwoChoicesMax, random, randomMax)
			testkit.That(t, weighted < powerOfTwoChoices, "weighted %.3f late, power of two choices by outdated counts %.3f", weighted, powerOfTwoChoices)
			testkit.That(t, load.overloaded || weighted < random, "weighted %.3f late, random %.3f", weighted, random)
		})
	}
}
