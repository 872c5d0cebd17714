package residency

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// fakeStore is a weight store that serves a number of loads at full speed and divides that
// capacity among more.
type fakeStore struct {
	fullSpeedLoads float64
	unloadedTime   time.Duration
	remaining      map[string]float64 // seconds of work, by engine
}

// simulate keeps as many loads in flight as the limit allows for the given time. It returns how
// many finished and when the first one did.
func (s *fakeStore) simulate(l *StoreLimit, duration time.Duration) (done int, first time.Duration) {
	const tick = 100 * time.Millisecond
	s.remaining = make(map[string]float64)
	startedLoads := 0
	for elapsed := time.Duration(0); elapsed < duration; elapsed += tick {
		now := start.Add(elapsed)
		for len(s.remaining) < l.MaxLoads() {
			engine := fmt.Sprint("e", startedLoads)
			startedLoads++
			s.remaining[engine] = s.unloadedTime.Seconds()
			l.BeginLoad(now, engine, s.unloadedTime)
		}
		speed := min(1, s.fullSpeedLoads/float64(len(s.remaining)))
		for engine := range s.remaining {
			s.remaining[engine] -= speed * tick.Seconds()
			if s.remaining[engine] > 1e-9 {
				continue
			}
			delete(s.remaining, engine)
			l.FinishLoad(now.Add(tick), engine)
			done++
			if first == 0 {
				first = elapsed + tick
			}
		}
	}
	return done, first
}

// Guards against a limit that stays far from the store's capacity while tens of models wait to
// be loaded, for stores that serve one, four and eleven loads at full speed. The number of loads
// must come close to that with a known capacity, and with a capacity of one the first load must
// end much sooner than with four concurrent loads.
func TestStoreLimitConvergesToStoreCapacity(t *testing.T) {
	for _, c := range []struct {
		fullSpeedLoads float64
		unloadedTime   time.Duration
		minDone        int // within a minute
		maxFirst       time.Duration
		maxLimit       int
	}{
		{1, 13200 * time.Millisecond, 3, 27 * time.Second, 1},
		{4, 6 * time.Second, 34, 7 * time.Second, 5},
		{11, 13200 * time.Millisecond, 30, 14 * time.Second, 12},
	} {
		l := NewStoreLimit()
		s := &fakeStore{fullSpeedLoads: c.fullSpeedLoads, unloadedTime: c.unloadedTime}
		done, first := s.simulate(l, time.Minute)
		testkit.That(t, done >= c.minDone && first <= c.maxFirst && l.MaxLoads() <= c.maxLimit,
			"store serves %v at full speed: %d loads done, the first after %s, limit %d", c.fullSpeedLoads, done, first, l.MaxLoads())
	}
}

// Guards against a limit that falls because ends of loads are reported late: loads of 0.5 s that
// are reported 0.25 s late don't mean that the store is slow.
func TestStoreLimitToleratesReportLag(t *testing.T) {
	l := NewStoreLimit()
	for i := range 4 {
		at := start.Add(time.Duration(i) * time.Second)
		l.BeginLoad(at, "a", 500*time.Millisecond)
		l.BeginLoad(at, "b", 500*time.Millisecond)
		l.FinishLoad(at.Add(750*time.Millisecond), "a")
		l.FinishLoad(at.Add(750*time.Millisecond), "b")
	}
	testkit.That(t, l.MaxLoads() > initialStoreLimit, "limit %d after loads at full speed", l.MaxLoads())
}

// A load that fails with its engine must not change the limit, as its duration says nothing
// about the store. A VM that begins to plan adopts the limit that another VM has measured.
func TestStoreLimitAdoptsAndDiscards(t *testing.T) {
	l := NewStoreLimit()
	testkit.Equal(t, "measured before any load", l.MeasuredMaxLoads(), 0)
	l.AdoptMaxLoads(6)
	testkit.Equal(t, "adopted limit", l.MaxLoads(), 6)
	l.BeginLoad(start, "e", 6*time.Second)
	l.DiscardLoad(start.Add(time.Minute), "e")
	testkit.That(t, !l.FinishLoad(start.Add(time.Minute), "e"), "a discarded load changed the limit")
	testkit.Equal(t, "limit after a failed load", l.MaxLoads(), 6)
	l.AdoptMaxLoads(0)
	testkit.Equal(t, "limit after adopting nothing", l.MaxLoads(), 6)
}
