package hosted

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/telemetry"
	"bergamotreel/registry"
)

// Report implements entryvm.Coordinator.
func (n *Node) Report(report entryvm.Report) entryvm.Report {
	now := time.Now()
	n.members.receive(now, report, "")
	answer := n.members.buildReport(now, report.Full, report, true)
	n.addFeed(report, &answer)
	return answer
}

// Swap implements entryvm.Coordinator.
func (n *Node) Swap(args entryvm.SwapArgs) entryvm.SwapReply {
	// A swap continues after the call that starts it.
	err := n.keeper.startSwap(context.Background(), args)
	reply := entryvm.SwapReply{Begun: err == nil, Silent: errors.Is(err, errNoStatus), Keeper: n.origin()}
	if err != nil {
		reply.Reason = err.Error()
	}
	if n.keeper.canSendOrdersTo(args.Engine) {
		reply.Update = n.keeper.getOrCreateEngine(args.Engine).knownUpdate()
	}
	return reply
}

// Adapter implements entryvm.Coordinator.
func (n *Node) Adapter(args entryvm.AdapterArgs) entryvm.AdapterReply {
	ctx, cancel := context.WithTimeout(context.Background(), adapterTimeout)
	defer cancel()
	update, err := n.keeper.loadAdapter(ctx, args)
	if err != nil {
		return entryvm.AdapterReply{Reason: err.Error()}
	}
	return entryvm.AdapterReply{Loaded: true, Update: update}
}

// Knowledge implements entryvm.Coordinator.
func (n *Node) Knowledge(args entryvm.KnowledgeArgs) entryvm.KnowledgeReply {
	if args.ForFeed {
		return n.snapshots.answer(args)
	}
	var reply entryvm.KnowledgeReply
	if current := n.active.Load(); current != nil {
		reply.Configuration = current.Source
	}
	if !n.backends.hasList() {
		return reply
	}
	encoded, err := encodeBackends(n.backends.list())
	if err != nil {
		n.config.Logger.Error("list of backend servers can't be encoded", telemetry.Reason(err))
		return reply
	}
	reply.Backends = encoded
	return reply
}

func encodeBackends(list []registry.Backend) ([]byte, error) {
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(list); err != nil {
		return nil, err
	}
	return encoded.Bytes(), nil
}
