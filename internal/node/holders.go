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

// holdersPerDomain is how many VMs of each failure domain hold a shard of claims.
// With two, one may be down and calls still stay within the domain.
const holdersPerDomain = 2

// claimManager claims calls, either in one stream or in shards.
type claimManager interface {
	serving.Claims
	Run(context.Context)
	Drain()
	Claimed(entryvm.ClaimQuery) entryvm.ClaimReply
	Claim(entryvm.ClaimCall) entryvm.ClaimResult
	Settle(entryvm.ClaimCall) bool
	SkippedRecords() uint64
	SnapshotsWritten() uint64
}

// newClaims returns a manager of shards of claims, or of one stream that every VM
// holds if sharding is off.
func (n *Node) newClaims() claimManager {
	config := claims.Config{
		Log: n.config.Peers.Log, Logger: n.config.Logger, Incarnation: n.config.Incarnation,
		Window: n.config.ClaimTTL, IsAlive: n.isIncarnationAlive, RuleOutDispatch: n.ruleOutDispatchByPeers,
		WritesSnapshots: n.writesSnapshots, SnapshotMaxAge: n.config.SnapshotMaxAge,
	}
	if n.config.ClaimShards <= 1 {
		return claims.New(config)
	}
	return claims.NewShards(claims.ShardsConfig{
		Config: config, Count: n.config.ClaimShards, Peer: n.config.Peers.EntryVMs,
		Holders:              func(shard int) []claims.ShardHolder { return n.holders.lookup(shard).all },
		WritesShardSnapshots: func(shard int) bool { return n.holders.lookup(shard).writesSnapshots },
	})
}

// holderTable assigns shards of claims to listed entry VMs. VMs that see different
// lists assign them differently, which only costs memory or an extra call.
type holderTable struct {
	self vmlist.VM
	// listed returns the entry VMs of the VM list, listedAt when it was read.
	listed   func() []vmlist.VM
	listedAt func() time.Time

	mu           sync.Mutex
	lastListedAt time.Time
	vms          []vmlist.VM
	byShard      map[int]shardHolders
}

// shardHolders holds the holders of one shard in the order of use: this VM if it is
// one of them, then the VM that batches the claims of all, then the others from
// nearest to farthest.
type shardHolders struct {
	all []claims.ShardHolder
	// writesSnapshots is whether this VM writes the shard's snapshots.
	writesSnapshots bool
}

func (h *holderTable) lookup(shard int) shardHolders {
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

// refresh applies the VM list if it was read again since the last call. The caller
// must hold mu.
func (h *holderTable) refresh() {
	at := h.listedAt()
	if h.byShard != nil && at.Equal(h.lastListedAt) {
		return
	}
	h.lastListedAt = at
	listed := h.listed()
	if !slices.ContainsFunc(listed, func(vm vmlist.VM) bool { return vm.ID == h.self.ID }) {
		listed = append(listed, h.self) // the list may lag behind
	}
	slices.SortFunc(listed, func(a, b vmlist.VM) int { return cmp.Compare(a.ID, b.ID) })
	if h.byShard == nil || !slices.Equal(listed, h.vms) {
		h.vms, h.byShard = listed, make(map[int]shardHolders)
	}
}

// choose picks the holders of a shard in each domain by rendezvous hashing.
func (h *holderTable) choose(shard string) (chosen shardHolders) {
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
	chosen.writesSnapshots = first == h.self.ID
	slices.SortStableFunc(all, func(a, b vmlist.VM) int { return cmp.Compare(h.distanceRank(a, first), h.distanceRank(b, first)) })
	for _, vm := range all {
		chosen.all = append(chosen.all, claims.ShardHolder{Address: vm.Address, Self: vm.ID == h.self.ID})
	}
	return chosen
}

// distanceRank orders this VM first, then the VM with the highest weight, then VMs of
// this domain, then VMs of this region, then all others.
func (h *holderTable) distanceRank(vm vmlist.VM, first string) int {
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
