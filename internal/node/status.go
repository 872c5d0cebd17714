package node

import (
	"sort"
	"time"

	"bergamotreel/engine"
	"bergamotreel/entryvm"
	"bergamotreel/internal/fleet"
	"bergamotreel/internal/gossip"
	"bergamotreel/internal/planner"
	"bergamotreel/operator"
	"bergamotreel/state"
	"bergamotreel/vmlist"
)

// logReachableFor is how old the log's newest answer may be for it to count as
// reachable: reads wait up to two seconds for news.
const logReachableTimeout = 4 * time.Second

func (o operators) self() operator.Self {
	self := operator.Self{
		ID: o.config.VM, Domain: o.config.Domain, Region: o.config.Region,
		Incarnation: o.config.Incarnation, Version: o.config.Version, StartedAt: o.started, Ready: true,
	}
	if err := o.Ready(); err != nil {
		self.Ready, self.NotReady = false, err.Error()
	}
	return self
}

func (o operators) logPosition(now time.Time) operator.LogPosition {
	applied, end, reachedAt := o.control.Position()
	// Without the log from the start on, the others still tell what they have read.
	end = max(end, applied)
	for _, heard := range o.gossip.All() {
		end = max(end, heard.Digest.Applied)
	}
	position := operator.LogPosition{
		Applied: applied, End: end, ReachedAt: reachedAt,
		Reachable: !reachedAt.IsZero() && now.Sub(reachedAt) < logReachableTimeout,
	}
	if end > applied {
		position.Lag = end - applied
	}
	return position
}

