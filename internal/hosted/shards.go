package hosted

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/telemetry"
	"bergamotreel/registry"
)

const (
	// joinInterval is the time between two joins. It is short enough that several may be
	// lost within the membership's TTL and within the time that one join permits orders.
	joinInterval = 700 * time.Millisecond
	// maxOwnAttempts is how often one join tries to record ownership when another VM's
	// record conflicts; the delay between two attempts varies up to maxOwnBackoff. Without
	// jitter, twenty VMs that start together conflict at each join, where only one of them
	// succeeds: of 90 engines 66 have no keeper after 6 s, 31 after 10 s.
	maxOwnAttempts = 4
	maxOwnBackoff  = 120 * time.Millisecond
	// membershipTTL is how long a membership lasts without a join. It outlasts a quick
	// restart: the new process finds its shards unchanged and needn't wait for a former owner.
	membershipTTL = 2500 * time.Millisecond
	// peerWaitTimeout bounds how long a restarted process waits for a report of another VM
	// before it joins, checking every peerPollInterval.
	peerWaitTimeout  = 500 * time.Millisecond
	peerPollInterval = 10 * time.Millisecond
	// joinTimeout bounds a join, and each call that records an owner.
	joinTimeout = time.Second
	// settleBatchDelay is how long settled shards are collected for one write.
	settleBatchDelay = 30 * time.Millisecond
	// releaseTimeout bounds a release request to a former owner; an unanswered one is
	// repeated every releaseRetryInterval.
	releaseTimeout       = 400 * time.Millisecond
	releaseRetryInterval = 500 * time.Millisecond
	// leaveTimeout bounds leaving the group at a graceful shutdown.
	leaveTimeout = time.Second
	// firstStartDelay is how long after the first start of the whole system shards are
	// taken over: all VMs join within it, and none sends an order before its end.
	firstStartDelay = 900 * time.Millisecond
)

// takeoverSeconds measures the time from the record of a shard's owner until it may send
// its first order.
var takeoverSeconds = metrics.NewHistogram(`bergamotreel_shard_takeover_seconds`)

// shardOf returns the shard of an engine.
func (n *Node) shardOf(engine string) int {
	return int(xxhash.Sum64String(engine) % uint64(max(n.config.Shards, 1)))
}

// maintainShards keeps this VM a member of its domain's group if it should be one, and
// takes over the shards that it is assigned, until ctx ends or the node stops.
func (n *Node) maintainShards(ctx context.Context) {
	// The first join is made at once; the offset spreads the later joins of the VMs.
	offset := n.jitter(0, joinInterval)
	n.waitForPeer(ctx)
	for member := false; ctx.Err() == nil && !n.stopping.Load(); {
		wasMember, hasPaths := member, n.paths.canOrder(time.Now())
		member = hasPaths && n.members.shouldJoinAsKeeper(time.Now(), wasMember)
		switch {
		case member:
			n.join(ctx)
		case wasMember && !hasPaths:
			n.config.Logger.Info("engines handed over, as the paths to them are lost")
			n.leaveShards(ctx)
		}
		n.recordSettledUntil(ctx, time.Now().Add(joinInterval+offset))
		offset = 0
	}
}

// waitForPeer waits up to peerWaitTimeout until another VM is live, unless the whole system
// starts for the first time: without peers this VM can't tell whether the fleet is large.
func (n *Node) waitForPeer(ctx context.Context) {
	if n.config.FirstStart {
		return
	}
	for n.config.BootClock()-n.startedAt < peerWaitTimeout && n.members.hasNoReachablePeer(time.Now()) && pause.For(ctx, peerPollInterval) {
	}
}

// recordSettledUntil waits for the next join and records shards as soon as they are settled,
// that is, once no former owner can send orders any more. If only joins recorded that, a VM
// killed 0.2 s after a takeover, before its next join, would leave no such record to its
// next process, and a third of all engines would get no orders for 13.7 s.
func (n *Node) recordSettledUntil(ctx context.Context, until time.Time) {
	for {
		timer := time.NewTimer(time.Until(until))
		select {
		case <-timer.C:
			return
		case <-n.settleSignal:
		case <-ctx.Done():
		}
		timer.Stop()
		if !pause.For(ctx, settleBatchDelay) || n.stopping.Load() {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		err := n.updateOwnership(callCtx, n.generation())
		cancel()
		if err != nil {
			n.config.Logger.Debug("settled shards not recorded, the next join does", telemetry.Reason(err))
		}
	}
}

// jitter returns a duration below limit that differs between VMs and attempts.
func (n *Node) jitter(try int, limit time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(n.config.VM+strconv.Itoa(try)) % uint64(limit))
}

