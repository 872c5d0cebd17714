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
	// holdCheckInterval is how often the set of shards that this VM should hold
	// is checked.
	holdCheckInterval = time.Second
	// minUnassignedHold is how long a shard is still held after it was assigned
	// to other VMs. VM lists lag behind, and the new holders need time to read
	// the stream.
	minUnassignedHold = time.Minute
	// shardAppendInterval is the minimum interval between two appends of one
	// holder. All callers of a shard ask the same holder first, so that 64
	// shards cost the log at most 256 appends per second. A claim waits up to
	// this long for it.
	shardAppendInterval = 250 * time.Millisecond
	// holderFailureBackoff is how long a holder that failed is tried only after
	// the others.
	holderFailureBackoff = 5 * time.Second
)

// ShardHolder is an entry VM that should hold a shard.
type ShardHolder struct {
	Address string
	// Self is true for this VM.
	Self bool
}

// ShardsConfig configures Shards.
type ShardsConfig struct {
	// Config applies to each shard. RuleOutDispatch, WritesSnapshots, Stream,
	// IDs and MinInterval are replaced.
	Config
	// Count is the number of shards. It must be the same on all VMs and never
	// change: a key that moves to another stream is forgotten.
	Count int
	// Holders returns the VMs that should hold a shard, in the order in which
	// they are asked. If all callers ask the same VM first, it batches their
	// claims.
	Holders func(shard int) []ShardHolder
	// WritesShardSnapshots reports whether this VM writes the snapshots of the
	// shard.
	WritesShardSnapshots func(shard int) bool
	Peer                 entryvm.Peer
}

// Shards claims calls in several streams, each of which is held by a few VMs
// only. If this VM holds the shard of a call, it claims the call like a
// Claimer; otherwise it asks a holder, which batches the claims of all callers
// in one record. Which VMs should hold a shard affects load only: any VM that
// follows a stream may claim for others, and the log decides which claim wins.
type Shards struct {
	config ShardsConfig
	// knownOffsets records, for each shard, up to which offset a holder is
	// known to have applied the stream.
	knownOffsets []offsetHistory
	background   sync.WaitGroup

	mu   sync.Mutex
	held map[int]*heldShard
	// failedAt is when the last call to a holder failed, by address.
	failedAt map[string]time.Time
}

// heldShard is a shard held by this VM.
type heldShard struct {
	claimer *Claimer
	stop    func()
	// lastAssigned is when this VM was last among the VMs that should hold the
	// shard.
	lastAssigned time.Time
}

// NewShards returns shards. They hold no stream until Run is started.
func NewShards(config ShardsConfig) *Shards {
	config.IDs = new(IDGenerator)
	config.RuleOutDispatch = cannotRuleOutDispatch
	return &Shards{config: config, knownOffsets: make([]offsetHistory, config.Count), held: make(map[int]*heldShard),
		failedAt: make(map[string]time.Time)}
}

// cannotRuleOutDispatch always returns false. A holder's table does not show
// what VMs that asked other holders have dispatched, and these VMs are too many
// to be asked.
func cannotRuleOutDispatch(context.Context, entryvm.ClaimQuery, uint64, time.Time) bool { return false }

// Run holds the shards that are assigned to this VM until ctx ends.
func (s *Shards) Run(ctx context.Context) {
	for {
		for shard := range s.config.Count {
			s.updateHeld(ctx, shard, time.Now())
		}
		s.pruneFailures(time.Now())
		if !pause.For(ctx, holdCheckInterval) {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for shard := range s.held {
		s.stopHolding(shard)
	}
}

func (s *Shards) updateHeld(ctx context.Context, shard int, now time.Time) {
	assigned := false
	for _, holder := range s.config.Holders(shard) {
		assigned = assigned || holder.Self
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.held[shard]
	switch {
	case assigned && held == nil:
		s.held[shard] = s.startHolding(ctx, shard, now)
	case assigned:
		held.lastAssigned = now
	case held != nil && now.Sub(held.lastAssigned) > minUnassignedHold && held.claimer.openClaims.Load() == 0:
		s.stopHolding(shard)
	}
}

// startHolding starts to follow the shard's stream.
func (s *Shards) startHolding(ctx context.Context, shard int, now time.Time) *heldShard {
	config := s.config.Config
	config.Stream = fmt.Sprintf("%s-%d-%d", Stream, s.config.Count, shard)
	config.WritesSnapshots = func() bool { return s.config.WritesShardSnapshots(shard) }
	config.MinInterval = shardAppendInterval
	claimer := New(config)
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { claimer.Run(ctx) })
	stop := func() {
		cancel()
		running.Wait()
	}
	return &heldShard{claimer: claimer, stop: stop, lastAssigned: now}
}

// stopHolding stops following the shard's stream. The caller must hold mu.
func (s *Shards) stopHolding(shard int) {
	s.held[shard].stop()
	delete(s.held, shard)
}

// localClaimer returns the shard's claimer, nil if this VM does not hold the
// shard or has not read its stream yet.
func (s *Shards) localClaimer(shard int) *Claimer {
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
	shard := idempotency.ShardOf(key, s.config.Count)
	if local := s.localClaimer(shard); local != nil {
		return local.Begin(ctx, call)
	}
	return s.claimAtHolders(ctx, call, shard, key)
}

// Claim claims a key for a VM that asks this one as a holder of the shard.
func (s *Shards) Claim(call entryvm.ClaimCall) entryvm.ClaimResult {
	local, entry, ok := s.decodeCall(call)
	if !ok || entry.Claim == nil {
		return entryvm.ClaimResult{State: entryvm.ClaimNotHolder}
	}
	return local.claimForPeer(entry.Claim)
}

// Settle stores an outcome or release for a VM that asks this one as a holder
// of the shard. It reports whether the entry was stored.
func (s *Shards) Settle(call entryvm.ClaimCall) bool {
	local, entry, ok := s.decodeCall(call)
	return ok && entry.Claim == nil && local.storeForPeer(entry)
}

func (s *Shards) decodeCall(call entryvm.ClaimCall) (*Claimer, idempotency.Entry, bool) {
	record, err := idempotency.Decode(call.Record)
	if err != nil || len(record.Entries) != 1 || call.Shards != s.config.Count {
		return nil, idempotency.Entry{}, false
	}
	local := s.localClaimer(call.Shard)
	return local, record.Entries[0], local != nil
}

// Claimed always reports the key as held to a peer that can't reach the log,
// since the call may have run; see cannotRuleOutDispatch.
func (s *Shards) Claimed(entryvm.ClaimQuery) entryvm.ClaimReply {
	return entryvm.ClaimReply{Held: true}
}

// heldClaimers returns the claimers of the shards held.
func (s *Shards) heldClaimers() (all []*Claimer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, held := range s.held {
		all = append(all, held.claimer)
	}
	return all
}

// Drain waits until pending outcomes and releases are recorded. It is called at
// a graceful shutdown.
func (s *Shards) Drain() {
	s.background.Wait()
	for _, claimer := range s.heldClaimers() {
		claimer.Drain()
	}
}

// SkippedRecords returns the number of records of the held shards that could
// not be decoded.
func (s *Shards) SkippedRecords() (skipped uint64) {
	for _, claimer := range s.heldClaimers() {
		skipped += claimer.SkippedRecords()
	}
	return skipped
}

// SnapshotsWritten returns the number of snapshots written for the shards that
// are held.
func (s *Shards) SnapshotsWritten() (written uint64) {
	for _, claimer := range s.heldClaimers() {
		written += claimer.SnapshotsWritten()
	}
	return written
}
