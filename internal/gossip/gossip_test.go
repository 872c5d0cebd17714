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
	heartbeatInterval = 250 * time.Millisecond
	peerTimeout       = 6 * heartbeatInterval
)

// testCluster is a set of entry VMs that exchange digests in memory.
type testCluster struct {
	entryvm.Peer
	gossips map[string]*gossip.Gossip
	vmList  []vmlist.VM
	// isBlocked reports whether one VM can't connect to another.
	isBlocked func(from, to string) bool
	mu        sync.Mutex
	// digestCount is the number of digests exchanged, in both directions.
	digestCount int
}

// testPeer is the entryvm.Peer through which one VM reaches the others.
type testPeer struct {
	*testCluster
	from string
}

func (p testPeer) Exchange(_ context.Context, address string, digests []entryvm.Digest) ([]entryvm.Digest, error) {
	if p.isBlocked(p.from, address) {
		return nil, errors.New("blocked")
	}
	reply := p.gossips[address].Exchange(digests)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.digestCount += len(digests) + len(reply)
	return reply, nil
}

func newTestCluster(n int) *testCluster {
	c := &testCluster{gossips: make(map[string]*gossip.Gossip), isBlocked: func(string, string) bool { return false }}
	for i := range n {
		name := fmt.Sprint("v", i)
		c.vmList = append(c.vmList, vmlist.VM{ID: name, Address: name})
		c.gossips[name] = newGossip(name, name, testPeer{c, name}, func() []vmlist.VM { return c.vmList })
	}
	return c
}

func newGossip(name, address string, peer entryvm.Peer, listedVMs func() []vmlist.VM) *gossip.Gossip {
	return gossip.New(gossip.Config{
		VM: name, Peer: peer, Logger: zap.NewNop(), HeartbeatInterval: heartbeatInterval, PeerTimeout: peerTimeout, ListedVMs: listedVMs,
		MakeDigest:   func() entryvm.Digest { return entryvm.Digest{VM: name, Address: address, Incarnation: name} },
		OnNewDigests: func(time.Time, []entryvm.Digest) {},
	})
}

// run starts all VMs, at slightly different times as in production, calls test and
// stops them.
func (c *testCluster) run(t *testing.T, test func()) {
	ctx, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for _, vm := range c.vmList {
		group.Go(func() { c.gossips[vm.ID].Run(ctx) })
		time.Sleep(heartbeatInterval / 20)
	}
	test()
	stop()
	group.Wait()
}

// countDigests returns the number of digests exchanged during span.
func (c *testCluster) countDigests(span time.Duration) int {
	c.mu.Lock()
	before := c.digestCount
	c.mu.Unlock()
	time.Sleep(span)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.digestCount - before
}

// liveCounts returns how many other VMs each VM considers live, in the order of the
// list.
func (c *testCluster) liveCounts() string {
	out := ""
	for _, vm := range c.vmList {
		out += fmt.Sprint(len(c.gossips[vm.ID].LiveDigests()))
	}
	return out
}

// Digests are most of the traffic between entry VMs. Each pair needs one per heartbeat
// in each direction; if both VMs initiate exchanges and both answer them, each digest
// is sent twice.
func TestOneDigestPerDirectionPerHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(5)
		c.run(t, func() {
			time.Sleep(2 * heartbeatInterval)
			got, want := c.countDigests(20*heartbeatInterval), 20*5*4
			if got > want*11/10 || got < want*9/10 {
				t.Errorf("%d digests, want about %d", got, want)
			}
		})
		testkit.Equal(t, "live peers of each VM", c.liveCounts(), "44444")
	})
}

// A firewall admits connections in one direction only, and the VM that would initiate
// the exchange is on the blocked side: the other one must initiate. A VM that is then
// unreachable in both directions must stop counting as live after the timeout.
func TestOneWayConnectivityAndDeadVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(3)
		var dead atomic.Bool
		c.isBlocked = func(from, to string) bool {
			return (from == "v0" && to != "v0") || (dead.Load() && (from == "v2" || to == "v2"))
		}
		c.run(t, func() {
			for range 40 {
				time.Sleep(heartbeatInterval)
				testkit.Require(t, "one direction blocked: live peers of each VM", c.liveCounts(), "222")
			}
			dead.Store(true)
			time.Sleep(peerTimeout)
			testkit.Equal(t, "v2 unreachable: live peers of each VM", c.liveCounts(), "110")
		})
	})
}

