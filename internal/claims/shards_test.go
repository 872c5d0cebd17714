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

// holdersOf returns the names of the VMs that should hold a shard: two of those
// that live or died within the last 10 s, because VM lists lag behind.
func (cl *cluster) holdersOf(shard int) (names []string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, v := range cl.vms {
		if v.diedAt.IsZero() || time.Since(v.diedAt) < 10*time.Second {
			names = append(names, v.name)
		}
	}
	slices.Sort(names)
	names = append(names, names...) // so that the slice below can wrap around
	if n := len(names) / 2; n > 2 {
		return names[shard%n : shard%n+2]
	}
	return names[:len(names)/2]
}

func (v *vm) startShards(config claims.Config) {
	v.shards = claims.NewShards(claims.ShardsConfig{
		Config: config, Count: v.cluster.shards, Peer: network{cluster: v.cluster}, WritesShardSnapshots: func(int) bool { return false },
		Holders: func(shard int) (holders []claims.ShardHolder) {
			for _, name := range v.cluster.holdersOf(shard) {
				holders = append(holders, claims.ShardHolder{Address: name, Self: name == v.name})
			}
			return holders
		},
	})
	v.background.Go(func() { v.shards.Run(v.ctx) })
}

// network is the network between entry VMs.
type network struct {
	entryvm.Peer
	cluster *cluster
}

func (n network) peerAt(ctx context.Context, address string) (*vm, error) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	i := slices.IndexFunc(n.cluster.vms, func(v *vm) bool { return v.name == address })
	if i < 0 || !n.cluster.vms[i].diedAt.IsZero() || n.cluster.vms[i].partitioned {
		return nil, errNoAnswer
	}
	return n.cluster.vms[i], ctx.Err()
}

// deliverReply simulates the delivery of a holder's reply, which may be late or
// lost.
func (n network) deliverReply(ctx context.Context, v *vm) error {
	time.Sleep(v.replyDelay)
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if !v.diedAt.IsZero() || v.partitioned || v.losesReplies || ctx.Err() != nil || n.cluster.random.Float64() < n.cluster.loseReplies {
		return errNoAnswer
	}
	return nil
}

