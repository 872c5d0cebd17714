package gossip

import (
	"time"

	"bergamotreel/entryvm"
)

// Group is this VM's own group in a fleet that is cut into cells.
type Group struct {
	// Relay is the VM that speaks for the group first, maybe this one.
	Relay string
	// Members are the newest digests of the others in it that are heard. They are
	// shared: readers must not change them.
	Members []entryvm.Digest
}

// Group returns this VM's group, false in a small fleet, where there are none.
func (g *Gossip) Group() (Group, bool) {
	v := g.seen(time.Now())
	if v.fleet == nil || v.fleet.cut.Flat() || len(v.fleet.place.Relays) == 0 {
		return Group{}, false
	}
	return Group{Relay: v.fleet.place.Relays[0].VM, Members: v.knowledge.near}, true
}
