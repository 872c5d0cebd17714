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
	"bergamotreel/internal/judge"
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
)

// engineBed is a fleet with engines that all hold one model. They run what they get, may
// end under a request, and may name a limit.
type engineBed struct {
	*world
	random *rand.Rand
	vms    []string
	open   sync.WaitGroup

	counting sync.Mutex
	// draws are the engines' own, so that they don't disturb which VMs get the requests.
	draws   *rand.Rand
	engines map[string]*servingEngine // by address
	started int
	// ends are when engines ended, reached when the crashing request was sent to one.
	ends, reached []time.Time
	// answered, broken and refused count the other requests.
	answered, broken, refused int
	// arrivals are the requests that reached engines, in order.
	arrivals []arrival
	// history is what judges see, sentAt when the requests in it were sent.
	history judge.History
	sentAt  map[string]time.Time
	// boots counts the starts of each VM, killed are those that were ended.
	boots  map[string]int
	killed map[vmStart]bool
}

// vmStart is one start of a VM.
type vmStart struct {
	vm    string
	start int
}

// arrival is a request that reached an engine.
type arrival struct {
	engine, vm string
	at         time.Time
	// leaving is whether the answer said that the engine leaves.
	leaving bool
	// rest is what the engine, which turned it away, asked for.
	rest time.Duration
}

// servingEngine is one start of an engine.
type servingEngine struct {
	id, domain string
	ended      chan struct{}
	over       bool
	// limit is what its answers name, in namedShare of them.
	limit      service.Limit
	namedShare float64
	// leaving has its answers say that it leaves.
	leaving bool
	// rest, where set, has it turn requests away and ask for so long a rest; restsFor, where
	// set, only those of some VMs.
	rest     time.Duration
	restsFor func(vm string) bool
	// losesShare is the share of its answers that are lost.
	losesShare float64
}

func inEngineBed(t *testing.T, vms, engines int, run func(*engineBed)) {
	inWorld(t, func(w *world) {
		b := &engineBed{world: w, random: rand.New(rand.NewSource(3)), draws: rand.New(rand.NewSource(4)), engines: make(map[string]*servingEngine)}
		b.sentAt, b.boots, b.killed = make(map[string]time.Time), make(map[string]int), make(map[vmStart]bool)
		w.forwarderOf = func(vm string) service.Forwarder {
			b.boots[vm]++
			return engineBedOf{b, vmStart{vm, b.boots[vm]}}
		}
		w.registry.configuration = testContract("m1")
		w.registry.configuration.Contract.Routes[0].Repeat = contract.RepeatNever
		w.registry.configuration.Contract.Routes[0].Stream = true
		w.shareSpread()
		for i := range engines {
			b.startEngine(fmt.Sprint("d", i%spreadDomains))
		}
		for i := range vms {
			b.vms = append(b.vms, b.bootSpread(i))
		}
		time.Sleep(8 * time.Second)
		run(b)
		b.open.Wait()
	})
}

// restartAll kills all VMs at once and starts them again a second later.
func (b *engineBed) restartAll() {
	for _, vm := range b.vms {
		b.kill(vm)
	}
	time.Sleep(time.Second)
	for i := range b.vms {
		b.bootSpread(i)
	}
}

// startEngine starts an engine under a new ID.
func (b *engineBed) startEngine(domain string) {
	b.counting.Lock()
	b.started++
	e := b.world.engines.add(fmt.Sprint("e", b.started), "m1")
	e.domain = domain
	b.engines[e.address] = &servingEngine{id: e.id, domain: domain, ended: make(chan struct{})}
	b.counting.Unlock()
	b.list(e)
}

// end ends an engine's process with all that runs there.
func (b *engineBed) end(e *servingEngine) {
	b.counting.Lock()
	defer b.counting.Unlock()
	if e.over {
		return
	}
	e.over = true
	close(e.ended)
	b.ends = append(b.ends, time.Now())
	go func() {
		time.Sleep(crashRestart)
		b.registry.drop(e.id)
		b.startEngine(e.domain)
	}()
}

