package state_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"bergamotreel/internal/standin/faults"
	"bergamotreel/internal/standin/logserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/platformlog"
	"bergamotreel/state"
)

// configOp is one operator's publish or read of a contract, with its result.
type configOp struct {
	publish bool
	base    state.Revision
	// accepted and version are the result.
	accepted bool
	version  state.Revision
}

// configModel is a compare-and-set register that holds the contract's version.
var configModel = porcupine.Model{
	Init: func() any { return state.Revision(0) },
	Step: func(now, _, output any) (bool, any) {
		op := output.(configOp)
		switch {
		case !op.publish:
			return op.version == now, now
		case op.accepted:
			return op.base == now, op.version
		}
		return op.base != now, now
	},
	DescribeOperation: func(_, output any) string { return fmt.Sprintf("%+v", output) },
}

// operator is one client with its own copy of the state.
type operator struct {
	name     string
	sequence uint64
	log      platformlog.Log
	view     *state.State
	// acceptsOnAppend makes a faulty variant, which takes a change as accepted once
	// it is appended.
	acceptsOnAppend bool
	outcomes        map[uint64]state.Outcome
}

// applyToEnd applies the records up to the end that the log had at the first read.
func (o *operator) applyToEnd(ctx context.Context) {
	for end := platformlog.Offset(0); ; {
		batch, err := o.log.Read(ctx, "control", platformlog.Offset(o.view.Applied+1), 10, 0)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		if end == 0 {
			end = batch.End
		}
		for _, record := range batch.Records {
			for _, outcome := range o.view.Apply(uint64(record.Offset), record.Data) {
				if outcome.ID.Proposer == o.name && !outcome.Repeated {
					o.outcomes[outcome.ID.Sequence] = outcome
				}
			}
		}
		if o.view.Applied >= uint64(end) {
			return
		}
	}
}

// publish proposes a change based on the version it knows, and repeats it with the
// same ID until it finds the outcome in the log.
func (o *operator) publish(ctx context.Context) configOp {
	o.sequence++
	base := o.view.ContractVersion("hire")
	p := publish("hire", base, sections("hire", 5+int(o.sequence), 1, 2))
	p.ID = state.ProposalID{Proposer: o.name, Sequence: o.sequence}
	data := testkit.Must(state.Encode(state.Record{Proposals: []state.Proposal{p}}))
	for {
		offset, err := o.log.Append(ctx, "control", data)
		if err == nil && o.acceptsOnAppend {
			return configOp{publish: true, base: base, accepted: true, version: state.MakeRevision(uint64(offset), 0)}
		}
		o.applyToEnd(ctx)
		if outcome, found := o.outcomes[o.sequence]; found {
			return configOp{publish: true, base: base, accepted: outcome.Verdict == state.VerdictApplied, version: outcome.Revision}
		}
		if err != nil && !errors.Is(err, platformlog.ErrOutcomeUnknown) {
			time.Sleep(time.Millisecond)
		}
	}
}

// recordHistory lets operators publish and read concurrently through a log that is
// slow and loses replies.
func recordHistory(seed uint64, acceptsOnAppend bool) []porcupine.Operation {
	store := logserver.New(logserver.Config{Seed: seed})
	store.Faults().Set(faults.Settings{SlowMS: 1, LoseProbability: 0.4})
	history := testkit.NewHistory()
	var clients sync.WaitGroup
	for client := range 4 {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			o := &operator{name: fmt.Sprint("op", client), log: store.View(fmt.Sprint(client)), view: state.New(),
				acceptsOnAppend: acceptsOnAppend, outcomes: map[uint64]state.Outcome{}}
			for range 6 {
				time.Sleep(time.Duration(random.IntN(4000)) * time.Microsecond)
				history.Record(client, nil, func() any {
					if random.IntN(2) == 0 {
						return o.publish(context.Background())
					}
					o.applyToEnd(context.Background())
					return configOp{version: o.view.ContractVersion("hire")}
				})
			}
		})
	}
	clients.Wait()
	return history.Operations()
}

// TestConfigurationIsLinearizable guards against operators that see inconsistent
// results when they publish and read one contract concurrently. Replies are slow and
// get lost, so changes are appended that their operator thinks failed, or are appended
// twice. The history must be linearizable. The check must reject a faulty variant that
// trusts the reply of an append instead of the outcome, and so accepts the changes of
// two operators based on the same version.
func TestConfigurationIsLinearizable(t *testing.T) {
	detected := 0
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			if history := recordHistory(seed, false); !porcupine.CheckOperations(configModel, history) {
				t.Errorf("seed %d: not linearizable", seed)
			}
			if !porcupine.CheckOperations(configModel, recordHistory(seed, true)) {
				detected++
			}
		})
	}
	if detected == 0 {
		t.Error("the faulty variant was never detected")
	}
	t.Logf("faulty variant detected in %d of 100 histories", detected)
}
