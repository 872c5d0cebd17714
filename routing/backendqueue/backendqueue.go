// Package backendqueue lets the backend servers of small plain services queue requests
// themselves. It is meant for services with fewer places than twice the number of entry VMs:
// there, VMs that wait for a place to become free learn of it too late, so that places are empty
// while requests wait at VMs. A backend server's own queue is shared by all VMs and needs no news.
//
// Each VM assumes a length for each backend server's queue, which grows while few requests are
// rejected and halves otherwise, and derives from it the utilization at which rejections stay rare.
// Requests beyond the fleet's capacity at that utilization are refused on arrival: each VM admits
// the same share of its own.
//
// Rates are in requests per second, lengths in requests. The package does no I/O and reads no
// clock; it returns no errors. Values from other VMs that are negative or not numbers count as 0.
package backendqueue

import (
	"math"
	"math/rand"
	"sync"
	"time"

	"bergamotreel/internal/meter"
	"bergamotreel/routing"
)

const (
	// rateWindow smooths the rates that VMs report. With reports that are up to a second old, all
	// VMs follow a change within two seconds.
	rateWindow = time.Second
	// arrivalWindow smooths the rate of arrivals. It is shorter, as a jump of the demand fills the
	// queues until all VMs know of it.
	arrivalWindow = 500 * time.Millisecond
	// peersWindow smooths the counts of other VMs' requests. A count that is a second old says
	// nothing of a queue that changes within a few work times, but its mean does.
	peersWindow = time.Second
	// maxPlacesPerVM is the number of places for each VM from which a service is not small.
	maxPlacesPerVM = 2
	// reportedPlacesPerVM is the number of places for each VM up to which loads are reported, so
	// that they are known when a service becomes small.
	reportedPlacesPerVM = 4
	// maxReported bounds the loads in a report.
	maxReported = 512
	// maxUpdateInterval bounds the time that one update of the lengths covers, for a VM that froze.
	maxUpdateInterval = time.Second
	// targetTTL is how long a target latency applies without a request that has it.
	targetTTL = 10 * time.Second
	// changeInterval is the minimum time between two reported changes of a service's share.
	changeInterval = 2 * time.Second
	// serviceTTL is how long a service without requests is kept.
	serviceTTL = time.Minute
	// excessSent times the allowed rate is the rate of sent requests beyond which rejections come from
	// a jump of the demand and not from a wrong length. Below it, the rest is requests sent again.
	excessSent = 1.1
	// workQuantile is the quantile of the answer times that counts as the work time. Higher ones
	// contain the time in the backend server's queue, and a growing queue would look like slower
	// work. workStep is the relative change with each answer.
	workQuantile = 0.25
	workStep     = 0.05
	// minAcceptedShare is the share of a VM's requests below which rejected ones are not sent again.
	// A VM gets there with its second rejection in a second.
	minAcceptedShare = 0.8
	// minSamples keeps a single rejection from being taken for an overload.
	minSamples = 2
	// minRest is the shortest time for which a VM sends nothing to a backend server that rejected
	// a request, maxRest the longest.
	minRest = 5 * time.Millisecond
	maxRest = 200 * time.Millisecond
)

// Request is a request that arrived at this VM.
type Request struct {
	Service  string
	Target   time.Duration
	Deadline time.Time
	// Waiting is the number of the service's requests that wait at this VM.
	Waiting int
}

// Queues holds what one VM knows of the small plain services. It is safe for concurrent use.
type Queues struct {
	mu       sync.Mutex
	rng      *rand.Rand
	services map[string]*serviceState
	updated  time.Time
	// jitter multiplies rests, so that VMs that were rejected together don't return together.
	jitter float64
}

type serviceState struct {
	backends map[string]*backendState
	places   int
	vms      int
	// queueing is whether the service is small, seen when it was last used.
	queueing bool
	seen     time.Time
	// target is the shortest target latency of the requests of the last targetTTL.
	target   time.Duration
	targetAt time.Time

	arrived, sent meter.Meter
	// work is the work time in seconds, 0 if unknown.
	work float64
	// fleet is the load over all VMs, own the part of it that this VM reported.
	fleet, own Load
	// credit is the sum of the shares of the requests that arrived while the service was
	// overloaded, less the admitted ones.
	credit  float64
	returns returnSchedule
	// reported is the last change that SetFleet returned.
	reported   Change
	reportedAt time.Time
}

