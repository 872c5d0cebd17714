package serving

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/admission"
	"bergamotreel/caller"
)

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
	countRetry(service, allowed)
	return budget.Usage(now), allowed
}

// serviceBudget returns the retry budget of the service. Services don't share one:
// otherwise the traffic of a large service would allow a flood of retries at a small
// one. Call with mu held.
func (s *Server) serviceBudget(service string) *admission.RetryBudget {
	budget := s.serviceBudgets[service]
	if budget == nil {
		budget = &admission.RetryBudget{Share: s.config.RetryShare}
		s.serviceBudgets[service] = budget
	}
	return budget
}

// countRetry counts a retry that the budget of its service allowed or refused.
func countRetry(service string, allowed bool) {
	outcome := "refused"
	if allowed {
		outcome = "allowed"
	}
	metrics.GetOrCreateCounter(`bergamotreel_retries_total{service="` + service + `",outcome="` + outcome + `"}`).Inc()
}
