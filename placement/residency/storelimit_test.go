package residency

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// store is a weight store that serves some loads at full speed and shares that out
// beyond them.
type store struct {
	serves float64
	alone  time.Duration
	left   map[string]float64 // seconds of work
}

// run keeps as many loads going as the limit allows for so long, and returns how many
// were done, and when the first was.
func (s *store) run(l *StoreLimit, length time.Duration) (done int, first time.Duration) {
	const tick = 100 * time.Millisecond
	s.left = make(map[string]float64)
	begun := 0
	for at := time.Duration(0); at < length; at += tick {
		now := start.Add(at)
		for len(s.left) < l.MaxLoads() {
			engine := fmt.Sprint("e", begun)
			begun++
			s.left[engine] = s.alone.Seconds()
			l.BeginLoad(now, engine, s.alone)
		}
		speed := min(1, s.serves/float64(len(s.left)))
		for engine := range s.left {
			s.left[engine] -= speed * tick.Seconds()
			if s.left[engine] > 1e-9 {
				continue
			}
			delete(s.left, engine)
			l.FinishLoad(now.Add(tick), engine)
			done++
			if first == 0 {
				first = at + tick
			}
		}
	}
	return done, first
}

// Tens of models wait for a store that serves one load at full speed, or four, or
// eleven. What is found out must come close to what knowing it would give, and be much
// better than four at once where it serves one.
func TestStoreLimitFindsWhatTheStoreServes(t *testing.T) {
	for _, c := range []struct {
		serves float64
		alone  time.Duration
		done   int           // within a minute, at least
		first  time.Duration // at most
		limit  int           // found out, at most
	}{
		{1, 13200 * time.Millisecond, 3, 27 * time.Second, 1},
		{4, 6 * time.Second, 34, 7 * time.Second, 5},
		{11, 13200 * time.Millisecond, 30, 14 * time.Second, 12},
	} {
		l := NewStoreLimit()
		s := &store{serves: c.serves, alone: c.alone}
		done, first := s.run(l, time.Minute)
		testkit.That(t, done >= c.done && first <= c.first && l.MaxLoads() <= c.limit,
			"a store that serves %v: %d done, the first after %s, limit %d", c.serves, done, first, l.MaxLoads())
	}
}

// Loads of half a second end a quarter of a second before anybody hears of it. That is no
// slow store.
func TestStoreLimitKnowsItsLag(t *testing.T) {
	l := NewStoreLimit()
	for i := range 4 {
		at := start.Add(time.Duration(i) * time.Second)
		l.BeginLoad(at, "a", 500*time.Millisecond)
		l.BeginLoad(at, "b", 500*time.Millisecond)
		l.FinishLoad(at.Add(750*time.Millisecond), "a")
		l.FinishLoad(at.Add(750*time.Millisecond), "b")
	}
	testkit.That(t, l.MaxLoads() > storeLimitStart, "limit %d after loads at full speed", l.MaxLoads())
}

// A load fails with its engine: its length says nothing. What another VM found out
// counts for one that begins to plan.
func TestStoreLimitLearnsAndAbandons(t *testing.T) {
	l := NewStoreLimit()
	testkit.Equal(t, "found before any load", l.MeasuredMaxLoads(), 0)
	l.AdoptMaxLoads(6)
	testkit.Equal(t, "limit learned", l.MaxLoads(), 6)
	l.BeginLoad(start, "e", 6*time.Second)
	l.DiscardLoad(start.Add(time.Minute), "e")
	testkit.That(t, !l.FinishLoad(start.Add(time.Minute), "e"), "an abandoned load ended")
	testkit.Equal(t, "limit after a failed load", l.MaxLoads(), 6)
	l.AdoptMaxLoads(0)
	testkit.Equal(t, "limit after hearing nothing", l.MaxLoads(), 6)
}
