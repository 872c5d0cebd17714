package keeper

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bergamotreel/contract"
	"bergamotreel/engine"
	"bergamotreel/internal/commit"
	"bergamotreel/internal/control"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/internal/standin/logserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/lease"
	"bergamotreel/state"
)

const gigabyte = 1 << 30

var testLease = lease.Config{
	Term: 9 * time.Second, Margin: time.Second, RenewInterval: 1500 * time.Millisecond, MessageLifetime: 10 * time.Second,
}

// testCluster runs real keepers and controls on a log and engines in memory, in
// virtual time. It fails the test whenever an engine holds a unit without a right,
// unless the test runs a faulty variant that is expected to cause this.
type testCluster struct {
	*testing.T
	ctx        context.Context
	log        *logserver.Store
	engines    *engineserver.InMemoryClient
	vms        map[string]*vm
	goroutines sync.WaitGroup
	// mu guards the fields below.
	mu sync.Mutex
	// listed are the VMs on the VM list, settler the one chosen to end and settle
	// sessions.
	listed      []string
	settler     string
	listVersion uint64
	// statusCalls counts the statuses that keepers received from engines.
	statusCalls int
	// releaseDelay delays releases; releaseProposed is whether a delayed one was
	// proposed.
	releaseDelay    time.Duration
	releaseProposed bool
	// rightViolated is whether an engine held a unit without a right,
	// violationExpected whether a faulty variant is expected to cause this.
	violationExpected, rightViolated bool
}

type vm struct {
	control  *control.Control
	keeper   *Keeper
	view     *logserver.View
	assigned []string
	stop     context.CancelFunc
}

func (tc *testCluster) assignedEngines(v *vm) []string {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return v.assigned
}

// withLock changes fields that other goroutines read.
func (tc *testCluster) withLock(change func()) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	change()
}

var engineKinds = map[string]bool{"checks tokens": true, "ignores tokens": false}

// forEachEngineKind runs the test with an engine "e" of each kind and VMs "a", its
// keeper, and "b". A contract with the models m and n, one replica each, is
// published.
func forEachEngineKind(t *testing.T, test func(tc *testCluster, checksTokens bool)) {
	for name, checksTokens := range engineKinds {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc := newTestCluster(t)
				tc.addEngine("e", checksTokens)
				tc.startVM("a", "e")
				time.Sleep(2 * time.Second)
				tc.startVM("b", "e")
				time.Sleep(2 * time.Second)
				tc.publish()
				test(tc, checksTokens)
			})
		})
	}
}

// runForEachEngineKind is forEachEngineKind for one of several cases of a test.
func runForEachEngineKind(t *testing.T, name string, test func(tc *testCluster, checksTokens bool)) {
	t.Run(name, func(t *testing.T) { forEachEngineKind(t, test) })
}

func newTestCluster(t *testing.T) *testCluster {
	ctx, cancel := context.WithCancel(t.Context())
	tc := &testCluster{
		T: t, ctx: ctx, log: logserver.New(logserver.Config{}), engines: engineserver.NewInMemoryClient(),
		vms: map[string]*vm{}, settler: "b",
	}
	tc.goroutines.Go(tc.monitor)
	t.Cleanup(func() {
		cancel()
		tc.goroutines.Wait()
		testkit.Equal(t, "an engine held a unit without a right", tc.rightViolated, tc.violationExpected)
	})
	return tc
}

func (tc *testCluster) addEngine(address string, checksTokens bool) *engineserver.Engine {
	e := engineserver.New(engineserver.Options{
		Name: address, MemoryBytes: 40 * gigabyte, ChecksTokens: checksTokens, DiskBytesPerSecond: 8 * gigabyte,
	})
	tc.Cleanup(e.Close)
	tc.engines.Put(address, e)
	return e
}

