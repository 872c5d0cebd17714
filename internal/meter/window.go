package meter

import "time"

// windowParts is the number of parts into which a Window divides its span.
const windowParts = 20

// Window counts the events of a sliding time span. It forgets them up to a twentieth of the
// span too early and never too late. The zero value has no events.
type Window struct {
	counts [windowParts]int
	// origin is when the first event occurred; newest is the number of the part, counted from
	// origin, to which the counts are up to date.
	origin time.Time
	newest int64
}

// Add counts an event at now.
func (w *Window) Add(now time.Time, span time.Duration) {
	if w.origin.IsZero() {
		w.origin = now
	}
	w.advance(now, span)
	w.counts[w.newest%windowParts]++
}

// Count returns the number of events in the span before now.
func (w *Window) Count(now time.Time, span time.Duration) int {
	w.advance(now, span)
	sum := 0
	for _, count := range w.counts {
		sum += count
	}
	return sum
}

// advance drops the parts that have left the span. A time before the newest one counts as the
// newest.
func (w *Window) advance(now time.Time, span time.Duration) {
	part := int64(now.Sub(w.origin) / (span / windowParts))
	if part <= w.newest || w.origin.IsZero() {
		return
	}
	for dropped := range min(part-w.newest, windowParts) {
		w.counts[(part-dropped)%windowParts] = 0
	}
	w.newest = part
}
