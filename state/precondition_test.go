package state_test

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"bergamotreel/internal/testkit"
	"bergamotreel/internal/wire"
	"bergamotreel/state"
)

// scenario applies proposals one by one.
type scenario struct {
	t *testing.T
	*harness
}

// propose applies a new proposal of the proposer and requires the verdict.
func (c scenario) propose(want state.Verdict, by string, p state.Proposal) state.Outcome {
	c.t.Helper()
	return c.proposeAs(want, c.identify(by, p))
}

// proposeAs applies a proposal with the ID it has and requires the verdict.
func (c scenario) proposeAs(want state.Verdict, p state.Proposal) state.Outcome {
	c.t.Helper()
	o := c.apply(c.t, p)
	testkit.Require(c.t, "verdict, "+o.Reason, o.Verdict, want)
	return o
}

func publish(customer string, base state.Revision, changed map[string]string) state.Proposal {
	return state.Proposal{Publish: &state.Publish{Customer: customer, Base: base, Sections: changed}}
}

// TestConcurrentPublishesConflict guards against lost updates when two operators
// change one contract based on the same version. The first to be appended is accepted;
// the second gets a conflict, and after it retries on the new version both changes are
// kept. Without the version check the last writer silently discards the first change.
func TestConcurrentPublishesConflict(t *testing.T) {
	c := scenario{t, newHarness()}
	base := c.actual.ContractVersion("hire")
	memory := map[string]string{"customer": "name = hire\nmemory = 9GB\nweight = 3\n"}
	adapter := map[string]string{`adapter "ad"`: "base = m1\ncheckpoint = ad\nmemory = 1GB\nmax_replicas = 1\n"}

	var overwritten map[string]string
	for _, changed := range []map[string]string{memory, adapter} {
		overwritten = mergeWithoutVersionCheck(c.actual.Contracts["hire"].Sections, changed)
	}
	if strings.Contains(overwritten["customer"], "9GB") {
		t.Fatal("the variant without version check kept the first change")
	}

	first := c.propose(state.VerdictApplied, "op1", publish("hire", base, memory))
	c.propose(state.VerdictConflict, "op2", publish("hire", base, adapter))
	c.propose(state.VerdictApplied, "op2", publish("hire", first.Revision, adapter))
	got := c.actual.Contracts["hire"].Contract
	if got.Weight != 3 || got.Adapters[0].MaxReplicas != 1 {
		t.Fatalf("lost a change: %+v", got)
	}
}

// mergeWithoutVersionCheck returns the contract in force if an operator's whole new
// contract, based on what it had read, replaces the current one.
func mergeWithoutVersionCheck(read, changed map[string]string) map[string]string {
	whole := maps.Clone(read)
	maps.Copy(whole, changed)
	return whole
}

// TestConcurrentGrantsKeepReplicaLimit guards against one replica too many when
// requests for a model that is not loaded reach two routers at once. Both see no
// replica and request one on different engines. If each loaded the model on that basis
// there would be two; here one grant is applied and the other exceeds the contract's
// limit.
func TestConcurrentGrantsKeepReplicaLimit(t *testing.T) {
	loaded := map[string]bool{}
	free := len(loaded) == 0 // both routers look before either loads
	for _, engine := range engines {
		if free {
			loaded[engine] = true
		}
	}
	testkit.Require(t, "replicas without grants", len(loaded), 2)

	c := scenario{t, newHarness()}
	c.propose(state.VerdictApplied, "op", publish("hire", c.actual.ContractVersion("hire"), sections("hire", 8, 1, 2)))
	c.propose(state.VerdictApplied, "p1", grant(c.actual, "e1"))
	testkit.Require(t, "reason", c.propose(state.VerdictLimit, "p2", grant(c.actual, "e2")).Reason, "contract's replicas")
}

// TestLateRemovalOfReturnedEngine guards against one replica more than the contract
// allows. An engine's VM leaves the VM list and the record that removes the engine is
// delayed. The VM comes back and is granted a right, or restarts and loads again under
// its existing right; then the removal is appended. Without the check of FencingToken
// and Incarnation, the engine and its right are deleted and one grant too many follows.
func TestLateRemovalOfReturnedEngine(t *testing.T) {
	granted := func(c scenario) { c.propose(state.VerdictApplied, "p1", grant(c.actual, "e1")) }
	restart := func(c scenario) {
		c.propose(state.VerdictApplied, "p1", state.Proposal{EngineReport: &state.EngineReport{
			Engine: "e1", Keeper: c.actual.Engines["e1"].Keeper, Incarnation: "2", MemoryBytes: 5 * gb}})
	}
	for name, changed := range map[string]struct{ before, after func(c scenario) }{
		"granted": {func(scenario) {}, granted},
		"restart": {granted, restart},
	} {
		for _, faulty := range []bool{false, true} {
			c := scenario{t, newHarness()}
			changed.before(c)
			seen := *c.actual.Engines["e1"]
			changed.after(c)
			if faulty {
				seen = *c.actual.Engines["e1"] // as if FencingToken and Incarnation were not checked
			}
			remove := state.Proposal{EngineRemove: &state.EngineRemove{Engine: "e1", FencingToken: seen.FencingToken, Incarnation: seen.Incarnation}}
			if faulty {
				c.propose(state.VerdictApplied, "p2", remove)
				c.propose(state.VerdictApplied, "p2", grant(c.actual, "e2"))
				continue
			}
			testkit.Equal(t, name, c.propose(state.VerdictConflict, "p2", remove).Reason, "engine changed since")
			c.propose(state.VerdictLimit, "p2", grant(c.actual, "e2"))
		}
	}
}

