package claims_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"bergamotreel/internal/standin/faults"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
)

const (
	notRun     = refusal.RanNo
	mayHaveRun = refusal.RanMaybe
)

// Two entry VMs get the same booking at the same moment. One of them runs it.
// Both callers get that booking's answer, and so does a later repeat, including
// at a VM that started afterwards.
func TestFirstClaimWins(t *testing.T) {
	runInCluster(t, 1, func(cl *cluster) {
		cl.wantEachBookingRunsOnce([]*vm{cl.start("a"), cl.start("b")})
	})
}

// The log loses the answers of appends, so that a claim is appended several
// times. The booking runs once.
func TestLostAppendAnswers(t *testing.T) {
	for seed := range uint64(5) {
		runInCluster(t, seed+1, func(cl *cluster) {
			a, b := cl.start("a"), cl.start("b")
			cl.log.Faults().Set(faults.Settings{LoseProbability: 0.5})
			for i := range 10 {
				key := fmt.Sprint("key", i)
				first := a.book(key, "bike", succeed)
				if again := b.book(key, "bike", succeed); first.booked == "" || again.booked != first.booked {
					t.Errorf("%s: %v, then %v", key, first, again)
				}
				cl.wantRan(key, 1)
			}
		})
	}
}

// The entry VM dies between its claim and the answer, or the answer is lost, so
// no one knows whether the booking was sent. Repeats are told so at once, and
// none runs it again.
func TestClaimerDies(t *testing.T) {
	for name, how := range map[string]dispatchFunc{"before": dieBefore, "after": dieAfter, "lost": loseAnswer} {
		runInCluster(t, 1, func(cl *cluster) {
			a, b := cl.start("a"), cl.start("b")
			a.book("key", "bike", how)
			time.Sleep(time.Second)
			cl.wantRefusedAtOnce(name, b.book("key", "bike", succeed), refusal.CodeOutcomeUnknown, mayHaveRun)
			if n := cl.runCount("key"); n > 1 {
				t.Errorf("%s: ran %d times", name, n)
			}
		})
	}
}

// A key is reused for another booking. The caller is told of the conflict, and
// gets neither the other booking's answer nor a second booking.
func TestKeyReusedForAnotherRequest(t *testing.T) {
	runInCluster(t, 1, func(cl *cluster) {
		a, b := cl.start("a"), cl.start("b")
		a.book("key", "bike", succeed)
		conflict := b.book("key", "boat", succeed)
		cl.wantRefusedAtOnce("another body", conflict, refusal.CodeKeyConflict, notRun)
		if conflict.refusal != nil && conflict.refusal.HTTPStatus() != 409 {
			t.Errorf("status %d", conflict.refusal.HTTPStatus())
		}
		cl.wantRan("key", 1)
	})
}

// An append hangs and the claim is applied long after its caller was told that
// nothing ran. The claim is released, so that the caller's repeat at another VM
// can run.
func TestClaimAppliedAfterRefusal(t *testing.T) {
	runInCluster(t, 1, func(cl *cluster) {
		a, b := cl.start("a"), cl.start("b")
		a.view.Faults().Set(faults.Settings{SlowMS: 20_000})
		if first := a.book("key", "bike", succeed); first.refusal == nil || first.duration > callTimeout+time.Second {
			t.Errorf("during the hang: %v", first)
		}
		a.view.Heal()
		cl.wantRan("key", 0)
		time.Sleep(30 * time.Second)
		cl.wantBooked("repeated", b.book("key", "bike", succeed))
		cl.wantRan("key", 1)
	})
}

// A call must not run after its caller was told "not run". A caller's first
// attempt hangs, because its claim takes 4 s to reach the log. The caller tries
// again at b, which can't reach the backend server, answers "not run" and
// releases the key; the caller books elsewhere. Then the first claim reaches
// the log and finds the key free. Neither that attempt may run, nor one that
// arrived before and is only handled after a freeze. A new attempt runs once.
// In the faulty variant, claims do not carry FirstUnseen, and the first attempt
// runs.
func TestRefusedCallRunsOnlyWhenRepeated(t *testing.T) {
	for name, faulty := range map[string]bool{"correct": false, "faulty": true} {
		runInCluster(t, 1, func(cl *cluster) {
			cl.dropFirstUnseen = faulty
			a, b, c := cl.start("a"), cl.start("b"), cl.start("c")
			a.appendDelay = 4 * time.Second
			frozenAt := time.Now()
			var hung callResult
			var group sync.WaitGroup
			group.Go(func() { hung = a.book("key", "bike", succeed) })
			time.Sleep(time.Second)
			cl.wantRefused(name+": refused", b.book("key", "bike", notSent), notRun)
			group.Wait()
			if faulty {
				cl.wantRan("key", 1)
				return
			}
			cl.wantRefused("frozen", c.bookArrived(frozenAt, "key", "bike", succeed), mayHaveRun)
			cl.wantRefused("hung", hung, mayHaveRun)
			cl.wantRan("key", 0)
			cl.wantBooked("asked again", b.book("key", "bike", succeed))
			cl.wantRan("key", 1)
		})
	}
}

