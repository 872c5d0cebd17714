package caller

import (
	"sync"

	"bergamotreel/refusal"
)

// heldBytes limits the bytes of request bodies in memory: limit in total, and half
// of it for one customer. Without it a burst of large bodies exhausts the VM's memory,
// and the requests of all customers fail.
type heldBytes struct {
	limit int64

	mu         sync.Mutex
	total      int64
	byCustomer map[string]int64
}

func newHeldBytes(limit int64) *heldBytes {
	return &heldBytes{limit: limit, byCustomer: map[string]int64{}}
}

// reserve reserves n bytes for the customer, or returns a refusal.
func (h *heldBytes) reserve(customer string, n int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.total+n > h.limit || h.byCustomer[customer]+n > h.limit/2 {
		return refusal.New(refusal.CodeQueueFull, shortRetryAfter, "too many bytes of requests are held")
	}
	h.total += n
	h.byCustomer[customer] += n
	return nil
}

// release releases n reserved bytes.
func (h *heldBytes) release(customer string, n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total -= n
	h.byCustomer[customer] -= n
	if h.byCustomer[customer] == 0 {
		delete(h.byCustomer, customer)
	}
}
