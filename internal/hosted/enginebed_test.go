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
	crashingURI       = "/crash"
	crashAfter        = 80 * time.Millisecond
	crashRestartDelay = 3 * time.Second
	// runTime is what every other request takes.
	runTime = 300 * time.Millisecond
)

// engineBed is a fleet with engines that all hold one model. They run what they get, may
// end under a request, and may name a limit.
type engineBed struct {
	*testBed
	random   *rand.Rand
	vms      []string
	inFlight sync.WaitGroup

	statsMu sync.Mutex
	// draws are the engines' own, so that they don't disturb which VMs get the requests.
	engineRandom   *rand.Rand
	engines        map[string]*servingEngine // by address
	startedEngines int
	// ends are when engines ended, reached when the crashing request was sent to one.
	endedAt, crashSentAt []time.Time
	// answered, broken and refused count the other requests.
	answered, failed, refused int
	// arrivals are the requests that reached engines, in order.
	arrivals []arrival
	// history is what judges see, sentAt when the requests in it were sent.
	history judge.History
	sentAt  map[string]time.Time
	// boots counts the starts of each VM, killed are those that were ended.
	vmStarts     map[string]int
	killedStarts map[vmStart]bool
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
	retryAfter time.Duration
}

// servingEngine is one start of an engine.
type servingEngine struct {
	id, domain string
	ended      chan struct{}
	hasEnded   bool
	// limit is what its answers name, in namedShare of them.
	limit      service.Limit
	limitShare float64
	// leaving has its answers say that it leaves.
	leaving bool
	// rest, where set, has it turn requests away and ask for so long a rest; restsFor, where
	// set, only those of some VMs.
	retryAfter time.Duration
	rejectsVM  func(vm string) bool
	// losesShare is the share of its answers that are lost.
	lostShare float64
}