// A waiting attempt must not run after another one was told "not run". Two
// entry VMs get the same booking. The first has the claim and releases it after
// a second, and its caller is told "not run". The second waited for it and must
// not run. A later attempt runs once.
func TestWaitingAttemptDoesNotRunAfterRefusal(t *testing.T) {
	runInCluster(t, 1, func(cl *cluster) {
		a, b := cl.start("a"), cl.start("b")
		claim, _, err := a.Begin(a.ctx, newBookingCall(time.Now(), "key", "bike"))
		testkit.OK(t, err)
		var waited callResult
		var group sync.WaitGroup
		group.Go(func() { waited = b.book("key", "bike", succeed) })
		time.Sleep(time.Second)
		claim.Release()
		group.Wait()
		if waited.refusal == nil || waited.refusal.Ran != mayHaveRun || waited.refusal.RetryAfter == 0 {
			t.Errorf("waited: %v", waited)
		}
		time.Sleep(waited.refusal.RetryAfter)
		cl.wantBooked("asked again", b.book("key", "bike", succeed))
		cl.wantRan("key", 1)
	})
}

// The log is unreachable. A booking is refused at once with "not run" if that
// is certain, and with "may have run" if an earlier attempt may have been
// dispatched by a VM that is unreachable or can't know. Each case prepares VMs
// a and b; the booking is then sent to b.
func TestOutageReportsWhetherCallRan(t *testing.T) {
	cases := map[string]struct {
		before func(cl *cluster, a, b *vm)
		want   refusal.Ran
	}{
		"no claim":         {func(*cluster, *vm, *vm) {}, notRun},
		"peer unreachable": {func(_ *cluster, a, _ *vm) { a.partitioned = true }, mayHaveRun},
		"peer has applied more": {func(_ *cluster, a, b *vm) {
			b.view.Disconnect()
			a.book("key", "bike", succeed)
		}, mayHaveRun},
		"peer ran it and died": {func(_ *cluster, a, b *vm) {
			b.view.Disconnect()
			a.book("key", "bike", dieAfter)
			time.Sleep(time.Hour)
		}, mayHaveRun},
		"peer ran it and restarted in the outage": {func(cl *cluster, a, b *vm) {
			b.view.Disconnect()
			a.book("key", "bike", dieAfter)
			cl.log.Faults().Set(faults.Settings{Outage: true})
			// The new process replaces the old one on the same VM.
			cl.vms = []*vm{b}
			cl.start("a2")
		}, mayHaveRun},
		"peer died before the outage": {func(_ *cluster, a, _ *vm) {
			a.die()
			time.Sleep(10 * time.Second)
		}, notRun},
		"another attempt waits for its claim": {func(cl *cluster, a, b *vm) {
			b.view.Disconnect()
			a.view.Faults().Set(faults.Settings{SlowMS: 4000})
			go a.book("key", "bike", succeed)
			time.Sleep(100 * time.Millisecond)
		}, mayHaveRun},
		"ran before the outage": {func(_ *cluster, a, _ *vm) { a.book("key", "bike", dieAfter) }, mayHaveRun},
	}
	for name, tt := range cases {
		runInCluster(t, 1, func(cl *cluster) {
			a, b := cl.start("a"), cl.start("b")
			tt.before(cl, a, b)
			cl.log.Faults().Set(faults.Settings{Outage: true})
			time.Sleep(time.Second)
			got := b.book("key", "bike", succeed)
			if got.refusal == nil || got.refusal.Ran != tt.want || got.duration > 100*time.Millisecond {
				t.Errorf("%s: %v, want ran %s", name, got, tt.want)
			}
		})
	}
}

// All entry VMs restart while the log is unreachable. None knows any claim, and
// none has applied more than the others. The booking may have run before, so it
// must not be refused with "not run".
func TestRestartOfAllVMsDuringOutage(t *testing.T) {
	runInCluster(t, 1, func(cl *cluster) {
		a := cl.start("a")
		a.book("key", "bike", dieAfter)
		cl.log.Faults().Set(faults.Settings{Outage: true})
		cl.vms = nil
		b, _ := cl.start("b"), cl.start("c")
		time.Sleep(time.Hour)
		cl.wantRefusedAtOnce("after the restart", b.book("key", "bike", succeed), refusal.CodeLogUnavailable, mayHaveRun)
	})
}
