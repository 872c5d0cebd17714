package serving

import "sync"

// minNumberedStreams is the number of streams whose ids must have risen alike before others of their service are expected
// to rise so.
const minNumberedStreams = 16

// numberings holds by how much the ids of each service's streams rise. A stream that its caller takes up, or of which only
// one event has arrived, doesn't show that itself. It is safe for concurrent use.
type numberings struct {
	mu        sync.Mutex
	byService map[string]numbering
}

// numbering is what the ids of a service's streams have in common.
type numbering struct {
	step uint64
	// streams counts the streams in a row that had this step.
	streams int
}

// step returns the difference between two ids in a row in streams of a service, 0 if it isn't known.
func (n *numberings) step(service string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known := n.byService[service]; known.streams >= minNumberedStreams {
		return known.step
	}
	return 0
}

// record records the ids of a run that sent at least two events.
func (n *numberings) record(service string, order *eventOrder) {
	if order.runSteps == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.byService == nil {
		n.byService = make(map[string]numbering)
	}
	known := n.byService[service]
	switch {
	case order.isIrregular:
		known = numbering{}
	case order.step != known.step:
		known = numbering{order.step, 1}
	default:
		known.streams++
	}
	n.byService[service] = known
}
