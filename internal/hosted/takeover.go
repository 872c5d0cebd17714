package hosted

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/registry"
)

// takeover describes a shard that this VM has recorded itself as the owner of.
type takeover struct {
	shard      int
	generation uint64
	former     registry.Ownership
	// ownedAt is when the record was written.
	ownedAt time.Duration
}

// awaitTakeover determines when this VM may send its first order to a shard. Until then it
// repeats the release request to a former owner that didn't answer.
func (n *Node) awaitTakeover(t takeover) {
	from, wait, reason, released := n.firstOrderDelay(t)
	n.scheduleFirstOrder(t, from, wait, reason)
	for predecessor := n.predecessor(t.former); !released && predecessor.VM != "" && !n.stopping.Load() && n.config.BootClock() < from+wait; {
		time.Sleep(releaseRetryInterval)
		// After a power loss of all VMs, a VM may be assigned shards of one that is back a
		// moment later. With a single request, eight of twelve shards of a domain get no
		// orders for 13.7 s, though their former owner is back half a second after the
		// request.
		if lastOrderAgo, ok := n.requestRelease(t, predecessor); ok {
			released = true
			n.scheduleFirstOrder(t, n.config.BootClock(), n.config.Lease.WaitAfterLastOrder(lastOrderAgo), reasonReleased+", asked again")
		}
	}
}

// scheduleFirstOrder records when the first order to a shard may be sent. At that time it
// wakes the planner and the recording of settled shards, and notifies the other VMs.
func (n *Node) scheduleFirstOrder(t takeover, from, wait time.Duration, reason string) {
	n.shardsMu.Lock()
	n.shards.MarkOwned(from, t.shard, t.generation, wait)
	n.shardsMu.Unlock()
	wait = max(0, from+wait-n.config.BootClock())
	takeoverSeconds.Update((n.config.BootClock() + wait - t.ownedAt).Seconds())
	n.config.Logger.Info("shard owned", zap.Int("shard", t.shard), zap.Uint64("generation", t.generation),
		zap.String("former", t.former.VM), zap.Duration("orders_in", wait), zap.String("reason", reason))
	alreadySettled := n.isFreeOfOtherOrders(t.former)
	time.AfterFunc(wait, func() {
		if !alreadySettled { // otherwise the record already marks the shard as settled
			wake(n.settleSignal)
		}
		n.members.notifyAll()
		n.planner.wakeUp()
	})
}

const reasonReleased = "released by the former owner"

// firstOrderDelay returns the wait before the first order and the time it counts from: the
// former owner's answer, or the ownership record if none is needed or received. Counted
// always from the record, a suspension before the release request, during which the former
// owner goes on sending orders, would make the last order look older than it is, and this VM
// would send orders too early. released reports that no release is outstanding.
func (n *Node) firstOrderDelay(t takeover) (from, wait time.Duration, reason string, released bool) {
	former := t.former
	switch {
	case former.Unreadable:
		return t.ownedAt, n.config.Lease.WaitForLostOwner(), "the former owner's record can't be read, or is lost", false
	case former.VM == "":
		return t.ownedAt, 0, "never owned", true
	case former.VM == n.config.VM && former.Settled:
		return t.ownedAt, 0, "owned by this VM before", true
	}
	predecessor := n.predecessor(former)
	if predecessor.VM == "" {
		return t.ownedAt, n.config.Lease.WaitForLostOwner(), "an earlier process of this VM waited for an unknown owner", false
	}
	lastOrderAgo, ok := n.requestRelease(t, predecessor)
	if !ok {
		return t.ownedAt, n.config.Lease.WaitForLostOwner(), "the former owner does not answer", false
	}
	return n.config.BootClock(), n.config.Lease.WaitAfterLastOrder(lastOrderAgo), reasonReleased, true
}

// requestRelease asks a former owner to stop sending orders, and returns how long ago it
// sent the last one.
func (n *Node) requestRelease(t takeover, owner registry.FormerOwner) (lastOrderAgo time.Duration, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	reply, err := n.config.Peers.EntryVMs.Release(ctx, owner.Address, entryvm.ReleaseArgs{
		Group: n.config.Domain, Index: t.shard, Generation: t.generation, Settled: owner.Settled,
	})
	return reply.LastOrder, err == nil && reply.Released
}
