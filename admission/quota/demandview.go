package quota

import (
	"maps"
	"math"
	"time"
)

const (
	// evenSplitFraction is the fraction of a limit that is split evenly among the
	// reachable domains rather than by demand. A domain whose demand begins can use its
	// part until the other domains know of the demand.
	evenSplitFraction = 0.06
	// peerTTL is how long an allocator counts as reachable after its last message.
	peerTTL = time.Second
	// maxSentAnnouncements limits how many own announcements are kept. An allocator
	// that has acknowledged none of them counts as having lost all of them.
	maxSentAnnouncements = 64
)

// DemandView is what a failure domain's allocator knows of the demand in all domains.
//
// Allocators announce their demand to each other. An allocator uses the newest
// announcement of each other allocator. For its own demand it uses the least that it
// has announced since the oldest announcement that some reachable allocator may still
// be using. So no allocator counts its own demand higher than the others do, and the
// shares add up to at most the limit, whatever messages are late or lost. An
// unreachable domain keeps its even share, and so does the fraction of a domain's VMs
// that its allocator does not reach: they may be partitioned and serving.
type DemandView struct {
	domain  string
	domains int
	// sequence is that of the newest announcement. sent are the announcements that
	// other allocators may be using, oldest first.
	sequence          uint64
	sent              []numberedAnnouncement
	ownDemand         map[string]float64
	reachableFraction float64
	peers             map[Process]*peer
	// replaced are the processes that have been replaced by a newer one of their VM, with
	// the time when that became known.
	replaced map[Process]time.Time
	// withdrawn is the sequence of the newest announcement that this process withdrew.
	withdrawn uint64
}

// Process identifies one process of an entry VM. Incarnation changes with each start.
type Process struct{ VM, Incarnation string }

// Announcement is what an allocator reports to the others about its failure domain.
type Announcement struct {
	// Demand is the cost of requests per second, by workspace.
	Demand map[string]float64
	// ReachableFraction is the fraction of the domain's VMs that the allocator reaches,
	// from 0 to 1. The other VMs may be partitioned and have an allocator of their own.
	ReachableFraction float64
}

type numberedAnnouncement struct {
	Announcement
	sequence uint64
}

// peer is an allocator of another domain.
type peer struct {
	domain string
	// numberedAnnouncement is the newest announcement, received at receivedAt.
	numberedAnnouncement
	receivedAt time.Time
	// acked is the sequence of the newest own announcement that the peer acknowledged.
	acked uint64
}

// NewDemandView returns the view of a failure domain, given the number of all domains.
func NewDemandView(domain string, domains int) *DemandView {
	return &DemandView{domain: domain, domains: max(domains, 1), reachableFraction: 1, ownDemand: map[string]float64{}, peers: map[Process]*peer{}, replaced: map[Process]time.Time{}}
}

// Announce records an announcement that is sent to the allocators of other domains,
// and returns it with its sequence number.
func (v *DemandView) Announce(now time.Time, announcement Announcement) (sequence uint64, announced Announcement) {
	v.sequence++
	announcement.Demand = maps.Clone(announcement.Demand)
	v.reachableFraction = announcement.ReachableFraction
	v.sent = append(v.sent, numberedAnnouncement{announcement, v.sequence})
	v.updateOwnDemand(now)
	return v.sequence, announcement
}

// SetReachableFraction sets the fraction that Share uses until the next Announce. An
// allocator that stands in for another one and announces nothing needs this.
func (v *DemandView) SetReachableFraction(fraction float64) { v.reachableFraction = fraction }

// LastAnnouncement returns the newest announcement, with sequence 0 before the first.
func (v *DemandView) LastAnnouncement() (sequence uint64, announcement Announcement) {
	if len(v.sent) == 0 {
		return 0, Announcement{}
	}
	last := v.sent[len(v.sent)-1]
	return last.sequence, last.Announcement
}

// Acknowledge records that an allocator has received an announcement.
func (v *DemandView) Acknowledge(now time.Time, by Process, sequence uint64) {
	if p := v.peers[by]; p != nil && sequence > p.acked && sequence > v.withdrawn && sequence <= v.sequence {
		p.acked = sequence
		v.updateOwnDemand(now)
	}
}

// Receive applies another allocator's announcement unless a newer one of it, or one of a
// newer process of its VM, was received.
func (v *DemandView) Receive(now time.Time, from Process, domain string, sequence uint64, announcement Announcement) {
	if _, replaced := v.replaced[from]; replaced || domain == v.domain {
		return
	}
	p := v.peers[from]
	if p != nil && sequence < p.sequence {
		return
	}
	if p == nil {
		v.dropFormerProcesses(now, from.VM)
		p = &peer{}
		v.peers[from] = p
	}
	p.domain, p.receivedAt, p.numberedAnnouncement = domain, now, numberedAnnouncement{announcement, sequence}
	v.updateOwnDemand(now)
}

