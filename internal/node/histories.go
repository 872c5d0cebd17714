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
	maxHistoriesPerMessage = 256
	// parcelsQueued bounds the messages that wait to be sent; beyond it one is left
	// out, and its units are learned anew.
	maxQueuedHistoryMessages = 1024
	// historyTries and historyPause are for a VM that has only just been heard and
	// does not serve its peers yet.
	maxHistoryAttempts   = 3
	historyRetryInterval = time.Second
	// flushTick is how often a VM that stops looks whether all is sent.
	flushPollInterval = 20 * time.Millisecond
)

var errUnknownVM = errors.New("no address of this entry VM")

// parcel is what one VM is told of units.
type historyMessage struct {
	vm        string
	histories []entryvm.UnitHistory
}

// Histories implements entryvm.Handler.
func (n *Node) Histories(received []entryvm.UnitHistory) {
	histories := make([]placement.History, 0, len(received))
	for _, h := range received {
		histories = append(histories, placement.History(h))
	}
	n.planner.ImportHistories(time.Now(), histories)
}

// handOver has another VM told what was learned of units.
func (n *Node) queueHistories(vm string, histories []placement.History) {
	for len(histories) > 0 {
		p := historyMessage{vm: vm}
		for _, h := range histories[:min(len(histories), maxHistoriesPerMessage)] {
			p.histories = append(p.histories, entryvm.UnitHistory(h))
		}
		histories = histories[len(p.histories):]
		n.unsentMessages.Add(1)
		select {
		case n.historyMessages <- p:
		default:
			n.unsentMessages.Add(-1)
		}
	}
}

// tellHistories is the duty that sends them.
func (n *Node) sendHistories(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case p := <-n.historyMessages:
			group.Go(func() {
				defer n.unsentMessages.Add(-1)
				n.sendHistoryMessage(ctx, p)
			})
		case <-ctx.Done():
			return
		}
	}
}

// sendHistories tries a few times. A VM that does not get them learns anew.
func (n *Node) sendHistoryMessage(ctx context.Context, p historyMessage) {
	for range maxHistoryAttempts {
		if n.trySendHistoryMessage(ctx, p) == nil || !pause.For(ctx, historyRetryInterval) {
			return
		}
	}
}

func (n *Node) trySendHistoryMessage(ctx context.Context, p historyMessage) error {
	address, ok := n.gossip.Address(p.vm)
	if !ok {
		return Error.Wrap(errUnknownVM)
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return Error.Wrap(n.config.Peers.EntryVMs.Histories(ctx, address, p.histories))
}

// flushHistories waits until all are sent or given up.
func (n *Node) flushHistories(ctx context.Context) {
	for n.unsentMessages.Load() > 0 && pause.For(ctx, flushPollInterval) {
	}
}
