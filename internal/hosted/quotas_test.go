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

// quotaBed is a fleet in three failure domains whose VMs get requests of workspaces.
type quotaBed struct {
	*world
	route  *contract.Route
	random *rand.Rand
	vms    []string

	counting sync.Mutex
	// admitted is what workspaces used, refused what was refused, asked all.
	admitted       map[string][]charge
	refused, asked map[string]float64
	// lastRefusals tell where and why requests were refused.
	lastRefusals []string
	open         sync.WaitGroup
	// central is what one bucket that knows all would have refused.
	central        map[string]*quota.Bucket
	centralRefused map[string]float64
}

type charge struct {
	at   time.Time
	cost float64
}

const (
	// quotaOver and quotaSlack are how far above its quota a workspace may get in
	// quotaWindow, by the hosting platform's rules.
	quotaOver   = 0.1
	quotaSlack  = 7500.0
	quotaWindow = 8 * time.Second
)

// meanCost is what a request of the tests costs in the mean.
const meanCost = 1000

func inQuotaBed(t *testing.T, vms int, limits map[string]float64, run func(*quotaBed)) {
	inWorld(t, func(w *world) {
		w.domains, w.quotaSlack = spreadDomains, quotaSlack
		b := &quotaBed{world: w, route: &contract.Route{Name: "r", TargetLatency: 300 * time.Millisecond}, random: rand.New(rand.NewSource(7)),
			admitted: map[string][]charge{}, refused: map[string]float64{}, asked: map[string]float64{},
			central: map[string]*quota.Bucket{}, centralRefused: map[string]float64{}}
		w.registry.configuration = quotaConfiguration(1, limits)
		w.shareSpread()
		for i := range vms {
			b.vms = append(b.vms, b.bootSpread(i))
		}
		time.Sleep(12 * time.Second)
		run(b)
		b.open.Wait()
	})
}

func quotaConfiguration(version uint64, limits map[string]float64) *registry.Configuration {
	c := withWorkspaces(version, nil, unlimited)
	for name, rate := range limits {
		c.Contract.Workspaces = append(c.Contract.Workspaces, contract.Workspace{Name: name,
			Quota: contract.Quota{Unit: contract.CountTokens, PerSecond: rate, Burst: rate}})
	}
	return c
}

// ask sends one request of a workspace to a VM.
func (b *quotaBed) ask(vm, workspace string) {
	// Drawn in any case: what is asked later must not depend on which VMs are ready.
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
	request := &caller.RelayRequest{RelayHead: caller.RelayHead{ID: "id", Tokens: int64(cost), Counted: true},
		Grant: caller.Grant{Route: b.route, Workspace: current.workspaces.Find(workspace)}}
	b.askCentral(workspace, request.Workspace.Quota, cost)
	b.open.Go(func() {
		_, err := n.quotas.admit(context.Background(), request)
		b.counting.Lock()
		defer b.counting.Unlock()
		b.asked[workspace] += cost
		if err != nil {
			b.refused[workspace] += cost
			b.lastRefusals = append(b.lastRefusals, fmt.Sprintf("%s at %s: %v", time.Since(b.start), vm, err))
			return
		}
		b.admitted[workspace] = append(b.admitted[workspace], charge{time.Now(), cost})
	})
}

// askCentral asks the bucket that knows all.
func (b *quotaBed) askCentral(workspace string, limit contract.Quota, cost float64) {
	bucket := b.central[workspace]
	if bucket == nil {
		bucket = &quota.Bucket{}
		bucket.SetRate(b.start, limit.PerSecond, limit.Burst+slackUsed*quotaSlack)
		b.central[workspace] = bucket
	}
	bucket.SetRate(time.Now(), limit.PerSecond, limit.Burst+slackUsed*quotaSlack)
	if _, ok := bucket.Take(time.Now(), cost, creditWait); !ok {
		b.centralRefused[workspace] += cost
	}
}

// checkRefused holds that no more was refused than by one bucket that knows all, but for
// a share.
func (b *quotaBed) checkRefused(workspace string, more float64) {
	b.Helper()
	central := b.centralRefused[workspace] / b.asked[workspace]
	b.Logf("%s: %.4f refused, %.4f by a central bucket", workspace, b.refusedShare(workspace), central)
	testkit.That(b, b.refusedShare(workspace) <= central+more, "%s: %.3f refused, %.3f by a central bucket", workspace, b.refusedShare(workspace), central)
}

// drive sends a workspace's requests for a while, so many tokens a second, each to the
// VM that pick names.
func (b *quotaBed) drive(span time.Duration, rates map[string]float64, pick func(since time.Duration) string) {
	const step = 10 * time.Millisecond
	begun := time.Now()
	for since := time.Duration(0); since < span; since = time.Since(begun) {
		for _, workspace := range slices.Sorted(maps.Keys(rates)) {
			for due := rates[workspace] * step.Seconds() / meanCost; b.random.Float64() < due; due-- {
				b.ask(pick(since), workspace)
			}
		}
		time.Sleep(step)
	}
}