// Withdraw records that this process is no allocator any more and that the others drop
// its announcements. It returns the sequence of the newest of them, 0 if there is none.
// Its own demand doesn't count before they acknowledge a later announcement.
func (v *DemandView) Withdraw(now time.Time) (sequence uint64) {
	v.withdrawn = v.sequence
	for _, p := range v.peers {
		p.acked = 0
	}
	v.updateOwnDemand(now)
	return v.withdrawn
}

// ReceiveWithdrawal drops an allocator that has withdrawn its announcements up to a
// sequence, unless a newer one was received.
func (v *DemandView) ReceiveWithdrawal(now time.Time, from Process, sequence uint64) {
	if p := v.peers[from]; p != nil && sequence >= p.sequence {
		delete(v.peers, from)
		v.updateOwnDemand(now)
	}
}

// dropFormerProcesses drops the processes of a VM of which a newer one is known. They have
// ended, so they neither grant credit nor acknowledge announcements any more.
func (v *DemandView) dropFormerProcesses(now time.Time, vm string) {
	for process := range v.peers {
		if process.VM == vm {
			delete(v.peers, process)
			v.replaced[process] = now
		}
	}
}

// updateOwnDemand drops unreachable allocators and recomputes the usable own demand.
func (v *DemandView) updateOwnDemand(now time.Time) {
	maps.DeleteFunc(v.replaced, func(_ Process, replacedAt time.Time) bool { return now.Sub(replacedAt) > peerTTL })
	oldestAcked := v.sequence
	for process, p := range v.peers {
		if now.Sub(p.receivedAt) > peerTTL {
			delete(v.peers, process)
			continue
		}
		oldestAcked = min(oldestAcked, p.acked)
	}
	for len(v.sent) > 1 && v.sent[0].sequence < oldestAcked {
		v.sent = v.sent[1:]
	}
	if len(v.sent) > maxSentAnnouncements {
		v.sent = v.sent[len(v.sent)-maxSentAnnouncements:]
	}
	clear(v.ownDemand)
	if len(v.sent) == 0 || v.sent[0].sequence > oldestAcked {
		return // what some allocator uses was dropped from sent
	}
	maps.Copy(v.ownDemand, v.sent[0].Demand)
	for _, later := range v.sent[1:] {
		for workspace, minDemand := range v.ownDemand {
			v.ownDemand[workspace] = math.Min(minDemand, later.Demand[workspace])
		}
	}
}

// Share returns the fraction of a workspace's limit that this domain may grant, from
// 0 to 1.
func (v *DemandView) Share(now time.Time, workspace string, limit float64) float64 {
	reachable := map[string]float64{v.domain: v.reachableFraction}
	othersDemand := 0.0
	for _, p := range v.peers {
		if now.Sub(p.receivedAt) > peerTTL {
			v.updateOwnDemand(now)
			return v.Share(now, workspace, limit)
		}
		reachable[p.domain] = math.Max(reachable[p.domain], p.ReachableFraction)
		othersDemand += p.Demand[workspace]
	}
	knownFraction := 0.0
	for _, fraction := range reachable {
		knownFraction += fraction
	}
	reachableDomains := float64(len(reachable))
	knownFraction /= math.Max(float64(v.domains), reachableDomains)
	if len(v.peers) == 0 {
		return knownFraction
	}
	demand := v.ownDemand[workspace]
	evenSplit := evenSplitFraction * limit * knownFraction / reachableDomains
	return knownFraction * (demand + evenSplit) / (demand + othersDemand + reachableDomains*evenSplit)
}

// EvenShare returns the share of each domain if all have the same.
func (v *DemandView) EvenShare(now time.Time) float64 {
	return 1 / float64(max(v.domains, v.ReachableDomains(now)+1))
}

// IsReachable reports whether an allocator of another domain is reachable.
func (v *DemandView) IsReachable(now time.Time, domain string) bool {
	for _, p := range v.peers {
		if p.domain == domain && now.Sub(p.receivedAt) <= peerTTL {
			return true
		}
	}
	return false
}

// ReachableDomains returns how many other domains are reachable.
func (v *DemandView) ReachableDomains(now time.Time) int {
	domains := map[string]bool{}
	for _, p := range v.peers {
		if now.Sub(p.receivedAt) <= peerTTL {
			domains[p.domain] = true
		}
	}
	return len(domains)
}
