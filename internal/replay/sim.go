package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bergamotreel/contract"
	"bergamotreel/placement"
)

// epoch is midnight of the first day in virtual time.
var epoch = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

// Options are one run.
type Options struct {
	Deployment Deployment
	Seed       uint64
	Policy     Policy
	Fault      Fault
	// Days before and including the measured one, which is the last.
	Days int
	// Busy makes all offices busy; Burst lets one of them burst, Redrawn draws
	// that one's usual requests afresh.
	Busy, Burst, Resampled bool
}

// request is one request under way.
type request struct {
	arrival
	id       int
	deadline time.Duration
	ticket   ticket
	replica  *replica
	// attempt changes when the request is put back, so that the end of a lost
	// attempt is ignored.
	attempt int
	// cold is whether it found no ready replica.
	cold       bool
	met        string        // see whatItMeets
	firstToken time.Duration // 0 until known
	ended      bool
}

// router is one entry VM.
type router struct {
	id, domain int
	queue      queue
	gone       bool
}

// sim is one run.
type sim struct {
	events
	opt      Options
	d        Deployment
	units    []*unit
	byName   map[string]*unit
	trace    []arrival
	engines  []*engine
	byEngine map[string]*engine
	routers  []*router
	// replicas by unit id; waiting requests by pool.
	replicas [][]*replica
	waiting  map[string]int
	pools    []string
	store    store
	decider  decider
	rights   uint64
	planning bool
	measured time.Duration // start of the measured day
	end      time.Duration
	m        *metrics
	fault    faultState
	turn     int
	nextID   int
	running  map[int]*request // by id
	// goneFor is why each unit lost its newest replica to go, by unit id.
	goneFor []string
	// live are the routers on each side; membership counts their changes.
	live       [2][]*router
	membership int
}

// decider is a policy at work.
type decider interface {
	used(u *unit, now time.Time)
	loaded(u *unit, tier placement.Tier, took time.Duration)
	// plan returns decisions for what the given side of the deployment sees.
	plan(s *sim, side int) []proposal
}

// proposal is a decision with the router that proposes it.
type proposal struct {
	placement.Decision
	proposer *router
	// owners are the routers that may use the replica, one bit each.
	owners uint32
}

// idleTick is how often plans are made when nothing waits.
const idleTick = 10 * time.Second

// Run makes one run and returns what was measured on its last day.
func Run(opt Options) *Result {
	s := newSim(opt)
	s.runAll()
	return s.m.result(opt)
}

func (s *sim) runAll() {
	s.schedule()
	for s.step(s.end) {
	}
	s.now = s.end
	s.finishRun()
}

func newSim(opt Options) *sim {
	d := opt.Deployment
	s := &sim{opt: opt, d: d, units: makeUnits(d, opt.Seed), byName: make(map[string]*unit),
		byEngine: make(map[string]*engine), waiting: make(map[string]int), running: make(map[int]*request), m: newMetrics(),
		measured: time.Duration(opt.Days-1) * day, end: time.Duration(opt.Days) * day,
	}
	s.store.slow = 1
	var fair *fairness
	if opt.Busy {
		fair = &fairness{burst: opt.Burst, redrawn: opt.Resampled}
	}
	s.trace = makeTrace(d, s.units, opt.Seed, opt.Days, fair)
	s.replicas = make([][]*replica, len(s.units))
	s.goneFor = make([]string, len(s.units))
	for _, u := range s.units {
		s.byName[u.name] = u
		if u.base == nil {
			s.pools = append(s.pools, u.name)
		}
	}
	s.makeEngines()
	s.makeRouters()
	s.decider = opt.Policy.decider(s)
	return s
}

func (s *sim) makeEngines() {
	for i := range s.d.Engines + s.d.BookingEngines {
		memory := s.d.EngineMemory
		if i >= s.d.Engines {
			memory = s.d.BookingMemory
		}
		s.addEngine(fmt.Sprintf("engine-%02d", i), i%s.d.Domains, memory)
	}
	rng := rand.New(rand.NewPCG(s.opt.Seed, 4))
	for _, u := range s.units {
		if rng.Float64() < InitialRemoteShare {
			continue
		}
		for i := range InitialDiskCopies {
			e := s.engines[rng.IntN(len(s.engines))]
			e.disk.put(u)
			if i < InitialMemoryCopies {
				e.ram.put(u)
			}
		}
	}
}

