package admission

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"bergamotreel/admission/fairshare"
	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
	"bergamotreel/routing"
)

// burstFleet is a fleet in virtual time whose VMs share slots. Of its 16 workspaces the first four have
// four times the quota and demand of the others; together they use six tenths of the slots. From 8 s to 14 s
// workspace w0 sends ten times its usual requests.
type burstFleet struct {
	vms, slots int
	fair       bool
	burst      float64
	// burstVM is the VM that all requests of the burst arrive at, -1 for all VMs.
	burstVM int
	// reportDelay is the age of reports when they are used, reportLoss the part that is lost.
	reportDelay time.Duration
	reportLoss  float64
	frozen      int // the number of VMs that send no reports from 9 s to 11 s

	random  *rand.Rand
	nodes   []*Controller
	busy    int
	ends    map[time.Time][]func()
	reports [][]fairshare.Usage // the newest report of each VM
	sentAt  []time.Time
	// arrived, inTime and refused count the requests of other workspaces, the first two during the burst.
	arrived, inTime, refused int
}

func (s *burstFleet) run() float64 {
	s.random, s.ends = rand.New(rand.NewSource(4)), make(map[time.Time][]func())
	s.reports, s.sentAt = make([][]fairshare.Usage, s.vms), make([]time.Time, s.vms)
	var workspaces []contract.Workspace
	for i := range 16 {
		workspaces = append(workspaces, contract.Workspace{Name: fmt.Sprint("w", i), Quota: contract.Quota{Unit: contract.CountTokens, PerSecond: s.weight(i)}})
	}
	for range s.vms {
		c := New(Config{FairWorkspaces: s.fair})
		c.SetContracts(map[string]*contract.Contract{"c": {Customer: "c", MaxQueued: 4096}})
		c.SetWorkspaceWeights(fairshare.Weights(workspaces))
		s.nodes = append(s.nodes, c)
	}
	const meanService = 2 * time.Second
	perWeight := 0.6 * float64(s.slots) / meanService.Seconds() / 28
	for at := time.Duration(0); at < 16*time.Second; at += simStep {
		now, bursting := epoch.Add(at), at >= 8*time.Second && at < 14*time.Second
		for _, end := range s.ends[now] {
			end()
		}
		delete(s.ends, now)
		if at%(400*time.Millisecond) == 0 {
			s.exchange(now)
		}
		for i := range workspaces {
			rate := perWeight * s.weight(i)
			if i == 0 && bursting {
				rate *= s.burst
			}
			for n := s.poisson(rate * simStep.Seconds()); n > 0; n-- {
				vm := s.random.Intn(s.vms)
				if i == 0 && bursting && s.burstVM >= 0 {
					vm = s.burstVM
				}
				if i > 0 && bursting {
					s.arrived++
				}
				_, refused := s.nodes[vm].Submit(now, Request{Customer: "c", Workspace: workspaces[i].Name, Service: "s", Unit: "m", Pool: "m", Arrived: now, Deadline: now.Add(4 * time.Second)})
				if refused != nil && i > 0 {
					s.refused++
				}
			}
		}
		for _, vm := range s.random.Perm(s.vms) {
			s.dispatch(now, s.nodes[vm], meanService)
		}
	}
	return float64(s.inTime) / float64(s.arrived)
}

func (s *burstFleet) weight(workspace int) float64 {
	if workspace < 4 {
		return 4
	}
	return 1
}

func (s *burstFleet) poisson(mean float64) (n int) {
	for p := s.random.Float64(); p > math.Exp(-mean); p *= s.random.Float64() {
		n++
	}
	return n
}

