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
func (n *Node) renewalsCollected() bool {
	_, cut := n.gossip.Group()
	return cut
}

// renewalsAsked are the renewals that the VMs of the group ask of this one as its
// first relay, false where it is not that.
func (n *Node) renewalsAsked() ([]state.Renewal, bool) {
	group, cut := n.gossip.Group()
	if !cut || group.Relay != n.config.VM {
		return nil, false
	}
	var asked []state.Renewal
	for _, d := range group.Members {
		if d.Session != 0 {
			asked = append(asked, state.Renewal{Session: state.SessionID(d.Session), Number: d.Renewal})
		}
	}
	return asked, true
}

// askReader asks the VM that reads the control stream for this one. In a small
// fleet, and on a reader, there is none.
func (n *Node) askReader(ctx context.Context, from uint64, wait time.Duration) (entryvm.Records, bool, error) {
	address, ok := n.reader()
	if !ok {
		return entryvm.Records{}, false, nil
	}
	records, err := n.config.Peers.EntryVMs.Records(ctx, address, from, wait)
	return records, true, err
}

// reader is the address of the VM that reads the log for this one, false where this
// VM reads it itself. The members share their group's readers.
func (n *Node) reader() (string, bool) {
	group, cut := n.gossip.Group()
	if !cut {
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
