package gossip_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/digest"
	"bergamotreel/internal/gossip"
	"bergamotreel/internal/testkit"
	"bergamotreel/vmlist"
)

const (
	every    = 250 * time.Millisecond
	heardFor = 6 * every
)

// ring is entry VMs that exchange digests in memory.
type ring struct {
	entryvm.Peer
	gossips map[string]*gossip.Gossip
	list    []vmlist.VM
	// cut tells whether nothing passes from one VM to another.
	cut func(from, to string) bool
	mu  sync.Mutex
	// carried counts digests by the VM that began the exchange.
	carried int
}

// link is one VM's way to the others.
type link struct {
	*ring
	from string
}

func (l link) Exchange(_ context.Context, address string, digests []entryvm.Digest) ([]entryvm.Digest, error) {
	if l.cut(l.from, address) {
		return nil, errors.New("cut")
	}
	reply := l.gossips[address].Exchange(digests)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.carried += len(digests) + len(reply)
	return reply, nil
}

func newRing(n int) *ring {
	r := &ring{gossips: make(map[string]*gossip.Gossip), cut: func(string, string) bool { return false }}
	for i := range n {
		name := fmt.Sprint("v", i)
		r.list = append(r.list, vmlist.VM{ID: name, Address: name})
		r.gossips[name] = newGossip(name, name, link{r, name}, func() []vmlist.VM { return r.list })
	}
	return r
}

func newGossip(name, address string, peer entryvm.Peer, listed func() []vmlist.VM) *gossip.Gossip {
	return gossip.New(gossip.Config{
		VM: name, Peer: peer, Logger: zap.NewNop(), Every: every, HeardFor: heardFor, Listed: listed,
		Self:  func() entryvm.Digest { return entryvm.Digest{VM: name, Address: address, Incarnation: name} },
		Heard: func(time.Time, []entryvm.Digest) {},
	})
}

// run starts all VMs, a little apart from each other as in life, and ends them.
func (r *ring) run(t *testing.T, test func()) {
	ctx, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for _, vm := range r.list {
		group.Go(func() { r.gossips[vm.ID].Run(ctx) })
		time.Sleep(every / 20)
	}
	test()
	stop()
	group.Wait()
}

// digestsIn counts the digests exchanged within a time.
func (r *ring) digestsIn(span time.Duration) int {
	r.mu.Lock()
	before := r.carried
	r.mu.Unlock()
	time.Sleep(span)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.carried - before
}

// heard counts the live VMs that each VM hears, in the order of the list.
func (r *ring) heard() string {
	out := ""
	for _, vm := range r.list {
		out += fmt.Sprint(len(r.gossips[vm.ID].Live()))
	}
	return out
}

// Digests are most of the traffic between entry VMs. Each pair needs one a
// heartbeat in each direction; with both VMs pushing and both answering each one
// went twice.
func TestOneDigestEachWayAHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRing(5)
		r.run(t, func() {
			time.Sleep(2 * every)
			got, want := r.digestsIn(20*every), 20*5*4
			if got > want*11/10 || got < want*9/10 {
				t.Errorf("%d digests, want about %d", got, want)
			}
		})
		testkit.Equal(t, "heard", r.heard(), "44444")
	})
}

// A firewall lets connections through one way only, and the VM that would begin
// the exchange is on the wrong side. Then a VM is cut off altogether and dies.
func TestOneWayCutAndDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRing(3)
		var dead atomic.Bool
		r.cut = func(from, to string) bool {
			return (from == "v0" && to != "v0") || (dead.Load() && (from == "v2" || to == "v2"))
		}
		r.run(t, func() {
			for range 40 {
				time.Sleep(every)
				testkit.Require(t, "cut one way: heard", r.heard(), "222")
			}
			dead.Store(true)
			time.Sleep(heardFor)
			testkit.Equal(t, "v2 cut off: heard", r.heard(), "110")
		})
	})
}

