package state_test

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bergamotreel/state"
)

// harness applies generated proposals to the implementation and to the reference.
type harness struct {
	actual *state.State
	// rejoining is the state of a second VM that often restarts from a snapshot.
	rejoining *state.State
	reference *reference
	offset    uint64
	sequence  map[string]uint64
	// delayed proposals were made and not yet appended; appended ones may be appended
	// again.
	delayed, appended []state.Proposal
	records           [][]byte
	// image is a copy taken earlier, when the state's checksum was imageSum.
	image    *state.Image
	imageSum uint64
	// appliedCounts counts the applied proposals of each kind, to show that the
	// generated proposals cover all kinds.
	appliedCounts map[string]int
}

var (
	customers = []string{"hire", "debt"}
	units     = []string{"m1", "m2", "ad"}
	engines   = []string{"e1", "e2"}
	proposers = []string{"p1", "p2", "p3"}
)

func newHarness() *harness {
	m := &harness{appliedCounts: map[string]int{}, actual: state.New(), rejoining: state.New(), reference: newReference(), sequence: map[string]uint64{}}
	for _, customer := range customers {
		m.applyAndCompare(m.identify("op", state.Proposal{Publish: &state.Publish{Customer: customer, Sections: sections(customer, 8, 1, 2)}}))
	}
	for _, p := range proposers {
		m.applyAndCompare(m.identify(p, state.Proposal{SessionOpen: &state.SessionOpen{VM: p, Incarnation: "1"}}))
	}
	for i, engine := range engines {
		by, session := proposers[i], sortedSessions(m.actual)[i]
		m.applyAndCompare(m.identify(by, state.Proposal{KeeperAcquire: &state.KeeperAcquire{Engine: engine, Session: session}}))
		m.applyAndCompare(m.identify(by, state.Proposal{EngineReport: &state.EngineReport{
			Engine: engine, Keeper: m.actual.Engines[engine].Keeper, Incarnation: "1", MemoryBytes: 5 * gb, ChecksTokens: i == 0}}))
	}
	return m
}

// kindOf returns the name of the proposal's field that is set.
func kindOf(p state.Proposal) string {
	v := reflect.ValueOf(p)
	for i := 1; i < v.NumField(); i++ {
		if !v.Field(i).IsNil() {
			return v.Type().Field(i).Name
		}
	}
	return ""
}

// sections returns a contract with two models and an adapter of the first one.
func sections(customer string, memory, replicas, unitMemory int) map[string]string {
	unit := fmt.Sprintf("checkpoint = ck%d\nmemory = %dGB\nmax_replicas = %d\n", unitMemory, unitMemory, replicas)
	return map[string]string{
		"customer":     fmt.Sprintf("name = %s\nmemory = %dGB\n", customer, memory),
		`model "m1"`:   unit,
		`model "m2"`:   unit,
		`adapter "ad"`: "base = m1\ncheckpoint = ad\nmemory = 1GB\nmax_replicas = 2\n",
	}
}

func (m *harness) identify(by string, p state.Proposal) state.Proposal {
	m.sequence[by]++
	p.ID = state.ProposalID{Proposer: by, Sequence: m.sequence[by]}
	return p
}

// applyAndCompare applies one record and returns the difference between the
// implementation and the reference.
func (m *harness) applyAndCompare(ps ...state.Proposal) string {
	data, err := state.Encode(state.Record{Proposals: ps})
	if err != nil {
		return err.Error()
	}
	m.offset++
	m.records = append(m.records, data)
	m.appended = append(m.appended, ps...)
	m.rejoining.Apply(m.offset, data)
	for i, o := range m.actual.Apply(m.offset, data) {
		want := m.reference.apply(state.MakeRevision(m.offset, i), ps[i])
		if o.Verdict == state.VerdictApplied && !o.Repeated {
			m.appliedCounts[kindOf(ps[i])]++
		}
		if (o.Verdict == state.VerdictApplied) != (want.Verdict == state.VerdictApplied) || o.Revision != want.Revision {
			return fmt.Sprintf("%+v: got %+v, reference %+v", ps[i], o, want)
		}
	}
	return cmp.Diff(m.reference.view(), view(m.actual))
}

// proposalGenerator holds the values that the fields of a generated proposal are
// chosen from.
type proposalGenerator struct {
	*rapid.T
	m *harness
	// engine and right belong to engineName and unit; zero if there is none.
	engineName, unit, customer string
	engine                     state.Engine
	right                      state.Right
	session                    state.Session
	// keeper is the engine's keeper, or occasionally another revision.
	keeper state.Revision
	coin   bool
}

// drawRarely returns true in about one of 20 draws. It compares with a value inside
// the range because rapid favours the ends of a range.
func drawRarely(t *rapid.T) bool { return rapid.IntRange(0, 19).Draw(t, "rarely") == 7 }

// maybeStale returns the revision, or occasionally another one.
func (d *proposalGenerator) maybeStale(r state.Revision) state.Revision {
	if drawRarely(d.T) {
		return state.MakeRevision(rapid.Uint64Range(0, d.m.offset).Draw(d.T, "other"), 0)
	}
	return r
}

