package state_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"bergamotreel/contract"
	"bergamotreel/state"
)

// reference is a simple implementation of the state machine to compare with: it
// forgets nothing, keeps flat lists and recomputes every sum from all that ever
// happened.
type reference struct {
	outcomes map[state.ProposalID]state.Outcome
	texts    map[string]map[string]string
	parsed   map[string]*contract.Contract
	versions map[string]state.Revision
	sessions map[state.Revision]*refSession
	engines  map[string]*refEngine
	rights   []*refRight
}

type refSession struct {
	proposer       string
	lastRenewal    state.Revision
	renewalNumber  uint64
	ended, settled bool
}

type refEngine struct {
	keeper, session state.Revision
	memory          int64
	checksTokens    bool
	// unsettled are the sessions that kept the engine without releasing it as
	// settled. unfenced are those of them, except the keeper's, that kept it before it
	// stopped checking tokens.
	unsettled   map[state.Revision]bool
	unfenced    map[state.Revision]bool
	incarnation string
	// orderRevision is the newest revision with which an order may be sent.
	orderRevision state.Revision
}

type refRight struct {
	engine, customer, unit, base string
	bytes                        int64
	granted, withdrawn           state.Revision
	wanted, removed              bool
	unsettled                    map[state.Revision]bool
}

func newReference() *reference {
	return &reference{
		outcomes: map[state.ProposalID]state.Outcome{}, texts: map[string]map[string]string{}, parsed: map[string]*contract.Contract{},
		versions: map[string]state.Revision{}, sessions: map[state.Revision]*refSession{}, engines: map[string]*refEngine{},
	}
}

func (r *reference) apply(rev state.Revision, p state.Proposal) state.Outcome {
	if earlier, ok := r.outcomes[p.ID]; ok && p.SessionRenew == nil && p.SessionsRenew == nil {
		return earlier
	}
	o := state.Outcome{ID: p.ID, Revision: rev, Verdict: state.VerdictConflict}
	if r.applyChange(rev, p) {
		o.Verdict = state.VerdictApplied
		if engine := orderedEngine(p); engine != "" {
			r.engines[engine].orderRevision = rev
		}
	}
	r.outcomes[p.ID] = o
	return o
}

// orderedEngine returns the engine that may get orders with the proposal's revision as
// their fencing token.
func orderedEngine(p state.Proposal) string {
	switch {
	case p.KeeperAcquire != nil:
		return p.KeeperAcquire.Engine
	case p.Grant != nil:
		return p.Grant.Engine
	case p.SetWanted != nil:
		return p.SetWanted.Engine
	case p.Withdraw != nil:
		return p.Withdraw.Engine
	}
	return ""
}

// applyChange applies a proposal if its preconditions hold, and reports whether they
// do.
func (r *reference) applyChange(rev state.Revision, p state.Proposal) bool {
	switch {
	case p.Publish != nil:
		return r.publish(rev, p.Publish)
	case p.SessionOpen != nil:
		r.sessions[rev] = &refSession{proposer: p.ID.Proposer, lastRenewal: rev}
		return true
	case p.SessionRenew != nil:
		s := r.ownSession(p.SessionRenew.Session, p)
		if s != nil {
			s.lastRenewal = rev
		}
		return s != nil
	case p.SessionsRenew != nil:
		any := false
		for _, renewal := range p.SessionsRenew.Renewals {
			s := r.sessions[renewal.Session]
			if s != nil && !s.ended && renewal.Number > s.renewalNumber {
				s.lastRenewal, s.renewalNumber, any = rev, renewal.Number, true
			}
		}
		return any
	case p.SessionClose != nil:
		s := r.ownSession(p.SessionClose.Session, p)
		if s != nil {
			r.endSession(p.SessionClose.Session)
			s.settled = true
		}
		return s != nil
	case p.SessionExpire != nil:
		s := r.sessions[p.SessionExpire.Session]
		ok := s != nil && !s.ended && s.lastRenewal == p.SessionExpire.LastRenewal
		if ok {
			r.endSession(p.SessionExpire.Session)
		}
		return ok
	case p.SessionSettle != nil:
		s := r.sessions[p.SessionSettle.Session]
		ok := s != nil && s.ended && !s.settled
		if ok {
			s.settled = true
		}
		return ok
	case p.EngineRemove != nil:
		e := r.engines[p.EngineRemove.Engine]
		if e == nil || e.orderRevision != p.EngineRemove.FencingToken || e.incarnation != p.EngineRemove.Incarnation {
			return false
		}
		delete(r.engines, p.EngineRemove.Engine)
		for _, right := range r.rights {
			right.removed = right.removed || right.engine == p.EngineRemove.Engine
		}
		return true
	}
	return r.applyKeeperChange(rev, p)
}

