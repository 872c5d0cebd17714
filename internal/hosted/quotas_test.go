package hosted

import (
	"context"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotreel/admission/quota"
	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/entryvm"
	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
)

// quotaCluster is a fleet in three failure domains whose VMs get requests from workspaces.
type quotaCluster struct {
	*testCluster
	route  *contract.Route
	random *rand.Rand
	vms    []string

	statsMu sync.Mutex
	// admitted are the charges of each workspace, refused the cost of its refused requests,
	// requested that of all its requests.
	admitted           map[string][]admittedCharge
	refused, requested map[string]float64
	// lastRefusals say where and why requests were refused.
	lastRefusals []string
	inFlight     sync.WaitGroup
	// central holds a bucket for each workspace that sees all its requests, centralRefused
	// the cost that it would have refused.
	central        map[string]*quota.Bucket
	centralRefused map[string]float64
}

type admittedCharge struct {
	at   time.Time
	cost float64
}

const (
	// quotaTolerance, as a share, and quotaSlack, as a cost, are how far a workspace may
	// exceed its quota in quotaWindow by the hosting platform's rules.
	quotaTolerance = 0.1
	quotaSlack     = 7500.0
	quotaWindow    = 8 * time.Second
)

// meanCost is the mean cost of a request in the tests.
const meanCost = 1000

func withQuotaCluster(t *testing.T, vms int, rates map[string]float64, run func(*quotaCluster)) {
	withTestCluster(t, func(w *testCluster) {
		w.domains, w.quotaSlack = spreadDomainCount, quotaSlack
		b := &quotaCluster{testCluster: w, route: &contract.Route{Name: "r", TargetLatency: 300 * time.Millisecond}, random: rand.New(rand.NewSource(7)),
			admitted: map[string][]admittedCharge{}, refused: map[string]float64{}, requested: map[string]float64{},
			central: map[string]*quota.Bucket{}, centralRefused: map[string]float64{}}
		w.registry.configuration = quotaConfiguration(1, rates)
		w.assignSpreadShards()
		for i := range vms {
			b.vms = append(b.vms, b.bootSpread(i))
		}
		time.Sleep(12 * time.Second)
		run(b)
		b.inFlight.Wait()
	})
}

func quotaConfiguration(version uint64, limits map[string]float64) *registry.Configuration {
	c := newWorkspaceConfiguration(version, nil, unlimitedQuota)
	for name, rate := range limits {
		c.Contract.Workspaces = append(c.Contract.Workspaces, contract.Workspace{Name: name,
			Quota: contract.Quota{Unit: contract.CountTokens, PerSecond: rate, Burst: rate}})
	}
	return c
}

// sendRequest sends one request of a workspace to a VM.
func (b *quotaCluster) sendRequest(vm, workspace string) {
	// The cost is drawn in any case, so that later requests don't depend on which VMs are
	// ready.
	cost := float64(100 + b.random.Intn(2*meanCost-200))
	b.mu.Lock()
	n := b.nodes[vm]
	b.mu.Unlock()
	if n == nil {
		return
	}
	current := n.active.Load()
	if current == nil {
		return
	}
	request := &caller.RelayRequest{RelayHead: caller.RelayHead{ID: "id", Tokens: int64(cost), HasTokens: true},
		Grant: caller.Grant{Route: b.route, Workspace: current.workspaces.FindByName(workspace)}}
	b.chargeCentral(workspace, request.Workspace.Quota, cost)
	b.inFlight.Go(func() {
		_, err := n.quotas.admit(context.Background(), request)
		b.statsMu.Lock()
		defer b.statsMu.Unlock()
		b.requested[workspace] += cost
		if err != nil {
			b.refused[workspace] += cost
			b.lastRefusals = append(b.lastRefusals, fmt.Sprintf("%s at %s: %v", time.Since(b.start), vm, err))
			return
		}
		b.admitted[workspace] = append(b.admitted[workspace], admittedCharge{time.Now(), cost})
	})
}

