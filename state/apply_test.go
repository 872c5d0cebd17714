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

// machine lands drawn proposals in our fold and in the reference.
type machine struct {
	ours *state.State
	// rejoining is a second VM that often starts from a snapshot.
	rejoining *state.State
	naive     *reference
	offset    uint64
	sequence  map[string]uint64
	// held were proposed and have not landed; landed may land again.
	held, landed []state.Proposal
	records      [][]byte
	// image is a copy taken earlier, when the state had the sum.
	image    *state.Image
	imageSum uint64
	// applied counts by kind what was applied. Kinds that are rarely applied
	// would show that the draws prove little.
	applied map[string]int
}

var (
	customers = []string{"hire", "debt"}
	units     = []string{"m1", "m2", "ad"}
	engines   = []string{"e1", "e2"}
	proposers = []string{"p1", "p2", "p3"}
)

func newMachine() *machine {
	m := &machine{applied: map[string]int{}, ours: state.New(), rejoining: state.New(), naive: newReference(), sequence: map[string]uint64{}}
	for _, customer := range customers {
		m.land(m.identify("op", state.Proposal{Publish: &state.Publish{Customer: customer, Sections: sections(customer, 8, 1, 2)}}))
	}
	for _, p := range proposers {
		m.land(m.identify(p, state.Proposal{SessionOpen: &state.SessionOpen{VM: p, Incarnation: "1"}}))
	}
	for i, engine := range engines {
		by, session := proposers[i], sortedSessions(m.ours)[i]
		m.land(m.identify(by, state.Proposal{KeeperAcquire: &state.KeeperAcquire{Engine: engine, Session: session}}))
		m.land(m.identify(by, state.Proposal{EngineReport: &state.EngineReport{
			Engine: engine, Keeper: m.ours.Engines[engine].Keeper, Incarnation: "1", MemoryBytes: 5 * gb, ChecksTokens: i == 0}}))
	}
	return m
}

// kindOf names the field of a proposal that is set.
func kindOf(p state.Proposal) string {
	v := reflect.ValueOf(p)
	for i := 1; i < v.NumField(); i++ {
		if !v.Field(i).IsNil() {
			return v.Type().Field(i).Name
		}
	}
	return ""
}

// sections is a contract with two models and an adapter on the first one.
func sections(customer string, memory, replicas, unitMemory int) map[string]string {
	unit := fmt.Sprintf("checkpoint = ck%d\nmemory = %dGB\nmax_replicas = %d\n", unitMemory, unitMemory, replicas)
	return map[string]string{
		"customer":     fmt.Sprintf("name = %s\nmemory = %dGB\n", customer, memory),
		`model "m1"`:   unit,
		`model "m2"`:   unit,
		`adapter "ad"`: "base = m1\ncheckpoint = ad\nmemory = 1GB\nmax_replicas = 2\n",
	}
}

func (m *machine) identify(by string, p state.Proposal) state.Proposal {
	m.sequence[by]++
	p.ID = state.ProposalID{Proposer: by, Sequence: m.sequence[by]}
	return p
}

// land folds one record and returns a difference between ours and the reference.
func (m *machine) land(ps ...state.Proposal) string {
	data, err := state.Encode(state.Record{Proposals: ps})
	if err != nil {
		return err.Error()
	}
	m.offset++
	m.records = append(m.records, data)
	m.landed = append(m.landed, ps...)
	m.rejoining.Apply(m.offset, data)
	for i, o := range m.ours.Apply(m.offset, data) {
		want := m.naive.land(state.MakeRevision(m.offset, i), ps[i])
		if o.Verdict == state.VerdictApplied && !o.Repeated {
			m.applied[kindOf(ps[i])]++
		}
		if (o.Verdict == state.VerdictApplied) != (want.Verdict == state.VerdictApplied) || o.Revision != want.Revision {
			return fmt.Sprintf("%+v: ours %+v, reference %+v", ps[i], o, want)
		}
	}
	return cmp.Diff(m.naive.view(), view(m.ours))
}

// drawing is what the parts of a drawn proposal are picked from.
type drawing struct {
	*rapid.T
	m *machine
	// engine and right are of the named engine and unit, zero without one.
	name, unit, customer string
	engine               state.Engine
	right                state.Right
	session              state.Session
	// keeper is the engine's keeper, or now and then another revision.
	keeper state.Revision
	yes    bool
}

// rarely is true about once in 20 draws: rapid favours the ends of a range.
func rarely(t *rapid.T) bool { return rapid.IntRange(0, 19).Draw(t, "rarely") == 7 }

// stale returns the revision, or now and then another one.
func (d *drawing) stale(r state.Revision) state.Revision {
	if rarely(d.T) {
		return state.MakeRevision(rapid.Uint64Range(0, d.m.offset).Draw(d.T, "other"), 0)
	}
	return r
}