func (r *reference) applyKeeperChange(rev state.Revision, p state.Proposal) bool {
	switch {
	case p.KeeperAcquire != nil:
		k := p.KeeperAcquire
		e := r.engines[k.Engine]
		if e == nil {
			e = &refEngine{unsettled: map[state.Revision]bool{}, unfenced: map[state.Revision]bool{}}
		}
		if r.ownSession(k.Session, p) == nil || e.keeper != k.Previous || e.session != 0 && e.session != k.Session {
			return false
		}
		r.engines[k.Engine], e.keeper, e.session = e, rev, k.Session
		e.unsettled[k.Session] = true
		for _, right := range r.rightsOf(k.Engine) {
			right.unsettled[k.Session] = true
		}
		return true
	case p.KeeperRelease != nil:
		e := r.findKeptEngine(p.KeeperRelease.Engine, p.KeeperRelease.Keeper)
		if e == nil || r.ownSession(e.session, p) == nil {
			return false
		}
		if p.KeeperRelease.Settled {
			delete(e.unsettled, e.session)
			delete(e.unfenced, e.session)
			for _, right := range r.rightsOf(p.KeeperRelease.Engine) {
				delete(right.unsettled, e.session)
			}
		}
		e.session = 0
		return true
	case p.EngineReport != nil:
		m := p.EngineReport
		e := r.findKeptEngine(m.Engine, m.Keeper)
		if e == nil || r.ownSession(e.session, p) == nil || m.MemoryBytes < 0 {
			return false
		}
		if e.checksTokens && !m.ChecksTokens {
			for id := range e.unsettled {
				e.unfenced[id] = e.unfenced[id] || id != e.session
			}
		}
		e.memory, e.checksTokens, e.incarnation = m.MemoryBytes, m.ChecksTokens, m.Incarnation
		return true
	case p.Grant != nil:
		return r.grant(rev, p.Grant)
	}
	return r.applyRightChange(rev, p)
}

func (r *reference) applyRightChange(rev state.Revision, p state.Proposal) bool {
	switch {
	case p.SetWanted != nil:
		right := r.findActiveRight(p.SetWanted.Engine, p.SetWanted.Keeper, p.SetWanted.Unit, p.SetWanted.Right)
		if right != nil {
			right.wanted = p.SetWanted.Wanted
		}
		return right != nil
	case p.Withdraw != nil:
		w := p.Withdraw
		right := r.findActiveRight(w.Engine, w.Keeper, w.Unit, w.Right)
		if right == nil || slices.ContainsFunc(r.rightsOf(w.Engine), func(o *refRight) bool { return o.base == w.Unit && o.withdrawn == 0 }) {
			return false
		}
		right.withdrawn, right.wanted = rev, false
		return true
	}
	g := p.ConfirmUnload
	e := r.findKeptEngine(g.Engine, g.Keeper)
	if e == nil || r.ownSession(e.session, p) == nil || slices.ContainsFunc(r.rightsOf(g.Engine), func(o *refRight) bool { return o.base == g.Unit }) {
		return false
	}
	for _, right := range r.rightsOf(g.Engine) {
		if right.granted == g.Right && right.unit == g.Unit && right.withdrawn != 0 && (e.checksTokens || r.countUnsettledExcept(right.unsettled, e.session) == 0) {
			right.removed = true
			return true
		}
	}
	return false
}

func (r *reference) grant(rev state.Revision, g *state.Grant) bool {
	e := r.findKeptEngine(g.Engine, g.Keeper)
	c := r.parsed[g.Customer]
	if e == nil || c == nil || r.countUnsettledExcept(e.unfenced, 0) > 0 {
		return false
	}
	unit, ok := c.FindUnit(g.Unit)
	replicas, customerBytes, engineBytes, base := 0, int64(0), int64(0), unit.Base == ""
	for _, right := range r.rights {
		if right.removed {
			continue
		}
		if right.customer == g.Customer {
			customerBytes += right.bytes
			if right.unit == g.Unit {
				replicas++
			}
		}
		if right.engine == g.Engine {
			engineBytes += right.bytes
			base = base || right.unit == unit.Base && right.withdrawn == 0
			ok = ok && right.unit != g.Unit
		}
	}
	if !ok || !base || replicas+1 > unit.MaxReplicas || customerBytes+unit.MemoryBytes > c.MemoryBytes || engineBytes+unit.MemoryBytes > e.memory {
		return false
	}
	r.rights = append(r.rights, &refRight{
		engine: g.Engine, customer: g.Customer, unit: g.Unit, base: unit.Base, bytes: unit.MemoryBytes,
		granted: rev, wanted: g.Wanted, unsettled: map[state.Revision]bool{e.session: true},
	})
	return true
}

