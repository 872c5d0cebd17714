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

// script lands proposals one by one.
type script struct {
	t *testing.T
	*machine
}

// do lands one proposal of a proposer and wants the verdict.
func (c script) do(want state.Verdict, by string, p state.Proposal) state.Outcome {
	c.t.Helper()
	return c.again(want, c.identify(by, p))
}

// again lands a proposal as it is.
func (c script) again(want state.Verdict, p state.Proposal) state.Outcome {
	c.t.Helper()
	o := c.fold(c.t, p)
	testkit.Require(c.t, "verdict, "+o.Reason, o.Verdict, want)
	return o
}

func publish(customer string, base state.Revision, changed map[string]string) state.Proposal {
	return state.Proposal{Publish: &state.Publish{Customer: customer, Base: base, Sections: changed}}
}

// TestRacingOperators: two operators change one contract at once. Both read
// version 1; the first to land wins, the second is told of the conflict, and on
// its new base it keeps what the first one changed. The naive twin lets the last
// writer win, and the first operator's accepted change is gone without a word.
func TestRacingOperators(t *testing.T) {
	c := script{t, newMachine()}
	base := c.ours.ConfigVersion("hire")
	memory := map[string]string{"customer": "name = hire\nmemory = 9GB\nweight = 3\n"}
	adapter := map[string]string{`adapter "ad"`: "base = m1\ncheckpoint = ad\nmemory = 1GB\nmax_replicas = 1\n"}

	var naive map[string]string
	for _, changed := range []map[string]string{memory, adapter} {
		naive = mergedBlindly(c.ours.Contracts["hire"].Sections, changed)
	}
	if strings.Contains(naive["customer"], "9GB") {
		t.Fatal("the naive twin kept the first change")
	}

	first := c.do(state.VerdictApplied, "op1", publish("hire", base, memory))
	c.do(state.VerdictConflict, "op2", publish("hire", base, adapter))
	c.do(state.VerdictApplied, "op2", publish("hire", first.Revision, adapter))
	got := c.ours.Contracts["hire"].Contract
	if got.Weight != 3 || got.Adapters[0].MaxReplicas != 1 {
		t.Fatalf("lost a change: %+v", got)
	}
}

// mergedBlindly is the naive twin: each operator's whole new contract, made from
// what it had read, replaces the one in force.
func mergedBlindly(read, changed map[string]string) map[string]string {
	whole := maps.Clone(read)
	maps.Copy(whole, changed)
	return whole
}

// TestBurstAtTwoRouters: requests for one sleeping model reach two routers at
// once. Both look at the engines, see no replica and ask for one on different
// engines. The naive twin loads after its look and makes two replicas of one
// decided; here one grant lands and the other comes to the contract's limit.
func TestBurstAtTwoRouters(t *testing.T) {
	loaded := map[string]bool{}
	free := len(loaded) == 0 // both routers look before either loads
	for _, engine := range engines {
		if free {
			loaded[engine] = true
		}
	}
	testkit.Require(t, "replicas of the naive twin", len(loaded), 2)

	c := script{t, newMachine()}
	c.do(state.VerdictApplied, "op", publish("hire", c.ours.ConfigVersion("hire"), sections("hire", 8, 1, 2)))
	c.do(state.VerdictApplied, "p1", grant(c.ours, "e1"))
	testkit.Require(t, "reason", c.do(state.VerdictLimit, "p2", grant(c.ours, "e2")).Reason, "contract's replicas")
}

// TestLateRemovalOfAnEngineThatCameBack: a caller's model is loaded on one engine
// more than its contract allows. An engine's VM leaves the list; its removal is
// appended, and the record is held up. The VM comes back and is granted a right,
// or restarts and loads again by the one that stands; then the removal lands. The
// naive twin forgets the engine and its right, and the next grant is one too many.
func TestLateRemovalOfAnEngineThatCameBack(t *testing.T) {
	granted := func(c script) { c.do(state.VerdictApplied, "p1", grant(c.ours, "e1")) }
	restart := func(c script) {
		c.do(state.VerdictApplied, "p1", state.Proposal{EngineReport: &state.EngineReport{
			Engine: "e1", Keeper: c.ours.Engines["e1"].Keeper, Incarnation: "2", MemoryBytes: 5 * gb}})
	}
	for name, changed := range map[string]struct{ before, after func(c script) }{
		"granted": {func(script) {}, granted},
		"restart": {granted, restart},
	} {
		for _, naive := range []bool{false, true} {
			c := script{t, newMachine()}
			changed.before(c)
			seen := *c.ours.Engines["e1"]
			changed.after(c)
			if naive {
				seen = *c.ours.Engines["e1"] // as if the record said nothing of what was seen
			}
			remove := state.Proposal{EngineRemove: &state.EngineRemove{Engine: "e1", FencingToken: seen.FencingToken, Incarnation: seen.Incarnation}}
			if naive {
				c.do(state.VerdictApplied, "p2", remove)
				c.do(state.VerdictApplied, "p2", grant(c.ours, "e2"))
				continue
			}
			testkit.Equal(t, name, c.do(state.VerdictConflict, "p2", remove).Reason, "engine changed since")
			c.do(state.VerdictLimit, "p2", grant(c.ours, "e2"))
		}
	}
}

