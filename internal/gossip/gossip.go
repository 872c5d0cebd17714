// Package gossip exchanges digests with the other entry VMs and keeps what they
// said: who is live, what waits, what runs where.
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

// Config is what a Gossip needs.
type Config struct {
	VM, Domain, Region string
	Peer               entryvm.Peer
	Logger             *zap.Logger
	// Topology says who talks to whom; the zero value is digest.DefaultTopology.
	Topology digest.Topology
	// Every is the time between two exchanges with a peer, HeardFor how long a
	// VM counts as live after its newest digest.
	HeartbeatInterval, PeerTimeout time.Duration
	// Self is this VM's digest now.
	MakeDigest func() entryvm.Digest
	// Listed are the entry VMs of the VM list.
	ListedVMs func() []vmlist.VM
	// Heard is told the digests that were new.
	OnNewDigests func(now time.Time, digests []entryvm.Digest)
}

// Heard is a digest with the time it was made, by this VM's clock.
type StoredDigest = digest.StoredDigest

const (
	// ownPerHeartbeat is how often in a heartbeat the own digest is made at most:
	// making one takes the queue's lock, and with many peers each would ask.
	ownPerHeartbeat = 4
	// The VM with the smaller name of two begins their exchange as soon as
	// beginAfter has passed since the other had its digest, in halves of a
	// heartbeat; the other one waits until answerAfter. So each pair has one
	// exchange a heartbeat, which carries a digest each way. Failure: with both
	// beginning, each digest travelled twice. Where only the greater one can
	// connect, an exchange comes every second heartbeat, well within the timeout.
	beginAfter  = 1
	answerAfter = 3
	// restPeriod is how many heartbeats pass between two sums of the rest.
	restPeriod = 2
)

// Gossip is the duty. Its methods may be called from any goroutine.
type Gossip struct {
	config Config
	tell   chan struct{}

	mu       sync.Mutex
	sequence uint64
	// own is this VM's newest digest, ownAt when it was made, zero if it must be
	// made anew.
	own   entryvm.Digest
	ownAt time.Time
	table *digest.Table
	// view is what the table says, nil after a change; see seen.
	view   *view
	wanted map[string]wanted
	// told is what each VM was last given.
	told map[toldKey]told
	// fleet is who is there, nil before the first heartbeat.
	fleet *fleet
	// failed are the VMs whose newest exchange failed.
	failed map[string]bool
	round  uint64
}

// toldKey is a VM and how far away it is: a relay is given sums, and beside them
// its own group's digests.
type toldKey struct {
	vm    string
	level digest.Level
}

// told is the newest own digest that a VM was given.
type told struct {
	sequence uint64
	at       time.Time
	// incarnation is the start of the VM that was given it: the next start knows
	// nothing. Empty where the VM had not been heard yet.
	incarnation string
}

// New makes a gossip; Run must be started for it to work.
func New(config Config) *Gossip {
	if config.Topology == (digest.Topology{}) {
		config.Topology = digest.DefaultTopology
	}
	return &Gossip{
		config: config,
		tell:   make(chan struct{}, 1),
		table:  digest.NewTable(config.VM, config.PeerTimeout),
		wanted: make(map[string]wanted),
		told:   make(map[toldKey]told),
		failed: make(map[string]bool),
	}
}

// Tell has an exchange with all peers made at once, with a new digest.
func (g *Gossip) ExchangeNow() {
	g.mu.Lock()
	g.ownAt = time.Time{}
	clear(g.told)
	g.mu.Unlock()
	select {
	case g.tell <- struct{}{}:
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
		for _, target := range g.due(time.Now()) {
			group.Go(func() { g.exchange(ctx, target, own) })
		}
		select {
		case <-ticker.C:
		case <-g.tell:
		case <-ctx.Done():
			return
		}
	}
}

// ownDigest returns this VM's digest, made within the last part of a heartbeat.
func (g *Gossip) ownDigest() entryvm.Digest {
	now := time.Now()
	g.mu.Lock()
	if !g.ownAt.IsZero() && now.Sub(g.ownAt) < g.config.HeartbeatInterval/ownPerHeartbeat {
		defer g.mu.Unlock()
		return g.own
	}
	// Numbered before it is made: of two that are made at once the later number
	// may tell the older news, for a heartbeat.
	g.sequence++
	sequence := g.sequence
	g.mu.Unlock()
	d := g.config.MakeDigest()
	d.Sequence = sequence
	g.mu.Lock()
	defer g.mu.Unlock()
	if sequence == g.sequence {
		g.own, g.ownAt = d, now
	}
	return d
}