// join renews the membership once and updates the records of ownership.
func (n *Node) join(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	sent := n.config.BootClock()
	assignment, err := n.config.Peers.Registry.Join(callCtx, registry.JoinRequest{
		Group: n.config.Domain, Member: n.config.VM, TTL: membershipTTL, Generation: n.generation(),
	})
	if err != nil {
		n.config.Logger.Debug("group not joined", telemetry.Reason(err))
		return
	}
	if !n.applyAssignment(sent, assignment) || n.isWithinFirstStartDelay() {
		return
	}
	for try := 1; ; try++ {
		err := n.updateOwnership(callCtx, assignment.Generation)
		if err == nil {
			return
		}
		if !errors.Is(err, registry.ErrConflict) || try == maxOwnAttempts || !pause.For(callCtx, n.jitter(try, maxOwnBackoff)) {
			n.config.Logger.Warn("ownership of shards not updated", zap.Uint64("generation", assignment.Generation),
				zap.Int("tries", try), telemetry.Reason(err))
			return
		}
	}
}

// isWithinFirstStartDelay reports whether the whole system is starting for the first time.
// Meanwhile members join one after the other and would take shards from each other.
func (n *Node) isWithinFirstStartDelay() bool {
	return n.config.FirstStart && n.config.BootClock()-n.startedAt < firstStartDelay
}

func (n *Node) generation() uint64 {
	n.shardsMu.Lock()
	defer n.shardsMu.Unlock()
	return n.shards.Generation()
}

// applyAssignment applies the assignment of a join and reports whether the records of
// ownership have to be compared.
func (n *Node) applyAssignment(sent time.Duration, assignment registry.Assignment) bool {
	n.shardsMu.Lock()
	defer n.shardsMu.Unlock()
	if n.shards.Generation() == 0 {
		n.firstEpoch = registry.EpochOf(assignment.Generation)
	}
	if before := n.shards.Generation(); before != 0 && registry.EpochOf(before) < registry.EpochOf(assignment.Generation) {
		n.shards.HandleRegistryRestore(sent)
		n.config.Logger.Warn("registry came back without its newest records", zap.Uint64("epoch", registry.EpochOf(assignment.Generation)),
			zap.Ints("shards_to_record", n.shards.Unrecorded()))
	}
	if gained := n.shards.ApplyJoin(sent, assignment.Generation, assignment.Shards); len(gained) > 0 {
		n.config.Logger.Info("shards assigned", zap.Ints("shards", gained), zap.Uint64("generation", assignment.Generation))
	}
	return len(n.shards.Unowned())+len(n.shards.Unconfirmed())+len(n.shards.Unrecorded())+len(n.shards.NewlySettled(n.config.BootClock())) > 0
}

// updateOwnership confirms the owned shards, records this VM as the owner of the newly
// assigned ones, and records which shards are settled. Then it asks the former owners
// of the new shards to release them.
func (n *Node) updateOwnership(ctx context.Context, generation uint64) error {
	owners, at, err := n.config.Peers.Registry.Owners(ctx, n.config.Domain)
	if err != nil {
		return err
	}
	recorded := make(map[int]registry.Ownership, len(owners))
	for _, o := range owners {
		recorded[o.Index] = o
		n.members.addAddresses([]string{o.Address})
	}
	unowned, settled, unrecorded := n.reconcileOwners(recorded)
	var records []registry.Ownership
	for _, shard := range unrecorded {
		records = append(records, n.newOwnership(shard, generation, false))
	}
	for _, shard := range unowned {
		if n.isOutdatedRecord(recorded[shard], generation) {
			recorded[shard] = registry.Ownership{Index: shard, Unreadable: true}
		}
		if recorded[shard].Generation > generation {
			return errNewerOwner
		}
		record := n.newOwnership(shard, generation, n.isFreeOfOtherOrders(recorded[shard]))
		record.Predecessor = n.predecessor(recorded[shard])
		records = append(records, record)
	}
	for _, shard := range settled {
		records = append(records, n.newOwnership(shard, recorded[shard].Generation, true))
	}
	if len(records) == 0 {
		return nil
	}
	if err := n.config.Peers.Registry.RecordOwners(ctx, n.config.Domain, records, at); err != nil {
		return err
	}
	n.markSettled(settled)
	n.markRerecorded(unrecorded, generation)
	// From here on, a predecessor that can't be reached must stop by its own clock.
	ownedAt := n.config.BootClock()
	for _, shard := range unowned {
		go n.awaitTakeover(takeover{shard, generation, recorded[shard], ownedAt})
	}
	return nil
}

var errNewerOwner = errors.New("a newer owner is recorded")

func (n *Node) newOwnership(shard int, generation uint64, settled bool) registry.Ownership {
	return registry.Ownership{
		Index: shard, VM: n.config.VM, Address: n.config.Address, Generation: generation, Settled: settled,
	}
}

// isFreeOfOtherOrders reports whether no other VM can have sent orders to a shard.
func (n *Node) isFreeOfOtherOrders(former registry.Ownership) bool {
	return (former.VM == "" && !former.Unreadable) || (former.VM == n.config.VM && former.Settled)
}

