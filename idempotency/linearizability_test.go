package idempotency_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"bergamotreel/idempotency"
	"bergamotreel/internal/standin/faults"
	"bergamotreel/internal/standin/logserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/platformlog"
)

// claimOp is one claim or release of a key, and its result.
type claimOp struct {
	key     idempotency.Key
	release bool
	// applied is whether it was applied; holder is the claim that holds the key
	// after it.
	applied bool
	holder  idempotency.Revision
}

// claimModel is a lock for each key: 0 is free, any other value is the claim
// that holds it.
var claimModel = porcupine.Model{
	Partition: testkit.PartitionBy(func(op porcupine.Operation) idempotency.Key { return op.Output.(claimOp).key }),
	Init:      func() any { return idempotency.Revision(0) },
	Step: func(now, _, output any) (bool, any) {
		op := output.(claimOp)
		switch {
		case op.release:
			return now == op.holder, idempotency.Revision(0)
		case op.applied:
			return now == idempotency.Revision(0), op.holder
		}
		return now == op.holder, now
	},
	DescribeOperation: func(_, output any) string { return fmt.Sprintf("%+v", output) },
}

// claimingVM is one entry VM with its own table.
type claimingVM struct {
	name     string
	sequence uint64
	log      platformlog.Log
	table    *idempotency.Table
	results  map[idempotency.ClaimID]idempotency.Result
}

// applyThroughLog appends the entry until its result is known.
func (c *claimingVM) applyThroughLog(e idempotency.Entry, id idempotency.ClaimID) idempotency.Result {
	data := testkit.Must(idempotency.Encode(idempotency.Record{Entries: []idempotency.Entry{e}}))
	delete(c.results, id)
	for {
		_, _ = c.log.Append(context.Background(), "claims", data)
		batch, err := c.log.Read(context.Background(), "claims", platformlog.Offset(c.table.Applied()+1), 1000, 0)
		if err != nil {
			continue
		}
		for _, record := range batch.Records {
			for _, result := range c.table.Apply(uint64(record.Offset), record.Time, record.Data) {
				if _, known := c.results[result.ID]; !known && !result.Duplicate {
					c.results[result.ID] = result
				}
			}
		}
		if result, found := c.results[id]; found {
			return result
		}
	}
}

func (c *claimingVM) claim(key idempotency.Key) claimOp {
	c.sequence++
	id := idempotency.ClaimID{Claimer: c.name, Sequence: c.sequence}
	r := c.applyThroughLog(claimOf(c.name, c.sequence, key), id)
	return claimOp{key: key, applied: r.Verdict == idempotency.VerdictApplied, holder: r.Holder.Revision}
}

func (c *claimingVM) release(held claimOp) claimOp {
	id := idempotency.ClaimID{Claimer: c.name, Sequence: c.sequence}
	c.applyThroughLog(idempotency.Entry{Release: &idempotency.Release{Key: held.key, ClaimRevision: held.holder, ID: id}}, id)
	return claimOp{key: held.key, release: true, holder: held.holder}
}

// TestClaimsAreLinearizable checks the claims and releases of two keys by four
// entry VMs over a log that is slow and loses answers, so that claims are
// applied twice, or after their claimer asked again. All answers must fit one
// order in which a key has one holder at a time.
func TestClaimsAreLinearizable(t *testing.T) {
	var won atomic.Int64
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			store := logserver.New(logserver.Config{Seed: seed})
			store.Faults().Set(faults.Settings{SlowMS: 1, LoseProbability: 0.3})
			history := testkit.NewHistory()
			var vms sync.WaitGroup
			for client := range 4 {
				vms.Go(func() {
					random := rand.New(rand.NewPCG(seed, uint64(client)))
					c := &claimingVM{name: fmt.Sprint("vm", client), log: store.View(fmt.Sprint(client)),
						table: idempotency.NewTable(), results: map[idempotency.ClaimID]idempotency.Result{}}
					note := func(op func() claimOp) (answer claimOp) {
						time.Sleep(time.Duration(random.IntN(3000)) * time.Microsecond)
						history.Record(client, nil, func() any { answer = op(); return answer })
						if answer.applied {
							won.Add(1)
						}
						return answer
					}
					for range 6 {
						held := note(func() claimOp { return c.claim(keys[random.IntN(2)]) })
						if held.applied {
							note(func() claimOp { return c.release(held) })
						}
					}
				})
			}
			vms.Wait()
			if !porcupine.CheckOperations(claimModel, history.Operations()) {
				t.Errorf("seed %d: not linearizable", seed)
			}
		})
	}
	t.Logf("%d of 2400 claims won", won.Load())
	if won.Load() < 200 || won.Load() > 2200 {
		t.Errorf("%d of 2400 claims won, too few or too many for a meaningful check", won.Load())
	}
}
