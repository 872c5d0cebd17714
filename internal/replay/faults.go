package replay

import (
	"fmt"
	"time"

	"bergamotreel/admission"
	"bergamotreel/placement"
)

// Fault is what fails on the measured day.
type Fault string

// The faults of the comparison.
const (
	FaultNone      Fault = "none"
	FaultSlowStore Fault = "slow store"
	FaultLogOutage Fault = "log outage"
	FaultDomainCut Fault = "domain cut"
	FaultReclaim   Fault = "tenth reclaimed"
)

// Faults lists all, the day without one first.
var Faults = []Fault{FaultNone, FaultSlowStore, FaultLogOutage, FaultDomainCut, FaultReclaim}

// faultState is what fails now.
type faultState struct {
	logDown bool
	// cut is the failure domain that is cut off, -1 for none.
	cut int
}

func (s *sim) scheduleFault() {
	s.fault.cut = -1
	opens := s.measured + s.d.Opens
	switch s.opt.Fault {
	case FaultSlowStore:
		s.at(s.measured, func() {
			s.store.advance(s.now)
			s.store.slow = StoreSlowFactor
			s.awaitStore()
		})
	case FaultLogOutage:
		s.at(opens-LogOutageLead, func() { s.fault.logDown = true })
		s.at(opens-LogOutageLead+LogOutageFor, func() { s.fault.logDown = false; s.kick() })
	case FaultDomainCut:
		s.at(opens+DomainCutAfterOpening, func() { s.setCut(0) })
		s.at(opens+DomainCutAfterOpening+DomainCutFor, func() { s.setCut(-1) })
	case FaultReclaim:
		s.at(opens+ReclaimAfterOpening, s.reclaim)
	}
}

func (s *sim) setCut(domain int) {
	s.fault.cut = domain
	s.changeMembership()
	for _, e := range s.engines {
		e.dirty = true
	}
	for _, pool := range s.pools {
		s.dispatch(pool)
	}
	s.kick()
}

// sides is how many parts of the deployment see each other: 2 while a domain
// is cut off. Side 0 has the log.
func (s *sim) sides() int {
	if s.fault.cut >= 0 {
		return 2
	}
	return 1
}

// side is the part a domain is on.
func (s *sim) side(domain int) int {
	if s.fault.cut >= 0 && domain == s.fault.cut {
		return 1
	}
	return 0
}

func (s *sim) reaches(a, b int) bool { return s.side(a) == s.side(b) }

func (s *sim) logReaches(domain int) bool { return !s.fault.logDown && s.side(domain) == 0 }

// lands tells whether a proposal takes effect now. Without the log only a
// keeper's own load by a standby right does.
func (s *sim) lands(p proposal, e *engine) bool {
	if !s.reaches(p.proposer.domain, e.domain) || p.proposer.gone {
		return false
	}
	return s.logReaches(e.domain) || p.Kind == placement.Want
}

// planner is the router that plans for a unit on a side.
func (s *sim) planner(u *unit, side int) *router {
	if s.live[side] == nil {
		for _, r := range s.routers {
			if !r.gone && s.side(r.domain) == side {
				s.live[side] = append(s.live[side], r)
			}
		}
	}
	return s.live[side][u.id%len(s.live[side])]
}

// changeMembership notes that routers came, went or were cut off.
func (s *sim) changeMembership() {
	s.membership++
	s.live = [2][]*router{}
}

// reclaim takes a tenth of the VMs away without notice.
func (s *sim) reclaim() {
	engines := int(float64(s.d.Engines)*ReclaimShare + 0.5)
	for i := range engines {
		s.loseEngine(s.engines[i])
	}
	s.loseRouter(s.routers[0])
	s.after(ReclaimReplace, func() {
		for i := range engines {
			s.addEngine(fmt.Sprintf("engine-new-%d", i), s.engines[i].domain, s.engines[i].memory)
		}
		s.routers[0].gone = false
		s.changeMembership()
		s.kick()
	})
}

// loseEngine ends everything on the engine; its rights count for EngineLostTime.
func (s *sim) loseEngine(e *engine) {
	e.gone = true
	e.dirty = true
	lost := append([]*replica(nil), e.replicas...)
	for _, r := range lost {
		s.accountIdle(r)
		r.idleFrom = s.end
		s.stopLoad(r)
		r.ready = false
	}
	for _, r := range s.inFlight(func(r *request) bool { return r.replica.engine == e }) {
		s.putBack(r)
	}
	s.after(EngineLostTime, func() {
		for _, r := range lost {
			if !r.ended {
				s.dropRight(r)
			}
		}
		s.kick()
	})
}

// loseRouter makes its callers come back at the next router.
func (s *sim) loseRouter(at *router) {
	for _, r := range s.inFlight(func(r *request) bool { return r.router == at.id }) {
		s.vacate(r)
		r.attempt++
		at.queue.finish(s.time(), r)
		s.comeBack(r)
	}
	waiting := at.queue.drain(s.time())
	at.gone = true
	s.changeMembership()
	for _, r := range waiting {
		s.waiting[r.unit.pool()]--
		s.comeBack(r)
	}
}

func (s *sim) comeBack(r *request) {
	if r.firstToken > 0 {
		r.deadline = max(r.deadline, s.now+r.unit.maxWait)
	}
	s.after(time.Millisecond, func() { s.admit(r) })
}

func (s *sim) inFlight(match func(*request) bool) []*request {
	var out []*request
	for _, r := range s.running {
		if match(r) {
			out = append(out, r)
		}
	}
	sortRequests(out)
	return out
}

// scheduleBusy puts the offices' rate limits in force for the busy window, with
// the digests by which routers share them.
func (s *sim) scheduleBusy() {
	const lead = time.Minute
	s.at(s.measured+BusyFrom-lead, func() {
		for _, at := range s.routers {
			if q, ok := at.queue.(*fairQueue); ok {
				q.ctrl.SetContracts(s.contracts(ContractFactor * s.d.BusyRate))
			}
		}
		s.exchangeUsage()
	})
}

const (
	digestInterval  = 250 * time.Millisecond
	releaseInterval = 50 * time.Millisecond
)

// exchangeUsage tells each router what the others admitted.
func (s *sim) exchangeUsage() {
	if s.now > s.measured+BusyTo {
		return
	}
	usage := make([][]admission.Usage, len(s.routers))
	for i, at := range s.routers {
		if q, ok := at.queue.(*fairQueue); ok {
			usage[i] = q.ctrl.ReportUsage(s.time())
		}
	}
	for i, at := range s.routers {
		q, ok := at.queue.(*fairQueue)
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
		q.ctrl.SetPeerUsage(s.time(), peers)
	}
	for step := time.Duration(0); step < digestInterval; step += releaseInterval {
		s.after(step, s.releaseHeld)
	}
	s.after(digestInterval, s.exchangeUsage)
}

// releaseHeld moves requests on that were held for their customer's rate.
func (s *sim) releaseHeld() {
	for _, at := range s.routers {
		s.expire(at)
	}
	for _, pool := range s.pools {
		s.dispatch(pool)
	}
}
