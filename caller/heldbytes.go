package caller

import (
	"sync"

	"bergamotreel/refusal"
)

// heldBytes bounds the request bodies held at once: in all, and half of that
// for one customer. Without it a burst of large bodies takes the VM's memory
// and with it every other customer's requests.
type heldBytes struct {
	limit int64

	mu         sync.Mutex
	total      int64
	byCustomer map[string]int64
}

func newHeldBytes(limit int64) *heldBytes {
	return &heldBytes{limit: limit, byCustomer: map[string]int64{}}
}

// take reserves n bytes or refuses.
func (h *heldBytes) take(customer string, n int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.total+n > h.limit || h.byCustomer[customer]+n > h.limit/2 {
		return refusal.New(refusal.CodeQueueFull, retrySoon, "too many bytes of requests are held")
	}
	h.total += n
	h.byCustomer[customer] += n
	return nil
}

// giveBack releases n reserved bytes.
func (h *heldBytes) giveBack(customer string, n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total -= n
	h.byCustomer[customer] -= n
	if h.byCustomer[customer] == 0 {
		delete(h.byCustomer, customer)
	}
}
