package hosted

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/registry"
)

// takeover is a shard that this VM has recorded itself for.
type takeover struct {
	shard      int
	generation uint64
	former     registry.Ownership
	// ownedAt is when the record was written.
	ownedAt time.Duration
}

// begin finds out when the first order to a shard may go out.
func (n *Node) begin(t takeover) {
	from, wait, reason, told := n.waitFor(t)
	n.owned(t, from, wait, reason)
	for ask := n.predecessor(t.former); !told && ask.VM != "" && !n.stopping.Load() && n.config.BootClock() < from+wait; {
		time.Sleep(askAgain)
		// Failure: after all VMs had lost power one was back two seconds before another,
		// whose shards it got; asked once, that one did not tell, and eight of twelve shards
		// of a domain got no orders for 13.7 s, though it was back half a second later.
		if ago, ok := n.askFormer(t, ask); ok {
			told = true
			n.owned(t, n.config.BootClock(), n.config.Lease.WaitAfterLastOrder(ago), reasonReleased+", asked again")
		}
	}
}

// owned notes when the first order to a shard may go out.
func (n *Node) owned(t takeover, from, wait time.Duration, reason string) {
	n.shardsMu.Lock()
	n.shards.MarkOwned(from, t.shard, t.generation, wait)
	n.shardsMu.Unlock()
	wait = max(0, from+wait-n.config.BootClock())
	takeoverSeconds.Update((n.config.BootClock() + wait - t.ownedAt).Seconds())
	n.config.Logger.Info("shard owned", zap.Int("shard", t.shard), zap.Uint64("generation", t.generation),
		zap.String("former", t.former.VM), zap.Duration("orders_in", wait), zap.String("reason", reason))
	recorded := n.startsAtOnce(t.former)
	time.AfterFunc(wait, func() {
		if !recorded { // else its record says so already
			wake(n.settleSignal)
		}
		n.members.notifyAll()
		n.planner.wakeUp()
	})
}

const reasonReleased = "released by the former owner"

// waitFor is how long the first order waits, and from when on that counts: from the
// recording, or from the former owner's answer; told is whether it did. Failure: this VM is
// suspended between the two, while the former owner goes on ordering until it is asked; from
// the recording on, its newest order looks seconds older than it is.
func (n *Node) waitFor(t takeover) (from, wait time.Duration, reason string, told bool) {
	former := t.former
	switch {
	case former.Unknown:
		return t.ownedAt, n.config.Lease.WaitForLostOwner(), "the former owner's record can't be read, or is lost", false
	case former.VM == "":
		return t.ownedAt, 0, "never owned", true
	case former.VM == n.config.VM && former.Settled:
		return t.ownedAt, 0, "owned by this VM before", true
	}
	ask := n.predecessor(former)
	if ask.VM == "" {
		return t.ownedAt, n.config.Lease.WaitForLostOwner(), "an earlier process of this VM waited for somebody unknown", false
	}
	ago, ok := n.askFormer(t, ask)
	if !ok {
		return t.ownedAt, n.config.Lease.WaitForLostOwner(), "former owner does not tell", false
	}
	return n.config.BootClock(), n.config.Lease.WaitAfterLastOrder(ago), reasonReleased, true
}

// askFormer asks a former owner to stop, and how long ago its last order was.
func (n *Node) askFormer(t takeover, ask registry.FormerOwner) (ago time.Duration, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	reply, err := n.config.Peers.EntryVMs.Release(ctx, ask.Address, entryvm.ReleaseArgs{
		Group: n.config.Domain, Index: t.shard, Generation: t.generation, Settled: ask.Settled,
	})
	return reply.LastOrder, err == nil && reply.Released
}
