package state_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"bergamotreel/internal/testkit"
	"bergamotreel/state"
)

// world is a small system around the fold: entry VMs that fold with a lag, are
// paused between deciding and sending, die and are replaced; appends that land
// late or twice; and engines that obey every order that reaches them, whenever.
type world struct {
	rand    *rand.Rand
	twin    twin
	log     [][]byte
	held    []state.Proposal
	vms     []*vm
	started int
	engines []*fakeEngine
	// flying are orders that were decided and have not arrived.
	flying []order
	// applied counts what the schedule came to, by kind.
	applied map[string]int
}

// twin is a naive variant of the protocol around the same fold.
type twin struct {
	// settleAtExpiry frees what an expired session may have ordered at once.
	settleAtExpiry bool
	// goneAtWithdraw frees a right without waiting for the engine.
	goneAtWithdraw bool
	// forgetTokens lets engines that check tokens forget them at a restart.
	forgetTokens bool
	// orderAfterWord lets a keeper order on until it folds its own giving back.
	orderAfterWord bool
	// answerBeforeSettling takes any answered unload for Gone, also one that a
	// former keeper's last load followed before that keeper was settled.
	answerBeforeSettling bool
}

type vm struct {
	name     string
	sequence uint64
	view     *state.State
	alive    bool
	// dropped is set once a dead VM's messages have died out.
	dropped bool
	// unloaded holds the token of the unload that proves a unit away from an
	// engine; 0 after a load.
	unloaded map[string]state.Revision
	// vouched are the keepers and sessions under which it said to send no more.
	vouched map[state.Revision]bool
}

type fakeEngine struct {
	name    string
	memory  int64
	checks  bool
	highest state.Revision
	units   map[string]bool
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
	// proves is whether the answer to this unload counts for Gone: when it was
	// decided, no former keeper was left that could load the unit after it.
	proves bool
}

const worldReplicas = 1

var worldBytes = map[string]int64{"m1": 2 * gb, "m2": 2 * gb, "ad": gb}

func newWorld(seed uint64, twin twin) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 1)), twin: twin, applied: map[string]int{}}
	for i := range 3 {
		w.engines = append(w.engines, &fakeEngine{name: fmt.Sprint("e", i), memory: 4 * gb, checks: i != 2, units: map[string]bool{}})
	}
	for range 3 {
		w.start()
	}
	w.vms[0].propose(w, state.Proposal{Publish: &state.Publish{Customer: "hire", Sections: sections("hire", 20, worldReplicas, 2)}})
	return w
}

// start replaces nothing or a dead VM by one with a name of its own.
func (w *world) start() {
	w.started++
	v := &vm{name: fmt.Sprint("vm", w.started), view: state.New(), alive: true, unloaded: map[string]state.Revision{}, vouched: map[state.Revision]bool{}}
	w.vms = append(w.vms, v)
	v.open(w)
}

func (v *vm) open(w *world) {
	v.propose(w, state.Proposal{SessionOpen: &state.SessionOpen{VM: v.name, Incarnation: v.name}})
}

// propose appends at once, later or twice.
func (v *vm) propose(w *world, p state.Proposal) {
	v.sequence++
	p.ID = state.ProposalID{Proposer: v.name, Sequence: v.sequence}
	fate := w.rand.IntN(10)
	if fate > 0 {
		w.append(p)
	}
	if fate < 2 {
		w.held = append(w.held, p)
	}
}

func (w *world) append(p state.Proposal) {
	data := testkit.Must(state.Encode(state.Record{Proposals: []state.Proposal{p}}))
	w.log = append(w.log, data)
}

// fold reads the next records, all of them if n is 0.
func (v *vm) fold(w *world, n int) {
	end := uint64(len(w.log))
	if n > 0 {
		end = min(end, v.view.Applied+uint64(n))
	}
	for v.view.Applied < end {
		for _, o := range v.view.Apply(v.view.Applied+1, w.log[v.view.Applied]) {
			if v.name == "vm1" && o.Verdict == state.VerdictApplied {
				w.applied["proposals"]++
			}
		}
	}
}

// step does one drawn thing and returns which promise broke, if any.
func (w *world) step() string {
	v := w.vms[w.rand.IntN(len(w.vms))]
	for v.dropped {
		v = w.vms[w.rand.IntN(len(w.vms))]
	}
	switch n := w.rand.IntN(100); {
	case n < 5:
		v.fold(w, w.rand.IntN(4))
	case n < 22 && len(w.flying) > 0:
		w.arrive(w.rand.IntN(len(w.flying)))
	case n < 27 && len(w.held) > 0:
		i := w.rand.IntN(len(w.held))
		w.append(w.held[i])
		w.held = slices.Delete(w.held, i, i+1)
	case n < 30:
		e := w.engines[w.rand.IntN(len(w.engines))]
		clear(e.units)
		if w.twin.forgetTokens {
			e.highest = 0
		}
	case n < 31 && w.rand.IntN(3) == 0:
		w.kill(v)
	case !v.alive && n < 50:
		v.dropped = true
		w.flying = slices.DeleteFunc(w.flying, func(o order) bool { return o.by == v })
	case v.alive:
		if w.rand.IntN(4) > 0 {
			v.fold(w, 0)
		}
		v.act(w)
	}
	return w.broken()
}

