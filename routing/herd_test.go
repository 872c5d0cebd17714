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
	herdRouters        = 9
	herdEngines        = 20
	herdSlots          = 16
	herdStep           = 10 * time.Millisecond
	herdReportSteps    = 50  // steps between an engine's reports
	herdReportLagSteps = 200 // steps until a report is seen
	herdDigestLagSteps = 50  // steps until the other routers' requests in flight are seen
	herdServiceTime    = 6 * time.Second
)

// herdSimulation simulates routers that choose among engines by late reports, in virtual
// time.
type herdSimulation struct {
	rng     *rand.Rand
	now     time.Time
	routers [herdRouters]*Router
	// past holds each step's requests in flight by router and engine.
	past     [][herdRouters][herdEngines]int
	inFlight [herdRouters][herdEngines]int
	ends     map[time.Time][][2]int
	// maxToMean holds samples of the ratio of the largest to the mean load of an engine.
	// sentToFull counts the requests that were sent to a full engine.
	maxToMean        []float64
	sent, sentToFull int
}

func engineName(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

func totalInFlight(all [herdRouters][herdEngines]int, engine int) (sum int) {
	for router := range all {
		sum += all[router][engine]
	}
	return sum
}

func (h *herdSimulation) candidates(router int) []Candidate {
	step := len(h.past) - 1
	report, digest := step-herdReportLagSteps-(step-herdReportLagSteps)%herdReportSteps, step-herdDigestLagSteps
	list := make([]Candidate, herdEngines)
	for i := range list {
		list[i] = Candidate{Engine: engineName(i), Domain: "a", Slots: herdSlots, Ready: true}
		if report >= 0 {
			list[i].LoadKnown, list[i].Running = true, totalInFlight(h.past[report], i)
			list[i].LoadReportedAt = start.Add(time.Duration(report) * herdStep)
		}
		if digest >= 0 {
			list[i].PeersInFlight = totalInFlight(h.past[digest], i) - h.past[digest][router][i]
		}
	}
	return list
}

// runHerd sends as many requests as occupy the given share of all slots.
func runHerd(share float64, pick func(r *Router, now time.Time, list []Candidate) int) *herdSimulation {
	h := &herdSimulation{rng: rand.New(rand.NewSource(1)), now: start, ends: map[time.Time][][2]int{}}
	for i := range h.routers {
		h.routers[i] = New(Config{}, rand.New(rand.NewSource(int64(i))))
	}
	perStep := share * herdEngines * herdSlots / herdServiceTime.Seconds() * herdStep.Seconds()
	for ; h.now.Before(start.Add(2 * time.Minute)); h.now = h.now.Add(herdStep) {
		h.past = append(h.past, h.inFlight)
		for _, at := range h.ends[h.now] {
			h.inFlight[at[0]][at[1]]--
			h.routers[at[0]].RecordFinish(h.now, engineName(at[1]), Result{OK: true, TimeToFirstToken: 300 * time.Millisecond})
		}
		if h.rng.Float64() < perStep {
			h.send(pick)
		}
		if len(h.past) > 2000 && len(h.past)%herdReportSteps == 0 {
			h.sample()
		}
	}
	return h
}

func (h *herdSimulation) sample() {
	largest, sum := 0, 0
	for i := range herdEngines {
		largest, sum = max(largest, totalInFlight(h.inFlight, i)), sum+totalInFlight(h.inFlight, i)
	}
	h.maxToMean = append(h.maxToMean, float64(largest)*herdEngines/float64(sum))
}

func (h *herdSimulation) send(pick func(r *Router, now time.Time, list []Candidate) int) {
	router := h.rng.Intn(herdRouters)
	engine := pick(h.routers[router], h.now, h.candidates(router))
	if engine < 0 {
		return
	}
	h.sent++
	if totalInFlight(h.inFlight, engine) >= herdSlots {
		h.sentToFull++
	}
	h.inFlight[router][engine]++
	h.routers[router].RecordStart(h.now, engineName(engine), "m", nil)
	end := h.now.Add(time.Duration(h.rng.ExpFloat64()*float64(herdServiceTime)).Truncate(herdStep) + herdStep)
	h.ends[end] = append(h.ends[end], [2]int{router, engine})
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
// requests in flight, and the better of two random engines, keep the load of the
// fullest engine near the mean.
func TestRoutersDoNotOverloadOneEngine(t *testing.T) {
	mean := func(values []float64) (sum float64) {
		for _, v := range values {
			sum += v / float64(len(values))
		}
		return sum
	}
	for _, share := range []float64{0.5, 0.8} {
		router, naive := runHerd(share, pickByRouter), runHerd(share, pickLeastReported)
		t.Logf("load %.0f%%: max ÷ mean: router %.2f, least reported %.2f; sent to full engines: router %d of %d, least reported %d of %d",
			100*share, mean(router.maxToMean), mean(naive.maxToMean), router.sentToFull, router.sent, naive.sentToFull, naive.sent)
		testkit.That(t, mean(router.maxToMean) <= 1.4 && router.sentToFull*10 <= naive.sentToFull,
			"load %.0f%%: the fullest engine has %.2f times the mean, %d sent to full ones", 100*share, mean(router.maxToMean), router.sentToFull)
		testkit.That(t, mean(naive.maxToMean) >= 2, "load %.0f%%: the naive variant does not overload an engine, so the simulation proves nothing", 100*share)
	}
}
