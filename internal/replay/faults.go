package replay

import (
	"fmt"
	"time"

	"bergamotreel/admission"
	"bergamotreel/placement"
)

// Fault names the failure on the measured day.
type Fault string

// The faults of the comparison.
const (
	FaultNone      Fault = "none"
	FaultSlowStore Fault = "slow store"
	FaultLogOutage Fault = "log outage"
	FaultDomainCut Fault = "domain cut"
	FaultReclaim   Fault = "tenth reclaimed"
)

// Faults lists all faults, FaultNone first.
var Faults = []Fault{FaultNone, FaultSlowStore, FaultLogOutage, FaultDomainCut, FaultReclaim}

// faultState holds the faults that are active at the current time.
type faultState struct {
	logDown bool
	// cutDomain is the partitioned failure domain, -1 for none.
	cutDomain int
}

func (s *sim) scheduleFault() {
	s.fault.cutDomain = -1
	openingTime := s.measuredStart + s.deployment.OpeningTime
	switch s.opt.Fault {
	case FaultSlowStore:
		s.at(s.measuredStart, func() {
			s.store.advanceLoads(s.now)
			s.store.slowdown = StoreSlowFactor
			s.scheduleStoreCompletion()
		})
	case FaultLogOutage:
		s.at(openingTime-LogOutageLead, func() { s.fault.logDown = true })
		s.at(openingTime-LogOutageLead+LogOutageDuration, func() { s.fault.logDown = false; s.requestPlan() })
	case FaultDomainCut:
		s.at(openingTime+DomainCutAfterOpening, func() { s.setCutDomain(0) })
		s.at(openingTime+DomainCutAfterOpening+DomainCutDuration, func() { s.setCutDomain(-1) })
	case FaultReclaim:
		s.at(openingTime+ReclaimAfterOpening, s.reclaimVMs)
	}
}

func (s *sim) setCutDomain(domain int) {
	s.fault.cutDomain = domain
	s.recordMembershipChange()
	for _, e := range s.engines {
		e.dirty = true
	}
	for _, pool := range s.pools {
		s.dispatch(pool)
	}
	s.requestPlan()
}

// sideCount returns the number of partitions (sides) of the deployment: 2 while a
// failure domain is cut off, else 1. Only side 0 reaches the log.
func (s *sim) sideCount() int {
	if s.fault.cutDomain >= 0 {
		return 2
	}
	return 1
}

// sideOf returns the side that a failure domain is on.
func (s *sim) sideOf(domain int) int {
	if s.fault.cutDomain >= 0 && domain == s.fault.cutDomain {
		return 1
	}
	return 0
}

func (s *sim) canReach(a, b int) bool { return s.sideOf(a) == s.sideOf(b) }

func (s *sim) isLogReachable(domain int) bool { return !s.fault.logDown && s.sideOf(domain) == 0 }

// takesEffect reports whether a proposal can be applied now. Without the log only
// a load by a standby right can, because the keeper starts it on its own.
func (s *sim) takesEffect(p proposal, e *engine) bool {
	if !s.canReach(p.proposer.domain, e.domain) || p.proposer.reclaimed {
		return false
	}
	return s.isLogReachable(e.domain) || p.Kind == placement.Want
}

// planningRouter returns the router that plans for a unit on a side.
func (s *sim) planningRouter(u *unit, side int) *router {
	if s.liveRouters[side] == nil {
		for _, vm := range s.routers {
			if !vm.reclaimed && s.sideOf(vm.domain) == side {
				s.liveRouters[side] = append(s.liveRouters[side], vm)
			}
		}
	}
	return s.liveRouters[side][u.id%len(s.liveRouters[side])]
}

// recordMembershipChange invalidates what is derived from the set of reachable
// routers, after routers joined, left or were cut off.
func (s *sim) recordMembershipChange() {
	s.membershipVersion++
	s.liveRouters = [2][]*router{}
}

// reclaimVMs removes ReclaimShare of the engines and one router without notice,
// and schedules their replacement.
func (s *sim) reclaimVMs() {
	engines := int(float64(s.deployment.Engines)*ReclaimShare + 0.5)
	for i := range engines {
		s.loseEngine(s.engines[i])
	}
	s.loseRouter(s.routers[0])
	s.after(ReplacementDelay, func() {
		for i := range engines {
			s.addEngine(fmt.Sprintf("engine-new-%d", i), s.engines[i].domain, s.engines[i].memory)
		}
		s.routers[0].reclaimed = false
		s.recordMembershipChange()
		s.requestPlan()
	})
}

