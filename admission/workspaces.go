package admission

import (
	"time"

	"bergamotreel/admission/fairshare"
	"bergamotreel/refusal"
)

const (
	// maxPoolFlows limits a pool's flows. Further workspaces share the flow of the requests without
	// a workspace until idle flows are deleted.
	maxPoolFlows = 1024
	// crowdedFlowTTL is how long idle flows of a pool with over maxPoolFlows/2 flows are kept.
	crowdedFlowTTL = 5 * time.Second
	// displacementFactor is by how many times the waiting requests of a workspace, divided by its
	// weight, must exceed another one's before it gives up a place in a full queue. It is for bursts
	// that no report has shown yet; equal workspaces rarely differ that much in a full queue.
	displacementFactor = 2
)

// workspaceShares shares a customer's pools between its workspaces.
type workspaceShares struct {
	meter  *fairshare.Meter
	shares *fairshare.Shares
	stats  WorkspaceStats
	// displaced are the tickets ended since the last Expire in favor of other workspaces.
	displaced []Expired
}

// WorkspaceStats counts the effects of fair shares between workspaces.
type WorkspaceStats struct {
	// Displaced are waiting requests that were refused so that one of another workspace could wait.
	Displaced int
	// RefusedOverShare are all refused requests of workspaces beyond their share.
	RefusedOverShare int
	// DispatchedOverShare are dispatched requests of workspaces beyond their share.
	DispatchedOverShare int
}

// flowKey identifies a flow of a pool. The workspace is empty unless Config.FairWorkspaces is set.
type flowKey struct{ customer, workspace string }

func shareKey(r *Request) fairshare.Key {
	return fairshare.Key{Service: r.Service, Workspace: r.Workspace}
}

// SetWorkspaceWeights sets the weight of each workspace that requests may belong to. It does nothing
// without Config.FairWorkspaces, like the other methods for workspaces.
func (c *Controller) SetWorkspaceWeights(weights map[string]float64) {
	if c.workspaces != nil {
		c.workspaces.shares.SetWeights(weights)
	}
}

// ReportWorkspaces returns what at most limit workspaces use through this VM, for the other VMs, and
// deletes unused state. Call it several times per second.
func (c *Controller) ReportWorkspaces(now time.Time, limit int) []fairshare.Usage {
	if c.workspaces == nil {
		return nil
	}
	for _, p := range c.pools {
		for key, f := range p.flows {
			isCrowded := len(p.flows) > maxPoolFlows/2 && now.Sub(f.lastUsed) > crowdedFlowTTL
			if f.isIdle() && (isCrowded || !c.workspaces.shares.Knows(key.workspace)) {
				delete(p.flows, key)
			}
		}
	}
	c.prune(now)
	usage := c.workspaces.meter.Report(now, limit)
	c.workspaces.shares.SetOwn(now, usage)
	return usage
}

// SetWorkspaceUsage sets what workspaces use over all VMs, this one included, and returns which of
// them came to be beyond their share, or are no longer.
func (c *Controller) SetWorkspaceUsage(now time.Time, usage []fairshare.Usage) []fairshare.Change {
	if c.workspaces == nil {
		return nil
	}
	return c.workspaces.shares.SetFleet(now, usage)
}

// TakeWorkspaceStats returns the counts since its last call.
func (c *Controller) TakeWorkspaceStats() WorkspaceStats {
	if c.workspaces == nil {
		return WorkspaceStats{}
	}
	stats := c.workspaces.stats
	c.workspaces.stats = WorkspaceStats{}
	return stats
}

// CountWorkspacesOver returns how many workspaces are beyond their share, counted for each service.
func (c *Controller) CountWorkspacesOver(now time.Time) int {
	if c.workspaces == nil {
		return 0
	}
	return c.workspaces.shares.Count(now)
}

// flowKeyOf returns the flow of a request in its pool, and the flow's weight.
func (c *Controller) flowKeyOf(cust *customer, p *pool, r *Request) (flowKey, float64) {
	key := flowKey{customer: r.Customer}
	if c.workspaces == nil {
		return key, cust.weight()
	}
	key.workspace = r.Workspace
	if p != nil && p.flows[key] == nil && len(p.flows) >= maxPoolFlows {
		key.workspace = ""
	}
	return key, cust.weight() * c.workspaces.shares.Weight(key.workspace)
}

// isWorkspaceOver reports whether the request's workspace is beyond its share of the service.
func (c *Controller) isWorkspaceOver(now time.Time, r *Request) bool {
	return c.workspaces != nil && c.workspaces.shares.IsOver(now, shareKey(r))
}

// recordRun and recordWait record that a request begins or ends to run or to wait.
func (c *Controller) recordRun(now time.Time, r *Request, change int) {
	if c.workspaces != nil {
		c.workspaces.meter.Run(now, shareKey(r), change)
	}
}

func (c *Controller) recordWait(now time.Time, r *Request, change int) {
	if c.workspaces != nil {
		c.workspaces.meter.Wait(now, shareKey(r), change)
	}
}

