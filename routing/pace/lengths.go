package pace

import "sync"

const (
	// lengthStep is by which factor a median moves with each stream. A caller that gives absurd token counts
	// moves it by one step a stream, whatever the counts.
	lengthStep = 1.03
	// maxTokensPerEvent bounds the first sample of the tokens per event.
	maxTokensPerEvent = 1000
	// defaultEvents is the expected number of events while no stream has ended.
	defaultEvents = 16
	// maxKinds bounds the kinds of streams remembered.
	maxKinds = 1024
)

// Lengths estimates how many events a stream has. It is safe for concurrent use.
type Lengths struct {
	mu    sync.Mutex
	kinds map[string]*lengthMedians
}

// lengthMedians are running medians of one kind of streams, 0 while unknown.
type lengthMedians struct{ events, tokensPerEvent float64 }

// NewLengths returns estimates without samples.
func NewLengths() *Lengths { return &Lengths{kinds: make(map[string]*lengthMedians)} }

// Observe records that a whole stream of the kind had the given number of events, and that its request
// allowed at most the given number of output tokens, 0 if unknown.
func (l *Lengths) Observe(kind string, outputTokens int64, events int) {
	if events <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.kinds[kind]
	if m == nil {
		if len(l.kinds) >= maxKinds {
			return
		}
		m = &lengthMedians{}
		l.kinds[kind] = m
	}
	m.events = moveMedian(m.events, float64(min(events, maxEvents)))
	if outputTokens > 0 {
		m.tokensPerEvent = moveMedian(m.tokensPerEvent, min(float64(outputTokens)/float64(events), maxTokensPerEvent))
	}
}

// Expect returns the expected number of events of a stream, at least 1. The number of output tokens is 0
// if unknown.
func (l *Lengths) Expect(kind string, outputTokens int64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.kinds[kind]
	switch {
	case m == nil:
		return defaultEvents
	case outputTokens > 0 && m.tokensPerEvent > 0:
		return min(max(float64(outputTokens)/m.tokensPerEvent, 1), maxEvents)
	default:
		return m.events
	}
}

// moveMedian moves a running median by one step towards a sample.
func moveMedian(median, sample float64) float64 {
	switch {
	case median == 0:
		return sample
	case sample > median:
		return min(median*lengthStep, sample)
	default:
		return max(median/lengthStep, sample)
	}
}
