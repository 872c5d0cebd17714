package quota

import (
	"math"
	"time"

	"bergamotreel/internal/meter"
)

const (
	// creditFor is how long credit holds that was granted ahead of use. It bounds what
	// all VMs together may still spend when their allocator's bucket is empty.
	creditFor = time.Second
	// aheadFor is the span of its usual spending that a VM asks for ahead.
	aheadFor = 500 * time.Millisecond
	// demandWindow is the time constant of smoothed demand.
	demandWindow = time.Second
)

// Wallet is a workspace's credit at an entry VM that is not the allocator.
type LocalCredit struct {
	credit  float64
	expires time.Time
	spent   meter.Meter
	// refused is the cost of what was refused here since the allocator was asked last.
	refused float64
	// freeAt is when the allocator's debt is paid off, as far as it is known here.
	freeAt time.Time
}

// Spend pays a cost out of the credit at hand.
func (w *LocalCredit) TrySpend(now time.Time, cost float64) bool {
	w.spent.Add(now, cost, demandWindow)
	if !now.Before(w.expires) {
		w.credit = 0
	}
	if w.credit < cost {
		return false
	}
	w.credit -= cost
	return true
}

// Deposit adds credit. What comes back unused from a request goes the same way.
func (w *LocalCredit) Deposit(now time.Time, credit float64) {
	if credit <= 0 {
		return
	}
	if !now.Before(w.expires) {
		w.credit = 0
	}
	w.credit += credit
	w.expires = now.Add(creditFor)
}

// Ahead is the credit worth asking for beyond the cost at hand.
func (w *LocalCredit) PrefetchAmount(now time.Time) float64 {
	return w.spent.Rate(now, demandWindow) * aheadFor.Seconds()
}

// Blocked tells how long the allocator's debt lasts, where it is too long for a request
// that can wait for longest, so that asking is of no use.
func (w *LocalCredit) BlockedFor(now time.Time, longest time.Duration) (time.Duration, bool) {
	wait := w.freeAt.Sub(now)
	return wait, wait > longest
}

// Refuse notes a refusal by the allocator, or one that spared it the question.
func (w *LocalCredit) RecordRefusal(now time.Time, cost float64, wait time.Duration) {
	w.refused += cost
	w.freeAt = now.Add(wait)
}

// TakeRefused returns what was refused here without the allocator's knowledge.
func (w *LocalCredit) DrainRefused() float64 {
	refused := w.refused
	w.refused = 0
	return refused
}

// Idle tells whether the workspace is of no more interest here.
func (w *LocalCredit) IsIdle(now time.Time) bool {
	return !now.Before(w.expires) && !now.Before(w.freeAt) && w.spent.Rate(now, demandWindow) < math.SmallestNonzeroFloat32
}
