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
func (cl *cluster) holdersOf(shard int) (names []string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, v := range cl.vms {
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
	v.shards = claims.NewShards(claims.ShardsConfig{
		Config: config, Count: v.cluster.shards, Peer: network{cluster: v.cluster}, WritesShardSnapshots: func(int) bool { return false },
		Holders: func(shard int) (holders []claims.Holder) {
			for _, name := range v.cluster.holdersOf(shard) {
				holders = append(holders, claims.Holder{Address: name, Self: name == v.name})
			}
			return holders
		},
	})
	v.background.Go(func() { v.shards.Run(v.ctx) })
}

// wire is the network between entry VMs.
type network struct {
	entryvm.Peer
	cluster *cluster
}

func (w network) peerAt(ctx context.Context, address string) (*vm, error) {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	i := slices.IndexFunc(w.cluster.vms, func(v *vm) bool { return v.name == address })
	if i < 0 || !w.cluster.vms[i].diedAt.IsZero() || w.cluster.vms[i].partitioned {
		return nil, errNoAnswer
	}
	return w.cluster.vms[i], ctx.Err()
}

// answer delivers what a holder says, late or not at all.
func (w network) deliverReply(ctx context.Context, v *vm) error {
	time.Sleep(v.replyDelay)
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	if !v.diedAt.IsZero() || v.partitioned || v.losesReplies || ctx.Err() != nil || w.cluster.random.Float64() < w.cluster.loseReplies {
		return errNoAnswer
	}
	return nil
}

func (w network) Claim(ctx context.Context, address string, call entryvm.ClaimCall) (entryvm.ClaimResult, error) {
	v, err := w.peerAt(ctx, address)
	if err != nil {
		return entryvm.ClaimResult{}, err
	}
	result := v.shards.Claim(call)
	if err := w.deliverReply(ctx, v); err != nil {
		if w.cluster.releaseOnLostReply {
			go v.shards.Settle(releaseCall(call))
		}
		return entryvm.ClaimResult{}, err
	}
	return result, nil
}

func releaseCall(call entryvm.ClaimCall) entryvm.ClaimCall {
	record := testkit.Must(idempotency.Decode(call.Record))
	claim := record.Entries[0].Claim
	record.Entries[0] = idempotency.Entry{Release: &idempotency.Release{Key: claim.Key, ID: claim.ID}}
	call.Record = testkit.Must(idempotency.Encode(record))
	return call
}

func (w network) Settle(ctx context.Context, address string, call entryvm.ClaimCall) (bool, error) {
	v, err := w.peerAt(ctx, address)
	if err != nil {
		return false, err
	}
	stored := v.shards.Settle(call)
	return stored, w.deliverReply(ctx, v)
}

// shardOf is the shard of a booking.
func (cl *cluster) shardOf(key string) int {
	return idempotency.ShardOf(idempotency.KeyOf("hire", key), cl.shards)
}

// parties returns a VM that holds the booking's shard, the other holder, and one
// that holds it not.
func (cl *cluster) rolesFor(key string, vms []*vm) (first, second, asker *vm) {
	names := cl.holdersOf(cl.shardOf(key))
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

func runInShardedCluster(t *testing.T, seed uint64, test func(cl *cluster, vms []*vm)) {
	runInCluster(t, seed, func(cl *cluster) {
		cl.shards = 3
		vms := []*vm{cl.start("a"), cl.start("b"), cl.start("c"), cl.start("d")}
		time.Sleep(2 * time.Minute) // until nobody holds a shard that became others'
		test(cl, vms)
	})
}

// A clerk's script sends a booking to all entry VMs at the same moment, of which
// two hold its shard. One runs it and all callers get that booking's answer, also
// whoever repeats it later, and another booking with the key is refused.
func TestShardedBookingRunsOnce(t *testing.T) {
	runInShardedCluster(t, 1, func(cl *cluster, vms []*vm) {
		cl.wantEachBookingRunsOnce(vms)
	})
}

// The holder that is asked first dies, is cut off, is slow, loses its answer, or
// has lost the log; the claim may be in the log by then. The booking runs, by the
// other holder's word, or its caller is told truly that it may have run; a repeat
// at any VM never runs it again.
func TestHolderFails(t *testing.T) {
	for name, fail := range map[string]func(cl *cluster, first *vm){
		"dies": func(_ *cluster, first *vm) { first.die() },
		"dies halfway": func(_ *cluster, first *vm) {
			first.replyDelay = time.Second
			go func() { time.Sleep(500 * time.Millisecond); first.die() }()
		},
		"cut off": func(_ *cluster, first *vm) { first.partitioned = true },
		"slow":    func(_ *cluster, first *vm) { first.replyDelay = 3 * time.Second },
		// Proposals queue behind appends of 700 ms, longer than one question waits.
		"slow log": func(cl *cluster, _ *vm) { cl.log.Faults().Set(faults.Settings{SlowMS: 700}) },
		"loses the log": func(_ *cluster, first *vm) {
			first.view.Cut()
		},
		"loses answers": func(cl *cluster, _ *vm) { cl.loseReplies = 0.7 },
	} {
		for seed := range uint64(5) {
			runInShardedCluster(t, seed, func(cl *cluster, vms []*vm) {
				first, second, asker := cl.rolesFor("key", vms)
				fail(cl, first)
				got := asker.book("key", "bike", succeed)
				if got.booked == "" && name != "loses answers" {
					t.Errorf("%s: %v", name, got)
				}
				again := second.book("key", "bike", succeed)
				if again.booked != got.booked && got.booked != "" {
					t.Errorf("%s: repeated: %v", name, again)
				}
				if n := cl.runCount("key"); n > 1 {
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
func TestRequestingVMFails(t *testing.T) {
	runInShardedCluster(t, 1, func(cl *cluster, vms []*vm) {
		first, _, asker := cl.rolesFor("key", vms)
		asker.book("key", "bike", dieAfter)
		cl.wantRefusedAtOnce("after the death", first.book("key", "bike", succeed), refusal.CodeOutcomeUnknown, mayHaveRun)
		cl.wantRan("key", 1)
	})
	runInShardedCluster(t, 1, func(cl *cluster, vms []*vm) {
		first, second, asker := cl.rolesFor("key", vms)
		first.appendDelay, second.appendDelay = 8*time.Second, 8*time.Second
		if hung := asker.book("key", "bike", succeed); hung.refusal == nil || hung.refusal.Ran != mayHaveRun || hung.duration > callTimeout {
			t.Errorf("hung: %v", hung)
		}
		time.Sleep(time.Minute)
		cl.wantRan("key", 0)
		first.appendDelay, second.appendDelay = 0, 0
		// The asker has heard nothing of the stream since that release.
		cl.wantRefused("asked before the release was known", asker.book("key", "bike", succeed), mayHaveRun)
		cl.wantBooked("asked again", asker.book("key", "bike", succeed))
		cl.wantRan("key", 1)
	})
}

// A VM is frozen just after a booking has come. Its caller leaves it, is told "not
// run" at a holder, and books elsewhere. The VM thaws, and has heard of the stream
// beyond that release before it asks for the booking: it must not run. A new try
// does. The naive twin's claims don't say what their arrival had seen.
func TestFrozenVMDoesNotRunRefusedCall(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		runInShardedCluster(t, 1, func(cl *cluster, vms []*vm) {
			cl.dropFirstUnseen = faulty
			first, _, asker := cl.rolesFor("key", vms)
			frozenAt := time.Now()
			first.book("key", "bike", notSent)
			time.Sleep(time.Second)
			for i := range 10 { // some of them in the same shard
				asker.book(fmt.Sprint("other", i), "bike", succeed)
			}
			thawed := asker.bookArrived(frozenAt, "key", "bike", succeed)
			if faulty {
				cl.wantRan("key", 1)
				return
			}
			cl.wantRefused("after the thaw", thawed, mayHaveRun)
			cl.wantRan("key", 0)
			cl.wantBooked("asked again", asker.book("key", "bike", succeed))
			cl.wantRan("key", 1)
		})
	}
}

// The log is out of reach of all. A booking is refused at once with "may have
// run": nobody can speak for all who may have dispatched it.
func TestShardedOutage(t *testing.T) {
	runInShardedCluster(t, 1, func(cl *cluster, vms []*vm) {
		cl.log.Faults().Set(faults.Settings{Outage: true})
		time.Sleep(3 * time.Second)
		for _, v := range vms {
			cl.wantRefusedAtOnce(v.name, v.book("key", "bike", succeed), refusal.CodeLogUnavailable, mayHaveRun)
		}
	})
}

// The first holder's answer "won" is lost; the second one finds the claim in the
// log, and the asker books. A holder releases no claim by itself: the naive twin's
// does, because it couldn't answer who asked, and the next arrival books again.
func TestHolderReleasesOnlyOnRequest(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		runInShardedCluster(t, 1, func(cl *cluster, vms []*vm) {
			first, second, asker := cl.rolesFor("key", vms)
			cl.releaseOnLostReply, first.losesReplies = faulty, true
			asker.book("key", "bike", func(_ *vm, run func()) bool { time.Sleep(time.Second); run(); return true })
			time.Sleep(time.Minute)
			second.book("key", "bike", succeed)
			if faulty {
				cl.wantRan("key", 2)
			} else {
				cl.wantRan("key", 1)
			}
		})
	}
}

// The storms, over shards and with lost answers of holders.
func TestShardedFaultSchedulesAreLinearizable(t *testing.T) {
	checkFaultSchedules(t, func(cl *cluster) { cl.shards, cl.loseReplies = 3, 0.2 })
}

// Twelve entry VMs are sent 60 bookings a second. Each for itself appends nearly
// every claim and outcome alone; holders of shards join those of all callers.
func TestHoldersBatchClaims(t *testing.T) {
	appends := make(map[int]uint64)
	for _, shards := range []int{0, 2} {
		runInCluster(t, 1, func(cl *cluster) {
			cl.shards = shards
			var vms []*vm
			for i := range 12 {
				vms = append(vms, cl.start(fmt.Sprint("vm", i)))
			}
			time.Sleep(2 * time.Minute)
			var group sync.WaitGroup
			for i := range 600 {
				group.Go(func() {
					if a := vms[i%12].book(fmt.Sprint("key", i), "bike", succeed); a.booked == "" || a.duration > time.Second {
						t.Errorf("%d shards: %v", shards, a)
					}
				})
				time.Sleep(time.Second / 60)
			}
			group.Wait()
			time.Sleep(time.Second)
			appends[shards] = cl.countAppends()
		})
	}
	t.Logf("appends for 600 bookings: %d in one stream, %d over 2 shards", appends[0], appends[2])
	if appends[2]*4 > appends[0] {
		t.Error("holders join too little")
	}
}

// appended counts the records of all streams.
func (cl *cluster) countAppends() (records uint64) {
	streams := []string{claims.Stream}
	for shard := range cl.shards {
		streams = append(streams, fmt.Sprintf("%s-%d-%d", claims.Stream, cl.shards, shard))
	}
	for _, stream := range streams {
		records += uint64(testkit.Value(cl.log.View("count").Read(cl.t.Context(), stream, 1, 1, 0))(cl.t).End)
	}
	return records
}
