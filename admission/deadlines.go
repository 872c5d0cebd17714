package admission

import "container/heap"

// deadlines is a pool's waiting tickets as a heap, earliest deadline first.
type deadlines []*Ticket

// Len, Less, Swap, Push and Pop implement heap.Interface.

func (d deadlines) Len() int { return len(d) }

func (d deadlines) Less(i, j int) bool {
	if c := d[i].Deadline.Compare(d[j].Deadline); c != 0 {
		return c < 0
	}
	return d[i].sequence < d[j].sequence
}

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

func (d *deadlines) Push(x any) {
	t := x.(*Ticket)
	t.heapIndex = len(*d)
	*d = append(*d, t)
}

func (d *deadlines) Pop() any {
	last := len(*d) - 1
	t := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return t
}

func (d *deadlines) add(t *Ticket)    { heap.Push(d, t) }
func (d *deadlines) remove(t *Ticket) { heap.Remove(d, t.heapIndex) }
