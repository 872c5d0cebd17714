package gossip

import (
	"slices"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/placement"
)

// wantedFor is how long a demand told by Want counts: until well after the next
// digest of its sender.
const wantedFor = 2 * time.Second

// wanted is demand that a VM told beside its digests.
type wanted struct {
	demand []entryvm.Demand
	at     time.Time
}

// Usage is one customer's traffic over several entry VMs.
type Usage struct {
	// Admitted and Arrived are requests a second.
	Admitted, Arrived float64
	// VMs is how many of them told traffic.
	VMs int
}

// view is what the digests of the live VMs say, added up. It is made once per
// change and never changed, so that readers need no copy. Failure: the queue asks
// for each candidate of each look, under its lock, and each time all digests were
// copied.
type view struct {
	// at is when it was made, until when a VM in it falls silent.
	at, until time.Time
	live      []entryvm.Digest
	// far are sums of all that this VM does not hear itself, none in a small
	// fleet; knowledge is what they were chosen from. fleet is nil before the
	// first heartbeat.
	far       []entryvm.Digest
	knowledge knowledge
	fleet     *fleet
	present   []Peer
	inFlight  map[string]int
	usage     map[string]Usage
	// vms is how many VMs near and far tell.
	vms int
}

// seen returns the view of now.
func (g *Gossip) seen(now time.Time) *view {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view == nil || !now.Before(g.view.until) {
		g.view = newView(now, g.config.HeardFor, g.table.Live(now), g.table.Sums(now), g.fleet)
	}
	return g.view
}

func newView(now time.Time, heardFor time.Duration, live, sums []entryvm.Digest, f *fleet) *view {
	v := &view{
		at: now, until: now.Add(heardFor), live: live, fleet: f,
		inFlight: make(map[string]int), usage: make(map[string]Usage),
	}
	counted := live
	if f != nil && !f.cut.Flat() {
		v.knowledge = f.knowledge(live, sums)
		v.far = v.knowledge.outsideGroup()
		counted = slices.Concat(v.knowledge.near, v.far)
	}
	for _, d := range slices.Concat(live, sums) {
		if silent := v.made(d).Add(heardFor); silent.Before(v.until) {
			v.until = silent
		}
	}
	for _, d := range counted {
		v.add(d)
	}
	v.findPresent()
	return v
}

// add adds a digest or a sum.
func (v *view) add(d entryvm.Digest) {
	v.vms += max(d.VMs, 1)
	for engine, n := range d.InFlight {
		v.inFlight[engine] += n
	}
	for _, u := range d.Usage {
		sum := v.usage[u.Customer]
		sum.Admitted += u.AdmittedRate
		sum.Arrived += u.DemandRate
		sum.VMs += max(d.VMs, 1)
		v.usage[u.Customer] = sum
	}
}

// made is when a digest of the view was made.
func (v *view) made(d entryvm.Digest) time.Time { return v.at.Add(-d.Age) }

// Live returns the digests of the other VMs that are heard, sorted by VM. They
// are shared: readers must not change them.
func (g *Gossip) Live() []entryvm.Digest { return g.seen(time.Now()).live }

// InFlight counts the running requests of the other live VMs on an engine.
func (g *Gossip) InFlight(engine string) int { return g.seen(time.Now()).inFlight[engine] }

// AllInFlight is InFlight of all engines that have any. The map is shared: readers
// must not change it.
func (g *Gossip) AllInFlight() map[string]int { return g.seen(time.Now()).inFlight }

// VMs is how many other VMs this one hears, itself or in sums.
func (g *Gossip) VMs() int { return g.seen(time.Now()).vms }

// Large tells whether the fleet is cut into groups: this VM then hears the
// digests of its own group only.
func (g *Gossip) Large() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet != nil && !g.fleet.cut.Flat()
}

// Far returns the sums of all VMs that this one does not hear itself; none in a
// small fleet. They are shared.
func (g *Gossip) Far() []entryvm.Digest { return g.seen(time.Now()).far }