func (r *reference) publish(rev state.Revision, p *state.Publish) bool {
	if r.versions[p.Customer] != p.Base || p.Remove && r.texts[p.Customer] == nil {
		return false
	}
	if p.Remove {
		delete(r.texts, p.Customer)
		delete(r.parsed, p.Customer)
		r.versions[p.Customer] = rev
		return true
	}
	merged := maps.Clone(r.texts[p.Customer])
	if merged == nil {
		merged = map[string]string{}
	}
	maps.Copy(merged, p.Sections)
	maps.DeleteFunc(merged, func(_, text string) bool { return text == "" })
	c, err := contract.ParseSections(merged)
	if err != nil || c.Customer != p.Customer {
		return false
	}
	for other, o := range r.parsed {
		if other == p.Customer {
			continue
		}
		for _, key := range c.Keys {
			if _, taken := o.FindKey(key.SHA256); taken {
				return false
			}
		}
		for _, u := range c.Units() {
			if v, both := o.FindUnit(u.Name); both && (u.Base != v.Base || u.Checkpoint != v.Checkpoint || u.MemoryBytes != v.MemoryBytes) {
				return false
			}
		}
	}
	r.texts[p.Customer], r.parsed[p.Customer], r.versions[p.Customer] = merged, c, rev
	return true
}

func (r *reference) ownSession(id state.Revision, p state.Proposal) *refSession {
	if s := r.sessions[id]; s != nil && !s.ended && s.proposer == p.ID.Proposer {
		return s
	}
	return nil
}

func (r *reference) endSession(id state.Revision) {
	r.sessions[id].ended = true
	for _, e := range r.engines {
		if e.session == id {
			e.session = 0
		}
	}
}

func (r *reference) findKeptEngine(engine string, keeper state.Revision) *refEngine {
	if e := r.engines[engine]; e != nil && e.session != 0 && e.keeper == keeper {
		return e
	}
	return nil
}

func (r *reference) rightsOf(engine string) (rights []*refRight) {
	for _, right := range r.rights {
		if right.engine == engine && !right.removed {
			rights = append(rights, right)
		}
	}
	return rights
}

func (r *reference) findActiveRight(engine string, keeper state.Revision, unit string, granted state.Revision) *refRight {
	for _, right := range r.rightsOf(engine) {
		if r.findKeptEngine(engine, keeper) != nil && right.unit == unit && right.granted == granted && right.withdrawn == 0 {
			return right
		}
	}
	return nil
}

// countUnsettledExcept counts the unsettled sessions in a set, without the given one.
func (r *reference) countUnsettledExcept(unsettled map[state.Revision]bool, except state.Revision) (n int) {
	for id, in := range unsettled {
		if in && id != except && !r.sessions[id].settled {
			n++
		}
	}
	return n
}

// view formats the state that both implementations must agree on as sorted lines.
func (r *reference) view() string {
	var lines []string
	for id, s := range r.sessions {
		if !s.settled {
			lines = append(lines, fmt.Sprint("session ", id, s.proposer, s.lastRenewal, s.renewalNumber, s.ended))
		}
	}
	for name, e := range r.engines {
		unfenced := r.countUnsettledExcept(e.unfenced, 0)
		lines = append(lines, fmt.Sprint("engine ", name, e.keeper, e.session, e.memory, e.checksTokens, unfenced, e.incarnation))
	}
	for _, right := range r.rights {
		if !right.removed {
			unsettled := slices.Sorted(maps.Keys(right.unsettled))
			unsettled = slices.DeleteFunc(unsettled, func(id state.Revision) bool { return r.sessions[id].settled })
			lines = append(lines, fmt.Sprint("right ", right.engine, right.customer, right.unit, right.base, right.bytes,
				right.granted, right.withdrawn, right.wanted, unsettled))
		}
	}
	for customer, version := range r.versions {
		lines = append(lines, fmt.Sprint("contract ", customer, version, r.texts[customer]))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// view formats a State in the same way.
func view(s *state.State) string {
	var lines []string
	for id, session := range s.Sessions {
		lines = append(lines, fmt.Sprint("session ", id, session.Proposer, session.LastRenewal, session.RenewalNumber, session.Ended))
	}
	for name, e := range s.Engines {
		lines = append(lines, fmt.Sprint("engine ", name, e.Keeper, e.KeeperSession, e.MemoryBytes, e.ChecksTokens, len(e.UnfencedSessions), e.Incarnation))
		for _, right := range e.Rights {
			lines = append(lines, fmt.Sprint("right ", name, right.Customer, right.Unit, right.Base, right.Bytes,
				right.Granted, right.Withdrawn, right.Wanted, slices.Sorted(slices.Values(right.UnsettledSessions))))
		}
	}
	for customer, published := range s.Contracts {
		lines = append(lines, fmt.Sprint("contract ", customer, published.Version, published.Sections))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}