func (s *burstFleet) dispatch(now time.Time, c *Controller, meanService time.Duration) {
	for _, e := range c.Expire(now) {
		if e.Ticket.Workspace != "w0" {
			s.refused++
		}
	}
	fits := func(t *Ticket) bool {
		free := s.slots - s.busy
		return free > 0 && (!t.OverFairShare || free > routing.PoolReserve(s.slots))
	}
	for t := c.Next(now, "m", fits); t != nil; t = c.Next(now, "m", fits) {
		// The first event follows 150 ms later and has a target of 400 ms.
		if at := t.Arrived.Sub(epoch); t.Workspace != "w0" && at >= 8*time.Second && at < 14*time.Second && now.Sub(t.Arrived) <= 250*time.Millisecond {
			s.inTime++
		}
		s.busy++
		end := now.Add(time.Duration(float64(meanService) * (0.5 + s.random.Float64()))).Truncate(simStep)
		s.ends[end] = append(s.ends[end], func() {
			s.busy--
			c.Finish(end, t, Outcome{OK: true, ServiceTime: end.Sub(now)})
		})
	}
}

// exchange has each VM report, and gives all of them the sum of the reports that are not older than 1.5 s
// when they arrive.
func (s *burstFleet) exchange(now time.Time) {
	sum := make(map[fairshare.Key]fairshare.Usage)
	for vm, c := range s.nodes {
		isFrozen := vm < s.frozen && now.After(epoch.Add(9*time.Second)) && now.Before(epoch.Add(11*time.Second))
		if usage := c.ReportWorkspaces(now, 32); !isFrozen && s.random.Float64() >= s.reportLoss {
			s.reports[vm], s.sentAt[vm] = usage, now
		}
		if now.Sub(s.sentAt[vm]) > 1500*time.Millisecond {
			continue
		}
		for _, u := range s.reports[vm] {
			sum[u.Key] = fairshare.Usage{Key: u.Key, Used: sum[u.Key].Used + u.Used, Waiting: sum[u.Key].Waiting + u.Waiting}
		}
	}
	var fleet []fairshare.Usage
	for _, u := range sum {
		fleet = append(fleet, u)
	}
	arrival := now.Add(s.reportDelay)
	for _, c := range s.nodes {
		s.ends[arrival] = append(s.ends[arrival], func() { c.SetWorkspaceUsage(arrival, fleet) })
	}
}

// Guards against a burst of one workspace that delays the first events of the others, at any size of the
// fleet, when it arrives at one VM, and when reports are old, are lost or stop.
func TestBurstDoesNotDelayOtherWorkspaces(t *testing.T) {
	for _, size := range []struct{ vms, slots int }{{8, 192}, {62, 1440}, {300, 6976}} {
		calm := burstFleet{vms: size.vms, slots: size.slots, fair: true, burst: 1, burstVM: -1, reportDelay: 800 * time.Millisecond}
		usual, off := calm, calm
		without := calm.run()
		usual.burst, off.burst, off.fair = 10, 10, false
		oneVM, old, lossy, freezing := usual, usual, usual, usual
		oneVM.burstVM, old.reportDelay, lossy.reportLoss, freezing.frozen = 3, 2*time.Second, 0.3, size.vms/4
		unfair := off.run()
		testkit.That(t, unfair < 0.9*without, "%d VMs: without fair shares %.3f in time, so the test can't detect unfairness", size.vms, unfair)
		for name, fleet := range map[string]*burstFleet{"usual": &usual, "burst at one VM": &oneVM, "reports 2 s old": &old, "reports lost": &lossy, "VMs frozen": &freezing} {
			share := fleet.run()
			t.Logf("%d VMs, %s: %.3f in time, %.3f without a burst, %.3f without fair shares, %d and %d refused", size.vms, name, share, without, unfair, fleet.refused, off.refused)
			testkit.That(t, 1000*fleet.refused <= fleet.arrived, "%d VMs, %s: %d requests of other workspaces refused", size.vms, name, fleet.refused)
			testkit.That(t, share >= 0.95*without, "%d VMs, %s: %.3f in time, want 0.95 of %.3f", size.vms, name, share, without)
		}
	}
}

// newWorkspaceController returns a controller with room for three waiting requests, and a function that
// submits a request of a workspace.
func newWorkspaceController() (*Controller, func(workspace string, priority int) (*Ticket, *refusal.Refusal)) {
	c := New(Config{FairWorkspaces: true})
	c.SetContracts(map[string]*contract.Contract{"c": {Customer: "c", MaxQueued: 3}})
	c.SetWorkspaceWeights(map[string]float64{"hot": 1, "calm": 1, "other": 1})
	return c, func(workspace string, priority int) (*Ticket, *refusal.Refusal) {
		return c.Submit(epoch, Request{Customer: "c", Workspace: workspace, Service: "s", Unit: "m", Pool: "m", Priority: priority, Arrived: epoch, Deadline: epoch.Add(time.Minute)})
	}
}

