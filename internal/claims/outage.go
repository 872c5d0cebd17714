package claims

import (
	"context"

	"bergamotreel/entryvm"
	"bergamotreel/idempotency"
	"bergamotreel/platformlog"
	"bergamotreel/refusal"
)

// refuseWithoutLog refuses a call at once while no claim can be recorded.
func (c *Claimer) refuseWithoutLog(ctx context.Context, query entryvm.ClaimQuery) error {
	if c.hasCertainlyNotRun(ctx, query) {
		return refusal.New(refusal.CodeLogUnavailable, retryAfter, "the platform's log is out of reach")
	}
	return refuseMaybeRan()
}

// refuseMaybeRan refuses an attempt that could not be claimed, when an earlier
// attempt of the call may have run.
func refuseMaybeRan() error {
	r := refusal.NewMaybeRan(refusal.CodeLogUnavailable,
		"this arrival was not run; an earlier one may have been: repeat it with the same Idempotency-Key")
	r.RetryAfter = retryAfter
	return r
}

// hasCertainlyNotRun reports whether it is certain that no attempt of the call
// has been dispatched. "Not run" must hold for the call, not only for this
// attempt: an earlier attempt may have been claimed and dispatched by another
// entry VM, and a caller who is told "not run" may book elsewhere.
//
// A VM dispatches only by a claim that it has applied. This VM's table was
// complete at some time (since) and may have missed records after it. A VM that
// dispatched by one of the missed records was an entry VM after that time. So
// the call has not run if this table has no claim of the key and every VM that
// existed at or after that time reports that it has applied no more than this
// one and knows no claim of the key.
//
// Failures that the parts of this rule cover:
//   - A VM that lost the log later than this one claimed and dispatched the
//     call and died. The VM list no longer has it, but it existed after since
//     and does not answer, so the call may have run.
//   - Such a VM restarted and truthfully reports that it has applied nothing.
//     Its process is younger than since, so it can't answer for the previous
//     process (ClaimReply.Uptime).
//   - Another attempt waits at a VM until its claim is applied, and is
//     dispatched then. That VM reports the key as held; this VM checks its own
//     attempts in flight.
//   - All entry VMs restart during an outage and none has applied anything. A
//     table that was never complete has no such time, so the call may have run.
func (c *Claimer) hasCertainlyNotRun(ctx context.Context, query entryvm.ClaimQuery) bool {
	key := idempotency.KeyOf(query.Customer, query.Key)
	select {
	case <-c.Ready():
	default:
		return false
	}
	var applied uint64
	unclaimed := false
	c.replica.View(func() {
		applied = c.stateMachine.table.Applied()
		unclaimed = c.stateMachine.table.HolderOf(key) == nil
	})
	since, complete := c.readTracker.completeUntil(platformlog.Offset(applied))
	// The count includes this attempt.
	isOnlyAttempt := c.inFlight.count(key) <= 1
	return unclaimed && complete && isOnlyAttempt && c.config.RuleOutDispatch(ctx, query, applied, since)
}
