package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// idleShare is the part of a limit that is split evenly among entry VMs, the
	// rest goes by demand. So a VM with all of the demand gets 1/(1+idleShare)
	// of the limit, and one without any still has a little to start with.
	idleShare = 0.04
	// announceDelay is how long a VM waits after telling its demand until it
	// takes more than an even share for it. It is a few digests, so the others
	// know by then.
	announceDelay = 500 * time.Millisecond
)

// sharedLimit is this entry VM's part of a customer's rate over all entry VMs.
//
// Each VM takes limit × own demand ÷ total demand, from its own arrivals and
// the lagging sum of the others. VMs with the same view take the whole limit
// and no more. Failure: many VMs wake at once, none has heard of the others,
// and each takes the whole limit. So until a VM's demand has been announced for
// announceDelay, it takes an even share at most.
type sharedLimit struct {
	limit  float64 // requests a second over all VMs; +Inf: none
	burst  int     // over all VMs
	bucket *rate.Limiter

	arrived, admitted meter
	// newer and older are demand as announced; older is what peers know.
	newer, older announcement
	peers        PeerUsage
}

type announcement struct {
	at   time.Time
	rate float64
}

// fleet is what this VM knows about the other entry VMs.
type fleet struct {
	live  int // entry VMs, this one included
	heard int // others whose usage is known
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

// share is the part of the limit that belongs to a VM with the given demand.
func (l *sharedLimit) share(demand float64, f fleet) float64 {
	heard := float64(f.heard + 1)
	even := idleShare * l.limit / heard
	known := l.limit * heard / float64(f.live)
	return known * (demand + even) / (demand + l.peers.Arrived + heard*even)
}

// local is this VM's rate now.
func (l *sharedLimit) local(now time.Time, f fleet) float64 {
	demand := l.arrived.rate(now, UsageWindow)
	announced := math.Min(demand, l.older.rate)
	evenly := l.limit / float64(f.live)
	return math.Min(l.share(demand, f), math.Max(evenly, l.share(announced, f)))
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
	l.admitted.add(now, 1, UsageWindow)
	return true
}

// wait is the time until n tokens are there at the present rate.
func (l *sharedLimit) wait(now time.Time, n int) time.Duration {
	if l.bucket == nil {
		return 0
	}
	missing := float64(n) - l.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(l.bucket.Limit()) * float64(time.Second))
}

// announce returns the usage to tell the others.
func (l *sharedLimit) announce(now time.Time, customer string) Usage {
	arrived := l.arrived.rate(now, UsageWindow)
	if now.Sub(l.newer.at) >= announceDelay {
		l.older = l.newer
		l.newer = announcement{at: now, rate: arrived}
	}
	return Usage{Customer: customer, Admitted: l.admitted.rate(now, UsageWindow), Arrived: arrived}
}
