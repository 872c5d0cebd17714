package permit_test

import (
	"math/rand"
	"testing"
	"time"

	"bergamotreel/admission/permit"
	"bergamotreel/internal/testkit"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against more permits than a limit allows, whatever is asked and when, and against
// permits that lie idle while they are asked for.
func TestPermitsFollowTheLimit(t *testing.T) {
	for _, perSecond := range []float64{0, 0.3, 1, 4.1, 40} {
		random := rand.New(rand.NewSource(5))
		var issuer permit.Issuer
		limit := permit.Limit{Limited: true, PerSecond: perSecond}
		now, issued := start, 0
		for now.Sub(start) < time.Minute {
			granted, retry := issuer.Issue(now, limit, 1+random.Intn(5))
			issued += granted
			testkit.That(t, retry > 0, "ask again after %s", retry)
			now = now.Add(time.Duration(random.Intn(20)) * time.Millisecond)
		}
		rate := max(perSecond, 0.25)
		most := rate*60 + max(1, rate)
		testkit.That(t, float64(issued) <= most, "%.1f a second: %d permits in a minute, at most %.0f", perSecond, issued, most)
		testkit.That(t, float64(issued) >= 0.9*rate*60-1, "%.1f a second: only %d permits in a minute", perSecond, issued)
	}
}

// Guards against a flood of questions by those that get nothing.
func TestManyAskersAreSpreadOut(t *testing.T) {
	var issuer permit.Issuer
	limit := permit.Limit{Limited: true, PerSecond: 10}
	_, first := issuer.Issue(start, limit, 1)
	var last time.Duration
	for range 10 {
		_, last = issuer.Issue(start, limit, 1)
	}
	testkit.That(t, last > first && last <= 2*time.Second, "the first asks again after %s, the last after %s", first, last)
}

// Guards against permits that are used long after they were counted, or twice.
func TestWalletKeepsPermitsForAMoment(t *testing.T) {
	var w permit.Holder
	testkit.That(t, w.StartRequest(start) && !w.StartRequest(start), "asked twice at once")
	w.CompleteRequest(start, 2, time.Second)
	testkit.Equal(t, "permits", w.Available(start), 2)
	testkit.That(t, !w.StartRequest(start), "asked with permits at hand")
	testkit.That(t, w.TryUse(start), "no permit to spend")
	testkit.Equal(t, "permits", w.Available(start), 1)
	testkit.That(t, !w.TryUse(start.Add(time.Second)), "a lapsed permit was spent")
	testkit.Equal(t, "permits a second later", w.Available(start.Add(time.Second)), 0)
	testkit.That(t, !w.StartRequest(start.Add(999*time.Millisecond)) && w.StartRequest(start.Add(time.Second)), "asked at another time than the issuer said")
	w.FailRequest(start.Add(time.Second), time.Second)
	testkit.That(t, !w.StartRequest(start.Add(1500*time.Millisecond)) && w.StartRequest(start.Add(2*time.Second)), "no pause after a question without an answer")
}

// Guards against a limit that one answer lifts though few name it, and against one that
// holds for long after all answers had named it.
func TestLimitLiftFollowsTheShareOfAnswers(t *testing.T) {
	for _, c := range []struct {
		share    float64
		liftedBy int
	}{{1, 4}, {0.8, 8}, {0.5, 20}, {0.3, 40}} {
		random := rand.New(rand.NewSource(9))
		var issuer permit.Issuer
		var answers permit.AnswerCounts
		wrong := 0
		issuer.Observe(permit.AnswerCounts{WithLimit: 1})
		for range 400 {
			answers.Add(random.Float64() < c.share)
			if random.Intn(3) > 0 {
				continue // several answers go in one message
			}
			if issuer.Observe(answers) {
				wrong++
				issuer = permit.Issuer{}
			}
			answers = permit.AnswerCounts{}
		}
		testkit.That(t, wrong <= 2, "%.1f of the answers named it: taken for lifted %d times", c.share, wrong)
		after := 0
		for lifted := false; !lifted && after < 100; after++ {
			lifted = issuer.Observe(permit.AnswerCounts{WithoutLimit: 1, WithoutLimitRun: 1})
		}
		testkit.That(t, after <= c.liftedBy, "%.1f of the answers named it: lifted after %d without", c.share, after)
	}
}

// Guards against counts that depend on how many messages they came in.
func TestAnswersAppend(t *testing.T) {
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
