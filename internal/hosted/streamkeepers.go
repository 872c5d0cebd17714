package hosted

import (
	"cmp"
	"slices"
	"time"

	"bergamotreel/internal/rendezvous"
	"bergamotreel/routing/streamversion"
)

// streamKeeper is a VM that may keep versions of streams for others. isLive is whether this VM would
// choose it.
type streamKeeper struct {
	vm, domain, address string
	isLive              bool
}

// streamKeepers returns the VMs that may keep versions of streams: the live ones, in a large fleet only the
// relays, to which all VMs are connected anyway.
func (m *members) streamKeepers(now time.Time) []streamKeeper {
	return slices.DeleteFunc(m.possibleStreamKeepers(now), func(k streamKeeper) bool { return !k.isLive })
}

// possibleStreamKeepers returns the VMs that other VMs may take for streamKeepers. In a small fleet
// this includes those that aren't live here: after a partition, a VM is back before it counts as live.
func (m *members) possibleStreamKeepers(now time.Time) []streamKeeper {
	m.mu.Lock()
	defer m.mu.Unlock()
	roles := m.currentRoles(now)
	var keepers []streamKeeper
	for _, p := range m.peers {
		r := &p.report
		if p.lastSeen.IsZero() || r.Address == "" {
			continue
		}
		isLive := m.isLive(now, p) && !r.Leaving && (!roles.large || roles.isRelayOf(r.Domain, r.VM))
		if isLive || !roles.large {
			keepers = append(keepers, streamKeeper{r.VM, r.Domain, r.Address, isLive})
		}
	}
	return keepers
}

// pickStreamKeepers returns the addresses of the keepers of a stream: one in the failure domain and
// one in another, as far as there are any, otherwise two in the same.
func pickStreamKeepers(key streamversion.Key, domain string, keepers []streamKeeper) []string {
	ranked := slices.Clone(keepers)
	slices.SortFunc(ranked, func(a, b streamKeeper) int {
		return cmp.Or(cmp.Compare(rendezvous.Weight(string(key[:]), b.vm), rendezvous.Weight(string(key[:]), a.vm)), cmp.Compare(a.vm, b.vm))
	})
	if len(ranked) <= 2 {
		return addressesOf(ranked)
	}
	second := slices.IndexFunc(ranked[1:], func(k streamKeeper) bool { return (k.domain == domain) != (ranked[0].domain == domain) })
	return addressesOf([]streamKeeper{ranked[0], ranked[1+max(second, 0)]})
}

func addressesOf(keepers []streamKeeper) []string {
	out := make([]string, len(keepers))
	for i, k := range keepers {
		out[i] = k.address
	}
	return out
}