// any picks one of the VMs at random.
func (b *quotaBed) any(time.Duration) string { return b.vms[b.random.Intn(len(b.vms))] }

// checkWindows holds that a workspace kept to its quota in every window.
func (b *quotaBed) checkWindows(workspace string, limit float64) {
	b.Helper()
	most := (limit*quotaWindow.Seconds()+limit)*(1+quotaOver) + quotaSlack
	b.counting.Lock()
	defer b.counting.Unlock()
	list := b.admitted[workspace]
	slices.SortFunc(list, func(x, y charge) int { return x.at.Compare(y.at) })
	from, sum, peak := 0, 0.0, 0.0
	for _, c := range list {
		sum += c.cost
		for c.at.Sub(list[from].at) >= quotaWindow {
			sum -= list[from].cost
			from++
		}
		peak = max(peak, sum)
	}
	b.Logf("%s: at most %.0f in a window, %.0f allowed; asked %.0f, refused %.0f", workspace, peak, most, b.asked[workspace], b.refused[workspace])
	testkit.That(b, peak <= most, "%s used %.0f in a window, %.0f are allowed", workspace, peak, most)
}

// refusedShare is the part of what a workspace asked that was refused.
func (b *quotaBed) refusedShare(workspace string) float64 {
	b.counting.Lock()
	defer b.counting.Unlock()
	return b.refused[workspace] / b.asked[workspace]
}

// Guards against one workspace's flood that goes through, and against its neighbour
// being refused for it.
func TestHotWorkspaceHarmsItselfOnly(t *testing.T) {
	limits := map[string]float64{"hot": 20_000, "calm": 20_000, "small": 2_000}
	inQuotaBed(t, 30, limits, func(b *quotaBed) {
		b.drive(60*time.Second, map[string]float64{"hot": 80_000, "calm": 11_000, "small": 1_100}, b.any)
		b.open.Wait()
		for workspace, limit := range limits {
			b.checkWindows(workspace, limit)
		}
		b.checkRefused("calm", 0.005)
		b.checkRefused("small", 0.02)
		b.checkRefused("hot", 0.02)
	})
}

// Guards against quota that lies idle at VMs without requests: all of a workspace's
// requests come to one VM, another one each second.
func TestQuotaFollowsItsRequests(t *testing.T) {
	inQuotaBed(t, 30, map[string]float64{"w": 20_000}, func(b *quotaBed) {
		b.drive(20*time.Second, map[string]float64{"w": 17_000}, func(since time.Duration) string { return b.vms[int(since.Seconds())*7%len(b.vms)] })
		b.open.Wait()
		b.checkWindows("w", 20_000)
		b.checkRefused("w", 0.005)
	})
}

// Guards against failure domains that each spend the whole quota while they are cut off
// from each other, and against refusals below an even part meanwhile.
func TestQuotaWhileDomainsAreCut(t *testing.T) {
	inQuotaBed(t, 15, map[string]float64{"hot": 20_000, "calm": 20_000}, func(b *quotaBed) {
		time.AfterFunc(4*time.Second, func() { b.setDomainsCut(true) })
		time.AfterFunc(14*time.Second, func() { b.setDomainsCut(false) })
		b.drive(20*time.Second, map[string]float64{"hot": 80_000, "calm": 11_000}, b.any)
		b.open.Wait()
		b.checkWindows("hot", 20_000)
		b.checkWindows("calm", 20_000)
		b.checkRefused("calm", 0.02)
	})
}

// Guards against two parts of a fleet that are cut off from each other through the middle
// of each failure domain, so that each has an allocator of each domain.
func TestQuotaWhileDomainsAreSplit(t *testing.T) {
	inQuotaBed(t, 30, map[string]float64{"hot": 20_000, "calm": 20_000}, func(b *quotaBed) {
		few := make(map[string]bool)
		for i, vm := range b.vms {
			few[vm] = i >= 18
		}
		time.AfterFunc(4*time.Second, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.side = func(vm string) int {
				if few[vm] {
					return 1
				}
				return 0
			}
		})
		b.drive(18*time.Second, map[string]float64{"hot": 80_000, "calm": 11_000}, b.any)
		b.open.Wait()
		b.checkWindows("hot", 20_000)
		b.checkWindows("calm", 20_000)
		b.checkRefused("calm", 0.02)
	})
}