// predecessor returns the last other VM that, as an owner, can have sent orders to a shard;
// it is empty if there was none or none is known. If the former owner is an earlier process
// of this VM that still waited for its predecessor, that predecessor is returned: the
// earlier process and the orders that it sent have ended.
func (n *Node) predecessor(former registry.Ownership) registry.FormerOwner {
	switch {
	case former.Unreadable, former.VM == "":
		return registry.FormerOwner{}
	case former.VM == n.config.VM:
		return former.Predecessor
	default:
		return registry.FormerOwner{VM: former.VM, Address: former.Address, Settled: former.Settled}
	}
}

// reconcileOwners compares the shards that this VM owns with the records. It returns what
// has to be recorded: the shards to take over, those that are settled by now, and owned
// ones whose record a registry restore has lost.
func (n *Node) reconcileOwners(recorded map[int]registry.Ownership) (unowned, settled, unrecorded []int) {
	n.shardsMu.Lock()
	defer n.shardsMu.Unlock()
	for _, shard := range n.shards.Unconfirmed() {
		ownGeneration := uint64(0)
		if recorded[shard].VM == n.config.VM {
			ownGeneration = recorded[shard].Generation
		}
		n.shards.ConfirmOwner(shard, ownGeneration)
	}
	for _, shard := range n.shards.NewlySettled(n.config.BootClock()) {
		switch {
		case recorded[shard].VM != n.config.VM || recorded[shard].Generation != n.shards.Token(shard):
		case recorded[shard].Settled:
			n.shards.MarkSettled(shard)
		default:
			settled = append(settled, shard)
		}
	}
	return n.shards.Unowned(), settled, n.shards.Unrecorded()
}

// isOutdatedRecord reports whether a record of a shard's owner may predate the last owner,
// as it is missing or from an earlier epoch.
func (n *Node) isOutdatedRecord(record registry.Ownership, generation uint64) bool {
	epoch := registry.EpochOf(generation)
	return registry.EpochOf(record.Generation) != epoch && !n.isFirstStartEpoch(epoch)
}

// isFirstStartEpoch reports whether the whole system first started in this epoch, so that
// no earlier owner exists.
func (n *Node) isFirstStartEpoch(epoch uint64) bool {
	n.shardsMu.Lock()
	defer n.shardsMu.Unlock()
	return n.config.FirstStart && epoch == n.firstEpoch
}

func (n *Node) markRerecorded(shards []int, generation uint64) {
	n.shardsMu.Lock()
	defer n.shardsMu.Unlock()
	for _, shard := range shards {
		n.shards.MarkRecordRestored(shard, generation)
	}
}

func (n *Node) markSettled(shards []int) {
	n.shardsMu.Lock()
	defer n.shardsMu.Unlock()
	for _, shard := range shards {
		n.shards.MarkSettled(shard)
	}
}

// Release implements entryvm.Coordinator.
func (n *Node) Release(args entryvm.ReleaseArgs) entryvm.ReleaseReply {
	if args.Group != n.config.Domain {
		return entryvm.ReleaseReply{}
	}
	n.shardsMu.Lock()
	defer n.shardsMu.Unlock()
	lastOrderAgo, ok := n.shards.Release(n.config.BootClock(), args.Index, args.Generation, args.Settled, n.startedAt)
	n.config.Logger.Info("shard released", zap.Int("shard", args.Index), zap.Uint64("to_generation", args.Generation),
		zap.Bool("released", ok), zap.Duration("last_order", lastOrderAgo))
	return entryvm.ReleaseReply{Released: ok, LastOrder: lastOrderAgo}
}

// activeShards returns the shards to whose engines this VM may send orders now.
func (n *Node) activeShards() []int {
	n.shardsMu.Lock()
	defer n.shardsMu.Unlock()
	return n.shards.Active(n.config.BootClock())
}

// beginOrder checks that this VM may send an order to an engine, and returns the fencing
// token for it. The caller must call end once the order was answered or can no longer
// arrive.
func (n *Node) beginOrder(engine string) (token uint64, end func(), ok bool) {
	shard := n.shardOf(engine)
	n.shardsMu.Lock()
	defer n.shardsMu.Unlock()
	now := n.config.BootClock()
	token, ok = n.shards.CanSendOrders(now, shard)
	if !ok {
		return 0, nil, false
	}
	n.shards.BeginOrder(now, shard)
	return token, func() {
		n.shardsMu.Lock()
		defer n.shardsMu.Unlock()
		n.shards.EndOrder(n.config.BootClock(), shard)
	}, true
}

// leaveShards stops all orders for now and ends the membership, so that another VM takes the
// shards over at once. This VM still serves and answers release requests.
func (n *Node) leaveShards(ctx context.Context) {
	n.shardsMu.Lock()
	n.shards.StopAll()
	n.shardsMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := n.config.Peers.Registry.Leave(ctx, n.config.Domain, n.config.VM); err != nil {
		n.config.Logger.Warn("group not left", telemetry.Reason(err))
	}
}
