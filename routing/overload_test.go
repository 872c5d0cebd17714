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
	overloadRouters        = 9
	overloadEngines        = 20
	overloadSlots          = 16
	overloadStep           = 10 * time.Millisecond
	overloadReportSteps    = 50  // steps between an engine's reports
	overloadReportLagSteps = 200 // steps until a report is seen
	overloadDigestLagSteps = 50  // steps until the other routers' requests in flight are seen
	overloadServiceTime    = 6 * time.Second
)

// overloadSimulation simulates routers that choose among engines by late reports, in virtual
// time.
type overloadSimulation struct {
	rng     *rand.Rand
	now     time.Time
	routers [overloadRouters]*Router
	// past holds each step's requests in flight by router and engine.
	past     [][overloadRouters][overloadEngines]int
	inFlight [overloadRouters][overloadEngines]int
	ends     map[time.Time][][2]int
	// maxToMean holds samples of the ratio of the largest to the mean load of an engine.
	// sentToFull counts the requests that were sent to a full engine.
	maxToMean        []float64
	sent, sentToFull int
}

func engineName(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

func totalInFlight(all [overloadRouters][overloadEngines]int, engine int) (sum int) {
	for router := range all {
		sum += all[router][engine]
	}
	return sum
}

func (s *overloadSimulation) candidates(router int) []Candidate {
	step := len(s.past) - 1
	report, digest := step-overloadReportLagSteps-(step-overloadReportLagSteps)%overloadReportSteps, step-overloadDigestLagSteps
	list := make([]Candidate, overloadEngines)
	for i := range list {
		list[i] = Candidate{Engine: engineName(i), Domain: "a", Slots: overloadSlots, Ready: true}
		if report >= 0 {
			list[i].LoadKnown, list[i].Running = true, totalInFlight(s.past[report], i)
			list[i].LoadReportedAt = start.Add(time.Duration(report) * overloadStep)
		}
		if digest >= 0 {
			list[i].PeersInFlight = totalInFlight(s.past[digest], i) - s.past[digest][router][i]
		}
	}
	return list
}

// runOverload sends as many requests as occupy the given share of all slots.
func runOverload(share float64, pick func(r *Router, now time.Time, list []Candidate) int) *overloadSimulation {
	s := &overloadSimulation{rng: rand.New(rand.NewSource(1)), now: start, ends: map[time.Time][][2]int{}}
	for i := range s.routers {
		s.routers[i] = New(Config{}, rand.New(rand.NewSource(int64(i))))
	}
	perStep := share * overloadEngines * overloadSlots / overloadServiceTime.Seconds() * overloadStep.Seconds()
	for ; s.now.Before(start.Add(2 * time.Minute)); s.now = s.now.Add(overloadStep) {
		s.past = append(s.past, s.inFlight)
		for _, at := range s.ends[s.now] {
			s.inFlight[at[0]][at[1]]--
			s.routers[at[0]].RecordFinish(s.now, engineName(at[1]), Result{OK: true, TimeToFirstToken: 300 * time.Millisecond})
		}
		if s.rng.Float64() < perStep {
			s.send(pick)
		}
		if len(s.past) > 2000 && len(s.past)%overloadReportSteps == 0 {
			s.sample()
		}
	}
	return s
}

func (s *overloadSimulation) sample() {
	largest, sum := 0, 0
	for i := range overloadEngines {
		largest, sum = max(largest, totalInFlight(s.inFlight, i)), sum+totalInFlight(s.inFlight, i)
	}
	s.maxToMean = append(s.maxToMean, float64(largest)*overloadEngines/float64(sum))
}

func (s *overloadSimulation) send(pick func(r *Router, now time.Time, list []Candidate) int) {
	router := s.rng.Intn(overloadRouters)
	engine := pick(s.routers[router], s.now, s.candidates(router))
	if engine < 0 {
		return
	}
	s.sent++
	if totalInFlight(s.inFlight, engine) >= overloadSlots {
		s.sentToFull++
	}
	s.inFlight[router][engine]++
	s.routers[router].RecordStart(s.now, engineName(engine), "m", nil)
	end := s.now.Add(time.Duration(s.rng.ExpFloat64()*float64(overloadServiceTime)).Truncate(overloadStep) + overloadStep)
	s.ends[end] = append(s.ends[end], [2]int{router, engine})
}

func pickByRouter(r *Router, now time.Time, list []Candidate) int {
	choice, _ := r.Pick(now, testQuery, list)
	return slices.IndexFunc(list, func(c Candidate) bool { return c.Engine == choice.Engine })
}

// pickLeastReported is the naive variant: it picks the engine with the least reported load.
func pickLeastReported(_ *Router, _ time.Time, list []Candidate) int {
	least := slices.MinFunc(list, func(a, b Candidate) int { return a.Running - b.Running })
	return slices.IndexFunc(list, func(c Candidate) bool { return c.Engine == least.Engine })
}

// Guards against routers that overload one engine while others are idle. Nine routers
// see the engines' loads two seconds late; by the reports alone, all of them send to
// the engine that was least loaded then. The counts of their own and their peers'
// requests in flight, and the choice between two random engines (power of two choices),
// keep the load of the fullest engine near the mean.
func TestRoutersDoNotOverloadOneEngine(t *testing.T) {
	mean := func(values []float64) (sum float64) {
		for _, v := range values {
			sum += v / float64(len(values))
		}
		return sum
	}
	for _, share := range []float64{0.5, 0.8} {
		router, naive := runOverload(share, pickByRouter), runOverload(share, pickLeastReported)
		t.Logf("load %.0f%%: max ÷ mean: router %.2f, least reported %.2f; sent to full engines: router %d of %d, least reported %d of %d",
			100*share, mean(router.maxToMean), mean(naive.maxToMean), router.sentToFull, router.sent, naive.sentToFull, naive.sent)
		testkit.That(t, mean(router.maxToMean) <= 1.4 && router.sentToFull*10 <= naive.sentToFull,
			"load %.0f%%: the fullest engine has %.2f times the mean, %d sent to full ones", 100*share, mean(router.maxToMean), router.sentToFull)
		testkit.That(t, mean(naive.maxToMean) >= 2, "load %.0f%%: the naive variant does not overload an engine, so the test can't detect overload", 100*share)
	}
}
