package state_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"bergamotreel/internal/testkit"
	"bergamotreel/state"
)

// simulation is a small system around the state machine: entry VMs that apply records
// with a lag, are paused between deciding and sending an order, die and are replaced;
// records that are appended late or twice; and engines that execute every order
// whenever it arrives, except that some reject outdated tokens.
type simulation struct {
	rand       *rand.Rand
	variant    variant
	log        [][]byte
	delayed    []state.Proposal
	vms        []*vm
	startedVMs int
	engines    []*fakeEngine
	// inFlight are orders that were decided and have not arrived.
	inFlight []order
	// counts counts the events of the schedule by kind.
	counts map[string]int
}

// variant removes safeguards from the protocol around the same state machine.
type variant struct {
	// settleAtExpiry settles a session as soon as it expires.
	settleAtExpiry bool
	// confirmUnloadAtWithdraw frees a right without waiting for the engine.
	confirmUnloadAtWithdraw bool
	// forgetTokens lets engines that check tokens forget them at a restart.
	forgetTokens bool
	// orderAfterRelease lets a keeper send orders until it applies its own release.
	orderAfterRelease bool
	// acceptAnswerBeforeSettling accepts any answered unload as proof, even if a former
	// keeper's last load may have followed it before that keeper was settled.
	acceptAnswerBeforeSettling bool
}

type vm struct {
	name     string
	sequence uint64
	view     *state.State
	alive    bool
	// messagesExpired is set once no message of a dead VM can arrive any more.
	messagesExpired bool
	// unloadTokens holds, by engine and unit, the token of the unload that proves that
	// the engine does not hold the unit; 0 after a load.
	unloadTokens map[string]state.Revision
	// stoppedOrdering are the keepers and sessions under which the VM stated that it
	// sends no more orders.
	stoppedOrdering map[state.Revision]bool
}

type fakeEngine struct {
	name         string
	memory       int64
	checksTokens bool
	highestToken state.Revision
	units        map[string]bool
}

type order struct {
	by      *vm
	session state.SessionID
	engine  *fakeEngine
	token   state.Revision
	load    bool
	unit    string
	base    string
	// paused orders take long to arrive.
	paused bool
	// provesUnload is whether the answer to this unload permits ConfirmUnload: when it
	// was decided, no former keeper was left that could load the unit after it.
	provesUnload bool
}

const simulatedReplicas = 1

var unitBytes = map[string]int64{"m1": 2 * gb, "m2": 2 * gb, "ad": gb}

func newSimulation(seed uint64, variant variant) *simulation {
	sim := &simulation{rand: rand.New(rand.NewPCG(seed, 1)), variant: variant, counts: map[string]int{}}
	for i := range 3 {
		sim.engines = append(sim.engines, &fakeEngine{name: fmt.Sprint("e", i), memory: 4 * gb, checksTokens: i != 2, units: map[string]bool{}})
	}
	for range 3 {
		sim.startVM()
	}
	sim.vms[0].propose(sim, state.Proposal{Publish: &state.Publish{Customer: "hire", Sections: sections("hire", 20, simulatedReplicas, 2)}})
	return sim
}

// startVM adds a VM with a new name.
func (sim *simulation) startVM() {
	sim.startedVMs++
	v := &vm{name: fmt.Sprint("vm", sim.startedVMs), view: state.New(), alive: true, unloadTokens: map[string]state.Revision{}, stoppedOrdering: map[state.Revision]bool{}}
	sim.vms = append(sim.vms, v)
	v.openSession(sim)
}

func (v *vm) openSession(sim *simulation) {
	v.propose(sim, state.Proposal{SessionOpen: &state.SessionOpen{VM: v.name, Incarnation: v.name}})
}

// propose appends a proposal at once, later, or both.
func (v *vm) propose(sim *simulation, p state.Proposal) {
	v.sequence++
	p.ID = state.ProposalID{Proposer: v.name, Sequence: v.sequence}
	roll := sim.rand.IntN(10)
	if roll > 0 {
		sim.appendRecord(p)
	}
	if roll < 2 {
		sim.delayed = append(sim.delayed, p)
	}
}

