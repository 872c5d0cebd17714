package gossip

import (
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/digest"
)

// Group describes this VM's group in a fleet that is divided into cells.
type Group struct {
	// Relay is the group's first relay, possibly this VM.
	Relay string
	// LogReaders are the VMs that read the log for the group, possibly including
	// this one.
	LogReaders []digest.Member
	// Members are the newest digests of the group's other live VMs, of those that
	// reach this one. They are shared: callers must not change them.
	Members []entryvm.Digest
}

// Group returns this VM's group, or false in a small fleet, which has no groups.
func (g *Gossip) Group() (Group, bool) {
	v := g.currentView(time.Now())
	if v.membership == nil || v.membership.cells.IsFlat() || len(v.membership.place.Relays) == 0 {
		return Group{}, false
	}
	place := v.membership.place
	return Group{Relay: place.Relays[0].VM, LogReaders: logReaders(place), Members: v.scoped.groupDigests}, true
}

// logReaders returns the relays, or only the first one in a small group, whose
// members all exchange digests with each other.
func logReaders(place digest.Place) []digest.Member {
	if place.IsMesh {
		return place.Relays[:1]
	}
	return place.Relays
}
