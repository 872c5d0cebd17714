package quota_test

import (
	"testing"
	"time"

	"bergamotreel/admission/quota"
	"bergamotreel/internal/testkit"
)

// burst plays callers of one workspace at a multiple of its quota on one VM for six seconds, beside its
// usual demand, a tenth of a second apart. Each caller returns once. It returns how many were
// refused twice and how many were served in all.
func burst(multiple int, retryAfter func(s *quota.ReturnSchedule, now time.Time, wait, left time.Duration) time.Duration) (twice, served int) {
	const perSecond, step, duration = 20.0, 100 * time.Millisecond, 12 * time.Second
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var bucket quota.Bucket
	var schedule quota.ReturnSchedule
	returning := make(map[int]int)
	for i := 0; time.Duration(i)*step < duration; i++ {
		now := start.Add(time.Duration(i) * step)
		bucket.SetRate(now, perSecond, perSecond/4)
		arriving := 1
		if at := time.Duration(i) * step; at >= time.Second && at < 7*time.Second {
			arriving = 2 * multiple
		}
		for j := range arriving + returning[i] {
			isReturn := j < returning[i]
			if bucket.TakeIfCovered(now, 1) {
				schedule.RecordAdmitted(now, 1)
				served++
				continue
			}
			if isReturn {
				twice++
				continue
			}
			delay := retryAfter(&schedule, now, bucket.WaitTime(now), 10*time.Second)
			returning[i+max(1, int(delay/step))]++
		}
	}
	return twice, served
}

// Guards against callers beyond a quota that all return at the next credit and are refused again while
// a burst of four times the quota lasts.
func TestReturnsAreSpreadOverAccruingCredit(t *testing.T) {
	atNextCredit := func(_ *quota.ReturnSchedule, _ time.Time, wait, _ time.Duration) time.Duration {
		return max(wait, 100*time.Millisecond)
	}
	spread := func(s *quota.ReturnSchedule, now time.Time, wait, left time.Duration) time.Duration {
		return s.Delay(now, 1, max(wait, 100*time.Millisecond), left)
	}
	twiceBefore, servedBefore := burst(4, atNextCredit)
	twice, served := burst(4, spread)
	t.Logf("refused twice %d, served %d; without the schedule %d, %d", twice, served, twiceBefore, servedBefore)
	testkit.That(t, twice < twiceBefore && served > servedBefore, "refused twice %d, served %d; without the schedule %d, %d", twice, served, twiceBefore, servedBefore)
}

// Guards against retry times beyond what callers wait for, and against ones earlier than the next credit.
func TestReturnDelayIsUseful(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var s quota.ReturnSchedule
	s.RecordAdmitted(now, 10)
	for range 1000 {
		delay := s.Delay(now, 1, 200*time.Millisecond, 3*time.Second)
		testkit.That(t, delay >= 200*time.Millisecond && delay <= time.Second, "got %s", delay)
	}
	testkit.Equal(t, "delay of a caller with no time left", s.Delay(now, 1, 200*time.Millisecond, 0), 200*time.Millisecond)
}