func (sim *simulation) appendRecord(p state.Proposal) {
	data := testkit.Must(state.Encode(state.Record{Proposals: []state.Proposal{p}}))
	sim.log = append(sim.log, data)
}

// applyRecords applies the next n records, or all if n is 0.
func (v *vm) applyRecords(sim *simulation, n int) {
	end := uint64(len(sim.log))
	if n > 0 {
		end = min(end, v.view.Applied+uint64(n))
	}
	for v.view.Applied < end {
		for _, o := range v.view.Apply(v.view.Applied+1, sim.log[v.view.Applied]) {
			if v.name == "vm1" && o.Verdict == state.VerdictApplied {
				sim.counts["proposals"]++
			}
		}
	}
}

// step performs one random event and returns the violation it caused, if any.
func (sim *simulation) step() string {
	v := sim.vms[sim.rand.IntN(len(sim.vms))]
	for v.messagesExpired {
		v = sim.vms[sim.rand.IntN(len(sim.vms))]
	}
	switch n := sim.rand.IntN(100); {
	case n < 5:
		v.applyRecords(sim, sim.rand.IntN(4))
	case n < 22 && len(sim.inFlight) > 0:
		sim.deliver(sim.rand.IntN(len(sim.inFlight)))
	case n < 27 && len(sim.delayed) > 0:
		i := sim.rand.IntN(len(sim.delayed))
		sim.appendRecord(sim.delayed[i])
		sim.delayed = slices.Delete(sim.delayed, i, i+1)
	case n < 30:
		e := sim.engines[sim.rand.IntN(len(sim.engines))]
		clear(e.units)
		if sim.variant.forgetTokens {
			e.highestToken = 0
		}
	case n < 31 && sim.rand.IntN(3) == 0:
		sim.killVM(v)
	case !v.alive && n < 50:
		v.messagesExpired = true
		sim.inFlight = slices.DeleteFunc(sim.inFlight, func(o order) bool { return o.by == v })
	case v.alive:
		if sim.rand.IntN(4) > 0 {
			v.applyRecords(sim, 0)
		}
		v.act(sim)
	}
	return sim.findViolation()
}

func (sim *simulation) killVM(v *vm) {
	alive := 0
	for _, other := range sim.vms {
		if other.alive {
			alive++
		}
	}
	if v.alive && alive > 1 {
		v.alive = false
		sim.startVM()
	}
}

// act lets a VM take one action based on its state, which may be outdated.
func (v *vm) act(sim *simulation) {
	if own := v.ownSessions(false); len(own) == 0 {
		v.applyRecords(sim, 0)
		if len(v.ownSessions(false)) == 0 {
			v.openSession(sim)
		}
		return
	}
	e := v.pickEngine(sim)
	known := v.view.Engines[e.name]
	isKeeper := known != nil && slices.Contains(v.ownSessions(false), known.KeeperSession)
	switch n := sim.rand.IntN(100); {
	case n < 3:
		v.endSession(sim)
	case n < 9:
		v.settleSessions(sim)
	case known == nil || known.KeeperSession == 0:
		v.acquire(sim, e, known)
	case !isKeeper && n < 90:
	case isKeeper && known.MemoryBytes == 0:
		v.propose(sim, state.Proposal{EngineReport: &state.EngineReport{
			Engine: e.name, Keeper: known.Keeper, Incarnation: "1", MemoryBytes: e.memory, ChecksTokens: e.checksTokens}})
	case !isKeeper || n < 25:
		v.proposeGrant(sim, known)
	case n < 65:
		v.decideOrder(sim, e, known)
	case n < 68 && !sim.hasOutstandingOrder(v, known.KeeperSession, e):
		v.stoppedOrdering[known.Keeper] = true
		v.propose(sim, state.Proposal{KeeperRelease: &state.KeeperRelease{Engine: e.name, Keeper: known.Keeper, Settled: true}})
	default:
		v.withdrawOrConfirmUnload(sim, e, known)
	}
}

