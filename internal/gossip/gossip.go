// Package gossip exchanges digests with the other entry VMs and derives a view of
// the fleet from them: which VMs are live, the waiting demand, and the requests in
// flight on each engine.
package gossip

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/digest"
	"bergamotreel/vmlist"
)

// Config configures a Gossip.
type Config struct {
	VM, Domain, Region string
	Peer               entryvm.Peer
	Logger             *zap.Logger
	// Topology decides which VMs exchange digests; the zero value selects
	// digest.DefaultTopology.
	Topology digest.Topology
	// HeartbeatInterval is the time between two exchanges with a peer, PeerTimeout
	// how long a VM counts as live after its newest digest.
	HeartbeatInterval, PeerTimeout time.Duration
	// MakeDigest returns this VM's current digest.
	MakeDigest func() entryvm.Digest
	// ListedVMs returns the entry VMs of the VM list.
	ListedVMs func() []vmlist.VM
	// OnNewDigests is called with the received digests that were new.
	OnNewDigests func(now time.Time, digests []entryvm.Digest)
}

// StoredDigest is a digest with the time it was made, by this VM's clock.
type StoredDigest = digest.StoredDigest

const (
	// maxOwnDigestsPerHeartbeat bounds how often the own digest is made in a
	// heartbeat: making one takes the queue's lock, and each of many peers would
	// cause one.
	maxOwnDigestsPerHeartbeat = 4
	// Of two VMs, the one with the smaller name initiates their exchange once
	// initiateAfterHalves half heartbeats have passed since it last sent its digest;
	// the other one waits for fallbackAfterHalves. So each pair has one exchange per
	// heartbeat, which carries a digest in each direction; if both initiated, each
	// digest would be sent twice. Where only the VM with the greater name can connect,
	// an exchange takes place every second heartbeat, well within the timeout.
	initiateAfterHalves = 1
	fallbackAfterHalves = 3
	// outsideSumPeriod is the number of heartbeats between two sums that a relay sends to
	// a member of its group.
	outsideSumPeriod = 2
)

// Gossip exchanges digests with the other entry VMs. It is safe for concurrent use.
type Gossip struct {
	config Config
	wake   chan struct{}

	mu       sync.Mutex
	sequence uint64
	// own is this VM's newest digest, ownMadeAt when it was made; zero forces a new
	// one.
	own       entryvm.Digest
	ownMadeAt time.Time
	table     *digest.Table
	// view caches what is derived from the table; nil after a change. See currentView.
	view       *view
	peerDemand map[string]peerDemand
	// sent is the newest own digest that each recipient was sent.
	sent map[recipient]sentDigest
	// membership is nil before the first heartbeat.
	membership *membership
	// failed are the VMs with which the newest exchange failed.
	failed map[string]bool
	round  uint64
}

// recipient is a VM and its level. A relay may be sent both sums and, by its own
// group, digests.
type recipient struct {
	vm    string
	level digest.Level
}

// sentDigest identifies the newest own digest that a recipient was sent.
type sentDigest struct {
	sequence uint64
	sentAt   time.Time
	// incarnation is the recipient's incarnation: after a restart it has no digests.
	// Empty if no digest of the recipient had arrived yet.
	incarnation string
}

// New returns a Gossip that starts its exchanges when Run is called.
func New(config Config) *Gossip {
	if config.Topology == (digest.Topology{}) {
		config.Topology = digest.DefaultTopology
	}
	return &Gossip{
		config:     config,
		wake:       make(chan struct{}, 1),
		table:      digest.NewTable(config.VM, config.PeerTimeout),
		peerDemand: make(map[string]peerDemand),
		sent:       make(map[recipient]sentDigest),
		failed:     make(map[string]bool),
	}
}