// noteRefusal counts a refusal of a workspace beyond its share and adds the reason to its message.
func (c *Controller) noteRefusal(now time.Time, r *Request, refused *refusal.Refusal) {
	if !c.isWorkspaceOver(now, r) {
		return
	}
	c.workspaces.stats.RefusedOverShare++
	refused.Message += "; " + describeWorkspace(r.Workspace) + " is beyond its fair share of " + r.Service
}

func describeWorkspace(name string) string {
	if name == "" {
		return "the workspace of requests without a key"
	}
	return "workspace " + name
}

// pickFair is pick for flows of workspaces: flows within their share go before those beyond it. Among
// either, requests go by priority, and those of equal priority by the virtual start times of their
// flows. A workspace with less urgent requests thus gets no turn before another one's urgent requests.
func (p *pool) pickFair(now time.Time, isOverFairShare func(*flow) bool, fits func(*Ticket) bool) *Ticket {
	clear(p.fitFailures)
	within, over := p.within[:0], p.over[:0]
	for _, f := range p.backlogged {
		if isOverFairShare(f) {
			over = append(over, f)
		} else {
			within = append(within, f)
		}
	}
	p.within, p.over = within, over
	if t := p.pickByPriority(now, within, false, fits); t != nil {
		return t
	}
	return p.pickByPriority(now, over, true, fits)
}

// pickByPriority dispatches and returns the next ticket of the flows that fits. The flows are sorted
// by compareFlows.
func (p *pool) pickByPriority(now time.Time, flows []*flow, overFairShare bool, fits func(*Ticket) bool) *Ticket {
	// next holds the index of the first ticket of each flow that was not considered yet.
	p.next = append(p.next[:0], make([]int, len(flows))...)
	next := p.next
	for {
		priority, found := 0, false
		for i, f := range flows {
			if next[i] < len(f.waiting) && (!found || f.waiting[next[i]].Priority > priority) {
				priority, found = f.waiting[next[i]].Priority, true
			}
		}
		if !found {
			return nil
		}
		for i, f := range flows {
			for ; next[i] < len(f.waiting) && f.waiting[next[i]].Priority == priority; next[i]++ {
				if t := f.waiting[next[i]]; p.tryDispatch(now, f, t, overFairShare, fits) {
					return t
				}
			}
		}
	}
}

// findDisplaceable returns the waiting ticket to refuse so that r can wait in a full queue, and nil if
// r must be refused itself. It is the last ticket of a workspace beyond its share or, if there is none
// and r is as urgent, of the workspace with by far the most waiting requests by weight.
func (c *Controller) findDisplaceable(now time.Time, r *Request) *Ticket {
	if c.workspaces == nil || c.isWorkspaceOver(now, r) {
		return nil
	}
	own := shareKey(r)
	var victim *Ticket
	victimOver, victimLoad := false, displacementFactor*c.waitingByWeight(own, 1)
	for _, p := range c.pools {
		for _, f := range p.backlogged {
			if f.key.customer != r.Customer || f.key.workspace == r.Workspace {
				continue
			}
			t := f.lastUnsent()
			if t == nil {
				continue
			}
			over, load := c.isWorkspaceOver(now, &t.Request), c.waitingByWeight(shareKey(&t.Request), 0)
			if !over && (victimOver || t.Priority > r.Priority) {
				continue
			}
			if over && !victimOver || load > victimLoad {
				victim, victimOver, victimLoad = t, over, load
			}
		}
	}
	return victim
}

// waitingByWeight returns a workspace's waiting requests and the given number of further ones,
// divided by its weight.
func (c *Controller) waitingByWeight(key fairshare.Key, further int) float64 {
	return float64(c.workspaces.meter.Waiting(key)+further) / c.workspaces.shares.Weight(key.Workspace)
}

// lastUnsent returns the flow's last waiting ticket that has not been dispatched before, or nil.
func (f *flow) lastUnsent() *Ticket {
	for i := len(f.waiting) - 1; i >= 0; i-- {
		if f.waiting[i].Attempts == 0 {
			return f.waiting[i]
		}
	}
	return nil
}

// displace ends a waiting ticket in favor of a request of another workspace. The next Expire returns
// it.
func (c *Controller) displace(now time.Time, t *Ticket) {
	refused := refusal.New(refusal.CodeQueueFull, c.queueDrainTime(now, c.customers[t.Customer]),
		"the queue is full, and a request of another workspace replaced this one of %s", describeWorkspace(t.Workspace))
	c.endTicket(now, t, 0)
	c.workspaces.stats.Displaced++
	c.workspaces.displaced = append(c.workspaces.displaced, Expired{Ticket: t, Refusal: refused})
}

// takeDisplaced returns the tickets displaced since its last call.
func (c *Controller) takeDisplaced() []Expired {
	if c.workspaces == nil {
		return nil
	}
	displaced := c.workspaces.displaced
	c.workspaces.displaced = nil
	return displaced
}
