// Package stopping decides which requests an entry VM that stops still sends on.
package stopping

import (
	"sync"
	"time"
)

// Schedule holds the times of a planned stop. The zero value belongs to a VM that doesn't stop.
type Schedule struct {
	// TakesUntil is when the VM sends no new requests on any more. By then the load balancer has reacted.
	TakesUntil time.Time
	// EndsAt is when the VM ends the requests that are left.
	EndsAt time.Time
}

// CanFinish reports whether a request that is sent on now may end before the VM does. work is how long it is
// expected to take, 0 if unknown.
func (s Schedule) CanFinish(now time.Time, work time.Duration) bool {
	return s.EndsAt.IsZero() || (now.Before(s.TakesUntil) && !now.Add(work).After(s.EndsAt))
}

const (
	// raiseFactor and lowerFactor move an estimate with each request that took longer or shorter. One raise
	// makes up for nine lowerings, so the estimate settles where nine in ten requests are shorter.
	raiseFactor = 1.09
	lowerFactor = 0.99
	// maxExcess bounds by which factor a request is expected to take longer than others of its kind. A caller
	// may ask for a number of tokens that no engine writes.
	maxExcess = 4
	// maxKinds bounds the kinds of requests remembered.
	maxKinds = 1024
)

// Durations estimates how long requests take. It is safe for concurrent use.
type Durations struct {
	mu    sync.Mutex
	kinds map[string]*estimate
}

// estimate is what nine in ten requests of a kind take at most, in seconds.
type estimate struct{ whole, perToken float64 }

// NewDurations returns estimates without samples.
func NewDurations() *Durations { return &Durations{kinds: make(map[string]*estimate)} }

// Observe records that a request of the kind took the given time until the end of its answer. outputTokens is the
// maximum number of tokens that it asked for, 0 if unknown.
func (d *Durations) Observe(kind string, outputTokens int64, took time.Duration) {
	if took <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.kinds[kind]
	if e == nil {
		if len(d.kinds) >= maxKinds {
			return
		}
		e = &estimate{}
		d.kinds[kind] = e
	}
	e.whole = move(e.whole, took.Seconds())
	if outputTokens > 0 {
		e.perToken = move(e.perToken, took.Seconds()/float64(outputTokens))
	}
}

// Expect returns how long a request of the kind takes in nine of ten cases, 0 if no such request has ended.
func (d *Durations) Expect(kind string, outputTokens int64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.kinds[kind]
	if e == nil {
		return 0
	}
	expected := e.whole
	if outputTokens > 0 && e.perToken > 0 {
		expected = min(e.perToken*float64(outputTokens), maxExcess*e.whole)
	}
	return time.Duration(expected * float64(time.Second))
}

// move moves an estimate by one step towards a sample.
func move(estimate, sample float64) float64 {
	switch {
	case estimate == 0:
		return sample
	case sample > estimate:
		return min(estimate*raiseFactor, sample)
	default:
		return max(estimate*lowerFactor, sample)
	}
}
