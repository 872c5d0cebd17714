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
		for len(s.left) < l.AtOnce() {
			engine := fmt.Sprint("e", begun)
			begun++
			s.left[engine] = s.alone.Seconds()
			l.Begin(now, engine, s.alone)
		}
		speed := min(1, s.serves/float64(len(s.left)))
		for engine := range s.left {
			s.left[engine] -= speed * tick.Seconds()
			if s.left[engine] > 1e-9 {
				continue
			}
			delete(s.left, engine)
			l.End(now.Add(tick), engine)
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
		testkit.That(t, done >= c.done && first <= c.first && l.AtOnce() <= c.limit,
			"a store that serves %v: %d done, the first after %s, limit %d", c.serves, done, first, l.AtOnce())
	}
}

// Loads of half a second end a quarter of a second before anybody hears of it. That is no
// slow store.
func TestStoreLimitKnowsItsLag(t *testing.T) {
	l := NewStoreLimit()
	for i := range 4 {
		at := start.Add(time.Duration(i) * time.Second)
		l.Begin(at, "a", 500*time.Millisecond)
		l.Begin(at, "b", 500*time.Millisecond)
		l.End(at.Add(750*time.Millisecond), "a")
		l.End(at.Add(750*time.Millisecond), "b")
	}
	testkit.That(t, l.AtOnce() > storeLimitStart, "limit %d after loads at full speed", l.AtOnce())
}

// A load fails with its engine: its length says nothing. What another VM found out
// counts for one that begins to plan.
func TestStoreLimitLearnsAndAbandons(t *testing.T) {
	l := NewStoreLimit()
	testkit.Equal(t, "found before any load", l.Found(), 0)
	l.Learn(6)
	testkit.Equal(t, "limit learned", l.AtOnce(), 6)
	l.Begin(start, "e", 6*time.Second)
	l.Abandon(start.Add(time.Minute), "e")
	testkit.That(t, !l.End(start.Add(time.Minute), "e"), "an abandoned load ended")
	testkit.Equal(t, "limit after a failed load", l.AtOnce(), 6)
	l.Learn(0)
	testkit.Equal(t, "limit after hearing nothing", l.AtOnce(), 6)
}
