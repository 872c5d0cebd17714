package hosted

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/admission"
	"bergamotreel/admission/fleetload"
	"bergamotreel/entryvm"
	"bergamotreel/internal/loadsignals"
	"bergamotreel/routing"
)

var (
	fleetRefusedTotal     = metrics.NewCounter(`bergamotreel_fleet_admission_total{outcome="refused"}`)
	fleetReturnedTotal    = metrics.NewCounter(`bergamotreel_fleet_admission_total{outcome="returned"}`)
	fleetHeldTotal        = metrics.NewCounter(`bergamotreel_fleet_admission_total{outcome="held"}`)
	fleetScheduledTotal   = metrics.NewCounter(`bergamotreel_fleet_admission_total{outcome="scheduled"}`)
	fleetUnscheduledTotal = metrics.NewCounter(`bergamotreel_fleet_admission_total{outcome="unscheduled"}`)
	fleetOverloadedUnits  = metrics.NewGauge(`bergamotreel_fleet_overloaded_units`, nil)
)

// fleetAdmission connects the estimator of the fleet's load to the messages. The estimator and the counts are
// used under the lock of the server's state only, as several exchanges may measure and apply at the same time.
type fleetAdmission struct {
	node      *Node
	estimator *fleetload.Estimator
	// counted is what the metrics contain.
	counted fleetload.Activity
}

// newFleetAdmission returns nil if the part is off.
func newFleetAdmission(n *Node) *fleetAdmission {
	if !n.config.Load.FleetAdmission {
		return nil
	}
	return &fleetAdmission{node: n, estimator: fleetload.NewEstimator(n.config.Rand.Float64)}
}

// admissionConfig returns the configuration of admission.
func (f *fleetAdmission) admissionConfig(config admission.Config) admission.Config {
	if f != nil {
		config.Fleet = f.estimator
	}
	return config
}

// measure returns this VM's load.
func (f *fleetAdmission) measure(now time.Time) []entryvm.UnitLoad {
	if f == nil {
		return nil
	}
	var loads []fleetload.Load
	f.node.serving.WithLockedState(func(*admission.Controller, *routing.Router) { loads = f.estimator.Report(now) })
	return loadsignals.EncodeUnits(loads)
}

// apply uses the loads of all VMs.
func (f *fleetAdmission) apply(now time.Time, units []entryvm.UnitLoad) {
	if f == nil {
		return
	}
	loads := loadsignals.DecodeUnits(units)
	var changes []fleetload.Change
	var overloaded int
	f.node.serving.WithLockedState(func(*admission.Controller, *routing.Router) {
		f.estimator.SetFleet(now, loads)
		changes, overloaded = f.estimator.Changes(now)
		f.count(f.estimator.Activity())
	})
	for _, c := range changes {
		f.node.config.Logger.Info("fleet's load of a unit", zap.String("unit", c.Unit), zap.Bool("overloaded", c.Overloaded),
			zap.Int("waiting", c.Waiting), zap.Float64("dispatched_per_second", c.Dispatched))
	}
	fleetOverloadedUnits.Set(float64(overloaded))
}

// count adds the decisions since the last call to the metrics. Call with the server's lock held.
func (f *fleetAdmission) count(activity fleetload.Activity) {
	fleetRefusedTotal.AddInt64(int64(activity.Refused - f.counted.Refused))
	fleetReturnedTotal.AddInt64(int64(activity.Returned - f.counted.Returned))
	fleetHeldTotal.AddInt64(int64(activity.Held - f.counted.Held))
	fleetScheduledTotal.AddInt64(int64(activity.Scheduled - f.counted.Scheduled))
	fleetUnscheduledTotal.AddInt64(int64(activity.Unscheduled - f.counted.Unscheduled))
	f.counted = activity
}
