package node

import (
	"context"
	"time"

	"bergamotreel/admission"
	"bergamotreel/entryvm"
	"bergamotreel/internal/fleet"
	"bergamotreel/refusal"
	"bergamotreel/routing"
	"bergamotreel/state"
	"bergamotreel/vmlist"
)

const (
	// statusTTL is the age up to which an engine's last status qualifies it for new
	// work. It allows for three lost queries at the idle polling interval. The router's
	// circuit breaker detects a dead engine earlier.
	statusTTL = 6 * time.Second
	// This VM queries an engine itself once its keeper's report is older than the
	// keeper's polling interval plus keeperReportGraceHeartbeats, and at the latest
	// after maxKeeperReportTTL, which is well before the engine would get no new work.
	keeperReportGraceHeartbeats = 2
	maxKeeperReportTTL          = 5 * time.Second
	// serviceSlots limits the concurrent calls from one entry VM to one backend server
	// of a plain service, which reports no load.
	serviceSlots = 256
	// outageRetryAfter is the Retry-After of requests that need the log while it is
	// unreachable.
	outageRetryAfter = 5 * time.Second
	// sendTimeout limits a call that sends demand or histories to another VM.
	sendTimeout = time.Second
)

// Candidates implements serving.Directory. It returns the engines that have a right
// to the unit that is not withdrawn; units that engines report without a right are
// ignored.
func (n *Node) Candidates(unit string) []routing.Candidate {
	var addresses []string
	base := ""
	n.control.View(func(s *state.State) {
		for _, held := range s.RightsToUnit(unit) {
			if right := held.Right; right.Withdrawn == 0 {
				addresses = append(addresses, held.Engine.Name)
				base = right.Base
			}
		}
	})
	now := time.Now()
	out := make([]routing.Candidate, 0, len(addresses))
	for _, address := range addresses {
		if e, ok := n.fleet.LookupForRequest(address, now); ok {
			out = append(out, n.newCandidate(now, e, unit, base))
		}
	}
	return out
}

func (n *Node) newCandidate(now time.Time, e fleet.Engine, unit, base string) routing.Candidate {
	ready := e.HasReadyUnit(unit) && (base == "" || e.HasReadyUnit(base)) && now.Sub(e.SeenAt) < statusTTL
	return routing.Candidate{
		Engine: e.VM.Address, Domain: e.VM.Domain, Slots: e.Status.Slots,
		Ready: ready, Leaving: e.IsLeaving(), Role: string(e.Status.Role),
		LoadKnown: !e.SeenAt.IsZero(), Running: e.Status.Load.Running, Queued: e.Status.Load.Queued,
		LoadReportedAt: e.SeenAt, PeersInFlight: n.gossip.InFlight(e.VM.Address),
	}
}

// Servers implements serving.Directory.
func (n *Node) Servers(service string) []routing.Candidate {
	var out []routing.Candidate
	for _, vm := range n.fleet.VMs(vmlist.KindService) {
		if vm.Service != service {
			continue
		}
		out = append(out, routing.Candidate{
			Engine: vm.Address, Domain: vm.Domain, Slots: serviceSlots, Ready: true, Leaving: vm.Leaving,
		})
	}
	return out
}

// UnavailableRefusal implements serving.Directory. While the log is unreachable, no engine can
// be granted the right to load a unit, but a reachable engine that already has the
// right may still load it. Plain services need no right.
func (n *Node) UnavailableRefusal(unit string) *refusal.Refusal {
	if _, isService := cutServicePrefix(unit); isService || n.isLogReachable() {
		return nil
	}
	now := time.Now()
	for _, c := range n.Candidates(unit) {
		if e, ok := n.fleet.Engine(c.Engine); ok && e.Reachable && now.Sub(e.SeenAt) < statusTTL {
			return nil
		}
	}
	return refusal.New(refusal.CodeNoCapacity, outageRetryAfter,
		"%s is not loaded, and nothing new can be loaded while the platform's log is out of reach", unit)
}

// RequestStatus implements serving.Directory.
func (n *Node) RequestStatus(engine string) { n.fleet.PollFrequently(engine) }

// ReportMissing implements serving.Directory. It sends the demand to the planner of each
// unit at once, since the next digest may be a heartbeat away.
func (n *Node) ReportMissing(demand []admission.Demand) {
	now := time.Now()
	remoteDemand := make(map[string][]entryvm.Demand)
	for _, d := range demand {
		if _, isService := cutServicePrefix(d.Unit); isService {
			continue
		}
		if planner := n.planners.currentPlannerOf(d.Unit); planner != n.config.VM {
			remoteDemand[planner] = append(remoteDemand[planner], peerDemand(now, d))
		}
	}
	n.planner.Wake()
	for vm, unitDemand := range remoteDemand {
		go n.sendDemand(vm, unitDemand)
	}
}

func (n *Node) sendDemand(vm string, demand []entryvm.Demand) {
	address, ok := n.gossip.Address(vm)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	_ = n.config.Peers.EntryVMs.Want(ctx, address, n.config.VM, demand)
}

// runningRequests returns the number of requests of all entry VMs on each engine.
func (n *Node) runningRequests() map[string]int {
	var all map[string]int
	n.serving.WithLockedState(func(_ *admission.Controller, r *routing.Router) { all = r.InFlight() })
	for engine, count := range n.gossip.AllInFlight() {
		all[engine] += count
	}
	return all
}

func (n *Node) unavailableEngines() map[string]bool {
	var unavailable map[string]bool
	n.serving.WithLockedState(func(_ *admission.Controller, r *routing.Router) { unavailable = r.UnavailableEngines(time.Now()) })
	return unavailable
}
