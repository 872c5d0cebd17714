package lease

import (
	"slices"
	"time"
)

// ShardConfig holds the timing of Shards.
type ShardConfig struct {
	// JoinTTL is how long a member may act on a join, counted from when it sent it.
	// It bridges an outage of the registry. The successor of an unreachable member
	// has to wait for its end.
	JoinTTL time.Duration
	// MinHandoverGap is the least time between the last order of one VM to an engine
	// and the first order of the next VM.
	MinHandoverGap time.Duration
	// MaxOrderDelay is the longest time from the sending of an order to its arrival.
	MaxOrderDelay time.Duration
}

// Shards decides to which shards' engines this entry VM may send orders now. A
// registry distributes a group's shards among its members and may reassign one
// without notice, and engines check no token on orders. So a member sends orders
// only while its last join is fresh, and a successor starts only when its
// predecessor has confirmed that it stopped, or must have stopped by its own clock.
//
// All times are readings of one clock of this VM that advances while the VM is
// suspended. With a clock that stops meanwhile, a VM that was suspended for a
// minute would consider its assignment fresh and send orders at the same time as
// its successor. Shards is not safe for concurrent use.
type Shards struct {
	config ShardConfig
	// generation is the newest generation in the answer to a join.
	generation uint64
	// joinedAt is when the newest answered join was sent.
	joinedAt time.Duration
	joined   bool
	// shards contains the shards that are or were assigned to this VM, by index.
	shards map[int]*shard
}

// shard is a shard that is or was assigned to this VM.
type shard struct {
	// assignedGeneration is the generation since which it is assigned without
	// interruption.
	assignedGeneration uint64
	// token is the generation under which its ownership was recorded, 0 before.
	token uint64
	// ordersFrom is when the first order may be sent, known once the shard is owned.
	// settled is whether the wait for the previous owner is over and this is on record
	// in the registry.
	ordersFrom time.Duration
	settled    bool
	// lastOrderAt is when the newest order was sent or answered, and hasOrdered
	// whether there was one. ordersInFlight counts the orders without an answer.
	lastOrderAt    time.Duration
	hasOrdered     bool
	ordersInFlight int
	// stopped is whether the shard was released or lost.
	stopped bool
	// unconfirmed is whether the group changed since the owner's record was last
	// read.
	unconfirmed bool
	// unrecorded is whether the registry was restored without the record of its
	// ownership.
	unrecorded bool
}

// NewShards returns the Shards of a process without assigned shards.
func NewShards(config ShardConfig) *Shards {
	return &Shards{config: config, shards: make(map[int]*shard)}
}

// Generation returns the newest generation in the answer to a join, 0 before the
// first.
func (s *Shards) Generation() uint64 { return s.generation }

// ApplyJoin applies the answer to a join that was sent at the given time. It
// returns the newly assigned shards: their ownership must be recorded under the
// generation before any order is sent.
func (s *Shards) ApplyJoin(sent time.Duration, generation uint64, indexes []int) (gained []int) {
	if generation < s.generation {
		return nil // a newer answer was applied before
	}
	if generation != s.generation {
		for _, sh := range s.shards {
			sh.unconfirmed = true
		}
	}
	s.generation = generation
	s.joined = true
	s.joinedAt = max(s.joinedAt, sent)
	for index, sh := range s.shards {
		if !slices.Contains(indexes, index) {
			sh.stopped = true
		}
	}
	for _, index := range indexes {
		if sh := s.shards[index]; sh != nil && !sh.stopped {
			continue
		}
		next := &shard{assignedGeneration: generation}
		if previous := s.shards[index]; previous != nil {
			next = previous.reassigned(generation)
		}
		s.shards[index] = next
		gained = append(gained, index)
	}
	slices.Sort(gained)
	return gained
}