// chargeCentral charges a request to the workspace's central bucket.
func (b *quotaCluster) chargeCentral(workspace string, limit contract.Quota, cost float64) {
	bucket := b.central[workspace]
	if bucket == nil {
		bucket = &quota.Bucket{}
		bucket.SetRate(b.start, limit.PerSecond, limit.Burst+burstSlackShare*quotaSlack)
		b.central[workspace] = bucket
	}
	bucket.SetRate(time.Now(), limit.PerSecond, limit.Burst+burstSlackShare*quotaSlack)
	if _, ok := bucket.Take(time.Now(), cost, maxCreditWait); !ok {
		b.centralRefused[workspace] += cost
	}
}

// checkRefused checks that the refused share exceeds that of the central bucket by at most
// tolerance.
func (b *quotaCluster) checkRefused(workspace string, tolerance float64) {
	b.Helper()
	central := b.centralRefused[workspace] / b.requested[workspace]
	b.Logf("%s: %.4f refused, %.4f by a central bucket", workspace, b.refusedShare(workspace), central)
	testkit.That(b, b.refusedShare(workspace) <= central+tolerance, "%s: %.3f refused, %.3f by a central bucket", workspace, b.refusedShare(workspace), central)
}

// sendRequests sends the requests of workspaces for a time span, at the given rates in tokens
// per second, each to the VM that pick returns.
func (b *quotaCluster) sendRequests(span time.Duration, rates map[string]float64, pick func(since time.Duration) string) {
	const step = 10 * time.Millisecond
	startedAt := time.Now()
	for since := time.Duration(0); since < span; since = time.Since(startedAt) {
		for _, workspace := range slices.Sorted(maps.Keys(rates)) {
			for expected := rates[workspace] * step.Seconds() / meanCost; b.random.Float64() < expected; expected-- {
				b.sendRequest(pick(since), workspace)
			}
		}
		time.Sleep(step)
	}
}

// randomVM returns one of the VMs at random.
func (b *quotaCluster) randomVM(time.Duration) string { return b.vms[b.random.Intn(len(b.vms))] }

// checkWindows checks that a workspace kept to its quota in every window.
func (b *quotaCluster) checkWindows(workspace string, limit float64) {
	b.Helper()
	maxCost := (limit*quotaWindow.Seconds()+limit)*(1+quotaTolerance) + quotaSlack
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	list := b.admitted[workspace]
	slices.SortFunc(list, func(x, y admittedCharge) int { return x.at.Compare(y.at) })
	from, sum, peak := 0, 0.0, 0.0
	for _, c := range list {
		sum += c.cost
		for c.at.Sub(list[from].at) >= quotaWindow {
			sum -= list[from].cost
			from++
		}
		peak = max(peak, sum)
	}
	b.Logf("%s: at most %.0f in a window, %.0f allowed; asked %.0f, refused %.0f", workspace, peak, maxCost, b.requested[workspace], b.refused[workspace])
	testkit.That(b, peak <= maxCost, "%s used %.0f in a window, %.0f are allowed", workspace, peak, maxCost)
}

// refusedShare returns the refused share of a workspace's requests, by cost.
func (b *quotaCluster) refusedShare(workspace string) float64 {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	return b.refused[workspace] / b.requested[workspace]
}

// Guards against a workspace that exceeds its quota under overload, and against refusals of
// other workspaces because of it.
func TestWorkspaceOverQuotaDoesNotAffectOthers(t *testing.T) {
	limits := map[string]float64{"hot": 20_000, "calm": 20_000, "small": 2_000}
	withQuotaCluster(t, 30, limits, func(b *quotaCluster) {
		b.sendRequests(60*time.Second, map[string]float64{"hot": 80_000, "calm": 11_000, "small": 1_100}, b.randomVM)
		b.inFlight.Wait()
		for workspace, limit := range limits {
			b.checkWindows(workspace, limit)
		}
		b.checkRefused("calm", 0.005)
		b.checkRefused("small", 0.02)
		b.checkRefused("hot", 0.02)
	})
}

// Guards against quota that is unused at VMs without requests: all requests of a workspace
// go to one VM, and to another one each second.
func TestQuotaFollowsDemandBetweenVMs(t *testing.T) {
	withQuotaCluster(t, 30, map[string]float64{"w": 20_000}, func(b *quotaCluster) {
		b.sendRequests(20*time.Second, map[string]float64{"w": 17_000}, func(since time.Duration) string { return b.vms[int(since.Seconds())*7%len(b.vms)] })
		b.inFlight.Wait()
		b.checkWindows("w", 20_000)
		b.checkRefused("w", 0.005)
	})
}

