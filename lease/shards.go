package lease

import (
	"slices"
	"time"
)

// ShardConfig holds the times of Shards.
type ShardConfig struct {
	// Hold is how long after the sending of an answered join the member may act on
	// it. It bridges an outage of the registry; a successor of a member that can't
	// be asked waits it out.
	JoinTTL time.Duration
	// Quiet is the least time between the last order of one VM to an engine and
	// the first of the next.
	MinHandoverGap time.Duration
	// InFlight is the longest time from the sending of an order to its arrival.
	MaxOrderDelay time.Duration
}

// Shards decides which shards' engines this entry VM may give orders to now. A
// registry shares a group's shards out between its members, and may take one away
// without a word; orders carry no token that an engine would check. So a member
// orders only while its last join is fresh, and a successor starts only when its
// predecessor said that it has stopped, or must have stopped by its own clock.
//
// All times are readings of one clock of this VM that goes on while the VM is
// suspended. Failure: on a clock that stands still meanwhile, a VM that slept for
// a minute would take its assignment for fresh and give orders beside its
// successor. Shards is not safe for concurrent use.
type Shards struct {
	config ShardConfig
	// generation is the newest that a join brought.
	generation uint64
	// joinedAt is when the newest answered join was sent.
	joinedAt time.Duration
	joined   bool
	held     map[int]*shard
}

// shard is one that the registry has assigned to this VM, or had.
type shard struct {
	// assigned is the generation since which it is assigned without a break.
	assigned uint64
	// token is the generation under which its ownership was recorded, 0 before.
	token uint64
	// startAt is when the first order may go out, known once owned; settled is
	// whether it is recorded that this has passed.
	startAt time.Duration
	settled bool
	// orderedAt is when the newest order was sent or answered, ordered whether
	// there was one; open counts those without an answer.
	orderedAt time.Duration
	ordered   bool
	open      int
	// stopped is set once it was given up, or lost.
	stopped bool
	// doubtful is whether the group changed since its owner's record was last seen.
	doubtful bool
	// unrecorded is whether the registry came back without the record of its ownership.
	unrecorded bool
}

// NewShards makes the state of a process that holds nothing.
func NewShards(config ShardConfig) *Shards {
	return &Shards{config: config, held: make(map[int]*shard)}
}

// Generation is the newest that a join brought, 0 before the first.
func (s *Shards) Generation() uint64 { return s.generation }

// Joined takes the answer to a join that was sent at the given time. It returns
// the shards that are new here: their ownership must be recorded under the
// generation before anything is ordered.
func (s *Shards) ApplyJoin(sent time.Duration, generation uint64, indexes []int) (gained []int) {
	if generation < s.generation {
		return nil // an answer that was overtaken
	}
	if generation != s.generation {
		for _, held := range s.held {
			held.doubtful = true
		}
	}
	s.generation = generation
	s.joined = true
	s.joinedAt = max(s.joinedAt, sent)
	for index, held := range s.held {
		if !slices.Contains(indexes, index) {
			held.stopped = true
		}
	}
	for _, index := range indexes {
		if held := s.held[index]; held != nil && !held.stopped {
			continue
		}
		next := &shard{assigned: generation}
		if before := s.held[index]; before != nil {
			next = before.renewed(generation)
		}
		s.held[index] = next
		gained = append(gained, index)
	}
	slices.Sort(gained)
	return gained
}

// Restored notes that the registry came back without its newest records, as the answer to a
// join tells that was sent at the given time; Joined follows. A shard that this VM has held
// without a break is nobody else's: whoever was assigned it since had to wait for that hold.
// It goes on once its ownership is recorded again. Any other one is taken over anew.
func (s *Shards) HandleRegistryRestore(sent time.Duration) {
	unbroken := s.joined && sent-s.joinedAt < s.config.JoinTTL
	for index, held := range s.held {
		switch {
		case held.stopped:
		case unbroken && held.token != 0:
			held.unrecorded, held.settled = true, false
		default:
			s.held[index] = held.renewed(s.generation)
		}
	}
}

// Unrecorded returns the shards whose ownership is to be recorded again.
func (s *Shards) Unrecorded() []int {
	var unrecorded []int
	for index, held := range s.held {
		if !held.stopped && held.unrecorded {
			unrecorded = append(unrecorded, index)
		}
	}
	slices.Sort(unrecorded)
	return unrecorded
}

// RecordedAgain notes that a shard's ownership was recorded again, under a generation.
func (s *Shards) MarkRerecorded(index int, generation uint64) {
	held := s.held[index]
	if held == nil || held.stopped || !held.unrecorded {
		return
	}
	held.token, held.assigned, held.unrecorded = generation, generation, false
	held.doubtful = generation != s.generation
}

// Wanting returns the shards that are assigned and not owned yet.
func (s *Shards) Unowned() []int {
	var wanting []int
	for index, held := range s.held {
		if !held.stopped && held.token == 0 {
			wanting = append(wanting, index)
		}
	}
	slices.Sort(wanting)
	return wanting
}

// Doubtful returns the owned shards to which no order may go out before Confirm.
// Failure: the group changes twice between two joins of a VM that was frozen or cut
// off. The shard was another VM's meanwhile, which recorded itself as its owner, and
// now looks as if it had never been away.
func (s *Shards) Unconfirmed() []int {
	var doubtful []int
	for index, held := range s.held {
		if !held.stopped && held.token != 0 && held.doubtful && !held.unrecorded {
			doubtful = append(doubtful, index)
		}
	}
	slices.Sort(doubtful)
	return doubtful
}