// HandleRegistryRestore handles a registry that was restored without its newest records, as
// the answer to a join sent at the given time shows. The caller calls ApplyJoin afterwards.
// A shard that this VM has held without interruption has no other owner: any VM that was
// assigned it since had to wait for the end of the JoinTTL. Orders to it continue once its
// ownership is recorded again. Any other shard has to be taken over anew.
func (s *Shards) HandleRegistryRestore(sent time.Duration) {
	uninterrupted := s.joined && sent-s.joinedAt < s.config.JoinTTL
	for index, sh := range s.shards {
		switch {
		case sh.stopped:
		case uninterrupted && sh.token != 0:
			sh.unrecorded, sh.settled = true, false
		default:
			s.shards[index] = sh.reassigned(s.generation)
		}
	}
}

// Unrecorded returns the shards whose ownership must be recorded again.
func (s *Shards) Unrecorded() []int {
	var unrecorded []int
	for index, sh := range s.shards {
		if !sh.stopped && sh.unrecorded {
			unrecorded = append(unrecorded, index)
		}
	}
	slices.Sort(unrecorded)
	return unrecorded
}

// MarkRecordRestored records that a shard's ownership was recorded again, under the given
// generation.
func (s *Shards) MarkRecordRestored(index int, generation uint64) {
	sh := s.shards[index]
	if sh == nil || sh.stopped || !sh.unrecorded {
		return
	}
	sh.token, sh.assignedGeneration, sh.unrecorded = generation, generation, false
	sh.unconfirmed = generation != s.generation
}

// Unowned returns the shards that are assigned to this VM whose ownership is not
// recorded yet.
func (s *Shards) Unowned() []int {
	var unowned []int
	for index, sh := range s.shards {
		if !sh.stopped && sh.token == 0 {
			unowned = append(unowned, index)
		}
	}
	slices.Sort(unowned)
	return unowned
}

// Unconfirmed returns the owned shards to which no order may be sent before
// ConfirmOwner. It guards against a group that changes twice between two joins of a
// VM that was frozen or partitioned: another VM owned the shard in between and recorded
// itself as its owner, while the assignment looks unchanged to this VM.
func (s *Shards) Unconfirmed() []int {
	var unconfirmed []int
	for index, sh := range s.shards {
		if !sh.stopped && sh.token != 0 && sh.unconfirmed && !sh.unrecorded {
			unconfirmed = append(unconfirmed, index)
		}
	}
	slices.Sort(unconfirmed)
	return unconfirmed
}

// ConfirmOwner applies the newest record of a shard's owner, read after the newest
// join. recordedGeneration is the generation under which this VM recorded itself, 0
// if the record names another VM. If it differs from this VM's token, the shard has
// to be taken over anew.
func (s *Shards) ConfirmOwner(index int, recordedGeneration uint64) {
	sh := s.shards[index]
	if sh == nil || sh.stopped || sh.token == 0 {
		return
	}
	if recordedGeneration == sh.token {
		sh.unconfirmed = false
		return
	}
	s.shards[index] = sh.reassigned(s.generation)
}

// reassigned returns the shard as newly assigned, with the history of its orders.
func (sh *shard) reassigned(generation uint64) *shard {
	return &shard{assignedGeneration: generation, hasOrdered: sh.hasOrdered, lastOrderAt: sh.lastOrderAt, ordersInFlight: sh.ordersInFlight}
}

// MarkOwned records that the ownership was recorded under the generation, and that
// the first order may be sent after the given wait.
func (s *Shards) MarkOwned(now time.Duration, index int, generation uint64, wait time.Duration) {
	sh := s.shards[index]
	if sh == nil || sh.stopped || generation < sh.assignedGeneration {
		return
	}
	sh.token = generation
	sh.ordersFrom = now + wait
	sh.unconfirmed = generation != s.generation
}

// WaitForLostOwner returns how long to wait for an unreachable predecessor: it may
// act on a join that it sent just before the ownership was recorded.
func (c ShardConfig) WaitForLostOwner() time.Duration {
	return c.JoinTTL + c.MaxOrderDelay + c.MinHandoverGap
}

// WaitAfterLastOrder returns how long to wait for a predecessor, given the time since
// its last order.
func (c ShardConfig) WaitAfterLastOrder(sinceLastOrder time.Duration) time.Duration {
	return max(0, c.MinHandoverGap-sinceLastOrder)
}