// startVM runs a VM to which the given engines are assigned.
func (tc *testCluster) startVM(name string, assigned ...string) *vm {
	v := &vm{view: tc.log.View(name), assigned: assigned}
	v.control = control.New(control.Config{
		Log: v.view, Logger: zap.NewNop(), Incarnation: name,
		WritesSnapshots: func() bool { return false }, OnChange: func() { v.keeper.WakeChangedWorkers() },
	})
	v.keeper = New(Config{
		VM: name, Incarnation: name, Domain: "d", Control: delayedReleases{v.control, tc}, Engines: tc.engines, Logger: zap.NewNop(),
		Lease: testLease, MessageLifetime: testLease.MessageLifetime,
		AssignedEngines: func() []string { return tc.assignedEngines(v) }, OutageDemand: func() map[string]bool { return nil },
		ShouldSettle: func(string) bool {
			tc.mu.Lock()
			defer tc.mu.Unlock()
			return tc.settler == name
		},
		DomainOf: func(string) string { return "d" }, RecordStatus: func(string, engine.Status, error) { tc.withLock(func() { tc.statusCalls++ }) },
	})
	ctx, stop := context.WithCancel(tc.ctx)
	v.stop = stop
	for _, loop := range []func(context.Context){v.control.Follow, v.control.Commit, v.keeper.Run} {
		tc.goroutines.Go(func() { loop(ctx) })
	}
	tc.mu.Lock()
	tc.vms[name] = v
	tc.listed = append(tc.listed, name)
	tc.listVersion++
	tc.mu.Unlock()
	return v
}

// delayedReleases applies releases releaseDelay after they were proposed and loses
// their answers.
type delayedReleases struct {
	Control
	cluster *testCluster
}

func (c delayedReleases) Propose(ctx context.Context, p state.Proposal) (state.Outcome, error) {
	c.cluster.mu.Lock()
	delay := c.cluster.releaseDelay
	if p.KeeperRelease != nil && delay > 0 {
		c.cluster.releaseProposed = true
	}
	c.cluster.mu.Unlock()
	if p.KeeperRelease == nil || delay == 0 {
		return c.Control.Propose(ctx, p)
	}
	c.cluster.goroutines.Go(func() {
		time.Sleep(delay)
		_, _ = c.Control.Propose(c.cluster.ctx, p)
	})
	return state.Outcome{}, commit.ErrOutcomeUnknown
}

// removeFromList removes a VM from the VM list.
func (tc *testCluster) removeFromList(name string) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.listed = slices.DeleteFunc(tc.listed, func(other string) bool { return other == name })
	tc.listVersion++
}

