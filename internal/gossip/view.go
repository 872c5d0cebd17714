package gossip

import (
	"slices"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/placement"
)

// peerDemandTTL is how long demand received by the Want call (entryvm.Client.Want)
// counts: until well after the next digest of its sender.
const peerDemandTTL = 2 * time.Second

// peerDemand is demand that a VM sent outside its digests, by a Want call.
type peerDemand struct {
	demand     []entryvm.Demand
	receivedAt time.Time
}

// Usage is one customer's traffic summed over several entry VMs.
type Usage struct {
	// AdmittedRate and DemandRate are in requests per second.
	AdmittedRate, DemandRate float64
	// VMs is the number of VMs that reported traffic of the customer.
	VMs int
}

// view aggregates the digests of the live VMs. It is built once per change and then
// immutable, so that readers need no copy: the queue reads it under its lock for
// each candidate that it considers, and copying all digests each time is too costly.
type view struct {
	// createdAt is when the view was built; at validUntil the first of its digests
	// or sums expires.
	createdAt, validUntil time.Time
	live                  []entryvm.Digest
	// remoteSums cover all VMs whose digests this VM does not receive itself, none in
	// a small fleet; they are selected from scoped. membership is nil before the first
	// heartbeat.
	remoteSums  []entryvm.Digest
	scoped      scopedDigests
	membership  *membership
	activePeers []Peer
	inFlight    map[string]int
	usage       map[string]Usage
	// vmCount is the number of VMs that the digests and remote sums cover.
	vmCount int
}

// currentView returns the view at now and rebuilds it if it is outdated.
func (g *Gossip) currentView(now time.Time) *view {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view == nil || !now.Before(g.view.validUntil) {
		g.view = newView(now, g.config.PeerTimeout, g.table.Live(now), g.table.Sums(now), g.membership)
	}
	return g.view
}

func newView(now time.Time, peerTimeout time.Duration, live, sums []entryvm.Digest, m *membership) *view {
	v := &view{
		createdAt: now, validUntil: now.Add(peerTimeout), live: live, membership: m,
		inFlight: make(map[string]int), usage: make(map[string]Usage),
	}
	counted := live
	if m != nil && !m.cells.IsFlat() {
		v.scoped = m.scopeDigests(live, sums)
		v.remoteSums = v.scoped.outsideGroup()
		counted = slices.Concat(v.scoped.groupDigests, v.remoteSums)
	}
	for _, d := range slices.Concat(live, sums) {
		if expiry := v.digestTime(d).Add(peerTimeout); expiry.Before(v.validUntil) {
			v.validUntil = expiry
		}
	}
	for _, d := range counted {
		v.add(d)
	}
	v.findActivePeers()
	return v
}

// add adds the figures of a digest or a sum to the view's totals.
func (v *view) add(d entryvm.Digest) {
	v.vmCount += max(d.VMs, 1)
	for engine, n := range d.InFlight {
		v.inFlight[engine] += n
	}
	for _, u := range d.Usage {
		sum := v.usage[u.Customer]
		sum.AdmittedRate += u.AdmittedRate
		sum.DemandRate += u.DemandRate
		sum.VMs += max(d.VMs, 1)
		v.usage[u.Customer] = sum
	}
}

// digestTime returns when a digest of the view was made.
func (v *view) digestTime(d entryvm.Digest) time.Time { return v.createdAt.Add(-d.Age) }

// LiveDigests returns the own digests of the other live VMs that reach this one,
// sorted by VM. They are shared: callers must not change them.
func (g *Gossip) LiveDigests() []entryvm.Digest { return g.currentView(time.Now()).live }

// InFlight returns the number of requests that the other live VMs have in flight on
// an engine.
func (g *Gossip) InFlight(engine string) int { return g.currentView(time.Now()).inFlight[engine] }

// AllInFlight returns InFlight for all engines that have any. The map is shared:
// callers must not change it.
func (g *Gossip) AllInFlight() map[string]int { return g.currentView(time.Now()).inFlight }

// KnownVMCount returns the number of other VMs that the received digests and sums
// cover.
func (g *Gossip) KnownVMCount() int { return g.currentView(time.Now()).vmCount }

// HasGroups reports whether the fleet is divided into groups: this VM then receives
// the digests of its own group only.
func (g *Gossip) HasGroups() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership != nil && !g.membership.cells.IsFlat()
}

// RemoteSums returns sums that cover all VMs whose digests this one does not receive
// itself; none in a small fleet. They are shared: callers must not change them.
func (g *Gossip) RemoteSums() []entryvm.Digest { return g.currentView(time.Now()).remoteSums }

// Usage returns the traffic of each customer at the other live VMs, and the number
// of those VMs. The map is shared: callers must not change it.
func (g *Gossip) Usage() (map[string]Usage, int) {
	v := g.currentView(time.Now())
	return v.usage, v.vmCount
}