func (n network) Claim(ctx context.Context, address string, call entryvm.ClaimCall) (entryvm.ClaimResult, error) {
	v, err := n.peerAt(ctx, address)
	if err != nil {
		return entryvm.ClaimResult{}, err
	}
	result := v.shards.Claim(call)
	if err := n.deliverReply(ctx, v); err != nil {
		if n.cluster.releaseOnLostReply {
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

func (n network) Settle(ctx context.Context, address string, call entryvm.ClaimCall) (bool, error) {
	v, err := n.peerAt(ctx, address)
	if err != nil {
		return false, err
	}
	stored := v.shards.Settle(call)
	return stored, n.deliverReply(ctx, v)
}

// shardOf returns the shard of a booking.
func (cl *cluster) shardOf(key string) int {
	return idempotency.ShardOf(idempotency.KeyOf("hire", key), cl.shards)
}

// rolesFor returns the two holders of the booking's shard in their order and a
// VM that does not hold it.
func (cl *cluster) rolesFor(key string, vms []*vm) (first, second, requester *vm) {
	names := cl.holdersOf(cl.shardOf(key))
	for _, v := range vms {
		switch slices.Index(names, v.name) {
		case 0:
			first = v
		case 1:
			second = v
		default:
			requester = v
		}
	}
	return first, second, requester
}

func runInShardedCluster(t *testing.T, seed uint64, test func(cl *cluster, vms []*vm)) {
	runInCluster(t, seed, func(cl *cluster) {
		cl.shards = 3
		vms := []*vm{cl.start("a"), cl.start("b"), cl.start("c"), cl.start("d")}
		time.Sleep(2 * time.Minute) // until only the assigned VMs hold each shard
		test(cl, vms)
	})
}

// All entry VMs, two of which hold the shard, get the same booking at the same
// moment. One runs it, and all callers get that booking's answer, as does a
// later repeat. Another booking with the key is refused.
func TestShardedBookingRunsOnce(t *testing.T) {
	runInShardedCluster(t, 1, func(cl *cluster, vms []*vm) {
		cl.wantEachBookingRunsOnce(vms)
	})
}

// The holder that is asked first dies, is partitioned, is slow, loses its reply
// or has lost the log, when the claim may already be in the log. The booking
// runs through the other holder, or its caller is truthfully told that it may
// have run. A repeat at any VM never runs it again.
func TestHolderFails(t *testing.T) {
	for name, fail := range map[string]func(cl *cluster, first *vm){
		"dies": func(_ *cluster, first *vm) { first.die() },
		"dies halfway": func(_ *cluster, first *vm) {
			first.replyDelay = time.Second
			go func() { time.Sleep(500 * time.Millisecond); first.die() }()
		},
		"partitioned": func(_ *cluster, first *vm) { first.partitioned = true },
		"slow":        func(_ *cluster, first *vm) { first.replyDelay = 3 * time.Second },
		// Proposals queue behind appends of 700 ms, longer than one request
		// waits.
		"slow log": func(cl *cluster, _ *vm) { cl.log.Faults().Set(faults.Settings{SlowMS: 700}) },
		"loses the log": func(_ *cluster, first *vm) {
			first.view.Disconnect()
		},
		"loses answers": func(cl *cluster, _ *vm) { cl.loseReplies = 0.7 },
	} {
		for seed := range uint64(5) {
			runInShardedCluster(t, seed, func(cl *cluster, vms []*vm) {
				first, second, requester := cl.rolesFor("key", vms)
				fail(cl, first)
				got := requester.book("key", "bike", succeed)
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

// The VM that asks a holder dies after it has won the claim, or runs out of
// time while its claim is on the way to the log. The booking of a dead VM is
// refused with "may have run" and not run again. A claim that was given up is
// released once it is applied, and a new attempt runs once.
func TestRequestingVMFails(t *testing.T) {
	runInShardedCluster(t, 1, func(cl *cluster, vms []*vm) {
		first, _, requester := cl.rolesFor("key", vms)
		requester.book("key", "bike", dieAfter)
		cl.wantRefusedAtOnce("after the death", first.book("key", "bike", succeed), refusal.CodeOutcomeUnknown, mayHaveRun)
		cl.wantRan("key", 1)
	})
	runInShardedCluster(t, 1, func(cl *cluster, vms []*vm) {
		first, second, requester := cl.rolesFor("key", vms)
		first.appendDelay, second.appendDelay = 8*time.Second, 8*time.Second
		if hung := requester.book("key", "bike", succeed); hung.refusal == nil || hung.refusal.Ran != mayHaveRun || hung.duration > callTimeout {
			t.Errorf("hung: %v", hung)
		}
		time.Sleep(time.Minute)
		cl.wantRan("key", 0)
		first.appendDelay, second.appendDelay = 0, 0
		// The requester has not yet learned of any offset after that release.
		cl.wantRefused("asked before the release was known", requester.book("key", "bike", succeed), mayHaveRun)
		cl.wantBooked("asked again", requester.book("key", "bike", succeed))
		cl.wantRan("key", 1)
	})
}

// A frozen VM must not run a call that was refused meanwhile. A VM is frozen
// just after a booking came in. Its caller is told "not run" at a holder and
// books elsewhere. The VM resumes, and learns that the stream has been applied
// beyond that release before it asks for the booking, which must not run. A new
// attempt runs. In the faulty variant, claims do not carry FirstUnseen.
func TestFrozenVMDoesNotRunRefusedCall(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		runInShardedCluster(t, 1, func(cl *cluster, vms []*vm) {
			cl.dropFirstUnseen = faulty
			first, _, requester := cl.rolesFor("key", vms)
			frozenAt := time.Now()
			first.book("key", "bike", notSent)
			time.Sleep(time.Second)
			for i := range 10 { // some of them in the same shard
				requester.book(fmt.Sprint("other", i), "bike", succeed)
			}
			resumed := requester.bookArrived(frozenAt, "key", "bike", succeed)
			if faulty {
				cl.wantRan("key", 1)
				return
			}
			cl.wantRefused("after resuming", resumed, mayHaveRun)
			cl.wantRan("key", 0)
			cl.wantBooked("asked again", requester.book("key", "bike", succeed))
			cl.wantRan("key", 1)
		})
	}
}

// The log is unreachable for all VMs. A booking is refused at once with "may
// have run", because no VM can speak for all that may have dispatched it.
func TestShardedOutage(t *testing.T) {
	runInShardedCluster(t, 1, func(cl *cluster, vms []*vm) {
		cl.log.Faults().Set(faults.Settings{Outage: true})
		time.Sleep(3 * time.Second)
		for _, v := range vms {
			cl.wantRefusedAtOnce(v.name, v.book("key", "bike", succeed), refusal.CodeLogUnavailable, mayHaveRun)
		}
	})
}

// A holder must not release a claim unless the VM that asked for it says so.
// The first holder's reply "won" is lost; the second holder finds the claim in
// the log, and the VM that asked books. In the faulty variant, the first holder
// releases the claim because its reply was lost, and the next attempt books
// again.
func TestHolderReleasesOnlyOnRequest(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		runInShardedCluster(t, 1, func(cl *cluster, vms []*vm) {
			first, second, requester := cl.rolesFor("key", vms)
			cl.releaseOnLostReply, first.losesReplies = faulty, true
			requester.book("key", "bike", func(_ *vm, run func()) bool { time.Sleep(time.Second); run(); return true })
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

// The fault schedules over shards, with lost replies of holders.
func TestShardedFaultSchedulesAreLinearizable(t *testing.T) {
	checkFaultSchedules(t, func(cl *cluster) { cl.shards, cl.loseReplies = 3, 0.2 })
}

// Twelve entry VMs get 60 bookings a second. Without shards, each appends
// nearly every claim and outcome in its own record. The holders of shards must
// batch the claims of all callers.
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
		t.Error("holders batch too few claims")
	}
}

// countAppends returns the number of records in all streams.
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