func (w *world) kill(v *vm) {
	alive := 0
	for _, other := range w.vms {
		if other.alive {
			alive++
		}
	}
	if v.alive && alive > 1 {
		v.alive = false
		w.start()
	}
}

// act lets a VM do one thing by what it has folded, which may be old.
func (v *vm) act(w *world) {
	if own := v.sessions(false); len(own) == 0 {
		v.fold(w, 0)
		if len(v.sessions(false)) == 0 {
			v.open(w)
		}
		return
	}
	e := v.pick(w)
	known := v.view.Engines[e.name]
	keeps := known != nil && slices.Contains(v.sessions(false), known.KeeperSession)
	switch n := w.rand.IntN(100); {
	case n < 3:
		v.endSessions(w)
	case n < 9:
		v.settle(w)
	case known == nil || known.KeeperSession == 0:
		v.take(w, e, known)
	case !keeps && n < 90:
	case keeps && known.MemoryBytes == 0:
		v.propose(w, state.Proposal{EngineReport: &state.EngineReport{
			Engine: e.name, Keeper: known.Keeper, Incarnation: "1", MemoryBytes: e.memory, ChecksTokens: e.checks}})
	case !keeps || n < 25:
		v.grant(w, known)
	case n < 65:
		v.order(w, e, known)
	case n < 68 && !w.outstanding(v, known.KeeperSession, e):
		v.vouched[known.Keeper] = true
		v.propose(w, state.Proposal{KeeperRelease: &state.KeeperRelease{Engine: e.name, Keeper: known.Keeper, Settled: true}})
	default:
		v.withdrawOrGone(w, e, known)
	}
}

// pick draws an engine, mostly one that the VM keeps.
func (v *vm) pick(w *world) *fakeEngine {
	e := w.engines[w.rand.IntN(len(w.engines))]
	for _, own := range v.sessions(false) {
		if kept := v.view.EnginesKeptBy(own); len(kept) > 0 && w.rand.IntN(10) > 0 {
			name := kept[w.rand.IntN(len(kept))]
			e = w.engines[slices.IndexFunc(w.engines, func(e *fakeEngine) bool { return e.name == name })]
		}
	}
	return e
}

// sessions are the VM's own ones that it knows of, live or ended.
func (v *vm) sessions(ended bool) (own []state.SessionID) {
	for _, id := range sortedSessions(v.view) {
		if s := v.view.Sessions[id]; s.Proposer == v.name && s.Ended == ended {
			own = append(own, id)
		}
	}
	return own
}

// endSessions calls a session expired, however wrongly, or closes an own one.
func (v *vm) endSessions(w *world) {
	ids := sortedSessions(v.view)
	s := v.view.Sessions[ids[w.rand.IntN(len(ids))]]
	if len(w.flying) > 0 {
		// Those with an order under way are the ones that matter.
		if late := v.view.Sessions[w.flying[w.rand.IntN(len(w.flying))].session]; late != nil {
			s = late
		}
	}
	if s.Proposer == v.name && !w.outstanding(v, s.ID, nil) {
		v.vouched[s.ID] = true
		v.propose(w, state.Proposal{SessionClose: &state.SessionClose{Session: s.ID}})
		return
	}
	v.propose(w, state.Proposal{SessionExpire: &state.SessionExpire{Session: s.ID, LastRenewal: s.LastRenewal}})
	if w.twin.settleAtExpiry {
		v.propose(w, state.Proposal{SessionSettle: &state.SessionSettle{Session: s.ID}})
	}
}

// settle settles ended sessions: own ones without an order under way, and those
// of VMs whose messages have died out.
func (v *vm) settle(w *world) {
	for _, id := range sortedSessions(v.view) {
		s := v.view.Sessions[id]
		i := slices.IndexFunc(w.vms, func(o *vm) bool { return o.name == s.Proposer })
		if s.Ended && (w.vms[i].dropped || w.vms[i] == v && !w.outstanding(v, id, nil)) {
			v.propose(w, state.Proposal{SessionSettle: &state.SessionSettle{Session: id}})
		} else if !s.Ended && w.vms[i].dropped {
			v.propose(w, state.Proposal{SessionExpire: &state.SessionExpire{Session: id, LastRenewal: s.LastRenewal}})
		}
	}
}

