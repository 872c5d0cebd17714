package node

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"bergamotreel/admission"
	"bergamotreel/entryvm"
	"bergamotreel/internal/fleet"
	"bergamotreel/internal/pause"
	"bergamotreel/placement"
	"bergamotreel/routing"
)

const (
	// useTold is how long a use is told in the digests: several heartbeats, so
	// that a lost one does no harm.
	useTold = 3 * time.Second
	// longRequest is after what time a request that runs is told again and again:
	// well before its arrival counts no more for the planner (40 s).
	longRequest = 15 * time.Second
	// reportHeartbeats is in how many heartbeats an engine's answer to its keeper is
	// told: twice, as one digest may be lost. Where both are, the others ask the
	// engine themselves.
	reportHeartbeats = 2
	// fetchTimeout bounds asking a peer for control records.
	fetchTimeout = 2 * time.Second
	// catchUpEvery is how often this VM looks whether a peer knows more.
	catchUpEvery = 250 * time.Millisecond
)

var _ entryvm.Handler = (*Node)(nil)

// digest is what this VM tells of itself.
func (n *Node) digest() entryvm.Digest {
	now := time.Now()
	applied, _, _ := n.control.Position()
	d := entryvm.Digest{
		VM: n.config.VM, Address: n.config.PeersAddress, Domain: n.config.Domain, Region: n.config.Region,
		Incarnation: n.config.Incarnation, Leaving: n.isStopping() && !n.isConceded(), Applied: applied,
		Used: n.uses.lately(now), Busy: n.serving.LongRunningUnits(now, longRequest), Refused: n.refused.due(now, n.config.Heartbeat),
		Expected: n.expected.telling(now, n.outlook),
		Engines:  n.fleet.Reports(now, reportHeartbeats*n.config.Heartbeat),
	}
	n.planner.RecordRunning(d.Busy, now)
	renewal := n.keeper.RenewalRequest()
	d.Session, d.Renewal = uint64(renewal.Session), renewal.Number
	n.serving.WithLockedState(func(a *admission.Controller, r *routing.Router) {
		d.InFlight = r.InFlight()
		for _, demand := range a.Demand(now) {
			if _, isService := cutService(demand.Unit); !isService {
				d.Demand = append(d.Demand, peerDemand(now, demand))
			}
		}
		for _, usage := range a.ReportUsage(now) {
			d.Usage = append(d.Usage, entryvm.Usage{
				Customer: usage.Customer, Admitted: usage.AdmittedRate, Arrived: usage.DemandRate,
			})
		}
	})
	return d
}

func peerDemand(now time.Time, d admission.Demand) entryvm.Demand {
	return entryvm.Demand{
		Unit: d.Unit, Customer: d.Customer, Waiting: d.Waiting,
		Deadline: d.EarliestDeadline.Sub(now), Priority: d.Priority,
	}
}

// cutService tells the pool of a plain service from a unit; see serving.
func cutService(unit string) (string, bool) { return strings.CutPrefix(unit, "service/") }

// Exchange implements entryvm.Handler.
func (n *Node) Exchange(digests []entryvm.Digest) []entryvm.Digest { return n.gossip.Exchange(digests) }

// Want implements entryvm.Handler.
func (n *Node) Want(from string, demand []entryvm.Demand) {
	n.gossip.Wanted(from, demand)
	n.planner.Wake()
}

// Records implements entryvm.Handler.
func (n *Node) Records(from uint64, wait time.Duration) (entryvm.Records, error) {
	n.control.WaitForRecords(from, wait)
	return n.control.RecordsSince(from)
}

// Claimed implements entryvm.Handler.
func (n *Node) Claimed(query entryvm.ClaimQuery) entryvm.ClaimReply { return n.claims.Claimed(query) }

// Claim implements entryvm.Handler.
func (n *Node) Claim(call entryvm.ClaimCall) entryvm.ClaimResult { return n.claims.Claim(call) }

// Settle implements entryvm.Handler.
func (n *Node) Settle(call entryvm.ClaimCall) (stored bool) { return n.claims.Settle(call) }

