package permit_test

import (
	"math/rand"
	"testing"
	"time"

	"bergamotreel/admission/permit"
	"bergamotreel/internal/testkit"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against more permits than a limit allows, whatever is requested and when, and
// against permits that are not granted although they are available and requested.
func TestPermitsFollowTheLimit(t *testing.T) {
	for _, c := range []struct{ perSecond, share float64 }{{0, 1}, {0.3, 1}, {1, 1}, {4.1, 1}, {40, 1}, {40, 0.125}, {4.1, 0.5}} {
		perSecond, share := c.perSecond, c.share
		random := rand.New(rand.NewSource(5))
		var issuer permit.Issuer
		limit := permit.Limit{Limited: true, PerSecond: perSecond}
		now, issued := start, 0
		for now.Sub(start) < time.Minute {
			granted, retryAfter := issuer.Issue(now, limit, share, 1+random.Intn(5))
			issued += granted
			testkit.That(t, retryAfter > 0, "retry after %s", retryAfter)
			now = now.Add(time.Duration(random.Intn(20)) * time.Millisecond)
		}
		rate := max(perSecond, 0.25) * share
		maxIssued := rate*60 + max(1, rate)
		testkit.That(t, float64(issued) <= maxIssued, "%.1f a second: %d permits in a minute, at most %.0f", perSecond, issued, maxIssued)
		testkit.That(t, float64(issued) >= 0.9*rate*60-1, "%.1f a second: only %d permits in a minute", perSecond, issued)
	}
}

// Guards against a flood of requests for permits by VMs that receive none.
func TestRetryDelayGrowsWithDeniedRequests(t *testing.T) {
	var issuer permit.Issuer
	limit := permit.Limit{Limited: true, PerSecond: 10}
	_, first := issuer.Issue(start, limit, 1, 1)
	var last time.Duration
	for range 10 {
		_, last = issuer.Issue(start, limit, 1, 1)
	}
	testkit.That(t, last > first && last <= 2*time.Second, "the first retries after %s, the last after %s", first, last)
}

// Guards against permits that are used twice, or long after the issuer counted them.
func TestUnusedPermitsExpire(t *testing.T) {
	var h permit.Holder
	testkit.That(t, h.StartRequest(start) && !h.StartRequest(start), "requested twice at once")
	h.CompleteRequest(start, 2, time.Second)
	testkit.Equal(t, "permits", h.Available(start), 2)
	testkit.That(t, !h.StartRequest(start), "requested although permits are available")
	testkit.That(t, h.TryUse(start), "no permit to use")
	testkit.Equal(t, "permits", h.Available(start), 1)
	testkit.That(t, !h.TryUse(start.Add(time.Second)), "an expired permit was used")
	testkit.Equal(t, "permits a second later", h.Available(start.Add(time.Second)), 0)
	testkit.That(t, !h.StartRequest(start.Add(999*time.Millisecond)) && h.StartRequest(start.Add(time.Second)), "not requested exactly when the issuer said")
	h.FailRequest(start.Add(time.Second), time.Second)
	testkit.That(t, !h.StartRequest(start.Add(1500*time.Millisecond)) && h.StartRequest(start.Add(2*time.Second)), "no delay after a request without an answer")
}

// Guards against considering a limit lifted after one answer without it, if only some
// answers name it, and against keeping it for long if all answers named it before.
func TestLimitLiftDependsOnShareOfAnswers(t *testing.T) {
	for _, c := range []struct {
		share    float64
		liftedBy int
	}{{1, 4}, {0.8, 8}, {0.5, 20}, {0.3, 40}} {
		random := rand.New(rand.NewSource(9))
		var issuer permit.Issuer
		var answers permit.AnswerCounts
		falseLifts := 0
		issuer.Observe(permit.AnswerCounts{WithLimit: 1})
		for range 400 {
			answers.Add(random.Float64() < c.share)
			if random.Intn(3) > 0 {
				continue // several answers are reported in one message
			}
			if issuer.Observe(answers) {
				falseLifts++
				issuer = permit.Issuer{}
			}
			answers = permit.AnswerCounts{}
		}
		testkit.That(t, falseLifts <= 2, "%.1f of the answers named it: considered lifted %d times", c.share, falseLifts)
		answersUntilLift := 0
		for lifted := false; !lifted && answersUntilLift < 100; answersUntilLift++ {
			lifted = issuer.Observe(permit.AnswerCounts{WithoutLimit: 1, WithoutLimitRun: 1})
		}
		testkit.That(t, answersUntilLift <= c.liftedBy, "%.1f of the answers named it: lifted after %d without", c.share, answersUntilLift)
	}
}

// Guards against counts that depend on the number of messages in which they arrived.
func TestAnswerCountsAppend(t *testing.T) {
	random := rand.New(rand.NewSource(11))
	for range 200 {
		var whole, appended, part permit.AnswerCounts
		for range random.Intn(20) {
			named := random.Intn(2) == 0
			whole.Add(named)
			part.Add(named)
			if random.Intn(3) == 0 {
				appended.Append(part)
				part = permit.AnswerCounts{}
			}
		}
		appended.Append(part)
		testkit.Equal(t, "appended", appended, whole)
	}
}
