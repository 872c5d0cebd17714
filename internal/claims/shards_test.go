package claims_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/idempotency"
	"bergamotreel/internal/claims"
	"bergamotreel/internal/standin/faults"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
)

var errNoAnswer = errors.New("no answer")

// holdersOf are the processes that should hold a shard: two of those that are
// there, or have died within the last 10 s, as lists trail.
func (d *desk) holdersOf(shard int) (names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.vms {
		if v.diedAt.IsZero() || time.Since(v.diedAt) < 10*time.Second {
			names = append(names, v.name)
		}
	}
	slices.Sort(names)
	names = append(names, names...) // once around
	if n := len(names) / 2; n > 2 {
		return names[shard%n : shard%n+2]
	}
	return names[:len(names)/2]
}

func (v *vm) startShards(config claims.Config) {
	v.sharded = claims.NewShards(claims.ShardsConfig{
		Config: config, Count: v.desk.shards, Peer: wire{desk: v.desk}, WritesShardSnapshots: func(int) bool { return false },
		Holders: func(shard int) (holders []claims.Holder) {
			for _, name := range v.desk.holdersOf(shard) {
				holders = append(holders, claims.Holder{Address: name, Self: name == v.name})
			}
			return holders
		},
	})
	v.duties.Go(func() { v.sharded.Run(v.ctx) })
}

// wire is the network between entry VMs.
type wire struct {
	entryvm.Peer
	desk *desk
}

func (w wire) to(ctx context.Context, address string) (*vm, error) {
	w.desk.mu.Lock()
	defer w.desk.mu.Unlock()
	i := slices.IndexFunc(w.desk.vms, func(v *vm) bool { return v.name == address })
	if i < 0 || !w.desk.vms[i].diedAt.IsZero() || w.desk.vms[i].cut {
		return nil, errNoAnswer
	}
	return w.desk.vms[i], ctx.Err()
}

// answer delivers what a holder says, late or not at all.
func (w wire) answer(ctx context.Context, v *vm) error {
	time.Sleep(v.slow)
	w.desk.mu.Lock()
	defer w.desk.mu.Unlock()
	if !v.diedAt.IsZero() || v.cut || v.silent || ctx.Err() != nil || w.desk.random.Float64() < w.desk.loseReplies {
		return errNoAnswer
	}
	return nil
}

func (w wire) Claim(ctx context.Context, address string, call entryvm.ClaimCall) (entryvm.ClaimResult, error) {
	v, err := w.to(ctx, address)
	if err != nil {
		return entryvm.ClaimResult{}, err
	}
	result := v.sharded.Claim(call)
	if err := w.answer(ctx, v); err != nil {
		if w.desk.hasty {
			go v.sharded.Settle(released(call))
		}
		return entryvm.ClaimResult{}, err
	}
	return result, nil
}

func released(call entryvm.ClaimCall) entryvm.ClaimCall {
	record := testkit.Must(idempotency.Decode(call.Record))
	claim := record.Entries[0].Claim
	record.Entries[0] = idempotency.Entry{Release: &idempotency.Release{Key: claim.Key, ID: claim.ID}}
	call.Record = testkit.Must(idempotency.Encode(record))
	return call
}

func (w wire) Settle(ctx context.Context, address string, call entryvm.ClaimCall) (bool, error) {
	v, err := w.to(ctx, address)
	if err != nil {
		return false, err
	}
	stored := v.sharded.Settle(call)
	return stored, w.answer(ctx, v)
}

// shardOf is the shard of a booking.
func (d *desk) shardOf(key string) int {
	return idempotency.ShardOf(idempotency.KeyOf("hire", key), d.shards)
}

// parties returns a VM that holds the booking's shard, the other holder, and one
// that holds it not.
func (d *desk) parties(key string, vms []*vm) (first, second, asker *vm) {
	names := d.holdersOf(d.shardOf(key))
	for _, v := range vms {
		switch slices.Index(names, v.name) {
		case 0:
			first = v
		case 1:
			second = v
		default:
			asker = v
		}
	}
	return first, second, asker
}