type backendState struct {
	length *queueLength
	// usable is whether the backend server was a candidate at the last call of Prepare.
	usable         bool
	sent, rejected meter.Meter
	peers          float64
	peersAt        time.Time
	// window is how many requests this VM may have there at once, rejections counts those in a row.
	window     float64
	rejections int
}

// New returns Queues that take their randomness from rng, which nothing else may use.
func New(rng *rand.Rand) *Queues {
	return &Queues{rng: rng, services: make(map[string]*serviceState), jitter: 0.5 + rng.Float64()}
}

func (q *Queues) service(now time.Time, name string) *serviceState {
	s := q.services[name]
	if s == nil {
		s = &serviceState{backends: make(map[string]*backendState), credit: q.rng.Float64()}
		q.services[name] = s
	}
	s.seen = now
	return s
}

// Prepare sets how many requests may be sent to the candidates, all backend servers of a plain
// service. It changes none if the service is not small. Candidates that require permits are
// excluded: rejections may crash them.
func (q *Queues) Prepare(now time.Time, name string, candidates []routing.Candidate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.service(now, name)
	s.places, s.vms = 0, 1
	for _, b := range s.backends {
		b.usable = false
	}
	permits := false
	for _, c := range candidates {
		s.vms = max(s.vms, c.Sharers)
		permits = permits || c.PermitRequired
		if c.Ready && !c.Leaving && !c.PermitRequired {
			s.places += c.Slots
		}
	}
	s.queueing = !permits && s.places > 0 && s.places < maxPlacesPerVM*s.vms
	for i := range candidates {
		c := &candidates[i]
		if c.PermitRequired || c.Slots <= 0 {
			continue
		}
		b := s.backends[c.Engine]
		if b == nil {
			b = &backendState{length: newQueueLength(c.Slots), window: maxWindow(c.Slots)}
			s.backends[c.Engine] = b
		}
		b.length.slots, b.usable = c.Slots, c.Ready && !c.Leaving
		b.smoothPeers(now, c.PeersInFlight)
		if s.queueing {
			c.Queues, c.QueueLength, c.OwnLimit, c.RejectionRest = true, int(b.length.length), int(b.window), q.rest(s, b)
			c.PeersInFlight = int(math.Round(b.peers))
		}
	}
}

// smoothPeers updates the mean count of other VMs' requests.
func (b *backendState) smoothPeers(now time.Time, count int) {
	b.peers = meter.Smooth(b.peers, float64(count), now.Sub(b.peersAt), peersWindow) // the first count is taken as it is
	b.peersAt = now
}

// maxWindow returns how many requests one VM may have at a backend server at once. A VM that uses all
// slots by itself learns at once when one becomes free, and needs no long queue there.
func maxWindow(slots int) float64 { return (1 + initialShare) * float64(slots) }

// recordAnswer adapts the window to an answer or a rejection.
func (b *backendState) recordAnswer(rejected bool) {
	if rejected {
		b.window = max(1, b.window/2)
		b.rejections++
		return
	}
	b.window = min(b.window+1/b.window, maxWindow(b.length.slots))
	b.rejections = 0
}

// rest returns how long a backend server gets no requests from this VM after it rejected one: the
// time that its slots and its queue take, twice as long after each further rejection.
func (q *Queues) rest(s *serviceState, b *backendState) time.Duration {
	seconds := s.workTime() * (1 + b.length.length/float64(b.length.slots)) / 2 * math.Exp2(float64(min(max(0, b.rejections-1), 6)))
	return min(max(time.Duration(q.jitter*seconds*float64(time.Second)), minRest), maxRest)
}

// workTime returns the work time in seconds: the mean over all VMs, or this VM's own.
func (s *serviceState) workTime() float64 {
	if s.fleet.Sent > 0 && s.fleet.Work > 0 {
		return s.fleet.Work / s.fleet.Sent
	}
	return s.work
}

// capacity returns the rate of requests at which rejections are rare, 0 if it is unknown.
func (s *serviceState) capacity() float64 {
	work := s.workTime()
	if work <= 0 {
		return 0
	}
	used := 0.0
	for _, b := range s.backends {
		if b.usable {
			used += b.length.allowed() * float64(b.length.slots)
		}
	}
	return used / work
}

