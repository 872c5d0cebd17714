// Package gossip exchanges digests with the other entry VMs and keeps what they
// said: who is live, what waits, what runs where.
package gossip

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/placement"
	"bergamotreel/vmlist"
)

// Config is what a Gossip needs.
type Config struct {
	VM, Domain, Region string
	Peer               entryvm.Peer
	Logger             *zap.Logger
	// Every is the time between two exchanges with a peer, HeardFor how long a
	// VM counts as live after its newest digest.
	Every, HeardFor time.Duration
	// Self is this VM's digest now.
	Self func() entryvm.Digest
	// Listed are the entry VMs of the VM list.
	Listed func() []vmlist.VM
	// Heard is told the digests that were new.
	Heard func(now time.Time, digests []entryvm.Digest)
}

// wantedFor is how long a demand told by Want counts: until well after the next
// digest of its sender.
const wantedFor = 2 * time.Second

// Heard is a digest with the time it came, by this VM's clock.
type Heard struct {
	Digest entryvm.Digest
	At     time.Time
}

// Gossip is the duty. Its methods may be called from any goroutine.
type Gossip struct {
	config Config
	tell   chan struct{}

	mu       sync.Mutex
	sequence uint64
	heard    map[string]Heard
	wanted   map[string]wanted
}

// wanted is demand that a VM told beside its digests.
type wanted struct {
	demand []entryvm.Demand
	at     time.Time
}

// New makes a gossip; Run must be started for it to work.
func New(config Config) *Gossip {
	return &Gossip{
		config: config,
		tell:   make(chan struct{}, 1),
		heard:  make(map[string]Heard),
		wanted: make(map[string]wanted),
	}
}

// Tell has an exchange with all peers made at once.
func (g *Gossip) Tell() {
	select {
	case g.tell <- struct{}{}:
	default:
	}
}

// Run exchanges digests until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	ticker := time.NewTicker(g.config.Every)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		own := g.own()
		for _, address := range g.targets() {
			group.Go(func() { g.exchange(ctx, address, own) })
		}
		select {
		case <-ticker.C:
		case <-g.tell:
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gossip) own() entryvm.Digest {
	d := g.config.Self()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	d.Sequence = g.sequence
	return d
}

// targets are the peers to exchange with, listed or heard.
func (g *Gossip) targets() []string {
	addresses := make(map[string]bool)
	for _, vm := range g.config.Listed() {
		if vm.ID != g.config.VM {
			addresses[vm.Address] = true
		}
	}
	for _, d := range g.Live() {
		addresses[d.Address] = true
	}
	out := make([]string, 0, len(addresses))
	for address := range addresses {
		out = append(out, address)
	}
	return out
}

func (g *Gossip) exchange(ctx context.Context, address string, own entryvm.Digest) {
	ctx, cancel := context.WithTimeout(ctx, g.config.HeardFor)
	defer cancel()
	theirs, err := g.config.Peer.Exchange(ctx, address, []entryvm.Digest{own})
	if err != nil {
		g.config.Logger.Debug("no exchange", zap.String("peer", address), zap.Error(err))
		return
	}
	g.take(theirs)
}

// Exchange takes a peer's digests and returns this VM's own.
func (g *Gossip) Exchange(digests []entryvm.Digest) []entryvm.Digest {
	g.take(digests)
	return []entryvm.Digest{g.own()}
}

func (g *Gossip) take(digests []entryvm.Digest) {
	now := time.Now()
	var fresh []entryvm.Digest
	g.mu.Lock()
	for _, d := range digests {
		known, ok := g.heard[d.VM]
		if d.VM == g.config.VM || (ok && !newer(d, known.Digest)) {
			continue
		}
		g.heard[d.VM] = Heard{Digest: d, At: now}
		fresh = append(fresh, d)
	}
	g.mu.Unlock()
	if len(fresh) > 0 {
		g.config.Heard(now, fresh)
	}
}

func newer(a, b entryvm.Digest) bool {
	return a.Incarnation != b.Incarnation || a.Sequence > b.Sequence
}

// Wanted takes demand that a peer told at once.
func (g *Gossip) Wanted(from string, demand []entryvm.Demand) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wanted[from] = wanted{demand: demand, at: time.Now()}
}

// Live returns the digests of the other VMs that are heard.
func (g *Gossip) Live() []entryvm.Digest {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var live []entryvm.Digest
	for _, h := range g.heard {
		if now.Sub(h.At) < g.config.HeardFor {
			live = append(live, h.Digest)
		}
	}
	return live
}

// All returns the newest digest of each other VM, however old.
func (g *Gossip) All() []Heard {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]Heard, 0, len(g.heard))
	for _, h := range g.heard {
		all = append(all, h)
	}
	return all
}

// Address is where a VM serves its peers.
func (g *Gossip) Address(vm string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, ok := g.heard[vm]
	return h.Digest.Address, ok
}

// Demand is what waits at the other live VMs.
func (g *Gossip) Demand(now time.Time) []placement.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []placement.Demand
	for vm, h := range g.heard {
		if now.Sub(h.At) >= g.config.HeardFor {
			continue
		}
		told, at := h.Digest.Demand, h.At
		if w, ok := g.wanted[vm]; ok && w.at.After(at) && now.Sub(w.at) < wantedFor {
			told, at = w.demand, w.at
		}
		for _, d := range told {
			out = append(out, placement.Demand{
				Unit: d.Unit, Customer: d.Customer, Waiting: d.Waiting,
				Deadline: at.Add(d.Deadline), Priority: d.Priority, Domain: h.Digest.Domain,
			})
		}
	}
	return out
}
