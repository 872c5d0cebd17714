// Package quota divides the quotas of workspaces among entry VMs. It does no I/O and
// reads no clock.
//
// In each failure domain one entry VM, the allocator, hands out credit from a Bucket for
// each workspace; the others keep what they were given in a Wallet. Allocators divide a
// workspace's rate between the domains by demand (Division). What callers may rely on:
// whatever is lost, late or cut off, buckets of allocators that hear each other are filled
// at no more than the quota's rate together, and one that hears nobody takes its
// domain's even part. Units are those of the quota, rates are a second.
//
// The types are not safe for concurrent use.
package quota

import (
	"math"
	"time"
)

// Bucket is the credit of a workspace at one entry VM. It starts empty, so that a
// restart gives no second burst.
type Bucket struct {
	level, rate, burst float64
	at                 time.Time
}

// Set changes what the bucket is filled at and the most it holds.
func (b *Bucket) SetRate(now time.Time, rate, burst float64) {
	b.fill(now)
	b.rate, b.burst = rate, burst
	b.level = math.Min(b.level, burst)
}

func (b *Bucket) fill(now time.Time) {
	if age := now.Sub(b.at); age > 0 {
		if !b.at.IsZero() {
			b.level = math.Min(b.burst, b.level+b.rate*age.Seconds())
		}
		b.at = now
	}
}

// Take charges a cost and tells how long to wait before it is spent; ok is false where
// that would be longer than longest. Debt is allowed up to one request: one that is
// larger than the burst could never pass otherwise.
func (b *Bucket) Take(now time.Time, cost float64, longest time.Duration) (wait time.Duration, ok bool) {
	wait = b.WaitTime(now)
	if wait > longest {
		return wait, false
	}
	b.level -= cost
	return wait, true
}

// TakeCovered charges a cost that the bucket covers, or the first beyond a full one.
func (b *Bucket) TakeIfCovered(now time.Time, cost float64) bool {
	b.fill(now)
	if b.level < math.Min(cost, b.burst) {
		return false
	}
	b.level -= cost
	return true
}

// TakeSpare takes up to want out of what the bucket has beyond reserve of its burst.
func (b *Bucket) TakeSpare(now time.Time, want, reserve float64) float64 {
	b.fill(now)
	spare := math.Max(0, math.Min(want, b.level-reserve*b.burst))
	b.level -= spare
	return spare
}

// Lend gives credit to another allocator that has none.
func (b *Bucket) Lend(now time.Time, need float64) float64 {
	b.fill(now)
	lent := math.Max(0, math.Min(need, b.level))
	b.level -= lent
	return lent
}

// Borrow adds what another allocator lent.
func (b *Bucket) Borrow(now time.Time, credit float64) {
	b.fill(now)
	b.level += credit
}

// Wait is the time until the debt is paid off.
func (b *Bucket) WaitTime(now time.Time) time.Duration {
	b.fill(now)
	switch {
	case b.level >= 0:
		return 0
	case b.rate <= 0:
		return math.MaxInt64
	default:
		return time.Duration(math.Ceil(math.Min(-b.level/b.rate*float64(time.Second), math.MaxInt64/2)))
	}
}

// Level is the credit, negative for debt.
func (b *Bucket) Level(now time.Time) float64 {
	b.fill(now)
	return b.level
}
