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

// A clerk's script sends a booking to two entry VMs at the same moment. One of
// them runs it; both callers get that booking's answer, and so does whoever
// repeats it later, also at a VM that has started since.
func TestFirstClaimWins(t *testing.T) {
	runInCluster(t, 1, func(cl *cluster) {
		cl.wantEachBookingRunsOnce([]*vm{cl.start("a"), cl.start("b")})
	})
}

// The log loses the answers of appends: a claim lands several times. The booking
// runs once.
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

// The entry VM dies between its claim and the answer. Nobody can know whether it
// sent the booking: repeats are told so at once, and none runs it again. A lost
// answer is told so as well.
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

// A script sends another booking with a key that it used before. It is told of
// the conflict, and gets neither the other one's answer nor a second booking.
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

// An append hangs and lands long after its caller was told that nothing ran. The
// claim is given back, so that the caller's repeat, at another VM, can run.
func TestClaimLandsAfterRefusal(t *testing.T) {
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

// A caller's first try hangs: its claim is on the way to the log for 4 s. The
// caller leaves it and tries at b, which can't reach the backend server, says "not
// run" and gives the key back; so the caller books elsewhere. Then the first claim
// lands on the free key. It must not run any more, nor an arrival that waited for
// b's, nor one that came before and was only looked at after a freeze. A new try
// runs once. The naive twin, whose claims don't say what their arrivals had seen,
// runs the first try.
func TestRefusedCallRunsOnlyWhenRepeated(t *testing.T) {
	for name, faulty := range map[string]bool{"ours": false, "twin": true} {
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

// Two arrivals of a booking come to two entry VMs. The first has the claim and
// gives it back after a second: its caller is told "not run". The second waited
// for it and must not run then. Whoever asks again afterwards runs it, once.
func TestWaitingArrivalDoesNotRunAfterRefusal(t *testing.T) {
	runInCluster(t, 1, func(cl *cluster) {
		a, b := cl.start("a"), cl.start("b")
		claim, _, err := a.Begin(a.ctx, newBookingCall(time.Now(), "key", "bike"))
		testkit.OK(t, err)
		var waited callResult
		var group sync.WaitGroup
		group.Go(func() { waited = b.book("key", "bike", succeed) })
		time.Sleep(time.Second)
		claim.NotRun()
		group.Wait()
		if waited.refusal == nil || waited.refusal.Ran != mayHaveRun || waited.refusal.RetryAfter == 0 {
			t.Errorf("waited: %v", waited)
		}
		time.Sleep(waited.refusal.RetryAfter)
		cl.wantBooked("asked again", b.book("key", "bike", succeed))
		cl.wantRan("key", 1)
	})
}

// The log is out of reach. A booking is refused at once with "not run" where
// that is sure, and with "may have run" where an earlier arrival of it may have
// been dispatched by somebody whom this VM cannot hear or who cannot know. Each
// case prepares VMs a and b; the booking is then sent to b.
func TestOutageReportsWhetherCallRan(t *testing.T) {
	cases := map[string]struct {
		before func(cl *cluster, a, b *vm)
		want   refusal.Ran
	}{
		"nobody claimed": {func(*cluster, *vm, *vm) {}, notRun},
		"peer cut off":   {func(_ *cluster, a, _ *vm) { a.partitioned = true }, mayHaveRun},
		"peer is ahead": {func(_ *cluster, a, b *vm) {
			b.view.Cut()
			a.book("key", "bike", succeed)
		}, mayHaveRun},
		"peer ran it and died": {func(_ *cluster, a, b *vm) {
			b.view.Cut()
			a.book("key", "bike", dieAfter)
			time.Sleep(time.Hour)
		}, mayHaveRun},
		"peer ran it and restarted in the outage": {func(cl *cluster, a, b *vm) {
			b.view.Cut()
			a.book("key", "bike", dieAfter)
			cl.log.Faults().Set(faults.Settings{Outage: true})
			// The new process stands where the old one was.
			cl.vms = []*vm{b}
			cl.start("a2")
		}, mayHaveRun},
		"peer died before the outage": {func(_ *cluster, a, _ *vm) {
			a.die()
			time.Sleep(10 * time.Second)
		}, notRun},
		"another arrival waits for its claim": {func(cl *cluster, a, b *vm) {
			b.view.Cut()
			a.view.Faults().Set(faults.Settings{SlowMS: 4000})
			go a.book("key", "bike", succeed)
			time.Sleep(100 * time.Millisecond)
		}, mayHaveRun},
		"ran before the outage": {func(_ *cluster, a, _ *vm) { a.book("key", "bike", dieAfter) }, mayHaveRun},
	}
	for name, c := range cases {
		runInCluster(t, 1, func(cl *cluster) {
			a, b := cl.start("a"), cl.start("b")
			c.before(cl, a, b)
			cl.log.Faults().Set(faults.Settings{Outage: true})
			time.Sleep(time.Second)
			got := b.book("key", "bike", succeed)
			if got.refusal == nil || got.refusal.Ran != c.want || got.duration > 100*time.Millisecond {
				t.Errorf("%s: %v, want ran %s", name, got, c.want)
			}
		})
	}
}

// All entry VMs restart while the log is out of reach. None knows any claim, and
// all agree that nobody is ahead; still a booking may have run before.
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
