package keeper

import (
	"fmt"
	"strings"
	"testing"

	"bergamotreel/engine"
	"bergamotreel/internal/testkit"
	"bergamotreel/state"
)

// The next steps of a keeper depend only on the control state, the engine's status
// and the keeper's record of its own orders. The engine is kept since revision 10;
// the model m is granted at 20, the adapter x on it at 21.
func TestNextSteps(t *testing.T) {
	type rights = map[string]*state.Right
	base := func(change ...func(*state.Right)) *state.Right {
		r := &state.Right{Unit: "m", Checkpoint: "m:v1", Granted: 20, Wanted: true, UnsettledSessions: []state.SessionID{1}}
		for _, c := range change {
			c(r)
		}
		return r
	}
	adapter := &state.Right{Unit: "x", Base: "m", Checkpoint: "x:v1", Granted: 21, Wanted: true}
	withdrawn := func(r *state.Right) { r.Withdrawn, r.Wanted = 30, false }
	standby := func(r *state.Right) { r.Wanted = false }
	formerKeeper := func(r *state.Right) { r.UnsettledSessions = append(r.UnsettledSessions, 2) }
	unit := func(name, base, checkpoint string, phase engine.Phase) engine.Unit {
		return engine.Unit{Unit: name, Base: base, Checkpoint: checkpoint, Phase: phase}
	}
	m := func(phase engine.Phase) engine.Unit { return unit("m", "", "m:v1", phase) }
	unloadAnswered := func(o *observation) { o.orders.answeredUnloads = map[state.Revision]bool{30: true} }
	inBackoff := func(o *observation) { o.orders.inBackoff = map[string]bool{"m": true} }
	pendingLoad := func(o *observation) { o.orders.pendingLoads = map[string]bool{"m": true} }
	ignoresTokens := func(o *observation) { o.status.ChecksTokens, o.recorded.ChecksTokens = false, false }
	type list = []func(*observation)
	for name, c := range map[string]struct {
		rights rights
		units  []engine.Unit
		set    list
		want   string
	}{
		"not fenced":                {rights{"m": base()}, nil, list{func(o *observation) { o.orders.fencedToken = 9 }}, "fence@20"},
		"restarted":                 {rights{"m": base()}, nil, list{func(o *observation) { o.status.Incarnation = "i2" }}, "meet load m@20"},
		"restarted, smaller":        {rights{"m": base()}, nil, list{func(o *observation) { o.recorded.MemoryBytes = 1 }}, "meet"},
		"no token checks":           {rights{"m": base()}, nil, list{func(o *observation) { o.status.ChecksTokens = false }}, "meet"},
		"first contact":             {rights{"m": base()}, nil, list{func(o *observation) { o.recorded.Incarnation = "" }}, "meet"},
		"wanted":                    {rights{"m": base()}, nil, nil, "load m@20"},
		"in backoff":                {rights{"m": base()}, nil, list{inBackoff}, ""},
		"loading":                   {rights{"m": base()}, []engine.Unit{m(engine.PhaseLoading)}, nil, ""},
		"adapter waits":             {rights{"m": base(), "x": adapter}, nil, nil, "load m@21"},
		"adapter after base":        {rights{"m": base(), "x": adapter}, []engine.Unit{m(engine.PhaseReady)}, nil, "load x@21"},
		"standby":                   {rights{"m": base(standby)}, []engine.Unit{m(engine.PhaseReady)}, nil, "unload m@20"},
		"standby, log outage":       {rights{"m": base(standby)}, nil, list{func(o *observation) { o.orders.outageUnits = map[string]bool{"m": true} }}, "load m@20"},
		"stray units":               {nil, []engine.Unit{m(engine.PhaseReady), unit("x", "m", "", engine.PhaseReady)}, nil, "unload x@10 unload m@10"},
		"older checkpoint":          {rights{"m": base()}, []engine.Unit{unit("m", "", "m:v0", engine.PhaseReady)}, nil, "unload m@20"},
		"withdrawn":                 {rights{"m": base(withdrawn)}, []engine.Unit{m(engine.PhaseReady)}, nil, "unload m@30"},
		"withdrawn, not shown":      {rights{"m": base(withdrawn)}, nil, nil, "unload m@30"},
		"unloading":                 {rights{"m": base(withdrawn)}, []engine.Unit{m(engine.PhaseUnloading)}, list{unloadAnswered}, ""},
		"reloaded late":             {rights{"m": base(withdrawn)}, []engine.Unit{m(engine.PhaseLoading)}, list{unloadAnswered}, "unload m@30"},
		"unload confirmed":          {rights{"m": base(withdrawn)}, nil, list{unloadAnswered, pendingLoad}, "gone m"},
		"unload confirmed, ignores": {rights{"m": base(withdrawn)}, nil, list{unloadAnswered, ignoresTokens}, "gone m"},
		"pending, ignores":          {rights{"m": base(withdrawn)}, nil, list{unloadAnswered, ignoresTokens, pendingLoad}, ""},
		"former keeper":             {rights{"m": base(withdrawn, formerKeeper)}, nil, list{unloadAnswered}, "gone m"},
		"former, ignores":           {rights{"m": base(withdrawn, formerKeeper)}, nil, list{unloadAnswered, ignoresTokens}, ""},
		"token is kept":             {rights{"m": base()}, nil, list{func(o *observation) { o.recorded.FencingToken = 40 }}, "load m@40"},
		"token not seen":            {rights{"m": base(withdrawn)}, nil, list{unloadAnswered, func(o *observation) { o.status.HighestToken = 29 }}, "unload m@30"},
	} {
		t.Run(name, func(t *testing.T) {
			o := observation{
				recorded: state.Engine{Keeper: 10, KeeperSession: 1, Incarnation: "i1", ChecksTokens: true, Rights: c.rights},
				status:   engine.Status{Incarnation: "i1", ChecksTokens: true, HighestToken: 30, Units: c.units},
				orders:   orderState{fencedToken: 10},
			}
			for _, right := range c.rights {
				o.recorded.FencingToken = max(o.recorded.FencingToken, right.Granted, right.Withdrawn)
			}
			for _, set := range c.set {
				set(&o)
			}
			var got []string
			for _, s := range nextSteps(o) {
				text := strings.TrimSpace(fmt.Sprintf("%s %s", s.kind, s.order.Unit))
				if s.order.Token != 0 {
					text += fmt.Sprint("@", s.order.Token)
				}
				got = append(got, text)
			}
			testkit.Equal(t, "steps", strings.Join(got, " "), c.want)
		})
	}
}
