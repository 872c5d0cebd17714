package hosted

import (
	"math/rand"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/caller"
	"bergamotreel/entryvm"
	"bergamotreel/internal/loadsignals"
	"bergamotreel/internal/serving"
	"bergamotreel/refusal"
	"bergamotreel/routing"
	"bergamotreel/routing/backendqueue"
)

var (
	backendQueueRejections = metrics.NewCounter("bergamotreel_backend_queue_rejections_total")
	backendQueueRefusals   = metrics.NewCounter("bergamotreel_backend_queue_refusals_total")
)

// backendQueues connects package backendqueue to a node. A nil *backendQueues does nothing.
type backendQueues struct {
	node   *Node
	queues *backendqueue.Queues
}

// newBackendQueues returns nil if the policy is not switched on.
func newBackendQueues(n *Node) *backendQueues {
	if !n.config.Load.BackendQueues {
		return nil
	}
	return &backendQueues{node: n, queues: backendqueue.New(rand.New(rand.NewSource(n.config.Rand.Int63())))}
}

// forServing returns the interface for package serving, nil if the policy is not switched on.
func (q *backendQueues) forServing() serving.BackendQueues {
	if q == nil {
		return nil
	}
	return q
}

// Admit implements serving.BackendQueues.
func (q *backendQueues) Admit(now time.Time, r *caller.RelayRequest, waiting int) *refusal.Refusal {
	retryAfter, ok := q.queues.Admit(now, backendqueue.Request{Service: r.Service, Target: r.Route.TargetLatency, Deadline: r.BeginDeadline, Waiting: waiting})
	if ok {
		return nil
	}
	backendQueueRefusals.Inc()
	return refusal.New(refusal.CodeNoCapacity, retryAfter, "the backend servers of %s and their queues have no capacity for more requests", r.Service)
}

// RejectedRefusal implements serving.BackendQueues.
func (q *backendQueues) RejectedRefusal(now time.Time, r *caller.RelayRequest) *refusal.Refusal {
	backendQueueRefusals.Inc()
	return refusal.New(refusal.CodeNoCapacity, q.queues.RetryAfter(now, r.Service, r.BeginDeadline.Sub(now)), "the queues of the backend servers of %s are full", r.Service)
}

// RecordResult implements serving.BackendQueues.
func (q *backendQueues) RecordResult(now time.Time, service, backend string, answerTime time.Duration, rejected bool) backendqueue.Rejection {
	if rejected {
		backendQueueRejections.Inc()
	}
	return q.queues.RecordResult(now, service, backend, answerTime, rejected)
}

// prepare sets how many requests may be sent to the backend servers of a plain service.
func (q *backendQueues) prepare(now time.Time, service string, candidates []routing.Candidate) {
	if q != nil {
		q.queues.Prepare(now, service, candidates)
	}
}

// measure returns this VM's loads.
func (q *backendQueues) measure(now time.Time) []entryvm.QueueLoad {
	if q == nil {
		return nil
	}
	return loadsignals.EncodeQueues(q.queues.Report(now))
}

// apply uses the loads of all VMs.
func (q *backendQueues) apply(now time.Time, loads []entryvm.QueueLoad) {
	if q == nil {
		return
	}
	for _, c := range q.queues.SetFleet(now, loadsignals.DecodeQueues(loads)) {
		q.node.config.Logger.Info("queues of backend servers", zap.String("service", c.Service), zap.Bool("used", c.Queueing),
			zap.Float64("admitted_share", c.Share), zap.Float64("capacity_per_second", c.Capacity), zap.Float64("demand_per_second", c.Demand))
	}
}

// forget drops what is known of a backend server that is gone or has restarted.
func (q *backendQueues) forget(backend string) {
	if q != nil {
		q.queues.Forget(backend)
	}
}