// ExchangeNow triggers an immediate exchange with all peers, with a new digest.
func (g *Gossip) ExchangeNow() {
	g.mu.Lock()
	g.ownMadeAt = time.Time{}
	clear(g.sent)
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run exchanges digests until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	ticker := time.NewTicker(g.config.HeartbeatInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		own := g.ownDigest()
		for _, target := range g.dueTargets(time.Now()) {
			group.Go(func() { g.exchange(ctx, target, own) })
		}
		select {
		case <-ticker.C:
		case <-g.wake:
		case <-ctx.Done():
			return
		}
	}
}

// ownDigest returns this VM's digest. It makes a new one if the last is too old; see
// maxOwnDigestsPerHeartbeat.
func (g *Gossip) ownDigest() entryvm.Digest {
	now := time.Now()
	g.mu.Lock()
	if !g.ownMadeAt.IsZero() && now.Sub(g.ownMadeAt) < g.config.HeartbeatInterval/maxOwnDigestsPerHeartbeat {
		defer g.mu.Unlock()
		return g.own
	}
	// The sequence number is assigned before the digest is made, so of two made
	// concurrently the one with the later number may hold the older state, until the
	// next heartbeat.
	g.sequence++
	sequence := g.sequence
	g.mu.Unlock()
	d := g.config.MakeDigest()
	d.Sequence = sequence
	g.mu.Lock()
	defer g.mu.Unlock()
	if sequence == g.sequence {
		g.own, g.ownMadeAt = d, now
	}
	return d
}

