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
	// useReportTTL is how long digests repeat the last use of a unit. It spans several
	// heartbeats, so that a lost digest does no harm.
	useReportTTL = 3 * time.Second
	// longRequestAge is the age from which every digest reports a running request. It is
	// well below the 40 s after which the planner ignores the request's arrival.
	longRequestAge = 15 * time.Second
	// reportWindowHeartbeats is the number of heartbeats for which digests report an
	// engine's answer to its keeper: two, as one digest may be lost. If both are lost,
	// the other VMs query the engine themselves.
	reportWindowHeartbeats = 2
	// fetchRecordsTimeout limits a request for control records to a peer.
	fetchRecordsTimeout = 2 * time.Second
	// catchUpInterval is the period of the check whether a peer has applied more control
	// records than this VM.
	catchUpInterval = 250 * time.Millisecond
)

var _ entryvm.Handler = (*Node)(nil)

// buildDigest returns the digest of this VM.
func (n *Node) buildDigest() entryvm.Digest {
	now := time.Now()
	applied, _, _ := n.control.Position()
	d := entryvm.Digest{
		VM: n.config.VM, Address: n.config.PeersAddress, Domain: n.config.Domain, Region: n.config.Region,
		Incarnation: n.config.Incarnation, Leaving: n.isStopping() && !n.isSuperseded(), Applied: applied,
		RecentUses: n.recentUses.listRecent(now), LongRunning: n.serving.LongRunningUnits(now, longRequestAge), Refused: n.refusalCounts.dueReport(now, n.config.HeartbeatInterval),
		Expected: n.readyEstimates.report(now, n.lookupReadiness),
		Engines:  n.fleet.Reports(now, reportWindowHeartbeats*n.config.HeartbeatInterval),
	}
	n.planner.RecordRunning(d.LongRunning, now)
	renewal := n.keeper.RenewalRequest()
	d.Session, d.Renewal = uint64(renewal.Session), renewal.Number
	n.serving.WithLockedState(func(a *admission.Controller, r *routing.Router) {
		d.InFlight = r.InFlight()
		for _, demand := range a.Demand(now) {
			if _, isService := cutServicePrefix(demand.Unit); !isService {
				d.Demand = append(d.Demand, peerDemand(now, demand))
			}
		}
		for _, usage := range a.ReportUsage(now) {
			d.Usage = append(d.Usage, entryvm.Usage{
				Customer: usage.Customer, AdmittedRate: usage.AdmittedRate, DemandRate: usage.DemandRate,
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

// cutServicePrefix returns the service name of a plain service's pool and true, or
// false if unit is not the pool of a plain service. Package serving names the pools.
func cutServicePrefix(unit string) (string, bool) { return strings.CutPrefix(unit, "service/") }

// Exchange implements entryvm.Handler.
func (n *Node) Exchange(digests []entryvm.Digest) []entryvm.Digest { return n.gossip.Exchange(digests) }

// Want implements entryvm.Handler.
func (n *Node) Want(from string, demand []entryvm.Demand) {
	n.gossip.ApplyPeerDemand(from, demand)
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

// applyDigests applies the digests of other entry VMs.
func (n *Node) applyDigests(now time.Time, digests []entryvm.Digest) {
	var reports []fleet.PeerReport
	for _, d := range digests {
		for _, report := range d.Engines {
			reports = append(reports, fleet.PeerReport{EngineReport: report, ObservedAt: now.Add(-d.Age - report.Age)})
		}
		if d.Cell == "" {
			n.peerRefusals.applyDigest(now, d)
			n.applyReadyTimes(n.readyEstimates.applyDigest(now, d))
		}
		n.roster.recordSeen(now.Add(-d.Age), d.VM, d.Address)
		for _, use := range d.RecentUses {
			n.planner.RecordRequest(use.Unit, now.Add(-use.Age))
		}
		n.planner.RecordRunning(d.LongRunning, now.Add(-d.Age))
		if len(d.Demand) > 0 {
			n.planner.Wake()
		}
	}
	n.fleet.ApplyReports(reports)
}

// recordUse records a request that arrived at this VM.
func (n *Node) recordUse(unit string, at time.Time) {
	n.recentUses.record(unit, at)
	n.planner.RecordRequest(unit, at)
}

// fleetDemand returns the demand that waits at all live entry VMs.
func (n *Node) fleetDemand() []placement.Demand {
	now := time.Now()
	var out []placement.Demand
	n.serving.WithLockedState(func(a *admission.Controller, _ *routing.Router) {
		for _, d := range a.Demand(now) {
			if _, isService := cutServicePrefix(d.Unit); isService {
				continue
			}
			out = append(out, placement.Demand{
				Unit: d.Unit, Customer: d.Customer, Waiting: d.Waiting, EarliestDeadline: d.EarliestDeadline,
				Priority: d.Priority, Domain: n.config.Domain,
			})
		}
	})
	return append(out, n.gossip.Demand(now)...)
}

// outageDemand returns the units that requests wait for while the log is unreachable,
// and nil while the log is reachable; see keeper.Config.OutageDemand.
func (n *Node) outageDemand() map[string]bool {
	if n.isLogReachable() {
		return nil
	}
	units := make(map[string]bool)
	for _, d := range n.fleetDemand() {
		units[d.Unit] = true
	}
	return units
}

// isLogReachable reports whether the log has answered a read recently.
func (n *Node) isLogReachable() bool {
	_, _, reachedAt := n.control.Position()
	return time.Since(reachedAt) < logReachableTimeout
}

// catchUp fetches control records from peers whenever one of them has applied more.
// A VM cut off from the log thus still gets an accepted configuration within one
// heartbeat and one catchUpInterval.
func (n *Node) catchUp(ctx context.Context) {
	pause.Every(ctx, catchUpInterval, func(ctx context.Context) {
		if address, ok := n.mostAdvancedPeer(); ok {
			n.fetchRecords(ctx, address)
		}
	})
}

// mostAdvancedPeer returns the address of the live peer that has applied the most
// control records, and false if this VM is not behind it.
func (n *Node) mostAdvancedPeer() (string, bool) {
	var maxApplied uint64
	address := ""
	for _, d := range slices.Concat(n.gossip.LiveDigests(), n.gossip.RemoteSums()) {
		if d.Applied > maxApplied {
			maxApplied, address = d.Applied, d.Address
		}
	}
	return address, address != "" && n.control.IsBehind(maxApplied)
}

func (n *Node) fetchRecords(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchRecordsTimeout)
	defer cancel()
	applied, _, _ := n.control.Position()
	records, err := n.config.Peers.EntryVMs.Records(ctx, address, applied+1, 0)
	if err != nil {
		return
	}
	n.control.ApplyPeerRecords(records)
}

// updateAdmission passes the usage of the other entry VMs to admission.
func (n *Node) updateAdmission(ctx context.Context) {
	pause.Every(ctx, n.config.HeartbeatInterval, func(context.Context) {
		usage, reporting := n.peerUsage()
		total := len(n.otherVMAddresses()) + 1
		now := time.Now()
		n.serving.WithLockedState(func(a *admission.Controller, _ *routing.Router) {
			a.SetVMs(total, reporting)
			a.SetPeerUsage(now, usage)
		})
	})
}

func (n *Node) peerUsage() (map[string]admission.PeerUsage, int) {
	sums, reporting := n.gossip.Usage()
	usage := make(map[string]admission.PeerUsage, len(sums))
	for customer, sum := range sums {
		usage[customer] = admission.PeerUsage{AdmittedRate: sum.AdmittedRate, DemandRate: sum.DemandRate, VMs: sum.VMs}
	}
	return usage, reporting
}

// recentUses records the time of the newest request for each unit at this VM, for the
// digests.
type recentUses struct {
	mu       sync.Mutex
	lastUsed map[string]time.Time
}

func newRecentUses() *recentUses { return &recentUses{lastUsed: make(map[string]time.Time)} }

func (u *recentUses) record(unit string, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastUsed[unit] = at
}

func (u *recentUses) listRecent(now time.Time) []entryvm.Use {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []entryvm.Use
	for unit, at := range u.lastUsed {
		if now.Sub(at) > useReportTTL {
			delete(u.lastUsed, unit)
			continue
		}
		out = append(out, entryvm.Use{Unit: unit, Age: now.Sub(at)})
	}
	return out
}
