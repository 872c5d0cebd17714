package serving

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/admission"
	"bergamotreel/caller"
)

// defaultRetrySlack is the retry slack of a single VM.
const defaultRetrySlack = 3

// retriesTotal counts the retries that the budgets of services allowed or refused.
const retriesTotal = "bergamotreel_retries_total"

var (
	retriesAllowed = metrics.NewCounter(retriesTotal + `{outcome="allowed"}`)
	retriesRefused = metrics.NewCounter(retriesTotal + `{outcome="refused"}`)
)

// errRetryBudgetShrank ends a request whose retry was allowed, waited for a backend server and
// is no longer covered by the budget.
var errRetryBudgetShrank = errors.New("waited for a backend server until the retry budget no longer covered it")

// retryState is how far the permission for a retry has been used.
type retryState int

const (
	// retryNotNeeded is the state of an attempt that is the first to reach a backend server.
	retryNotNeeded retryState = iota
	retryReserved
	retrySpent
)

func newRetryBudget(config *Config, startedAt time.Time) *admission.RetryBudget {
	budget := &admission.RetryBudget{Share: config.RetryShare, Window: config.RetryWindow, Slack: config.retrySlack()}
	budget.Start(startedAt)
	if config.RetrySlack == nil {
		budget.Fill(startedAt)
	}
	return budget
}

func (c *Config) retrySlack() float64 {
	if c.RetrySlack == nil {
		return defaultRetrySlack
	}
	return c.RetrySlack()
}

// serviceBudget returns the retry budget of the service. Services don't share one:
// otherwise the traffic of a large service would allow a flood of retries at a small
// one. Call with mu held.
func (s *Server) serviceBudget(service string) *admission.RetryBudget {
	budget := s.serviceBudgets[service]
	if budget == nil {
		budget = newRetryBudget(&s.config, s.startedAt)
		s.serviceBudgets[service] = budget
	}
	budget.Slack = s.config.retrySlack()
	return budget
}

// recordForward counts a request for the retry budget of its service, which it returns.
func (s *Server) recordForward(r caller.RelayRequest) *admission.RetryBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsettled.Expire(r.Arrived)
	unsettledGauge.Set(float64(s.unsettled.Count()))
	budget := s.serviceBudget(r.Service)
	budget.RecordRequest(r.Arrived)
	return budget
}

// withRetryBudget calls a function with the retry budget of the request's service.
func (f *forwarding) withRetryBudget(use func(*admission.RetryBudget)) {
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	use(f.server.serviceBudget(f.request.Service))
}

// reserveRetry reserves a retry after a failed attempt, unless one is reserved already. It
// returns false if the budget allows none.
func (f *forwarding) reserveRetry() bool {
	if f.retry == retryReserved {
		return true
	}
	reserved := false
	f.withRetryBudget(func(b *admission.RetryBudget) {
		now, givenUp := time.Now(), f.tracking.givenUp
		reserved = (givenUp == "" || f.server.canDoubt(now, b, givenUp)) && b.Reserve(now)
		if reserved && givenUp != "" {
			f.keepUnsettled(now, givenUp)
			f.tracking.givenUp = ""
		}
	})
	countRetry(reserved)
	if reserved {
		f.retry = retryReserved
	}
	return reserved
}

// spendRetry counts the reserved retry, if there is one, as sent. It returns false if the
// budget no longer covers it.
func (f *forwarding) spendRetry() (covered bool) {
	if f.retry != retryReserved {
		return true
	}
	f.retry = retryNotNeeded
	f.withRetryBudget(func(b *admission.RetryBudget) {
		covered = b.Spend(time.Now())
		f.retryUsage = b.Usage(time.Now())
	})
	if covered {
		f.retry = retrySpent
		f.tracking.isRetried = true
	}
	return covered
}

// recordAttemptEnd updates the state of retries after an attempt: one that reached no backend
// server is reserved again, and one that may arrive later is kept until it is settled.
func (f *forwarding) recordAttemptEnd() {
	spent := f.retry == retrySpent
	if spent {
		f.retry = retryNotNeeded
	}
	switch {
	case f.tracking.current == arrivalNone && spent:
		f.withRetryBudget((*admission.RetryBudget).Unspend)
		f.retry = retryReserved
	case f.tracking.current != arrivalUnsettled || f.tracking.isCurrentKept:
	case f.tracking.isRetried || f.replacement != nil:
		f.server.mu.Lock()
		defer f.server.mu.Unlock()
		f.keepUnsettled(time.Now(), f.pending.backend)
	default:
		f.tracking.givenUp = f.pending.backend
	}
}

// releaseRetry releases a reserved retry that will not be sent.
func (f *forwarding) releaseRetry() {
	if f.retry == retryReserved {
		f.withRetryBudget((*admission.RetryBudget).Release)
		f.retry = retryNotNeeded
	}
}

// countRetry counts a retry that the budget of its service allowed or refused.
func countRetry(allowed bool) {
	if allowed {
		retriesAllowed.Inc()
		return
	}
	retriesRefused.Inc()
}
