package hosted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"sync"
	"testing"
	"time"

	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
	"bergamotreel/service"
)

const (
	// crashingURI is of the request that ends whatever runs it, crashAfter after its start;
	// the engine is replaced crashRestart later.
	crashingURI  = "/crash"
	crashAfter   = 80 * time.Millisecond
	crashRestart = 3 * time.Second
	// runTime is what every other request takes.
	runTime = 300 * time.Millisecond
	// crashLimit is after how many ends a request must be kept away from engines,
	// crashSpread how long VMs have to know of it, and crashExtra how often it may reach
	// one later, by the hosting platform's rules.
	crashLimit  = 3
	crashSpread = 3 * time.Second
	crashExtra  = 3
)

// crashBed is a fleet with engines of one model that end under one request.
type crashBed struct {
	*world
	random *rand.Rand
	vms    []string
	open   sync.WaitGroup

	counting sync.Mutex
	engines  map[string]*crashEngine // by address
	started  int
	// ends are when engines ended, reached when the crashing request was sent to one.
	ends, reached []time.Time
	// answered, broken and refused count the other requests.
	answered, broken, refused int
}

// crashEngine is one start of an engine.
type crashEngine struct {
	id, domain string
	ended      chan struct{}
	over       bool
}

func inCrashBed(t *testing.T, vms, engines int, run func(*crashBed)) {
	inWorld(t, func(w *world) {
		b := &crashBed{world: w, random: rand.New(rand.NewSource(3)), engines: make(map[string]*crashEngine)}
		w.forwarder = b
		w.registry.configuration = testContract("m1")
		w.registry.configuration.Contract.Routes[0].Repeat = contract.RepeatNever
		w.registry.configuration.Contract.Routes[0].Stream = true
		for i := range quotaDomains {
			w.registry.share(fmt.Sprint("d", i))
		}
		for i := range engines {
			b.startEngine(fmt.Sprint("d", i%quotaDomains))
		}
		for i := range vms {
			b.vms = append(b.vms, b.bootVM(i))
		}
		time.Sleep(8 * time.Second)
		run(b)
		b.open.Wait()
	})
}

func (b *crashBed) bootVM(i int) string {
	vm := fmt.Sprint("v", i)
	if i < 2 {
		vm = []string{"a", "b"}[i]
	}
	b.bootIn(fmt.Sprint("d", i%quotaDomains), vm, false)
	return vm
}

// startEngine starts an engine under a new ID.
func (b *crashBed) startEngine(domain string) {
	b.counting.Lock()
	b.started++
	e := b.world.engines.add(fmt.Sprint("e", b.started), "m1")
	e.domain = domain
	b.engines[e.address] = &crashEngine{id: e.id, domain: domain, ended: make(chan struct{})}
	b.counting.Unlock()
	b.list(e)
}

// end ends an engine's process with all that runs there.
func (b *crashBed) end(e *crashEngine) {
	b.counting.Lock()
	defer b.counting.Unlock()
	if e.over {
		return
	}
	e.over = true
	close(e.ended)
	b.ends = append(b.ends, time.Now())
	time.AfterFunc(crashRestart, func() {
		b.registry.drop(e.id)
		b.startEngine(e.domain)
	})
}

// up returns the engine at an address, or that its process has ended.
func (b *crashBed) up(address string) (*crashEngine, error) {
	b.counting.Lock()
	defer b.counting.Unlock()
	e := b.engines[address]
	if e == nil || e.over {
		return nil, fmt.Errorf("%w: %w", service.ErrNotSent, service.ErrRefused)
	}
	return e, nil
}

// Forward implements service.Forwarder.
func (b *crashBed) Forward(_ context.Context, target service.Target, f service.Forward) (*service.Forwarded, error) {
	e, err := b.up(target.Address)
	if err != nil {
		return nil, err
	}
	if f.URI == crashingURI {
		b.counting.Lock()
		b.reached = append(b.reached, time.Now())
		b.counting.Unlock()
		time.AfterFunc(crashAfter, func() { b.end(e) })
	}
	return &service.Forwarded{Status: http.StatusOK, Length: -1, Body: &crashBody{e, time.Now().Add(runTime)}}, nil
}

// Probe implements service.Forwarder.
func (b *crashBed) Probe(_ context.Context, target service.Target) error {
	_, err := b.up(target.Address)
	return err
}

// crashBody is an answer that ends with its engine or once it is done.
type crashBody struct {
	engine *crashEngine
	done   time.Time
}

func (c *crashBody) Read([]byte) (int, error) {
	select {
	case <-c.engine.ended:
		return 0, io.ErrUnexpectedEOF
	case <-time.After(time.Until(c.done)):
		return 0, io.EOF
	}
}

func (c *crashBody) Close() error { return nil }

// send has a VM serve a request, and returns how it ended.
func (b *crashBed) send(vm, uri string) error {
	b.mu.Lock()
	n := b.nodes[vm]
	b.mu.Unlock()
	if n == nil {
		return nil
	}
	grant, err := n.Authorize("h", uri, "")
	if err != nil {
		return err
	}
	now := time.Now()
	return n.Relay(context.Background(), caller.RelayRequest{
		RelayHead: caller.RelayHead{ID: "id", Model: "m1"}, Grant: grant, Service: testService,
		Forward: service.Forward{RequestID: "id", Method: "POST", Host: "h", URI: uri, Body: []byte("body"), Header: http.Header{}},
		Arrived: now, GiveUp: now.Add(4 * time.Second), BeginBy: now.Add(4 * time.Second),
	}, &received{})
}

