package keeper

import (
	"slices"
	"sort"

	"bergamotreel/engine"
	"bergamotreel/state"
)

// stepKind is what a keeper does next with an engine.
type stepKind string

const (
	stepFence         stepKind = "fence"  // raise the engine's token to the keeper's
	stepReport        stepKind = "meet"   // propose what the engine says of itself
	stepLoad          stepKind = "load"   // order a load
	stepUnload        stepKind = "unload" // order an unload
	stepConfirmUnload stepKind = "gone"   // propose that a withdrawn right is gone
)

// step is one thing to do with an engine.
type step struct {
	kind  stepKind
	order engine.Order
	// right is the revision of the right that the step is for, 0 without one.
	right state.Revision
	// withdrawn is the revision of its withdrawal, 0 while it stands.
	withdrawn state.Revision
}

// observation is all that the next step is decided from: what the fold says, what
// the engine says, and what this keeper remembers of its own orders.
type observation struct {
	recorded state.Engine
	status   engine.Status
	orders   orderState
}

// memory is what a keeper remembers of its own orders to one engine, by unit.
type orderState struct {
	// fenced is the token that the engine was last fenced with.
	fencedToken engine.Token
	// unloaded holds the withdrawals whose unload order was answered before the
	// newest status was asked for. An unload from before the withdrawal proves
	// nothing: a load that came after it may still arrive.
	answeredUnloads map[state.Revision]bool
	// doubtful are units of which a load order has no answer and may still
	// arrive at an engine.
	pendingLoads map[string]bool
	// resting are units whose last order failed lately.
	inBackoff map[string]bool
	// stranded are units to load by standby rights; see Config.Stranded.
	outageUnits map[string]bool
}

// wants tells whether the unit of a standing right should be loaded.
func (o observation) shouldBeLoaded(right *state.Right) bool {
	return right.Withdrawn == 0 && (right.Wanted || o.orders.outageUnits[right.Unit])
}

// token is the fencing token for any order now. Orders go out one at a time, and
// a later one never has a lower token: so an order that arrives late, behind one
// that was decided after it, is refused by an engine that checks tokens.
func orderToken(e *state.Engine) engine.Token { return engine.Token(max(e.Keeper, e.FencingToken)) }

// nextSteps decides what to do, in the order in which to do it.
func nextSteps(o observation) []step {
	token := orderToken(&o.recorded)
	if o.orders.fencedToken < engine.Token(o.recorded.Keeper) {
		return []step{{kind: stepFence, order: engine.Order{Token: token, Action: engine.ActionFence}}}
	}
	var steps []step
	if !isReportCurrent(o.recorded, o.status) {
		steps = append(steps, step{kind: stepReport})
	}
	if !canUseRights(o.recorded, o.status) {
		return steps
	}
	held := make(map[string]engine.Unit)
	for _, u := range o.status.Units {
		held[u.Unit] = u
	}
	steps = append(steps, unloadSteps(o, held, token)...)
	return append(steps, loadSteps(o, held, token)...)
}

// sameMake tells whether the engine is what its rights were granted on. If so,
// one that restarted empty is loaded again at once by the same rights, also
// while the log takes no record of the restart: they stay counted there.
func canUseRights(recorded state.Engine, status engine.Status) bool {
	return recorded.Incarnation != "" && recorded.MemoryBytes <= status.MemoryBytes &&
		recorded.ChecksTokens == status.ChecksTokens
}

func isReportCurrent(recorded state.Engine, status engine.Status) bool {
	return recorded.Incarnation == status.Incarnation &&
		recorded.MemoryBytes == status.MemoryBytes &&
		recorded.ChecksTokens == status.ChecksTokens
}

// unloads are the steps that free memory: units without a right, standby rights
// that are loaded, and withdrawn rights on their way to Gone. Adapters go first.
func unloadSteps(o observation, held map[string]engine.Unit, token engine.Token) []step {
	var steps []step
	for _, unit := range sortedUnits(held) {
		if isUnauthorized(unit, o.recorded.Rights[unit.Unit]) && !o.orders.inBackoff[unit.Unit] {
			steps = append(steps, step{kind: stepUnload, order: unloadOrder(unit.Unit, unit.Base, token)})
		}
	}
	for _, right := range sortedRights(o.recorded.Rights) {
		unit, present := held[right.Unit]
		switch {
		case right.Withdrawn != 0:
			steps = append(steps, withdrawalSteps(o, right, unit, present, token)...)
		case !o.shouldBeLoaded(right) && present && unit.Phase != engine.PhaseUnloading && !o.orders.inBackoff[right.Unit]:
			steps = append(steps, step{kind: stepUnload, order: unloadOrder(right.Unit, right.Base, token), right: right.Granted})
		}
	}
	return steps
}

