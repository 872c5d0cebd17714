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
	herdRouters = 9
	herdEngines = 20
	herdSlots   = 16
	herdStep    = 10 * time.Millisecond
	herdReport  = 50  // steps between an engine's reports
	herdLag     = 200 // steps until a report is seen
	herdDigest  = 50  // steps until the other routers' in-flight is seen
	herdService = 6 * time.Second
)

// herd is routers that choose among engines by late reports, in virtual time.
type herd struct {
	rng     *rand.Rand
	now     time.Time
	routers [herdRouters]*Router
	// past holds each step's requests in flight by router and engine.
	past     [][herdRouters][herdEngines]int
	inFlight [herdRouters][herdEngines]int
	ends     map[time.Time][][2]int
	// ratios are max ÷ mean of the engines' requests, sampled; over is the
	// requests that were sent to a full engine.
	ratios     []float64
	sent, over int
}

func engineName(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

func load(all [herdRouters][herdEngines]int, engine int) (sum int) {
	for router := range all {
		sum += all[router][engine]
	}
	return sum
}

func (h *herd) candidates(router int) []Candidate {
	step := len(h.past) - 1
	report, digest := step-herdLag-(step-herdLag)%herdReport, step-herdDigest
	list := make([]Candidate, herdEngines)
	for i := range list {
		list[i] = Candidate{Engine: engineName(i), Domain: "a", Slots: herdSlots, Ready: true}
		if report >= 0 {
			list[i].LoadKnown, list[i].Running = true, load(h.past[report], i)
			list[i].LoadReportedAt = start.Add(time.Duration(report) * herdStep)
		}
		if digest >= 0 {
			list[i].PeersInFlight = load(h.past[digest], i) - h.past[digest][router][i]
		}
	}
	return list
}

// runHerd sends as many requests as fill the given part of all slots.
func runHerd(part float64, pick func(r *Router, now time.Time, list []Candidate) int) *herd {
	h := &herd{rng: rand.New(rand.NewSource(1)), now: start, ends: map[time.Time][][2]int{}}
	for i := range h.routers {
		h.routers[i] = New(Config{}, rand.New(rand.NewSource(int64(i))))
	}
	perStep := part * herdEngines * herdSlots / herdService.Seconds() * herdStep.Seconds()
	for ; h.now.Before(start.Add(2 * time.Minute)); h.now = h.now.Add(herdStep) {
		h.past = append(h.past, h.inFlight)
		for _, at := range h.ends[h.now] {
			h.inFlight[at[0]][at[1]]--
			h.routers[at[0]].RecordFinish(h.now, engineName(at[1]), Result{OK: true, TimeToFirstToken: 300 * time.Millisecond})
		}
		if h.rng.Float64() < perStep {
			h.send(pick)
		}
		if len(h.past) > 2000 && len(h.past)%herdReport == 0 {
			h.sample()
		}
	}
	return h
}

func (h *herd) sample() {
	most, sum := 0, 0
	for i := range herdEngines {
		most, sum = max(most, load(h.inFlight, i)), sum+load(h.inFlight, i)
	}
	h.ratios = append(h.ratios, float64(most)*herdEngines/float64(sum))
}

func (h *herd) send(pick func(r *Router, now time.Time, list []Candidate) int) {
	router := h.rng.Intn(herdRouters)
	engine := pick(h.routers[router], h.now, h.candidates(router))
	if engine < 0 {
		return
	}
	h.sent++
	if load(h.inFlight, engine) >= herdSlots {
		h.over++
	}
	h.inFlight[router][engine]++
	h.routers[router].RecordStart(h.now, engineName(engine), "m", nil)
	end := h.now.Add(time.Duration(h.rng.ExpFloat64()*float64(herdService)).Truncate(herdStep) + herdStep)
	h.ends[end] = append(h.ends[end], [2]int{router, engine})
}

func pickOurs(r *Router, now time.Time, list []Candidate) int {
	choice, _ := r.Pick(now, testQuery, list)
	return slices.IndexFunc(list, func(c Candidate) bool { return c.Engine == choice.Engine })
}

// pickLeastReported is the naive twin.
func pickLeastReported(_ *Router, _ time.Time, list []Candidate) int {
	least := slices.MinFunc(list, func(a, b Candidate) int { return a.Running - b.Running })
	return slices.IndexFunc(list, func(c Candidate) bool { return c.Engine == least.Engine })
}

// Nine routers see the engines' loads two seconds late. By the reports alone all
// of them send to the engine that was least loaded then, until it is swamped and
// its callers wait, while others idle. Own and peers' requests in flight and the
// better of two random engines keep the fullest engine near the mean.
func TestRoutersDoNotHerd(t *testing.T) {
	mean := func(values []float64) (sum float64) {
		for _, v := range values {
			sum += v / float64(len(values))
		}
		return sum
	}
	for _, part := range []float64{0.5, 0.8} {
		ours, naive := runHerd(part, pickOurs), runHerd(part, pickLeastReported)
		t.Logf("load %.0f%%: max ÷ mean ours %.2f, least reported %.2f; sent to full engines ours %d of %d, least reported %d of %d",
			100*part, mean(ours.ratios), mean(naive.ratios), ours.over, ours.sent, naive.over, naive.sent)
		testkit.That(t, mean(ours.ratios) <= 1.4 && ours.over*10 <= naive.over,
			"load %.0f%%: the fullest engine has %.2f times the mean, %d sent to full ones", 100*part, mean(ours.ratios), ours.over)
		testkit.That(t, mean(naive.ratios) >= 2, "load %.0f%%: the naive twin does not herd: the model shows nothing", 100*part)
	}
}
