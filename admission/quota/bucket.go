// Package quota divides workspace quotas among entry VMs. It does no I/O and reads
// no clock.
//
// In each failure domain one entry VM, the allocator, grants credit from a Bucket for
// each workspace; the other VMs keep the credit they received in a LocalCredit.
// Allocators divide a workspace's rate between the domains by demand (DemandView).
// Whatever messages are lost or late and whichever VMs are partitioned, the buckets
// of allocators that receive each other's announcements are together filled at no
// more than the quota's rate, and an allocator that receives none uses its domain's
// even share. Amounts are in the quota's unit, rates per second.
//
// The types are not safe for concurrent use.
package quota

import (
	"math"
	"time"
)

// Bucket is a token bucket for a workspace's credit at one entry VM. It starts
// empty, so that a restart does not grant a second burst.
type Bucket struct {
	level, rate, burst float64
	updatedAt          time.Time
}

// SetRate sets the rate at which the bucket is filled and its capacity.
func (b *Bucket) SetRate(now time.Time, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.level = math.Min(b.level, burst)
}

func (b *Bucket) refill(now time.Time) {
	if age := now.Sub(b.updatedAt); age > 0 {
		if !b.updatedAt.IsZero() {
			b.level = math.Min(b.burst, b.level+b.rate*age.Seconds())
		}
		b.updatedAt = now
	}
}

// Take charges a cost and returns how long to wait before it may be spent. If that
// would exceed maxWait, it charges nothing and returns false. One request may put
// the bucket into debt, as a request larger than the burst could never pass otherwise.
func (b *Bucket) Take(now time.Time, cost float64, maxWait time.Duration) (wait time.Duration, ok bool) {
	wait = b.WaitTime(now)
	if wait > maxWait {
		return wait, false
	}
	b.level -= cost
	return wait, true
}

// TakeIfCovered charges a cost if the bucket covers it. A full bucket also covers a
// cost larger than its burst, and is in debt then.
func (b *Bucket) TakeIfCovered(now time.Time, cost float64) bool {
	b.refill(now)
	if b.level < math.Min(cost, b.burst) {
		return false
	}
	b.level -= cost
	return true
}

// TakeSpare takes and returns up to maxCredit of the credit above the fraction
// reserve of the burst.
func (b *Bucket) TakeSpare(now time.Time, maxCredit, reserve float64) float64 {
	b.refill(now)
	spare := math.Max(0, math.Min(maxCredit, b.level-reserve*b.burst))
	b.level -= spare
	return spare
}

// Lend takes and returns up to need, for an allocator that has no credit. It leaves the
// fraction reserve of the burst.
func (b *Bucket) Lend(now time.Time, need, reserve float64) float64 {
	b.refill(now)
	lent := math.Max(0, math.Min(need, b.level-reserve*b.burst))
	b.level -= lent
	return lent
}

// Borrow adds credit that another allocator lent.
func (b *Bucket) Borrow(now time.Time, credit float64) {
	b.refill(now)
	b.level += credit
}

// WaitTime returns the time until the bucket is out of debt.
func (b *Bucket) WaitTime(now time.Time) time.Duration {
	b.refill(now)
	switch {
	case b.level >= 0:
		return 0
	case b.rate <= 0:
		return math.MaxInt64
	default:
		return time.Duration(math.Ceil(math.Min(-b.level/b.rate*float64(time.Second), math.MaxInt64/2)))
	}
}

// Level returns the credit, which is negative if the bucket is in debt.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}
