package hosted

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/admission"
	"bergamotreel/admission/fairshare"
	"bergamotreel/entryvm"
	"bergamotreel/internal/loadsignals"
	"bergamotreel/routing"
)

const (
	// maxReportedWorkspaces limits the workspaces in one VM's signals, to about 0.5 KB.
	maxReportedWorkspaces = 32
	// maxLoggedShareChanges limits the log lines of one sum over all VMs.
	maxLoggedShareChanges = 10
)

var (
	workspacesOver        = metrics.NewGauge("bergamotreel_workspaces_over_share", nil)
	workspaceDispatches   = metrics.NewCounter("bergamotreel_workspace_over_share_dispatches_total")
	workspaceRefusals     = metrics.NewCounter("bergamotreel_workspace_over_share_refusals_total")
	workspaceDisplacement = metrics.NewCounter("bergamotreel_workspace_displaced_total")
)

// measureWorkspaces returns what workspaces use through this VM, nothing unless workspaces share
// fairly.
func (n *Node) measureWorkspaces(now time.Time) []entryvm.ServiceUsage {
	if !n.config.Load.FairWorkspaces {
		return nil
	}
	var usage []fairshare.Usage
	var stats admission.WorkspaceStats
	n.serving.WithLockedState(func(a *admission.Controller, _ *routing.Router) {
		usage, stats = a.ReportWorkspaces(now, maxReportedWorkspaces), a.TakeWorkspaceStats()
	})
	workspaceDispatches.Add(stats.DispatchedOverShare)
	workspaceRefusals.Add(stats.RefusedOverShare)
	workspaceDisplacement.Add(stats.Displaced)
	return loadsignals.EncodeWorkspaces(usage)
}

// applyWorkspaces uses what workspaces use over all VMs.
func (n *Node) applyWorkspaces(now time.Time, fleet []entryvm.ServiceUsage) {
	if !n.config.Load.FairWorkspaces {
		return
	}
	usage := loadsignals.DecodeWorkspaces(fleet)
	var changes []fairshare.Change
	over := 0
	n.serving.WithLockedState(func(a *admission.Controller, _ *routing.Router) {
		changes = a.SetWorkspaceUsage(now, usage)
		over = a.CountWorkspacesOver(now)
	})
	workspacesOver.Set(float64(over))
	for _, c := range changes[:min(len(changes), maxLoggedShareChanges)] {
		n.config.Logger.Info("workspace's fair share", zap.String("service", c.Service), zap.String("workspace", c.Workspace),
			zap.Bool("exceeded", c.Over), zap.Float64("slots_used", c.Used), zap.Float64("slots_share", c.Share))
	}
	if len(changes) > 0 {
		n.serving.Wake()
	}
}
