package admission

import "container/heap"

// deadlineHeap is a min-heap of a pool's waiting tickets by deadline. Its
// exported methods implement heap.Interface.
type deadlineHeap []*Ticket

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if c := h[i].Deadline.Compare(h[j].Deadline); c != 0 {
		return c < 0
	}
	return h[i].sequence < h[j].sequence
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *deadlineHeap) Push(x any) {
	t := x.(*Ticket)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}

func (h *deadlineHeap) add(t *Ticket)    { heap.Push(h, t) }
func (h *deadlineHeap) remove(t *Ticket) { heap.Remove(h, t.heapIndex) }