// A VM restarts, and a digest of its previous incarnation arrives by another path
// after the first one of the new incarnation. The previous incarnation must not count
// as live again, and the new one must be sent the digest that the previous one had.
func TestLateDigestOfPreviousIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGossip("v0", "v0", nil, nil)
		exchange := func(incarnation string, sequence uint64, age time.Duration, n int) int {
			return len(g.Exchange([]entryvm.Digest{{
				VM: "v1", Incarnation: incarnation, Sequence: sequence, Age: age, InFlight: map[string]int{"e": n},
			}}))
		}
		if first, again := exchange("old", 500, 0, 1), exchange("old", 501, 0, 2); first != 1 || again != 0 {
			t.Errorf("digests sent to the first incarnation: %d, then %d; want 1, then 0", first, again)
		}
		time.Sleep(heartbeatInterval / 10)
		testkit.Equal(t, "digests sent to the new incarnation", exchange("new", 1, 0, 5), 1)
		exchange("old", 502, heartbeatInterval/10+1, 3)
		if live := g.LiveDigests(); len(live) != 1 || live[0].Incarnation != "new" || g.InFlight("e") != 5 {
			t.Errorf("live %+v, %d in flight", live, g.InFlight("e"))
		}
		time.Sleep(peerTimeout)
		testkit.Equal(t, "requests in flight after the peer timeout", g.InFlight("e"), 0)
	})
}

// Demand received by a Want call replaces the sender's demand for the same unit only; its
// demand for other units stays.
func TestPeerDemandReplacesItsUnitOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGossip("v0", "v0", nil, nil)
		g.Exchange([]entryvm.Digest{{VM: "v1", Sequence: 1, Demand: []entryvm.Demand{{Unit: "a", Waiting: 1}, {Unit: "b", Waiting: 1}}}})
		time.Sleep(time.Millisecond)
		g.ApplyPeerDemand("v1", []entryvm.Demand{{Unit: "b", Waiting: 7}})
		waiting := make(map[string]int)
		for _, d := range g.Demand(time.Now()) {
			waiting[d.Unit] += d.Waiting
		}
		if waiting["a"] != 1 || waiting["b"] != 7 {
			t.Errorf("waiting %v", waiting)
		}
	})
}

// In a fleet of 60 entry VMs in three failure domains and two regions, VMs exchange
// digests with a few others only. Still each VM must count the requests, demand and
// usage of all others, each exactly once, also after VMs, relays among them, have died.
func TestLargeFleetTotalsAreComplete(t *testing.T) {
	for name, topology := range map[string]digest.Topology{
		"mesh groups": digest.DefaultTopology, "relayed groups": {MaxFlatVMs: 18, MaxMeshMembers: 2, RelaysPerCell: 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			const n = 60
			c := &testCluster{gossips: make(map[string]*gossip.Gossip)}
			deadVMs := map[string]bool{"v0": true, "v1": true, "v2": true, "v3": true, "v4": true, "v5": true}
			var areDead atomic.Bool
			c.isBlocked = func(from, to string) bool { return areDead.Load() && (deadVMs[from] || deadVMs[to]) }
			for i := range n {
				vm := vmlist.VM{ID: fmt.Sprint("v", i), Address: fmt.Sprint("v", i), Domain: fmt.Sprint("d", i%3), Region: fmt.Sprint("r", i%3/2)}
				c.vmList = append(c.vmList, vm)
				c.gossips[vm.ID] = gossip.New(gossip.Config{
					VM: vm.ID, Domain: vm.Domain, Region: vm.Region, Peer: testPeer{c, vm.ID}, Logger: zap.NewNop(),
					Topology: topology, HeartbeatInterval: heartbeatInterval, PeerTimeout: peerTimeout, ListedVMs: func() []vmlist.VM { return c.vmList },
					MakeDigest: func() entryvm.Digest {
						return entryvm.Digest{
							VM: vm.ID, Address: vm.Address, Domain: vm.Domain, Region: vm.Region, Incarnation: vm.ID,
							Applied: uint64(100 + i), InFlight: map[string]int{"e": 1}, Demand: []entryvm.Demand{{Unit: "u", Waiting: 1}},
						}
					},
					OnNewDigests: func(time.Time, []entryvm.Digest) {},
				})
			}
			// lowest is the position that all VMs have applied, by what a VM has received.
			lowest := func(g *gossip.Gossip, own uint64) uint64 {
				for _, d := range g.LiveDigests() {
					own = min(own, d.Applied)
				}
				for _, sum := range g.RemoteSums() {
					own = min(own, sum.MinApplied)
				}
				return own
			}
			check := func(what string, want int) {
				t.Helper()
				for i, vm := range c.vmList {
					g := c.gossips[vm.ID]
					if got, all := lowest(g, uint64(100+i)), uint64(100+n-1-want); got != all && !(areDead.Load() && deadVMs[vm.ID]) {
						t.Errorf("%s, %s: %s computes %d as the lowest applied position, want %d", name, what, vm.ID, got, all)
					}
					_, vms := g.Usage()
					waiting := 0
					for _, d := range g.Demand(time.Now()) {
						waiting += d.Waiting
					}
					if !(areDead.Load() && deadVMs[vm.ID]) && (g.InFlight("e") != want || vms != want || waiting != want || len(g.ActivePeers()) < want) {
						t.Errorf("%s, %s: %s counts %d in flight, %d VMs, %d waiting, %d active peers, want %d",
							name, what, vm.ID, g.InFlight("e"), vms, waiting, len(g.ActivePeers()), want)
					}
				}
			}
			c.run(t, func() {
				time.Sleep(4 * peerTimeout)
				check("all live", n-1)
				if digests := c.countDigests(10*heartbeatInterval) / 10; digests > n*(n-1)/4 {
					t.Errorf("%s: %d digests per heartbeat, want well below %d", name, digests, n*(n-1))
				}
				areDead.Store(true)
				time.Sleep(8 * peerTimeout)
				check("six dead", n-1-len(deadVMs))
			})
		})
	}
}