func (d *proposalGenerator) publish() *state.Publish {
	replicas := rapid.IntRange(0, 3).Draw(d.T, "replicas")
	memory := rapid.IntRange(2, 9).Draw(d.T, "memory")
	changed := sections(d.customer, memory, replicas, rapid.IntRange(1, 2).Draw(d.T, "unit memory"))
	if published := d.m.actual.Contracts[d.customer]; published == nil || published.Contract == nil {
		return &state.Publish{Customer: d.customer, Base: d.maybeStale(d.m.actual.ContractVersion(d.customer)), Sections: changed}
	}
	delete(changed, rapid.SampledFrom([]string{"customer", `model "m1"`, `adapter "ad"`}).Draw(d.T, "same"))
	if replicas == 0 {
		changed[`key "k"`] = "sha256 = " + strings.Repeat("a", 64) + "\n"
	}
	return &state.Publish{
		Customer: d.customer, Base: d.maybeStale(d.m.actual.ContractVersion(d.customer)), Sections: changed,
		Remove: drawRarely(d.T),
	}
}

// weightedKinds are the kinds of proposals, drawn in proportion to their weight.
var weightedKinds = []struct {
	weight int
	make   func(d *proposalGenerator) state.Proposal
}{
	{24, func(d *proposalGenerator) state.Proposal {
		return state.Proposal{Grant: &state.Grant{Engine: d.engineName, Keeper: d.keeper, Customer: d.customer, Unit: d.unit, Wanted: d.coin}}
	}},
	{6, func(d *proposalGenerator) state.Proposal {
		return state.Proposal{SetWanted: &state.SetWanted{Engine: d.engineName, Keeper: d.keeper, Unit: d.unit, Right: d.maybeStale(d.right.Granted), Wanted: d.coin}}
	}},
	{14, func(d *proposalGenerator) state.Proposal {
		return state.Proposal{Withdraw: &state.Withdraw{Engine: d.engineName, Keeper: d.keeper, Unit: d.unit, Right: d.maybeStale(d.right.Granted)}}
	}},
	{28, func(d *proposalGenerator) state.Proposal {
		return state.Proposal{ConfirmUnload: &state.ConfirmUnload{Engine: d.engineName, Keeper: d.keeper, Unit: d.unit, Right: d.maybeStale(d.right.Granted)}}
	}},
	{2, func(d *proposalGenerator) state.Proposal { return state.Proposal{Publish: d.publish()} }},
	{3, func(d *proposalGenerator) state.Proposal {
		return state.Proposal{SessionOpen: &state.SessionOpen{VM: "vm", Incarnation: "1"}}
	}},
	{2, func(d *proposalGenerator) state.Proposal {
		return state.Proposal{SessionRenew: &state.SessionRenew{Session: d.session.ID}}
	}},
	{3, func(d *proposalGenerator) state.Proposal {
		renewals := []state.Renewal{{Session: d.session.ID, Number: uint64(rapid.IntRange(1, 6).Draw(d.T, "number"))}}
		for id, session := range d.m.actual.Sessions {
			renewals = append(renewals, state.Renewal{Session: id, Number: session.RenewalNumber + 1})
		}
		return state.Proposal{SessionsRenew: &state.SessionsRenew{Renewals: renewals}}
	}},
	{4, func(d *proposalGenerator) state.Proposal {
		return state.Proposal{SessionClose: &state.SessionClose{Session: d.session.ID}}
	}},
	{5, func(d *proposalGenerator) state.Proposal {
		return state.Proposal{SessionExpire: &state.SessionExpire{Session: d.session.ID, LastRenewal: d.maybeStale(d.session.LastRenewal)}}
	}},
	{7, func(d *proposalGenerator) state.Proposal {
		return state.Proposal{SessionSettle: &state.SessionSettle{Session: d.session.ID}}
	}},
	{6, func(d *proposalGenerator) state.Proposal {
		return state.Proposal{KeeperAcquire: &state.KeeperAcquire{Engine: d.engineName, Session: d.session.ID, Previous: d.maybeStale(d.engine.Keeper)}}
	}},
	{6, func(d *proposalGenerator) state.Proposal {
		return state.Proposal{KeeperRelease: &state.KeeperRelease{Engine: d.engineName, Keeper: d.keeper, Settled: d.coin}}
	}},
	{3, func(d *proposalGenerator) state.Proposal {
		memory := int64(rapid.IntRange(2, 6).Draw(d.T, "engine memory")) * gb
		return state.Proposal{EngineReport: &state.EngineReport{Engine: d.engineName, Keeper: d.keeper, Incarnation: "1", MemoryBytes: memory, ChecksTokens: d.coin}}
	}},
	{1, func(d *proposalGenerator) state.Proposal {
		return state.Proposal{EngineRemove: &state.EngineRemove{Engine: d.engineName, FencingToken: d.maybeStale(d.engine.FencingToken), Incarnation: d.engine.Incarnation}}
	}},
}

