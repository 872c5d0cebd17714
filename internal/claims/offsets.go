package claims

import (
	"sync"
	"time"
)

const (
	// markEvery is the resolution of marks. An arrival counts as having seen what
	// was folded up to that long before it, which only makes it more careful.
	offsetSampleInterval = 50 * time.Millisecond
	// markCount bounds the marks: arrivals older than all of them count as having
	// seen nothing. 256 reach back 12.8 s under constant load.
	maxOffsetSamples = 256
)

// marks remembers how far the table had been folded at which time, so that an
// arrival knows what had been folded when it came.
//
// Failure: the process is frozen just after a request has come in. Its caller
// repeats the call elsewhere, is told "not run", and books elsewhere. After the
// thaw the table is folded on before the request is looked at: judged by what is
// folded then, it would run.
type offsetHistory struct {
	mu      sync.Mutex
	samples [maxOffsetSamples]offsetSample
	// next counts the marks so far.
	count int
}

type offsetSample struct {
	at      time.Time
	applied uint64
}

// folded notes that the table has been folded up to the offset just now.
func (m *offsetHistory) add(now time.Time, applied uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := &m.samples[(m.count+maxOffsetSamples-1)%maxOffsetSamples]
	if m.count == 0 || !now.Truncate(offsetSampleInterval).Equal(newest.at.Truncate(offsetSampleInterval)) {
		newest = &m.samples[m.count%maxOffsetSamples]
		m.count++
	}
	*newest = offsetSample{now, applied}
}

// at returns an offset up to which the table had been folded at a time.
func (m *offsetHistory) offsetAt(when time.Time) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := m.count - 1; i >= max(0, m.count-maxOffsetSamples); i-- {
		if sample := m.samples[i%maxOffsetSamples]; !sample.at.After(when) {
			return sample.applied
		}
	}
	return 0
}
