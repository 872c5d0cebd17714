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

var timing = lease.Config{
	Term: 9 * time.Second, Margin: time.Second, RenewInterval: 1500 * time.Millisecond, MessageLifetime: 10 * time.Second,
}

// bed is real keepers and controls over a log and engines in memory, in virtual
// time. It fails the test whenever an engine holds a unit without a right.
type bed struct {
	*testing.T
	ctx     context.Context
	log     *logserver.Store
	engines *engineserver.Fleet
	vms     map[string]*vm
	running sync.WaitGroup
	// mu guards what follows.
	mu sync.Mutex
	// listed are the VMs on the VM list, chosen the one that settles.
	listed  []string
	chosen  string
	changes uint64
	// asked counts the keepers' questions to engines.
	asked int
	// giveBackLate delays give-backs; givenBack is whether one was proposed so.
	giveBackLate time.Duration
	givenBack    bool
	// naive has broken what the safeguards hold: a twin is expected to.
	expected, broken bool
}

type vm struct {
	control *control.Control
	keeper  *Keeper
	view    *logserver.View
	keeps   []string
	stop    context.CancelFunc
}

func (b *bed) keeps(v *vm) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return v.keeps
}

// sets changes what other goroutines read.
func (b *bed) sets(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

var bothKinds = map[string]bool{"checks tokens": true, "ignores tokens": false}

// onBoth runs the test with an engine "e" of each kind and VMs "a", its keeper,
// and "b". Both have a contract with the models m and n, one replica each.
func onBoth(t *testing.T, test func(b *bed, checks bool)) {
	for name, checks := range bothKinds {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t)
				b.engine("e", checks)
				b.start("a", "e")
				time.Sleep(2 * time.Second)
				b.start("b", "e")
				time.Sleep(2 * time.Second)
				b.publish()
				test(b, checks)
			})
		})
	}
}

// onBothIn is onBoth for one of several cases of a test.
func onBothIn(t *testing.T, name string, test func(b *bed, checks bool)) {
	t.Run(name, func(t *testing.T) { onBoth(t, test) })
}

func newBed(t *testing.T) *bed {
	ctx, cancel := context.WithCancel(t.Context())
	b := &bed{
		T: t, ctx: ctx, log: logserver.New(logserver.Config{}), engines: engineserver.NewFleet(),
		vms: map[string]*vm{}, chosen: "b",
	}
	b.running.Go(b.watch)
	t.Cleanup(func() {
		cancel()
		b.running.Wait()
		testkit.Equal(t, "an engine held a unit without a right", b.broken, b.expected)
	})
	return b
}

func (b *bed) engine(address string, checks bool) *engineserver.Engine {
	e := engineserver.New(engineserver.Options{
		Name: address, MemoryBytes: 40 * gigabyte, ChecksTokens: checks, DiskBytesPerSecond: 8 * gigabyte,
	})
	b.Cleanup(e.Close)
	b.engines.Put(address, e)
	return e
}

// start runs a VM that keeps the given engines where it can.
func (b *bed) start(name string, keeps ...string) *vm {
	v := &vm{view: b.log.View(name), keeps: keeps}
	v.control = control.New(control.Config{
		Log: v.view, Logger: zap.NewNop(), Incarnation: name,
		WritesSnapshots: func() bool { return false }, OnChange: func() { v.keeper.Wake() },
	})
	v.keeper = New(Config{
		VM: name, Incarnation: name, Domain: "d", Control: lateGiveBacks{v.control, b}, Engines: b.engines, Logger: zap.NewNop(),
		Lease: timing, MessageLifetime: timing.MessageLifetime,
		AssignedEngines: func() []string { return b.keeps(v) }, OutageDemand: func() map[string]bool { return nil },
		ShouldSettle: func(string) bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.chosen == name
		},
		DomainOf: func(string) string { return "d" }, RecordStatus: func(string, engine.Status, error) { b.sets(func() { b.asked++ }) },
	})
	ctx, stop := context.WithCancel(b.ctx)
	v.stop = stop
	for _, duty := range []func(context.Context){v.control.Follow, v.control.Commit, v.keeper.Run} {
		b.running.Go(func() { duty(ctx) })
	}
	b.mu.Lock()
	b.vms[name] = v
	b.listed = append(b.listed, name)
	b.changes++
	b.mu.Unlock()
	return v
}

// lateGiveBacks lands give-backs b.giveBackLate after they were proposed, and
// their answer is lost meanwhile.
type lateGiveBacks struct {
	Control
	bed *bed
}

