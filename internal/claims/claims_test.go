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
	no    = refusal.RanNo
	maybe = refusal.RanMaybe
)

// A clerk's script sends a booking to two entry VMs at the same moment. One of
// them runs it; both callers get that booking's answer, and so does whoever
// repeats it later, also at a VM that has started since.
func TestFirstClaimWins(t *testing.T) {
	inDesk(t, 1, func(d *desk) {
		d.wantOneBookingEach([]*vm{d.start("a"), d.start("b")})
	})
}

// The log loses the answers of appends: a claim lands several times. The booking
// runs once.
func TestLostAppendAnswers(t *testing.T) {
	for seed := range uint64(5) {
		inDesk(t, seed+1, func(d *desk) {
			a, b := d.start("a"), d.start("b")
			d.log.Faults().Set(faults.Settings{LoseProbability: 0.5})
			for i := range 10 {
				key := fmt.Sprint("key", i)
				first := a.book(key, "bike", succeed)
				if again := b.book(key, "bike", succeed); first.booked == "" || again.booked != first.booked {
					t.Errorf("%s: %v, then %v", key, first, again)
				}
				d.wantRan(key, 1)
			}
		})
	}
}

// The entry VM dies between its claim and the answer. Nobody can know whether it
// sent the booking: repeats are told so at once, and none runs it again. A lost
// answer is told so as well.
func TestClaimerDies(t *testing.T) {
	for name, how := range map[string]attempt{"before": dieBefore, "after": dieAfter, "lost": lose} {
		inDesk(t, 1, func(d *desk) {
			a, b := d.start("a"), d.start("b")
			a.book("key", "bike", how)
			time.Sleep(time.Second)
			d.wantTold(name, b.book("key", "bike", succeed), refusal.CodeOutcomeUnknown, maybe)
			if n := d.times("key"); n > 1 {
				t.Errorf("%s: ran %d times", name, n)
			}
		})
	}
}

// A script sends another booking with a key that it used before. It is told of
// the conflict, and gets neither the other one's answer nor a second booking.
func TestKeyOfAnotherRequest(t *testing.T) {
	inDesk(t, 1, func(d *desk) {
		a, b := d.start("a"), d.start("b")
		a.book("key", "bike", succeed)
		conflict := b.book("key", "boat", succeed)
		d.wantTold("another body", conflict, refusal.CodeKeyConflict, no)
		if conflict.told != nil && conflict.told.HTTPStatus() != 409 {
			t.Errorf("status %d", conflict.told.HTTPStatus())
		}
		d.wantRan("key", 1)
	})
}

// An append hangs and lands long after its caller was told that nothing ran. The
// claim is given back, so that the caller's repeat, at another VM, can run.
func TestClaimLandsAfterRefusal(t *testing.T) {
	inDesk(t, 1, func(d *desk) {
		a, b := d.start("a"), d.start("b")
		a.view.Faults().Set(faults.Settings{SlowMS: 20_000})
		if first := a.book("key", "bike", succeed); first.told == nil || first.took > patience+time.Second {
			t.Errorf("during the hang: %v", first)
		}
		a.view.Heal()
		d.wantRan("key", 0)
		time.Sleep(30 * time.Second)
		d.wantBooked("repeated", b.book("key", "bike", succeed))
		d.wantRan("key", 1)
	})
}

// A caller's first try hangs: its claim is on the way to the log for 4 s. The
// caller leaves it and tries at b, which can't reach the backend server, says "not
// run" and gives the key back; so the caller books elsewhere. Then the first claim
// lands on the free key. It must not run any more, nor an arrival that waited for
// b's, nor one that came before and was only looked at after a freeze. A new try
// runs once. The naive twin, whose claims don't say what their arrivals had seen,
// runs the first try.
func TestRefusedCallRunsOnlyWhenAskedAgain(t *testing.T) {
	for name, naive := range map[string]bool{"ours": false, "twin": true} {
		inDesk(t, 1, func(d *desk) {
			d.forgetSeen = naive
			a, b, c := d.start("a"), d.start("b"), d.start("c")
			a.hang = 4 * time.Second
			frozenAt := time.Now()
			var hung answered
			var group sync.WaitGroup
			group.Go(func() { hung = a.book("key", "bike", succeed) })
			time.Sleep(time.Second)
			d.wantRefused(name+": refused", b.book("key", "bike", giveBack), no)
			group.Wait()
			if naive {
				d.wantRan("key", 1)
				return
			}
			d.wantRefused("frozen", c.bookFrom(frozenAt, "key", "bike", succeed), maybe)
			d.wantRefused("hung", hung, maybe)
			d.wantRan("key", 0)
			d.wantBooked("asked again", b.book("key", "bike", succeed))
			d.wantRan("key", 1)
		})
	}
}

