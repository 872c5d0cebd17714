package quota

import (
	"maps"
	"math"
	"time"
)

const (
	// idleShare is the part of a limit that is split evenly among the domains in touch
	// and not by demand: one whose demand begins has a little until others know of it.
	idleShare = 0.06
	// staleAfter is how long an allocator counts as in touch after its last message.
	staleAfter = time.Second
	// keptAnnouncements bounds what is kept of own announcements; an allocator that
	// acknowledged none of them is out of touch.
	keptAnnouncements = 64
)

// Division is what a failure domain's allocator knows of the demand in all domains.
//
// Allocators announce their demand to each other. An allocator counts the others' by their
// newest announcement and its own by the least it has announced since the oldest that
// some other one in touch has not acknowledged. So no allocator counts its own demand for
// more than the others do, and the parts add up to the limit or less, whatever is late
// or lost. The even part of a domain that is out of touch is left to it, and the part of
// VMs that its allocator does not reach: they may be cut off and serving.
type DemandView struct {
	domain  string
	domains int
	// sequence is of the newest announcement, sent the demand of those that may count,
	// oldest first.
	sequence uint64
	sent     []numbered
	usable   map[string]float64
	present  float64
	peers    map[string]*peer // by VM
}

// Announcement is what an allocator tells the others of its failure domain.
type Announcement struct {
	// Demand is what requests cost a second, by workspace.
	Demand map[string]float64
	// Present is the part of the domain's VMs that the allocator reaches, from 0 to 1. The
	// others may be cut off, with an allocator of their own.
	ReachableFraction float64
}

type numbered struct {
	Announcement
	sequence uint64
}

// peer is an allocator of another domain.
type peer struct {
	domain string
	// numbered is the newest announcement, received at the time at.
	numbered
	at time.Time
	// acked is the newest own announcement that it has.
	acked uint64
}

// NewDivision begins the division of a failure domain, of so many in all.
func NewDemandView(domain string, domains int) *DemandView {
	return &DemandView{domain: domain, domains: max(domains, 1), present: 1, usable: map[string]float64{}, peers: map[string]*peer{}}
}

// Announce notes what is now announced to the allocators of the other domains.
func (d *DemandView) Announce(now time.Time, newest Announcement) (sequence uint64, announced Announcement) {
	d.sequence++
	newest.Demand = maps.Clone(newest.Demand)
	d.present = newest.ReachableFraction
	d.sent = append(d.sent, numbered{newest, d.sequence})
	d.settle(now)
	return d.sequence, newest
}

// SetPresent is for an allocator that announces nothing: one that stands in.
func (d *DemandView) SetReachableFraction(present float64) { d.present = present }

// Newest is the newest announcement, with sequence 0 before the first.
func (d *DemandView) LastAnnouncement() (sequence uint64, newest Announcement) {
	if len(d.sent) == 0 {
		return 0, Announcement{}
	}
	last := d.sent[len(d.sent)-1]
	return last.sequence, last.Announcement
}

// Acknowledge notes that an allocator has got an announcement.
func (d *DemandView) Acknowledge(now time.Time, vm string, sequence uint64) {
	if p := d.peers[vm]; p != nil && sequence > p.acked && sequence <= d.sequence {
		p.acked = sequence
		d.settle(now)
	}
}

// Receive takes an allocator's announcement, unless a newer one has overtaken it.
func (d *DemandView) Receive(now time.Time, vm, domain string, sequence uint64, newest Announcement) {
	if domain == d.domain || (d.peers[vm] != nil && sequence < d.peers[vm].sequence) {
		return
	}
	p := d.peers[vm]
	if p == nil {
		p = &peer{}
		d.peers[vm] = p
	}
	p.domain, p.at, p.numbered = domain, now, numbered{newest, sequence}
	d.settle(now)
}

// settle drops allocators that are out of touch and finds what counts as own demand.
func (d *DemandView) settle(now time.Time) {
	floor := d.sequence
	for vm, p := range d.peers {
		if now.Sub(p.at) > staleAfter {
			delete(d.peers, vm)
			continue
		}
		floor = min(floor, p.acked)
	}
	for len(d.sent) > 1 && d.sent[0].sequence < floor {
		d.sent = d.sent[1:]
	}
	if len(d.sent) > keptAnnouncements {
		d.sent = d.sent[len(d.sent)-keptAnnouncements:]
	}
	clear(d.usable)
	if len(d.sent) == 0 || d.sent[0].sequence > floor {
		return // what some allocator counts by is not known any more
	}
	maps.Copy(d.usable, d.sent[0].Demand)
	for _, later := range d.sent[1:] {
		for workspace, least := range d.usable {
			d.usable[workspace] = math.Min(least, later.Demand[workspace])
		}
	}
}

// Share is the part of a workspace's limit that this domain may hand out, from 0 to 1.
func (d *DemandView) Share(now time.Time, workspace string, limit float64) float64 {
	present := map[string]float64{d.domain: d.present}
	others := 0.0
	for _, p := range d.peers {
		if now.Sub(p.at) > staleAfter {
			d.settle(now)
			return d.Share(now, workspace, limit)
		}
		present[p.domain] = math.Max(present[p.domain], p.ReachableFraction)
		others += p.Demand[workspace]
	}
	known := 0.0
	for _, part := range present {
		known += part
	}
	inTouch := float64(len(present))
	known /= math.Max(float64(d.domains), inTouch)
	if len(d.peers) == 0 {
		return known
	}
	own := d.usable[workspace]
	idle := idleShare * limit * known / inTouch
	return known * (own + idle) / (own + others + inTouch*idle)
}

// Even is the part of a domain where all have the same.
func (d *DemandView) EvenShare(now time.Time) float64 {
	return 1 / float64(max(d.domains, d.ReachableDomains(now)+1))
}

// Reachable tells whether an allocator of another domain is in touch.
func (d *DemandView) IsReachable(now time.Time, domain string) bool {
	for _, p := range d.peers {
		if p.domain == domain && now.Sub(p.at) <= staleAfter {
			return true
		}
	}
	return false
}

// InTouch is how many other domains are in touch.
func (d *DemandView) ReachableDomains(now time.Time) int {
	domains := map[string]bool{}
	for _, p := range d.peers {
		if now.Sub(p.at) <= staleAfter {
			domains[p.domain] = true
		}
	}
	return len(domains)
}
