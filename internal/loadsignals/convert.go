package loadsignals

import (
	"math"
	"time"

	"bergamotreel/admission/fairshare"
	"bergamotreel/admission/fleetload"
	"bergamotreel/entryvm"
	"bergamotreel/routing/backendqueue"
	"bergamotreel/routing/pace"
)

// EncodePaces returns the message for paces of engines.
func EncodePaces(counts []pace.Counts) []entryvm.EnginePace {
	out := make([]entryvm.EnginePace, 0, len(counts))
	for _, c := range counts {
		out = append(out, entryvm.EnginePace(c))
	}
	return out
}

// DecodePaces reverts EncodePaces.
func DecodePaces(paces []entryvm.EnginePace) []pace.Counts {
	out := make([]pace.Counts, 0, len(paces))
	for _, p := range paces {
		out = append(out, pace.Counts(p))
	}
	return out
}

// EncodeWorkspaces returns the message for the usage of workspaces, which is sorted by service.
func EncodeWorkspaces(usage []fairshare.Usage) (out []entryvm.ServiceUsage) {
	for _, u := range usage {
		out = appendWorkspace(out, u.Service, entryvm.WorkspaceUsage{Workspace: u.Workspace, Used: u.Used, Waiting: u.Waiting})
	}
	return out
}

// appendWorkspace appends the usage of a workspace to a list that is sorted by service.
func appendWorkspace(list []entryvm.ServiceUsage, service string, w entryvm.WorkspaceUsage) []entryvm.ServiceUsage {
	if len(list) == 0 || list[len(list)-1].Service != service {
		list = append(list, entryvm.ServiceUsage{Service: service})
	}
	last := &list[len(list)-1]
	last.Workspaces = append(last.Workspaces, w)
	return list
}

// DecodeWorkspaces reverts EncodeWorkspaces.
func DecodeWorkspaces(services []entryvm.ServiceUsage) (out []fairshare.Usage) {
	for _, s := range services {
		for _, w := range s.Workspaces {
			out = append(out, fairshare.Usage{Key: fairshare.Key{Service: s.Service, Workspace: w.Workspace}, Used: w.Used, Waiting: w.Waiting})
		}
	}
	return out
}

// rateUnit is the time, in seconds, for which messages count the requests of units.
const rateUnit = 10

func encodeRate(perSecond float64) uint32 { return uint32(math.Round(perSecond * rateUnit)) }

// EncodeUnits returns the message for the loads of units.
func EncodeUnits(loads []fleetload.Load) []entryvm.UnitLoad {
	out := make([]entryvm.UnitLoad, 0, len(loads))
	for _, l := range loads {
		out = append(out, entryvm.UnitLoad{
			Unit: l.Unit, Priority: l.Priority, Target: l.Target.Milliseconds(), Waiting: l.Waiting,
			Arrived: encodeRate(l.Arrived), Returned: encodeRate(l.Returned), Usual: encodeRate(l.Usual), Dispatched: encodeRate(l.Dispatched),
		})
	}
	return out
}

// DecodeUnits reverts EncodeUnits.
func DecodeUnits(units []entryvm.UnitLoad) []fleetload.Load {
	out := make([]fleetload.Load, 0, len(units))
	for _, u := range units {
		out = append(out, fleetload.Load{
			Kind:    fleetload.Kind{Unit: u.Unit, Priority: u.Priority, Target: time.Duration(u.Target) * time.Millisecond},
			Waiting: u.Waiting, Arrived: float64(u.Arrived) / rateUnit, Returned: float64(u.Returned) / rateUnit,
			Usual: float64(u.Usual) / rateUnit, Dispatched: float64(u.Dispatched) / rateUnit,
		})
	}
	return out
}

// EncodeQueues returns the message for the loads of backend servers' queues.
func EncodeQueues(loads []backendqueue.Load) []entryvm.QueueLoad {
	out := make([]entryvm.QueueLoad, 0, len(loads))
	for _, l := range loads {
		out = append(out, entryvm.QueueLoad{
			Service: l.Service, Backend: l.Backend, Arrived: float32(l.Arrived), Sent: float32(l.Sent), Rejected: float32(l.Rejected),
			Work: float32(l.Work), Length: float32(l.Length), VMs: l.VMs,
		})
	}
	return out
}

// DecodeQueues reverts EncodeQueues.
func DecodeQueues(queues []entryvm.QueueLoad) []backendqueue.Load {
	out := make([]backendqueue.Load, 0, len(queues))
	for _, l := range queues {
		out = append(out, backendqueue.Load{
			Service: l.Service, Backend: l.Backend, Arrived: float64(l.Arrived), Sent: float64(l.Sent), Rejected: float64(l.Rejected),
			Work: float64(l.Work), Length: float64(l.Length), VMs: l.VMs,
		})
	}
	return out
}
