package claims

import (
	"context"

	"bergamotreel/entryvm"
	"bergamotreel/idempotency"
	"bergamotreel/platformlog"
	"bergamotreel/refusal"
)

// refuseWithoutLog answers at once while no claim can be recorded.
func (c *Claimer) refuseWithoutLog(ctx context.Context, query entryvm.ClaimQuery) error {
	if c.surelyNotRun(ctx, query) {
		return refusal.New(refusal.CodeLogUnavailable, comeBack, "the platform's log is out of reach")
	}
	return earlierMayHaveRun()
}

// earlierMayHaveRun answers an arrival that can't be claimed.
func earlierMayHaveRun() error {
	r := refusal.NewMaybeRan(refusal.CodeLogUnavailable,
		"this arrival was not run; an earlier one may have been: repeat it with the same Idempotency-Key")
	r.RetryAfter = comeBack
	return r
}

// surelyNotRun tells whether no arrival of the call was dispatched so far. "Not
// run" must hold for the call, not only for this arrival: an earlier one may
// have been claimed and dispatched by another entry VM, and a caller who is told
// "not run" may book elsewhere.
//
// A VM dispatches only by a claim that it has folded. This VM's table was
// complete at some moment, since when it may have missed records. Whoever has
// dispatched by one of those was an entry VM after that moment. So if this table
// has no claim of the key, and each VM that was there since then says that it
// has folded no further than this one and knows no claim, the call has not run.
// Failures that the parts of the rule answer:
//   - A VM cut off later than this one claimed, dispatched and died; its caller
//     comes here, and the VM list has dropped it. It was there since: it does
//     not answer, so the call may have run.
//   - It restarted, and says truly that it has folded nothing. Its process is
//     younger than the moment: it can't speak for the one before (ClaimReply.Up).
//   - Another arrival waits at a VM for its claim to land, and will be dispatched
//     once it has. That VM says that the key is held, and so does this one.
//   - All entry VMs restart during an outage, and none has folded anything. A
//     table that never was complete gives no moment.
func (c *Claimer) surelyNotRun(ctx context.Context, query entryvm.ClaimQuery) bool {
	key := idempotency.KeyOf(query.Customer, query.Key)
	select {
	case <-c.Ready():
	default:
		return false
	}
	var applied uint64
	free := false
	c.replica.View(func() {
		applied = c.fold.table.Applied()
		free = c.fold.table.State(key) == nil
	})
	since, complete := c.reads.completeAt(platformlog.Offset(applied))
	// This arrival is one of those under way here.
	alone := c.underWay.count(key) <= 1
	return free && complete && alone && c.config.NobodyAhead(ctx, query, applied, since)
}
