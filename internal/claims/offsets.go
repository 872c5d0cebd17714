package claims

import (
	"sync"
	"time"
)

const (
	// offsetSampleInterval is the resolution of offsetHistory. An attempt is
	// treated as if it had seen only what was applied up to this long before
	// it; the only effect is that more claims are stale.
	offsetSampleInterval = 50 * time.Millisecond
	// maxOffsetSamples bounds the samples. An attempt older than all of them is
	// treated as having seen nothing. Under constant load, 256 samples cover
	// 12.8 s.
	maxOffsetSamples = 256
)

// offsetHistory records up to which offset the table had been applied at which
// time, so that an attempt is judged by what had been applied when it came in.
//
// Without it, a process that is frozen just after a request came in could
// dispatch it wrongly: the caller repeats the call at another VM, is told "not
// run" and books elsewhere. After the process resumes, it applies newer
// records, including the release, before it looks at the request; judged by the
// current offset, the request would run.
type offsetHistory struct {
	mu      sync.Mutex
	samples [maxOffsetSamples]offsetSample
	// count is the number of samples ever started.
	count int
}

type offsetSample struct {
	at      time.Time
	applied uint64
}

// add records that the table has been applied up to the offset at the time now.
func (h *offsetHistory) add(now time.Time, applied uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := &h.samples[(h.count+maxOffsetSamples-1)%maxOffsetSamples]
	if h.count == 0 || !now.Truncate(offsetSampleInterval).Equal(last.at.Truncate(offsetSampleInterval)) {
		last = &h.samples[h.count%maxOffsetSamples]
		h.count++
	}
	*last = offsetSample{now, applied}
}

// offsetAt returns an offset up to which the table had been applied at the
// given time, 0 if no sample is that old.
func (h *offsetHistory) offsetAt(when time.Time) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := h.count - 1; i >= max(0, h.count-maxOffsetSamples); i-- {
		if sample := h.samples[i%maxOffsetSamples]; !sample.at.After(when) {
			return sample.applied
		}
	}
	return 0
}