// serveOthers sends requests of other callers for a while, each to a VM at random.
func (b *crashBed) serveOthers(span time.Duration) {
	begun := time.Now()
	for i := 0; time.Since(begun) < span; i++ {
		vm, uri := b.vms[b.random.Intn(len(b.vms))], fmt.Sprint("/other/", i)
		b.open.Go(func() {
			err := b.send(vm, uri)
			b.counting.Lock()
			defer b.counting.Unlock()
			var refused *refusal.Refusal
			switch {
			case err == nil:
				b.answered++
			case errors.As(err, &refused) && refused.Ran == refusal.RanNo:
				b.refused++
			default:
				b.broken++
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
}

// sendAt sends the crashing request at a VM once a time has come.
func (b *crashBed) sendAt(after time.Duration, vm string) {
	b.open.Go(func() {
		time.Sleep(after)
		err := b.send(vm, crashingURI)
		testkit.That(b, err != nil, "the crashing request was answered")
	})
}

// checkCrashes holds that the crashing request was kept away from engines after its first
// ends, and that no other request was refused.
func (b *crashBed) checkCrashes() {
	b.Helper()
	b.counting.Lock()
	defer b.counting.Unlock()
	b.Logf("%d engines ended, reached %d times; others: %d answered, %d broken, %d refused", len(b.ends), len(b.reached), b.answered, b.broken, b.refused)
	testkit.Need(b, len(b.ends) >= crashLimit, "only %d engines ended", len(b.ends))
	from, late := b.ends[crashLimit-1].Add(crashSpread), 0
	for _, at := range b.reached {
		if at.After(from) {
			late++
		}
	}
	testkit.That(b, late <= crashExtra, "it reached engines %d times later than %s after its third crash, %d are allowed", late, crashSpread, crashExtra)
	testkit.That(b, b.refused == 0, "%d other requests were refused", b.refused)
	testkit.That(b, b.answered > 10*b.broken, "%d other requests were answered, %d broken", b.answered, b.broken)
}

// Guards against a request that ends engine after engine, as its caller sends it again at
// one VM after the other: offsets and VMs are those of a failure that was seen.
func TestCrashingRequestIsKeptFromEngines(t *testing.T) {
	for _, vms := range []int{8, 30} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			inCrashBed(t, vms, 18, func(b *crashBed) {
				for _, sending := range []struct {
					after time.Duration
					vm    int
				}{
					{0, 1}, {549, 4}, {6361, 6}, {6361, 6}, {6367, 3}, {7774, 4}, {8434, 0}, {7914, 5}, {10385, 3},
					{10831, 1}, {11600, 7}, {12457, 5}, {13248, 3}, {14000, 2}, {15500, 6}, {30000, 0}, {31000, 1},
				} {
					b.sendAt(time.Second+sending.after*time.Millisecond, b.vms[sending.vm])
				}
				b.serveOthers(35 * time.Second)
				b.open.Wait()
				b.checkCrashes()
			})
		})
	}
}

// Guards against a VM that starts later and sends on what all others refuse.
func TestRestartedVMLearnsOfCrashes(t *testing.T) {
	inCrashBed(t, 8, 18, func(b *crashBed) {
		for i := range 3 {
			b.sendAt(time.Duration(i)*time.Second, b.vms[i])
		}
		b.open.Wait()
		time.Sleep(time.Second)
		b.kill(b.vms[5])
		b.bootVM(5)
		b.sendAt(2*time.Second, b.vms[5])
		b.open.Wait()
		testkit.Equal(t, "sendings to engines", len(b.reached), 3)
	})
}

// Guards against refusing a request that is popular, and so is running whenever an engine
// ends for another reason.
func TestPopularRequestOutlivesItsEngines(t *testing.T) {
	inCrashBed(t, 8, 18, func(b *crashBed) {
		failed := 0
		for i := range 400 {
			b.open.Go(func() {
				if err := b.send(b.vms[i%8], "/popular"); err != nil {
					b.counting.Lock()
					failed++
					b.counting.Unlock()
				}
			})
			if i%40 == 20 {
				b.counting.Lock()
				e := b.engines[fmt.Sprint("at-e", 1+i/40)]
				b.counting.Unlock()
				b.end(e)
			}
			time.Sleep(20 * time.Millisecond)
		}
		b.open.Wait()
		testkit.That(t, failed < 20, "%d of 400 requests failed", failed)
	})
}

// Guards against a fleet that has forgotten, after all its VMs were killed, what crashed
// its engines before.
func TestQuarantineOutlivesAllVMs(t *testing.T) {
	inCrashBed(t, 8, 18, func(b *crashBed) {
		for i := range 3 {
			b.sendAt(time.Duration(i)*time.Second, b.vms[i])
		}
		b.open.Wait()
		time.Sleep(5 * time.Second)
		for _, vm := range b.vms {
			b.kill(vm)
		}
		time.Sleep(time.Second)
		for i := range b.vms {
			b.bootVM(i)
		}
		for i := range 6 {
			b.sendAt(4*time.Second+time.Duration(i)*700*time.Millisecond, b.vms[i])
		}
		b.open.Wait()
		testkit.Equal(t, "sendings to engines", len(b.reached), 3)
	})
}
