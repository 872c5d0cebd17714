package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"bergamotreel/internal/meter"
)

const (
	// idleShare is the part of a limit that is split evenly among entry VMs; the
	// rest goes by demand. So a VM with all of the demand gets 1/(1+idleShare)
	// of the limit or more, and one without any has a little to start with.
	idleShare = 0.04
	// announceDelay is how long a VM waits after telling its demand until it
	// takes more than an even share for it. It is two digests, so the others
	// know by then.
	announceDelay = 500 * time.Millisecond
	// announceSpacing is the least time between remembered announcements.
	announceSpacing = 100 * time.Millisecond
	// announceGrowth is how far demand may be above what was announced and still
	// count in full. A VM's few requests a second vary by half from one second
	// to the next; holding each such step back would cost capacity.
	announceGrowth = 2
	// shareShift bounds the time until an unused share is here: announceDelay,
	// and a digest each way.
	shareShift = time.Second
	// usageFloor is the rate, in requests a second, below which a customer is
	// left out of digests. It keeps them small where most customers are idle.
	usageFloor = 0.01
)

// fleet is what this VM knows about the other entry VMs.
type fleet struct {
	live  int // entry VMs, this one included
	heard int // others whose usage is known
}

// sharedLimit is this entry VM's part of a customer's rate over all entry VMs.
//
// Each VM takes limit × own demand ÷ total demand, from its own arrivals and
// the lagging sum of the others. VMs with the same view take the whole limit
// between them and no more, and a VM with all of the demand takes all of it.
//
// Failure: many VMs wake at once, none has heard of the others, and each takes
// the whole limit. So until a VM's demand has been announced for announceDelay,
// it takes an even share at most; even shares add up to the limit.
//
// Failure: VMs are cut off from each other, and each takes the other's silence
// for idleness. So the even shares of live VMs that were not heard stay theirs.
type sharedLimit struct {
	limit  float64 // requests a second over all VMs; +Inf: none
	burst  int     // over all VMs
	bucket *rate.Limiter

	arrived, admitted meter.Meter
	held              int // requests that wait for a token
	announced         []announcement
	peers             PeerUsage
}

// announcement is demand as the other VMs were told it.
type announcement struct {
	at   time.Time
	rate float64
}

func newSharedLimit(limit float64, burst int) *sharedLimit {
	l := &sharedLimit{}
	l.set(limit, burst)
	return l
}

// set changes the contract's numbers; a rate of 0 sets no limit.
func (l *sharedLimit) set(limit float64, burst int) {
	if limit <= 0 {
		limit = math.Inf(1)
	}
	l.limit = limit
	l.burst = max(burst, 1)
}

// demand is what this VM would use, in requests a second.
func (l *sharedLimit) demand(now time.Time) float64 {
	return math.Max(l.arrived.Rate(now, UsageWindow), float64(l.held)/UsageWindow.Seconds())
}

// share is the part of the limit that belongs to a VM with the given demand.
func (l *sharedLimit) share(demand float64, f fleet) float64 {
	heard := float64(f.heard + 1)
	known := l.limit * heard / float64(f.live)
	others := l.peers.DemandRate
	if f.heard == 0 {
		others = 0
	}
	idle := idleShare * l.limit / heard
	return known * (demand + idle) / (demand + others + heard*idle)
}

// local is this VM's rate now.
func (l *sharedLimit) local(now time.Time, f fleet) float64 {
	demand := l.demand(now)
	known := math.Min(demand, announceGrowth*l.announcedRate(now))
	even := l.limit / float64(f.live)
	return math.Min(l.share(demand, f), math.Max(even, l.share(known, f)))
}

// adjust brings the bucket to this VM's share.
func (l *sharedLimit) adjust(now time.Time, f fleet) {
	if math.IsInf(l.limit, 1) {
		l.bucket = nil
		return
	}
	local := l.local(now, f)
	burst := max(1, int(float64(l.burst)*local/l.limit))
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(rate.Limit(local), burst)
		return
	}
	l.bucket.SetLimitAt(now, rate.Limit(local))
	l.bucket.SetBurstAt(now, burst)
}

// take uses one token, if there is one.
func (l *sharedLimit) take(now time.Time) bool {
	if l.bucket != nil && !l.bucket.AllowN(now, 1) {
		return false
	}
	l.admitted.Add(now, 1, UsageWindow)
	return true
}

// wait is the time until n tokens are there at the present rate.
func (l *sharedLimit) wait(now time.Time, n int) time.Duration {
	if l.bucket == nil {
		return 0
	}
	return l.waitAt(now, n, float64(l.bucket.Limit()))
}

// waitShifted is wait, or less where the share that this VM's demand will move
// here pays earlier.
func (l *sharedLimit) waitShifted(now time.Time, n int, f fleet) time.Duration {
	wait := l.wait(now, n)
	if wait <= shareShift {
		return wait
	}
	return min(wait, shareShift+l.waitAt(now, n, l.share(l.demand(now), f)))
}

// burstTime is the time in which the whole burst accrues.
func (l *sharedLimit) burstTime() time.Duration {
	return time.Duration(float64(l.burst) / l.limit * float64(time.Second))
}

func (l *sharedLimit) waitAt(now time.Time, n int, perSecond float64) time.Duration {
	missing := float64(n) - l.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / perSecond * float64(time.Second)))
}

// announce returns the usage to tell the others, and remembers that it was told.
func (l *sharedLimit) announce(now time.Time, customer string) (Usage, bool) {
	demand := l.demand(now)
	admitted := l.admitted.Rate(now, UsageWindow)
	if demand < usageFloor && admitted < usageFloor {
		l.announced = l.announced[:0]
		return Usage{}, false
	}
	last := len(l.announced) - 1
	if last < 0 || now.Sub(l.announced[last].at) >= announceSpacing {
		l.announced = append(l.announced, announcement{at: now, rate: demand})
	}
	for len(l.announced) > 1 && now.Sub(l.announced[1].at) >= announceDelay {
		l.announced = append(l.announced[:0], l.announced[1:]...)
	}
	return Usage{Customer: customer, AdmittedRate: admitted, DemandRate: demand}, true
}

// announcedRate is the newest demand that the others must know by now.
func (l *sharedLimit) announcedRate(now time.Time) float64 {
	known := 0.0
	for _, a := range l.announced {
		if now.Sub(a.at) < announceDelay {
			break
		}
		known = a.rate
	}
	return known
}