// StoredDigests returns the newest stored digest of each other VM, live or not,
// sorted by VM.
func (g *Gossip) StoredDigests() []StoredDigest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.All()
}

// Address returns the address at which a live or listed VM serves its peers.
func (g *Gossip) Address(vm string) (string, bool) {
	for _, d := range g.currentView(time.Now()).live {
		if d.VM == vm {
			return d.Address, true
		}
	}
	for _, listed := range g.config.ListedVMs() {
		if listed.ID == vm {
			return listed.Address, true
		}
	}
	return "", false
}

// ApplyPeerDemand stores demand that a peer sent by a Want call, ahead of its next
// digest.
func (g *Gossip) ApplyPeerDemand(from string, demand []entryvm.Demand) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for vm, w := range g.peerDemand {
		if now.Sub(w.receivedAt) >= peerDemandTTL {
			delete(g.peerDemand, vm)
		}
	}
	g.peerDemand[from] = peerDemand{demand: demand, receivedAt: now}
}

// demandKey identifies the demand of one customer for one unit.
type demandKey struct{ unit, customer string }

// Demand returns the demand that waits at the other live VMs. A Want call carries only
// the demand for units that are missing, so for each unit the newer of Want call and
// digest counts.
func (g *Gossip) Demand(now time.Time) []placement.Demand {
	v := g.currentView(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []placement.Demand
	liveVMs := make(map[string]bool)
	for _, d := range v.live {
		liveVMs[d.VM] = true
		if v.membership == nil || v.membership.cells.IsFlat() || v.membership.groupVMs[d.VM] {
			out = append(out, g.liveDemand(now, d, v.digestTime(d))...)
		}
	}
	return append(out, g.remoteDemand(now, v, liveVMs)...)
}

// liveDemand returns the demand that waits at a VM whose own digest is live. The
// caller holds mu.
func (g *Gossip) liveDemand(now time.Time, d entryvm.Digest, madeAt time.Time) []placement.Demand {
	var out []placement.Demand
	receivedUnits := make(map[string]bool)
	if w := g.peerDemand[d.VM]; w.receivedAt.After(madeAt) && now.Sub(w.receivedAt) < peerDemandTTL {
		for _, one := range w.demand {
			receivedUnits[one.Unit] = true
			out = append(out, toPlacementDemand(one, w.receivedAt, d.Domain))
		}
	}
	for _, one := range d.Demand {
		if !receivedUnits[one.Unit] {
			out = append(out, toPlacementDemand(one, madeAt, d.Domain))
		}
	}
	return out
}

// remoteDemand returns the demand that waits at VMs without a live digest of their
// own. A sum includes what such a VM sent by a Want call as well, so per unit and
// customer only the one of the two with more waiting requests counts. The caller holds mu.
func (g *Gossip) remoteDemand(now time.Time, v *view, liveVMs map[string]bool) []placement.Demand {
	direct, directWaiting := make(map[demandKey][]placement.Demand), make(map[demandKey]int)
	for vm, w := range g.peerDemand {
		if liveVMs[vm] || now.Sub(w.receivedAt) >= peerDemandTTL || len(v.remoteSums) == 0 {
			continue
		}
		for _, one := range w.demand {
			key := demandKey{one.Unit, one.Customer}
			direct[key] = append(direct[key], toPlacementDemand(one, w.receivedAt, g.listedDomain(vm)))
			directWaiting[key] += one.Waiting
		}
	}
	summed, summedWaiting := make(map[demandKey][]placement.Demand), make(map[demandKey]int)
	for _, d := range v.remoteSums {
		for _, one := range d.Demand {
			key := demandKey{one.Unit, one.Customer}
			summed[key] = append(summed[key], toPlacementDemand(one, v.digestTime(d), d.Domain))
			summedWaiting[key] += one.Waiting
		}
	}
	var out []placement.Demand
	for key, entries := range direct {
		if directWaiting[key] >= summedWaiting[key] {
			delete(summed, key)
			out = append(out, entries...)
		}
	}
	for _, entries := range summed {
		out = append(out, entries...)
	}
	return out
}

// listedDomain returns the domain of a VM on the VM list, "" if it is not listed.
func (g *Gossip) listedDomain(vm string) string {
	for _, listed := range g.config.ListedVMs() {
		if listed.ID == vm {
			return listed.Domain
		}
	}
	return ""
}

// toPlacementDemand converts demand received at the given time to the planner's form.
func toPlacementDemand(d entryvm.Demand, at time.Time, domain string) placement.Demand {
	return placement.Demand{
		Unit: d.Unit, Customer: d.Customer, Waiting: d.Waiting,
		EarliestDeadline: at.Add(d.Deadline), Priority: d.Priority, Domain: domain,
	}
}