// Guards against failure domains that each spend the whole quota while they are partitioned
// from each other, and against refusals below a domain's even share meanwhile.
func TestQuotaWhileDomainsArePartitioned(t *testing.T) {
	withQuotaCluster(t, 15, map[string]float64{"hot": 20_000, "calm": 20_000}, func(b *quotaCluster) {
		time.AfterFunc(4*time.Second, func() { b.setDomainsPartitioned(true) })
		time.AfterFunc(14*time.Second, func() { b.setDomainsPartitioned(false) })
		b.sendRequests(20*time.Second, map[string]float64{"hot": 80_000, "calm": 11_000}, b.randomVM)
		b.inFlight.Wait()
		b.checkWindows("hot", 20_000)
		b.checkWindows("calm", 20_000)
		b.checkRefused("calm", 0.02)
	})
}

// Guards against exceeding a quota while a partition splits each failure domain, so that both
// sides have an allocator for each domain.
func TestQuotaWhileEachDomainIsPartitioned(t *testing.T) {
	t.Run("for seconds", func(t *testing.T) { checkQuotaInDividedDomains(t, 18*time.Second) })
	// VMs that a VM has not heard for long no longer count by its own view.
	t.Run("for a minute", func(t *testing.T) { checkQuotaInDividedDomains(t, time.Minute) })
}

// checkQuotaInDividedDomains checks quotas for some time while each domain is divided in two.
func checkQuotaInDividedDomains(t *testing.T, span time.Duration) {
	withQuotaCluster(t, 30, map[string]float64{"hot": 20_000, "calm": 20_000}, func(b *quotaCluster) {
		few := make(map[string]bool)
		for i, vm := range b.vms {
			few[vm] = i >= 18
		}
		time.AfterFunc(4*time.Second, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.partitionOf = func(vm string) int {
				if few[vm] {
					return 1
				}
				return 0
			}
		})
		b.sendRequests(span, map[string]float64{"hot": 80_000, "calm": 11_000}, b.randomVM)
		b.inFlight.Wait()
		b.checkWindows("hot", 20_000)
		b.checkWindows("calm", 20_000)
		b.checkRefused("calm", 0.02)
	})
}

// Guards against a full burst with each restart of an allocator, and against refusals until
// another allocator is selected.
func TestQuotaWhileAllocatorsAreKilled(t *testing.T) {
	withQuotaCluster(t, 15, map[string]float64{"hot": 20_000, "calm": 20_000}, func(b *quotaCluster) {
		done := make(chan struct{})
		b.inFlight.Go(func() {
			for round := range 9 {
				time.Sleep(2 * time.Second)
				i := b.allocatorIndex(fmt.Sprint("d", round%spreadDomainCount))
				b.kill(b.vms[i])
				time.Sleep(500 * time.Millisecond)
				b.bootSpread(i)
			}
			close(done)
		})
		b.sendRequests(23*time.Second, map[string]float64{"hot": 80_000, "calm": 11_000}, b.randomVM)
		<-done
		b.inFlight.Wait()
		b.checkWindows("hot", 20_000)
		b.checkWindows("calm", 20_000)
		b.checkRefused("calm", 0.03)
	})
}

// Guards against another full burst after all VMs were killed at once.
func TestQuotaAfterAllVMsWereKilled(t *testing.T) {
	withQuotaCluster(t, 15, map[string]float64{"hot": 20_000}, func(b *quotaCluster) {
		for range 4 {
			b.sendRequests(2*time.Second, map[string]float64{"hot": 80_000}, b.randomVM)
			for _, vm := range b.vms {
				b.kill(vm)
			}
			for i := range b.vms {
				b.bootSpread(i)
			}
		}
		b.sendRequests(8*time.Second, map[string]float64{"hot": 80_000}, b.randomVM)
		b.inFlight.Wait()
		b.checkWindows("hot", 20_000)
	})
}

