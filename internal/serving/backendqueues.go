package serving

import (
	"time"

	"bergamotreel/caller"
	"bergamotreel/refusal"
	"bergamotreel/routing/backendqueue"
)

// BackendQueues lets the backend servers of small plain services queue requests.
type BackendQueues interface {
	// Admit returns a refusal for a request for which the service has no capacity. waiting is the
	// number of the service's requests that wait at this VM.
	Admit(now time.Time, r *caller.RelayRequest, waiting int) *refusal.Refusal
	// RecordResult records that a backend server gave its whole answer after the given time, or
	// that it rejected the request for want of room.
	RecordResult(now time.Time, service, backend string, answerTime time.Duration, rejected bool) backendqueue.Rejection
	// RejectedRefusal returns the refusal for a request that backend servers rejected too often.
	RejectedRefusal(now time.Time, r *caller.RelayRequest) *refusal.Refusal
}

// maxQueueRejections is how many backend servers' queues may reject a request before it is refused.
// Without a bound, requests that are sent again fill the queues and cause further rejections while
// the load grows.
const maxQueueRejections = 2

// queueRefusal returns a refusal for a request for which the backend servers of its plain service
// have no capacity, nil for any other.
func (s *Server) queueRefusal(r *caller.RelayRequest, pool string) *refusal.Refusal {
	if s.config.BackendQueues == nil || r.Model != "" {
		return nil
	}
	s.mu.Lock()
	waiting := s.waitersByPool[pool]
	s.mu.Unlock()
	return s.config.BackendQueues.Admit(time.Now(), r, waiting)
}

// recordQueueResult records the end of an attempt at a plain service.
func (f *forwarding) recordQueueResult(err error) {
	queues := f.server.config.BackendQueues
	rejected := isRejection(err)
	if queues == nil || f.request.Model != "" || (err != nil && !rejected) {
		return
	}
	now := time.Now()
	rejection := queues.RecordResult(now, f.request.Service, f.pending.backend, now.Sub(f.pending.attemptStart), rejected)
	if rejection.Rest == 0 {
		return
	}
	f.queueRejections++
	if rejection.Overloaded {
		f.queueRejections = maxQueueRejections
	}
	// Nothing else may wake the queue at the end of the rest.
	time.AfterFunc(rejection.Rest, f.server.Wake)
}

// rejectedError ends a request that the queues of backend servers rejected too often.
func (f *forwarding) rejectedError(cause error) error {
	if f.answer.HasBegun() {
		return cause
	}
	return f.server.config.BackendQueues.RejectedRefusal(time.Now(), &f.request)
}
