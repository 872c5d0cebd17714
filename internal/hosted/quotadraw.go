package hosted

import (
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
)

// holder is a VM that hands out credit.
type holder struct{ vm, address, domain string }

// holderDraw are the holders as of some moment.
type holderDraw struct {
	at time.Time
	// own are those of the own domain in the order in which they are asked, others the
	// first one of each other domain; vms is how many live VMs the own domain has.
	own, others []holder
	vms         int
}

// holds tells whether the VM at the address is its domain's holder.
func (d *holderDraw) holds(address string) bool { return len(d.own) > 0 && d.own[0].address == address }

// holderKey is what a failure domain's holder of quotas is drawn for.
const holderKey = "quotas"

// draw returns the holders among the live VMs.
func (q *quotas) draw(now time.Time) holderDraw {
	q.mu.Lock()
	d := q.holders
	q.mu.Unlock()
	if age := now.Sub(d.at); age >= 0 && age < drawHoldersEvery {
		return d
	}
	d = q.node.members.drawHolders(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(d.own) > 0 && (len(q.holders.own) == 0 || d.own[0] != q.holders.own[0]) {
		q.node.config.Logger.Info("holder of quotas drawn", zap.String("holder", d.own[0].vm), zap.Int("vms", d.vms))
	}
	q.holders = d
	return d
}

// drawHolders draws the VMs that hand out credit in each failure domain.
func (m *members) drawHolders(now time.Time) holderDraw {
	own := m.node.config
	able := make(map[string][]volunteer)
	addresses := map[string]string{own.VM: own.Address}
	if !m.node.stopping.Load() {
		able[own.Domain] = append(able[own.Domain], volunteer{own.VM, own.Capacity})
	}
	d := holderDraw{at: now, vms: 1}
	m.live(now, func(r *entryvm.Report) {
		if r.Domain == own.Domain {
			d.vms++
		}
		if !r.Leaving {
			able[r.Domain] = append(able[r.Domain], volunteer{r.VM, r.Capacity})
			addresses[r.VM] = r.Address
		}
	})
	for domain, volunteers := range able {
		if domain != own.Domain {
			first := rank(holderKey, volunteers, 1)[0]
			d.others = append(d.others, holder{first, addresses[first], domain})
			continue
		}
		for _, vm := range rank(holderKey, volunteers, holdersPerDomain) {
			d.own = append(d.own, holder{vm, addresses[vm], domain})
		}
	}
	return d
}