// unknown tells whether no right allows what the engine holds. A unit of another
// checkpoint is a late order's, from a former right of that name: served, it
// would put an older contract in force again.
func isUnauthorized(unit engine.Unit, right *state.Right) bool {
	if right == nil {
		return true
	}
	return right.Withdrawn == 0 && right.Checkpoint != unit.Checkpoint && unit.Phase != engine.PhaseUnloading
}

// withdrawal takes a withdrawn right one step on. The unload order is sent even
// where the engine does not show the unit: its answer proves that the engine
// has seen a token above every earlier load order, so none of them can bring
// the unit back after Gone. It is sent again where the unit is back: on an
// engine that ignores tokens a former keeper's late order loads it.
func withdrawalSteps(o observation, right *state.Right, unit engine.Unit, present bool, token engine.Token) []step {
	unload := step{
		kind: stepUnload, order: unloadOrder(right.Unit, right.Base, token),
		right: right.Granted, withdrawn: right.Withdrawn,
	}
	switch {
	case !o.isUnloadProved(right), present && unit.Phase != engine.PhaseUnloading:
		if o.orders.inBackoff[right.Unit] {
			return nil
		}
		return []step{unload}
	case present, !o.status.ChecksTokens && canLateLoadArrive(o, right):
		return nil
	}
	return []step{{kind: stepConfirmUnload, order: engine.Order{Unit: right.Unit}, right: right.Granted}}
}

// unloadProved tells whether an unload order of this withdrawal was answered and
// still guards against earlier loads: an engine that checks tokens must say in
// the same answer that it has seen this token, or it did not check at the time.
func (o observation) isUnloadProved(right *state.Right) bool {
	fenced := !o.status.ChecksTokens || o.status.HighestToken >= engine.Token(right.Withdrawn)
	return fenced && o.orders.answeredUnloads[right.Withdrawn]
}

// mayComeBack tells whether a load order could still bring the unit back on an
// engine that ignores tokens: one of this keeper without an answer, or one of a
// former keeper. The former's settling must have been folded before the engine
// was asked: otherwise its last order may have arrived after the engine's answer
// and before the settling, and Gone would free a unit that is loaded.
func canLateLoadArrive(o observation, right *state.Right) bool {
	if o.orders.pendingLoads[right.Unit] {
		return true
	}
	return slices.ContainsFunc(right.UnsettledSessions, func(id state.SessionID) bool { return id != o.recorded.KeeperSession })
}

// loads are the wanted rights that the engine does not hold. Bases go first.
func loadSteps(o observation, held map[string]engine.Unit, token engine.Token) []step {
	var steps []step
	for _, right := range sortedRights(o.recorded.Rights) {
		if !o.shouldBeLoaded(right) || o.orders.inBackoff[right.Unit] {
			continue
		}
		if _, present := held[right.Unit]; present {
			continue
		}
		if right.Base != "" && held[right.Base].Phase != engine.PhaseReady {
			continue
		}
		steps = append(steps, step{kind: stepLoad, right: right.Granted, order: engine.Order{
			Token: token, Action: engine.ActionLoad, Unit: right.Unit, Base: right.Base,
			Checkpoint: right.Checkpoint, Bytes: right.Bytes,
		}})
	}
	return steps
}

func unloadOrder(unit, base string, token engine.Token) engine.Order {
	return engine.Order{Token: token, Action: engine.ActionUnload, Unit: unit, Base: base}
}

// sortedUnits and sortedRights give a fixed order; adapters (with a base) come
// before models, so that an unload meets a base only after its adapters.
func sortedUnits(held map[string]engine.Unit) []engine.Unit {
	units := make([]engine.Unit, 0, len(held))
	for _, u := range held {
		units = append(units, u)
	}
	sort.Slice(units, func(i, j int) bool {
		return adapterFirst(units[i].Base, units[j].Base, units[i].Unit, units[j].Unit)
	})
	return units
}

func sortedRights(rights map[string]*state.Right) []*state.Right {
	sorted := make([]*state.Right, 0, len(rights))
	for _, r := range rights {
		sorted = append(sorted, r)
	}
	sort.Slice(sorted, func(i, j int) bool {
		return adapterFirst(sorted[i].Base, sorted[j].Base, sorted[i].Unit, sorted[j].Unit)
	})
	return sorted
}

func adapterFirst(baseA, baseB, unitA, unitB string) bool {
	if (baseA != "") != (baseB != "") {
		return baseA != ""
	}
	return unitA < unitB
}