// pickEngine returns a random engine, mostly one that the VM keeps.
func (v *vm) pickEngine(sim *simulation) *fakeEngine {
	e := sim.engines[sim.rand.IntN(len(sim.engines))]
	for _, own := range v.ownSessions(false) {
		if kept := v.view.EnginesKeptBy(own); len(kept) > 0 && sim.rand.IntN(10) > 0 {
			name := kept[sim.rand.IntN(len(kept))]
			e = sim.engines[slices.IndexFunc(sim.engines, func(e *fakeEngine) bool { return e.name == name })]
		}
	}
	return e
}

// ownSessions returns the VM's own sessions that it knows of, either live or ended.
func (v *vm) ownSessions(ended bool) (own []state.SessionID) {
	for _, id := range sortedSessions(v.view) {
		if s := v.view.Sessions[id]; s.Proposer == v.name && s.Ended == ended {
			own = append(own, id)
		}
	}
	return own
}

// endSession closes one of the VM's own sessions or expires any session, even one that
// is still in use.
func (v *vm) endSession(sim *simulation) {
	ids := sortedSessions(v.view)
	s := v.view.Sessions[ids[sim.rand.IntN(len(ids))]]
	if len(sim.inFlight) > 0 {
		// Sessions with an order in flight are the critical ones.
		if late := v.view.Sessions[sim.inFlight[sim.rand.IntN(len(sim.inFlight))].session]; late != nil {
			s = late
		}
	}
	if s.Proposer == v.name && !sim.hasOutstandingOrder(v, s.ID, nil) {
		v.stoppedOrdering[s.ID] = true
		v.propose(sim, state.Proposal{SessionClose: &state.SessionClose{Session: s.ID}})
		return
	}
	v.propose(sim, state.Proposal{SessionExpire: &state.SessionExpire{Session: s.ID, LastRenewal: s.LastRenewal}})
	if sim.variant.settleAtExpiry {
		v.propose(sim, state.Proposal{SessionSettle: &state.SessionSettle{Session: s.ID}})
	}
}

// settleSessions settles ended sessions: the VM's own without an order in flight, and
// those of VMs whose messages have expired. It expires live sessions of the latter.
func (v *vm) settleSessions(sim *simulation) {
	for _, id := range sortedSessions(v.view) {
		s := v.view.Sessions[id]
		i := slices.IndexFunc(sim.vms, func(o *vm) bool { return o.name == s.Proposer })
		if s.Ended && (sim.vms[i].messagesExpired || sim.vms[i] == v && !sim.hasOutstandingOrder(v, id, nil)) {
			v.propose(sim, state.Proposal{SessionSettle: &state.SessionSettle{Session: id}})
		} else if !s.Ended && sim.vms[i].messagesExpired {
			v.propose(sim, state.Proposal{SessionExpire: &state.SessionExpire{Session: id, LastRenewal: s.LastRenewal}})
		}
	}
}

// hasOutstandingOrder reports whether an order of the session to the engine (or to any
// if e is nil) has not been answered.
func (sim *simulation) hasOutstandingOrder(v *vm, session state.SessionID, e *fakeEngine) bool {
	return slices.ContainsFunc(sim.inFlight, func(o order) bool {
		return o.by == v && o.session == session && (e == nil || o.engine == e)
	})
}

func (v *vm) acquire(sim *simulation, e *fakeEngine, known *state.Engine) {
	previous := state.Revision(0)
	if known != nil {
		previous = known.Keeper
	}
	v.propose(sim, state.Proposal{KeeperAcquire: &state.KeeperAcquire{Engine: e.name, Session: v.ownSessions(false)[0], Previous: previous}})
}

