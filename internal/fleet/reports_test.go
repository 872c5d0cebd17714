package fleet_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bergamotreel/engine"
	"bergamotreel/internal/fleet"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/internal/standin/vmlistserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/vmlist"
)

// countingClient counts polls; they fail while isUnreachable is set.
type countingClient struct {
	engine.Client
	polls         *atomic.Int64
	isUnreachable *atomic.Bool
}

func (c countingClient) Status(ctx context.Context, address string) (engine.Status, error) {
	c.polls.Add(1)
	if c.isUnreachable.Load() {
		return engine.Status{}, engine.ErrNotSent
	}
	return c.Client.Status(ctx, address)
}

// keeperAndPeer holds the fleets of an engine's keeper and of another VM that receives
// the keeper's reports.
type keeperAndPeer struct {
	engine        *engineserver.Engine
	keeper, peer  *fleet.Fleet
	polls         *atomic.Int64
	isUnreachable *atomic.Bool
}

func newKeeperAndPeer(t *testing.T) *keeperAndPeer {
	p := &keeperAndPeer{engine: engineserver.New(engineserver.Options{}), polls: &atomic.Int64{}, isUnreachable: &atomic.Bool{}}
	t.Cleanup(p.engine.Close)
	engines := engineserver.NewInMemoryClient()
	engines.Put("e", p.engine)
	p.keeper, _ = run(t, vmlistserver.New(0, vm("e")), engines)
	p.peer, _ = run(t, vmlistserver.New(0, vm("e")), countingClient{engines, p.polls, p.isUnreachable})
	// Reports must arrive between the peer's own polls, never at the same instant.
	time.Sleep(130 * time.Millisecond)
	return p
}

// keeperReports polls the engine as its keeper and returns the keeper's reports.
func (p *keeperAndPeer) keeperReports(t *testing.T) []fleet.PeerReport {
	status, err := p.engine.Status(t.Context())
	p.keeper.RecordStatus("e", status, err)
	now := time.Now()
	var reports []fleet.PeerReport
	for _, report := range p.keeper.Reports(now, time.Second) {
		reports = append(reports, fleet.PeerReport{EngineReport: report, ObservedAt: now.Add(-report.Age)})
	}
	return reports
}

// sendReports sends the keeper's reports to the peer every 2 s and checks that the
// peer's status of the engine stays recent.
func (p *keeperAndPeer) sendReports(t *testing.T, times int, oldest time.Duration) {
	for range times {
		p.peer.ApplyReports(p.keeperReports(t))
		time.Sleep(2 * time.Second)
		if e, _ := p.peer.Engine("e"); time.Since(e.SeenAt) > oldest {
			t.Errorf("last seen %v ago", time.Since(e.SeenAt))
		}
	}
}

// While the keeper reports on an engine, no other VM polls it. If the reports stop, the
// other VM must poll the engine itself before its status is too old for new work. It
// must also poll if the keeper got no answer: the engine may be unreachable from the
// keeper only.
func TestKeeperReportReplacesPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newKeeperAndPeer(t)
		p.polls.Store(0)
		p.sendReports(t, 10, 2*time.Second)
		if n := p.polls.Load(); n > 1 {
			t.Errorf("%d polls besides the keeper's", n)
		}
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			if e, _ := p.peer.Engine("e"); time.Since(e.SeenAt) > 5*time.Second {
				t.Errorf("without a keeper: last seen %v ago", time.Since(e.SeenAt))
			}
		}
		p.sendReports(t, 2, 2*time.Second)
		p.polls.Store(0)
		p.keeper.RecordStatus("e", engine.Status{}, engine.ErrNotSent)
		p.peer.ApplyReports([]fleet.PeerReport{{EngineReport: p.keeper.Reports(time.Now(), time.Second)[0], ObservedAt: time.Now()}})
		time.Sleep(time.Second)
		if p.polls.Load() == 0 {
			t.Error("no poll after the keeper got no answer")
		}
	})
}

