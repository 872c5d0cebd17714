package hosted

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/loadsignals"
	"bergamotreel/internal/serving"
	"bergamotreel/routing/pace"
)

var (
	paceEngines     = metrics.NewGauge("bergamotreel_engine_pace_engines", nil)
	paceSlowEngines = metrics.NewGauge("bergamotreel_engine_pace_slow_engines", nil)
)

// newPaceRecorder creates the table of engines' paces if they are shared. It returns nil otherwise.
func (n *Node) newPaceRecorder() serving.PaceRecorder {
	if !n.config.Load.EnginePace {
		return nil
	}
	n.paces = pace.NewTable()
	return n.paces
}

// estimatePace returns the estimated pace of an engine for a unit's model.
func (n *Node) estimatePace(now time.Time, b *backend, unit serving.ModelUnit) *pace.Distribution {
	if n.paces == nil {
		return nil
	}
	return n.paces.Estimate(now, pace.Key{Engine: b.ID, Started: b.start, Model: unit.Pool()})
}

// reportPaces returns what this VM measured of engines' paces.
func (n *Node) reportPaces(now time.Time) []entryvm.EnginePace {
	if n.paces == nil {
		return nil
	}
	return loadsignals.EncodePaces(n.paces.Report(now))
}

// applyPaces uses the paces that all VMs measured, and logs which engines began or ceased to be slow.
func (n *Node) applyPaces(now time.Time, fleet []entryvm.EnginePace) {
	if n.paces == nil {
		return
	}
	for _, c := range n.paces.SetFleet(now, loadsignals.DecodePaces(fleet)) {
		n.config.Logger.Info("engine pace changed", zap.String("backend", c.Engine), zap.Int64("started", c.Started), zap.String("pool", c.Model),
			zap.Bool("slow", c.Slow), zap.Duration("mean_gap", c.MeanGap), zap.Duration("median_gap", c.Median))
	}
	known, slow := n.paces.CountEngines()
	paceEngines.Set(float64(known))
	paceSlowEngines.Set(float64(slow))
}
