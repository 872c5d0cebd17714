package hosted

import (
	"slices"
	"time"
)

const (
	// keepersPerDomain is how many VMs of a large fleet's failure domain are in the group
	// that shares its shards out, keepersLeave how many may be before one of them leaves.
	// Load pattern: 39 VMs of a domain for twelve shards. Each joined every 0.7 s, two thirds
	// of all calls of the registry; and with each of 195 that was restarted in turn shards
	// changed hands, whose engines get no orders meanwhile. Fewer than the shards, so that
	// all have work; several, so that the death of one leaves most engines with a keeper.
	keepersPerDomain = 6
	keepersLeave     = keepersPerDomain + 2
	// keeperAfter is how long after its start a VM of a large fleet may join: until then it
	// has not heard of all others.
	keeperAfter = 1500 * time.Millisecond
	// keeperKey is what a domain's keepers are drawn for.
	keeperKey = "keeper"
)

// standsAsKeeper tells whether this VM should be a member of its domain's group; member is
// whether it is. In a small fleet each one is. One that is drawn no more just joins no
// more: it goes on with its shards until a successor asks for them, or its membership lapses.
func (m *members) standsAsKeeper(now time.Time, member bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.currentRoles(now)
	if !d.large {
		return true
	}
	if !member && m.node.config.BootClock()-m.node.startedAt < keeperAfter {
		return false
	}
	drawn := d.keepers
	if !member {
		drawn = drawn[:min(len(drawn), keepersPerDomain)]
	}
	return slices.Contains(drawn, m.node.config.VM)
}

// nobodySeen tells whether there are addresses of other VMs, and none of them was heard.
func (m *members) nobodySeen(now time.Time) bool {
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
