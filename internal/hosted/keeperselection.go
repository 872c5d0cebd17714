package hosted

import (
	"slices"
	"time"
)

const (
	// keepersPerDomain is how many VMs of a failure domain of a large fleet join the group
	// that divides the domain's shards; a member stays in it while it ranks among the first
	// maxKeepersPerDomain. The number is below the number of shards, so that each keeper has
	// some, and large enough that the failure of one keeper leaves most engines with theirs.
	// If all 39 VMs of a domain join every 0.7 s for its twelve shards, joins are two thirds
	// of all registry calls, and in a rolling restart of 195 VMs each restart moves shards,
	// whose engines get no orders meanwhile.
	keepersPerDomain    = 6
	maxKeepersPerDomain = keepersPerDomain + 2
	// minKeeperAge is how long a VM of a large fleet must run before it may join: until then
	// it has not received reports of all others.
	minKeeperAge = 1500 * time.Millisecond
	// keeperKey is the rendezvous key that a domain's keepers are selected for.
	keeperKey = "keeper"
)

// shouldJoinAsKeeper reports whether this VM should be a member of its domain's group;
// member is whether it is one now. In a small fleet each VM is. A VM that is no longer
// selected stops joining: it keeps its shards until a successor requests their release or
// its membership expires.
func (m *members) shouldJoinAsKeeper(now time.Time, member bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.currentRoles(now)
	if !r.large {
		return true
	}
	if !member && m.node.config.BootClock()-m.node.startedAt < minKeeperAge {
		return false
	}
	selected := r.keepers
	if !member {
		selected = selected[:min(len(selected), keepersPerDomain)]
	}
	return slices.Contains(selected, m.node.config.VM)
}

// hasNoReachablePeer reports whether addresses of other VMs are known but no report of any of
// them is recent enough to count it as live.
func (m *members) hasNoReachablePeer(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.peers) == 0 {
		return len(m.node.config.Seeds) > 1
	}
	for _, p := range m.peers {
		if m.isLive(now, p) {
			return false
		}
	}
	return true
}
