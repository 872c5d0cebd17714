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

// logReachableTimeout is the time after the log's last answer at which it counts as
// unreachable. Reads wait up to two seconds for new records.
const logReachableTimeout = 4 * time.Second

func (o operators) self() operator.ReportingVM {
	self := operator.ReportingVM{
		ID: o.config.VM, Domain: o.config.Domain, Region: o.config.Region,
		Incarnation: o.config.Incarnation, Version: o.config.Version, StartedAt: o.started, Ready: true,
	}
	if err := o.Ready(); err != nil {
		self.Ready, self.NotReadyReason = false, err.Error()
	}
	return self
}

func (o operators) logPosition(now time.Time) operator.LogPosition {
	applied, end, reachedAt := o.control.Position()
	// A VM that has never reached the log still learns from its peers what they have read.
	end = max(end, applied)
	for _, stored := range o.gossip.StoredDigests() {
		end = max(end, stored.Digest.Applied)
	}
	position := operator.LogPosition{
		Applied: applied, End: end, LastReachedAt: reachedAt,
		Reachable: !reachedAt.IsZero() && now.Sub(reachedAt) < logReachableTimeout,
	}
	if end > applied {
		position.Lag = end - applied
	}
	return position
}

// entryVMs merges the VM list with the digests. A VM that is neither listed nor live has
// departed and is left out.
func (o operators) entryVMs(now time.Time) []operator.EntryVM {
	applied, _, _ := o.control.Position()
	newest := o.newestVersion()
	byID := map[string]operator.EntryVM{o.config.VM: {
		ID: o.config.VM, Domain: o.config.Domain, Region: o.config.Region,
		Applied: applied, LastDigestAt: now, Leaving: o.isStopping(), NewestContract: newest,
	}}
	active := make(map[string]bool)
	for _, p := range o.gossip.ActivePeers() {
		active[p.VM] = true
	}
	listed := make(map[string]vmlist.VM)
	for _, vm := range o.fleet.VMs(vmlist.KindEntry) {
		listed[vm.ID] = vm
		if vm.ID != o.config.VM {
			byID[vm.ID] = o.describeListedVM(vm, active[vm.ID], newest)
		}
	}
	for _, stored := range o.gossip.StoredDigests() {
		silent := now.Sub(stored.MadeAt) >= o.config.PeerTimeout
		vm, known := listed[stored.Digest.VM]
		if silent && active[stored.Digest.VM] {
			continue // its group's sums now cover it: the fleet has been divided into groups
		}
		if known || !silent {
			byID[stored.Digest.VM] = describeVM(stored, newest, vm.Leaving, silent)
		}
	}
	out := make([]operator.EntryVM, 0, len(byID))
	for _, vm := range byID {
		out = append(out, vm)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// describeListedVM describes a listed VM that does not send its digest to this one. In
// a large fleet the sums of other groups include it, so it has applied at least the
// lowest offset in those sums.
func (o operators) describeListedVM(vm vmlist.VM, active bool, newest state.Revision) operator.EntryVM {
	out := operator.EntryVM{ID: vm.ID, Domain: vm.Domain, Region: vm.Region, Missing: !active, Leaving: vm.Leaving}
	if !active {
		return out
	}
	for i, sum := range o.gossip.RemoteSums() {
		if i == 0 || sum.MinApplied < out.Applied {
			out.Applied = sum.MinApplied
		}
	}
	if out.HasApplied(newest) {
		out.NewestContract = newest
	}
	return out
}

// describeVM describes a VM by its digest. The newest contract version known here is in
// force on a VM that has applied its record.
func describeVM(stored gossip.StoredDigest, newest state.Revision, leaving, silent bool) operator.EntryVM {
	d := stored.Digest
	vm := operator.EntryVM{
		ID: d.VM, Domain: d.Domain, Region: d.Region, Applied: d.Applied, LastDigestAt: stored.MadeAt,
		Leaving: d.Leaving || leaving, Missing: silent,
	}
	if d.Applied >= newest.Offset() {
		vm.NewestContract = newest
	}
	return vm
}

// sumRefusals sums the refusal counts of this VM and the present VMs.
func (o operators) sumRefusals(vms []operator.EntryVM) []operator.RefusalCount {
	present := make(map[string]bool)
	for _, vm := range vms {
		present[vm.ID] = true
	}
	sums := make(map[entryvm.RefusalCount]uint64)
	add := func(counts []entryvm.RefusalCount) {
		for _, r := range counts {
			sums[entryvm.RefusalCount{Customer: r.Customer, Code: r.Code}] += r.Count
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
	o.control.View(func(s *state.State) { version = s.NewestContractVersion() })
	return version
}

func (o operators) engines(now time.Time) []operator.Engine {
	polled := make(map[string]fleet.Engine)
	for _, e := range o.fleet.Engines() {
		polled[e.VM.Address] = e
	}
	byName := make(map[string]operator.Engine)
	o.control.View(func(s *state.State) {
		for name, engineState := range s.Engines {
			byName[name] = describeEngine(s, engineState, polled[name])
		}
	})
	out := make([]operator.Engine, 0, len(byName))
	for name, described := range byName {
		for i := range described.Units {
			unit := &described.Units[i]
			unit.PhaseSince = o.planner.PhaseSince(name, unit.Name, plannerPhases[unit.Phase])
		}
		out = append(out, o.addEngineState(described, polled[name], now))
	}
	for name, e := range polled {
		if _, known := byName[name]; !known {
			out = append(out, o.addEngineState(operator.Engine{Name: name, Domain: e.VM.Domain}, e, now))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (o operators) addEngineState(report operator.Engine, e fleet.Engine, now time.Time) operator.Engine {
	report.Missing = now.Sub(e.SeenAt) > statusTTL
	if o.gossip.HasGroups() {
		// Most engines are queried only in turn, so the age of a status says little.
		report.Missing = !e.Reachable && !e.SeenAt.IsZero()
	}
	report.Leaving = e.IsLeaving()
	return report
}

func describeEngine(s *state.State, engineState *state.Engine, polled fleet.Engine) operator.Engine {
	out := operator.Engine{
		Name: engineState.Name, Domain: engineState.Domain, FencingToken: engineState.Keeper, ChecksTokens: engineState.ChecksTokens,
		MemoryBytes: engineState.MemoryBytes, UsedBytes: engineState.UsedBytes(),
	}
	if session := s.Sessions[engineState.KeeperSession]; session != nil {
		out.Keeper = session.VM
	}
	phases := make(map[string]engine.Phase)
	for _, u := range polled.Status.Units {
		phases[u.Unit] = u.Phase
	}
	for _, right := range engineState.Rights {
		out.Units = append(out.Units, operator.Unit{
			Name: right.Unit, Customer: right.Customer, Bytes: right.Bytes, Phase: phaseOf(right, phases[right.Unit]),
		})
	}
	sort.Slice(out.Units, func(i, j int) bool { return out.Units[i].Name < out.Units[j].Name })
	return out
}

// plannerPhases maps operators' phases to those of the planner, which records when they
// change.
var plannerPhases = map[operator.Phase]planner.Phase{
	operator.PhaseStandby: planner.PhaseStandby, operator.PhaseLoading: planner.PhaseLoading,
	operator.PhaseLoaded: planner.PhaseLoaded, operator.PhaseUnloading: planner.PhaseUnloading,
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

// waitingUnits sums the demand of all live entry VMs by unit and customer.
func (o operators) waitingUnits(now time.Time) []operator.WaitingUnit {
	type key struct{ unit, customer string }
	sums := make(map[key]operator.WaitingUnit)
	for _, d := range o.fleetDemand() {
		k := key{d.Unit, d.Customer}
		sum, known := sums[k]
		timeLeft := d.EarliestDeadline.Sub(now)
		if !known || timeLeft < sum.TimeLeft {
			sum.TimeLeft = timeLeft
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
