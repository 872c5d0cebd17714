package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"bergamotreel/internal/meter"
)

const (
	// evenSplitFraction is the fraction of a limit that is split evenly among entry
	// VMs; the rest is split by demand. A VM with all of the demand gets at least
	// 1/(1+evenSplitFraction) of the limit, and a VM without demand keeps a small
	// share for its first requests.
	evenSplitFraction = 0.04
	// minAnnouncementAge is how long ago a VM must have announced its demand before
	// it takes more than an even share for it. It is two digest intervals, so that
	// the other VMs know the demand by then.
	minAnnouncementAge = 500 * time.Millisecond
	// minAnnouncementInterval is the least time between remembered announcements.
	minAnnouncementInterval = 100 * time.Millisecond
	// maxDemandGrowth is the factor by which demand may exceed the announced demand
	// and still count in full. At a few requests per second, a VM's demand varies by
	// half from second to second; delaying each increase would waste capacity.
	maxDemandGrowth = 2
	// maxRebalanceTime is the longest time until an unused share has moved to this
	// VM: minAnnouncementAge, plus one digest interval in each direction.
	maxRebalanceTime = time.Second
	// minReportedRate is the rate, in requests per second, below which a customer is
	// left out of digests. It keeps digests small if most customers are idle.
	minReportedRate = 0.01
)

// fleet is what this VM knows about the set of entry VMs.
type fleet struct {
	liveVMs        int // entry VMs, including this one
	reportingPeers int // other VMs with recent usage reports
}

// sharedLimit is this entry VM's share of a customer's fleet-wide rate limit.
//
// Each VM takes limit × own demand ÷ total demand, computed from its own arrivals
// and the delayed sum of the other VMs' demand. VMs with the same view together
// take exactly the limit, and a VM with all of the demand takes nearly all of it.
//
// If many VMs become busy at once before their reports reach each other, each
// would take the whole limit. So until a VM's demand was announced for
// minAnnouncementAge, it takes at most an even share; even shares add up to the
// limit.
//
// If VMs are partitioned, each would mistake the silence of the others for
// idleness and take the whole limit. So each live VM without recent reports keeps
// its even share.
type sharedLimit struct {
	limit  float64 // requests per second over all VMs; +Inf means unlimited
	burst  int     // over all VMs
	bucket *rate.Limiter

	arrivals, admissions meter.Meter
	heldCount            int // requests that wait for a token
	announcements        []announcement
	peerUsage            PeerUsage
}

// announcement is a demand that was reported to the other VMs.
type announcement struct {
	sentAt time.Time
	demand float64
}

func newSharedLimit(limit float64, burst int) *sharedLimit {
	l := &sharedLimit{}
	l.setRate(limit, burst)
	return l
}

// setRate sets the contract's rate and burst; a rate of 0 means unlimited.
func (l *sharedLimit) setRate(limit float64, burst int) {
	if limit <= 0 {
		limit = math.Inf(1)
	}
	l.limit = limit
	l.burst = max(burst, 1)
}

// demand returns what this VM would use, in requests per second.
func (l *sharedLimit) demand(now time.Time) float64 {
	return math.Max(l.arrivals.Rate(now, UsageWindow), float64(l.heldCount)/UsageWindow.Seconds())
}

// share returns the part of the limit, in requests per second, that belongs to a
// VM with the given demand.
func (l *sharedLimit) share(demand float64, f fleet) float64 {
	reporting := float64(f.reportingPeers + 1)
	knownLimit := l.limit * reporting / float64(f.liveVMs)
	othersDemand := l.peerUsage.DemandRate
	if f.reportingPeers == 0 {
		othersDemand = 0
	}
	evenSplit := evenSplitFraction * l.limit / reporting
	return knownLimit * (demand + evenSplit) / (demand + othersDemand + reporting*evenSplit)
}

// localRate returns this VM's current rate.
func (l *sharedLimit) localRate(now time.Time, f fleet) float64 {
	demand := l.demand(now)
	propagated := math.Min(demand, maxDemandGrowth*l.propagatedDemand(now))
	evenShare := l.limit / float64(f.liveVMs)
	return math.Min(l.share(demand, f), math.Max(evenShare, l.share(propagated, f)))
}

// adjustBucket sets the bucket's rate and burst to this VM's share.
func (l *sharedLimit) adjustBucket(now time.Time, f fleet) {
	if math.IsInf(l.limit, 1) {
		l.bucket = nil
		return
	}
	localRate := l.localRate(now, f)
	burst := max(1, int(float64(l.burst)*localRate/l.limit))
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(rate.Limit(localRate), burst)
		return
	}
	l.bucket.SetLimitAt(now, rate.Limit(localRate))
	l.bucket.SetBurstAt(now, burst)
}

// tryTake uses one token if one is available.
func (l *sharedLimit) tryTake(now time.Time) bool {
	if l.bucket != nil && !l.bucket.AllowN(now, 1) {
		return false
	}
	l.admissions.Add(now, 1, UsageWindow)
	return true
}

// tokenWait returns the time until n tokens are available at the current rate.
func (l *sharedLimit) tokenWait(now time.Time, n int) time.Duration {
	if l.bucket == nil {
		return 0
	}
	return l.tokenWaitAtRate(now, n, float64(l.bucket.Limit()))
}

// tokenWaitWithRebalance returns the time until n tokens are available, either at
// the current rate or after this VM received the share for its demand, whichever
// is earlier.
func (l *sharedLimit) tokenWaitWithRebalance(now time.Time, n int, f fleet) time.Duration {
	wait := l.tokenWait(now, n)
	if wait <= maxRebalanceTime {
		return wait
	}
	return min(wait, maxRebalanceTime+l.tokenWaitAtRate(now, n, l.share(l.demand(now), f)))
}

// burstFillTime returns the time in which an empty bucket refills to the burst.
func (l *sharedLimit) burstFillTime() time.Duration {
	return time.Duration(float64(l.burst) / l.limit * float64(time.Second))
}

func (l *sharedLimit) tokenWaitAtRate(now time.Time, n int, ratePerSecond float64) time.Duration {
	missing := float64(n) - l.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / ratePerSecond * float64(time.Second)))
}

// announce returns the usage to report to the other VMs and records the demand in
// it as announced. It returns false for a customer without notable traffic.
func (l *sharedLimit) announce(now time.Time, customer string) (Usage, bool) {
	demand := l.demand(now)
	admitted := l.admissions.Rate(now, UsageWindow)
	if demand < minReportedRate && admitted < minReportedRate {
		l.announcements = l.announcements[:0]
		return Usage{}, false
	}
	last := len(l.announcements) - 1
	if last < 0 || now.Sub(l.announcements[last].sentAt) >= minAnnouncementInterval {
		l.announcements = append(l.announcements, announcement{sentAt: now, demand: demand})
	}
	for len(l.announcements) > 1 && now.Sub(l.announcements[1].sentAt) >= minAnnouncementAge {
		l.announcements = append(l.announcements[:0], l.announcements[1:]...)
	}
	return Usage{Customer: customer, AdmittedRate: admitted, DemandRate: demand}, true
}

// propagatedDemand returns the newest announced demand that the other VMs should
// know by now.
func (l *sharedLimit) propagatedDemand(now time.Time) float64 {
	demand := 0.0
	for _, a := range l.announcements {
		if now.Sub(a.sentAt) < minAnnouncementAge {
			break
		}
		demand = a.demand
	}
	return demand
}