func (c lateGiveBacks) Propose(ctx context.Context, p state.Proposal) (state.Outcome, error) {
	c.bed.mu.Lock()
	late := c.bed.giveBackLate
	if p.KeeperRelease != nil && late > 0 {
		c.bed.givenBack = true
	}
	c.bed.mu.Unlock()
	if p.KeeperRelease == nil || late == 0 {
		return c.Control.Propose(ctx, p)
	}
	c.bed.running.Go(func() {
		time.Sleep(late)
		_, _ = c.Control.Propose(c.bed.ctx, p)
	})
	return state.Outcome{}, commit.ErrUnknown
}

// leave takes a VM from the VM list.
func (b *bed) leave(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = slices.DeleteFunc(b.listed, func(other string) bool { return other == name })
	b.changes++
}

// watch feeds the VM list and compares engines with what the VMs have folded.
func (b *bed) watch() {
	for b.ctx.Err() == nil {
		b.mu.Lock()
		names, version := append(slices.Clone(b.listed), "e", "f"), b.changes
		b.mu.Unlock()
		for _, name := range names {
			b.mu.Lock()
			v := b.vms[name]
			b.mu.Unlock()
			if v != nil {
				v.keeper.ApplyList(time.Now(), version, names)
			}
		}
		for _, address := range []string{"e", "f"} {
			if e := b.engines.Engine(address); e != nil && !e.Faults().Frozen {
				b.compare(address, e)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// compare looks at the newest fold of all VMs: the keeper may act on a grant in the
// very instant in which it folds it, and another VM folds the same record a moment
// later.
func (b *bed) compare(address string, e *engineserver.Engine) {
	status, err := e.Status(b.ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil || b.vms["b"] == nil {
		return
	}
	var newest uint64
	rights := make(map[string]bool)
	for _, v := range b.vms {
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
			b.broken = true
		}
	}
}

// propose proposes through a VM; it must be applied.
func (b *bed) propose(name string, p state.Proposal) state.Outcome {
	b.Helper()
	outcome, err := b.vms[name].control.Propose(b.ctx, p)
	if err != nil || outcome.Verdict != state.VerdictApplied {
		b.Fatalf("proposal %+v: %+v, %v", p, outcome, err)
	}
	return outcome
}

func (b *bed) publish() {
	b.Helper()
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
`, contract.HashKey("k"))))(b)
	b.propose("b", state.Proposal{Publish: &state.Publish{ChangeID: "c", Customer: "trinidad", Sections: sections}})
}

// agreed copies the engine's state as VM b has folded it.
func (b *bed) agreed(address string) state.Engine {
	var e state.Engine
	b.vms["b"].control.View(func(s *state.State) {
		if known := s.Engines[address]; known != nil {
			e = *known
			e.Rights = maps.Clone(known.Rights)
		}
	})
	return e
}

func (b *bed) grant(address, unit string) {
	b.Helper()
	b.propose("b", state.Proposal{Grant: &state.Grant{
		Engine: address, Keeper: b.agreed(address).Keeper, Customer: "trinidad", Unit: unit, Wanted: true,
	}})
}

func (b *bed) want(unit string, wanted bool) {
	b.Helper()
	e := b.agreed("e")
	b.propose("b", state.Proposal{SetWanted: &state.SetWanted{
		Engine: "e", Keeper: e.Keeper, Unit: unit, Right: e.Rights[unit].Granted, Wanted: wanted,
	}})
}

func (b *bed) withdraw(unit string) {
	b.Helper()
	e := b.agreed("e")
	b.propose("b", state.Proposal{Withdraw: &state.Withdraw{
		Engine: "e", Keeper: e.Keeper, Unit: unit, Right: e.Rights[unit].Granted,
	}})
}

// holds is what the engine holds, as "m:ready".
func (b *bed) holds(address string) string {
	status, _ := b.engines.Engine(address).Status(b.ctx)
	var list []string
	for _, unit := range status.Units {
		list = append(list, unit.Unit+":"+string(unit.Phase))
	}
	return strings.Join(list, " ")
}

func (b *bed) mustHold(address, want string) {
	b.Helper()
	testkit.Equal(b, address+" holds", b.holds(address), want)
}

// until waits for something and returns how long it took.
func (b *bed) until(limit time.Duration, what string, happened func() bool) time.Duration {
	b.Helper()
	begun := time.Now()
	for !happened() {
		if time.Since(begun) > limit {
			b.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(begun)
}

// untilGone waits until the right is freed.
func (b *bed) untilGone(unit string) time.Duration {
	b.Helper()
	return b.until(time.Minute, unit+" gone", func() bool { return b.agreed("e").Rights[unit] == nil })
}

// keeperOf is the VM that keeps the engine.
func (b *bed) keeperOf(address string) string {
	keeper := ""
	b.vms["b"].control.View(func(s *state.State) {
		if e := s.Engines[address]; e != nil && e.KeeperSession != 0 {
			keeper = s.Sessions[e.KeeperSession].VM
		}
	})
	return keeper
}