// Two arrivals of a booking come to two entry VMs. The first has the claim and
// gives it back after a second: its caller is told "not run". The second waited
// for it and must not run then. Whoever asks again afterwards runs it, once.
func TestWaitingArrivalDoesNotRunAfterRefusal(t *testing.T) {
	inDesk(t, 1, func(d *desk) {
		a, b := d.start("a"), d.start("b")
		claim, _, err := a.Begin(a.ctx, booking(time.Now(), "key", "bike"))
		testkit.OK(t, err)
		var waited answered
		var group sync.WaitGroup
		group.Go(func() { waited = b.book("key", "bike", succeed) })
		time.Sleep(time.Second)
		claim.NotRun()
		group.Wait()
		if waited.told == nil || waited.told.Ran != maybe || waited.told.RetryAfter == 0 {
			t.Errorf("waited: %v", waited)
		}
		time.Sleep(waited.told.RetryAfter)
		d.wantBooked("asked again", b.book("key", "bike", succeed))
		d.wantRan("key", 1)
	})
}

// The log is out of reach. A booking is refused at once with "not run" where
// that is sure, and with "may have run" where an earlier arrival of it may have
// been dispatched by somebody whom this VM cannot hear or who cannot know. Each
// case prepares VMs a and b; the booking is then sent to b.
func TestOutageTellsWhatIsTrue(t *testing.T) {
	cases := map[string]struct {
		before func(d *desk, a, b *vm)
		want   refusal.Ran
	}{
		"nobody claimed": {func(*desk, *vm, *vm) {}, no},
		"peer cut off":   {func(_ *desk, a, _ *vm) { a.cut = true }, maybe},
		"peer is ahead": {func(_ *desk, a, b *vm) {
			b.view.Cut()
			a.book("key", "bike", succeed)
		}, maybe},
		"peer ran it and died": {func(_ *desk, a, b *vm) {
			b.view.Cut()
			a.book("key", "bike", dieAfter)
			time.Sleep(time.Hour)
		}, maybe},
		"peer ran it and restarted in the outage": {func(d *desk, a, b *vm) {
			b.view.Cut()
			a.book("key", "bike", dieAfter)
			d.log.Faults().Set(faults.Settings{Outage: true})
			// The new process stands where the old one was.
			d.vms = []*vm{b}
			d.start("a2")
		}, maybe},
		"peer died before the outage": {func(_ *desk, a, _ *vm) {
			a.die()
			time.Sleep(10 * time.Second)
		}, no},
		"another arrival waits for its claim": {func(d *desk, a, b *vm) {
			b.view.Cut()
			a.view.Faults().Set(faults.Settings{SlowMS: 4000})
			go a.book("key", "bike", succeed)
			time.Sleep(100 * time.Millisecond)
		}, maybe},
		"ran before the outage": {func(_ *desk, a, _ *vm) { a.book("key", "bike", dieAfter) }, maybe},
	}
	for name, c := range cases {
		inDesk(t, 1, func(d *desk) {
			a, b := d.start("a"), d.start("b")
			c.before(d, a, b)
			d.log.Faults().Set(faults.Settings{Outage: true})
			time.Sleep(time.Second)
			got := b.book("key", "bike", succeed)
			if got.told == nil || got.told.Ran != c.want || got.took > 100*time.Millisecond {
				t.Errorf("%s: %v, want ran %s", name, got, c.want)
			}
		})
	}
}

// All entry VMs restart while the log is out of reach. None knows any claim, and
// all agree that nobody is ahead; still a booking may have run before.
func TestRestartOfAllInOutage(t *testing.T) {
	inDesk(t, 1, func(d *desk) {
		a := d.start("a")
		a.book("key", "bike", dieAfter)
		d.log.Faults().Set(faults.Settings{Outage: true})
		d.vms = nil
		b, _ := d.start("b"), d.start("c")
		time.Sleep(time.Hour)
		d.wantTold("after the restart", b.book("key", "bike", succeed), refusal.CodeLogUnavailable, maybe)
	})
}