// heard takes in the digests of others.
func (n *Node) heard(now time.Time, digests []entryvm.Digest) {
	var words []fleet.Word
	for _, d := range digests {
		for _, report := range d.Engines {
			words = append(words, fleet.Word{EngineReport: report, At: now.Add(-d.Age - report.Ago)})
		}
		if d.Cell == "" {
			n.peerRefused.saw(now, d)
			n.takeExpected(n.expected.heard(now, d))
		}
		n.roster.saw(now.Add(-d.Age), d.VM, d.Address)
		for _, use := range d.Used {
			n.planner.RecordRequest(use.Unit, now.Add(-use.Ago))
		}
		n.planner.RecordRunning(d.Busy, now.Add(-d.Age))
		if len(d.Demand) > 0 {
			n.planner.Wake()
		}
	}
	n.fleet.Told(words)
}

// use notes a request here.
func (n *Node) use(unit string, at time.Time) {
	n.uses.add(unit, at)
	n.planner.RecordRequest(unit, at)
}

// demand is what waits at all live entry VMs.
func (n *Node) demand() []placement.Demand {
	now := time.Now()
	var out []placement.Demand
	n.serving.WithLockedState(func(a *admission.Controller, _ *routing.Router) {
		for _, d := range a.Demand(now) {
			if _, isService := cutService(d.Unit); isService {
				continue
			}
			out = append(out, placement.Demand{
				Unit: d.Unit, Customer: d.Customer, Waiting: d.Waiting, Deadline: d.EarliestDeadline,
				Priority: d.Priority, Domain: n.config.Domain,
			})
		}
	})
	return append(out, n.gossip.Demand(now)...)
}

// stranded are the units that requests wait for while the log is out of reach,
// nil while it answers; see keeper.Config.
func (n *Node) stranded() map[string]bool {
	if n.logAnswers() {
		return nil
	}
	units := make(map[string]bool)
	for _, d := range n.demand() {
		units[d.Unit] = true
	}
	return units
}

// logAnswers tells whether the log has answered a read lately.
func (n *Node) logAnswers() bool {
	_, _, reachedAt := n.control.Position()
	return time.Since(reachedAt) < logReachableFor
}

// catchUp follows the control stream through peers whenever one of them knows
// more: a VM cut off from the log still gets an accepted configuration within a
// heartbeat and this tick.
func (n *Node) catchUp(ctx context.Context) {
	pause.Every(ctx, catchUpEvery, func(ctx context.Context) {
		if address, ok := n.peerAhead(); ok {
			n.fetch(ctx, address)
		}
	})
}

// peerAhead is the live peer that has folded most, if that is more than here.
func (n *Node) peerAhead() (string, bool) {
	var most uint64
	address := ""
	for _, d := range slices.Concat(n.gossip.Live(), n.gossip.Far()) {
		if d.Applied > most {
			most, address = d.Applied, d.Address
		}
	}
	return address, address != "" && n.control.IsBehind(most)
}

func (n *Node) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	applied, _, _ := n.control.Position()
	records, err := n.config.Peers.EntryVMs.Records(ctx, address, applied+1, 0)
	if err != nil {
		return
	}
	n.control.ApplyPeerRecords(records)
}

// tellAdmission gives admission the usage of the other entry VMs.
func (n *Node) tellAdmission(ctx context.Context) {
	pause.Every(ctx, n.config.Heartbeat, func(context.Context) {
		usage, heard := n.peerUsage()
		listed := len(n.otherVMs()) + 1
		now := time.Now()
		n.serving.WithLockedState(func(a *admission.Controller, _ *routing.Router) {
			a.SetVMs(listed, heard)
			a.SetPeerUsage(now, usage)
		})
	})
}

func (n *Node) peerUsage() (map[string]admission.PeerUsage, int) {
	sums, heard := n.gossip.Usage()
	usage := make(map[string]admission.PeerUsage, len(sums))
	for customer, sum := range sums {
		usage[customer] = admission.PeerUsage{AdmittedRate: sum.Admitted, DemandRate: sum.Arrived, VMs: sum.VMs}
	}
	return usage, heard
}

// uses remembers the newest request for each unit here for the digests.
type uses struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func newUses() *uses { return &uses{last: make(map[string]time.Time)} }

func (u *uses) add(unit string, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.last[unit] = at
}

func (u *uses) lately(now time.Time) []entryvm.Use {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []entryvm.Use
	for unit, at := range u.last {
		if now.Sub(at) > useTold {
			delete(u.last, unit)
			continue
		}
		out = append(out, entryvm.Use{Unit: unit, Ago: now.Sub(at)})
	}
	return out
}
