package lease

import (
	"math/rand"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

var testShardConfig = ShardConfig{JoinTTL: 4 * time.Second, MinHandoverGap: 3 * time.Second, MaxOrderDelay: time.Second}

// simulatedVM is one VM of the simulation.
type simulatedVM struct {
	shards *Shards
	// frozenUntil is when a frozen VM resumes. It does not notice the freeze.
	frozenUntil time.Duration
	started     time.Duration
}

// shardSimulation simulates a registry that assigns one shard at random and stores
// its owner's record, and VMs that join, freeze, are partitioned and restart.
type shardSimulation struct {
	rng                *rand.Rand
	now                time.Duration
	generation         uint64
	assignee           int
	recordedOwner      int // -1 without a record
	settled            bool
	recordedGeneration uint64
	vms                []*simulatedVM
	partitionedUntil   []time.Duration
	naive              bool
	lastOrderAt        time.Duration
	lastOrderBy        int
	violations         int
	orders             int
}

func newShardSimulation(seed int64, naive bool) *shardSimulation {
	s := &shardSimulation{rng: rand.New(rand.NewSource(seed)), generation: 1, recordedOwner: -1, lastOrderBy: -1, naive: naive, now: time.Second}
	const vms = 3
	s.partitionedUntil = make([]time.Duration, vms)
	for range vms {
		s.vms = append(s.vms, &simulatedVM{shards: NewShards(testShardConfig), started: s.now})
	}
	return s
}

// step advances the simulation by a tenth of a second.
func (s *shardSimulation) step() {
	s.now += 100 * time.Millisecond
	if s.rng.Intn(60) == 0 {
		s.assignee = s.rng.Intn(len(s.vms)) // nobody is notified
		s.generation++
	}
	for i, vm := range s.vms {
		s.injectFault(i, vm)
		if s.now < vm.frozenUntil {
			continue
		}
		if s.now >= s.partitionedUntil[i] && s.rng.Intn(5) == 0 {
			s.join(i, vm)
		}
		s.sendOrder(i, vm)
	}
}

func (s *shardSimulation) injectFault(i int, vm *simulatedVM) {
	switch s.rng.Intn(300) {
	case 0:
		vm.frozenUntil = s.now + time.Duration(s.rng.Intn(8000))*time.Millisecond
	case 1:
		s.partitionedUntil[i] = s.now + time.Duration(s.rng.Intn(8000))*time.Millisecond
	case 2:
		vm.shards, vm.started = NewShards(testShardConfig), s.now // killed and restarted
	}
}

func (s *shardSimulation) join(i int, vm *simulatedVM) {
	var indexes []int
	if s.assignee == i {
		indexes = []int{0}
	}
	vm.shards.ApplyJoin(s.now, s.generation, indexes)
	if len(vm.shards.Unconfirmed()) > 0 && !s.naive {
		mine := s.recordedGeneration
		if s.recordedOwner != i {
			mine = 0
		}
		vm.shards.ConfirmOwner(0, mine)
	} else if s.naive {
		vm.shards.ConfirmOwner(0, vm.shards.Token(0))
	}
	if len(vm.shards.NewlySettled(s.now)) > 0 && s.recordedOwner == i {
		vm.shards.MarkSettled(0)
		s.settled = true
	}
	if len(vm.shards.Unowned()) == 0 {
		return
	}
	former, settled := s.recordedOwner, s.settled
	s.recordedOwner, s.settled, s.recordedGeneration = i, false, s.generation
	wait := s.waitFor(i, former, settled)
	vm.shards.MarkOwned(s.now, 0, s.generation, wait)
}

func (s *shardSimulation) waitFor(i, former int, settled bool) time.Duration {
	if s.naive || former == -1 || (former == i && settled) {
		return 0
	}
	if former == i {
		return testShardConfig.WaitForLostOwner()
	}
	if s.now < s.vms[former].frozenUntil || s.now < s.partitionedUntil[former] {
		return testShardConfig.WaitForLostOwner()
	}
	vm := s.vms[former]
	sinceLastOrder, ok := vm.shards.Release(s.now, 0, s.generation, settled, vm.started)
	if !ok {
		return testShardConfig.WaitForLostOwner()
	}
	return testShardConfig.WaitAfterLastOrder(sinceLastOrder)
}

func (s *shardSimulation) sendOrder(i int, vm *simulatedVM) {
	if _, ok := vm.shards.CanSendOrders(s.now, 0); !ok || s.rng.Intn(3) != 0 {
		return
	}
	vm.shards.BeginOrder(s.now, 0)
	vm.shards.EndOrder(s.now, 0)
	if s.lastOrderBy >= 0 && s.lastOrderBy != i && s.now-s.lastOrderAt < testShardConfig.MinHandoverGap {
		s.violations++
	}
	s.lastOrderBy, s.lastOrderAt = i, s.now
	s.orders++
}

// Guards against an engine that gets orders of two VMs within three seconds, one of
// which may undo the other. It happens if the registry assigns a shard to another VM
// without notifying the first, which is frozen or partitioned and later resumes. VMs
// that send orders as soon as they are assigned a shard fail in nearly every run.
func TestNoOverlappingOwnersOfAShard(t *testing.T) {
	const seeds, steps = 60, 3000
	naiveViolations, orders := 0, 0
	for seed := range int64(seeds) {
		for _, naive := range []bool{false, true} {
			s := newShardSimulation(seed, naive)
			for range steps {
				s.step()
			}
			if naive {
				naiveViolations += s.violations
				continue
			}
			orders += s.orders
			testkit.Need(t, s.violations == 0, "seed %d: %d times two VMs sent orders within the handover gap", seed, s.violations)
		}
	}
	testkit.That(t, naiveViolations > seeds, "the naive variant violated the gap only %d times", naiveViolations)
	testkit.That(t, orders > seeds*steps/10, "only %d orders were sent", orders)
}

// Guards against orders by an expired join, as of a VM that was suspended.
func TestExpiredJoinGrantsNoOrders(t *testing.T) {
	s := NewShards(testShardConfig)
	s.ApplyJoin(time.Second, 3, []int{0})
	s.MarkOwned(time.Second, 0, 3, 0)
	token, ok := s.CanSendOrders(2*time.Second, 0)
	testkit.That(t, ok && token == 3, "got %d, %v", token, ok)
	_, ok = s.CanSendOrders(5*time.Second, 0)
	testkit.That(t, !ok, "may send orders %s after the join", 4*time.Second)
	s.ApplyJoin(6*time.Second, 3, []int{0})
	_, ok = s.CanSendOrders(7*time.Second, 0)
	testkit.That(t, ok, "a fresh join of the same assignment does not count")
}

// Guards against a successor that starts too early: an order in flight when its
// shard is released may arrive after the answer, so the successor must wait for it.
func TestReleaseWaitsForOrderInFlight(t *testing.T) {
	s := NewShards(testShardConfig)
	s.ApplyJoin(time.Second, 3, []int{0})
	s.MarkOwned(time.Second, 0, 3, 0)
	s.BeginOrder(2*time.Second, 0)
	sinceLastOrder, ok := s.Release(2*time.Second, 0, 4, true, 0)
	testkit.That(t, ok && testShardConfig.WaitAfterLastOrder(sinceLastOrder) == testShardConfig.MinHandoverGap+testShardConfig.MaxOrderDelay, "got %s, %v", sinceLastOrder, ok)
	_, ok = s.CanSendOrders(2*time.Second, 0)
	testkit.That(t, !ok, "orders continue after the release")
	_, ok = s.Release(2*time.Second, 0, 2, true, 0)
	testkit.That(t, ok, "a stopped shard can't be released again")
}

// Guards against two owners of one shard after the registry was restored without the record
// of its ownership. A VM that held the shard without interruption continues once the
// ownership is recorded again, under a higher token. Any other VM takes the shard over anew.
func TestShardOwnershipAfterRegistryRestore(t *testing.T) {
	config := testShardConfig
	const before, after = 7, 1<<40 | 3
	for name, c := range map[string]struct {
		sent          time.Duration
		uninterrupted bool
	}{
		"within the join TTL": {3 * time.Second, true},
		"after the join TTL":  {4 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewShards(config)
			s.ApplyJoin(0, before, []int{1})
			s.MarkOwned(0, 1, before, 0)
			_, ok := s.CanSendOrders(time.Second, 1)
			testkit.That(t, ok, "the owner may not send orders")
			s.HandleRegistryRestore(c.sent)
			gained := s.ApplyJoin(c.sent, after, []int{1})
			testkit.That(t, len(gained) == 0, "gained %v, although it was assigned before", gained)
			_, ok = s.CanSendOrders(c.sent, 1)
			testkit.That(t, !ok, "orders without a record")
			testkit.That(t, (len(s.Unrecorded()) == 1) == c.uninterrupted && (len(s.Unowned()) == 0) == c.uninterrupted,
				"to record again %v, to take over %v", s.Unrecorded(), s.Unowned())
			testkit.That(t, len(s.NewlySettled(c.sent)) == 0, "settled without a record")
			s.MarkRecordRestored(1, after)
			token, ok := s.CanSendOrders(c.sent, 1)
			testkit.That(t, ok == c.uninterrupted && (token == after) == c.uninterrupted, "orders %v under %d", ok, token)
		})
	}
}

// Guards against an owner that continues with a shard that the restored registry assigns to
// another VM.
func TestRegistryRestoreMovesShard(t *testing.T) {
	s := NewShards(testShardConfig)
	s.ApplyJoin(0, 7, []int{1})
	s.MarkOwned(0, 1, 7, 0)
	s.HandleRegistryRestore(time.Second)
	s.ApplyJoin(time.Second, 1<<40|3, nil)
	s.MarkRecordRestored(1, 1<<40|3)
	_, ok := s.CanSendOrders(time.Second, 1)
	testkit.That(t, !ok && len(s.Unrecorded()) == 0, "orders %v, to record again %v", ok, s.Unrecorded())
}
