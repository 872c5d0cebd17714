package hosted

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// maxLabelledWorkspaces is the maximum number of workspaces with metrics of their own; further
// ones share the label otherWorkspaces.
const maxLabelledWorkspaces = 100

// otherWorkspaces is the metrics label of the workspaces beyond maxLabelledWorkspaces.
const otherWorkspaces = "other"

// workspaceUsage counts the quota units that workspaces use on this VM: units charged, units
// returned for requests that ran nowhere, and units refused because they exceed the quota.
// It is safe for concurrent use.
type workspaceUsage struct {
	mu     sync.Mutex
	byName map[string]*usageCounters
}

// usageCounters holds the metrics of one workspace label.
type usageCounters struct{ admitted, returned, refused *metrics.FloatCounter }

// otherUsage is registered at process start, so that an idle VM exports it as 0.
var otherUsage = newUsageCounters(otherWorkspaces)

func newUsageCounters(workspace string) *usageCounters {
	counter := func(outcome string) *metrics.FloatCounter {
		return metrics.GetOrCreateFloatCounter(`bergamotreel_workspace_quota_units_total{workspace="` + workspace + `",outcome="` + outcome + `"}`)
	}
	return &usageCounters{counter("admitted"), counter("returned"), counter("refused")}
}

func newWorkspaceUsage() *workspaceUsage {
	return &workspaceUsage{byName: make(map[string]*usageCounters)}
}

// countersFor returns the counters of a workspace.
func (u *workspaceUsage) countersFor(workspace string) *usageCounters {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c := u.byName[workspace]; c != nil {
		return c
	}
	label := workspace
	if len(u.byName) >= maxLabelledWorkspaces {
		label = otherWorkspaces
	}
	if label == otherWorkspaces {
		return otherUsage
	}
	c := newUsageCounters(label)
	u.byName[label] = c
	return c
}

func (u *workspaceUsage) admitted(use creditCharge) {
	u.countersFor(use.workspace).admitted.Add(use.cost)
}
func (u *workspaceUsage) returned(use creditCharge) {
	u.countersFor(use.workspace).returned.Add(use.cost)
}
func (u *workspaceUsage) refused(use creditCharge) {
	u.countersFor(use.workspace).refused.Add(use.cost)
}
