package hosted

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
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
)

// plainServers is a service.Forwarder to the backend servers of a plain service, by address. A request
// takes a place, of which there are plainSlots + plainQueue, and then a slot; it is rejected without a place.
type plainServers struct {
	places, slots  map[string]chan bool
	sent, rejected atomic.Int64
}

func (p *plainServers) Forward(_ context.Context, target service.Target, _ service.ForwardRequest) (*service.ForwardResponse, error) {
	time.Sleep(time.Millisecond)
	p.sent.Add(1)
	select {
	case p.places[target.Address] <- true:
	default:
		p.rejected.Add(1)
		return &service.ForwardResponse{}, service.ErrNotRun
	}
	p.slots[target.Address] <- true
	time.Sleep(plainWork)
	<-p.slots[target.Address]
	<-p.places[target.Address]
	return &service.ForwardResponse{Status: http.StatusOK, Body: http.NoBody}, nil
}

func (p *plainServers) Probe(context.Context, service.Target) error { return nil }

// Guards against a fleet that leaves places empty, or fills queues until they reject requests, when
// two of three backend servers leave, also while its relay ends, the registry is unavailable, half
// of the VMs don't hear the other half, or all requests arrive at one VM.
func TestQueuesOfFewBackendServers(t *testing.T) {
	for name, c := range map[string]struct {
		vms, loaded int // loaded is how many VMs get the requests
		disturb     func(w *testCluster)
		inTime      float64
	}{
		"62 VMs":            {62, 62, func(*testCluster) {}, 0.9},
		"burst at one VM":   {24, 1, func(*testCluster) {}, 0.85},
		"relay ends":        {62, 62, func(w *testCluster) { w.kill(w.leadRelay("d1")) }, 0.85},
		"registry is away":  {24, 24, func(w *testCluster) { w.registry.setUnavailable(true) }, 0.9},
		"cut in two halves": {24, 24, func(w *testCluster) { w.setDomainsPartitioned(true) }, 0.75},
	} {
		t.Run(name, func(t *testing.T) {
			withTestCluster(t, func(w *testCluster) {
				servers := &plainServers{places: make(map[string]chan bool), slots: make(map[string]chan bool)}
				w.load, w.retryShare, w.retrySlack = LoadPolicies{BackendQueues: true}, retryRatio, fleetRetrySlack(c.vms)
				w.forwarderOf = func(string) service.Forwarder { return servers }
				w.registry.configuration = testContract("m1")
				route := &w.registry.configuration.Contract.Routes[0]
				route.Targets[0].Service, route.TargetLatency, route.Public = plainService, 5*plainWork, true
				route.Repeat = contract.RepeatNever
				w.assignSpreadShards()
				list := func(i int, leaving bool) {
					id := fmt.Sprint("p", i)
					w.registry.put(registry.Backend{ID: id, Service: plainService, Address: id, Domain: fmt.Sprint("d", i), Slots: plainSlots, Leaving: leaving})
				}
				for i := range 3 {
					servers.places[fmt.Sprint("p", i)], servers.slots[fmt.Sprint("p", i)] = make(chan bool, plainSlots+plainQueue), make(chan bool, plainSlots)
					list(i, false)
				}
				var vms []string
				for i := range c.vms {
					vms = append(vms, w.bootSpread(i))
				}
				time.Sleep(8 * time.Second)
				load := &plainLoad{testCluster: w, vms: vms, random: rand.New(rand.NewSource(1))}
				load.run(10*time.Second, len(vms))
				list(1, true)
				list(2, true)
				time.Sleep(200 * time.Millisecond)
				sentBefore, rejectedBefore := servers.sent.Load(), servers.rejected.Load()
				load.sent, load.inTime, load.refused = 0, 0, 0
				c.disturb(w)
				load.run(10*time.Second, c.loaded)
				sent, rejected := servers.sent.Load()-sentBefore, servers.rejected.Load()-rejectedBefore
				t.Logf("%d of %d in time, %d refused; %d of %d rejected", load.inTime, load.sent, load.refused, rejected, sent)
				testkit.That(t, float64(load.inTime) >= c.inTime*float64(load.sent), "%d of %d requests in time", load.inTime, load.sent)
				testkit.That(t, rejected*100 <= sent, "%d of %d requests rejected by backend servers", rejected, sent)
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
	sent, inTime, refused int // guarded by mu
}

// run sends 180 requests a second at random to the last VMs, with uneven shares, and waits for them.
func (l *plainLoad) run(span time.Duration, loaded int) {
	var open sync.WaitGroup
	defer open.Wait()
	for end := time.Now().Add(span); time.Now().Before(end); {
		vm := l.vms[len(l.vms)-1-min(l.random.Intn(loaded), l.random.Intn(loaded))]
		l.mu.Lock()
		if n := l.nodes[vm]; n != nil { // otherwise its callers go elsewhere
			open.Go(func() { l.send(n) })
		}
		l.mu.Unlock()
		time.Sleep(time.Duration(l.random.ExpFloat64() / 180 * float64(time.Second)))
	}
}

func (l *plainLoad) send(n *Node) {
	now := time.Now()
	grant, err := n.Authorize("h", "/", "")
	if err == nil {
		err = n.Relay(context.Background(), caller.RelayRequest{Grant: grant, Service: plainService, Arrived: now, AnswerDeadline: now.Add(2500 * time.Millisecond), BeginDeadline: now.Add(2500 * time.Millisecond)}, &responseRecorder{})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if err != nil {
		l.refused++
	} else if time.Since(now) <= 5*plainWork {
		l.inTime++
	}
}
