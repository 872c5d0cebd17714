package claims

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bergamotreel/caller"
	"bergamotreel/entryvm"
	"bergamotreel/idempotency"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/serving"
	"bergamotreel/service"
)

const (
	// holdTick is how often it is looked at which shards this VM should hold.
	holdTick = time.Second
	// holdOn is how long a shard is held that should be others': VM lists trail,
	// and others need a while to read it.
	holdOn = time.Minute
	// shardInterval is the pause between two appends of one holder. The callers of
	// a shard ask one holder, so that 64 shards cost the log at most 256 appends a
	// second, for up to a quarter of a second that a claim waits.
	shardInterval = 250 * time.Millisecond
	// avoidFor is how long a holder that had no answer is asked last.
	avoidFor = 5 * time.Second
)

// Holder is an entry VM that should hold a shard.
type Holder struct {
	Address string
	// Self marks this VM.
	Self bool
}

// ShardsConfig is what Shards need.
type ShardsConfig struct {
	// Config is each shard's. NobodyAhead and WritesSnapshots are not used.
	Config
	// Count is the number of shards, the same on all VMs for all time: a key that
	// moves to another stream is not remembered there.
	Count int
	// Holders are the VMs that should hold a shard, in the order in which they
	// are to be asked: the same first one for all callers joins their claims.
	Holders func(shard int) []Holder
	// Writes tells whether this VM is to write the shard's snapshots.
	Writes func(shard int) bool
	Peer   entryvm.Peer
}

// Shards claim calls over several streams, each of which is held by a few VMs
// only. A call whose shard this VM holds is claimed as by a Claimer; for another
// one a holder is asked, who joins the claims of all callers in one record. Who
// should hold a shard is a matter of load alone: whoever follows its stream may
// claim for others, and what holds is what the log says.
type Shards struct {
	config ShardsConfig
	// known is how far each shard's stream was known to be folded by a holder.
	known     []marks
	recording sync.WaitGroup

	mu   sync.Mutex
	held map[int]*heldShard
	// failedAt is when a holder had no answer, by address.
	failedAt map[string]time.Time
}

// heldShard is a shard that this VM holds.
type heldShard struct {
	claimer *Claimer
	stop    func()
	// wantedAt is when this VM was last among those that should hold it.
	wantedAt time.Time
}

// NewShards makes shards; Run must be started for them to work.
func NewShards(config ShardsConfig) *Shards {
	config.IDs = new(IDs)
	config.NobodyAhead = nobodyKnows
	return &Shards{config: config, known: make([]marks, config.Count), held: make(map[int]*heldShard),
		failedAt: make(map[string]time.Time)}
}

// nobodyKnows: a holder's table says nothing of what those who asked other
// holders have dispatched, and they are too many to be asked.
func nobodyKnows(context.Context, entryvm.ClaimQuery, uint64, time.Time) bool { return false }

// Run holds the shards that this VM should, until ctx ends.
func (s *Shards) Run(ctx context.Context) {
	for {
		for shard := range s.config.Count {
			s.holdOrLeave(ctx, shard, time.Now())
		}
		s.forgetFailures(time.Now())
		if !pause.For(ctx, holdTick) {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for shard := range s.held {
		s.leave(shard)
	}
}

func (s *Shards) holdOrLeave(ctx context.Context, shard int, now time.Time) {
	wanted := false
	for _, holder := range s.config.Holders(shard) {
		wanted = wanted || holder.Self
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.held[shard]
	switch {
	case wanted && held == nil:
		s.held[shard] = s.hold(ctx, shard, now)
	case wanted:
		held.wantedAt = now
	case held != nil && now.Sub(held.wantedAt) > holdOn && held.claimer.open.Load() == 0:
		s.leave(shard)
	}
}

// hold begins to follow the shard's stream.
func (s *Shards) hold(ctx context.Context, shard int, now time.Time) *heldShard {
	config := s.config.Config
	config.Stream = fmt.Sprintf("%s-%d-%d", Stream, s.config.Count, shard)
	config.WritesSnapshots = func() bool { return s.config.Writes(shard) }
	config.MinInterval = shardInterval
	claimer := New(config)
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { claimer.Run(ctx) })
	stop := func() {
		cancel()
		running.Wait()
	}
	return &heldShard{claimer: claimer, stop: stop, wantedAt: now}
}

// leave ends what hold began. Call with mu held.
func (s *Shards) leave(shard int) {
	s.held[shard].stop()
	delete(s.held, shard)
}

// local returns the shard's claimer, nil if this VM doesn't hold it or has not
// read its stream yet.
func (s *Shards) local(shard int) *Claimer {
	s.mu.Lock()
	held := s.held[shard]
	s.mu.Unlock()
	if held == nil {
		return nil
	}
	select {
	case <-held.claimer.Ready():
		return held.claimer
	default:
		return nil
	}
}

// Begin implements serving.Claims.
func (s *Shards) Begin(ctx context.Context, call caller.ServiceCall) (serving.Claim, *service.Answer, error) {
	key := idempotency.KeyOf(call.Identity.Customer, call.IdempotencyKey)
	shard := idempotency.Shard(key, s.config.Count)
	if local := s.local(shard); local != nil {
		return local.Begin(ctx, call)
	}
	return s.ask(ctx, call, shard, key)
}

// Claim answers a VM that asks this one as a holder.
func (s *Shards) Claim(call entryvm.ClaimCall) entryvm.ClaimResult {
	local, entry, ok := s.asked(call)
	if !ok || entry.Claim == nil {
		return entryvm.ClaimResult{State: entryvm.ClaimNotHolder}
	}
	return local.claimFor(entry.Claim)
}

// Settle answers a VM that has an outcome or a release.
func (s *Shards) Settle(call entryvm.ClaimCall) bool {
	local, entry, ok := s.asked(call)
	return ok && entry.Claim == nil && local.settleFor(entry)
}

func (s *Shards) asked(call entryvm.ClaimCall) (*Claimer, idempotency.Entry, bool) {
	record, err := idempotency.Decode(call.Record)
	if err != nil || len(record.Entries) != 1 || call.Shards != s.config.Count {
		return nil, idempotency.Entry{}, false
	}
	local := s.local(call.Shard)
	return local, record.Entries[0], local != nil
}

// Claimed answers a peer that can't reach the log: it may have run.
func (s *Shards) Claimed(entryvm.ClaimQuery) entryvm.ClaimReply {
	return entryvm.ClaimReply{Held: true}
}

// claimers are those of the shards held.
func (s *Shards) claimers() (all []*Claimer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, held := range s.held {
		all = append(all, held.claimer)
	}
	return all
}

// Drain waits until the answers under way are recorded, at a graceful shutdown.
func (s *Shards) Drain() {
	s.recording.Wait()
	for _, claimer := range s.claimers() {
		claimer.Drain()
	}
}

// Skipped counts records of the shards held that no VM could read.
func (s *Shards) Skipped() (skipped uint64) {
	for _, claimer := range s.claimers() {
		skipped += claimer.Skipped()
	}
	return skipped
}

// SnapshotsWritten counts the snapshots of the shards held.
func (s *Shards) SnapshotsWritten() (written uint64) {
	for _, claimer := range s.claimers() {
		written += claimer.SnapshotsWritten()
	}
	return written
}
