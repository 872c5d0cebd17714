package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// surplusWindow is the time constant of the traffic that fair shares are judged
// by. A bystander's few requests vary by several times within a second, and a
// burst is still told from them within two.
const surplusWindow = 5 * time.Second

// SetVMs tells how many entry VMs are live by the VM list, this one included,
// and of how many others a digest came within the last seconds. A live VM that
// is not heard keeps its even share of every limit: it may be cut off and
// serving. So a cut-off part of the VMs admits its part of each limit, and all
// parts together never more than the whole.
func (c *Controller) SetVMs(live, heard int) {
	heard = max(heard, 0)
	c.fleet = fleet{live: max(live, heard+1), heard: heard}
}

// SetPeers gives the usage of the other entry VMs; customers that are left out
// are idle there. Call it several times a second, also where there are no others:
// it judges the fair shares anew.
func (c *Controller) SetPeerUsage(now time.Time, usage map[string]PeerUsage) {
	c.lastNow = now
	kept := math.Exp(-max(0, now.Sub(c.peersAt).Seconds()) / surplusWindow.Seconds())
	c.peersAt = now
	clear(c.rates)
	for name, known := range c.customers {
		known.limit.peers = usage[name]
		newest := known.limit.admitted.Rate(now, UsageWindow) + usage[name].AdmittedRate
		known.rate = newest + kept*(known.rate-newest)
		if known.rate < usageFloor {
			known.rate = 0
			continue
		}
		for _, p := range known.pools {
			sum := c.rates[p]
			sum.sum += known.rate
			sum.weight += known.weight()
			sum.peak = max(sum.peak, known.rate/known.weight())
			c.rates[p] = sum
		}
	}
	c.releaseAll(now)
}

// fleetAt is the fleet as it must be taken now: with no news for PeersStale,
// none of the others is heard.
func (c *Controller) fleetAt(now time.Time) fleet {
	if now.Sub(c.peersAt) > c.cfg.PeerUsageTTL {
		return fleet{live: c.fleet.live}
	}
	return c.fleet
}

// Usage is the traffic of each customer here, for the digest to the others.
// Customers without traffic are left out. Call it once for each digest.
func (c *Controller) ReportUsage(now time.Time) []Usage {
	c.lastNow = now
	var usage []Usage
	for name, known := range c.customers {
		if u, ok := known.limit.announce(now, name); ok {
			usage = append(usage, u)
		}
	}
	slices.SortFunc(usage, func(a, b Usage) int { return cmp.Compare(a.Customer, b.Customer) })
	c.prune(now)
	return usage
}

// prune forgets what is of no more use, so that state follows present traffic.
func (c *Controller) prune(now time.Time) {
	for name, p := range c.pools {
		p.prune(now)
		if len(p.flows) == 0 && len(p.deadlines) == 0 {
			delete(c.pools, name)
		}
	}
	for unit, at := range c.expected {
		if now.Sub(at) > flowIdle {
			delete(c.expected, unit)
		}
	}
}

// Demand is what waits here, by unit and customer, those held for the rate
// included: their units should load meanwhile.
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
