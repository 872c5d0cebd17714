package admission

import (
	"math"
	"math/rand"
	"time"

	"bergamotreel/contract"
	"bergamotreel/routing"
)

const (
	simStep        = 10 * time.Millisecond
	digestInterval = 250 * time.Millisecond
	digestDelay    = 250 * time.Millisecond
	// Service times of the simulated requests have a lognormal distribution.
	simPrefill = 300 * time.Millisecond
	simMedian  = 5 * time.Second
	simSigma   = 0.6
	simMaxWait = 30 * time.Second
)

// sim simulates entry VMs in virtual time. The VMs exchange usage with a delay and
// share engines with a number of slots. With 0 slots, engines accept everything at
// once. With fifo, all requests wait in one first-come, first-served queue.
type sim struct {
	vms         []*Controller
	slots       int
	fifo        bool
	partitioned bool
	start, now  time.Time
	rng         *rand.Rand
	digests     []sentDigest
	busySlots   int
	completions map[time.Time][]runningRequest
	queue       []Request
	// admitted are the times since start at which requests were dispatched.
	// firstTokenTimes and totalTimes are the times to the first token and to the end of
	// the answer by customer, or simMaxWait for refused requests.
	admitted                    []time.Duration
	firstTokenTimes, totalTimes map[string][]time.Duration
}

type sentDigest struct {
	at    time.Time
	usage [][]Usage // by VM
}

type runningRequest struct {
	vm      int
	ticket  *Ticket
	service time.Duration
}

// source is the rate of a customer's requests per second at one VM.
type source struct {
	vm       int
	customer string
	rate     float64
}

func newSim(vms, slots int, seed int64, contracts ...contract.Contract) *sim {
	s := &sim{
		slots: slots, start: epoch, now: epoch, rng: rand.New(rand.NewSource(seed)), completions: map[time.Time][]runningRequest{},
		firstTokenTimes: map[string][]time.Duration{}, totalTimes: map[string][]time.Duration{},
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

func (s *sim) run(duration time.Duration, sources ...source) {
	for until := s.now.Add(duration); s.now.Before(until); {
		s.now = s.now.Add(simStep)
		s.finishDue()
		if s.now.Sub(s.start)%digestInterval == 0 {
			s.exchangeDigests()
		}
		for _, from := range sources {
			if s.rng.Float64() < from.rate*simStep.Seconds() {
				s.submit(from)
			}
		}
		s.dispatch()
	}
}

func (s *sim) submit(from source) {
	r := Request{Customer: from.customer, Unit: "m", Pool: "m", Arrived: s.now, Deadline: s.now.Add(simMaxWait)}
	if s.fifo {
		s.queue = append(s.queue, r)
		return
	}
	if _, refused := s.vms[from.vm].Submit(s.now, r); refused != nil {
		s.record(r, simMaxWait, simMaxWait)
	}
}

func (s *sim) dispatch() {
	for vm, c := range s.vms {
		for _, e := range c.Expire(s.now) {
			s.record(e.Ticket.Request, simMaxWait, simMaxWait)
		}
		for t := c.Next(s.now, "m", s.fits); t != nil; t = c.Next(s.now, "m", s.fits) {
			s.startRequest(runningRequest{vm: vm, ticket: t})
		}
	}
	for len(s.queue) > 0 && s.busySlots < s.slots {
		r := s.queue[0]
		s.queue = s.queue[1:]
		if s.now.Before(r.Deadline) {
			s.startRequest(runningRequest{vm: -1, ticket: &Ticket{Request: r}})
		} else {
			s.record(r, simMaxWait, simMaxWait)
		}
	}
}

func (s *sim) fits(t *Ticket) bool {
	free := s.slots - s.busySlots
	return s.slots == 0 || free > routing.PoolReserve(s.slots) || (free > 0 && !t.OverFairShare)
}

func (s *sim) startRequest(r runningRequest) {
	s.admitted = append(s.admitted, s.now.Sub(s.start))
	if s.slots == 0 {
		s.vms[r.vm].Finish(s.now, r.ticket, Outcome{OK: true})
		return
	}
	r.service = time.Duration(float64(simMedian) * math.Exp(s.rng.NormFloat64()*simSigma)).Truncate(simStep)
	waited := s.now.Sub(r.ticket.Arrived)
	s.record(r.ticket.Request, waited+simPrefill, waited+r.service)
	s.busySlots++
	s.completions[s.now.Add(r.service)] = append(s.completions[s.now.Add(r.service)], r)
}

func (s *sim) finishDue() {
	for _, r := range s.completions[s.now] {
		s.busySlots--
		if r.vm >= 0 {
			s.vms[r.vm].Finish(s.now, r.ticket, Outcome{OK: true, TimeToFirstToken: simPrefill, ServiceTime: r.service})
		}
	}
	delete(s.completions, s.now)
}

func (s *sim) record(r Request, first, total time.Duration) {
	s.firstTokenTimes[r.Customer] = append(s.firstTokenTimes[r.Customer], first)
	s.totalTimes[r.Customer] = append(s.totalTimes[r.Customer], total)
}

func (s *sim) exchangeDigests() {
	d := sentDigest{at: s.now}
	for _, c := range s.vms {
		d.usage = append(d.usage, c.ReportUsage(s.now))
	}
	s.digests = append(s.digests, d)
	if s.partitioned || s.now.Sub(s.digests[0].at) < digestDelay {
		return
	}
	delivered := s.digests[0]
	s.digests = s.digests[1:]
	for i, c := range s.vms {
		sum := map[string]PeerUsage{}
		for j, usage := range delivered.usage {
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