// handler serves a Gossip's exchanges to its peers.
type handler struct {
	entryvm.Handler
	gossip *gossip.Gossip
}

func (h handler) Exchange(digests []entryvm.Digest) []entryvm.Digest {
	return h.gossip.Exchange(digests)
}

// BenchmarkTraffic runs 9 VMs that exchange digests of a busy VM over TCP for three
// seconds per run. It counts the bytes of the connections, without the overhead of
// TCP and IP.
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
			VM: vm.ID, Peer: client, Logger: zap.NewNop(), HeartbeatInterval: heartbeatInterval, PeerTimeout: peerTimeout,
			ListedVMs:    func() []vmlist.VM { return list },
			MakeDigest:   func() entryvm.Digest { return busyDigest(vm, i) },
			OnNewDigests: func(time.Time, []entryvm.Digest) {},
		})
		group.Go(func() { _ = entryvm.Serve(ctx, listeners[i], secret, handler{gossip: g}, nil) })
		time.Sleep(heartbeatInterval / vms)
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

// busyDigest returns the digest of a VM with 20 requests per second over 8 models.
func busyDigest(vm vmlist.VM, i int) entryvm.Digest {
	d := entryvm.Digest{
		VM: vm.ID, Address: vm.Address, Domain: "d1", Region: "r1", Incarnation: "0123456789abcdef01234567",
		Applied: 1 << 30, InFlight: map[string]int{},
	}
	for k := range 8 {
		unit, customer := fmt.Sprintf("adapter-%05d", i*7+k), fmt.Sprintf("customer-%03d", i+k)
		d.InFlight[fmt.Sprintf("10.120.130.%d:8000", i+k)] = k%4 + 1
		d.Usage = append(d.Usage, entryvm.Usage{Customer: customer, AdmittedRate: 1.25, DemandRate: 1.5})
		d.RecentUses = append(d.RecentUses, entryvm.Use{Unit: unit, Age: time.Second})
		// A node includes refusals in some digests only; see internal/node.
		if time.Now().UnixNano()/int64(heartbeatInterval)%12 < 2 {
			d.Refused = append(d.Refused, entryvm.RefusalCount{Customer: customer, Code: "slow", Count: uint64(k)})
		}
		if k%4 == 0 {
			d.Demand = append(d.Demand, entryvm.Demand{Unit: unit, Customer: customer, Waiting: 1, Deadline: time.Second})
		}
	}
	return d
}

// BenchmarkInFlight measures the call that the queue makes under its lock for each
// candidate that it considers.
func BenchmarkInFlight(b *testing.B) {
	g := newGossip("v", "v", nil, nil)
	for i := range 8 {
		d := busyDigest(vmlist.VM{ID: fmt.Sprint("vm-", i)}, i)
		d.Sequence = 1
		g.Exchange([]entryvm.Digest{d})
	}
	b.ReportAllocs()
	for b.Loop() {
		g.InFlight("10.120.130.7:8000")
	}
}