func withEngineBed(t *testing.T, vms, engines int, run func(*engineBed)) {
	withTestBed(t, func(w *testBed) {
		b := &engineBed{testBed: w, random: rand.New(rand.NewSource(3)), engineRandom: rand.New(rand.NewSource(4)), engines: make(map[string]*servingEngine)}
		b.sentAt, b.vmStarts, b.killedStarts = make(map[string]time.Time), make(map[string]int), make(map[vmStart]bool)
		w.forwarderOf = func(vm string) service.Forwarder {
			b.vmStarts[vm]++
			return vmEngineBed{b, vmStart{vm, b.vmStarts[vm]}}
		}
		w.registry.configuration = testContract("m1")
		w.registry.configuration.Contract.Routes[0].Repeat = contract.RepeatNever
		w.registry.configuration.Contract.Routes[0].Stream = true
		w.assignSpreadShards()
		for i := range engines {
			b.startEngine(fmt.Sprint("d", i%spreadDomainCount))
		}
		for i := range vms {
			b.vms = append(b.vms, b.bootSpread(i))
		}
		time.Sleep(8 * time.Second)
		run(b)
		b.inFlight.Wait()
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
	b.statsMu.Lock()
	b.startedEngines++
	e := b.testBed.engines.add(fmt.Sprint("e", b.startedEngines), "m1")
	e.domain = domain
	b.engines[e.address] = &servingEngine{id: e.id, domain: domain, ended: make(chan struct{})}
	b.statsMu.Unlock()
	b.listEngine(e)
}

// end ends an engine's process with all that runs there.
func (b *engineBed) endEngine(e *servingEngine) {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	if e.hasEnded {
		return
	}
	e.hasEnded = true
	close(e.ended)
	b.endedAt = append(b.endedAt, time.Now())
	go func() {
		time.Sleep(crashRestartDelay)
		b.registry.drop(e.id)
		b.startEngine(e.domain)
	}()
}

// up returns the engine at an address, or that its process has ended.
func (b *engineBed) liveEngine(address string) (*servingEngine, error) {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	e := b.engines[address]
	if e == nil || e.hasEnded {
		return nil, fmt.Errorf("%w: %w", service.ErrNotSent, service.ErrRefused)
	}
	return e, nil
}

// engineBedOf is the engines as one VM reaches them.
type vmEngineBed struct {
	*engineBed
	vmStart
}

// Forward implements service.Forwarder.
func (b vmEngineBed) Forward(_ context.Context, target service.Target, f service.Forward) (*service.Forwarded, error) {
	e, err := b.liveEngine(target.Address)
	if err != nil {
		return nil, err
	}
	if b.isCutOffFrom(e) {
		return nil, service.ErrNotSent
	}
	if f.URI == crashingURI {
		b.statsMu.Lock()
		b.crashSentAt = append(b.crashSentAt, time.Now())
		b.statsMu.Unlock()
		go func() {
			time.Sleep(crashAfter)
			b.endEngine(e)
		}()
	}
	b.statsMu.Lock()
	retryAfter := e.retryAfter
	if e.rejectsVM != nil && !e.rejectsVM(b.vm) {
		retryAfter = 0
	}
	b.arrivals = append(b.arrivals, arrival{e.id, b.vm, time.Now(), e.leaving, retryAfter})
	b.recordArrival(e, b.vmStart, f.RequestID, retryAfter)
	limit, leaving, lost := e.limit, e.leaving, b.engineRandom.Float64() < e.lostShare
	if b.engineRandom.Float64() >= e.limitShare {
		limit = service.Limit{}
	}
	b.statsMu.Unlock()
	if retryAfter > 0 {
		return &service.Forwarded{Rest: retryAfter, Leaving: leaving}, service.ErrNotRun
	}
	if lost {
		return nil, service.ErrOutcomeUnknown
	}
	return &service.Forwarded{Status: http.StatusOK, Length: -1, Body: &answerBody{e, time.Now().Add(runTime)}, Limit: limit, Leaving: leaving}, nil
}

// Probe implements service.Forwarder.
func (b *engineBed) Probe(_ context.Context, target service.Target) error {
	_, err := b.liveEngine(target.Address)
	return err
}

// servedBody is an answer that ends with its engine or once it is done.
type answerBody struct {
	engine *servingEngine
	endsAt time.Time
}

func (c *answerBody) Read([]byte) (int, error) {
	select {
	case <-c.engine.ended:
		return 0, io.ErrUnexpectedEOF
	case <-time.After(time.Until(c.endsAt)):
		return 0, io.EOF
	}
}

func (c *answerBody) Close() error { return nil }

// cutFrom tells whether an engine is in another failure domain while these are cut off from
// each other.
func (b vmEngineBed) isCutOffFrom(e *servingEngine) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.nodes[b.vm]
	return b.domainsPartitioned && n != nil && n.config.Domain != e.domain
}

// noteArrival adds a request to the history. Call with counting held.
func (b *engineBed) recordArrival(e *servingEngine, from vmStart, request string, retryAfter time.Duration) {
	sent, known := b.sentAt[request]
	if !known || b.killedStarts[from] {
		return
	}
	b.history.Arrivals = append(b.history.Arrivals, judge.Arrival{Request: request, Backend: e.id, VM: from.vm, Incarnation: from.start,
		Sent: sent, At: time.Now(), Ran: retryAfter == 0, Leaving: e.leaving, RetryAfter: retryAfter})
}

// send has a VM serve a request, and returns how it ended.
func (b *engineBed) send(vm, uri string) error { return b.sendWithID(vm, "id", uri) }

// sendAs is send with the request's ID.
func (b *engineBed) sendWithID(vm, id, uri string) error {
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
func (b *engineBed) sendOtherRequests(span, pause time.Duration) {
	startedAt := time.Now()
	for i := 0; time.Since(startedAt) < span; i++ {
		vm, uri := b.vms[b.random.Intn(len(b.vms))], fmt.Sprint("/other/", i)
		b.inFlight.Go(func() {
			err := b.send(vm, uri)
			b.statsMu.Lock()
			defer b.statsMu.Unlock()
			var refused *refusal.Refusal
			switch {
			case err == nil:
				b.answered++
			case errors.As(err, &refused) && refused.Ran == refusal.RanNo:
				b.refused++
			default:
				b.failed++
			}
		})
		time.Sleep(pause)
	}
}
