// Package gossip exchanges digests with the other entry VMs and keeps what they
// said: who is live, what waits, what runs where.
package gossip

import (
	"context"
	"maps"
	"slices"
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

// Heard is a digest with the time it was made, by this VM's clock.
type Heard = digest.Heard

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
	told map[string]told
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
	return &Gossip{
		config: config,
		tell:   make(chan struct{}, 1),
		table:  digest.NewTable(config.VM, config.HeardFor),
		wanted: make(map[string]wanted),
		told:   make(map[string]told),
	}
}

// Tell has an exchange with all peers made at once, with a new digest.
func (g *Gossip) Tell() {
	g.mu.Lock()
	g.ownAt = time.Time{}
	g.told = make(map[string]told)
	g.mu.Unlock()
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
		own := g.ownDigest()
		for vm, address := range g.due(time.Now()) {
			group.Go(func() { g.exchange(ctx, vm, address, own) })
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
	if !g.ownAt.IsZero() && now.Sub(g.ownAt) < g.config.Every/ownPerHeartbeat {
		defer g.mu.Unlock()
		return g.own
	}
	// Numbered before it is made: of two that are made at once the later number
	// may tell the older news, for a heartbeat.
	g.sequence++
	sequence := g.sequence
	g.mu.Unlock()
	d := g.config.Self()
	d.Sequence = sequence
	g.mu.Lock()
	defer g.mu.Unlock()
	if sequence == g.sequence {
		g.own, g.ownAt = d, now
	}
	return d
}

// due are the peers to begin an exchange with now, by VM, with their addresses.
func (g *Gossip) due(now time.Time) map[string]string {
	peers := g.peers(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	for vm := range g.told {
		if _, known := peers[vm]; !known {
			delete(g.told, vm)
		}
	}
	maps.DeleteFunc(peers, func(vm, _ string) bool {
		halves := time.Duration(beginAfter)
		if vm < g.config.VM {
			halves = answerAfter
		}
		return now.Sub(g.told[vm].at) < halves*g.config.Every/2
	})
	return peers
}

// peers are the other entry VMs, listed or heard, with their addresses.
func (g *Gossip) peers(now time.Time) map[string]string {
	peers := make(map[string]string)
	for _, vm := range g.config.Listed() {
		peers[vm.ID] = vm.Address
	}
	for _, d := range g.seen(now).live {
		peers[d.VM] = d.Address
	}
	delete(peers, g.config.VM)
	return peers
}

func (g *Gossip) exchange(ctx context.Context, vm, address string, own entryvm.Digest) {
	ctx, cancel := context.WithTimeout(ctx, g.config.HeardFor)
	defer cancel()
	theirs, err := g.config.Peer.Exchange(ctx, address, []entryvm.Digest{own})
	if err != nil {
		g.config.Logger.Debug("no exchange", zap.String("peer", address), zap.Error(err))
		return
	}
	g.take(theirs)
	g.note(vm, own.Sequence)
}

// Exchange takes a peer's digests and returns what it has not got: this VM's
// own digest, unless it was given that one already.
func (g *Gossip) Exchange(digests []entryvm.Digest) []entryvm.Digest {
	g.take(digests)
	own := g.ownDigest()
	from := slices.IndexFunc(digests, func(d entryvm.Digest) bool { return d.Cell == "" && d.Age == 0 })
	if from < 0 {
		return []entryvm.Digest{own}
	}
	vm, incarnation := digests[from].VM, digests[from].Incarnation
	g.mu.Lock()
	known := g.told[vm]
	g.mu.Unlock()
	if known.incarnation == incarnation && known.sequence >= own.Sequence {
		return nil
	}
	g.note(vm, own.Sequence)
	return []entryvm.Digest{own}
}

// note keeps that a VM was given the own digest of the sequence.
func (g *Gossip) note(vm string, sequence uint64) {
	now := time.Now()
	incarnation := g.seen(now).incarnations[vm]
	g.mu.Lock()
	defer g.mu.Unlock()
	if known := g.told[vm]; known.sequence > sequence && known.incarnation == incarnation {
		return
	}
	g.told[vm] = told{sequence: sequence, at: now, incarnation: incarnation}
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
		g.config.Heard(now, fresh)
	}
}