// A VM restarts, and a digest that its former start sent arrives after the first
// of the new one, by another way. The former start must not come back, and the
// new one must be given the digest that the former had.
func TestLateDigestOfFormerStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGossip("v0", "v0", nil, nil)
		say := func(incarnation string, sequence uint64, age time.Duration, n int) int {
			return len(g.Exchange([]entryvm.Digest{{
				VM: "v1", Incarnation: incarnation, Sequence: sequence, Age: age, InFlight: map[string]int{"e": n},
			}}))
		}
		if first, again := say("old", 500, 0, 1), say("old", 501, 0, 2); first != 1 || again != 0 {
			t.Errorf("given the digest %d and %d times", first, again)
		}
		time.Sleep(every / 10)
		testkit.Equal(t, "digests given to the new start", say("new", 1, 0, 5), 1)
		say("old", 502, every/10+1, 3)
		if live := g.Live(); len(live) != 1 || live[0].Incarnation != "new" || g.InFlight("e") != 5 {
			t.Errorf("live %+v, %d in flight", live, g.InFlight("e"))
		}
		time.Sleep(heardFor)
		testkit.Equal(t, "a silent VM's requests that still count", g.InFlight("e"), 0)
	})
}

// Want tells of one unit that waits; the sender's other demand still stands.
func TestWantedReplacesItsUnitOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGossip("v0", "v0", nil, nil)
		g.Exchange([]entryvm.Digest{{VM: "v1", Sequence: 1, Demand: []entryvm.Demand{{Unit: "a", Waiting: 1}, {Unit: "b", Waiting: 1}}}})
		time.Sleep(time.Millisecond)
		g.Wanted("v1", []entryvm.Demand{{Unit: "b", Waiting: 7}})
		waiting := make(map[string]int)
		for _, d := range g.Demand(time.Now()) {
			waiting[d.Unit] += d.Waiting
		}
		if waiting["a"] != 1 || waiting["b"] != 7 {
			t.Errorf("waiting %v", waiting)
		}
	})
}

// A fleet of 60 entry VMs in three failure domains and two regions does not talk
// everyone to everyone. Still each VM knows what runs on an engine from all
// others, each counted once, also after VMs have died, be they relays.
func TestLargeFleetKnowsTheWhole(t *testing.T) {
	for name, topology := range map[string]digest.Topology{
		"mesh groups": digest.DefaultTopology, "relayed groups": {FlatBound: 18, MeshBound: 2, Relays: 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			const n = 60
			r := &ring{gossips: make(map[string]*gossip.Gossip)}
			dying := map[string]bool{"v0": true, "v1": true, "v2": true, "v3": true, "v4": true, "v5": true}
			var died atomic.Bool
			r.cut = func(from, to string) bool { return died.Load() && (dying[from] || dying[to]) }
			for i := range n {
				vm := vmlist.VM{ID: fmt.Sprint("v", i), Address: fmt.Sprint("v", i), Domain: fmt.Sprint("d", i%3), Region: fmt.Sprint("r", i%3/2)}
				r.list = append(r.list, vm)
				r.gossips[vm.ID] = gossip.New(gossip.Config{
					VM: vm.ID, Domain: vm.Domain, Region: vm.Region, Peer: link{r, vm.ID}, Logger: zap.NewNop(),
					Topology: topology, Every: every, HeardFor: heardFor, Listed: func() []vmlist.VM { return r.list },
					Self: func() entryvm.Digest {
						return entryvm.Digest{
							VM: vm.ID, Address: vm.Address, Domain: vm.Domain, Region: vm.Region, Incarnation: vm.ID,
							Applied: uint64(100 + i), InFlight: map[string]int{"e": 1}, Demand: []entryvm.Demand{{Unit: "u", Waiting: 1}},
						}
					},
					Heard: func(time.Time, []entryvm.Digest) {},
				})
			}
			// lowest is what a VM knows that all have folded.
			lowest := func(g *gossip.Gossip, own uint64) uint64 {
				for _, d := range g.Live() {
					own = min(own, d.Applied)
				}
				for _, sum := range g.Far() {
					own = min(own, sum.MinApplied)
				}
				return own
			}
			check := func(what string, want int) {
				t.Helper()
				for i, vm := range r.list {
					g := r.gossips[vm.ID]
					if got, all := lowest(g, uint64(100+i)), uint64(100+n-1-want); got != all && !(died.Load() && dying[vm.ID]) {
						t.Errorf("%s, %s: %s knows that all are at %d, they are at %d", name, what, vm.ID, got, all)
					}
					_, vms := g.Usage()
					waiting := 0
					for _, d := range g.Demand(time.Now()) {
						waiting += d.Waiting
					}
					if !(died.Load() && dying[vm.ID]) && (g.InFlight("e") != want || vms != want || waiting != want || len(g.Present()) < want) {
						t.Errorf("%s, %s: %s knows %d in flight, %d VMs, %d waiting, %d present, want %d",
							name, what, vm.ID, g.InFlight("e"), vms, waiting, len(g.Present()), want)
					}
				}
			}
			r.run(t, func() {
				time.Sleep(4 * heardFor)
				check("all live", n-1)
				if carried := r.digestsIn(10*every) / 10; carried > n*(n-1)/4 {
					t.Errorf("%s: %d digests a heartbeat, not much less than %d", name, carried, n*(n-1))
				}
				died.Store(true)
				time.Sleep(8 * heardFor)
				check("six dead", n-1-len(dying))
			})
		})
	}
}

