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

// configOp is one operator's publish or read of a contract, and its answer.
type configOp struct {
	publish bool
	base    state.Revision
	// accepted and version are the answer.
	accepted bool
	version  state.Revision
}

// configModel is a register that changes only from the named version on.
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

// operator is one client with a fold of its own.
type operator struct {
	name     string
	sequence uint64
	log      platformlog.Log
	view     *state.State
	// blind is the naive twin: it takes its change as accepted once appended.
	blind    bool
	outcomes map[uint64]state.Outcome
}

// sync folds up to what was the end of the log when it asked.
func (o *operator) sync(ctx context.Context) {
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

// publish proposes on the version it knows, and again with the same identity
// until it finds the outcome in the log.
func (o *operator) publish(ctx context.Context) configOp {
	o.sequence++
	base := o.view.ConfigVersion("hire")
	p := publish("hire", base, sections("hire", 5+int(o.sequence), 1, 2))
	p.ID = state.ProposalID{Proposer: o.name, Sequence: o.sequence}
	data := testkit.Must(state.Encode(state.Record{Proposals: []state.Proposal{p}}))
	for {
		offset, err := o.log.Append(ctx, "control", data)
		if err == nil && o.blind {
			return configOp{publish: true, base: base, accepted: true, version: state.MakeRevision(uint64(offset), 0)}
		}
		o.sync(ctx)
		if outcome, found := o.outcomes[o.sequence]; found {
			return configOp{publish: true, base: base, accepted: outcome.Verdict == state.VerdictApplied, version: outcome.Revision}
		}
		if err != nil && !errors.Is(err, platformlog.ErrUnknown) {
			time.Sleep(time.Millisecond)
		}
	}
}

// configHistory lets operators publish and read at once over a log that is slow
// and loses answers.
func configHistory(seed uint64, blind bool) []porcupine.Operation {
	store := logserver.New(logserver.Config{Seed: seed})
	store.Faults().Set(faults.Settings{SlowMS: 1, LoseProbability: 0.4})
	history := testkit.NewHistory()
	var clients sync.WaitGroup
	for client := range 4 {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			o := &operator{name: fmt.Sprint("op", client), log: store.View(fmt.Sprint(client)), view: state.New(),
				blind: blind, outcomes: map[uint64]state.Outcome{}}
			for range 6 {
				time.Sleep(time.Duration(random.IntN(4000)) * time.Microsecond)
				history.Note(client, nil, func() any {
					if random.IntN(2) == 0 {
						return o.publish(context.Background())
					}
					o.sync(context.Background())
					return configOp{version: o.view.ConfigVersion("hire")}
				})
			}
		})
	}
	clients.Wait()
	return history.Operations()
}

// TestConfigurationIsLinearizable: operators publish and read one contract at
// once while answers are slow and get lost, so that changes land that their
// operator thinks failed, and land twice. Each answer fits one order of all of
// them. The naive twin believes an append's answer instead of the fold, tells
// two operators on one version that both were accepted, and is found out.
func TestConfigurationIsLinearizable(t *testing.T) {
	found := 0
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			if history := configHistory(seed, false); !porcupine.CheckOperations(configModel, history) {
				t.Errorf("seed %d: not linearizable", seed)
			}
			if !porcupine.CheckOperations(configModel, configHistory(seed, true)) {
				found++
			}
		})
	}
	if found == 0 {
		t.Error("the naive twin was never found out")
	}
	t.Logf("naive twin found out in %d of 100 histories", found)
}