// dueTargets returns the targets with which to initiate an exchange now.
func (g *Gossip) dueTargets(now time.Time) []digest.Target {
	m := g.refreshMembership(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	targets := m.cells.Targets(m.self)
	g.forgetRemovedVMs(m.members)
	return slices.DeleteFunc(targets, func(t digest.Target) bool {
		halves := time.Duration(initiateAfterHalves)
		// Where members exchange with relays only, the relays don't initiate.
		alwaysInitiates := !m.cells.IsFlat() && t.Level == digest.LevelGroup && !m.place.IsMesh
		if t.Member.VM < g.config.VM && !alwaysInitiates {
			halves = fallbackAfterHalves
		}
		return now.Sub(g.sent[recipient{t.Member.VM, t.Level}].sentAt) < halves*t.Level.ExchangeInterval(g.config.HeartbeatInterval)/2
	})
}

// withListedLocation returns own with the domain and region that the VM list has for
// it. All VMs must divide the fleet the same way: if a list without regions were
// mixed with settings that name one, each VM would consider itself alone in its
// region, file the sums of all others under other cells, and see no VM outside its
// group.
func withListedLocation(listed map[string]digest.Member, own digest.Member) digest.Member {
	if m, ok := listed[own.VM]; ok {
		own.Domain, own.Region = m.Domain, m.Region
	}
	return own
}

// forgetRemovedVMs drops the exchange state of VMs that are no longer members. The
// caller holds mu.
func (g *Gossip) forgetRemovedVMs(members []digest.Member) {
	memberVMs := vmSet(members)
	maps.DeleteFunc(g.sent, func(key recipient, _ sentDigest) bool { return !memberVMs[key.vm] })
	maps.DeleteFunc(g.failed, func(vm string, _ bool) bool { return !memberVMs[vm] })
}

// refreshMembership rebuilds the membership from the VM list and the live digests. A
// listed VM without a live digest counts as live unless the last exchange with it
// failed.
func (g *Gossip) refreshMembership(now time.Time) *membership {
	v := g.currentView(now)
	known := make(map[string]digest.Member)
	var listedPeers []Peer
	g.mu.Lock()
	for _, vm := range g.config.ListedVMs() {
		if vm.ID != g.config.VM && !vm.Leaving {
			listedPeers = append(listedPeers, Peer{vm.ID, vm.Address, vm.Domain})
		}
		known[vm.ID] = digest.Member{VM: vm.ID, Address: vm.Address, Domain: vm.Domain, Region: vm.Region, Live: !g.failed[vm.ID]}
	}
	g.mu.Unlock()
	for _, d := range v.live {
		known[d.VM] = withListedLocation(known, digest.Member{VM: d.VM, Address: d.Address, Domain: d.Domain, Region: d.Region, Live: true})
	}
	self := withListedLocation(known, digest.Member{VM: g.config.VM, Domain: g.config.Domain, Region: g.config.Region, Live: true})
	known[self.VM] = self
	members := slices.SortedFunc(maps.Values(known), func(a, b digest.Member) int { return strings.Compare(a.VM, b.VM) })
	g.mu.Lock()
	defer g.mu.Unlock()
	g.round++
	g.membership = newMembership(self, members, g.config.Topology, g.round)
	g.membership.listedPeers = listedPeers
	g.view = nil
	return g.membership
}

// exchange sends the own digest or sums to a target and merges what it returns.
func (g *Gossip) exchange(ctx context.Context, to digest.Target, own entryvm.Digest) {
	ctx, cancel := context.WithTimeout(ctx, g.config.PeerTimeout)
	defer cancel()
	reply, err := g.config.Peer.Exchange(ctx, to.Member.Address, g.digestsFor(own, to.Level, to.Member.VM))
	g.mu.Lock()
	delete(g.failed, to.Member.VM)
	if err != nil {
		g.failed[to.Member.VM] = true
	}
	g.mu.Unlock()
	if err != nil {
		g.config.Logger.Debug("digest exchange failed", zap.String("peer", to.Member.Address), zap.Error(err))
		return
	}
	g.mergeDigests(reply)
	g.recordSent(recipient{to.Member.VM, to.Level}, own.Sequence)
}

// digestsFor returns the digests and sums to send to a peer.
func (g *Gossip) digestsFor(own entryvm.Digest, level digest.Level, to string) []entryvm.Digest {
	// Each new digest invalidates the view, so it is built only where it is needed.
	// Building it for every exchange took an eighth of an idle entry VM's CPU time.
	if !g.HasGroups() {
		return []entryvm.Digest{own}
	}
	now := time.Now()
	v := g.currentView(now)
	if v.membership.cells.IsFlat() {
		return []entryvm.Digest{own}
	}
	includeOutsideSum := now.UnixNano()/int64(g.config.HeartbeatInterval)%outsideSumPeriod == 0
	return v.membership.digestsFor(own, v.scoped, level, to, includeOutsideSum)
}

// Exchange merges a peer's digests and returns this VM's own digest or sums, or nil
// if the peer was sent those already.
func (g *Gossip) Exchange(digests []entryvm.Digest) []entryvm.Digest {
	g.mergeDigests(digests)
	own := g.ownDigest()
	from := slices.IndexFunc(digests, func(d entryvm.Digest) bool { return d.Age == 0 })
	if from < 0 {
		return []entryvm.Digest{own}
	}
	key, incarnation := recipient{digests[from].VM, senderLevel(digests)}, digests[from].Incarnation
	g.mu.Lock()
	known := g.sent[key]
	g.mu.Unlock()
	if known.incarnation == incarnation && known.sequence >= own.Sequence {
		return nil
	}
	g.recordSent(key, own.Sequence)
	return g.digestsFor(own, key.level, key.vm)
}

// recordSent records that a recipient was sent the own digest with the sequence.
func (g *Gossip) recordSent(to recipient, sequence uint64) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	incarnation := g.table.Incarnation(now, to.vm)
	if known := g.sent[to]; known.sequence > sequence && known.incarnation == incarnation {
		return
	}
	g.sent[to] = sentDigest{sequence: sequence, sentAt: now, incarnation: incarnation}
}

// mergeDigests merges received digests into the table and reports the new ones to
// OnNewDigests.
func (g *Gossip) mergeDigests(digests []entryvm.Digest) {
	now := time.Now()
	g.mu.Lock()
	newDigests := g.table.Merge(now, digests)
	if len(newDigests) > 0 {
		g.view = nil
	}
	g.mu.Unlock()
	if len(newDigests) > 0 {
		g.config.OnNewDigests(now, newDigests)
	}
}