// Guards against a lowered quota that takes effect only at allocators that were asked for
// credit, and a raised quota that stays unused.
func TestQuotaChangeTakesEffectUnderLoad(t *testing.T) {
	withQuotaCluster(t, 15, map[string]float64{"hot": 20_000}, func(b *quotaCluster) {
		b.sendRequests(10*time.Second, map[string]float64{"hot": 80_000}, b.randomVM)
		b.registry.setConfiguration(quotaConfiguration(2, map[string]float64{"hot": 8_000}))
		b.sendRequests(3*time.Second, map[string]float64{"hot": 80_000}, b.randomVM)
		b.inFlight.Wait()
		b.checkWindows("hot", 20_000)
		b.admitted["hot"] = nil
		b.sendRequests(10*time.Second, map[string]float64{"hot": 80_000}, b.randomVM)
		b.inFlight.Wait()
		b.checkWindows("hot", 8_000)
		b.registry.setConfiguration(quotaConfiguration(3, map[string]float64{"hot": 20_000}))
		b.sendRequests(3*time.Second, map[string]float64{"hot": 80_000}, b.randomVM)
		b.inFlight.Wait()
		b.admitted["hot"] = nil
		b.sendRequests(10*time.Second, map[string]float64{"hot": 80_000}, b.randomVM)
		b.inFlight.Wait()
		used := 0.0
		for _, c := range b.admitted["hot"] {
			used += c.cost
		}
		testkit.That(b, used > 0.95*10*20_000, "%.0f used of a raised quota in 10 s", used)
	})
}

// allocatorIndex returns the index of a failure domain's allocator in the view of one of the
// domain's VMs.
func (b *quotaCluster) allocatorIndex(domain string) int {
	name := ""
	b.eachNode(func(_ string, n *Node) {
		if d := n.quotas.currentAllocators(time.Now()); n.config.Domain == domain && len(d.ownDomain) > 0 {
			name = d.ownDomain[0].vm
		}
	})
	return slices.Index(b.vms, name)
}

// Guards against a large fleet that refuses workspaces below their quotas for long after all
// VMs were killed: after the restart each VM knows few others at first.
func TestQuotaAfterALargeFleetWasKilled(t *testing.T) {
	limits, usualRates := make(map[string]float64), make(map[string]float64)
	for i := range 16 {
		name := fmt.Sprint("w", i)
		limits[name], usualRates[name] = 4_500, 2_500
	}
	withQuotaCluster(t, 300, limits, func(b *quotaCluster) {
		for _, vm := range b.vms {
			b.kill(vm)
		}
		for i := range b.vms {
			b.bootSpread(i)
		}
		for second := range 8 {
			asked, refused := 0.0, 0.0
			b.sendRequests(time.Second, usualRates, b.randomVM)
			b.inFlight.Wait()
			for name := range limits {
				asked, refused = asked+b.requested[name], refused+b.refused[name]
				b.requested[name], b.refused[name] = 0, 0
			}
			b.Logf("second %d: asked %.0f, refused %.3f", second, asked, refused/asked)
			if second >= 2 {
				b.Logf("%s", strings.Join(b.lastRefusals, "\n"))
			}
			b.lastRefusals = nil
			testkit.That(b, second < 2 || refused/asked < 0.02, "%.3f refused in second %d", refused/asked, second)
		}
	})
}

// sumShares returns the sum of the shares of a workspace's limit that allocators may grant.
func (b *quotaCluster) sumShares(workspace string, limit float64) (sum float64) {
	now := time.Now()
	b.eachNode(func(_ string, n *Node) {
		if selection := n.quotas.currentAllocators(now); !selection.isAllocator(n.config.Address) {
			return
		}
		n.quotas.mu.Lock()
		defer n.quotas.mu.Unlock()
		sum += n.quotas.demandView.Share(now, workspace, limit)
	})
	return sum
}

// Guards against allocators that grant only a part of a quota for a second after one of them
// is restarted, because they wait for acknowledgements from its killed process or from the VM
// that was the allocator meanwhile. Events of the same instant run in random order, so each
// round plays another one.
func TestWholeQuotaIsGrantedSoonAfterAnAllocatorRestarted(t *testing.T) {
	const rounds, limit = 5, 20_000.0
	for _, downtime := range []time.Duration{0, 3 * time.Second} {
		for range rounds {
			withQuotaCluster(t, 6, map[string]float64{"w": limit}, func(b *quotaCluster) {
				restarted := b.allocatorIndex("d0")
				b.kill(b.vms[restarted])
				time.Sleep(downtime)
				b.bootSpread(restarted)
				b.sendRequests(700*time.Millisecond, map[string]float64{"w": 15_000}, func(time.Duration) string { return b.vms[1] })
				share := b.sumShares("w", limit)
				testkit.That(b, share > 0.95, "allocators grant %.3f of the quota after a restart that took %s", share, downtime)
			})
		}
	}
}