func (s *sim) addEngine(name string, domain int, memory int64) {
	e := &engine{id: len(s.engines), name: name, domain: domain, memory: memory, slots: EngineSlots,
		ram: newCache(HostCacheBytes), disk: newCache(DiskCacheBytes), dirty: true}
	e.booking = memory == s.d.BookingMemory
	s.engines = append(s.engines, e)
	s.byEngine[name] = e
}

func (s *sim) makeRouters() {
	for i := range s.d.Routers {
		r := &router{id: i, domain: i % s.d.Domains}
		if s.opt.Policy.FIFO {
			r.queue = newFIFOQueue()
		} else {
			r.queue = newFairQueue(s.contracts(0), s.d.Routers)
		}
		s.routers = append(s.routers, r)
	}
}

// contracts are what admission needs of the contracts; officeRate 0 means no
// limit.
func (s *sim) contracts(officeRate float64) map[string]*contract.Contract {
	out := make(map[string]*contract.Contract)
	for _, u := range s.units {
		if out[u.customer] != nil {
			addUnit(out[u.customer], u)
			continue
		}
		c := &contract.Contract{Customer: u.customer, Weight: 1, MaxQueued: ContractMaxQueued}
		addUnit(c, u)
		if u.office >= 0 && officeRate > 0 {
			c.RequestsPerSecond, c.Burst = officeRate, ContractBurst
		}
		if u.office < 0 {
			// The batch and the assistant are the association's own.
			c.MaxQueued = 20 * ContractMaxQueued
		}
		out[u.customer] = c
	}
	return out
}

// addUnit names the unit in the contract: admission judges fair shares pool by
// pool, and finds a customer's pools there.
func addUnit(c *contract.Contract, u *unit) {
	if u.base != nil {
		c.Adapters = append(c.Adapters, contract.Adapter{Name: u.name, Base: u.base.name})
		return
	}
	c.Models = append(c.Models, contract.Model{Name: u.name})
}

// schedule starts the run's own clocks.
func (s *sim) schedule() {
	s.arriveNext(0)
	s.at(0, s.idlePlan)
	s.scheduleFault()
	if s.opt.Busy {
		s.scheduleBusy()
	}
}

func (s *sim) arriveNext(i int) {
	if i >= len(s.trace) {
		return
	}
	s.at(s.trace[i].at, func() {
		s.arrive(s.trace[i])
		s.arriveNext(i + 1)
	})
}

func (s *sim) idlePlan() {
	s.runPlan()
	s.after(idleTick, s.idlePlan)
}

// time is the present as the decision code sees it.
func (s *sim) time() time.Time { return epoch.Add(s.now) }

func (s *sim) measuring() bool { return s.now >= s.measured }

// kick plans soon, as something that a plan may answer has happened.
func (s *sim) kick() {
	if s.planning {
		return
	}
	s.planning = true
	s.after(time.Millisecond, func() {
		s.planning = false
		if s.totalWaiting() == 0 {
			return
		}
		s.runPlan()
		if !s.planning {
			s.planning = true
			s.after(PlanInterval, func() { s.planning = false; s.kick() })
		}
	})
}

func (s *sim) totalWaiting() int {
	n := 0
	for _, waiting := range s.waiting {
		n += waiting
	}
	return n
}

// runPlan lets the policy decide; its proposals land after DecisionTime.
func (s *sim) runPlan() {
	for side := range s.sides() {
		for _, p := range s.decider.plan(s, side) {
			s.after(DecisionTime, func() { s.land(p) })
		}
	}
}

func sortRequests(list []*request) {
	slices.SortFunc(list, func(a, b *request) int { return a.id - b.id })
}

func (s *sim) finishRun() {
	for _, e := range s.engines {
		for _, r := range e.replicas {
			s.accountIdle(r)
		}
	}
	for _, r := range s.routers {
		for _, q := range r.queue.drain(s.time()) {
			if !q.ended && q.replica == nil && q.deadline <= s.now {
				s.m.overdue++
			}
		}
	}
}
