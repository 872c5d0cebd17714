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
	// maxHistoriesPerMessage limits the histories in one message to about 100 KB.
	maxHistoriesPerMessage = 256
	// maxQueuedHistoryMessages limits the messages that wait to be sent. Further
	// messages are dropped, and the receiver learns the history of their units anew.
	maxQueuedHistoryMessages = 1024
	// maxHistoryAttempts and historyRetryInterval allow for a VM that has just started
	// to send digests and does not serve its peers yet.
	maxHistoryAttempts   = 3
	historyRetryInterval = time.Second
	// flushPollInterval is how often a stopping VM checks whether all messages are sent.
	flushPollInterval = 20 * time.Millisecond
)

var errUnknownVM = errors.New("no address of this entry VM")

// historyMessage is a batch of unit histories for one VM.
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

// queueHistories queues histories to be sent to another VM.
func (n *Node) queueHistories(vm string, histories []placement.History) {
	for len(histories) > 0 {
		m := historyMessage{vm: vm}
		for _, h := range histories[:min(len(histories), maxHistoriesPerMessage)] {
			m.histories = append(m.histories, entryvm.UnitHistory(h))
		}
		histories = histories[len(m.histories):]
		n.unsentMessages.Add(1)
		select {
		case n.historyMessages <- m:
		default:
			n.unsentMessages.Add(-1)
		}
	}
}

// sendHistories sends the queued messages until ctx ends.
func (n *Node) sendHistories(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case m := <-n.historyMessages:
			group.Go(func() {
				defer n.unsentMessages.Add(-1)
				n.sendHistoryMessage(ctx, m)
			})
		case <-ctx.Done():
			return
		}
	}
}

// sendHistoryMessage sends a message with a few retries. A VM that does not receive
// it learns the histories anew.
func (n *Node) sendHistoryMessage(ctx context.Context, m historyMessage) {
	for range maxHistoryAttempts {
		if n.trySendHistoryMessage(ctx, m) == nil || !pause.For(ctx, historyRetryInterval) {
			return
		}
	}
}

func (n *Node) trySendHistoryMessage(ctx context.Context, m historyMessage) error {
	address, ok := n.gossip.Address(m.vm)
	if !ok {
		return Error.Wrap(errUnknownVM)
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return Error.Wrap(n.config.Peers.EntryVMs.Histories(ctx, address, m.histories))
}

// flushHistories waits until all messages are sent or dropped.
func (n *Node) flushHistories(ctx context.Context) {
	for n.unsentMessages.Load() > 0 && pause.For(ctx, flushPollInterval) {
	}
}
