package gossip

import (
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
// for each candidate of each look, under its lock; copying the table each time
// took longer than all else.
type view struct {
	// at is when it was made, until when a VM in it falls silent.
	at, until time.Time
	live      []entryvm.Digest
	// incarnations are the live VMs' newest starts, by VM.
	incarnations map[string]string
	inFlight     map[string]int
	usage        map[string]Usage
}

// seen returns the view of now.
func (g *Gossip) seen(now time.Time) *view {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view == nil || !now.Before(g.view.until) {
		g.view = newView(now, g.config.HeardFor, g.table.Live(now))
	}
	return g.view
}

func newView(now time.Time, heardFor time.Duration, live []entryvm.Digest) *view {
	v := &view{
		at: now, until: now.Add(heardFor), live: live, incarnations: make(map[string]string),
		inFlight: make(map[string]int), usage: make(map[string]Usage),
	}
	for _, d := range live {
		if silent := v.made(d).Add(heardFor); silent.Before(v.until) {
			v.until = silent
		}
		v.incarnations[d.VM] = d.Incarnation
		for engine, n := range d.InFlight {
			v.inFlight[engine] += n
		}
		for _, u := range d.Usage {
			sum := v.usage[u.Customer]
			sum.Admitted += u.Admitted
			sum.Arrived += u.Arrived
			sum.VMs++
			v.usage[u.Customer] = sum
		}
	}
	return v
}

// made is when a digest of the view was made.
func (v *view) made(d entryvm.Digest) time.Time { return v.at.Add(-d.Age) }

// Live returns the digests of the other VMs that are heard, sorted by VM. They
// are shared: readers must not change them.
func (g *Gossip) Live() []entryvm.Digest { return g.seen(time.Now()).live }

// InFlight counts the running requests of the other live VMs on an engine.
func (g *Gossip) InFlight(engine string) int { return g.seen(time.Now()).inFlight[engine] }

// Usage is the traffic of each customer at the other live VMs, and how many
// those are. The map is shared: readers must not change it.
func (g *Gossip) Usage() (map[string]Usage, int) {
	v := g.seen(time.Now())
	return v.usage, len(v.live)
}

// All returns the newest digest of each other VM that is remembered, live or
// not, sorted by VM.
func (g *Gossip) All() []Heard {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.All()
}

// Address is where a live VM serves its peers.
func (g *Gossip) Address(vm string) (string, bool) {
	for _, d := range g.seen(time.Now()).live {
		if d.VM == vm {
			return d.Address, true
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

// Demand is what waits at the other live VMs. Want tells only the demand that is
// missing, so of each unit the newer word counts.
func (g *Gossip) Demand(now time.Time) []placement.Demand {
	v := g.seen(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []placement.Demand
	for _, d := range v.live {
		w := g.wanted[d.VM]
		made := v.made(d)
		told := make(map[string]bool)
		if w.at.After(made) && now.Sub(w.at) < wantedFor {
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
	}
	return out
}

func demand(d entryvm.Demand, at time.Time, domain string) placement.Demand {
	return placement.Demand{
		Unit: d.Unit, Customer: d.Customer, Waiting: d.Waiting,
		Deadline: at.Add(d.Deadline), Priority: d.Priority, Domain: domain,
	}
}
