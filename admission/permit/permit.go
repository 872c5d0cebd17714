// Package permit divides the request rate of a backend server that has announced a limit
// among entry VMs. It does no I/O and reads no clock.
//
// A backend server that needs protection announces, in its answers, the requests per second
// that it accepts from all entry VMs together. One entry VM, the issuer, grants permits at
// that rate; the other VMs send the backend server a request only with a permit. In any
// time span an Issuer grants at most the limit's rate plus half a second's worth
// (burstSeconds) or a single permit, whichever is more. Callers may rely only on one second's
// worth or a single permit, whichever is more. A new Issuer starts without permits.
//
// The types are not safe for concurrent use.
package permit

import (
	"cmp"
	"math"
	"time"

	"bergamotreel/admission/quota"
)

const (
	// burstSeconds is how many seconds' worth of a limit may be granted at once, but at least
	// one permit. It is half of the second's worth that the package allows.
	burstSeconds = 0.5
	// minRate is the least rate in requests per second. Only an answer shows that a limit
	// was lifted, so some requests must be sent under any limit.
	minRate = 0.25
	// maxFalseLiftProbability is the highest probability, under a limit that still holds, of
	// a run of answers without the limit after which it is considered lifted.
	maxFalseLiftProbability = 1e-3
	// maxCountedWithLimit limits the counted answers from which the share of those with the
	// limit is estimated.
	maxCountedWithLimit = 64
	// minRetryAfter and maxRetryAfter bound the delay until the next request for permits.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Limit is what the newest known answer of a backend server said about its limit.
type Limit struct {
	// Limited is whether there is a limit, PerSecond its rate in requests per second.
	Limited   bool
	PerSecond float64
	// ReceivedAt is when the answer was received.
	ReceivedAt time.Time
	// Origin is the process that received the answer, Version the count of limits that it
	// has observed. Together they identify an observation on all VMs.
	Origin  string
	Version uint64
}

// IsNewerThan reports whether the limit supersedes another one.
func (l Limit) IsNewerThan(other Limit) bool { return l.ReceivedAt.After(other.ReceivedAt) }

// IsSameLimit reports whether two answers announced the same limit, or both none.
func (l Limit) IsSameLimit(other Limit) bool {
	return l.Limited == other.Limited && (!l.Limited || l.PerSecond == other.PerSecond)
}

// AnswerCounts counts successful answers of a backend server that has announced a limit.
type AnswerCounts struct {
	// WithLimit counts the answers that announced the limit and WithoutLimit the others.
	// WithoutLimitRun counts those of the latter since the last answer with the limit.
	WithLimit, WithoutLimit, WithoutLimitRun int
}

// Add counts one more answer.
func (a *AnswerCounts) Add(withLimit bool) {
	if withLimit {
		a.WithLimit, a.WithoutLimitRun = a.WithLimit+1, 0
		return
	}
	a.WithoutLimit, a.WithoutLimitRun = a.WithoutLimit+1, a.WithoutLimitRun+1
}

// Append adds the counts of later answers.
func (a *AnswerCounts) Append(later AnswerCounts) {
	if later.WithLimit > 0 {
		a.WithoutLimitRun = later.WithoutLimitRun
	} else {
		a.WithoutLimitRun += later.WithoutLimitRun
	}
	a.WithLimit += later.WithLimit
	a.WithoutLimit += later.WithoutLimit
}

// Issuer grants the permits of a backend server and detects when its limit is lifted.
// Not every answer needs to announce a limit that holds, so it estimates from the share of
// answers that did.
type Issuer struct {
	bucket  quota.Bucket
	answers AnswerCounts
	// deniedRequests counts the requests for permits that were granted none since the last
	// grant. They compete for the next permits.
	deniedRequests int
}

// Issue grants up to want permits under a limit, and returns when to request the rest. It issues only
// the share of the limit, between 0 and 1, that other issuers don't.
func (i *Issuer) Issue(now time.Time, limit Limit, share float64, want int) (granted int, retryAfter time.Duration) {
	if want <= 0 || share <= 0 {
		return 0, minRetryAfter
	}
	rate := math.Max(limit.PerSecond, minRate) * share
	i.bucket.SetRate(now, rate, math.Max(1, burstSeconds*rate))
	for granted < want && i.bucket.TakeIfCovered(now, 1) {
		granted++
	}
	if granted > 0 {
		i.deniedRequests = 0
	} else {
		i.deniedRequests++
	}
	seconds := (1 - math.Min(1, i.bucket.Level(now)) + float64(max(0, i.deniedRequests-1))) / rate
	retryAfter = time.Duration(seconds * float64(time.Second))
	return granted, min(max(retryAfter, minRetryAfter), maxRetryAfter)
}

// Observe adds the counts of answers that an entry VM received, and reports whether the
// limit was lifted.
func (i *Issuer) Observe(answers AnswerCounts) (lifted bool) {
	a := &i.answers
	a.Append(answers)
	if a.WithLimit > maxCountedWithLimit {
		a.WithLimit, a.WithoutLimit = a.WithLimit/2, a.WithoutLimitRun+(a.WithoutLimit-a.WithoutLimitRun)/2
	}
	// At least one answer announced the limit. Two more answers without it are assumed, as a
	// few answers are a weak estimate of the share.
	withLimit, withoutLimit := math.Max(1, float64(a.WithLimit)), float64(a.WithoutLimit-a.WithoutLimitRun)
	share := withLimit / (withLimit + withoutLimit + 2)
	return math.Pow(1-share, float64(a.WithoutLimitRun)) <= maxFalseLiftProbability
}

// Holder holds the permits of this entry VM for a backend server, and determines when to
// request more.
type Holder struct {
	// TTL is how long an unused permit is valid; 0 means permitTTL.
	TTL            time.Duration
	permits        int
	expires        time.Time
	retryAt        time.Time
	requestPending bool
}

// permitTTL is how long an unused permit is valid. The issuer counts it as used.
const permitTTL = time.Second

// Available returns how many requests may be sent now.
func (h *Holder) Available(now time.Time) int {
	if !now.Before(h.expires) {
		return 0
	}
	return h.permits
}

// TryUse uses a permit. It returns false if there is none.
func (h *Holder) TryUse(now time.Time) bool {
	if h.Available(now) <= 0 {
		return false
	}
	h.permits--
	return true
}

// StartRequest reports whether to request permits from the issuer now. If so, the caller
// must call CompleteRequest or FailRequest afterwards.
func (h *Holder) StartRequest(now time.Time) bool {
	if h.requestPending || h.Available(now) > 0 || now.Before(h.retryAt) {
		return false
	}
	h.requestPending = true
	return true
}

// CompleteRequest applies the issuer's answer.
func (h *Holder) CompleteRequest(now time.Time, granted int, retryAfter time.Duration) {
	h.requestPending = false
	h.retryAt = now.Add(retryAfter)
	if granted > 0 {
		h.permits, h.expires = granted, now.Add(cmp.Or(h.TTL, permitTTL))
	}
}

// FailRequest records that the issuer did not answer.
func (h *Holder) FailRequest(now time.Time, retryAfter time.Duration) {
	h.requestPending = false
	h.retryAt = now.Add(retryAfter)
}