// monitor feeds the VM list to the keepers and compares engines with the state that
// the VMs have applied.
func (tc *testCluster) monitor() {
	for tc.ctx.Err() == nil {
		tc.mu.Lock()
		names, version := append(slices.Clone(tc.listed), "e", "f"), tc.listVersion
		tc.mu.Unlock()
		for _, name := range names {
			tc.mu.Lock()
			v := tc.vms[name]
			tc.mu.Unlock()
			if v != nil {
				v.keeper.ApplyList(time.Now(), version, names)
			}
		}
		for _, address := range []string{"e", "f"} {
			if e := tc.engines.Engine(address); e != nil && !e.Faults().Frozen {
				tc.checkRights(address, e)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkRights compares an engine with the newest state that any VM has applied: the
// keeper may act on a grant at the instant at which it applies it, and another VM
// applies the same record a moment later.
func (tc *testCluster) checkRights(address string, e *engineserver.Engine) {
	status, err := e.Status(tc.ctx)
	// Keepers call functions that take tc.mu from within View, so tc.mu must not be held there.
	tc.mu.Lock()
	vms := maps.Clone(tc.vms)
	tc.mu.Unlock()
	if err != nil || vms["b"] == nil {
		return
	}
	var newest uint64
	rights := make(map[string]bool)
	for _, v := range vms {
		v.control.View(func(s *state.State) {
			if s.Applied < newest {
				return
			}
			newest = s.Applied
			clear(rights)
			if known := s.Engines[address]; known != nil {
				for unit, right := range known.Rights {
					rights[unit] = right != nil
				}
			}
		})
	}
	for _, unit := range status.Units {
		if unit.Unit != "stray" && !rights[unit.Unit] {
			tc.mu.Lock()
			tc.rightViolated = true
			tc.mu.Unlock()
		}
	}
}

// propose makes a proposal through a VM and requires that it is applied.
func (tc *testCluster) propose(name string, p state.Proposal) state.Outcome {
	tc.Helper()
	outcome, err := tc.vms[name].control.Propose(tc.ctx, p)
	if err != nil || outcome.Verdict != state.VerdictApplied {
		tc.Fatalf("proposal %+v: %+v, %v", p, outcome, err)
	}
	return outcome
}

func (tc *testCluster) publish() {
	tc.Helper()
	sections := testkit.Value(contract.Split(fmt.Sprintf(`
[customer]
name = trinidad
memory = 80GB
requests_per_second = 10
burst = 10
max_queued = 10
[key "desk"]
sha256 = %s
[model "m"]
checkpoint = m:v1
memory = 16GB
max_replicas = 1
max_wait = 20s
[model "n"]
checkpoint = n:v1
memory = 16GB
max_replicas = 1
max_wait = 20s
`, contract.HashKey("k"))))(tc)
	tc.propose("b", state.Proposal{Publish: &state.Publish{ChangeID: "c", Customer: "trinidad", Sections: sections}})
}

// recorded copies the engine's state as VM b has applied it.
func (tc *testCluster) recorded(address string) state.Engine {
	var e state.Engine
	tc.vms["b"].control.View(func(s *state.State) {
		if known := s.Engines[address]; known != nil {
			e = *known
			e.Rights = maps.Clone(known.Rights)
		}
	})
	return e
}

func (tc *testCluster) grant(address, unit string) {
	tc.Helper()
	tc.propose("b", state.Proposal{Grant: &state.Grant{
		Engine: address, Keeper: tc.recorded(address).Keeper, Customer: "trinidad", Unit: unit, Wanted: true,
	}})
}

func (tc *testCluster) setWanted(unit string, wanted bool) {
	tc.Helper()
	e := tc.recorded("e")
	tc.propose("b", state.Proposal{SetWanted: &state.SetWanted{
		Engine: "e", Keeper: e.Keeper, Unit: unit, Right: e.Rights[unit].Granted, Wanted: wanted,
	}})
}

func (tc *testCluster) withdraw(unit string) {
	tc.Helper()
	e := tc.recorded("e")
	tc.propose("b", state.Proposal{Withdraw: &state.Withdraw{
		Engine: "e", Keeper: e.Keeper, Unit: unit, Right: e.Rights[unit].Granted,
	}})
}

// heldUnits returns the units that the engine holds, such as "m:ready".
func (tc *testCluster) heldUnits(address string) string {
	status, _ := tc.engines.Engine(address).Status(tc.ctx)
	var list []string
	for _, unit := range status.Units {
		list = append(list, unit.Unit+":"+string(unit.Phase))
	}
	return strings.Join(list, " ")
}

func (tc *testCluster) requireHeld(address, want string) {
	tc.Helper()
	testkit.Equal(tc, address+" holds", tc.heldUnits(address), want)
}

// waitFor waits for a condition and returns how long it took.
func (tc *testCluster) waitFor(limit time.Duration, what string, condition func() bool) time.Duration {
	tc.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			tc.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// waitForRemoval waits until the right is removed.
func (tc *testCluster) waitForRemoval(unit string) time.Duration {
	tc.Helper()
	return tc.waitFor(time.Minute, unit+" gone", func() bool { return tc.recorded("e").Rights[unit] == nil })
}

// keeperOf returns the VM that keeps the engine.
func (tc *testCluster) keeperOf(address string) string {
	keeper := ""
	tc.vms["b"].control.View(func(s *state.State) {
		if e := s.Engines[address]; e != nil && e.KeeperSession != 0 {
			keeper = s.Sessions[e.KeeperSession].VM
		}
	})
	return keeper
}