// TestRetryGetsTheFirstOutcome: the answer of an append is lost after it took
// effect. The retry lands later, when its preconditions no longer hold; it is
// answered as its first landing was, also after a snapshot.
func TestRetryGetsTheFirstOutcome(t *testing.T) {
	c := script{t, newMachine()}
	p := c.identify("op", publish("hire", c.ours.ConfigVersion("hire"), sections("hire", 9, 1, 2)))
	first := c.again(state.VerdictApplied, p)
	c.ours = restored(t, c.ours)
	second := c.again(state.VerdictApplied, p)
	if second.Revision != first.Revision || !second.Repeated {
		t.Fatalf("retry came to %+v, first landing to %+v", second, first)
	}
}

// TestForgottenOutcomesStayHarmless: a retry lands so late that its outcome, and
// then even its proposer, has been forgotten. It must not be applied again, and
// what is remembered must stay bounded.
func TestForgottenOutcomesStayHarmless(t *testing.T) {
	c := script{t, newMachine()}
	late := c.identify("op", publish("hire", c.ours.ConfigVersion("hire"), sections("hire", 9, 1, 2)))
	c.again(state.VerdictApplied, late)
	version := c.ours.ConfigVersion("hire")
	for range 9 {
		ps := make([]state.Proposal, state.MaxProposals)
		for i := range ps {
			ps[i] = c.identify("op", state.Proposal{EngineRemove: &state.EngineRemove{Engine: "none"}})
		}
		c.land(ps...)
	}
	testkit.Require(t, "reason", c.again(state.VerdictConflict, late).Reason, state.ReasonForgotten)
	if n := len(c.ours.Proposers["op"].RecentOutcomes); n > state.MaxProposals {
		t.Fatalf("%d outcomes of one proposer remembered", n)
	}
	for i := range 3000 {
		c.do(state.VerdictConflict, fmt.Sprint("op", i), state.Proposal{EngineRemove: &state.EngineRemove{Engine: "none"}})
	}
	if n := len(c.ours.Proposers); n > 2100 || c.ours.Proposers["op"] != nil || c.ours.Proposers["p1"] == nil {
		t.Fatalf("%d proposers remembered, or the wrong ones", n)
	}
	if o := c.again(state.VerdictConflict, late); o.Repeated || c.ours.ConfigVersion("hire") != version {
		t.Fatalf("the late duplicate took effect: %+v", o)
	}
}

// TestUnreadableRecords: a record of a newer version, a proposal of a kind that
// this version doesn't know and one of two kinds change nothing but the counts.
func TestUnreadableRecords(t *testing.T) {
	c := script{t, newMachine()}
	before := view(c.ours)
	newer := testkit.Value(wire.Marshal(state.Record{Format: state.NewestFormat + 1}))(t)
	c.offset++
	c.ours.Apply(c.offset, newer)
	c.do(state.VerdictInvalid, "p1", state.Proposal{})
	c.do(state.VerdictInvalid, "p1", state.Proposal{ConfirmUnload: &state.ConfirmUnload{}, EngineRemove: &state.EngineRemove{Engine: "e1"}})
	c.again(state.VerdictInvalid, state.Proposal{EngineRemove: &state.EngineRemove{Engine: "e1"}})
	if view(c.ours) != before || c.ours.SkippedRecords != 1 {
		t.Fatalf("skipped %d, state changed: %v", c.ours.SkippedRecords, view(c.ours) != before)
	}
}

// TestPublishBesideOthers: a key or a unit that another contract names otherwise
// makes the whole change invalid, and a removed contract stays removed.
func TestPublishBesideOthers(t *testing.T) {
	c := script{t, newMachine()}
	key := map[string]string{`key "k"`: "sha256 = " + strings.Repeat("b", 64) + "\n"}
	c.do(state.VerdictApplied, "op", publish("hire", c.ours.ConfigVersion("hire"), key))
	for _, changed := range []map[string]string{
		key,
		{`model "m1"`: "checkpoint = other\nmemory = 2GB\n"},
		{`model "m1"`: "checkpoint = ck2\nmemory = 3GB\n"},
		{"customer": "name = hire\nmemory = 1GB\n"},
		{"customer": "memory = lots\n"},
		{"customer": ""},
	} {
		c.do(state.VerdictInvalid, "op", publish("debt", c.ours.ConfigVersion("debt"), changed))
	}
	first := c.identify("op", publish("late", 0, sections("late", 8, 1, 2)))
	added := c.again(state.VerdictApplied, first)
	c.do(state.VerdictApplied, "op", state.Proposal{Publish: &state.Publish{Customer: "late", Base: added.Revision, Remove: true}})
	first.ID.Proposer = "forgotten"
	c.again(state.VerdictConflict, first)
	if owner, ok := c.ours.KeyOwner(strings.Repeat("b", 64)); !ok || owner != "hire" {
		t.Fatal("key lost its owner")
	}
	testkit.Require(t, "newest version, of the last publish", c.ours.NewestVersion(), c.ours.ConfigVersion("late"))
}