// CanSendOrders reports whether an order may be sent now, and with which fencing
// token.
func (s *Shards) CanSendOrders(now time.Duration, index int) (token uint64, ok bool) {
	sh := s.shards[index]
	if sh == nil || sh.stopped || sh.unconfirmed || sh.unrecorded || sh.token == 0 || now < sh.ordersFrom || !s.IsJoinFresh(now) {
		return 0, false
	}
	return sh.token, true
}

// IsJoinFresh reports whether the newest join is recent enough to act on.
func (s *Shards) IsJoinFresh(now time.Duration) bool {
	return s.joined && now-s.joinedAt < s.config.JoinTTL
}

// BeginOrder records an order that is being sent. The caller must call EndOrder for
// it.
func (s *Shards) BeginOrder(now time.Duration, index int) {
	if sh := s.shards[index]; sh != nil {
		sh.ordersInFlight++
		sh.recordOrder(now)
	}
}

// EndOrder ends an order that BeginOrder recorded: it was answered, or can no longer
// arrive.
func (s *Shards) EndOrder(now time.Duration, index int) {
	if sh := s.shards[index]; sh != nil {
		sh.ordersInFlight--
		sh.recordOrder(now)
	}
}

func (sh *shard) recordOrder(now time.Duration) {
	sh.hasOrdered = true
	sh.lastOrderAt = max(sh.lastOrderAt, now)
}

// Release stops all orders to a shard for a successor that was assigned it under the
// generation, and returns the time since the last order, negative if one is in
// flight. settled is whether the owner's record says that its wait for the previous
// owner is over (see NewlySettled); processStarted is when this process started.
// Release returns false if this VM does not know the time, or holds the shard under
// the same or a newer generation.
func (s *Shards) Release(now time.Duration, index int, generation uint64, settled bool, processStarted time.Duration) (sinceLastOrder time.Duration, ok bool) {
	sh := s.shards[index]
	if sh == nil {
		// An earlier process of this VM owned the shard, and ended before this one
		// started.
		return now - processStarted, settled
	}
	if !sh.stopped && sh.assignedGeneration >= generation {
		return 0, false
	}
	sh.stopped = true
	if !settled && sh.token == 0 {
		return 0, false
	}
	sinceLastOrder = now - processStarted
	if sh.hasOrdered {
		sinceLastOrder = now - sh.lastOrderAt
	}
	if sh.ordersInFlight > 0 {
		sinceLastOrder = -s.config.MaxOrderDelay
	}
	if !settled {
		// This VM still waits for its own predecessor, so the successor must wait too.
		sinceLastOrder = min(sinceLastOrder, s.config.MinHandoverGap-(sh.ordersFrom-now))
	}
	return sinceLastOrder, true
}

// NewlySettled returns the shards for which the wait for the previous owner is over but
// this is not on record yet. The caller records it with their ownership. Without that
// record, an owner that is asked for the shard, or restarts, while it waits for its
// predecessor could only say that it has sent no orders, and the next owner would start
// while that predecessor may still send some.
func (s *Shards) NewlySettled(now time.Duration) []int {
	var settled []int
	for index, sh := range s.shards {
		if !sh.stopped && sh.token != 0 && now >= sh.ordersFrom && !sh.settled && !sh.unrecorded {
			settled = append(settled, index)
		}
	}
	slices.Sort(settled)
	return settled
}

// MarkSettled is called once the registry has recorded that the wait for a shard's previous
// owner is over.
func (s *Shards) MarkSettled(index int) {
	if sh := s.shards[index]; sh != nil {
		sh.settled = true
	}
}

// Token returns the generation under which a shard's ownership was recorded, 0 if it is not
// owned.
func (s *Shards) Token(index int) uint64 {
	if sh := s.shards[index]; sh != nil && !sh.stopped {
		return sh.token
	}
	return 0
}

// StopAll stops all orders. It is called at a graceful shutdown.
func (s *Shards) StopAll() {
	for _, sh := range s.shards {
		sh.stopped = true
	}
}

// Active returns the shards to which orders may be sent now.
func (s *Shards) Active(now time.Duration) []int {
	var active []int
	for index := range s.shards {
		if _, ok := s.CanSendOrders(now, index); ok {
			active = append(active, index)
		}
	}
	slices.Sort(active)
	return active
}