// Confirm takes the newest record of a shard's owner, read after the newest join:
// the generation under which this VM recorded itself, 0 if it names another one. Where
// that is not what this VM knows, the shard has to be taken over anew.
func (s *Shards) ConfirmOwner(index int, recorded uint64) {
	held := s.held[index]
	if held == nil || held.stopped || held.token == 0 {
		return
	}
	if recorded == held.token {
		held.doubtful = false
		return
	}
	s.held[index] = held.renewed(s.generation)
}

// renewed is a shard that is assigned again, with what is known of its orders.
func (h *shard) renewed(generation uint64) *shard {
	return &shard{assigned: generation, ordered: h.ordered, orderedAt: h.orderedAt, open: h.open}
}

// Owned notes that the ownership was recorded under the generation, and that the
// first order may go out after the given wait.
func (s *Shards) MarkOwned(now time.Duration, index int, generation uint64, wait time.Duration) {
	held := s.held[index]
	if held == nil || held.stopped || generation < held.assigned {
		return
	}
	held.token = generation
	held.startAt = now + wait
	held.doubtful = generation != s.generation
}

// WaitForLost is how long to wait for a predecessor that can't be asked: it may
// act on a join of just before the ownership was recorded.
func (c ShardConfig) WaitForLostOwner() time.Duration {
	return c.JoinTTL + c.MaxOrderDelay + c.MinHandoverGap
}

// WaitAfter is how long to wait for a predecessor whose last order was so long ago.
func (c ShardConfig) WaitAfterLastOrder(ago time.Duration) time.Duration {
	return max(0, c.MinHandoverGap-ago)
}

// MayOrder tells whether an order may go out now, and with which fencing token.
func (s *Shards) CanSendOrders(now time.Duration, index int) (token uint64, ok bool) {
	held := s.held[index]
	if held == nil || held.stopped || held.doubtful || held.unrecorded || held.token == 0 || now < held.startAt || !s.IsJoinFresh(now) {
		return 0, false
	}
	return held.token, true
}

// Fresh tells whether the newest join is recent enough to act on.
func (s *Shards) IsJoinFresh(now time.Duration) bool {
	return s.joined && now-s.joinedAt < s.config.JoinTTL
}

// Sending notes an order that is being sent; Answered must follow.
func (s *Shards) BeginOrder(now time.Duration, index int) {
	if held := s.held[index]; held != nil {
		held.open++
		held.note(now)
	}
}

// Answered ends what Sending began: the order was answered, or can't arrive any more.
func (s *Shards) EndOrder(now time.Duration, index int) {
	if held := s.held[index]; held != nil {
		held.open--
		held.note(now)
	}
}

func (h *shard) note(now time.Duration) {
	h.ordered = true
	h.orderedAt = max(h.orderedAt, now)
}

// Release stops all orders to a shard for a successor that holds it under the
// generation, and tells how long ago the last one was: negative where one is
// under way. settled is what the owner's record says: see Settled. False says that
// this VM can't tell, or holds the shard under a newer generation.
func (s *Shards) Release(now time.Duration, index int, generation uint64, settled bool, started time.Duration) (ago time.Duration, ok bool) {
	held := s.held[index]
	if held == nil {
		// Taken by an earlier process of this VM, which ended before this one began.
		return now - started, settled
	}
	if !held.stopped && held.assigned >= generation {
		return 0, false
	}
	held.stopped = true
	if !settled && held.token == 0 {
		return 0, false
	}
	ago = now - started
	if held.ordered {
		ago = now - held.orderedAt
	}
	if held.open > 0 {
		ago = -s.config.MaxOrderDelay
	}
	if !settled {
		// This VM still waits for its own predecessor: so must the successor.
		ago = min(ago, s.config.MinHandoverGap-(held.startAt-now))
	}
	return ago, true
}

// Settled returns the shards whose wait for a predecessor is over. That is to be
// recorded with their ownership. Failure: an owner that waits for a predecessor which
// may still give orders is asked for the shard, or restarts; it has sent nothing
// itself, and the next owner would start beside that predecessor.
func (s *Shards) NewlySettled(now time.Duration) []int {
	var settled []int
	for index, held := range s.held {
		if !held.stopped && held.token != 0 && now >= held.startAt && !held.settled && !held.unrecorded {
			settled = append(settled, index)
		}
	}
	slices.Sort(settled)
	return settled
}

// Recorded notes that the settling of a shard was recorded.
func (s *Shards) MarkSettled(index int) {
	if held := s.held[index]; held != nil {
		held.settled = true
	}
}

// Token is the generation under which a shard's ownership was recorded, 0 if it is not
// owned.
func (s *Shards) Token(index int) uint64 {
	if held := s.held[index]; held != nil && !held.stopped {
		return held.token
	}
	return 0
}

// StopAll stops all orders, at a graceful shutdown.
func (s *Shards) StopAll() {
	for _, held := range s.held {
		held.stopped = true
	}
}

// Active returns the shards to which orders may go out now.
func (s *Shards) Active(now time.Duration) []int {
	var active []int
	for index := range s.held {
		if _, ok := s.CanSendOrders(now, index); ok {
			active = append(active, index)
		}
	}
	slices.Sort(active)
	return active
}