// due are the targets to begin an exchange with now.
func (g *Gossip) due(now time.Time) []digest.Target {
	f := g.look(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	targets := f.cut.Targets(f.self)
	g.forgetOthers(f.members)
	return slices.DeleteFunc(targets, func(t digest.Target) bool {
		halves := time.Duration(beginAfter)
		// Where members talk to relays only, the relays don't begin.
		begins := !f.cut.IsFlat() && t.Level == digest.LevelGroup && !f.place.IsMesh
		if t.Member.VM < g.config.VM && !begins {
			halves = answerAfter
		}
		return now.Sub(g.told[toldKey{t.Member.VM, t.Level}].at) < halves*t.Level.ExchangeInterval(g.config.HeartbeatInterval)/2
	})
}

// place gives a VM the domain and region that the VM list has for it. All VMs must
// cut the fleet alike. Failure: a list without regions beside settings with one
// had each VM think itself alone in its region; the sums of all others were then
// for other cells, and nobody knew of VMs beyond its own group.
func place(listed map[string]digest.Member, own digest.Member) digest.Member {
	if m, ok := listed[own.VM]; ok {
		own.Domain, own.Region = m.Domain, m.Region
	}
	return own
}

// forgetOthers forgets the VMs that are gone. Call with mu held.
func (g *Gossip) forgetOthers(members []digest.Member) {
	there := names(members)
	maps.DeleteFunc(g.told, func(key toldKey, _ told) bool { return !there[key.vm] })
	maps.DeleteFunc(g.failed, func(vm string, _ bool) bool { return !there[vm] })
}

// look finds out who is there: the other entry VMs, listed or heard. One that this
// VM does not hear and could reach when it last tried counts as live.
func (g *Gossip) look(now time.Time) *fleet {
	v := g.seen(now)
	known := make(map[string]digest.Member)
	var present []Peer
	g.mu.Lock()
	for _, vm := range g.config.ListedVMs() {
		if vm.ID != g.config.VM && !vm.Leaving {
			present = append(present, Peer{vm.ID, vm.Address, vm.Domain})
		}
		known[vm.ID] = digest.Member{VM: vm.ID, Address: vm.Address, Domain: vm.Domain, Region: vm.Region, Live: !g.failed[vm.ID]}
	}
	g.mu.Unlock()
	for _, d := range v.live {
		known[d.VM] = place(known, digest.Member{VM: d.VM, Address: d.Address, Domain: d.Domain, Region: d.Region, Live: true})
	}
	self := place(known, digest.Member{VM: g.config.VM, Domain: g.config.Domain, Region: g.config.Region, Live: true})
	known[self.VM] = self
	members := slices.SortedFunc(maps.Values(known), func(a, b digest.Member) int { return strings.Compare(a.VM, b.VM) })
	g.mu.Lock()
	defer g.mu.Unlock()
	g.round++
	g.fleet = newFleet(self, members, g.config.Topology, g.round)
	g.fleet.listed = present
	g.view = nil
	return g.fleet
}

func (g *Gossip) exchange(ctx context.Context, to digest.Target, own entryvm.Digest) {
	ctx, cancel := context.WithTimeout(ctx, g.config.PeerTimeout)
	defer cancel()
	theirs, err := g.config.Peer.Exchange(ctx, to.Member.Address, g.contents(own, to.Level, to.Member.VM))
	g.mu.Lock()
	delete(g.failed, to.Member.VM)
	if err != nil {
		g.failed[to.Member.VM] = true
	}
	g.mu.Unlock()
	if err != nil {
		g.config.Logger.Debug("no exchange", zap.String("peer", to.Member.Address), zap.Error(err))
		return
	}
	g.take(theirs)
	g.note(toldKey{to.Member.VM, to.Level}, own.Sequence)
}

// contents are what to give to a peer.
func (g *Gossip) contents(own entryvm.Digest, level digest.Level, to string) []entryvm.Digest {
	// Each digest that arrives makes the next view a new one, so it is only asked
	// for where it is needed: it was an eighth of an idle entry VM's work.
	if !g.HasGroups() {
		return []entryvm.Digest{own}
	}
	now := time.Now()
	v := g.seen(now)
	if v.fleet.cut.IsFlat() {
		return []entryvm.Digest{own}
	}
	withRest := now.UnixNano()/int64(g.config.HeartbeatInterval)%restPeriod == 0
	return v.fleet.contents(own, v.knowledge, level, to, withRest)
}

// Exchange takes a peer's digests and returns what it has not got: this VM's
// own digest or sums, unless it was given those already.
func (g *Gossip) Exchange(digests []entryvm.Digest) []entryvm.Digest {
	g.take(digests)
	own := g.ownDigest()
	from := slices.IndexFunc(digests, func(d entryvm.Digest) bool { return d.Age == 0 })
	if from < 0 {
		return []entryvm.Digest{own}
	}
	key, incarnation := toldKey{digests[from].VM, levelOf(digests)}, digests[from].Incarnation
	g.mu.Lock()
	known := g.told[key]
	g.mu.Unlock()
	if known.incarnation == incarnation && known.sequence >= own.Sequence {
		return nil
	}
	g.note(key, own.Sequence)
	return g.contents(own, key.level, key.vm)
}

// note keeps that a VM was given the own digest of the sequence.
func (g *Gossip) note(to toldKey, sequence uint64) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	incarnation := g.table.Incarnation(now, to.vm)
	if known := g.told[to]; known.sequence > sequence && known.incarnation == incarnation {
		return
	}
	g.told[to] = told{sequence: sequence, at: now, incarnation: incarnation}
}

func (g *Gossip) take(digests []entryvm.Digest) {
	now := time.Now()
	g.mu.Lock()
	fresh := g.table.Merge(now, digests)
	if len(fresh) > 0 {
		g.view = nil
	}
	g.mu.Unlock()
	if len(fresh) > 0 {
		g.config.OnNewDigests(now, fresh)
	}
}
