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
	// joinEvery is the time between two joins: several may be lost within the
	// membership's life and within the time that one of them is acted on.
	joinEvery = 700 * time.Millisecond
	// ownTries is how often recording an ownership is tried in one join where another
	// VM recorded its own meanwhile; the pause between two tries is up to ownPause, by
	// chance. Failure: twenty VMs that start together joined in step, and one of them
	// recorded itself each time; of 90 engines 66 had no keeper after six seconds, 31
	// after ten.
	ownTries = 4
	ownPause = 120 * time.Millisecond
	// membershipTTL is how long a member may be silent: a process that is restarted
	// at once finds its shards unchanged, and so need not wait for anybody.
	membershipTTL = 2500 * time.Millisecond
	// othersWithin bounds how long a process that starts again waits for word of another VM
	// before it joins, looking every othersPoll.
	othersWithin = 500 * time.Millisecond
	othersPoll   = 10 * time.Millisecond
	// joinTimeout bounds a join, and each call that records an owner.
	joinTimeout = time.Second
	// settleGather is how long shards that settle together are gathered, for one record.
	settleGather = 30 * time.Millisecond
	// releaseTimeout bounds asking a former owner; one that did not tell is asked again
	// every askAgain.
	releaseTimeout = 400 * time.Millisecond
	askAgain       = 500 * time.Millisecond
	// leaveTimeout bounds leaving the group at a graceful shutdown.
	leaveTimeout = time.Second
	// firstStartSettles is how long after the first start of the whole system the
	// shards are shared out: all VMs join within it, and none gives an order before.
	firstStartSettles = 900 * time.Millisecond
)

// takeoverSeconds measures the time from the record of a shard's owner to its first order.
var takeoverSeconds = metrics.NewHistogram(`bergamotreel_shard_takeover_seconds`)

// shardOf is the shard of an engine.
func (n *Node) shardOf(engine string) int {
	return int(xxhash.Sum64String(engine) % uint64(max(n.config.Shards, 1)))
}

// holdShards is the duty that keeps this VM a member of its domain's group, and
// takes over the shards that it is assigned.
func (n *Node) holdShards(ctx context.Context) {
	// The first join is made at once, those after it out of step with the other VMs.
	offset := n.jitter(0, joinEvery)
	n.awaitOthers(ctx)
	for member := false; ctx.Err() == nil && !n.stopping.Load(); {
		if member = n.members.standsAsKeeper(time.Now(), member); member {
			n.join(ctx)
		}
		n.settleUntil(ctx, time.Now().Add(joinEvery+offset))
		offset = 0
	}
}

// awaitOthers waits a moment until another VM is heard, unless the whole system starts:
// before, this VM can't tell whether it is one of many.
func (n *Node) awaitOthers(ctx context.Context) {
	if n.config.FirstStart {
		return
	}
	for n.config.BootClock()-n.startedAt < othersWithin && n.members.nobodySeen(time.Now()) && pause.For(ctx, othersPoll) {
	}
}

// settleUntil waits for the next join, and records at once whose former owners are settled.
// Failure: a VM that took shards over was killed 0.2 s later, before its next join; nothing
// told its next process that nobody else could give orders, and a third of all engines got
// none for 13.7 s.
func (n *Node) settleUntil(ctx context.Context, until time.Time) {
	for {
		timer := time.NewTimer(time.Until(until))
		select {
		case <-timer.C:
			return
		case <-n.settleSignal:
		case <-ctx.Done():
		}
		timer.Stop()
		if !pause.For(ctx, settleGather) || n.stopping.Load() {
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

// jitter is a part of most that differs between VMs and tries.
func (n *Node) jitter(try int, most time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(n.config.VM+strconv.Itoa(try)) % uint64(most))
}

// join renews the membership once, and brings the records of ownership up to date.
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
	if !n.joined(sent, assignment) || n.settling() {
		return
	}
	for try := 1; ; try++ {
		err := n.updateOwnership(callCtx, assignment.Generation)
		if err == nil {
			return
		}
		if !errors.Is(err, registry.ErrConflict) || try == ownTries || !pause.For(callCtx, n.jitter(try, ownPause)) {
			n.config.Logger.Warn("ownership of shards not updated", zap.Uint64("generation", assignment.Generation),
				zap.Int("tries", try), telemetry.Reason(err))
			return
		}
	}
}

// settling tells whether the whole system is just starting for the first time. The
// members that join one after the other would take shards from each other.
func (n *Node) settling() bool {
	return n.config.FirstStart && n.config.BootClock()-n.startedAt < firstStartSettles
}

func (n *Node) generation() uint64 {
	n.shardsMu.Lock()
	defer n.shardsMu.Unlock()
	return n.shards.Generation()
}

// joined takes an assignment; it tells whether the records have to be looked at.
func (n *Node) joined(sent time.Duration, assignment registry.Assignment) bool {
	n.shardsMu.Lock()
	defer n.shardsMu.Unlock()
	if n.shards.Generation() == 0 {
		n.firstEpoch = registry.Epoch(assignment.Generation)
	}
	if before := n.shards.Generation(); before != 0 && registry.Epoch(before) < registry.Epoch(assignment.Generation) {
		n.shards.HandleRegistryRestore(sent)
		n.config.Logger.Warn("registry came back without its newest records", zap.Uint64("epoch", registry.Epoch(assignment.Generation)),
			zap.Ints("shards_to_record", n.shards.Unrecorded()))
	}
	if gained := n.shards.ApplyJoin(sent, assignment.Generation, assignment.Shards); len(gained) > 0 {
		n.config.Logger.Info("shards assigned", zap.Ints("shards", gained), zap.Uint64("generation", assignment.Generation))
	}
	return len(n.shards.Unowned())+len(n.shards.Unconfirmed())+len(n.shards.Unrecorded())+len(n.shards.NewlySettled(n.config.BootClock())) > 0
}

// updateOwnership confirms what is owned, records this VM as the owner of what it was
// assigned, and records whose former owners are settled. Then it asks the former
// owners of what is new to stop.
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
	wanting, settled, unrecorded := n.confirm(recorded)
	var records []registry.Ownership
	for _, shard := range unrecorded {
		records = append(records, n.ownership(shard, generation, false))
	}
	for _, shard := range wanting {
		if n.outdated(recorded[shard], generation) {
			recorded[shard] = registry.Ownership{Index: shard, Unknown: true}
		}
		if recorded[shard].Generation > generation {
			return errNewerOwner
		}
		record := n.ownership(shard, generation, n.startsAtOnce(recorded[shard]))
		record.Before = n.predecessor(recorded[shard])
		records = append(records, record)
	}
	for _, shard := range settled {
		records = append(records, n.ownership(shard, recorded[shard].Generation, true))
	}
	if len(records) == 0 {
		return nil
	}
	if err := n.config.Peers.Registry.Own(ctx, n.config.Domain, records, at); err != nil {
		return err
	}
	n.noteSettled(settled)
	n.noteRecordedAgain(unrecorded, generation)
	// From here on a predecessor that can't be asked must stop by its own clock.
	ownedAt := n.config.BootClock()
	for _, shard := range wanting {
		go n.begin(takeover{shard, generation, recorded[shard], ownedAt})
	}
	return nil
}

