package node

import (
	"context"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/rendezvous"
	"bergamotreel/state"
)

// usesRelay reports whether a relay collects the renewals of this VM's session. In a
// small fleet each VM renews its own session, which costs 3.6 appends per second with
// 9 VMs.
func (n *Node) usesRelay() bool {
	_, grouped := n.gossip.Group()
	return grouped
}

// requestedRenewals returns the session renewals that the VMs of the group request
// from this VM, and false if this VM is not the group's first relay.
func (n *Node) requestedRenewals() ([]state.Renewal, bool) {
	group, grouped := n.gossip.Group()
	if !grouped || group.Relay != n.config.VM {
		return nil, false
	}
	var requested []state.Renewal
	for _, d := range group.Members {
		if d.Session != 0 {
			requested = append(requested, state.Renewal{Session: state.SessionID(d.Session), Number: d.Renewal})
		}
	}
	return requested, true
}

// requestFromReader requests control records from the VM that reads the control
// stream for this one. It returns false if this VM reads the stream itself, as in a
// small fleet and on a reader.
func (n *Node) requestFromReader(ctx context.Context, from uint64, wait time.Duration) (entryvm.Records, bool, error) {
	address, ok := n.readerAddress()
	if !ok {
		return entryvm.Records{}, false, nil
	}
	records, err := n.config.Peers.EntryVMs.Records(ctx, address, from, wait)
	return records, true, err
}

// readerAddress returns the address of the VM that reads the log for this one, and
// false if this VM reads it itself. The members of a group are distributed over its
// readers.
func (n *Node) readerAddress() (string, bool) {
	group, grouped := n.gossip.Group()
	if !grouped {
		return "", false
	}
	addresses := make(map[string]string)
	var names []string
	for _, reader := range group.LogReaders {
		addresses[reader.VM] = reader.Address
		names = append(names, reader.VM)
	}
	if _, self := addresses[n.config.VM]; self {
		return "", false
	}
	return addresses[rendezvous.Pick(n.config.VM, names)], true
}
