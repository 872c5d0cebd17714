package admission

import (
	"time"

	"bergamotreel/internal/meter"
)

const (
	// DefaultRetryShare is the share of recent requests that may be retried. One
	// retry each would double the load of a pool that already fails under it.
	DefaultRetryShare = 0.1
	// retryFloor is how many retries are allowed beside the share, so that a
	// quiet VM can still retry a single failure.
	retryFloor = 3
	// retryWindow is what "recent" means.
	retryWindow = 10 * time.Second
)

// RetryBudget keeps retries to a share of recent traffic. Without it, requests
// that fail under overload come back as more load, and the overload stays after
// its cause has gone. The zero value is ready. It is not safe for concurrent use.
type RetryBudget struct {
	// Share is the share of recent requests that may be retried; 0 means
	// DefaultRetryShare, less than 0 none.
	Share float64

	requests, retries meter.Meter
}

// Sent counts the first attempt of a request.
func (b *RetryBudget) RecordRequest(now time.Time) { b.requests.Add(now, 1, retryWindow) }

// Retry tells whether one more attempt may be made now, and counts it if so.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	share := max(b.Share, 0)
	if b.Share == 0 {
		share = DefaultRetryShare
	}
	b.requests.Decay(now, retryWindow)
	b.retries.Decay(now, retryWindow)
	if b.retries.Count+1 > share*b.requests.Count+retryFloor {
		return false
	}
	b.retries.Add(now, 1, retryWindow)
	return true
}
