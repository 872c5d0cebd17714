package node

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/claims"
	"bergamotreel/internal/rendezvous"
	"bergamotreel/internal/serving"
	"bergamotreel/vmlist"
)

// holdersPerDomain is how many VMs of each failure domain hold a shard of claims:
// one may be down without a call leaving the domain.
const holdersPerDomain = 2

// claimDuty is the part of an entry VM that claims calls.
type claimDuty interface {
	serving.Claims
	Run(context.Context)
	Drain()
	Claimed(entryvm.ClaimQuery) entryvm.ClaimReply
	Claim(entryvm.ClaimCall) entryvm.ClaimResult
	Settle(entryvm.ClaimCall) bool
	SkippedRecords() uint64
	SnapshotsWritten() uint64
}

// newClaims makes one stream of claims that every VM holds, or shards.
func (n *Node) newClaims() claimDuty {
	config := claims.Config{
		Log: n.config.Peers.Log, Logger: n.config.Logger, Incarnation: n.config.Incarnation,
		Window: n.config.Claims, IsAlive: n.incarnationAlive, RuleOutDispatch: n.nobodyAhead,
		WritesSnapshots: n.writesSnapshots, SnapshotMaxAge: n.config.SnapshotMaxAge,
	}
	if n.config.ClaimShards <= 1 {
		return claims.New(config)
	}
	return claims.NewShards(claims.ShardsConfig{
		Config: config, Count: n.config.ClaimShards, Peer: n.config.Peers.EntryVMs,
		Holders:              func(shard int) []claims.Holder { return n.holders.of(shard).all },
		WritesShardSnapshots: func(shard int) bool { return n.holders.of(shard).writes },
	})
}

// holders are which listed entry VMs should hold which shard of claims. VMs that
// see different lists differ on it: that costs memory or a call more, never
// safety.
type holders struct {
	self vmlist.VM
	// listed are the entry VMs, read at listedAt.
	listed   func() []vmlist.VM
	listedAt func() time.Time

	mu      sync.Mutex
	readAt  time.Time
	vms     []vmlist.VM
	byShard map[int]shardHolders
}

// shardHolders are those of one shard: this VM, the one that joins the claims of
// all, and the others, the nearest first.
type shardHolders struct {
	all []claims.Holder
	// writes is whether this VM is the one that writes the snapshots.
	writes bool
}

func (h *holders) of(shard int) shardHolders {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refresh()
	known, ok := h.byShard[shard]
	if !ok {
		known = h.choose(fmt.Sprint(claims.Stream, shard))
		h.byShard[shard] = known
	}
	return known
}

// refresh takes over a list that was read anew. Call with mu held.
func (h *holders) refresh() {
	at := h.listedAt()
	if h.byShard != nil && at.Equal(h.readAt) {
		return
	}
	h.readAt = at
	listed := h.listed()
	if !slices.ContainsFunc(listed, func(vm vmlist.VM) bool { return vm.ID == h.self.ID }) {
		listed = append(listed, h.self) // the list trails
	}
	slices.SortFunc(listed, func(a, b vmlist.VM) int { return cmp.Compare(a.ID, b.ID) })
	if h.byShard == nil || !slices.Equal(listed, h.vms) {
		h.vms, h.byShard = listed, make(map[int]shardHolders)
	}
}

// choose picks the holders of each domain by rendezvous.
func (h *holders) choose(shard string) (chosen shardHolders) {
	byDomain := make(map[string][]vmlist.VM)
	for _, vm := range h.vms {
		byDomain[vm.Domain] = append(byDomain[vm.Domain], vm)
	}
	heavier := func(a, b vmlist.VM) int {
		return cmp.Compare(rendezvous.Weight(shard, b.ID), rendezvous.Weight(shard, a.ID))
	}
	var all []vmlist.VM
	for _, vms := range byDomain {
		slices.SortFunc(vms, heavier)
		all = append(all, vms[:min(len(vms), holdersPerDomain)]...)
	}
	slices.SortFunc(all, heavier)
	first := all[0].ID
	chosen.writes = first == h.self.ID
	slices.SortStableFunc(all, func(a, b vmlist.VM) int { return cmp.Compare(h.rank(a, first), h.rank(b, first)) })
	for _, vm := range all {
		chosen.all = append(chosen.all, claims.Holder{Address: vm.Address, Self: vm.ID == h.self.ID})
	}
	return chosen
}

// rank puts this VM before the first, its domain, its region and the rest.
func (h *holders) rank(vm vmlist.VM, first string) int {
	switch {
	case vm.ID == h.self.ID:
		return 0
	case vm.ID == first:
		return 1
	case vm.Domain == h.self.Domain:
		return 2
	case vm.Region == h.self.Region:
		return 3
	}
	return 4
}