// draw generates a proposal whose preconditions mostly hold in the current state.
func (m *harness) draw(t *rapid.T) state.Proposal {
	d := &proposalGenerator{
		T: t, m: m, coin: rapid.Bool().Draw(t, "yes"),
		engineName: rapid.SampledFrom(engines).Draw(t, "engine"),
		unit:       rapid.SampledFrom(units).Draw(t, "unit"),
		customer:   rapid.SampledFrom(customers).Draw(t, "customer"),
	}
	if e := m.actual.Engines[d.engineName]; e != nil {
		d.engine = *e
		if held := slices.Sorted(maps.Keys(e.Rights)); len(held) > 0 && !drawRarely(t) {
			d.unit = rapid.SampledFrom(held).Draw(t, "right")
		}
		if right := e.Rights[d.unit]; right != nil {
			d.right = *right
		}
	}
	if ids := sortedSessions(m.actual); len(ids) > 0 {
		if ended := slices.DeleteFunc(slices.Clone(ids), func(id state.SessionID) bool { return !m.actual.Sessions[id].Ended }); len(ended) > 0 && d.coin {
			ids = ended
		}
		d.session = *m.actual.Sessions[rapid.SampledFrom(ids).Draw(t, "session")]
	}
	d.keeper = d.maybeStale(d.engine.Keeper)
	var weights []int
	for kind := range weightedKinds {
		for range weightedKinds[kind].weight {
			weights = append(weights, kind)
		}
	}
	p := weightedKinds[rapid.SampledFrom(weights).Draw(t, "kind")].make(d)
	return m.identify(m.pickProposer(d, p), p)
}

// pickProposer returns the proposer, mostly the process that may make the proposal.
func (m *harness) pickProposer(d *proposalGenerator, p state.Proposal) string {
	if drawRarely(d.T) {
		return rapid.SampledFrom(proposers).Draw(d.T, "by")
	}
	if s := m.actual.Sessions[d.engine.KeeperSession]; s != nil && (p.ConfirmUnload != nil || p.EngineReport != nil || p.KeeperRelease != nil) {
		return s.Proposer
	}
	if d.session.Proposer != "" {
		return d.session.Proposer
	}
	return proposers[0]
}

// TestStateMatchesReference appends random proposals alone, in groups, late, twice
// and mixed with truncated records. After every record, the verdicts and the state
// must equal those of the reference, which recomputes everything from scratch. A VM
// that repeatedly restarts from snapshots must have the same state.
func TestStateMatchesReference(t *testing.T) {
	t.Parallel()
	applied := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newHarness()
		m.appliedCounts = applied
		fail := func(diff string) {
			if diff != "" {
				t.Fatal(diff)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"land":  func(t *rapid.T) { fail(m.applyAndCompare(m.draw(t))) },
			"land2": func(t *rapid.T) { fail(m.applyAndCompare(m.draw(t))) },
			"group": func(t *rapid.T) { fail(m.applyAndCompare(m.draw(t), m.draw(t), m.draw(t))) },
			"hold":  func(t *rapid.T) { m.delayed = append(m.delayed, m.draw(t)) },
			"late": func(t *rapid.T) {
				if len(m.delayed) > 0 {
					i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "which")
					p := m.delayed[i]
					m.delayed = append(m.delayed[:i:i], m.delayed[i+1:]...)
					fail(m.applyAndCompare(p))
				}
			},
			"again": func(t *rapid.T) {
				fail(m.applyAndCompare(rapid.SampledFrom(m.appended).Draw(t, "retry")))
			},
			"garbage": func(t *rapid.T) {
				cut := m.records[rapid.IntRange(0, len(m.records)-1).Draw(t, "record")]
				m.offset++
				cut = cut[:rapid.IntRange(0, max(0, len(cut)-1)).Draw(t, "length")]
				m.actual.Apply(m.offset, cut)
				m.rejoining.Apply(m.offset, cut)
				m.records = append(m.records, cut)
			},
			"image": func(t *rapid.T) {
				if m.image != nil && sum(t, restoreFrom(t, m.image.Snapshot)) != m.imageSum {
					t.Fatal("an image changed when the state did")
				}
				m.image, m.imageSum = m.actual.Image(), sum(t, m.actual)
			},
			"snapshot": func(t *rapid.T) {
				if rapid.IntRange(0, 2).Draw(t, "take") == 1 {
					m.rejoining = restore(t, m.rejoining)
				}
			},
			"": func(t *rapid.T) {
				fail(invariants(m.actual))
			},
		})
		whole := state.New()
		for i, data := range m.records {
			whole.Apply(uint64(i+1), data)
			whole.Apply(uint64(i+1), data)
		}
		for _, other := range []*state.State{whole, m.rejoining, m.actual.Clone()} {
			if sum(t, other) != sum(t, m.actual) {
				t.Fatalf("states differ:\n%s", cmp.Diff(view(m.actual), view(other)))
			}
		}
	})
	t.Log(applied)
	for i := 1; i < reflect.TypeFor[state.Proposal]().NumField(); i++ {
		if kind := reflect.TypeFor[state.Proposal]().Field(i).Name; applied[kind] < 200 {
			t.Errorf("%s was applied only %d times", kind, applied[kind])
		}
	}
}
