package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bergamotreel/internal/commit"
	"bergamotreel/internal/standin/faults"
	"bergamotreel/internal/standin/logserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/state"
)

// runTwoVMs runs a test with the Controls of two VMs that share a log.
func runTwoVMs(t *testing.T, config logserver.Config, test func(t *testing.T, log *logserver.Store, a, b *Control)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		log := logserver.New(config)
		start := func(name string) *Control {
			c := New(Config{
				Log: log.View(name), Logger: zap.NewNop(), Incarnation: name,
				WritesSnapshots: func() bool { return name == "a" }, SnapshotMaxAge: 10 * time.Second,
			})
			for _, task := range []func(context.Context){c.Follow, c.Commit, c.WriteSnapshots} {
				running.Go(func() { task(ctx) })
			}
			return c
		}
		test(t, log, start("a"), start("b"))
		cancel()
		running.Wait()
	})
}

func openSession(vm string) state.Proposal {
	return state.Proposal{SessionOpen: &state.SessionOpen{VM: vm, Incarnation: vm, Domain: "d"}}
}

// TestRetryAtAnotherVM guards against applying an operator's change twice. The change is
// appended and its reply is lost; it is proposed again at another VM, after a snapshot
// that the first VM wrote. The retry must return the first outcome.
func TestRetryAtAnotherVM(t *testing.T) {
	runTwoVMs(t, logserver.Config{MaxAge: time.Minute}, func(t *testing.T, log *logserver.Store, a, b *Control) {
		id := state.ProposalID{Proposer: "change/1", Sequence: 1}
		log.View("a").Faults().Set(faults.Settings{LoseProbability: 1})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		testkit.WantError(t, "answer lost", testkit.Err(a.ProposeAs(ctx, id, openSession("x"))), commit.ErrOutcomeUnknown)
		log.View("a").Heal()
		time.Sleep(5 * time.Minute)
		again, err := b.ProposeAs(t.Context(), id, openSession("x"))
		if err != nil || again.Verdict != state.VerdictApplied || !again.Repeated {
			t.Errorf("again: %+v, %v", again, err)
		}
		b.View(func(s *state.State) {
			testkit.Equal(t, "sessions", len(s.Sessions), 1)
		})
	})
}

// TestOutcomeThroughPeer guards against a proposal that waits for its outcome while its
// VM is cut off from the log. The VM must get the outcome from the records of a peer.
func TestOutcomeThroughPeer(t *testing.T) {
	runTwoVMs(t, logserver.Config{}, func(t *testing.T, log *logserver.Store, a, b *Control) {
		time.Sleep(time.Second)
		log.View("a").Faults().Set(faults.Settings{SlowMS: 500})
		outcomes := make(chan state.Outcome, 1)
		go func() {
			outcome, _ := a.Propose(t.Context(), openSession("a"))
			outcomes <- outcome
		}()
		time.Sleep(100 * time.Millisecond)
		log.View("a").Disconnect()
		time.Sleep(time.Second)
		records, err := b.RecordsSince(1)
		if err != nil || len(records.Records) != 1 || !a.IsBehind(1) {
			t.Errorf("peer knows %d records, %v", len(records.Records), err)
		}
		a.ApplyPeerRecords(records)
		select {
		case outcome := <-outcomes:
			testkit.Equal(t, "verdict", outcome.Verdict, state.VerdictApplied)
		case <-time.After(time.Minute):
			t.Error("no outcome")
		}
	})
}
