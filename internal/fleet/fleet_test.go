package fleet_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bergamotreel/engine"
	"bergamotreel/internal/fleet"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/internal/standin/faults"
	"bergamotreel/internal/standin/vmlistserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/vmlist"
)

func vm(address string) vmlist.VM {
	return vmlist.VM{ID: address, Kind: vmlist.KindEngine, Address: address, Domain: "a"}
}

// run starts a fleet and lets it poll for 3 s; lost receives the addresses passed to
// OnStateLost.
func run(t *testing.T, list vmlist.Lister, client engine.Client) (f *fleet.Fleet, lost chan string) {
	lost = make(chan string, 10)
	f = fleet.New(fleet.Config{
		Lister: list, Engine: client, Logger: zap.NewNop(), OnStateLost: func(address string) { lost <- address },
	}, nil, nil)
	go f.Run(t.Context())
	time.Sleep(3 * time.Second)
	return f, lost
}

// While the platform's VM list is unreachable, the engines of the last list must stay
// in use and be polled, and their own statuses must count: draining, ready units and
// restarts. Engines that the next list no longer contains must be removed.
func TestEngineStatusOverridesStaleList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, engines, list := engineserver.New(engineserver.Options{}), engineserver.NewInMemoryClient(), vmlistserver.New(0, vm("e"))
		t.Cleanup(e.Close)
		engines.Put("e", e)
		f, lost := run(t, list, engines)
		list.Faults().Set(faults.Settings{Outage: true})
		list.Remove("e")
		time.Sleep(time.Minute)
		order := engine.Order{Token: 1, Action: engine.ActionLoad, Unit: "m", Checkpoint: "c", Bytes: 1}
		testkit.Value(engines.Order(t.Context(), "e", order))(t)
		e.SetDraining(true)
		f.PollFrequently("e")
		time.Sleep(300 * time.Millisecond)
		known, ok := f.Engine("e")
		if !ok || !known.IsLeaving() || known.VM.Leaving || !known.HasReadyUnit("m") || len(lost) != 0 {
			t.Errorf("during the outage: found %v, %+v; OnStateLost called %d times", ok, known, len(lost))
		}
		e.Restart()
		time.Sleep(3 * time.Second)
		restarted := len(lost)
		list.Faults().Set(faults.Settings{})
		time.Sleep(3 * time.Second)
		if _, ok = f.Engine("e"); ok || restarted != 1 || len(lost) != 2 {
			t.Errorf("found %v; OnStateLost called %d times after the restart, %d after the removal", ok, restarted, len(lost))
		}
	})
}

// unreachableEngines answers for engine "z" only; polls of the others last until the
// timeout.
type unreachableEngines struct{ engine.Client }

func (unreachableEngines) Status(ctx context.Context, address string) (engine.Status, error) {
	if address == "z" {
		return engine.Status{}, nil
	}
	<-ctx.Done()
	return engine.Status{}, ctx.Err()
}

// A failure domain with hundreds of engines is unreachable. The remaining engine must
// still be polled in time: with a stale status it would get no work either.
func TestUnreachableEnginesDelayNoOtherPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vms := []vmlist.VM{vm("z")}
		for i := range 500 {
			vms = append(vms, vm(fmt.Sprint("cut", i)))
		}
		f, _ := run(t, vmlistserver.New(0, vms...), unreachableEngines{})
		for range 20 {
			time.Sleep(1500 * time.Millisecond)
			if z, _ := f.Engine("z"); time.Since(z.SeenAt) > 3*time.Second {
				t.Fatalf("last seen %v ago", time.Since(z.SeenAt))
			}
		}
	})
}
