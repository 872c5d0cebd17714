package routing

import "time"

const (
	// An engine's load report is corrected exactly if it is at most
	// historyLength × historySpacing = 3.2 s old.
	historyLength  = 32
	historySpacing = 100 * time.Millisecond
)

// inFlightHistory records how many requests this entry VM had in flight on one
// engine over the last seconds.
type inFlightHistory struct {
	samples [historyLength]sample
	next    int
}

// sample is the count at lastAt. Changes within historySpacing after firstAt
// update the sample in place, so that the newest sample always holds the newest
// count.
type sample struct {
	firstAt, lastAt int64 // nanoseconds since 1970
	count           int
}

// record adds a new count.
func (h *inFlightHistory) record(now time.Time, count int) {
	at := now.UnixNano()
	last := &h.samples[(h.next+historyLength-1)%historyLength]
	if last.lastAt != 0 && at-last.firstAt < int64(historySpacing) {
		last.lastAt, last.count = at, count
		return
	}
	h.samples[h.next] = sample{firstAt: at, lastAt: at, count: count}
	h.next = (h.next + 1) % historyLength
}

// countAt returns the count at the given time or up to historySpacing before it.
// For a time before all samples it returns the oldest count.
func (h *inFlightHistory) countAt(t time.Time) int {
	at := t.UnixNano()
	i := h.next
	for range historyLength {
		i = (i + historyLength - 1) % historyLength
		s := &h.samples[i]
		if s.lastAt == 0 {
			return 0
		}
		if s.lastAt <= at {
			return s.count
		}
	}
	return h.samples[i].count
}