func inShards(t *testing.T, seed uint64, test func(d *desk, vms []*vm)) {
	inDesk(t, seed, func(d *desk) {
		d.shards = 3
		vms := []*vm{d.start("a"), d.start("b"), d.start("c"), d.start("d")}
		time.Sleep(2 * time.Minute) // until nobody holds a shard that became others'
		test(d, vms)
	})
}

// A clerk's script sends a booking to all entry VMs at the same moment, of which
// two hold its shard. One runs it and all callers get that booking's answer, also
// whoever repeats it later, and another booking with the key is refused.
func TestBookingOverShardsRunsOnce(t *testing.T) {
	inShards(t, 1, func(d *desk, vms []*vm) {
		d.wantOneBookingEach(vms)
	})
}

// The holder that is asked first dies, is cut off, is slow, loses its answer, or
// has lost the log; the claim may be in the log by then. The booking runs, by the
// other holder's word, or its caller is told truly that it may have run; a repeat
// at any VM never runs it again.
func TestHolderFails(t *testing.T) {
	for name, fail := range map[string]func(d *desk, first *vm){
		"dies": func(_ *desk, first *vm) { first.die() },
		"dies halfway": func(_ *desk, first *vm) {
			first.slow = time.Second
			go func() { time.Sleep(500 * time.Millisecond); first.die() }()
		},
		"cut off": func(_ *desk, first *vm) { first.cut = true },
		"slow":    func(_ *desk, first *vm) { first.slow = 3 * time.Second },
		// Proposals queue behind appends of 700 ms, longer than one question waits.
		"slow log": func(d *desk, _ *vm) { d.log.Faults().Set(faults.Settings{SlowMS: 700}) },
		"loses the log": func(_ *desk, first *vm) {
			first.view.Cut()
		},
		"loses answers": func(d *desk, _ *vm) { d.loseReplies = 0.7 },
	} {
		for seed := range uint64(5) {
			inShards(t, seed, func(d *desk, vms []*vm) {
				first, second, asker := d.parties("key", vms)
				fail(d, first)
				got := asker.book("key", "bike", succeed)
				if got.booked == "" && name != "loses answers" {
					t.Errorf("%s: %v", name, got)
				}
				again := second.book("key", "bike", succeed)
				if again.booked != got.booked && got.booked != "" {
					t.Errorf("%s: repeated: %v", name, again)
				}
				if n := d.times("key"); n > 1 {
					t.Errorf("%s: ran %d times", name, n)
				}
			})
		}
	}
}

// The VM that asks dies with the claim in its hands, or runs out of time while its
// claim is on the way to the log. A dead one's booking is told "may have run" and
// not run again; a claim that was given up is released when it lands, and a new
// try runs once.
func TestAskerFails(t *testing.T) {
	inShards(t, 1, func(d *desk, vms []*vm) {
		first, _, asker := d.parties("key", vms)
		asker.book("key", "bike", dieAfter)
		d.wantTold("after the death", first.book("key", "bike", succeed), refusal.CodeOutcomeUnknown, maybe)
		d.wantRan("key", 1)
	})
	inShards(t, 1, func(d *desk, vms []*vm) {
		first, second, asker := d.parties("key", vms)
		first.hang, second.hang = 8*time.Second, 8*time.Second
		if hung := asker.book("key", "bike", succeed); hung.told == nil || hung.told.Ran != maybe || hung.took > patience {
			t.Errorf("hung: %v", hung)
		}
		time.Sleep(time.Minute)
		d.wantRan("key", 0)
		first.hang, second.hang = 0, 0
		// The asker has heard nothing of the stream since that release.
		d.wantRefused("asked before the release was known", asker.book("key", "bike", succeed), maybe)
		d.wantBooked("asked again", asker.book("key", "bike", succeed))
		d.wantRan("key", 1)
	})
}

