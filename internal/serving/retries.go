package serving

import (
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

// recordForward counts a request for the retry budget of its service.
func (s *Server) recordForward(r caller.RelayRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceBudget(r.Service).RecordRequest(r.Arrived)
}

// allowServiceRetry reports whether the retry budget of a service allows a retry, and
// counts it if so. It also returns the state of the budget.
func (p *pendingRequest) allowServiceRetry(service string) (admission.RetryUsage, bool) {
	s := p.server
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	budget := s.serviceBudget(service)
	allowed := budget.AllowRetry(now)
	countRetry(allowed)
	return budget.Usage(now), allowed
}

// countRetry counts a retry that the budget of its service allowed or refused.
func countRetry(allowed bool) {
	if allowed {
		retriesAllowed.Inc()
		return
	}
	retriesRefused.Inc()
}