// handler is a gossip as its peers reach it.
type handler struct {
	entryvm.Handler
	gossip *gossip.Gossip
}

func (h handler) Exchange(digests []entryvm.Digest) []entryvm.Digest {
	return h.gossip.Exchange(digests)
}

// BenchmarkTraffic has 9 VMs with busy digests exchange them over TCP for three
// seconds a run. Bytes are those of the connections, without TCP's and IP's own.
func BenchmarkTraffic(b *testing.B) {
	const vms, wait = 9, 3 * time.Second
	secret := []byte("0123456789abcdef0123456789abcdef")
	ctx, stop := context.WithCancel(b.Context())
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	var bytes atomic.Int64
	var list []vmlist.VM
	var listeners []net.Listener
	for i := range vms {
		listener := testkit.Value(net.Listen("tcp", "127.0.0.1:0"))(b)
		listeners = append(listeners, testkit.CountingListener{Listener: listener, Bytes: &bytes})
		list = append(list, vmlist.VM{ID: fmt.Sprintf("vm-%05d", i), Address: listener.Addr().String()})
	}
	for i, vm := range list {
		client := testkit.Value(entryvm.NewClient(secret, time.Second, nil))(b)
		defer client.Close()
		g := gossip.New(gossip.Config{
			VM: vm.ID, Peer: client, Logger: zap.NewNop(), Every: every, HeardFor: heardFor,
			Listed: func() []vmlist.VM { return list },
			Self:   func() entryvm.Digest { return busy(vm, i) },
			Heard:  func(time.Time, []entryvm.Digest) {},
		})
		group.Go(func() { _ = entryvm.Serve(ctx, listeners[i], secret, handler{gossip: g}, nil) })
		time.Sleep(every / vms)
		group.Go(func() { g.Run(ctx) })
	}
	time.Sleep(wait)
	bytes.Store(0)
	b.ResetTimer()
	for b.Loop() {
		time.Sleep(wait)
	}
	b.ReportMetric(float64(bytes.Load())/vms/b.Elapsed().Seconds(), "B/s/node")
}

// busy is the digest of a VM with 20 requests a second over 8 models.
func busy(vm vmlist.VM, i int) entryvm.Digest {
	d := entryvm.Digest{
		VM: vm.ID, Address: vm.Address, Domain: "d1", Region: "r1", Incarnation: "0123456789abcdef01234567",
		Applied: 1 << 30, InFlight: map[string]int{},
	}
	for k := range 8 {
		unit, customer := fmt.Sprintf("adapter-%05d", i*7+k), fmt.Sprintf("customer-%03d", i+k)
		d.InFlight[fmt.Sprintf("10.120.130.%d:8000", i+k)] = k%4 + 1
		d.Usage = append(d.Usage, entryvm.Usage{Customer: customer, AdmittedRate: 1.25, DemandRate: 1.5})
		d.RecentUses = append(d.RecentUses, entryvm.Use{Unit: unit, Age: time.Second})
		// As a node does, see internal/node: not in each digest.
		if time.Now().UnixNano()/int64(every)%12 < 2 {
			d.Refused = append(d.Refused, entryvm.RefusalCount{Customer: customer, Code: "slow", Count: uint64(k)})
		}
		if k%4 == 0 {
			d.Demand = append(d.Demand, entryvm.Demand{Unit: unit, Customer: customer, Waiting: 1, Deadline: time.Second})
		}
	}
	return d
}

// BenchmarkInFlight is what the queue asks for each candidate of each look, under
// its lock.
func BenchmarkInFlight(b *testing.B) {
	g := newGossip("v", "v", nil, nil)
	for i := range 8 {
		d := busy(vmlist.VM{ID: fmt.Sprint("vm-", i)}, i)
		d.Sequence = 1
		g.Exchange([]entryvm.Digest{d})
	}
	b.ReportAllocs()
	for b.Loop() {
		g.InFlight("10.120.130.7:8000")
	}
}
