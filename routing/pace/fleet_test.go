package pace_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/routing"
	"bergamotreel/routing/pace"
)

const (
	fleetStep, sumInterval = 5 * time.Millisecond, 400 * time.Millisecond
	// An engine of speed 1 writes an event in eventTime, a seventh of the time 2.5 times more slowly, and each
	// new prompt holds the running streams up for prefillTime.
	eventTime, prefillTime   = 47 * time.Millisecond, 12 * time.Millisecond
	slowPeriod, slowInterval = 600 * time.Millisecond, 4200 * time.Millisecond
	slotsOfEngine            = 12
	targetGap                = 200 * time.Millisecond
)

var fleetStart = time.Unix(1000, 0)

// fleet simulates VMs that send streams to engines of three speeds.
type fleet struct {
	rng     *rand.Rand
	now     time.Time
	routers []*routing.Router
	engines []*fleetEngine
	paces   *pace.Table // what all VMs measure
	// sums are what the VMs send, one each sumInterval. They arrive reportAge later, or not at all if that is 0.
	sums      [][]pace.Counts
	reportAge time.Duration
	late, all map[int]int // streams by number of events
	maxLoad   int
}

type fleetEngine struct {
	name    string
	started int64
	speed   float64
	phase   time.Duration
	stepEnd time.Time
	running []*stream
	queue   []*stream
	own     []int   // in flight, by VM; the last one is the sum
	past    [][]int // own, newest last
	sent    int
}

type stream struct {
	vm, events, left int
	sent, last       time.Time
	target           time.Duration
	late             bool
}

func newFleet(vms int, reportAge time.Duration) *fleet {
	f := &fleet{rng: rand.New(rand.NewSource(int64(vms))), now: fleetStart, reportAge: reportAge, paces: pace.NewTable(), late: make(map[int]int), all: make(map[int]int)}
	for i := range vms {
		f.routers = append(f.routers, routing.New(routing.Config{}, rand.New(rand.NewSource(int64(i)))))
	}
	for i := range max(12, vms/2) {
		f.engines = append(f.engines, &fleetEngine{name: fmt.Sprint("e", i), started: 1, speed: []float64{0.6, 1, 1.6}[i%3],
			phase: time.Duration(f.rng.Int63n(int64(slowInterval))), own: make([]int, vms+1)})
	}
	return f
}

// run sends streams for a while, at a rate that needs the given part of the slots if engines are used evenly.
func (f *fleet) run(length time.Duration, load float64) {
	const meanEvents, meanStep = 18.5, 0.068
	rate := load * float64(len(f.engines)*slotsOfEngine) / (meanEvents * meanStep)
	next := f.now
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		for _, e := range f.engines {
			f.advance(e)
		}
		for ; next.Before(f.now); next = next.Add(time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))) {
			f.send()
		}
		f.exchange()
	}
}

// advance ends the engine's step if it is over, which writes an event of each running stream.
func (f *fleet) advance(e *fleetEngine) {
	e.past = append(e.past[max(0, len(e.past)-100):], slices.Clone(e.own))
	if f.now.Before(e.stepEnd) {
		return
	}
	key := pace.Key{Engine: e.name, Started: e.started, Model: "m"}
	kept := e.running[:0]
	for _, s := range e.running {
		d, limit := f.now.Sub(s.last), targetGap
		if s.left == s.events {
			limit = s.target
			f.paces.ObserveFirstEvent(f.now, key, d)
		} else {
			f.paces.ObserveGap(f.now, key, d, 1)
		}
		s.late = s.late || d > limit
		s.last = f.now
		if s.left--; s.left > 0 {
			kept = append(kept, s)
			continue
		}
		e.own[s.vm]--
		e.own[len(f.routers)]--
		f.routers[s.vm].RecordFinish(f.now, e.name, routing.Result{OK: true, Pool: "m", ServiceTime: f.now.Sub(s.sent)})
		f.all[s.events]++
		if s.late {
			f.late[s.events]++
		}
	}
	e.running = kept
	started := 0
	for ; len(e.running) < slotsOfEngine && len(e.queue) > 0; started++ {
		e.running, e.queue = append(e.running, e.queue[0]), e.queue[1:]
	}
	factor := e.speed
	if (f.now.Sub(fleetStart)+e.phase)%slowInterval < slowPeriod {
		factor *= 2.5
	}
	if len(e.running) > 0 {
		e.stepEnd = f.now.Add(time.Duration(factor * float64(eventTime+time.Duration(started)*prefillTime)))
	}
}

