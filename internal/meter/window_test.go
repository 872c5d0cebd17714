package meter_test

import (
	"math/rand"
	"testing"
	"time"

	"bergamotreel/internal/meter"
	"bergamotreel/internal/testkit"
)

// Guards against events that count for longer than the span, or are forgotten much earlier.
func TestWindowCountsItsSpan(t *testing.T) {
	const span = 10 * time.Second
	random := rand.New(rand.NewSource(1))
	var w meter.Window
	var events []time.Time
	now := time.Unix(1000, 0)
	countAfter := func(from time.Time) (count int) {
		for _, at := range events {
			if at.After(from) {
				count++
			}
		}
		return count
	}
	for range 5000 {
		now = now.Add(time.Duration(random.Int63n(int64(20 * time.Millisecond))))
		if random.Intn(200) == 0 {
			now = now.Add(time.Duration(random.Int63n(int64(2 * span))))
		}
		if random.Intn(2) == 0 {
			w.Add(now, span)
			events = append(events, now)
		}
		got, atLeast, atMost := w.Count(now, span), countAfter(now.Add(-span*19/20)), countAfter(now.Add(-span))
		testkit.Need(t, got >= atLeast && got <= atMost, "%d events, want %d to %d", got, atLeast, atMost)
	}
}
