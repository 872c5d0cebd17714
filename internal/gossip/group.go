package gossip

import (
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/digest"
)

// Group is this VM's own group in a fleet that is cut into cells.
type Group struct {
	// Relay is the VM that speaks for the group first, maybe this one.
	Relay string
	// Readers are the VMs that read the log for the others, maybe this one too.
	LogReaders []digest.Member
	// Members are the newest digests of the others in it that are heard. They are
	// shared: readers must not change them.
	Members []entryvm.Digest
}

// Group returns this VM's group, false in a small fleet, where there are none.
func (g *Gossip) Group() (Group, bool) {
	v := g.seen(time.Now())
	if v.fleet == nil || v.fleet.cut.IsFlat() || len(v.fleet.place.Relays) == 0 {
		return Group{}, false
	}
	place := v.fleet.place
	return Group{Relay: place.Relays[0].VM, LogReaders: readers(place), Members: v.knowledge.near}, true
}

// readers are the relays; in a small group, where everybody hears everybody, the
// first one is enough.
func readers(place digest.Place) []digest.Member {
	if place.IsMesh {
		return place.Relays[:1]
	}
	return place.Relays
}