// send has a VM send a stream of 31 events or of 5.
func (f *fleet) send() {
	s := &stream{vm: f.rng.Intn(len(f.routers)), events: 31, target: 400 * time.Millisecond, sent: f.now, last: f.now}
	switch draw := f.rng.Float64(); {
	case draw < 0.46:
		s.events, s.target = 5, 300*time.Millisecond
	case draw < 0.62:
		s.target = 2500 * time.Millisecond
	}
	s.left = s.events
	query := routing.Query{Pool: "m", Domain: fmt.Sprint(s.vm % 4), Pace: pace.Targets{FirstEventDue: f.now.Add(s.target), Gap: targetGap, Events: float64(s.events)}}
	choice, ok := f.routers[s.vm].Pick(f.now, query, f.candidates(s.vm))
	if !ok {
		return // all are full, which doesn't happen at half load
	}
	e := f.engines[slices.IndexFunc(f.engines, func(e *fleetEngine) bool { return e.name == choice.Engine })]
	f.routers[s.vm].RecordStart(f.now, e.name, "m", nil)
	e.own[s.vm]++
	e.own[len(f.routers)]++
	e.sent++
	e.queue = append(e.queue, s)
	f.maxLoad = max(f.maxLoad, len(e.running)+len(e.queue))
}

// candidates returns what a VM knows of the engines: counts that are 50 ms old in a fleet of 8, and 400 ms in one
// with relays.
func (f *fleet) candidates(vm int) []routing.Candidate {
	lag, age := 50*time.Millisecond, time.Duration(0)
	if len(f.routers) > 12 {
		lag = 400 * time.Millisecond
		age = lag
	}
	var out []routing.Candidate
	for i, e := range f.engines {
		past := e.past[max(0, len(e.past)-1-int(lag/fleetStep))]
		out = append(out, routing.Candidate{Engine: e.name, Domain: fmt.Sprint(i / 3 % 4), Slots: slotsOfEngine, Ready: true, PeersInFlightAge: age,
			PeersInFlight: past[len(f.routers)] - past[vm], Pace: f.paces.Estimate(f.now, pace.Key{Engine: e.name, Started: e.started, Model: "m"})})
	}
	return out
}

// exchange sends a sum and applies the one that arrives.
func (f *fleet) exchange() {
	if f.reportAge == 0 || f.now.Sub(fleetStart)%sumInterval != 0 {
		return
	}
	f.sums = append(f.sums, f.paces.Report(f.now))
	if i := len(f.sums) - 1 - int(f.reportAge/sumInterval); i >= 0 {
		f.paces.SetFleet(f.now, f.sums[i])
	}
}

func (f *fleet) String() string {
	return fmt.Sprintf("%d VMs, late of 31 events %.3f, of 5 %.3f, largest load %d", len(f.routers), f.lateShare(31), f.lateShare(5), f.maxLoad)
}

// lateShare returns the share of late streams with the given number of events.
func (f *fleet) lateShare(events int) float64 {
	return float64(f.late[events]) / float64(f.all[events])
}

// Load patterns: engines of three speeds with slow periods at half load, then slow ones that start anew, also with
// reports two seconds old. Guards against long streams on engines that will miss their gap target while others
// would keep it, and against VMs that all choose the same engines by the same numbers.
func TestEnginesOfThreeSpeedsAtHalfLoad(t *testing.T) {
	for _, vms := range []int{8, 62, 300} {
		without := newFleet(vms, 0)
		without.run(25*time.Second, 0.5)
		t.Log("without", without)
		for _, age := range []time.Duration{800 * time.Millisecond, 2 * time.Second} {
			with := newFleet(vms, age)
			with.run(25*time.Second, 0.5)
			t.Log("reports of age", age, with)
			testkit.That(t, with.lateShare(31) < without.lateShare(31)/2, "%v; without %v", with, without)
			testkit.That(t, with.maxLoad <= 2*slotsOfEngine, "herding: %v", with)
			share := with.restartSlowEngines()
			testkit.That(t, share > 0.2, "engines that start anew get %.2f of the streams", share)
		}
	}
}

// restartSlowEngines replaces the third of the engines that is slow by fast ones under the same names. It returns the
// share of the streams that they get in four seconds.
func (f *fleet) restartSlowEngines() float64 {
	sent := make([]int, 3)
	for i, e := range f.engines {
		if sent[i%3] -= e.sent; i%3 == 2 {
			e.started, e.speed = 2, 0.6
		}
	}
	f.run(4*time.Second, 0.5)
	for i, e := range f.engines {
		sent[i%3] += e.sent
	}
	return float64(sent[2]) / float64(sent[0]+sent[1]+sent[2])
}
