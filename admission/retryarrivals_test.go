package admission_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"bergamotreel/admission"
	"bergamotreel/internal/judge"
	"bergamotreel/internal/testkit"
)

const (
	simulatedPatience = 750 * time.Millisecond
	simulatedTimeout  = 5 * time.Second
)

// stopSimulation is a fleet whose backend servers answer with errors and stop now and then. What a stopped one is sent
// arrives when it goes on.
type stopSimulation struct {
	random   *rand.Rand
	now      time.Time
	slack    float64
	vms      []*simulatedVM
	stopped  []bool
	queued   [][]string // by backend server, the requests that arrive when it goes on
	history  judge.History
	pending  []timedCall
	retries  int
	requests float64 // per step
}

type timedCall struct {
	at time.Time
	f  func()
}

// simulatedVM is the state of one process.
type simulatedVM struct {
	budget    *admission.RetryBudget
	unsettled *admission.UnsettledAttempts
}

func newStopSimulation(seed int64) *stopSimulation {
	random := rand.New(rand.NewSource(seed))
	s := &stopSimulation{random: random, now: time.Unix(1000, 0), vms: make([]*simulatedVM, 1+random.Intn(30))}
	s.stopped = make([]bool, 2+random.Intn(14))
	s.queued = make([][]string, len(s.stopped))
	s.slack = float64(40 + 2*len(s.vms))
	s.requests = []float64{0.1, 0.3, 1}[random.Intn(3)]
	for i := range s.vms {
		s.restart(i)
	}
	return s
}

func (s *stopSimulation) restart(vm int) {
	budget := &admission.RetryBudget{Share: simulatedRetryShare, Slack: s.slack / float64(len(s.vms))}
	budget.Start(s.now)
	s.vms[vm] = &simulatedVM{budget, &admission.UnsettledAttempts{}}
}

// run plays a minute and a half. killsAll is whether all processes are killed once in each third of it.
func (s *stopSimulation) run(killsAll bool) {
	const step, length = 10 * time.Millisecond, 90 * time.Second
	started := s.now
	// The first one never stops. The others stop together, or each for itself.
	if stoppable := len(s.stopped) - 1; s.random.Intn(2) == 0 {
		s.stopAgainAndAgain(1, stoppable)
	} else {
		for i := range stoppable {
			s.stopAgainAndAgain(1+i, 1)
		}
	}
	kills := 0
	for ; s.now.Sub(started) < length; s.now = s.now.Add(step) {
		if killsAll && kills < 3 && s.now.Sub(started) > time.Duration(3*kills+2)*length/9 {
			kills++
			for vm := range s.vms {
				s.restart(vm)
			}
		}
		s.runDue()
		for n := s.requests; s.random.Float64() < n; n-- {
			s.request()
		}
	}
}

// after calls f once some time has passed.
func (s *stopSimulation) after(wait time.Duration, f func()) {
	s.pending = append(s.pending, timedCall{s.now.Add(wait), f})
}

// runDue makes the calls that are due.
func (s *stopSimulation) runDue() {
	pending := s.pending
	s.pending = nil
	for _, call := range pending {
		if s.now.Before(call.at) {
			s.pending = append(s.pending, call)
			continue
		}
		call.f()
	}
}

// stopAgainAndAgain stops some backend servers now and then.
func (s *stopSimulation) stopAgainAndAgain(first, count int) {
	s.after(time.Duration(15+s.random.Intn(10))*time.Second, func() {
		s.setStopped(first, count, true)
		s.after(time.Duration(2+s.random.Intn(25))*time.Second, func() {
			s.setStopped(first, count, false)
			s.stopAgainAndAgain(first, count)
		})
	})
}

func (s *stopSimulation) setStopped(first, count int, stopped bool) {
	for backend := first; backend < first+count; backend++ {
		s.stopped[backend] = stopped
		if stopped {
			continue
		}
		for _, id := range s.queued[backend] {
			s.arrive(id)
		}
		s.queued[backend] = nil
	}
}