// loseEngine ends all loads and requests on the engine. Its rights still count
// for LostEngineTTL.
func (s *sim) loseEngine(e *engine) {
	e.reclaimed = true
	e.dirty = true
	lost := append([]*replica(nil), e.replicas...)
	for _, r := range lost {
		s.accountIdleTime(r)
		r.idleFrom = s.end
		s.cancelLoad(r)
		r.ready = false
	}
	for _, r := range s.inFlightRequests(func(r *request) bool { return r.replica.engine == e }) {
		s.requeueLost(r)
	}
	s.after(LostEngineTTL, func() {
		for _, r := range lost {
			if !r.ended {
				s.removeRight(r)
			}
		}
		s.requestPlan()
	})
}

// loseRouter removes the router; its callers submit their requests again at the
// next one.
func (s *sim) loseRouter(vm *router) {
	for _, r := range s.inFlightRequests(func(r *request) bool { return r.router == vm.id }) {
		s.releaseSlot(r)
		r.attempt++
		vm.queue.finish(s.currentTime(), r)
		s.resubmit(r)
	}
	waiting := vm.queue.drain(s.currentTime())
	vm.reclaimed = true
	s.recordMembershipChange()
	for _, r := range waiting {
		s.waiting[r.unit.pool()]--
		s.resubmit(r)
	}
}

// resubmit enqueues a request of a lost router again. One whose first token had
// come gets its maximum wait anew.
func (s *sim) resubmit(r *request) {
	if r.firstToken > 0 {
		r.deadline = max(r.deadline, s.now+r.unit.maxWait)
	}
	s.after(time.Millisecond, func() { s.enqueue(r) })
}

func (s *sim) inFlightRequests(match func(*request) bool) []*request {
	var out []*request
	for _, r := range s.running {
		if match(r) {
			out = append(out, r)
		}
	}
	sortRequests(out)
	return out
}

// scheduleBusyWindow enables the offices' rate limits shortly before the busy
// window, and the exchange of usage reports by which the routers share the limits.
func (s *sim) scheduleBusyWindow() {
	const lead = time.Minute
	s.at(s.measuredStart+BusyStart-lead, func() {
		for _, vm := range s.routers {
			if q, ok := vm.queue.(*fairQueue); ok {
				q.ctrl.SetContracts(s.contracts(ContractRateFactor * s.deployment.BusyRate))
			}
		}
		s.exchangeUsage()
	})
}

const (
	usageReportInterval = 250 * time.Millisecond
	releaseInterval     = 50 * time.Millisecond
)

// exchangeUsage sends each router the rates that the others admitted, and repeats
// until the end of the busy window.
func (s *sim) exchangeUsage() {
	if s.now > s.measuredStart+BusyEnd {
		return
	}
	usage := make([][]admission.Usage, len(s.routers))
	for i, vm := range s.routers {
		if q, ok := vm.queue.(*fairQueue); ok {
			usage[i] = q.ctrl.ReportUsage(s.currentTime())
		}
	}
	for i, vm := range s.routers {
		q, ok := vm.queue.(*fairQueue)
		if !ok {
			return
		}
		peers := make(map[string]admission.PeerUsage)
		for j, other := range usage {
			if i == j {
				continue
			}
			for _, u := range other {
				p := peers[u.Customer]
				p.AdmittedRate += u.AdmittedRate
				p.DemandRate += u.DemandRate
				p.VMs++
				peers[u.Customer] = p
			}
		}
		q.ctrl.SetPeerUsage(s.currentTime(), peers)
	}
	for step := time.Duration(0); step < usageReportInterval; step += releaseInterval {
		s.after(step, s.releaseRateLimited)
	}
	s.after(usageReportInterval, s.exchangeUsage)
}

// releaseRateLimited dispatches the waiting requests that their customer's rate
// limit now allows.
func (s *sim) releaseRateLimited() {
	for _, vm := range s.routers {
		s.expire(vm)
	}
	for _, pool := range s.pools {
		s.dispatch(pool)
	}
}
