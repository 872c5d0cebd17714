package claims

import (
	"sync"
	"time"
)

const (
	// markEvery is the resolution of marks. An arrival counts as having seen what
	// was folded up to that long before it, which only makes it more careful.
	markEvery = 50 * time.Millisecond
	// markCount bounds the marks: arrivals older than all of them count as having
	// seen nothing. 256 reach back 12.8 s under constant load.
	markCount = 256
)

// marks remembers how far the table had been folded at which time, so that an
// arrival knows what had been folded when it came.
//
// Failure: the process is frozen just after a request has come in. Its caller
// repeats the call elsewhere, is told "not run", and books elsewhere. After the
// thaw the table is folded on before the request is looked at: judged by what is
// folded then, it would run.
type marks struct {
	mu   sync.Mutex
	ring [markCount]mark
	// next counts the marks so far.
	next int
}

type mark struct {
	at      time.Time
	applied uint64
}

// folded notes that the table has been folded up to the offset just now.
func (m *marks) folded(now time.Time, applied uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := &m.ring[(m.next+markCount-1)%markCount]
	if m.next == 0 || !now.Truncate(markEvery).Equal(newest.at.Truncate(markEvery)) {
		newest = &m.ring[m.next%markCount]
		m.next++
	}
	*newest = mark{now, applied}
}

// at returns an offset up to which the table had been folded at a time.
func (m *marks) at(then time.Time) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := m.next - 1; i >= max(0, m.next-markCount); i-- {
		if known := m.ring[i%markCount]; !known.at.After(then) {
			return known.applied
		}
	}
	return 0
}
