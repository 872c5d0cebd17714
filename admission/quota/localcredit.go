package quota

import (
	"math"
	"time"

	"bergamotreel/internal/meter"
)

const (
	// creditTTL is how long prefetched credit is valid. It limits what all VMs
	// together may still spend after their allocator's bucket is empty.
	creditTTL = time.Second
	// prefetchSpan is the span of its usual spending for which a VM prefetches credit.
	prefetchSpan = 500 * time.Millisecond
	// demandWindow is the time constant of smoothed demand.
	demandWindow = time.Second
)

// LocalCredit is a workspace's credit at an entry VM that is not the allocator.
type LocalCredit struct {
	credit  float64
	expires time.Time
	spent   meter.Meter
	// refusedCost is the cost of the requests that were refused on this VM because of
	// BlockedFor and that the allocator has not counted as demand yet.
	refusedCost float64
	// debtPaidAt is when the allocator's bucket is expected to be out of debt.
	debtPaidAt time.Time
}

// TrySpend pays a cost from the local credit. It returns false if the credit does
// not cover it.
func (c *LocalCredit) TrySpend(now time.Time, cost float64) bool {
	c.spent.Add(now, cost, demandWindow)
	if !now.Before(c.expires) {
		c.credit = 0
	}
	if c.credit < cost {
		return false
	}
	c.credit -= cost
	return true
}

// Deposit adds credit: either granted by the allocator or unused by a request.
func (c *LocalCredit) Deposit(now time.Time, amount float64) {
	if amount <= 0 {
		return
	}
	if !now.Before(c.expires) {
		c.credit = 0
	}
	c.credit += amount
	c.expires = now.Add(creditTTL)
}

// PrefetchAmount returns the credit to request in addition to the current cost.
func (c *LocalCredit) PrefetchAmount(now time.Time) float64 {
	return c.spent.Rate(now, demandWindow) * prefetchSpan.Seconds()
}

// BlockedFor returns how long the allocator's debt lasts, and whether that is longer
// than maxWait, so that a request to the allocator would be in vain.
func (c *LocalCredit) BlockedFor(now time.Time, maxWait time.Duration) (time.Duration, bool) {
	wait := c.debtPaidAt.Sub(now)
	return wait, wait > maxWait
}

// RecordRefusal records that a request was refused and how long the allocator's debt
// lasts. cost is the cost of a request that was refused on this VM because of
// BlockedFor. It is 0 for a request that the allocator refused, as the allocator has
// counted it as demand.
func (c *LocalCredit) RecordRefusal(now time.Time, cost float64, wait time.Duration) {
	c.refusedCost += cost
	c.debtPaidAt = now.Add(wait)
}

// DrainRefused returns and resets the cost of the requests that were refused on this VM
// because of BlockedFor, so that the allocator can count it as demand.
func (c *LocalCredit) DrainRefused() float64 {
	refused := c.refusedCost
	c.refusedCost = 0
	return refused
}

// IsIdle reports whether the workspace has no credit, debt or recent spending here,
// so that its state may be dropped.
func (c *LocalCredit) IsIdle(now time.Time) bool {
	return !now.Before(c.expires) && !now.Before(c.debtPaidAt) && c.spent.Rate(now, demandWindow) < math.SmallestNonzeroFloat32
}
