package admission

import (
	"cmp"
	"math"
	"time"

	"bergamotreel/admission/quota"
	"bergamotreel/internal/meter"
)

const (
	// DefaultRetryShare is the share of the requests that may be retried. One retry per
	// request would double the load of a pool that fails under its load.
	DefaultRetryShare = 0.1
	// DefaultRetryWindow is the default of RetryBudget.Window.
	DefaultRetryWindow = 10 * time.Second
	// retryBurstShare is the part of Share by which the requests of the last Window raise the
	// capacity of a budget.
	retryBurstShare = 0.5
	// slackCapacityShare is the part of Slack that a budget holds at most; the rest is added
	// over each Window.
	slackCapacityShare = 2.0 / 3
	// maxDoubtfulShare is the part of the capacity that attempts may hold which were given up without a sign of
	// their arrival. It keeps the rest usable while backend servers stand still, and together with all that the
	// successor of a killed process may send it stays within the fleet's bound.
	maxDoubtfulShare = 1.0 / 3
)

// RetryBudget limits retries to a share of the traffic. Without it, requests that fail under
// overload return as more load, and the overload outlasts its cause.
//
// It is a token bucket that starts empty. Each request adds Share of a token, and each Window adds
// a part of Slack. The bucket holds at most the rest of Slack + retryBurstShare x Share x the
// requests of the last Window.
//
// A retry is reserved when its request fails, since it may wait for a backend server before it is sent. From then on
// it holds a token until an arrival of its request beyond the first is settled, and takes it at that time: until then
// the arrival may come at any moment (RequestArrivals). Tokens that are held can't be spent again, however long
// that takes. So whatever the delays, the arrivals beyond the first of each request within any Window are at most
// Share x its requests + retryBurstShare x Share x the requests of the Window before it + Slack, while the traffic
// doesn't fall; what is held when it falls is at most the capacity at that time. This holds for the
// sum of many entry VMs too, as long as their parts of Slack add up to that of the fleet. A process that
// is killed forgets what it held: maxDoubtfulShare bounds the part that may arrive much later.
//
// It answers these load patterns: many VMs with little traffic each, for a service that fails as a whole, while VMs
// restart in series; backend servers that stand still and read everything at once when they go on, while others
// answer with errors.
//
// It reads no clock and is not safe for concurrent use.
type RetryBudget struct {
	// Share is the number of retries that each request allows. 0 selects DefaultRetryShare;
	// with a negative value, requests allow none.
	Share float64
	// Slack is the number of retries per Window that don't depend on the traffic. It may change
	// at any time.
	Slack float64
	// Window is the span of the requests that a burst of retries is drawn from; 0 selects
	// DefaultRetryWindow.
	Window time.Duration

	bucket quota.Bucket
	// reserved is how many of the tokens are reserved, held how many are held by retries that were sent. doubtful is how
	// many attempts were given up without a sign of their arrival.
	reserved, held, doubtful int
	// doubtsFrom is the time from which arrivals may become doubtful.
	doubtsFrom time.Time
	requests   meter.Window
}

// Start starts the budget of a process that has run since the given time. Earlier processes of its VM may have left
// doubtful arrivals behind, so it adds none within the first Window: VMs that restart in series would pile them up.
func (b *RetryBudget) Start(since time.Time) {
	b.refill(since)
	b.doubtsFrom = since.Add(b.window())
}

// Fill fills the budget to its capacity, for a VM that never had another process.
func (b *RetryBudget) Fill(now time.Time) {
	b.bucket.Borrow(now, b.refill(now))
	b.doubtsFrom = now
}

// RetryUsage is the state of a RetryBudget: the tokens that are neither reserved nor held, how many it has at most,
// and how many are held.
type RetryUsage struct {
	Left, Capacity float64
	Held           int
}

// RecordRequest counts the first attempt of a request.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.refill(now)
	b.bucket.Borrow(now, b.share())
	b.requests.Add(now, b.window())
}

// Reserve reserves a retry. It returns false if the budget allows none now. The caller must
// call Spend or Release afterwards.
func (b *RetryBudget) Reserve(now time.Time) bool {
	if !b.CanReserve(now) {
		return false
	}
	b.reserved++
	return true
}

// CanReserve reports whether Reserve would succeed.
func (b *RetryBudget) CanReserve(now time.Time) bool { return b.Usage(now).Left >= 1 }

// CanDoubt reports whether one more arrival may become doubtful: whether an attempt may be given up without a sign
// of its arrival and its request be sent elsewhere.
func (b *RetryBudget) CanDoubt(now time.Time) bool {
	return !now.Before(b.doubtsFrom) && float64(b.doubtful) < maxDoubtfulShare*b.refill(now)
}

// Spend makes a reserved retry hold its token, as it is sent. It returns false if the budget has shrunk meanwhile;
// then the retry must not be sent. The reservation ends in both cases.
func (b *RetryBudget) Spend(now time.Time) bool {
	b.refill(now)
	b.Release()
	if b.bucket.Level(now)-float64(b.held) < 1 {
		return false
	}
	b.held++
	return true
}

// Release ends a reservation without a retry.
func (b *RetryBudget) Release() { b.reserved = max(0, b.reserved-1) }

// Unspend makes a retry that was spent and has reached no backend server a reserved one again.
func (b *RetryBudget) Unspend() {
	b.held = max(0, b.held-1)
	b.reserved++
}

// settle takes the token that a retry holds.
func (b *RetryBudget) settle(now time.Time) {
	b.refill(now)
	b.held = max(0, b.held-1)
	b.bucket.Take(now, 1, math.MaxInt64)
}

// AllowRetry reports whether a retry may be sent now, and takes its token if so. It is for retries whose arrival
// isn't followed.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	allowed := b.Reserve(now) && b.Spend(now)
	if allowed {
		b.settle(now)
	}
	return allowed
}

// Usage returns the state of the budget.
func (b *RetryBudget) Usage(now time.Time) RetryUsage {
	capacity := b.refill(now)
	return RetryUsage{Left: b.bucket.Level(now) - float64(b.reserved+b.held), Capacity: capacity, Held: b.held}
}

// refill adds the tokens of the time since the last call, drops those above the capacity, and
// returns the capacity.
func (b *RetryBudget) refill(now time.Time) (capacity float64) {
	capacity = slackCapacityShare*b.Slack + retryBurstShare*b.share()*float64(b.requests.Count(now, b.window()))
	b.bucket.SetRate(now, (1-slackCapacityShare)*b.Slack/b.window().Seconds(), capacity)
	return capacity
}

func (b *RetryBudget) share() float64 {
	if b.Share == 0 {
		return DefaultRetryShare
	}
	return math.Max(b.Share, 0)
}

func (b *RetryBudget) window() time.Duration { return cmp.Or(b.Window, DefaultRetryWindow) }