// demand returns the rate of requests that arrive at all VMs and at this one. This VM's own part
// is up to date.
func (s *serviceState) demand(now time.Time) (all, own float64) {
	own = s.arrived.Rate(now, arrivalWindow)
	return max(0, s.fleet.Arrived-s.own.Arrived) + own, own
}

// Admit records the arrival of a request for a plain service and decides whether to accept it. For
// one that is refused it returns when to come back.
func (q *Queues) Admit(now time.Time, r Request) (retryAfter time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.service(now, r.Service)
	s.arrived.Add(now, 1, arrivalWindow)
	if r.Target > 0 && (s.target == 0 || r.Target <= s.target || now.Sub(s.targetAt) > targetTTL) {
		s.target, s.targetAt = r.Target, now
	}
	capacity := s.capacity()
	if !s.queueing || capacity == 0 {
		return 0, true
	}
	demand, own := s.demand(now)
	left := r.Deadline.Sub(now)
	share := min(1, capacity/demand) * s.acceptedShare(now)
	if s.admitShare(share) && !s.isBacklogTooLong(r.Waiting, left, capacity, demand-own) {
		return 0, true
	}
	return s.returns.next(now, left, share*own), false
}

// RetryAfter returns when to come back for a request that backend servers have rejected too often,
// with the given time left.
func (q *Queues) RetryAfter(now time.Time, name string, left time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.service(now, name)
	return s.returns.next(now, left, s.sent.Rate(now, rateWindow))
}

// acceptedShare returns the share of this VM's requests that backend servers did not reject lately.
// It bridges the one to two seconds until the sums show that the load has grown.
func (s *serviceState) acceptedShare(now time.Time) float64 {
	sent, rejected := 0.0, 0.0
	for _, b := range s.backends {
		if b.usable {
			sent += b.sent.Rate(now, rateWindow)
			rejected += b.rejected.Rate(now, rateWindow)
		}
	}
	return 1 - rejected/(sent+minSamples/rateWindow.Seconds())
}

// admitShare reports whether the next request belongs to the share to admit. It spaces admitted
// requests evenly, as chance would add to the variation of the load.
func (s *serviceState) admitShare(share float64) bool {
	if share >= 1 {
		return true
	}
	s.credit += share
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// isBacklogTooLong reports whether the requests that wait at this VM take more than half of the
// time left to a new one, at the rate that the other VMs leave to this one.
func (s *serviceState) isBacklogTooLong(waiting int, left time.Duration, capacity, elsewhere float64) bool {
	rate := max(capacity-elsewhere, capacity/float64(s.vms))
	return waiting > 0 && float64(waiting)/rate > left.Seconds()/2
}

// Rejection is what follows a rejection by a backend server whose queue is used.
type Rejection struct {
	// Rest is how long the backend server gets no requests from this VM, 0 if it may get some at once.
	Rest time.Duration
	// Overloaded is whether the rejected request should be refused: so many of this VM's requests were
	// rejected that it would fill a queue again.
	Overloaded bool
}

// RecordResult records that a backend server answered a request after the given time, or rejected
// it for want of room. The result is zero unless the backend server's queue is used.
func (q *Queues) RecordResult(now time.Time, name, backend string, answerTime time.Duration, rejected bool) Rejection {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[name]
	if s == nil || s.backends[backend] == nil {
		return Rejection{}
	}
	b := s.backends[backend]
	b.sent.Add(now, 1, rateWindow)
	b.recordAnswer(rejected)
	if rejected {
		b.rejected.Add(now, 1, rateWindow)
		if !s.queueing {
			return Rejection{}
		}
		return Rejection{Rest: q.rest(s, b), Overloaded: s.acceptedShare(now) < minAcceptedShare}
	}
	s.sent.Add(now, 1, rateWindow)
	if answerTime > 0 {
		s.recordWork(answerTime.Seconds())
	}
	return Rejection{}
}

// recordWork moves the work time towards workQuantile of the answer times.
func (s *serviceState) recordWork(seconds float64) {
	switch {
	case s.work == 0:
		s.work = seconds
	case seconds < s.work:
		s.work = max(seconds, s.work*(1-workStep*(1-workQuantile)))
	default:
		s.work = min(seconds, s.work*(1+workStep*workQuantile))
	}
}

// Forget drops what is known of a backend server that is gone or has restarted.
func (q *Queues) Forget(backend string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.services {
		delete(s.backends, backend)
	}
}
