package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// fairShareWindow is the time constant of the traffic from which fair shares are
// computed. Within one second, the few requests of a customer with normal traffic
// vary by several times; a burst still stands out within two seconds.
const fairShareWindow = 5 * time.Second

// SetVMs sets how many entry VMs the VM list contains, including this one, and from
// how many others a digest was received within the last seconds. A live VM without a
// recent digest keeps its even share of every limit, as it may be partitioned and
// serving. So a partitioned group of VMs admits its part of each limit, and all
// groups together never admit more than the limit.
func (c *Controller) SetVMs(live, reporting int) {
	reporting = max(reporting, 0)
	c.fleet = fleet{liveVMs: max(live, reporting+1), reportingPeers: reporting}
}

// SetPeerUsage sets the usage of the other entry VMs; customers that are left out
// are idle there. Call it several times per second, even if there are no other VMs,
// as it recomputes the fair shares.
func (c *Controller) SetPeerUsage(now time.Time, usage map[string]PeerUsage) {
	c.lastNow = now
	decay := math.Exp(-max(0, now.Sub(c.peerUsageAt).Seconds()) / fairShareWindow.Seconds())
	c.peerUsageAt = now
	clear(c.poolUsage)
	for name, cust := range c.customers {
		cust.limit.peerUsage = usage[name]
		current := cust.limit.admissions.Rate(now, UsageWindow) + usage[name].AdmittedRate
		cust.admittedRate = current + decay*(cust.admittedRate-current)
		if cust.admittedRate < minReportedRate {
			cust.admittedRate = 0
			continue
		}
		for _, p := range cust.pools {
			total := c.poolUsage[p]
			total.rate += cust.admittedRate
			total.weight += cust.weight()
			total.peakRatePerWeight = max(total.peakRatePerWeight, cust.admittedRate/cust.weight())
			c.poolUsage[p] = total
		}
	}
	c.releaseAllHeld(now)
}

// fleetAt returns the fleet to assume now: if the last SetPeerUsage is older than
// PeerUsageTTL, no other VM counts as reporting.
func (c *Controller) fleetAt(now time.Time) fleet {
	if now.Sub(c.peerUsageAt) > c.cfg.PeerUsageTTL {
		return fleet{liveVMs: c.fleet.liveVMs}
	}
	return c.fleet
}

// ReportUsage returns each customer's traffic on this VM for the digest to the
// other VMs. Customers without traffic are left out. Call it once per digest, as it
// records the demand as announced.
func (c *Controller) ReportUsage(now time.Time) []Usage {
	c.lastNow = now
	var usage []Usage
	for name, cust := range c.customers {
		if u, ok := cust.limit.announce(now, name); ok {
			usage = append(usage, u)
		}
	}
	slices.SortFunc(usage, func(a, b Usage) int { return cmp.Compare(a.Customer, b.Customer) })
	c.prune(now)
	return usage
}

// prune deletes unused state, so that memory follows current traffic.
func (c *Controller) prune(now time.Time) {
	for name, p := range c.pools {
		p.pruneIdleFlows(now)
		if len(p.flows) == 0 && len(p.deadlines) == 0 {
			delete(c.pools, name)
		}
	}
	for unit, at := range c.readyTimes {
		if now.Sub(at) > flowIdleTTL {
			delete(c.readyTimes, unit)
		}
	}
}

// Demand returns the requests that wait on this VM by unit and customer. It includes
// those held for the rate limit, so that their units are loaded in the meantime.
func (c *Controller) Demand(now time.Time) []Demand {
	type key struct{ unit, customer string }
	byKey := map[key]*Demand{}
	for _, p := range c.pools {
		for _, t := range p.deadlines {
			k := key{t.Unit, t.Customer}
			d := byKey[k]
			if d == nil {
				d = &Demand{Unit: t.Unit, Customer: t.Customer, EarliestDeadline: t.Deadline, Priority: t.Priority}
				byKey[k] = d
			}
			d.Waiting++
			d.Priority = max(d.Priority, t.Priority)
			if t.Deadline.Before(d.EarliestDeadline) {
				d.EarliestDeadline = t.Deadline
			}
		}
	}
	demand := make([]Demand, 0, len(byKey))
	for _, d := range byKey {
		demand = append(demand, *d)
	}
	slices.SortFunc(demand, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Unit, b.Unit), cmp.Compare(a.Customer, b.Customer))
	})
	return demand
}
