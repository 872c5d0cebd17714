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

// retrySimulation is a fleet of retry budgets that get random requests, while VMs restart and
// requests fail in phases.
type retrySimulation struct {
	random  *rand.Rand
	now     time.Time
	slack   float64
	budgets []*admission.RetryBudget
	history judge.History
	// retries counts the retries, failures the failed requests.
	retries, failures int
	// waiting are reserved retries that wait for a backend server.
	waiting []waitingRetry
}

type waitingRetry struct {
	request string
	budget  *admission.RetryBudget
	until   time.Time
}

const simulatedRetryShare = 0.12

func newRetrySimulation(seed int64) *retrySimulation {
	random := rand.New(rand.NewSource(seed))
	s := &retrySimulation{random: random, now: time.Unix(1000, 0), budgets: make([]*admission.RetryBudget, 1+random.Intn(80))}
	s.slack = float64(40 + 2*len(s.budgets))
	for i := range s.budgets {
		s.restart(i)
	}
	return s
}

func (s *retrySimulation) restart(vm int) {
	s.budgets[vm] = &admission.RetryBudget{Share: simulatedRetryShare, Slack: s.slack / float64(len(s.budgets))}
	s.budgets[vm].Start(s.now)
}

// run plays two minutes in phases that differ in traffic, failures and restarts.
func (s *retrySimulation) run() {
	const step = 10 * time.Millisecond
	for phase := range 12 {
		requestsPerStep := []float64{0, 0.1, 0.5, 2}[s.random.Intn(4)]
		failing := []float64{0, 0.02, 0.5, 1}[s.random.Intn(4)]
		restartsPerStep := []float64{0, 0, 0.1, 0.3}[s.random.Intn(4)]
		if phase > 0 && s.random.Intn(4) == 0 {
			for vm := range s.budgets {
				s.restart(vm)
			}
		}
		for end := s.now.Add(10 * time.Second); s.now.Before(end); s.now = s.now.Add(step) {
			if s.random.Float64() < restartsPerStep {
				s.restart(s.random.Intn(len(s.budgets)))
			}
			s.sendWaiting()
			for n := requestsPerStep; s.random.Float64() < n; n-- {
				s.request(s.random.Float64() < failing)
			}
		}
	}
}

// request has a VM forward one request, which may fail and be retried.
func (s *retrySimulation) request(fails bool) {
	id, budget := fmt.Sprint(len(s.history.Outcomes)), s.budgets[s.random.Intn(len(s.budgets))]
	s.history.Outcomes = append(s.history.Outcomes, judge.Outcome{Request: id, Sent: s.now})
	s.history.Arrivals = append(s.history.Arrivals, judge.Arrival{Request: id, At: s.now})
	budget.RecordRequest(s.now)
	if !fails {
		return
	}
	s.failures++
	if budget.Reserve(s.now) {
		// All of them may wait for the same moment.
		wait := []time.Duration{0, 5 * time.Second, s.now.Truncate(20 * time.Second).Add(20 * time.Second).Sub(s.now)}[s.random.Intn(3)]
		s.waiting = append(s.waiting, waitingRetry{id, budget, s.now.Add(wait)})
	}
}

// sendWaiting sends the reserved retries whose wait has ended. Those of processes that have
// ended are lost, and few are given up.
func (s *retrySimulation) sendWaiting() {
	s.waiting = slices.DeleteFunc(s.waiting, func(w waitingRetry) bool {
		switch {
		case w.until.After(s.now):
			return false
		case !slices.Contains(s.budgets, w.budget):
		case s.random.Intn(20) == 0:
			w.budget.Release()
		case w.budget.Spend(s.now):
			s.retries++
			s.history.Arrivals = append(s.history.Arrivals, judge.Arrival{Request: w.request, At: s.now})
		}
		return true
	})
}

// Guards against retries of a fleet that grow with its VMs and their restarts, against budgets
// that come back within the window in which they were spent, and against retries that wait and
// are then sent together.
func TestFleetOfRetryBudgetsKeepsItsBound(t *testing.T) {
	bound := judge.RetryBound{Window: admission.DefaultRetryWindow, Ratio: 1.5 * simulatedRetryShare}
	retries, failures := 0, 0
	for seed := range int64(60) {
		s := newRetrySimulation(seed)
		s.run()
		slices.SortStableFunc(s.history.Arrivals, func(a, b judge.Arrival) int { return a.At.Compare(b.At) })
		bound.Slack = s.slack
		violations := judge.CheckRetries(&s.history, bound)
		testkit.That(t, len(violations) == 0, "seed %d, %d VMs: %v", seed, len(s.budgets), violations)
		retries, failures = retries+s.retries, failures+s.failures
	}
	testkit.That(t, float64(retries) > float64(failures)*simulatedRetryShare/2, "%d of %d failures were retried", retries, failures)
}

// Guards against a quiet VM that never retries a single failure, also some time after a
// restart.
func TestQuietVMRetriesSingleFailures(t *testing.T) {
	const vms = 195
	budget := admission.RetryBudget{Share: simulatedRetryShare, Slack: 0.75 * (40 + 2*vms) / vms}
	now, retried := time.Unix(1000, 0), 0
	budget.Start(now)
	for range 10 {
		for range 30 {
			now = now.Add(time.Second)
			budget.RecordRequest(now)
		}
		if budget.AllowRetry(now) {
			retried++
		}
	}
	testkit.Equal(t, "retried failures of 10", retried, 10)
}