var errNewerOwner = errors.New("a newer owner is recorded")

func (n *Node) ownership(shard int, generation uint64, settled bool) registry.Ownership {
	return registry.Ownership{
		Index: shard, VM: n.config.VM, Address: n.config.Address, Generation: generation, Settled: settled,
	}
}

// startsAtOnce tells whether nobody but this VM can have given orders to a shard.
func (n *Node) startsAtOnce(former registry.Ownership) bool {
	return (former.VM == "" && !former.Unknown) || (former.VM == n.config.VM && former.Settled)
}

// predecessor is the last owner that can have given orders to a shard and is another VM; it
// is empty where there was none, or none is known. An earlier process of this VM that still
// waited for it has ended with all that it sent.
func (n *Node) predecessor(former registry.Ownership) registry.FormerOwner {
	switch {
	case former.Unknown, former.VM == "":
		return registry.FormerOwner{}
	case former.VM == n.config.VM:
		return former.Before
	default:
		return registry.FormerOwner{VM: former.VM, Address: former.Address, Settled: former.Settled}
	}
}

// confirm compares what this VM owns with the records. It returns what it has to
// record: the shards to take over, and those that are settled by now.
func (n *Node) confirm(recorded map[int]registry.Ownership) (wanting, settled, unrecorded []int) {
	n.shardsMu.Lock()
	defer n.shardsMu.Unlock()
	for _, shard := range n.shards.Unconfirmed() {
		mine := uint64(0)
		if recorded[shard].VM == n.config.VM {
			mine = recorded[shard].Generation
		}
		n.shards.ConfirmOwner(shard, mine)
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

// outdated tells whether a record of a shard's owner may be older than the last owner's, as
// it is of an earlier epoch or missing.
func (n *Node) outdated(record registry.Ownership, generation uint64) bool {
	epoch := registry.Epoch(generation)
	return registry.Epoch(record.Generation) != epoch && !n.settledFromTheStart(epoch)
}

// settledFromTheStart tells whether the whole system has started within the epoch, so that
// there is no owner of before.
func (n *Node) settledFromTheStart(epoch uint64) bool {
	n.shardsMu.Lock()
	defer n.shardsMu.Unlock()
	return n.config.FirstStart && epoch == n.firstEpoch
}

func (n *Node) noteRecordedAgain(shards []int, generation uint64) {
	n.shardsMu.Lock()
	defer n.shardsMu.Unlock()
	for _, shard := range shards {
		n.shards.MarkRerecorded(shard, generation)
	}
}

func (n *Node) noteSettled(shards []int) {
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
	ago, ok := n.shards.Release(n.config.BootClock(), args.Index, args.Generation, args.Settled, n.startedAt)
	n.config.Logger.Info("shard released", zap.Int("shard", args.Index), zap.Uint64("to_generation", args.Generation),
		zap.Bool("released", ok), zap.Duration("last_order", ago))
	return entryvm.ReleaseReply{Released: ok, LastOrder: ago}
}

// activeShards are those to whose engines orders may go out now.
func (n *Node) activeShards() []int {
	n.shardsMu.Lock()
	defer n.shardsMu.Unlock()
	return n.shards.Active(n.config.BootClock())
}

// beginOrder asks for the right to send an order to an engine; end must be called
// once it was answered or can't arrive any more.
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

// leaveShards ends all orders and the membership, so that another VM takes the
// shards over at once. The former owner can still be asked: it goes on serving.
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
