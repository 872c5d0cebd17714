package hosted

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"testing"
	"time"

	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
	"bergamotreel/service"
)

const (
	plainService = "booking"
	plainSlots   = 6
	plainQueue   = 12
	plainWork    = 30 * time.Millisecond
	plainTarget  = 5 * plainWork
)

// plainServers is a service.Forwarder to the backend servers of a plain service, by address. Each
// runs plainSlots requests at once and rejects those that find its queue full.
type plainServers struct {
	mu             sync.Mutex
	inFlight       map[string]int
	slots          map[string]chan struct{}
	sent, rejected int
}

func (p *plainServers) Forward(ctx context.Context, target service.Target, _ service.ForwardRequest) (*service.ForwardResponse, error) {
	time.Sleep(time.Millisecond)
	p.mu.Lock()
	p.sent++
	if p.inFlight[target.Address] == plainSlots+plainQueue {
		p.rejected++
		p.mu.Unlock()
		return &service.ForwardResponse{}, service.ErrNotRun
	}
	p.inFlight[target.Address]++
	slots := p.slots[target.Address]
	p.mu.Unlock()
	slots <- struct{}{}
	time.Sleep(plainWork)
	<-slots
	p.mu.Lock()
	p.inFlight[target.Address]--
	p.mu.Unlock()
	return &service.ForwardResponse{Status: http.StatusOK, Body: http.NoBody}, nil
}

func (p *plainServers) Probe(context.Context, service.Target) error { return nil }

// Guards against a fleet that leaves places empty, or fills queues until they reject requests, when
// two of three backend servers leave, also while its relay ends, the registry is unavailable, half
// of the VMs don't hear the other half, or all requests arrive at one VM.
func TestQueuesOfFewBackendServers(t *testing.T) {
	for name, c := range map[string]struct {
		vms     int
		oneVM   bool
		disturb func(w *testCluster)
		inTime  float64
	}{
		"62 VMs":            {62, false, func(*testCluster) {}, 0.9},
		"burst at one VM":   {24, true, func(*testCluster) {}, 0.85},
		"relay ends":        {62, false, func(w *testCluster) { w.kill(w.leadRelay("d1")) }, 0.85},
		"registry is away":  {24, false, func(w *testCluster) { w.registry.setUnavailable(true) }, 0.9},
		"cut in two halves": {24, false, func(w *testCluster) { w.setDomainsPartitioned(true) }, 0.75},
	} {
		t.Run(name, func(t *testing.T) {
			withTestCluster(t, func(w *testCluster) {
				servers := &plainServers{inFlight: make(map[string]int), slots: make(map[string]chan struct{})}
				w.load, w.retryShare, w.retrySlack = LoadPolicies{BackendQueues: true}, retryRatio, fleetRetrySlack(c.vms)
				w.forwarderOf = func(string) service.Forwarder { return servers }
				w.registry.configuration = testContract("m1")
				route := &w.registry.configuration.Contract.Routes[0]
				route.Targets[0].Service, route.TargetLatency, route.Public = plainService, plainTarget, true
				route.Repeat = contract.RepeatNever
				w.assignSpreadShards()
				list := func(i int, leaving bool) {
					id := fmt.Sprint("p", i)
					w.registry.put(registry.Backend{ID: id, Service: plainService, Address: id, Domain: fmt.Sprint("d", i), Slots: plainSlots, Leaving: leaving})
				}
				for i := range 3 {
					servers.slots[fmt.Sprint("p", i)] = make(chan struct{}, plainSlots)
					list(i, false)
				}
				var vms []string
				for i := range c.vms {
					vms = append(vms, w.bootSpread(i))
				}
				time.Sleep(8 * time.Second)
				load := &plainLoad{testCluster: w, vms: vms, random: rand.New(rand.NewSource(1))}
				load.run(10*time.Second, false)
				list(1, true)
				list(2, true)
				time.Sleep(200 * time.Millisecond)
				servers.mu.Lock()
				servers.sent, servers.rejected, load.sent, load.inTime, load.refused = 0, 0, 0, 0, 0
				servers.mu.Unlock()
				c.disturb(w)
				load.run(10*time.Second, c.oneVM)
				t.Logf("%d of %d in time, %d refused; %d of %d rejected", load.inTime, load.sent, load.refused, servers.rejected, servers.sent)
				testkit.That(t, float64(load.inTime) >= c.inTime*float64(load.sent), "%d of %d requests in time", load.inTime, load.sent)
				testkit.That(t, servers.rejected*100 <= servers.sent, "%d of %d requests rejected by backend servers", servers.rejected, servers.sent)
				w.registry.setUnavailable(false)
			})
		})
	}
}

// plainLoad sends requests to a plain service and counts what becomes of them.
type plainLoad struct {
	*testCluster
	vms                   []string
	random                *rand.Rand
	countsMu              sync.Mutex
	sent, inTime, refused int
}

// run sends 180 requests a second at random to VMs with uneven shares, or to one VM, and waits for them.
func (l *plainLoad) run(span time.Duration, oneVM bool) {
	var open sync.WaitGroup
	defer open.Wait()
	for end := time.Now().Add(span); time.Now().Before(end); {
		vm := l.vms[min(l.random.Intn(len(l.vms)), l.random.Intn(len(l.vms)))]
		if oneVM {
			vm = l.vms[len(l.vms)-1]
		}
		open.Go(func() { l.send(vm) })
		time.Sleep(time.Duration(l.random.ExpFloat64() / 180 * float64(time.Second)))
	}
}

func (l *plainLoad) send(vm string) {
	l.mu.Lock()
	n := l.nodes[vm]
	l.mu.Unlock()
	if n == nil {
		return // its callers went elsewhere
	}
	grant, err := n.Authorize("h", "/", "")
	now := time.Now()
	if err == nil {
		err = n.Relay(context.Background(), caller.RelayRequest{
			RelayHead: caller.RelayHead{ID: "id"}, Grant: grant, Service: plainService, ForwardRequest: service.ForwardRequest{RequestID: "id", Method: "POST", Host: "h", URI: "/"},
			Arrived: now, AnswerDeadline: now.Add(2500 * time.Millisecond), BeginDeadline: now.Add(2500 * time.Millisecond),
		}, &responseRecorder{})
	}
	l.countsMu.Lock()
	defer l.countsMu.Unlock()
	l.sent++
	switch {
	case err != nil:
		l.refused++
	case time.Since(now) <= plainTarget:
		l.inTime++
	}
}