// entryVMs joins the VM list with the digests. A VM that is neither listed nor
// heard is gone.
func (o operators) entryVMs(now time.Time) []operator.EntryVM {
	applied, _, _ := o.control.Position()
	newest := o.newestVersion()
	byID := map[string]operator.EntryVM{o.config.VM: {
		ID: o.config.VM, Domain: o.config.Domain, Region: o.config.Region,
		Applied: applied, HeardAt: now, Leaving: o.isStopping(), Newest: newest,
	}}
	present := make(map[string]bool)
	for _, p := range o.gossip.Present() {
		present[p.VM] = true
	}
	listed := make(map[string]vmlist.VM)
	for _, vm := range o.fleet.VMs(vmlist.KindEntry) {
		listed[vm.ID] = vm
		if vm.ID != o.config.VM {
			byID[vm.ID] = o.describeListedVM(vm, present[vm.ID], newest)
		}
	}
	for _, heard := range o.gossip.All() {
		silent := now.Sub(heard.Made) >= o.config.PeerTimeout
		vm, known := listed[heard.Digest.VM]
		if silent && present[heard.Digest.VM] {
			continue // heard of by sums since: a large fleet was cut into groups
		}
		if known || !silent {
			byID[heard.Digest.VM] = describeVM(heard, newest, vm.Leaving, silent)
		}
	}
	out := make([]operator.EntryVM, 0, len(byID))
	for _, vm := range byID {
		out = append(out, vm)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// unheard describes a listed VM that sends this one no digest of its own. In a
// large fleet it is added up in the sums of another group: what all VMs of those
// have folded is the least that it has.
func (o operators) describeListedVM(vm vmlist.VM, present bool, newest state.Revision) operator.EntryVM {
	out := operator.EntryVM{ID: vm.ID, Domain: vm.Domain, Region: vm.Region, Missing: !present, Leaving: vm.Leaving}
	if !present {
		return out
	}
	for i, sum := range o.gossip.Far() {
		if i == 0 || sum.Lowest < out.Applied {
			out.Applied = sum.Lowest
		}
	}
	if out.InForce(newest) {
		out.Newest = newest
	}
	return out
}

// describeVM tells of a VM what its digest says. One that has folded the newest
// version known here has it in force.
func describeVM(heard gossip.Heard, newest state.Revision, leaving, silent bool) operator.EntryVM {
	d := heard.Digest
	vm := operator.EntryVM{
		ID: d.VM, Domain: d.Domain, Region: d.Region, Applied: d.Applied, HeardAt: heard.Made,
		Leaving: d.Leaving || leaving, Missing: silent,
	}
	if d.Applied >= newest.Offset() {
		vm.Newest = newest
	}
	return vm
}

// refusals sums those of the VMs there are.
func (o operators) sumRefusals(vms []operator.EntryVM) []operator.RefusalCount {
	present := make(map[string]bool)
	for _, vm := range vms {
		present[vm.ID] = true
	}
	sums := make(map[entryvm.Refused]uint64)
	add := func(counts []entryvm.Refused) {
		for _, r := range counts {
			sums[entryvm.Refused{Customer: r.Customer, Code: r.Code}] += r.Count
		}
	}
	add(o.refusalCounts.all())
	o.peerRefusals.eachPresent(present, add)
	out := make([]operator.RefusalCount, 0, len(sums))
	for r, count := range sums {
		out = append(out, operator.RefusalCount{Customer: r.Customer, Code: r.Code, Count: count})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Customer != out[j].Customer {
			return out[i].Customer < out[j].Customer
		}
		return out[i].Code < out[j].Code
	})
	return out
}

func (o operators) newestVersion() state.Revision {
	var version state.Revision
	o.control.View(func(s *state.State) { version = s.NewestVersion() })
	return version
}

func (o operators) engines(now time.Time) []operator.Engine {
	seen := make(map[string]fleet.Engine)
	for _, e := range o.fleet.Engines() {
		seen[e.VM.Address] = e
	}
	byName := make(map[string]operator.Engine)
	o.control.View(func(s *state.State) {
		for name, agreed := range s.Engines {
			byName[name] = describeEngine(s, agreed, seen[name])
		}
	})
	out := make([]operator.Engine, 0, len(byName))
	for name, described := range byName {
		for i := range described.Units {
			unit := &described.Units[i]
			unit.Since = o.planner.StageSince(name, unit.Name, plannerStages[unit.Phase])
		}
		out = append(out, o.addEngineState(described, seen[name], now))
	}
	for name, e := range seen {
		if _, known := byName[name]; !known {
			out = append(out, o.addEngineState(operator.Engine{Name: name, Domain: e.VM.Domain}, e, now))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (o operators) addEngineState(described operator.Engine, e fleet.Engine, now time.Time) operator.Engine {
	described.Missing = now.Sub(e.SeenAt) > statusTTL
	if o.gossip.Large() {
		// Most engines are asked in turns only.
		described.Missing = !e.Reachable && !e.SeenAt.IsZero()
	}
	described.Leaving = e.Leaving()
	return described
}

func describeEngine(s *state.State, agreed *state.Engine, seen fleet.Engine) operator.Engine {
	out := operator.Engine{
		Name: agreed.Name, Domain: agreed.Domain, Token: agreed.Keeper, ChecksTokens: agreed.ChecksTokens,
		MemoryBytes: agreed.MemoryBytes, UsedBytes: agreed.UsedBytes(),
	}
	if session := s.Sessions[agreed.KeeperSession]; session != nil {
		out.Keeper = session.VM
	}
	phases := make(map[string]engine.Phase)
	for _, u := range seen.Status.Units {
		phases[u.Unit] = u.Phase
	}
	for _, right := range agreed.Rights {
		out.Units = append(out.Units, operator.Unit{
			Name: right.Unit, Customer: right.Customer, Bytes: right.Bytes, Phase: phaseOf(right, phases[right.Unit]),
		})
	}
	sort.Slice(out.Units, func(i, j int) bool { return out.Units[i].Name < out.Units[j].Name })
	return out
}

// stages are the planner's, which sees them change.
var plannerStages = map[operator.Phase]planner.Stage{
	operator.PhaseStandby: planner.StageStandby, operator.PhaseLoading: planner.StageLoading,
	operator.PhaseLoaded: planner.StageLoaded, operator.PhaseUnloading: planner.StageUnloading,
}

func phaseOf(right *state.Right, reported engine.Phase) operator.Phase {
	switch {
	case right.Withdrawn != 0:
		return operator.PhaseUnloading
	case reported == engine.PhaseReady:
		return operator.PhaseLoaded
	case right.Wanted:
		return operator.PhaseLoading
	default:
		return operator.PhaseStandby
	}
}

// waiting sums the demand of all live entry VMs by unit and customer.
func (o operators) waitingUnits(now time.Time) []operator.WaitingUnit {
	type key struct{ unit, customer string }
	sums := make(map[key]operator.WaitingUnit)
	for _, d := range o.fleetDemand() {
		k := key{d.Unit, d.Customer}
		sum, known := sums[k]
		left := d.Deadline.Sub(now)
		if !known || left < sum.TimeLeft {
			sum.TimeLeft = left
		}
		sum.Name, sum.Customer = d.Unit, d.Customer
		sum.Requests += d.Waiting
		sums[k] = sum
	}
	out := make([]operator.WaitingUnit, 0, len(sums))
	for _, sum := range sums {
		out = append(out, sum)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
