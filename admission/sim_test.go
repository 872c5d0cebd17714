package admission

import (
	"math"
	"math/rand"
	"time"

	"bergamotreel/contract"
	"bergamotreel/routing"
)

const (
	simStep     = 10 * time.Millisecond
	digestEvery = 250 * time.Millisecond
	digestLag   = 250 * time.Millisecond
	// Requests of the queue model: lognormal times of service.
	simPrefill = 300 * time.Millisecond
	simMedian  = 5 * time.Second
	simSigma   = 0.6
	simMaxWait = 30 * time.Second
)

// sim is entry VMs that exchange usage late, before engines with slots, in
// virtual time. Without slots, engines take everything at once. With naive, all
// requests wait in one queue, first come, first served.
type sim struct {
	vms        []*Controller
	slots      int
	naive      bool
	cutOff     bool
	start, now time.Time
	rng        *rand.Rand
	digests    []sentDigest
	busy       int
	ends       map[time.Time][]running
	queue      []Request
	// admitted is when requests went on, since the start; waits and totals are
	// times to first token and to the end by customer, simMaxWait if refused.
	admitted      []time.Duration
	waits, totals map[string][]time.Duration
}

type sentDigest struct {
	at    time.Time
	usage [][]Usage // by VM
}

type running struct {
	vm      int
	ticket  *Ticket
	service time.Duration
}

// source is a customer's requests a second at one VM.
type source struct {
	vm       int
	customer string
	rate     float64
}

func newSim(vms, slots int, seed int64, contracts ...contract.Contract) *sim {
	s := &sim{
		slots: slots, start: epoch, now: epoch, rng: rand.New(rand.NewSource(seed)), ends: map[time.Time][]running{},
		waits: map[string][]time.Duration{}, totals: map[string][]time.Duration{},
	}
	set := map[string]*contract.Contract{}
	for _, k := range contracts {
		k.Models = []contract.Model{{Name: "m"}}
		set[k.Customer] = &k
	}
	for range vms {
		c := New(Config{})
		c.SetContracts(set)
		c.SetVMs(vms, vms-1)
		s.vms = append(s.vms, c)
	}
	return s
}

func (s *sim) run(lasts time.Duration, sources ...source) {
	for until := s.now.Add(lasts); s.now.Before(until); {
		s.now = s.now.Add(simStep)
		s.finish()
		if s.now.Sub(s.start)%digestEvery == 0 {
			s.exchange()
		}
		for _, from := range sources {
			if s.rng.Float64() < from.rate*simStep.Seconds() {
				s.arrive(from)
			}
		}
		s.dispatch()
	}
}

func (s *sim) arrive(from source) {
	r := Request{Customer: from.customer, Unit: "m", Pool: "m", Arrived: s.now, Deadline: s.now.Add(simMaxWait)}
	if s.naive {
		s.queue = append(s.queue, r)
		return
	}
	if _, refused := s.vms[from.vm].Submit(s.now, r); refused != nil {
		s.count(r, simMaxWait, simMaxWait)
	}
}

func (s *sim) dispatch() {
	for vm, c := range s.vms {
		for _, e := range c.Expire(s.now) {
			s.count(e.Ticket.Request, simMaxWait, simMaxWait)
		}
		for t := c.Next(s.now, "m", s.fits); t != nil; t = c.Next(s.now, "m", s.fits) {
			s.serve(running{vm: vm, ticket: t})
		}
	}
	for len(s.queue) > 0 && s.busy < s.slots {
		r := s.queue[0]
		s.queue = s.queue[1:]
		if s.now.Before(r.Deadline) {
			s.serve(running{vm: -1, ticket: &Ticket{Request: r}})
		} else {
			s.count(r, simMaxWait, simMaxWait)
		}
	}
}

func (s *sim) fits(t *Ticket) bool {
	free := s.slots - s.busy
	return s.slots == 0 || free > routing.PoolReserve(s.slots) || (free > 0 && !t.OverFairShare)
}

func (s *sim) serve(r running) {
	s.admitted = append(s.admitted, s.now.Sub(s.start))
	if s.slots == 0 {
		s.vms[r.vm].Finish(s.now, r.ticket, Outcome{OK: true})
		return
	}
	r.service = time.Duration(float64(simMedian) * math.Exp(s.rng.NormFloat64()*simSigma)).Truncate(simStep)
	waited := s.now.Sub(r.ticket.Arrived)
	s.count(r.ticket.Request, waited+simPrefill, waited+r.service)
	s.busy++
	s.ends[s.now.Add(r.service)] = append(s.ends[s.now.Add(r.service)], r)
}

func (s *sim) finish() {
	for _, r := range s.ends[s.now] {
		s.busy--
		if r.vm >= 0 {
			s.vms[r.vm].Finish(s.now, r.ticket, Outcome{OK: true, TimeToFirstToken: simPrefill, ServiceTime: r.service})
		}
	}
	delete(s.ends, s.now)
}

func (s *sim) count(r Request, first, total time.Duration) {
	s.waits[r.Customer] = append(s.waits[r.Customer], first)
	s.totals[r.Customer] = append(s.totals[r.Customer], total)
}

func (s *sim) exchange() {
	d := sentDigest{at: s.now}
	for _, c := range s.vms {
		d.usage = append(d.usage, c.ReportUsage(s.now))
	}
	s.digests = append(s.digests, d)
	if s.cutOff || s.now.Sub(s.digests[0].at) < digestLag {
		return
	}
	known := s.digests[0]
	s.digests = s.digests[1:]
	for i, c := range s.vms {
		sum := map[string]PeerUsage{}
		for j, usage := range known.usage {
			for _, u := range usage {
				if j != i {
					p := sum[u.Customer]
					sum[u.Customer] = PeerUsage{AdmittedRate: p.AdmittedRate + u.AdmittedRate, DemandRate: p.DemandRate + u.DemandRate}
				}
			}
		}
		c.SetPeerUsage(s.now, sum)
	}
}