// A VM is frozen just after a booking has come. Its caller leaves it, is told "not
// run" at a holder, and books elsewhere. The VM thaws, and has heard of the stream
// beyond that release before it asks for the booking: it must not run. A new try
// does. The naive twin's claims don't say what their arrival had seen.
func TestFrozenAskerDoesNotRunWhatWasRefused(t *testing.T) {
	for _, naive := range []bool{false, true} {
		inShards(t, 1, func(d *desk, vms []*vm) {
			d.forgetSeen = naive
			first, _, asker := d.parties("key", vms)
			frozenAt := time.Now()
			first.book("key", "bike", giveBack)
			time.Sleep(time.Second)
			for i := range 10 { // some of them in the same shard
				asker.book(fmt.Sprint("other", i), "bike", succeed)
			}
			thawed := asker.bookFrom(frozenAt, "key", "bike", succeed)
			if naive {
				d.wantRan("key", 1)
				return
			}
			d.wantRefused("after the thaw", thawed, maybe)
			d.wantRan("key", 0)
			d.wantBooked("asked again", asker.book("key", "bike", succeed))
			d.wantRan("key", 1)
		})
	}
}

// The log is out of reach of all. A booking is refused at once with "may have
// run": nobody can speak for all who may have dispatched it.
func TestOutageOverShards(t *testing.T) {
	inShards(t, 1, func(d *desk, vms []*vm) {
		d.log.Faults().Set(faults.Settings{Outage: true})
		time.Sleep(3 * time.Second)
		for _, v := range vms {
			d.wantTold(v.name, v.book("key", "bike", succeed), refusal.CodeLogUnavailable, maybe)
		}
	})
}

// The first holder's answer "won" is lost; the second one finds the claim in the
// log, and the asker books. A holder releases no claim by itself: the naive twin's
// does, because it couldn't answer who asked, and the next arrival books again.
func TestHolderReleasesByItsAskersWordOnly(t *testing.T) {
	for _, hasty := range []bool{false, true} {
		inShards(t, 1, func(d *desk, vms []*vm) {
			first, second, asker := d.parties("key", vms)
			d.hasty, first.silent = hasty, true
			asker.book("key", "bike", func(_ *vm, run func()) bool { time.Sleep(time.Second); run(); return true })
			time.Sleep(time.Minute)
			second.book("key", "bike", succeed)
			if hasty {
				d.wantRan("key", 2)
			} else {
				d.wantRan("key", 1)
			}
		})
	}
}

// The storms, over shards and with lost answers of holders.
func TestStormOverShards(t *testing.T) {
	checkStorms(t, func(d *desk) { d.shards, d.loseReplies = 3, 0.2 })
}

// Twelve entry VMs are sent 60 bookings a second. Each for itself appends nearly
// every claim and outcome alone; holders of shards join those of all callers.
func TestHoldersJoinClaims(t *testing.T) {
	appends := make(map[int]uint64)
	for _, shards := range []int{0, 2} {
		inDesk(t, 1, func(d *desk) {
			d.shards = shards
			var vms []*vm
			for i := range 12 {
				vms = append(vms, d.start(fmt.Sprint("vm", i)))
			}
			time.Sleep(2 * time.Minute)
			var group sync.WaitGroup
			for i := range 600 {
				group.Go(func() {
					if a := vms[i%12].book(fmt.Sprint("key", i), "bike", succeed); a.booked == "" || a.took > time.Second {
						t.Errorf("%d shards: %v", shards, a)
					}
				})
				time.Sleep(time.Second / 60)
			}
			group.Wait()
			time.Sleep(time.Second)
			appends[shards] = d.appended()
		})
	}
	t.Logf("appends for 600 bookings: %d in one stream, %d over 2 shards", appends[0], appends[2])
	if appends[2]*4 > appends[0] {
		t.Error("holders join too little")
	}
}

// appended counts the records of all streams.
func (d *desk) appended() (records uint64) {
	streams := []string{claims.Stream}
	for shard := range d.shards {
		streams = append(streams, fmt.Sprintf("%s-%d-%d", claims.Stream, d.shards, shard))
	}
	for _, stream := range streams {
		records += uint64(testkit.Value(d.log.View("count").Read(d.t.Context(), stream, 1, 1, 0))(d.t).End)
	}
	return records
}
