// Package permit divides the requests that a backend server in need takes among entry
// VMs. It does no I/O and reads no clock.
//
// A backend server in need names, in its answers, the requests a second that it takes from
// all entry VMs together. One entry VM, the issuer, hands out permits at that rate; the
// others send it a request only with a permit. What callers may rely on: an Issuer gives
// no more in any span than the rate allows, and one second's worth or a single permit
// beyond it; a new one begins with none.
//
// The types are not safe for concurrent use.
package permit

import (
	"math"
	"time"

	"bergamotreel/admission/quota"
)

const (
	// burstSeconds of a limit may be handed out at once, one permit at least.
	burstSeconds = 0.5
	// probeRate is the least rate in requests a second: only an answer tells that a limit is
	// lifted.
	probeRate = 0.25
	// liftDoubt is how likely at most a run of answers without the limit may be while it
	// still holds, for the limit to be taken for lifted.
	liftDoubt = 1e-3
	// countsMost bounds the answers that the share of those with the limit is taken from.
	countsMost = 64
	// retryLeast and retryMost bound when to ask again.
	retryLeast = 20 * time.Millisecond
	retryMost  = 2 * time.Second
)

// Limit is what the newest answer of a backend server that is known here said.
type Limit struct {
	// Named is whether there is a limit, PerSecond the requests a second.
	Limited   bool
	PerSecond float64
	// At is when the answer came.
	ReceivedAt time.Time
	// Origin is the process that got the answer, Version counts what it has observed of
	// limits: together they name an observation on all VMs.
	Origin  string
	Version uint64
}

// Newer tells whether the limit is to take another one's place.
func (l Limit) IsNewerThan(other Limit) bool { return l.ReceivedAt.After(other.ReceivedAt) }

// Same tells whether two answers said the same.
func (l Limit) IsSameLimit(other Limit) bool {
	return l.Limited == other.Limited && (!l.Limited || l.PerSecond == other.PerSecond)
}

// Answers counts successful answers of a backend server that has named a limit.
type AnswerCounts struct {
	// Named had the limit and Plain had not; Run of the Plain ones came after the last with
	// the limit.
	WithLimit, WithoutLimit, WithoutLimitRun int
}

// Add counts one more.
func (a *AnswerCounts) Add(named bool) {
	if named {
		a.WithLimit, a.WithoutLimitRun = a.WithLimit+1, 0
		return
	}
	a.WithoutLimit, a.WithoutLimitRun = a.WithoutLimit+1, a.WithoutLimitRun+1
}

// Append counts later answers.
func (a *AnswerCounts) Append(later AnswerCounts) {
	if later.WithLimit > 0 {
		a.WithoutLimitRun = later.WithoutLimitRun
	} else {
		a.WithoutLimitRun += later.WithoutLimitRun
	}
	a.WithLimit += later.WithLimit
	a.WithoutLimit += later.WithoutLimit
}

// Issuer hands out the permits of a backend server, and finds out when its limit is
// lifted. Not every answer need name a limit that holds, so it goes by how many did.
type Issuer struct {
	bucket  quota.Bucket
	answers AnswerCounts
	// denied counts the questions that went without since the last permit: they share the
	// next ones.
	denied int
}

// Issue returns up to so many permits by a limit, and when to ask again for what was not
// granted.
func (i *Issuer) Issue(now time.Time, limit Limit, want int) (granted int, retry time.Duration) {
	if want <= 0 {
		return 0, retryLeast
	}
	rate := math.Max(limit.PerSecond, probeRate)
	i.bucket.SetRate(now, rate, math.Max(1, burstSeconds*rate))
	for granted < want && i.bucket.TakeIfCovered(now, 1) {
		granted++
	}
	if granted > 0 {
		i.denied = 0
	} else {
		i.denied++
	}
	seconds := (1 - math.Min(1, i.bucket.Level(now)) + float64(max(0, i.denied-1))) / rate
	retry = time.Duration(seconds * float64(time.Second))
	return granted, min(max(retry, retryLeast), retryMost)
}

// Observe counts answers that an entry VM got, and tells whether the limit is lifted.
func (i *Issuer) Observe(answers AnswerCounts) (lifted bool) {
	a := &i.answers
	a.Append(answers)
	if a.WithLimit > countsMost {
		a.WithLimit, a.WithoutLimit = a.WithLimit/2, a.WithoutLimitRun+(a.WithoutLimit-a.WithoutLimitRun)/2
	}
	// The limit was named once at least; two more answers without it are assumed, as few
	// tell little of the share.
	named, plain := math.Max(1, float64(a.WithLimit)), float64(a.WithoutLimit-a.WithoutLimitRun)
	share := named / (named + plain + 2)
	return math.Pow(1-share, float64(a.WithoutLimitRun)) <= liftDoubt
}

// Wallet holds the permits that this entry VM has for a backend server, and when it may
// ask for more.
type Holder struct {
	permits  int
	lapse    time.Time
	askAfter time.Time
	asking   bool
}

// keptFor is how long an unused permit holds: the issuer counts it as used.
const keptFor = time.Second

// Permits is how many requests may be sent now.
func (w *Holder) Available(now time.Time) int {
	if !now.Before(w.lapse) {
		return 0
	}
	return w.permits
}

// Spend uses a permit, false if there is none.
func (w *Holder) TryUse(now time.Time) bool {
	if w.Available(now) <= 0 {
		return false
	}
	w.permits--
	return true
}

// Ask tells whether to ask the issuer now; Answered or Failed must follow.
func (w *Holder) StartRequest(now time.Time) bool {
	if w.asking || w.Available(now) > 0 || now.Before(w.askAfter) {
		return false
	}
	w.asking = true
	return true
}

// Answered takes the issuer's answer.
func (w *Holder) CompleteRequest(now time.Time, granted int, retry time.Duration) {
	w.asking = false
	w.askAfter = now.Add(retry)
	if granted > 0 {
		w.permits, w.lapse = granted, now.Add(keptFor)
	}
}

// Failed takes that the issuer did not answer.
func (w *Holder) FailRequest(now time.Time, pause time.Duration) {
	w.asking = false
	w.askAfter = now.Add(pause)
}