// Guards against a burst that fills a queue so that others are refused, before and after reports show it,
// and against a displaced request that is never answered.
func TestFullQueueRefusesWorkspaceBeyondItsShareFirst(t *testing.T) {
	for _, reported := range []bool{false, true} {
		c, submit := newWorkspaceController()
		for range 3 {
			submit("hot", 1)
		}
		if reported {
			c.SetWorkspaceUsage(epoch, []fairshare.Usage{{Key: fairshare.Key{Service: "s", Workspace: "hot"}, Used: 90_000}, {Key: fairshare.Key{Service: "s", Workspace: "calm"}, Used: 10_000}})
		}
		_, refused := submit("calm", 0)
		testkit.That(t, (refused == nil) == reported, "reported %v: a less urgent request: %v", reported, refused)
		_, refused = submit("calm", 1)
		testkit.That(t, refused == nil, "reported %v: %v", reported, refused)
		_, refused = submit("hot", 1)
		testkit.That(t, refused != nil && refused.Code == refusal.CodeQueueFull, "reported %v: the burst: %v", reported, refused)
		at, due := c.NextExpiry()
		testkit.That(t, due && at.Equal(epoch), "reported %v: Expire is due at %v, %v", reported, at, due)
		want := c.TakeWorkspaceStats().Displaced
		expired := c.Expire(epoch)
		testkit.That(t, want > 0 && len(expired) == want, "reported %v: %d of %d displaced requests answered", reported, len(expired), want)
		for _, e := range expired {
			testkit.That(t, e.Ticket.Workspace == "hot" && e.Ticket.HasEnded() && e.Refusal.Ran == refusal.RanNo && e.Refusal.RetryAfter > 0, "got %+v", e.Refusal)
		}
	}
}

// Guards against a workspace beyond its share that goes before others, against less urgent requests that go
// before another workspace's urgent ones, and against reserved slots for a workspace beyond its share.
func TestWorkspacesGoByShareThenPriority(t *testing.T) {
	c, submit := newWorkspaceController()
	c.SetWorkspaceUsage(epoch, []fairshare.Usage{{Key: fairshare.Key{Service: "s", Workspace: "hot"}, Used: 90_000}, {Key: fairshare.Key{Service: "s", Workspace: "calm"}, Used: 10_000}})
	submit("hot", 2)
	submit("calm", 0)
	submit("other", 1)
	order := ""
	for t := c.Next(epoch, "m", nil); t != nil; t = c.Next(epoch, "m", nil) {
		order += fmt.Sprint(t.Workspace, t.OverFairShare, " ")
	}
	testkit.Equal(t, "order", order, "otherfalse calmfalse hottrue ")
}

// Guards against a flow that remains after its workspace's last key was revoked while its requests waited, and
// against flows without bound.
func TestFlowsOfWorkspacesAreBounded(t *testing.T) {
	c, submit := newWorkspaceController()
	ticket, _ := submit("calm", 0)
	c.SetWorkspaceWeights(map[string]float64{"hot": 1})
	c.ReportWorkspaces(epoch, 1)
	testkit.That(t, c.Next(epoch, "m", nil) == ticket, "the waiting request is lost")
	c.Finish(epoch, ticket, Outcome{OK: true})
	testkit.That(t, len(c.ReportWorkspaces(epoch.Add(time.Minute), 1)) == 0 && len(c.pools) == 0, "state remains: %v", c.pools)
	for i := range 3 * maxPoolFlows {
		ticket, _ := submit(fmt.Sprint("w", i), 0)
		c.Cancel(epoch, ticket)
	}
	testkit.That(t, len(c.pools["m"].flows) <= maxPoolFlows+1, "%d flows", len(c.pools["m"].flows))
	c.ReportWorkspaces(epoch.Add(2*flowIdleTTL), 1)
	testkit.That(t, len(c.pools) == 0, "idle flows remain")
}