func (v *vm) proposeGrant(sim *simulation, known *state.Engine) {
	unit := units[sim.rand.IntN(len(units))]
	if known.Rights[unit] != nil || unit == "ad" && known.Rights["m1"] == nil {
		return
	}
	v.propose(sim, state.Proposal{Grant: &state.Grant{
		Engine: known.Name, Keeper: known.Keeper, Customer: "hire", Unit: unit, Wanted: true}})
}

// decideOrder decides one order for a right, with the newest token that the VM knows.
// The order leaves the VM at some later time, or never.
func (v *vm) decideOrder(sim *simulation, e *fakeEngine, known *state.Engine) {
	stopped := v.stoppedOrdering[known.Keeper] || v.stoppedOrdering[known.KeeperSession]
	if stopped && !sim.variant.orderAfterRelease || sim.hasOutstandingOrder(v, known.KeeperSession, e) || len(known.Rights) == 0 {
		return
	}
	names := slices.Sorted(maps.Keys(known.Rights))
	right := known.Rights[names[sim.rand.IntN(len(names))]]
	for _, name := range names {
		if r := known.Rights[name]; r.Withdrawn != 0 && sim.rand.IntN(2) == 0 {
			right = r
		}
	}
	others := slices.ContainsFunc(right.UnsettledSessions, func(id state.SessionID) bool { return id != known.KeeperSession })
	sim.inFlight = append(sim.inFlight, order{
		by: v, session: known.KeeperSession, engine: e, token: known.FencingToken,
		load: right.Withdrawn == 0, unit: right.Unit, base: right.Base, paused: sim.rand.IntN(4) == 0,
		provesUnload: known.ChecksTokens || !others || sim.variant.acceptAnswerBeforeSettling,
	})
}

func (v *vm) withdrawOrConfirmUnload(sim *simulation, e *fakeEngine, known *state.Engine) {
	for _, unit := range []string{"ad", "m1", "m2"} {
		right := known.Rights[unit]
		if right == nil || sim.rand.IntN(2) == 0 {
			continue
		}
		if right.Withdrawn == 0 {
			v.propose(sim, state.Proposal{Withdraw: &state.Withdraw{Engine: e.name, Keeper: known.Keeper, Unit: unit, Right: right.Granted}})
			return
		}
		unloaded := v.unloadTokens[e.name+unit] >= right.Withdrawn && !sim.hasOutstandingOrder(v, known.KeeperSession, e)
		if unloaded || sim.variant.confirmUnloadAtWithdraw {
			v.propose(sim, state.Proposal{ConfirmUnload: &state.ConfirmUnload{Engine: e.name, Keeper: known.Keeper, Unit: unit, Right: right.Granted}})
		}
		return
	}
}

// deliver executes an order and answers it.
func (sim *simulation) deliver(i int) {
	o := sim.inFlight[i]
	if o.paused && sim.rand.IntN(10) > 0 {
		return
	}
	sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	if o.engine.checksTokens && o.token < o.engine.highestToken {
		sim.counts["refused orders"]++
		return
	}
	o.engine.highestToken = max(o.engine.highestToken, o.token)
	sim.counts["orders"]++
	if o.load {
		// In the worst case an engine loads the base of an adapter as well.
		o.engine.units[o.unit] = true
		if o.base != "" {
			o.engine.units[o.base] = true
		}
		o.by.unloadTokens[o.engine.name+o.unit] = 0
		return
	}
	delete(o.engine.units, o.unit)
	if o.provesUnload {
		o.by.unloadTokens[o.engine.name+o.unit] = o.token
	}
}

// findViolation checks the units that the engines hold against the limits.
func (sim *simulation) findViolation() string {
	replicas := map[string]int{}
	for _, e := range sim.engines {
		used := int64(0)
		for unit := range e.units {
			used += unitBytes[unit]
			replicas[unit]++
		}
		if used > e.memory {
			return "an engine's memory is overcommitted"
		}
	}
	if replicas["m1"] > simulatedReplicas || replicas["m2"] > simulatedReplicas || replicas["ad"] > 2 {
		return "one replica more than allowed"
	}
	return ""
}