func (d *drawing) publish() *state.Publish {
	replicas := rapid.IntRange(0, 3).Draw(d.T, "replicas")
	memory := rapid.IntRange(2, 9).Draw(d.T, "memory")
	changed := sections(d.customer, memory, replicas, rapid.IntRange(1, 2).Draw(d.T, "unit memory"))
	if published := d.m.ours.Contracts[d.customer]; published == nil || published.Contract == nil {
		return &state.Publish{Customer: d.customer, Base: d.stale(d.m.ours.ConfigVersion(d.customer)), Sections: changed}
	}
	delete(changed, rapid.SampledFrom([]string{"customer", `model "m1"`, `adapter "ad"`}).Draw(d.T, "same"))
	if replicas == 0 {
		changed[`key "k"`] = "sha256 = " + strings.Repeat("a", 64) + "\n"
	}
	return &state.Publish{
		Customer: d.customer, Base: d.stale(d.m.ours.ConfigVersion(d.customer)), Sections: changed,
		Remove: rarely(d.T),
	}
}

// kinds are drawn as often as their weight says.
var kinds = []struct {
	weight int
	make   func(d *drawing) state.Proposal
}{
	{24, func(d *drawing) state.Proposal {
		return state.Proposal{Grant: &state.Grant{Engine: d.name, Keeper: d.keeper, Customer: d.customer, Unit: d.unit, Wanted: d.yes}}
	}},
	{6, func(d *drawing) state.Proposal {
		return state.Proposal{SetWanted: &state.SetWanted{Engine: d.name, Keeper: d.keeper, Unit: d.unit, Right: d.stale(d.right.Granted), Wanted: d.yes}}
	}},
	{14, func(d *drawing) state.Proposal {
		return state.Proposal{Withdraw: &state.Withdraw{Engine: d.name, Keeper: d.keeper, Unit: d.unit, Right: d.stale(d.right.Granted)}}
	}},
	{28, func(d *drawing) state.Proposal {
		return state.Proposal{ConfirmUnload: &state.ConfirmUnload{Engine: d.name, Keeper: d.keeper, Unit: d.unit, Right: d.stale(d.right.Granted)}}
	}},
	{2, func(d *drawing) state.Proposal { return state.Proposal{Publish: d.publish()} }},
	{3, func(d *drawing) state.Proposal {
		return state.Proposal{SessionOpen: &state.SessionOpen{VM: "vm", Incarnation: "1"}}
	}},
	{2, func(d *drawing) state.Proposal {
		return state.Proposal{SessionRenew: &state.SessionRenew{Session: d.session.ID}}
	}},
	{3, func(d *drawing) state.Proposal {
		renewals := []state.Renewal{{Session: d.session.ID, Number: uint64(rapid.IntRange(1, 6).Draw(d.T, "number"))}}
		for id, session := range d.m.ours.Sessions {
			renewals = append(renewals, state.Renewal{Session: id, Number: session.RenewalNumber + 1})
		}
		return state.Proposal{SessionsRenew: &state.SessionsRenew{Renewals: renewals}}
	}},
	{4, func(d *drawing) state.Proposal {
		return state.Proposal{SessionClose: &state.SessionClose{Session: d.session.ID}}
	}},
	{5, func(d *drawing) state.Proposal {
		return state.Proposal{SessionExpire: &state.SessionExpire{Session: d.session.ID, LastRenewal: d.stale(d.session.LastRenewal)}}
	}},
	{7, func(d *drawing) state.Proposal {
		return state.Proposal{SessionSettle: &state.SessionSettle{Session: d.session.ID}}
	}},
	{6, func(d *drawing) state.Proposal {
		return state.Proposal{KeeperAcquire: &state.KeeperAcquire{Engine: d.name, Session: d.session.ID, Previous: d.stale(d.engine.Keeper)}}
	}},
	{6, func(d *drawing) state.Proposal {
		return state.Proposal{KeeperRelease: &state.KeeperRelease{Engine: d.name, Keeper: d.keeper, Settled: d.yes}}
	}},
	{3, func(d *drawing) state.Proposal {
		memory := int64(rapid.IntRange(2, 6).Draw(d.T, "engine memory")) * gb
		return state.Proposal{EngineReport: &state.EngineReport{Engine: d.name, Keeper: d.keeper, Incarnation: "1", MemoryBytes: memory, ChecksTokens: d.yes}}
	}},
	{1, func(d *drawing) state.Proposal {
		return state.Proposal{EngineRemove: &state.EngineRemove{Engine: d.name, FencingToken: d.stale(d.engine.FencingToken), Incarnation: d.engine.Incarnation}}
	}},
}