// Usage is the traffic of each customer at the other live VMs, and how many
// those are. The map is shared: readers must not change it.
func (g *Gossip) Usage() (map[string]Usage, int) {
	v := g.seen(time.Now())
	return v.usage, v.vms
}

// All returns the newest digest of each other VM that is remembered, live or
// not, sorted by VM.
func (g *Gossip) All() []Heard {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.All()
}

// Address is where a VM that is live, or listed, serves its peers.
func (g *Gossip) Address(vm string) (string, bool) {
	for _, d := range g.seen(time.Now()).live {
		if d.VM == vm {
			return d.Address, true
		}
	}
	for _, listed := range g.config.Listed() {
		if listed.ID == vm {
			return listed.Address, true
		}
	}
	return "", false
}

// Wanted takes demand that a peer told at once.
func (g *Gossip) Wanted(from string, demand []entryvm.Demand) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for vm, w := range g.wanted {
		if now.Sub(w.at) >= wantedFor {
			delete(g.wanted, vm)
		}
	}
	g.wanted[from] = wanted{demand: demand, at: now}
}

// unitCustomer is what demand is compared by.
type unitCustomer struct{ unit, customer string }

// Demand is what waits at the other live VMs. Want tells only the demand that is
// missing, so of each unit the newer word counts.
func (g *Gossip) Demand(now time.Time) []placement.Demand {
	v := g.seen(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []placement.Demand
	heard := make(map[string]bool)
	for _, d := range v.live {
		heard[d.VM] = true
		if v.fleet == nil || v.fleet.cut.Flat() || v.fleet.group[d.VM] {
			out = append(out, g.demandOf(now, d, v.made(d))...)
		}
	}
	return append(out, g.farDemand(now, v, heard)...)
}

// demandOf is what waits at a VM that is heard. Call with mu held.
func (g *Gossip) demandOf(now time.Time, d entryvm.Digest, made time.Time) []placement.Demand {
	var out []placement.Demand
	told := make(map[string]bool)
	if w := g.wanted[d.VM]; w.at.After(made) && now.Sub(w.at) < wantedFor {
		for _, one := range w.demand {
			told[one.Unit] = true
			out = append(out, demand(one, w.at, d.Domain))
		}
	}
	for _, one := range d.Demand {
		if !told[one.Unit] {
			out = append(out, demand(one, made, d.Domain))
		}
	}
	return out
}

// farDemand is what waits at VMs that are not heard. A sum holds what such a VM
// told by Want as well, so of both the one with more waiting counts. Call with
// mu held.
func (g *Gossip) farDemand(now time.Time, v *view, heard map[string]bool) []placement.Demand {
	wanted, waiting := make(map[unitCustomer][]placement.Demand), make(map[unitCustomer]int)
	for vm, w := range g.wanted {
		if heard[vm] || now.Sub(w.at) >= wantedFor || len(v.far) == 0 {
			continue
		}
		for _, one := range w.demand {
			key := unitCustomer{one.Unit, one.Customer}
			wanted[key] = append(wanted[key], demand(one, w.at, g.domainOf(vm)))
			waiting[key] += one.Waiting
		}
	}
	summed, sums := make(map[unitCustomer][]placement.Demand), make(map[unitCustomer]int)
	for _, d := range v.far {
		for _, one := range d.Demand {
			key := unitCustomer{one.Unit, one.Customer}
			summed[key] = append(summed[key], demand(one, v.made(d), d.Domain))
			sums[key] += one.Waiting
		}
	}
	var out []placement.Demand
	for key, told := range wanted {
		if waiting[key] >= sums[key] {
			delete(summed, key)
			out = append(out, told...)
		}
	}
	for _, told := range summed {
		out = append(out, told...)
	}
	return out
}

func (g *Gossip) domainOf(vm string) string {
	for _, listed := range g.config.Listed() {
		if listed.ID == vm {
			return listed.Domain
		}
	}
	return ""
}

func demand(d entryvm.Demand, at time.Time, domain string) placement.Demand {
	return placement.Demand{
		Unit: d.Unit, Customer: d.Customer, Waiting: d.Waiting,
		Deadline: at.Add(d.Deadline), Priority: d.Priority, Domain: domain,
	}
}
