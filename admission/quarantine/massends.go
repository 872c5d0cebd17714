package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// massEndWindow is the time within which backend servers must end for them to have a cause in
	// common, and maxEnds the number of ends that are remembered.
	massEndWindow = time.Second
	maxEnds       = 1024
	// Ends are a mass end if they are minMassEnds at least and minMassShare of the backend servers.
	// No part of prompts can be told from the others then: all servers ran the common ones. A part
	// at fault is refused before it has ended as many.
	minMassEnds  = 12
	minMassShare = 0.75
	// maxFewBackends is up to how many backend servers the loss of all of them, whatever its cause,
	// may look like crashes of a part that a tenth of the requests have.
	maxFewBackends = 6
	// backendCountTTL is how long a larger number of backend servers counts after some are gone.
	backendCountTTL = time.Minute
)

// massEnds finds the times at which most backend servers ended together: a rack, a failure domain
// or a kernel ends them, whatever they run.
type massEnds struct {
	endedAt map[string]time.Time
	// backends is the number of backend servers, countedAt is when it was last that high.
	backends  int
	countedAt time.Time
	spans     []span
}

// span is a closed interval of time.
type span struct{ from, to time.Time }

func newMassEnds() massEnds { return massEnds{endedAt: make(map[string]time.Time)} }

// setBackends sets the number of backend servers that are listed now.
func (m *massEnds) setBackends(now time.Time, count int) {
	if count >= m.backends || now.Sub(m.countedAt) >= backendCountTTL {
		m.backends, m.countedAt = count, now
		m.findSpans()
	}
}

// extraCrashes returns how many more crashes than usual are needed against a part of prompts.
func (m *massEnds) extraCrashes() int {
	if m.backends > 0 && m.backends <= maxFewBackends {
		return 1
	}
	return 0
}

// record records the end of a backend server instance.
func (m *massEnds) record(backend string, at time.Time) {
	if known, ok := m.endedAt[backend]; ok && !at.Before(known) {
		return
	}
	m.endedAt[backend] = at
	if len(m.endedAt) > maxEnds {
		oldest := backend
		for other, otherAt := range m.endedAt {
			if otherAt.Before(m.endedAt[oldest]) {
				oldest = other
			}
		}
		delete(m.endedAt, oldest)
	}
	m.findSpans()
}

// findSpans computes the spans of mass ends.
func (m *massEnds) findSpans() {
	m.spans = m.spans[:0]
	least := max(minMassEnds, int(minMassShare*float64(m.backends)))
	if m.backends == 0 || len(m.endedAt) < least {
		return
	}
	times := slices.SortedFunc(maps.Values(m.endedAt), time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > massEndWindow {
			first++
		}
		if i-first+1 >= least {
			m.spans = append(m.spans, span{times[first], at})
		}
	}
}

// contains reports whether an end at the given time is part of a mass end.
func (m *massEnds) contains(at time.Time) bool {
	return slices.ContainsFunc(m.spans, func(s span) bool { return !at.Before(s.from) && !at.After(s.to) })
}

// expire forgets the ends before a time.
func (m *massEnds) expire(before time.Time) {
	maps.DeleteFunc(m.endedAt, func(_ string, at time.Time) bool { return at.Before(before) })
	m.findSpans()
}
