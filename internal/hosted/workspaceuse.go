package hosted

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// labelledWorkspaces bounds the workspaces that have metrics of their own; further ones
// share one label.
const labelledWorkspaces = 100

// otherWorkspaces labels the workspaces beyond labelledWorkspaces.
const otherWorkspaces = "other"

// workspaceUsage counts what workspaces used of their quotas on this VM, in the quotas'
// units: what was charged, what of it came back from requests that ran nowhere, and what
// was over the quota. It is safe for concurrent use.
type workspaceUsage struct {
	mu     sync.Mutex
	byName map[string]*usageCounters
}

type usageCounters struct{ admitted, returned, refused *metrics.FloatCounter }

// otherUse is counted from the start, so that a quiet VM shows it as 0.
var otherUse = newUsageCounters(otherWorkspaces)

func newUsageCounters(workspace string) *usageCounters {
	counter := func(outcome string) *metrics.FloatCounter {
		return metrics.GetOrCreateFloatCounter(`bergamotreel_workspace_quota_units_total{workspace="` + workspace + `",outcome="` + outcome + `"}`)
	}
	return &usageCounters{counter("admitted"), counter("returned"), counter("refused")}
}

func newWorkspaceUsage() *workspaceUsage {
	return &workspaceUsage{byName: make(map[string]*usageCounters)}
}

func (u *workspaceUsage) of(workspace string) *usageCounters {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c := u.byName[workspace]; c != nil {
		return c
	}
	label := workspace
	if len(u.byName) >= labelledWorkspaces {
		label = otherWorkspaces
	}
	if label == otherWorkspaces {
		return otherUse
	}
	c := newUsageCounters(label)
	u.byName[label] = c
	return c
}

func (u *workspaceUsage) admitted(use creditCharge) { u.of(use.workspace).admitted.Add(use.cost) }
func (u *workspaceUsage) returned(use creditCharge) { u.of(use.workspace).returned.Add(use.cost) }
func (u *workspaceUsage) refused(use creditCharge)  { u.of(use.workspace).refused.Add(use.cost) }