// TestRetryReturnsFirstOutcome guards against a wrong outcome for a retry. The reply
// of an append is lost and the retry is appended when the proposal's preconditions no
// longer hold. It must get the outcome of the first application, also after a snapshot.
func TestRetryReturnsFirstOutcome(t *testing.T) {
	c := scenario{t, newHarness()}
	p := c.identify("op", publish("hire", c.actual.ContractVersion("hire"), sections("hire", 9, 1, 2)))
	first := c.proposeAs(state.VerdictApplied, p)
	c.actual = restore(t, c.actual)
	second := c.proposeAs(state.VerdictApplied, p)
	if second.Revision != first.Revision || !second.Repeated {
		t.Fatalf("retry got %+v, first application %+v", second, first)
	}
}

// TestForgottenProposalsAreNotReapplied guards against applying a proposal twice when
// a retry is appended so late that its outcome, and later even its proposer, has been
// forgotten. The number of stored outcomes and proposers must stay bounded.
func TestForgottenProposalsAreNotReapplied(t *testing.T) {
	c := scenario{t, newHarness()}
	late := c.identify("op", publish("hire", c.actual.ContractVersion("hire"), sections("hire", 9, 1, 2)))
	c.proposeAs(state.VerdictApplied, late)
	version := c.actual.ContractVersion("hire")
	for range 9 {
		ps := make([]state.Proposal, state.MaxProposals)
		for i := range ps {
			ps[i] = c.identify("op", state.Proposal{EngineRemove: &state.EngineRemove{Engine: "none"}})
		}
		c.applyAndCompare(ps...)
	}
	testkit.Require(t, "reason", c.proposeAs(state.VerdictConflict, late).Reason, state.ReasonForgotten)
	if n := len(c.actual.Proposers["op"].RecentOutcomes); n > state.MaxProposals {
		t.Fatalf("%d outcomes of one proposer stored", n)
	}
	for i := range 3000 {
		c.propose(state.VerdictConflict, fmt.Sprint("op", i), state.Proposal{EngineRemove: &state.EngineRemove{Engine: "none"}})
	}
	if n := len(c.actual.Proposers); n > 2100 || c.actual.Proposers["op"] != nil || c.actual.Proposers["p1"] == nil {
		t.Fatalf("%d proposers stored, or the wrong ones", n)
	}
	if o := c.proposeAs(state.VerdictConflict, late); o.Repeated || c.actual.ContractVersion("hire") != version {
		t.Fatalf("the late duplicate took effect: %+v", o)
	}
}

// TestUnreadableRecordsChangeNothing guards against state changes by records that this
// version can't read: a record of a newer format, a proposal of an unknown kind, one of
// two kinds and one without an ID. Only the counts may change.
func TestUnreadableRecordsChangeNothing(t *testing.T) {
	c := scenario{t, newHarness()}
	before := view(c.actual)
	newer := testkit.Value(wire.Marshal(state.Record{Format: state.NewestFormat + 1}))(t)
	c.offset++
	c.actual.Apply(c.offset, newer)
	c.propose(state.VerdictInvalid, "p1", state.Proposal{})
	c.propose(state.VerdictInvalid, "p1", state.Proposal{ConfirmUnload: &state.ConfirmUnload{}, EngineRemove: &state.EngineRemove{Engine: "e1"}})
	c.proposeAs(state.VerdictInvalid, state.Proposal{EngineRemove: &state.EngineRemove{Engine: "e1"}})
	if view(c.actual) != before || c.actual.SkippedRecords != 1 {
		t.Fatalf("skipped %d, state changed: %v", c.actual.SkippedRecords, view(c.actual) != before)
	}
}

// TestPublishConflictsWithOtherContracts checks that a change is invalid as a whole if
// a key belongs to another customer, a unit differs in another contract, or the
// contract itself is malformed, and that a removed contract stays removed.
func TestPublishConflictsWithOtherContracts(t *testing.T) {
	c := scenario{t, newHarness()}
	key := map[string]string{`key "k"`: "sha256 = " + strings.Repeat("b", 64) + "\n"}
	c.propose(state.VerdictApplied, "op", publish("hire", c.actual.ContractVersion("hire"), key))
	for _, changed := range []map[string]string{
		key,
		{`model "m1"`: "checkpoint = other\nmemory = 2GB\n"},
		{`model "m1"`: "checkpoint = ck2\nmemory = 3GB\n"},
		{"customer": "name = hire\nmemory = 1GB\n"},
		{"customer": "memory = lots\n"},
		{"customer": ""},
	} {
		c.propose(state.VerdictInvalid, "op", publish("debt", c.actual.ContractVersion("debt"), changed))
	}
	first := c.identify("op", publish("late", 0, sections("late", 8, 1, 2)))
	added := c.proposeAs(state.VerdictApplied, first)
	c.propose(state.VerdictApplied, "op", state.Proposal{Publish: &state.Publish{Customer: "late", Base: added.Revision, Remove: true}})
	first.ID.Proposer = "forgotten"
	c.proposeAs(state.VerdictConflict, first)
	if owner, ok := c.actual.KeyOwner(strings.Repeat("b", 64)); !ok || owner != "hire" {
		t.Fatal("key lost its owner")
	}
	testkit.Require(t, "newest version, of the last publish", c.actual.NewestContractVersion(), c.actual.ContractVersion("late"))
}