// A report arrives late: the engine has since restarted without units, and the VM has
// polled it. The stale report must restore neither the units nor the draining state,
// however recent it appears; it must only cause a poll of the engine.
func TestStaleReportChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newKeeperAndPeer(t)
		order := engine.Order{Token: 1, Action: engine.ActionLoad, Unit: "m", Checkpoint: "c", Bytes: 1}
		testkit.Value(p.engine.Order(t.Context(), order))(t)
		time.Sleep(time.Second)
		p.engine.SetDraining(true)
		stale := p.keeperReports(t)
		p.engine.Restart()
		p.engine.SetDraining(false)
		time.Sleep(6 * time.Second)
		known, _ := p.peer.Engine("e")
		p.polls.Store(0)
		stale[0].ObservedAt = time.Now()
		p.peer.ApplyReports(stale)
		time.Sleep(time.Second)
		e, _ := p.peer.Engine("e")
		if e.Status.Incarnation != known.Status.Incarnation || e.HasReadyUnit("m") || e.IsLeaving() || p.polls.Load() == 0 {
			t.Errorf("after a stale report: %+v, %d polls", e, p.polls.Load())
		}
	})
}

// A VM can't connect to an engine but receives its keeper's reports. The reports must
// not make the engine's status recent, or the VM would send it requests that fail. A
// report that the engine is draining must count at once, for as long as it is repeated.
func TestReportOfUnreachableEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newKeeperAndPeer(t)
		p.isUnreachable.Store(true)
		time.Sleep(5 * time.Second)
		seen, _ := p.peer.Engine("e")
		p.peer.ApplyReports(p.keeperReports(t))
		if e, _ := p.peer.Engine("e"); e.SeenAt != seen.SeenAt || e.Reachable {
			t.Errorf("seen %v, reachable %v", e.SeenAt, e.Reachable)
		}
		time.Sleep(100 * time.Millisecond)
		p.engine.SetDraining(true)
		p.peer.ApplyReports(p.keeperReports(t))
		if e, _ := p.peer.Engine("e"); !e.IsLeaving() {
			t.Error("not leaving after a report that it is draining")
		}
		time.Sleep(15 * time.Second)
		if e, _ := p.peer.Engine("e"); e.IsLeaving() {
			t.Error("still leaving long after the last report")
		}
	})
}

// idleEngines returns the same status for each engine.
type idleEngines struct{ engine.Client }

func (idleEngines) Status(context.Context, string) (engine.Status, error) {
	return engine.Status{Incarnation: "i"}, nil
}

// A VM of a large fleet receives the keepers' reports on few engines. Polling all others
// every 2 s would saturate its network, so the rate of these polls is limited. An engine
// that holds a requested unit must be polled at once and then before the others, or the
// request would wait for poll credit.
func TestRemoteEnginePollRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var vms []vmlist.VM
		for i := range 500 {
			vms = append(vms, vm(fmt.Sprint("e", i)))
		}
		polls := &atomic.Int64{}
		f := fleet.New(fleet.Config{
			Lister: vmlistserver.New(0, vms...), Engine: countingClient{idleEngines{}, polls, &atomic.Bool{}}, Logger: zap.NewNop(),
			MaxRemotePollRate: func() float64 { return 4 },
		}, nil, nil)
		go f.Run(t.Context())
		time.Sleep(time.Minute)
		if n := polls.Load(); n < 200 || n > 4*60+16 {
			t.Errorf("%d polls in a minute", n)
		}
		for range 100 {
			if e, _ := f.LookupForRequest("e499", time.Now()); e.SeenAt.IsZero() {
				time.Sleep(100 * time.Millisecond)
			}
			if e, _ := f.Engine("e499"); time.Since(e.SeenAt) > 5*time.Second {
				t.Fatalf("engine in use: last seen %v ago", time.Since(e.SeenAt))
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
}
