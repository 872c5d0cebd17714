package hosted

import (
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
)

// allocator is a VM that hands out credit.
type allocator struct{ vm, address, domain string }

// allocatorDraw are the allocators as of some moment.
type allocatorDraw struct {
	at time.Time
	// own are those of the own domain in the order in which they are asked, others the
	// first one of each other domain.
	own, others []allocator
	// live and known are how many VMs the own domain has, and how many it had lately: the
	// others may be cut off and serving.
	live, known int
}

// present is the part of the own domain's VMs that this one reaches.
func (d *allocatorDraw) present() float64 { return float64(d.live) / float64(max(d.known, d.live, 1)) }

// holds tells whether the VM at the address is its domain's allocator.
func (d *allocatorDraw) holds(address string) bool {
	return len(d.own) > 0 && d.own[0].address == address
}

// allocatorKey is what a failure domain's allocator of quotas is drawn for.
const allocatorKey = "quotas"

// draw returns the allocators among the live VMs.
func (q *quotas) draw(now time.Time) allocatorDraw {
	q.mu.Lock()
	d := q.allocators
	q.mu.Unlock()
	if age := now.Sub(d.at); age >= 0 && age < drawAllocatorsEvery {
		return d
	}
	d = q.node.members.drawAllocators(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(d.own) > 0 && (len(q.allocators.own) == 0 || d.own[0] != q.allocators.own[0]) {
		q.node.config.Logger.Info("quota allocator chosen", zap.String("allocator", d.own[0].vm), zap.Int("live", d.live), zap.Int("known", d.known))
	}
	q.allocators = d
	return d
}

// drawAllocators draws the VMs that hand out credit in each failure domain.
func (m *members) drawAllocators(now time.Time) allocatorDraw {
	own := m.node.config
	able := make(map[string][]roleCandidate)
	addresses := map[string]string{own.VM: own.Address}
	if !m.node.stopping.Load() {
		able[own.Domain] = append(able[own.Domain], roleCandidate{own.VM, own.Capacity})
	}
	d := allocatorDraw{at: now, live: 1, known: 1 + m.knownInDomain()}
	m.eachLive(now, func(r *entryvm.Report) {
		if r.Domain == own.Domain {
			d.live++
		}
		if !r.Leaving {
			able[r.Domain] = append(able[r.Domain], roleCandidate{r.VM, r.Capacity})
			addresses[r.VM] = r.Address
		}
	})
	for domain, volunteers := range able {
		if domain != own.Domain {
			first := selectTop(allocatorKey, volunteers, 1)[0]
			d.others = append(d.others, allocator{first, addresses[first], domain})
			continue
		}
		for _, vm := range selectTop(allocatorKey, volunteers, allocatorsPerDomain) {
			d.own = append(d.own, allocator{vm, addresses[vm], domain})
		}
	}
	return d
}

// knownInDomain is how many other VMs of the own domain were live here and not forgotten
// since, but for those that stop. A VM that has just started is told of others before it
// hears them: they do not count yet.
func (m *members) knownInDomain() (known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if !p.lastSeen.IsZero() && p.report.Domain == m.node.config.Domain && !p.report.Leaving {
			known++
		}
	}
	return known
}