func (s *stopSimulation) arrive(id string) {
	s.history.Arrivals = append(s.history.Arrivals, judge.Arrival{Request: id, At: s.now})
}

// send sends one attempt. It returns whether it was answered.
func (s *stopSimulation) send(vm *simulatedVM, arrivals *admission.RequestArrivals, id string, backend int) bool {
	if s.stopped[backend] {
		s.queued[backend] = append(s.queued[backend], id)
		return false
	}
	s.arrive(id)
	arrivals.Settle(s.now)
	vm.unsettled.SettleBefore(s.now, fmt.Sprint(backend), s.now)
	return true
}

// request has a VM forward one request. It fails, and is retried if the budget allows that.
func (s *stopSimulation) request() {
	id, n := fmt.Sprint(len(s.history.Outcomes)), s.random.Intn(len(s.vms))
	vm, backend := s.vms[n], s.random.Intn(len(s.stopped))
	s.history.Outcomes = append(s.history.Outcomes, judge.Outcome{Request: id, Sent: s.now})
	vm.budget.RecordRequest(s.now)
	arrivals := &admission.RequestArrivals{Budget: vm.budget}
	if s.send(vm, arrivals, id, backend) {
		if vm.budget.Reserve(s.now) {
			s.retry(vm, arrivals, id, false)
		}
		return
	}
	s.after(simulatedPatience, func() {
		if s.vms[n] == vm && vm.budget.CanDoubt(s.now) && vm.budget.Reserve(s.now) {
			vm.unsettled.Add(s.now, fmt.Sprint(backend), arrivals)
			s.retry(vm, arrivals, id, true)
		}
	})
}

// retry sends a reserved retry.
func (s *stopSimulation) retry(vm *simulatedVM, arrivals *admission.RequestArrivals, id string, doubtful bool) {
	backend := s.random.Intn(len(s.stopped))
	if vm.unsettled.Has(fmt.Sprint(backend)) {
		backend = 0 // it never stops
	}
	if !vm.budget.Spend(s.now) {
		if doubtful {
			vm.unsettled.Drop(arrivals)
		}
		return
	}
	s.retries++
	if !s.send(vm, arrivals, id, backend) {
		s.after(simulatedTimeout, func() { vm.unsettled.Add(s.now, fmt.Sprint(backend), arrivals) })
	}
}

// Guards against retries that are counted in one window and arrive in another, with those of that window: whatever
// their delays, and beside processes that are killed, the arrivals beyond the first stay within the fleet's bound.
func TestRetriesKeepBoundWhateverTheirDelay(t *testing.T) {
	// The part of a bound that operators state which is divided among budgets (internal/hosted).
	const ratio, divided = 0.2, 0.75
	retries, requests := 0, 0
	for seed := range int64(60) {
		for _, killsAll := range []bool{false, true} {
			s := newStopSimulation(seed)
			s.run(killsAll)
			slices.SortStableFunc(s.history.Arrivals, func(a, b judge.Arrival) int { return a.At.Compare(b.At) })
			bound := judge.RetryBound{Window: admission.DefaultRetryWindow, Ratio: 1.5 * simulatedRetryShare, Slack: s.slack}
			if killsAll {
				bound.Ratio, bound.Slack = ratio, s.slack/divided
			}
			violations := judge.CheckRetries(&s.history, bound)
			testkit.That(t, len(violations) == 0, "seed %d, %d VMs, all killed: %t: %v", seed, len(s.vms), killsAll, violations)
			retries, requests = retries+s.retries, requests+len(s.history.Outcomes)
		}
	}
	t.Logf("%d retries of %d requests", retries, requests)
	testkit.That(t, float64(retries) > float64(requests)*simulatedRetryShare/2, "%d of %d requests were retried", retries, requests)
}
