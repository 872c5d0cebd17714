package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
	"bergamotreel/placement"
)

const (
	// historiesAtOnce bounds the histories of one message: some 100 KB.
	historiesAtOnce = 256
	// parcelsQueued bounds the messages that wait to be sent; beyond it one is left
	// out, and its units are learned anew.
	parcelsQueued = 1024
	// historyTries and historyPause are for a VM that has only just been heard and
	// does not serve its peers yet.
	historyTries = 3
	historyPause = time.Second
	// flushTick is how often a VM that stops looks whether all is sent.
	flushTick = 20 * time.Millisecond
)

var errUnknownVM = errors.New("no address of this entry VM")

// parcel is what one VM is told of units.
type parcel struct {
	vm        string
	histories []entryvm.UnitHistory
}

// Histories implements entryvm.Handler.
func (n *Node) Histories(told []entryvm.UnitHistory) {
	histories := make([]placement.History, 0, len(told))
	for _, h := range told {
		histories = append(histories, placement.History(h))
	}
	n.planner.ImportHistories(time.Now(), histories)
}

// handOver has another VM told what was learned of units.
func (n *Node) handOver(vm string, histories []placement.History) {
	for len(histories) > 0 {
		p := parcel{vm: vm}
		for _, h := range histories[:min(len(histories), historiesAtOnce)] {
			p.histories = append(p.histories, entryvm.UnitHistory(h))
		}
		histories = histories[len(p.histories):]
		n.untold.Add(1)
		select {
		case n.parcels <- p:
		default:
			n.untold.Add(-1)
		}
	}
}

// tellHistories is the duty that sends them.
func (n *Node) tellHistories(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case p := <-n.parcels:
			group.Go(func() {
				defer n.untold.Add(-1)
				n.sendHistories(ctx, p)
			})
		case <-ctx.Done():
			return
		}
	}
}

// sendHistories tries a few times. A VM that does not get them learns anew.
func (n *Node) sendHistories(ctx context.Context, p parcel) {
	for range historyTries {
		if n.trySend(ctx, p) == nil || !pause.For(ctx, historyPause) {
			return
		}
	}
}

func (n *Node) trySend(ctx context.Context, p parcel) error {
	address, ok := n.gossip.Address(p.vm)
	if !ok {
		return Error.Wrap(errUnknownVM)
	}
	ctx, cancel := context.WithTimeout(ctx, wantTimeout)
	defer cancel()
	return Error.Wrap(n.config.Peers.EntryVMs.Histories(ctx, address, p.histories))
}

// flushHistories waits until all are sent or given up.
func (n *Node) flushHistories(ctx context.Context) {
	for n.untold.Load() > 0 && pause.For(ctx, flushTick) {
	}
}
