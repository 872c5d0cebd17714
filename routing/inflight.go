package routing

import "time"

const (
	// historyLength and historySpacing let an engine's report lag by at least
	// historyLength × historySpacing = 3.2 s and still be corrected exactly.
	historyLength  = 32
	historySpacing = 100 * time.Millisecond
)

// history is how many requests this entry VM had in flight on one engine, at
// times in the last seconds.
type history struct {
	samples [historyLength]sample
	next    int
}

// sample is the count at one time. Changes within historySpacing from began on
// move it along, so that it always holds the newest count.
type sample struct {
	began, at int64 // nanoseconds since 1970
	count     int
}

// record notes a new count.
func (h *history) record(now time.Time, count int) {
	at := now.UnixNano()
	last := &h.samples[(h.next+historyLength-1)%historyLength]
	if last.at != 0 && at-last.began < int64(historySpacing) {
		last.at, last.count = at, count
		return
	}
	h.samples[h.next] = sample{began: at, at: at, count: count}
	h.next = (h.next + 1) % historyLength
}

// at is the count at the given time, or up to historySpacing before; for a time
// before all samples kept, the oldest.
func (h *history) at(t time.Time) int {
	at := t.UnixNano()
	i := h.next
	for range historyLength {
		i = (i + historyLength - 1) % historyLength
		s := &h.samples[i]
		if s.at == 0 {
			return 0
		}
		if s.at <= at {
			return s.count
		}
	}
	return h.samples[i].count
}