// draw makes a proposal that mostly fits what is folded.
func (m *machine) draw(t *rapid.T) state.Proposal {
	d := &drawing{
		T: t, m: m, yes: rapid.Bool().Draw(t, "yes"),
		name:     rapid.SampledFrom(engines).Draw(t, "engine"),
		unit:     rapid.SampledFrom(units).Draw(t, "unit"),
		customer: rapid.SampledFrom(customers).Draw(t, "customer"),
	}
	if e := m.ours.Engines[d.name]; e != nil {
		d.engine = *e
		if held := slices.Sorted(maps.Keys(e.Rights)); len(held) > 0 && !rarely(t) {
			d.unit = rapid.SampledFrom(held).Draw(t, "right")
		}
		if right := e.Rights[d.unit]; right != nil {
			d.right = *right
		}
	}
	if ids := sortedSessions(m.ours); len(ids) > 0 {
		if ended := slices.DeleteFunc(slices.Clone(ids), func(id state.SessionID) bool { return !m.ours.Sessions[id].Ended }); len(ended) > 0 && d.yes {
			ids = ended
		}
		d.session = *m.ours.Sessions[rapid.SampledFrom(ids).Draw(t, "session")]
	}
	d.keeper = d.stale(d.engine.Keeper)
	var weights []int
	for kind := range kinds {
		for range kinds[kind].weight {
			weights = append(weights, kind)
		}
	}
	p := kinds[rapid.SampledFrom(weights).Draw(t, "kind")].make(d)
	return m.identify(m.speaker(d, p), p)
}

// speaker picks who proposes: mostly the process that may.
func (m *machine) speaker(d *drawing, p state.Proposal) string {
	if rarely(d.T) {
		return rapid.SampledFrom(proposers).Draw(d.T, "by")
	}
	if s := m.ours.Sessions[d.engine.KeeperSession]; s != nil && (p.ConfirmUnload != nil || p.EngineReport != nil || p.KeeperRelease != nil) {
		return s.Proposer
	}
	if d.session.Proposer != "" {
		return d.session.Proposer
	}
	return proposers[0]
}

// TestFoldAgreesWithReference lands random proposals alone, in groups, late,
// twice and among garbage. After every record ours must decide and hold exactly
// what the reference recomputes from scratch, and a VM that keeps starting from
// snapshots must hold the same.
func TestFoldAgreesWithReference(t *testing.T) {
	t.Parallel()
	applied := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		m.applied = applied
		fail := func(diff string) {
			if diff != "" {
				t.Fatal(diff)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"land":  func(t *rapid.T) { fail(m.land(m.draw(t))) },
			"land2": func(t *rapid.T) { fail(m.land(m.draw(t))) },
			"group": func(t *rapid.T) { fail(m.land(m.draw(t), m.draw(t), m.draw(t))) },
			"hold":  func(t *rapid.T) { m.held = append(m.held, m.draw(t)) },
			"late": func(t *rapid.T) {
				if len(m.held) > 0 {
					i := rapid.IntRange(0, len(m.held)-1).Draw(t, "which")
					p := m.held[i]
					m.held = append(m.held[:i:i], m.held[i+1:]...)
					fail(m.land(p))
				}
			},
			"again": func(t *rapid.T) {
				fail(m.land(rapid.SampledFrom(m.landed).Draw(t, "retry")))
			},
			"garbage": func(t *rapid.T) {
				cut := m.records[rapid.IntRange(0, len(m.records)-1).Draw(t, "record")]
				m.offset++
				cut = cut[:rapid.IntRange(0, max(0, len(cut)-1)).Draw(t, "length")]
				m.ours.Apply(m.offset, cut)
				m.rejoining.Apply(m.offset, cut)
				m.records = append(m.records, cut)
			},
			"image": func(t *rapid.T) {
				if m.image != nil && sum(t, restoredFrom(t, m.image.Snapshot)) != m.imageSum {
					t.Fatal("an image changed with the state")
				}
				m.image, m.imageSum = m.ours.Image(), sum(t, m.ours)
			},
			"snapshot": func(t *rapid.T) {
				if rapid.IntRange(0, 2).Draw(t, "take") == 1 {
					m.rejoining = restored(t, m.rejoining)
				}
			},
			"": func(t *rapid.T) {
				fail(invariants(m.ours))
			},
		})
		whole := state.New()
		for i, data := range m.records {
			whole.Apply(uint64(i+1), data)
			whole.Apply(uint64(i+1), data)
		}
		for _, other := range []*state.State{whole, m.rejoining, m.ours.Clone()} {
			if sum(t, other) != sum(t, m.ours) {
				t.Fatalf("states differ:\n%s", cmp.Diff(view(m.ours), view(other)))
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
