package keeper

import (
	"slices"
	"sort"

	"bergamotreel/engine"
	"bergamotreel/state"
)

// stepKind is the kind of a step.
type stepKind string

const (
	stepFence         stepKind = "fence"  // raise the engine's token to the keeper's
	stepReport        stepKind = "meet"   // propose the engine's reported properties
	stepLoad          stepKind = "load"   // order a load
	stepUnload        stepKind = "unload" // order an unload
	stepConfirmUnload stepKind = "gone"   // propose that a withdrawn unit is unloaded
)

// step is one action of a keeper on an engine.
type step struct {
	kind  stepKind
	order engine.Order
	// right is the revision of the right that the step concerns, 0 if there is
	// none.
	right state.Revision
	// withdrawn is the revision of the right's withdrawal, 0 if it is not
	// withdrawn.
	withdrawn state.Revision
}

// observation is everything that the next steps are decided from: the control
// state, the engine's status, and this keeper's record of its own orders.
type observation struct {
	recorded state.Engine
	status   engine.Status
	orders   orderState
}

// orderState is a keeper's record of its own orders to one engine, by unit.
type orderState struct {
	// fencedToken is the token that the engine was last fenced with.
	fencedToken engine.Token
	// answeredUnloads holds the withdrawals whose unload order was answered before
	// the newest status was requested. An unload from before the withdrawal proves
	// nothing: a load that was ordered after it may still arrive.
	answeredUnloads map[state.Revision]bool
	// pendingLoads are units with an unanswered load order that may still arrive at
	// the engine.
	pendingLoads map[string]bool
	// inBackoff are units whose next order has to wait after a recent one.
	inBackoff map[string]bool
	// outageUnits are units to load by standby rights; see Config.OutageDemand.
	outageUnits map[string]bool
}

// shouldBeLoaded reports whether the unit of the right should be loaded.
func (o observation) shouldBeLoaded(right *state.Right) bool {
	return right.Withdrawn == 0 && (right.Wanted || o.orders.outageUnits[right.Unit])
}

// orderToken returns the fencing token for any order sent now. Orders are sent one
// at a time, and a later one never has a lower token. Therefore an engine that
// checks tokens refuses an order that arrives after one that was decided later.
func orderToken(e *state.Engine) engine.Token { return engine.Token(max(e.Keeper, e.FencingToken)) }

// nextSteps returns the next steps in the order in which to take them.
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

// canUseRights reports whether the engine has the properties that its rights were
// granted for. If so, an engine that restarted empty is loaded again immediately by
// the same rights, even while the log takes no record of the restart: the rights
// are still accounted for there.
func canUseRights(recorded state.Engine, status engine.Status) bool {
	return recorded.Incarnation != "" && recorded.MemoryBytes <= status.MemoryBytes &&
		recorded.ChecksTokens == status.ChecksTokens
}

func isReportCurrent(recorded state.Engine, status engine.Status) bool {
	return recorded.Incarnation == status.Incarnation &&
		recorded.MemoryBytes == status.MemoryBytes &&
		recorded.ChecksTokens == status.ChecksTokens
}

// unloadSteps returns the steps that free memory: for units without a right, for
// standby rights that are loaded, and for withdrawn rights until their unload is
// confirmed. Adapters come first.
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

// isUnauthorized reports whether no right allows the unit that the engine holds. A
// unit with another checkpoint was loaded by a late order, under an earlier right
// for the same name: serving it would bring an older contract back into force.
func isUnauthorized(unit engine.Unit, right *state.Right) bool {
	if right == nil {
		return true
	}
	return right.Withdrawn == 0 && right.Checkpoint != unit.Checkpoint && unit.Phase != engine.PhaseUnloading
}

// withdrawalSteps returns the next step for a withdrawn right. The unload order is
// sent even if the engine does not show the unit: its answer proves that the engine
// has seen a token above that of every earlier load order, so that none of them can
// bring the unit back after ConfirmUnload. It is sent again if the unit is back: on
// an engine that ignores tokens a former keeper's late order can load it.
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

// isUnloadProved reports whether an unload order of this withdrawal was answered
// and still guards against earlier loads: an engine that checks tokens must report
// in the same answer that it has seen this token, or it did not check at the time.
func (o observation) isUnloadProved(right *state.Right) bool {
	fenced := !o.status.ChecksTokens || o.status.HighestToken >= engine.Token(right.Withdrawn)
	return fenced && o.orders.answeredUnloads[right.Withdrawn]
}

// canLateLoadArrive reports whether a load order could still bring the unit back on
// an engine that ignores tokens: an unanswered one of this keeper, or one of a
// former keeper. The former session's settlement must have been applied before the
// engine's status was requested. Otherwise its last order may have arrived after
// the engine's answer and before the settlement, and ConfirmUnload would free a
// unit that is loaded.
func canLateLoadArrive(o observation, right *state.Right) bool {
	if o.orders.pendingLoads[right.Unit] {
		return true
	}
	return slices.ContainsFunc(right.UnsettledSessions, func(id state.SessionID) bool { return id != o.recorded.KeeperSession })
}

// loadSteps returns the steps that load wanted units that the engine does not hold.
// An adapter is loaded only after its base.
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

// sortedUnits and sortedRights return a fixed order in which adapters (units with a
// base) come before models, so that a base is unloaded only after its adapters.
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
