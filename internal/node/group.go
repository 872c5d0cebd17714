package node

import (
	"context"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/rendezvous"
	"bergamotreel/state"
)

// renewalsCollected tells whether a relay collects the renewals of this VM's
// session. In a small fleet each VM renews its own: that costs 3.6 appends a second
// at 9 VMs.
func (n *Node) usesRelay() bool {
	_, grouped := n.gossip.Group()
	return grouped
}

// renewalsAsked are the renewals that the VMs of the group ask of this one as its
// first relay, false where it is not that.
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

// askReader asks the VM that reads the control stream for this one. In a small
// fleet, and on a reader, there is none.
func (n *Node) requestFromReader(ctx context.Context, from uint64, wait time.Duration) (entryvm.Records, bool, error) {
	address, ok := n.readerAddress()
	if !ok {
		return entryvm.Records{}, false, nil
	}
	records, err := n.config.Peers.EntryVMs.Records(ctx, address, from, wait)
	return records, true, err
}

// reader is the address of the VM that reads the log for this one, false where this
// VM reads it itself. The members share their group's readers.
func (n *Node) readerAddress() (string, bool) {
	group, grouped := n.gossip.Group()
	if !grouped {
		return "", false
	}
	addresses := make(map[string]string)
	var names []string
	for _, reader := range group.Readers {
		addresses[reader.VM] = reader.Address
		names = append(names, reader.VM)
	}
	if _, self := addresses[n.config.VM]; self {
		return "", false
	}
	return addresses[rendezvous.Pick(n.config.VM, names)], true
}