// up returns the engine at an address, or that its process has ended.
func (b *engineBed) up(address string) (*servingEngine, error) {
	b.counting.Lock()
	defer b.counting.Unlock()
	e := b.engines[address]
	if e == nil || e.over {
		return nil, fmt.Errorf("%w: %w", service.ErrNotSent, service.ErrRefused)
	}
	return e, nil
}

// engineBedOf is the engines as one VM reaches them.
type engineBedOf struct {
	*engineBed
	vmStart
}

// Forward implements service.Forwarder.
func (b engineBedOf) Forward(_ context.Context, target service.Target, f service.Forward) (*service.Forwarded, error) {
	e, err := b.up(target.Address)
	if err != nil {
		return nil, err
	}
	if b.cutFrom(e) {
		return nil, service.ErrNotSent
	}
	if f.URI == crashingURI {
		b.counting.Lock()
		b.reached = append(b.reached, time.Now())
		b.counting.Unlock()
		go func() {
			time.Sleep(crashAfter)
			b.end(e)
		}()
	}
	b.counting.Lock()
	rest := e.rest
	if e.restsFor != nil && !e.restsFor(b.vm) {
		rest = 0
	}
	b.arrivals = append(b.arrivals, arrival{e.id, b.vm, time.Now(), e.leaving, rest})
	b.noteArrival(e, b.vmStart, f.RequestID, rest)
	limit, leaving, lost := e.limit, e.leaving, b.draws.Float64() < e.losesShare
	if b.draws.Float64() >= e.namedShare {
		limit = service.Limit{}
	}
	b.counting.Unlock()
	if rest > 0 {
		return &service.Forwarded{Rest: rest, Leaving: leaving}, service.ErrNotRun
	}
	if lost {
		return nil, service.ErrOutcomeUnknown
	}
	return &service.Forwarded{Status: http.StatusOK, Length: -1, Body: &servedBody{e, time.Now().Add(runTime)}, Limit: limit, Leaving: leaving}, nil
}

// Probe implements service.Forwarder.
func (b *engineBed) Probe(_ context.Context, target service.Target) error {
	_, err := b.up(target.Address)
	return err
}

// servedBody is an answer that ends with its engine or once it is done.
type servedBody struct {
	engine *servingEngine
	done   time.Time
}

func (c *servedBody) Read([]byte) (int, error) {
	select {
	case <-c.engine.ended:
		return 0, io.ErrUnexpectedEOF
	case <-time.After(time.Until(c.done)):
		return 0, io.EOF
	}
}

func (c *servedBody) Close() error { return nil }

// cutFrom tells whether an engine is in another failure domain while these are cut off from
// each other.
func (b engineBedOf) cutFrom(e *servingEngine) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.nodes[b.vm]
	return b.domainsCut && n != nil && n.config.Domain != e.domain
}

// noteArrival adds a request to the history. Call with counting held.
func (b *engineBed) noteArrival(e *servingEngine, from vmStart, request string, rest time.Duration) {
	sent, known := b.sentAt[request]
	if !known || b.killed[from] {
		return
	}
	b.history.Arrivals = append(b.history.Arrivals, judge.Arrival{Request: request, Backend: e.id, VM: from.vm, Incarnation: from.start,
		Sent: sent, At: time.Now(), Ran: rest == 0, Leaving: e.leaving, RetryAfter: rest})
}

// send has a VM serve a request, and returns how it ended.
func (b *engineBed) send(vm, uri string) error { return b.sendAs(vm, "id", uri) }

// sendAs is send with the request's ID.
func (b *engineBed) sendAs(vm, id, uri string) error {
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
		RelayHead: caller.RelayHead{ID: id, Model: "m1"}, Grant: grant, Service: testService,
		Forward: service.Forward{RequestID: id, Method: "POST", Host: "h", URI: uri, Body: []byte("body"), Header: http.Header{}},
		Arrived: now, GiveUp: now.Add(4 * time.Second), BeginBy: now.Add(4 * time.Second),
	}, &received{})
}

// serveOthers sends requests of other callers for a while, each to a VM at random, with a
// pause between two.
func (b *engineBed) serveOthers(span, pause time.Duration) {
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
		time.Sleep(pause)
	}
}
