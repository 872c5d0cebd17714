package lease

import (
	"math/rand"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

var shardTimes = ShardConfig{JoinTTL: 4 * time.Second, MinHandoverGap: 3 * time.Second, MaxOrderDelay: time.Second}

// owner is one VM of the simulation.
type owner struct {
	shards *Shards
	// frozenUntil is when a frozen VM goes on; it notices nothing.
	frozenUntil time.Duration
	started     time.Duration
}

// shardWorld is a registry that assigns one shard at will and keeps its owner's
// record, with VMs that join, freeze, are cut off and restart.
type shardWorld struct {
	rng        *rand.Rand
	now        time.Duration
	generation uint64
	holder     int
	recorded   int // -1: nobody
	settled    bool
	recordedBy uint64 // generation of the record
	owners     []*owner
	cut        []time.Duration
	naive      bool
	lastOrder  time.Duration
	lastBy     int
	broken     int
	orders     int
}

func newShardWorld(seed int64, naive bool) *shardWorld {
	w := &shardWorld{rng: rand.New(rand.NewSource(seed)), generation: 1, recorded: -1, lastBy: -1, naive: naive, now: time.Second}
	const vms = 3
	w.cut = make([]time.Duration, vms)
	for range vms {
		w.owners = append(w.owners, &owner{shards: NewShards(shardTimes), started: w.now})
	}
	return w
}

// step passes a tenth of a second.
func (w *shardWorld) step() {
	w.now += 100 * time.Millisecond
	if w.rng.Intn(60) == 0 {
		w.holder = w.rng.Intn(len(w.owners)) // without a word to anybody
		w.generation++
	}
	for i, o := range w.owners {
		w.mishap(i, o)
		if w.now < o.frozenUntil {
			continue
		}
		if w.now >= w.cut[i] && w.rng.Intn(5) == 0 {
			w.join(i, o)
		}
		w.order(i, o)
	}
}

func (w *shardWorld) mishap(i int, o *owner) {
	switch w.rng.Intn(300) {
	case 0:
		o.frozenUntil = w.now + time.Duration(w.rng.Intn(8000))*time.Millisecond
	case 1:
		w.cut[i] = w.now + time.Duration(w.rng.Intn(8000))*time.Millisecond
	case 2:
		o.shards, o.started = NewShards(shardTimes), w.now // killed and restarted
	}
}

func (w *shardWorld) join(i int, o *owner) {
	var indexes []int
	if w.holder == i {
		indexes = []int{0}
	}
	o.shards.ApplyJoin(w.now, w.generation, indexes)
	if len(o.shards.Unconfirmed()) > 0 && !w.naive {
		mine := w.recordedBy
		if w.recorded != i {
			mine = 0
		}
		o.shards.ConfirmOwner(0, mine)
	} else if w.naive {
		o.shards.ConfirmOwner(0, o.shards.Token(0))
	}
	if len(o.shards.NewlySettled(w.now)) > 0 && w.recorded == i {
		o.shards.MarkSettled(0)
		w.settled = true
	}
	if len(o.shards.Unowned()) == 0 {
		return
	}
	former, settled := w.recorded, w.settled
	w.recorded, w.settled, w.recordedBy = i, false, w.generation
	wait := w.waitFor(i, former, settled)
	o.shards.MarkOwned(w.now, 0, w.generation, wait)
}

func (w *shardWorld) waitFor(i, former int, settled bool) time.Duration {
	if w.naive || former == -1 || (former == i && settled) {
		return 0
	}
	if former == i {
		return shardTimes.WaitForLostOwner()
	}
	if w.now < w.owners[former].frozenUntil || w.now < w.cut[former] {
		return shardTimes.WaitForLostOwner()
	}
	o := w.owners[former]
	ago, ok := o.shards.Release(w.now, 0, w.generation, settled, o.started)
	if !ok {
		return shardTimes.WaitForLostOwner()
	}
	return shardTimes.WaitAfterLastOrder(ago)
}

func (w *shardWorld) order(i int, o *owner) {
	if _, ok := o.shards.CanSendOrders(w.now, 0); !ok || w.rng.Intn(3) != 0 {
		return
	}
	o.shards.BeginOrder(w.now, 0)
	o.shards.EndOrder(w.now, 0)
	if w.lastBy >= 0 && w.lastBy != i && w.now-w.lastOrder < shardTimes.MinHandoverGap {
		w.broken++
	}
	w.lastBy, w.lastOrder = i, w.now
	w.orders++
}

// What engines see: orders of two VMs within three seconds, one of which may undo
// the other. The registry gives a shard to another VM without telling the first,
// which is frozen or cut off and still believes that it holds it; then it wakes up.
// A VM that starts as soon as it is assigned breaks this in nearly every run.
func TestShardsKeepQuietBetweenOwners(t *testing.T) {
	const seeds, steps = 60, 3000
	brokenNaive, orders := 0, 0
	for seed := range int64(seeds) {
		for _, naive := range []bool{false, true} {
			w := newShardWorld(seed, naive)
			for range steps {
				w.step()
			}
			if naive {
				brokenNaive += w.broken
				continue
			}
			orders += w.orders
			testkit.Need(t, w.broken == 0, "seed %d: %d times two VMs took turns within the quiet time", seed, w.broken)
		}
	}
	testkit.That(t, brokenNaive > seeds, "the naive version broke it only %d times", brokenNaive)
	testkit.That(t, orders > seeds*steps/10, "only %d orders went out", orders)
}

// A join's answer that was sent long ago gives no right to order: its sender slept.
func TestShardsOldJoin(t *testing.T) {
	s := NewShards(shardTimes)
	s.ApplyJoin(time.Second, 3, []int{0})
	s.MarkOwned(time.Second, 0, 3, 0)
	token, ok := s.CanSendOrders(2*time.Second, 0)
	testkit.That(t, ok && token == 3, "got %d, %v", token, ok)
	_, ok = s.CanSendOrders(5*time.Second, 0)
	testkit.That(t, !ok, "may order %s after the join", 4*time.Second)
	s.ApplyJoin(6*time.Second, 3, []int{0})
	_, ok = s.CanSendOrders(7*time.Second, 0)
	testkit.That(t, ok, "a fresh join of the same assignment does not count")
}

// An order that is under way when its shard is asked for may arrive after the
// answer: the successor must wait for that as well.
func TestShardsReleaseUnderWay(t *testing.T) {
	s := NewShards(shardTimes)
	s.ApplyJoin(time.Second, 3, []int{0})
	s.MarkOwned(time.Second, 0, 3, 0)
	s.BeginOrder(2*time.Second, 0)
	ago, ok := s.Release(2*time.Second, 0, 4, true, 0)
	testkit.That(t, ok && shardTimes.WaitAfterLastOrder(ago) == shardTimes.MinHandoverGap+shardTimes.MaxOrderDelay, "got %s, %v", ago, ok)
	_, ok = s.CanSendOrders(2*time.Second, 0)
	testkit.That(t, !ok, "orders go on after the release")
	_, ok = s.Release(2*time.Second, 0, 2, true, 0)
	testkit.That(t, ok, "a stopped shard is released again")
}

// Guards against two owners of one shard after the registry came back without the record
// of it: who held it without a break goes on once that is recorded again, under a higher
// token; who did not takes it over anew.
func TestShardsAfterTheRegistryWasRestored(t *testing.T) {
	config := shardTimes
	const before, after = 7, 1<<40 | 3
	for name, c := range map[string]struct {
		sent     time.Duration
		unbroken bool
	}{
		"within its hold": {3 * time.Second, true},
		"after its hold":  {4 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewShards(config)
			s.ApplyJoin(0, before, []int{1})
			s.MarkOwned(0, 1, before, 0)
			_, ok := s.CanSendOrders(time.Second, 1)
			testkit.That(t, ok, "the owner may not order")
			s.HandleRegistryRestore(c.sent)
			gained := s.ApplyJoin(c.sent, after, []int{1})
			testkit.That(t, len(gained) == 0, "gained %v, it was assigned before", gained)
			_, ok = s.CanSendOrders(c.sent, 1)
			testkit.That(t, !ok, "orders without a record")
			testkit.That(t, (len(s.Unrecorded()) == 1) == c.unbroken && (len(s.Unowned()) == 0) == c.unbroken,
				"to record again %v, to take over %v", s.Unrecorded(), s.Unowned())
			testkit.That(t, len(s.NewlySettled(c.sent)) == 0, "settled without a record")
			s.MarkRerecorded(1, after)
			token, ok := s.CanSendOrders(c.sent, 1)
			testkit.That(t, ok == c.unbroken && (token == after) == c.unbroken, "orders %v under %d", ok, token)
		})
	}
}

// Guards against a shard that the older copy gives to another VM and that its last owner
// goes on with.
func TestRestoredRegistryMovesAShard(t *testing.T) {
	s := NewShards(shardTimes)
	s.ApplyJoin(0, 7, []int{1})
	s.MarkOwned(0, 1, 7, 0)
	s.HandleRegistryRestore(time.Second)
	s.ApplyJoin(time.Second, 1<<40|3, nil)
	s.MarkRerecorded(1, 1<<40|3)
	_, ok := s.CanSendOrders(time.Second, 1)
	testkit.That(t, !ok && len(s.Unrecorded()) == 0, "orders %v, to record again %v", ok, s.Unrecorded())
}