// allocatorNode returns the node that is a failure domain's allocator.
func (b *quotaCluster) allocatorNode(domain string) *Node {
	vm := b.vms[b.allocatorIndex(domain)]
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nodes[vm]
}

// Guards against an allocator that stays in debt, and refuses requests, while the full
// buckets of other domains lose what they are filled with.
func TestDebtIsCoveredFromFullBuckets(t *testing.T) {
	const limit = 6_000.0
	withQuotaCluster(t, 6, map[string]float64{"w": limit}, func(b *quotaCluster) {
		q := b.allocatorNode("d0").quotas
		reply := q.grant(time.Now(), entryvm.LeaseArgs{Workspace: "w", Need: limit})
		testkit.That(b, reply.Credit == limit, "%.0f granted", reply.Credit)
		time.Sleep(2 * demandInterval)
		q.mu.Lock()
		defer q.mu.Unlock()
		testkit.That(b, q.buckets["w"].Level(time.Now()) >= 0, "the bucket's level is %.0f", q.buckets["w"].Level(time.Now()))
	})
}

// Guards against a domain whose demand grows, and that waits for its next announcement to use
// the part of a quota that the others no longer use because of it.
func TestRateFollowsDemandBetweenAnnouncements(t *testing.T) {
	const limit = 6_000.0
	withQuotaCluster(t, 6, map[string]float64{"w": limit}, func(b *quotaCluster) {
		var allocators []*quotas
		for i := range spreadDomainCount {
			q := b.allocatorNode(fmt.Sprint("d", i)).quotas
			q.grant(time.Now(), entryvm.LeaseArgs{Workspace: "w", Need: 4 * limit})
			allocators = append(allocators, q)
		}
		time.Sleep(demandInterval)
		allocators[0].grant(time.Now(), entryvm.LeaseArgs{Workspace: "w", Need: 1, Refused: 20 * limit})
		time.Sleep(demandInterval + 20*time.Millisecond)
		sumLevels := func() (sum float64) {
			for i, q := range allocators {
				if i > 0 {
					q.grant(time.Now(), entryvm.LeaseArgs{Workspace: "w"}) // refused, updates the bucket
				}
				q.mu.Lock()
				sum += q.buckets["w"].Level(time.Now())
				q.mu.Unlock()
			}
			return sum
		}
		before := sumLevels()
		time.Sleep(demandInterval / 2)
		rate := (sumLevels() - before) / (demandInterval / 2).Seconds()
		testkit.That(b, rate > 0.95*limit && rate < 1.01*limit, "buckets are filled at %.0f of %.0f a second", rate, limit)
	})
}

// Guards against credit that a VM with few requests prefetches at each of them and doesn't
// use before it expires.
func TestSingleRequestPrefetchesNothing(t *testing.T) {
	withQuotaCluster(t, 6, map[string]float64{"w": 20_000}, func(b *quotaCluster) {
		allocator := b.allocatorIndex("d0")
		other := b.vms[(allocator+spreadDomainCount)%len(b.vms)]
		b.sendRequest(other, "w")
		b.inFlight.Wait()
		q := b.nodes[other].quotas
		q.mu.Lock()
		defer q.mu.Unlock()
		testkit.That(b, !q.localCredit("w").TrySpend(time.Now(), 1), "a single request prefetched credit")
	})
}

// Guards against a VM that has just started and grants almost no credit because it counts
// VMs that it knows only by name, without a report from them, as unreachable.
func TestVMsWithoutReportsAreNotUnreachable(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1")
		a := w.boot("a", true)
		time.Sleep(time.Second)
		a.members.mu.Lock()
		a.members.addVMs(time.Now(), []entryvm.VMView{{VM: "x", Address: "x", Domain: "d"}, {VM: "y", Address: "y", Domain: "d"}})
		a.members.mu.Unlock()
		selection := a.members.selectAllocators(time.Now())
		testkit.Equal(w, "reachable fraction of the domain", selection.vms.reachableFraction(), 1.0)
	})
}