// Guards against a burst that comes back with each restart of the VMs that hand out
// credit, and against a pause in service until others are drawn.
func TestQuotaWhileAllocatorsDie(t *testing.T) {
	inQuotaBed(t, 15, map[string]float64{"hot": 20_000, "calm": 20_000}, func(b *quotaBed) {
		done := make(chan struct{})
		b.open.Go(func() {
			for round := range 9 {
				time.Sleep(2 * time.Second)
				i := b.allocatorOf(fmt.Sprint("d", round%spreadDomains))
				b.kill(b.vms[i])
				time.Sleep(500 * time.Millisecond)
				b.bootSpread(i)
			}
			close(done)
		})
		b.drive(23*time.Second, map[string]float64{"hot": 80_000, "calm": 11_000}, b.any)
		<-done
		b.open.Wait()
		b.checkWindows("hot", 20_000)
		b.checkWindows("calm", 20_000)
		b.checkRefused("calm", 0.03)
	})
}

// Guards against a second burst after all VMs were killed at once.
func TestQuotaAfterAllWereKilled(t *testing.T) {
	inQuotaBed(t, 15, map[string]float64{"hot": 20_000}, func(b *quotaBed) {
		for range 4 {
			b.drive(2*time.Second, map[string]float64{"hot": 80_000}, b.any)
			for _, vm := range b.vms {
				b.kill(vm)
			}
			for i := range b.vms {
				b.bootSpread(i)
			}
		}
		b.drive(8*time.Second, map[string]float64{"hot": 80_000}, b.any)
		b.open.Wait()
		b.checkWindows("hot", 20_000)
	})
}

// Guards against a lower quota that binds only where its allocator was asked, and a raised
// one that stays unused.
func TestQuotaChangesInUse(t *testing.T) {
	inQuotaBed(t, 15, map[string]float64{"hot": 20_000}, func(b *quotaBed) {
		b.drive(10*time.Second, map[string]float64{"hot": 80_000}, b.any)
		b.registry.configure(quotaConfiguration(2, map[string]float64{"hot": 8_000}))
		b.drive(3*time.Second, map[string]float64{"hot": 80_000}, b.any)
		b.open.Wait()
		b.checkWindows("hot", 20_000)
		b.admitted["hot"] = nil
		b.drive(10*time.Second, map[string]float64{"hot": 80_000}, b.any)
		b.open.Wait()
		b.checkWindows("hot", 8_000)
		b.registry.configure(quotaConfiguration(3, map[string]float64{"hot": 20_000}))
		b.drive(3*time.Second, map[string]float64{"hot": 80_000}, b.any)
		b.open.Wait()
		b.admitted["hot"] = nil
		b.drive(10*time.Second, map[string]float64{"hot": 80_000}, b.any)
		b.open.Wait()
		used := 0.0
		for _, c := range b.admitted["hot"] {
			used += c.cost
		}
		testkit.That(b, used > 0.95*10*20_000, "%.0f used of a raised quota in 10 s", used)
	})
}

// allocatorOf is the index of the VM that hands out credit in a failure domain, by the view
// of one of its VMs.
func (b *quotaBed) allocatorOf(domain string) int {
	name := ""
	b.eachNode(func(_ string, n *Node) {
		if d := n.quotas.draw(time.Now()); n.config.Domain == domain && len(d.own) > 0 {
			name = d.own[0].vm
		}
	})
	return slices.Index(b.vms, name)
}

// Guards against a large fleet whose VMs refuse calm workspaces long after all of them
// were killed: each knows few others at first.
func TestQuotaAfterALargeFleetWasKilled(t *testing.T) {
	limits, usual := make(map[string]float64), make(map[string]float64)
	for i := range 16 {
		name := fmt.Sprint("w", i)
		limits[name], usual[name] = 4_500, 2_500
	}
	inQuotaBed(t, 300, limits, func(b *quotaBed) {
		for _, vm := range b.vms {
			b.kill(vm)
		}
		for i := range b.vms {
			b.bootSpread(i)
		}
		for second := range 8 {
			asked, refused := 0.0, 0.0
			b.drive(time.Second, usual, b.any)
			b.open.Wait()
			for name := range limits {
				asked, refused = asked+b.asked[name], refused+b.refused[name]
				b.asked[name], b.refused[name] = 0, 0
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

// Guards against a VM that has just started and hands out next to nothing, as it was told
// of VMs that it has not heard yet.
func TestVMsOnlyNamedAreNotMissing(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1")
		a := w.boot("a", true)
		time.Sleep(time.Second)
		a.members.mu.Lock()
		a.members.addVMs(time.Now(), []entryvm.VMView{{VM: "x", Address: "x", Domain: "d"}, {VM: "y", Address: "y", Domain: "d"}})
		a.members.mu.Unlock()
		draw := a.members.drawAllocators(time.Now())
		testkit.Equal(w, "part of the domain that is present", draw.present(), 1.0)
	})
}
