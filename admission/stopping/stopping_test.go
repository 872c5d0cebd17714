package stopping_test

import (
	"testing"
	"time"

	"bergamotreel/admission/stopping"
	"bergamotreel/internal/testkit"
)

// Guards against requests that a stopping VM takes too late, or refuses although it has the time.
func TestScheduleHasTimeFor(t *testing.T) {
	start := time.Unix(1000, 0)
	schedule := stopping.Schedule{TakesUntil: start.Add(2 * time.Second), EndsAt: start.Add(5 * time.Second)}
	for _, test := range []struct {
		at, work time.Duration
		want     bool
	}{
		{0, 0, true}, {0, 5 * time.Second, true}, {time.Second, 5 * time.Second, false},
		{1900 * time.Millisecond, 3 * time.Second, true}, {2 * time.Second, 0, false}, {6 * time.Second, 0, false},
	} {
		got := schedule.CanFinish(start.Add(test.at), test.work)
		testkit.That(t, got == test.want, "after %s, %s of work: %v", test.at, test.work, got)
	}
	testkit.That(t, stopping.Schedule{}.CanFinish(start, time.Hour), "a VM that doesn't stop refuses")
}

// Guards against estimates that one odd request moves far, or that most requests exceed.
func TestDurationsAreThoseOfMostRequests(t *testing.T) {
	d := stopping.NewDurations()
	testkit.Equal(t, "unknown", d.Expect("k", 0), 0)
	for i := range 1000 {
		d.Observe("k", 0, time.Duration(1+i*7%10)*time.Second) // 1 to 10 s
	}
	nineInTen := d.Expect("k", 0)
	testkit.That(t, nineInTen > 7*time.Second && nineInTen < 11*time.Second, "expects %s", nineInTen)
	d.Observe("k", 0, time.Hour)
	testkit.That(t, d.Expect("k", 0) < nineInTen*11/10, "one request moved %s to %s", nineInTen, d.Expect("k", 0))
	for range 10 {
		d.Observe("stream", 100, time.Second)
	}
	testkit.Equal(t, "twice the tokens", d.Expect("stream", 200), 2*time.Second)
	testkit.Equal(t, "absurd tokens", d.Expect("stream", 1<<40), 4*time.Second)
}

// Guards against a process that takes a request to stop for a new one although it came while the process was suspended, and
// against one that was suspended long ago and stops too soon.
func TestWatchFindsSuspensions(t *testing.T) {
	watch := stopping.NewWatch(0)
	now := time.Duration(0)
	tick := func(n int) {
		for range n {
			now += stopping.WatchInterval
			watch.Tick(now)
		}
	}
	tick(8)
	testkit.Equal(t, "age without a suspension", watch.RequestAge(now+stopping.WatchInterval), 0)
	now += 3 * time.Second
	testkit.Equal(t, "age at the end of a suspension", watch.RequestAge(now), 3*time.Second-stopping.WatchInterval)
	testkit.Equal(t, "age right after it", watch.RequestAge(now+time.Millisecond), 3*time.Second-stopping.WatchInterval+time.Millisecond)
	tick(2)
	testkit.Equal(t, "age later", watch.RequestAge(now), 0)
}
