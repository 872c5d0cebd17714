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
	// freshFor is how old an engine's newest status may be for it to get new
	// work: three questions of the slow kind were lost. An engine that died is
	// noticed earlier, by the router's breaker.
	freshFor = 6 * time.Second
	// An engine is asked by this VM itself once its keeper's word is older than the
	// keeper's pause and trustHeartbeats, but at the latest after maxTrust: well
	// before the engine would get no new work.
	trustHeartbeats = 2
	maxTrust        = 5 * time.Second
	// serviceSlots bounds the calls of one entry VM on one plain service's
	// backend server, which has no load report.
	serviceSlots = 256
	// comeBackAfterOutage is when to come back for what the log is needed for.
	comeBackAfterOutage = 5 * time.Second
	// wantTimeout bounds telling a planner what waits here.
	wantTimeout = time.Second
)

// Candidates implements serving.Directory: engines whose right to hold the unit
// stands, whatever engine reports hold beside that.
func (n *Node) Candidates(unit string) []routing.Candidate {
	var held []string
	base := ""
	n.control.View(func(s *state.State) {
		for _, holding := range s.Replicas(unit) {
			if right := holding.Right; right.Withdrawn == 0 {
				held = append(held, holding.Engine.Name)
				base = right.Base
			}
		}
	})
	now := time.Now()
	out := make([]routing.Candidate, 0, len(held))
	for _, address := range held {
		if e, ok := n.fleet.Use(address, now); ok {
			out = append(out, n.candidate(now, e, unit, base))
		}
	}
	return out
}

func (n *Node) candidate(now time.Time, e fleet.Engine, unit, base string) routing.Candidate {
	ready := e.Holds(unit) && (base == "" || e.Holds(base)) && now.Sub(e.SeenAt) < freshFor
	return routing.Candidate{
		Engine: e.VM.Address, Domain: e.VM.Domain, Slots: e.Status.Slots,
		Ready: ready, Leaving: e.Leaving(), Role: string(e.Status.Role),
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

// UnavailableRefusal implements serving.Directory: without the log no engine can be given
// the right to load a unit. What stands on an engine that is heard may still be
// loaded there. Plain services need no right.
func (n *Node) UnavailableRefusal(unit string) *refusal.Refusal {
	if _, isService := cutService(unit); isService || n.logAnswers() {
		return nil
	}
	now := time.Now()
	for _, c := range n.Candidates(unit) {
		if e, ok := n.fleet.Engine(c.Engine); ok && e.Reachable && now.Sub(e.SeenAt) < freshFor {
			return nil
		}
	}
	return refusal.New(refusal.CodeNoCapacity, comeBackAfterOutage,
		"%s is not loaded, and nothing new can be loaded while the platform's log is out of reach", unit)
}

// RequestStatus implements serving.Directory.
func (n *Node) RequestStatus(engine string) { n.fleet.Interest(engine) }

// ReportMissing implements serving.Directory: the planner of each unit is told at
// once, since the next digest would come up to a heartbeat later.
func (n *Node) ReportMissing(demand []admission.Demand) {
	now := time.Now()
	elsewhere := make(map[string][]entryvm.Demand)
	for _, d := range demand {
		if _, isService := cutService(d.Unit); isService {
			continue
		}
		if planner := n.shares.planner(d.Unit); planner != n.config.VM {
			elsewhere[planner] = append(elsewhere[planner], peerDemand(now, d))
		}
	}
	n.planner.Wake()
	for vm, wanted := range elsewhere {
		go n.want(vm, wanted)
	}
}

func (n *Node) want(vm string, wanted []entryvm.Demand) {
	address, ok := n.gossip.Address(vm)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), wantTimeout)
	defer cancel()
	_ = n.config.Peers.EntryVMs.Want(ctx, address, n.config.VM, wanted)
}

// running counts the requests on each engine over all entry VMs.
func (n *Node) running() map[string]int {
	var all map[string]int
	n.serving.WithLockedState(func(_ *admission.Controller, r *routing.Router) { all = r.InFlight() })
	for engine, count := range n.gossip.AllInFlight() {
		all[engine] += count
	}
	return all
}

func (n *Node) sick() map[string]bool {
	var sick map[string]bool
	n.serving.WithLockedState(func(_ *admission.Controller, r *routing.Router) { sick = r.UnavailableEngines(time.Now()) })
	return sick
}
