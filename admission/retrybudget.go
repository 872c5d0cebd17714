package admission

import (
	"time"

	"bergamotreel/internal/meter"
)

const (
	// DefaultRetryShare is the share of recent requests that may be retried. One
	// retry per request would double the load of a pool that fails under its load.
	DefaultRetryShare = 0.1
	// minRetries is how many retries are allowed in addition to the share, so that a
	// VM with little traffic can retry a single failure.
	minRetries = 3
	// retryWindow is the time constant of recent requests and retries.
	retryWindow = 10 * time.Second
)

// RetryBudget limits retries to a share of recent traffic. Without it, requests
// that fail under overload return as more load, and the overload outlasts its
// cause. The zero value is ready to use. It is not safe for concurrent use.
type RetryBudget struct {
	// Share is the share of recent requests that may be retried. 0 selects
	// DefaultRetryShare; a negative value allows only a few retries beside the
	// traffic.
	Share float64

	requests, retries meter.Meter
}

// RecordRequest counts the first attempt of a request.
func (b *RetryBudget) RecordRequest(now time.Time) { b.requests.Add(now, 1, retryWindow) }

// RetryUsage is the state of a retry budget.
type RetryUsage struct {
	// Requests and Retries are the counts of the recent past, Allowed is the number of retries
	// that they allow.
	Requests, Retries, Allowed float64
}

// Usage returns the state of the budget.
func (b *RetryBudget) Usage(now time.Time) RetryUsage {
	share := max(b.Share, 0)
	if b.Share == 0 {
		share = DefaultRetryShare
	}
	b.requests.Decay(now, retryWindow)
	b.retries.Decay(now, retryWindow)
	return RetryUsage{Requests: b.requests.Count, Retries: b.retries.Count, Allowed: share*b.requests.Count + minRetries}
}

// AllowRetry reports whether another attempt may be made now, and counts it if so.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	if !b.CanRetry(now) {
		return false
	}
	b.retries.Add(now, 1, retryWindow)
	return true
}

// CanRetry reports whether another attempt may be made now, without counting it.
func (b *RetryBudget) CanRetry(now time.Time) bool {
	usage := b.Usage(now)
	return usage.Retries+1 <= usage.Allowed
}