// outstanding tells whether an order of the session (to the engine, or to any)
// has not been answered.
func (w *world) outstanding(v *vm, session state.SessionID, e *fakeEngine) bool {
	return slices.ContainsFunc(w.flying, func(o order) bool {
		return o.by == v && o.session == session && (e == nil || o.engine == e)
	})
}

func (v *vm) take(w *world, e *fakeEngine, known *state.Engine) {
	previous := state.Revision(0)
	if known != nil {
		previous = known.Keeper
	}
	v.propose(w, state.Proposal{KeeperAcquire: &state.KeeperAcquire{Engine: e.name, Session: v.sessions(false)[0], Previous: previous}})
}

func (v *vm) grant(w *world, known *state.Engine) {
	unit := units[w.rand.IntN(len(units))]
	if known.Rights[unit] != nil || unit == "ad" && known.Rights["m1"] == nil {
		return
	}
	v.propose(w, state.Proposal{Grant: &state.Grant{
		Engine: known.Name, Keeper: known.Keeper, Customer: "hire", Unit: unit, Wanted: true}})
}

// order decides one order for a right, with the newest token folded. It leaves
// the VM at some later time, or never.
func (v *vm) order(w *world, e *fakeEngine, known *state.Engine) {
	vouched := v.vouched[known.Keeper] || v.vouched[known.KeeperSession]
	if vouched && !w.twin.orderAfterWord || w.outstanding(v, known.KeeperSession, e) || len(known.Rights) == 0 {
		return
	}
	names := slices.Sorted(maps.Keys(known.Rights))
	right := known.Rights[names[w.rand.IntN(len(names))]]
	for _, name := range names {
		if r := known.Rights[name]; r.Withdrawn != 0 && w.rand.IntN(2) == 0 {
			right = r
		}
	}
	others := slices.ContainsFunc(right.UnsettledSessions, func(id state.SessionID) bool { return id != known.KeeperSession })
	w.flying = append(w.flying, order{
		by: v, session: known.KeeperSession, engine: e, token: known.FencingToken,
		load: right.Withdrawn == 0, unit: right.Unit, base: right.Base, paused: w.rand.IntN(4) == 0,
		proves: known.ChecksTokens || !others || w.twin.answerBeforeSettling,
	})
}

func (v *vm) withdrawOrGone(w *world, e *fakeEngine, known *state.Engine) {
	for _, unit := range []string{"ad", "m1", "m2"} {
		right := known.Rights[unit]
		if right == nil || w.rand.IntN(2) == 0 {
			continue
		}
		if right.Withdrawn == 0 {
			v.propose(w, state.Proposal{Withdraw: &state.Withdraw{Engine: e.name, Keeper: known.Keeper, Unit: unit, Right: right.Granted}})
			return
		}
		unloaded := v.unloaded[e.name+unit] >= right.Withdrawn && !w.outstanding(v, known.KeeperSession, e)
		if unloaded || w.twin.goneAtWithdraw {
			v.propose(w, state.Proposal{ConfirmUnload: &state.ConfirmUnload{Engine: e.name, Keeper: known.Keeper, Unit: unit, Right: right.Granted}})
		}
		return
	}
}

// arrive lets an order take effect and answers it.
func (w *world) arrive(i int) {
	o := w.flying[i]
	if o.paused && w.rand.IntN(10) > 0 {
		return
	}
	w.flying = slices.Delete(w.flying, i, i+1)
	if o.engine.checks && o.token < o.engine.highest {
		w.applied["refused orders"]++
		return
	}
	o.engine.highest = max(o.engine.highest, o.token)
	w.applied["orders"]++
	if o.load {
		// The worst an engine may do with an adapter: load its base as well.
		o.engine.units[o.unit] = true
		if o.base != "" {
			o.engine.units[o.base] = true
		}
		o.by.unloaded[o.engine.name+o.unit] = 0
		return
	}
	delete(o.engine.units, o.unit)
	if o.proves {
		o.by.unloaded[o.engine.name+o.unit] = o.token
	}
}

// broken looks at what the engines really hold.
func (w *world) broken() string {
	replicas := map[string]int{}
	for _, e := range w.engines {
		used := int64(0)
		for unit := range e.units {
			used += worldBytes[unit]
			replicas[unit]++
		}
		if used > e.memory {
			return "an engine's memory is overcommitted"
		}
	}
	if replicas["m1"] > worldReplicas || replicas["m2"] > worldReplicas || replicas["ad"] > 2 {
		return "one replica more than decided"
	}
	return ""
}
