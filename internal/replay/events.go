package replay

import (
	"container/heap"
	"time"
)

// events is the virtual clock and its queue of pending events. Events at the same
// time run in the order in which they were added, so that a run is deterministic.
type events struct {
	now       time.Duration
	queue     eventHeap
	lastOrder int
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

func (e *events) at(when time.Duration, run func()) {
	e.lastOrder++
	heap.Push(&e.queue, event{max(when, e.now), e.lastOrder, run})
}

func (e *events) after(wait time.Duration, run func()) { e.at(e.now+wait, run) }

// step runs the next event before the given time and reports whether there was
// one.
func (e *events) step(before time.Duration) bool {
	if len(e.queue) == 0 || e.queue[0].at >= before {
		return false
	}
	next := heap.Pop(&e.queue).(event)
	e.now = next.at
	next.run()
	return true
}
