package hosted

import (
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
)

// allocator is a VM that grants credit.
type allocator struct{ vm, address, domain string }

// allocatorSelection holds the allocators among the VMs that are live at selectedAt.
type allocatorSelection struct {
	selectedAt time.Time
	// ownDomain are the allocators of this VM's domain in the order in which they are asked,
	// otherDomains the first one of each other domain.
	ownDomain, otherDomains []allocator
	// vms counts the VMs of this domain.
	vms domainCount
}

// isAllocator reports whether the VM at the address is the allocator of this VM's domain.
func (s *allocatorSelection) isAllocator(address string) bool {
	return len(s.ownDomain) > 0 && s.ownDomain[0].address == address
}

// allocatorKey is the rendezvous key that a failure domain's quota allocator is selected by.
const allocatorKey = "quotas"

// currentAllocators returns the allocators among the live VMs. It selects them again after
// allocatorSelectionInterval, and sooner just after this VM's start.
func (q *quotas) currentAllocators(now time.Time) allocatorSelection {
	q.mu.Lock()
	s := q.allocators
	q.mu.Unlock()
	interval := allocatorSelectionInterval
	if q.isStarting() {
		interval = startupSelectionInterval
	}
	if age := now.Sub(s.selectedAt); age >= 0 && age < interval {
		return s
	}
	s = q.node.members.selectAllocators(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(s.ownDomain) > 0 && (len(q.allocators.ownDomain) == 0 || s.ownDomain[0] != q.allocators.ownDomain[0]) {
		q.node.config.Logger.Info("quota allocator chosen", zap.String("allocator", s.ownDomain[0].vm), zap.Int("live", s.vms.live), zap.Int("known", s.vms.known))
	}
	q.allocators = s
	return s
}

// selectAllocators selects the VMs that grant credit in each failure domain.
func (m *members) selectAllocators(now time.Time) allocatorSelection {
	own := m.node.config
	candidates := make(map[string][]roleCandidate)
	addresses := map[string]string{own.VM: own.Address}
	if !m.node.stopping.Load() {
		candidates[own.Domain] = append(candidates[own.Domain], roleCandidate{own.VM, own.Capacity})
	}
	s := allocatorSelection{selectedAt: now, vms: m.countDomain(now, own.Domain)}
	m.eachLive(now, func(r *entryvm.Report) {
		if !r.Leaving {
			candidates[r.Domain] = append(candidates[r.Domain], roleCandidate{r.VM, r.Capacity})
			addresses[r.VM] = r.Address
		}
	})
	for domain, domainCandidates := range candidates {
		if domain != own.Domain {
			first := selectTop(allocatorKey, domainCandidates, 1)[0]
			s.otherDomains = append(s.otherDomains, allocator{first, addresses[first], domain})
			continue
		}
		for _, vm := range selectTop(allocatorKey, domainCandidates, allocatorsPerDomain) {
			s.ownDomain = append(s.ownDomain, allocator{vm, addresses[vm], domain})
		}
	}
	return s
}

// domainCount counts the VMs of a failure domain.
type domainCount struct {
	// live is how many live VMs the domain has, known how many it had recently or has by the
	// registry: VMs that are known but not live may be partitioned and still serve requests.
	live, known int
	// isUnsure is whether this VM has met no other one and has no count from the registry either, so
	// that it may be one of any number of VMs.
	isUnsure bool
}

// reachableFraction returns the fraction of the domain's VMs that this VM reaches.
func (c domainCount) reachableFraction() float64 {
	if c.isUnsure {
		return 0
	}
	return float64(c.live) / float64(max(c.known, c.live, 1))
}

// isAlone reports whether this VM reaches no other one of its domain though that has more, or may
// have.
func (c domainCount) isAlone() bool { return c.isUnsure || (c.live == 1 && c.known > 1) }

// countDomain counts the VMs of a failure domain, this one included. Known are those that this VM has
// received a report from and not forgotten since, without those that are leaving. A VM that has just
// started knows VMs by name that it has no report from yet; they don't count.
func (m *members) countDomain(now time.Time, domain string) domainCount {
	var c domainCount
	if domain == m.node.config.Domain {
		c = domainCount{live: 1, known: 1}
	}
	recorded := m.node.fleetSize.renewed()
	c.isUnsure = recorded == nil
	m.eachLive(now, func(r *entryvm.Report) {
		if r.Domain == domain {
			c.live++
		}
	})
	m.eachSeen(func(r *entryvm.Report) {
		c.isUnsure = false
		if r.Domain == domain && !r.Leaving {
			c.known++
		}
	})
	c.known = max(c.known, recorded[domain])
	return c
}
