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

// counted counts the questions; cut ones fail.
type counted struct {
	engine.Client
	asked *atomic.Int64
	cut   *atomic.Bool
}

func (c counted) Status(ctx context.Context, address string) (engine.Status, error) {
	c.asked.Add(1)
	if c.cut.Load() {
		return engine.Status{}, engine.ErrNotSent
	}
	return c.Client.Status(ctx, address)
}

// pair is the fleets of an engine's keeper and of another VM that hears it.
type pair struct {
	engine       *engineserver.Engine
	keeper, peer *fleet.Fleet
	asked        *atomic.Int64
	cut          *atomic.Bool
}

func newPair(t *testing.T) *pair {
	p := &pair{engine: engineserver.New(engineserver.Options{}), asked: &atomic.Int64{}, cut: &atomic.Bool{}}
	t.Cleanup(p.engine.Close)
	engines := engineserver.NewFleet()
	engines.Put("e", p.engine)
	p.keeper, _ = run(t, vmlistserver.New(0, vm("e")), engines)
	p.peer, _ = run(t, vmlistserver.New(0, vm("e")), counted{engines, p.asked, p.cut})
	// Words come between the peer's own questions, never at the same instant.
	time.Sleep(130 * time.Millisecond)
	return p
}

// words are what the keeper tells after asking the engine.
func (p *pair) words(t *testing.T) []fleet.Word {
	status, err := p.engine.Status(t.Context())
	p.keeper.Saw("e", status, err)
	now := time.Now()
	var words []fleet.Word
	for _, report := range p.keeper.Reports(now, time.Second) {
		words = append(words, fleet.Word{EngineReport: report, At: now.Add(-report.Age)})
	}
	return words
}

// tell has the keeper speak each 2 s; the peer's status must stay fresh.
func (p *pair) tell(t *testing.T, times int, oldest time.Duration) {
	for range times {
		p.peer.Told(p.words(t))
		time.Sleep(2 * time.Second)
		if e, _ := p.peer.Engine("e"); time.Since(e.SeenAt) > oldest {
			t.Errorf("last seen %v ago", time.Since(e.SeenAt))
		}
	}
}

// The keeper tells of an engine, and nobody else asks it. The keeper dies, or the
// other VM is cut off from it: that VM must ask again itself before the engine's
// status is too old for new work. A keeper that gets no answer has the others
// ask, too: it may be the one who is cut off.
func TestKeepersWordStandsForAQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.asked.Store(0)
		p.tell(t, 10, 2*time.Second)
		if n := p.asked.Load(); n > 1 {
			t.Errorf("asked %d times beside the keeper", n)
		}
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			if e, _ := p.peer.Engine("e"); time.Since(e.SeenAt) > 5*time.Second {
				t.Errorf("without a keeper last seen %v ago", time.Since(e.SeenAt))
			}
		}
		p.tell(t, 2, 2*time.Second)
		p.asked.Store(0)
		p.keeper.Saw("e", engine.Status{}, engine.ErrNotSent)
		p.peer.Told([]fleet.Word{{EngineReport: p.keeper.Reports(time.Now(), time.Second)[0], At: time.Now()}})
		time.Sleep(time.Second)
		if p.asked.Load() == 0 {
			t.Error("not asked where the keeper got no answer")
		}
	})
}

// A digest was long on its way: the engine has restarted meanwhile, empty, and
// the VM has asked it. The old word must bring back neither its units nor its
// leaving, however young it looks; the engine itself is asked.
func TestOldWordChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		order := engine.Order{Token: 1, Action: engine.ActionLoad, Unit: "m", Checkpoint: "c", Bytes: 1}
		testkit.Value(p.engine.Order(t.Context(), order))(t)
		time.Sleep(time.Second)
		p.engine.SetDraining(true)
		late := p.words(t)
		p.engine.Restart()
		p.engine.SetDraining(false)
		time.Sleep(6 * time.Second)
		known, _ := p.peer.Engine("e")
		p.asked.Store(0)
		late[0].At = time.Now()
		p.peer.Told(late)
		time.Sleep(time.Second)
		e, _ := p.peer.Engine("e")
		if e.Status.Incarnation != known.Status.Incarnation || e.Holds("m") || e.Leaving() || p.asked.Load() == 0 {
			t.Errorf("after an old word: %+v, asked %d times", e, p.asked.Load())
		}
	})
}

// A VM is cut off from an engine, but hears its keeper. The engine must not count
// as fresh there, or requests would be sent into the cut; that it leaves counts
// at once, for as long as the keeper says so.
func TestWordOfAnEngineOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.cut.Store(true)
		time.Sleep(5 * time.Second)
		seen, _ := p.peer.Engine("e")
		p.peer.Told(p.words(t))
		if e, _ := p.peer.Engine("e"); e.SeenAt != seen.SeenAt || e.Reachable {
			t.Errorf("seen %v, reachable %v", e.SeenAt, e.Reachable)
		}
		time.Sleep(100 * time.Millisecond)
		p.engine.SetDraining(true)
		p.peer.Told(p.words(t))
		if e, _ := p.peer.Engine("e"); !e.Leaving() {
			t.Error("told draining, not leaving")
		}
		time.Sleep(15 * time.Second)
		if e, _ := p.peer.Engine("e"); e.Leaving() {
			t.Error("leaving long after the last word")
		}
	})
}

// idleEngines answer all alike.
type idleEngines struct{ engine.Client }

func (idleEngines) Status(context.Context, string) (engine.Status, error) {
	return engine.Status{Incarnation: "i"}, nil
}

// A VM of a large fleet hears the keepers of few engines. Asking all the others
// each 2 s would fill its network, so they are asked in turns. A request comes for
// what one of them holds: it is asked at once and then before the others, or the
// request would wait for its turn.
func TestEnginesKeptByOthersAreAskedInTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var vms []vmlist.VM
		for i := range 500 {
			vms = append(vms, vm(fmt.Sprint("e", i)))
		}
		asked := &atomic.Int64{}
		f := fleet.New(fleet.Config{
			Lister: vmlistserver.New(0, vms...), Engine: counted{idleEngines{}, asked, &atomic.Bool{}}, Log: zap.NewNop(),
			Turns: func() float64 { return 4 },
		}, nil, nil)
		go f.Run(t.Context())
		time.Sleep(time.Minute)
		if n := asked.Load(); n < 200 || n > 4*60+16 {
			t.Errorf("%d questions in a minute", n)
		}
		for range 100 {
			if e, _ := f.Use("e499", time.Now()); e.SeenAt.IsZero() {
				time.Sleep(100 * time.Millisecond)
			}
			if e, _ := f.Engine("e499"); time.Since(e.SeenAt) > 5*time.Second {
				t.Fatalf("an engine of use last seen %v ago", time.Since(e.SeenAt))
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
}
