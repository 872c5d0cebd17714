package caller

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/admission/intake"
	"bergamotreel/refusal"
)

const (
	// maxMemoryWait bounds how long a body waits for memory. Callers send a request elsewhere if nothing of it is read
	// for about a second.
	maxMemoryWait = 700 * time.Millisecond
	// memoryWaitDivisor bounds the same wait to a part of the time that the caller has.
	memoryWaitDivisor = 4
	// recheckInterval is the interval at which bodies that arrive too slowly are looked for while others wait.
	recheckInterval = intake.StallTimeout / 5
)

// evictedBodiesTotal counts the bodies that were refused because others needed their memory.
var evictedBodiesTotal = metrics.NewCounter(`bergamotreel_caller_evicted_bodies_total`)

// heldBytes gives the bodies of requests their memory by an intake.Budget. It is safe for concurrent use. Without it a
// burst of large bodies exhausts the VM's memory, and the requests of all customers fail.
type heldBytes struct {
	mu     sync.Mutex
	budget *intake.Budget
	bodies map[*intake.Body]*heldBody
	// rechecking is whether a recheck is due.
	rechecking bool
}

// heldBody is the memory of one request's body.
type heldBody struct {
	held *heldBytes
	body *intake.Body
	// settled receives a value when a request for memory was granted or the body was evicted.
	settled chan struct{}
	// interrupt ends a pending read of the body.
	interrupt func()
}

func newHeldBytes(limit int64) *heldBytes {
	return &heldBytes{budget: intake.NewBudget(limit), bodies: map[*intake.Body]*heldBody{}}
}

// maxBody returns the largest body that can be held, in bytes.
func (h *heldBytes) maxBody() int64 { return h.budget.MaxBody() }

// begin adds the body of a request without memory. The caller must release it.
func (h *heldBytes) begin(owner string, interrupt func()) *heldBody {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := &heldBody{held: h, body: h.budget.Begin(owner, time.Now()), settled: make(chan struct{}, 1), interrupt: interrupt}
	h.bodies[b.body] = b
	return b
}

// update changes the budget and wakes the bodies that are concerned.
func (h *heldBytes) update(change func(*intake.Budget) intake.Decision) {
	h.mu.Lock()
	decision := change(h.budget)
	var evicted []*heldBody
	for _, body := range decision.Granted {
		h.bodies[body].settle()
	}
	for _, body := range decision.Evicted {
		evicted = append(evicted, h.bodies[body])
	}
	if h.budget.HasWaiting() && !h.rechecking {
		h.rechecking = true
		time.AfterFunc(recheckInterval, h.recheck)
	}
	h.mu.Unlock()
	for _, b := range evicted { // without the lock, as the interruption may take other ones
		evictedBodiesTotal.Inc()
		b.settle()
		b.interrupt()
	}
}

func (h *heldBytes) recheck() {
	h.update(func(budget *intake.Budget) intake.Decision {
		h.rechecking = false
		return budget.Recheck(time.Now())
	})
}

// settle wakes the goroutine that waits for memory, if any.
func (b *heldBody) settle() {
	select {
	case b.settled <- struct{}{}:
	default:
	}
}

// errMemoryFull is the refusal of a body for which there is no memory.
func errMemoryFull() error {
	return refusal.New(refusal.CodeQueueFull, shortRetryAfter, "too many bytes of requests are held")
}

// grow gets n more bytes of memory within the time, or returns a refusal. It returns ctx's error if that ends.
func (b *heldBody) grow(ctx context.Context, n int64, wait time.Duration) error {
	b.held.update(func(budget *intake.Budget) intake.Decision { return budget.Request(b.body, n, time.Now()) })
	select {
	case <-b.settled: // without a timer for most bodies
		return b.checkEvicted()
	default:
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-b.settled:
		return b.checkEvicted()
	case <-timeout.C:
		return errMemoryFull()
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *heldBody) checkEvicted() error {
	if b.isEvicted() {
		return errMemoryFull()
	}
	return nil
}

func (b *heldBody) isEvicted() bool {
	b.held.mu.Lock()
	defer b.held.mu.Unlock()
	return b.body.IsEvicted()
}

// receive records that n bytes have arrived.
func (b *heldBody) receive(n int) {
	b.held.mu.Lock()
	defer b.held.mu.Unlock()
	b.held.budget.Receive(b.body, int64(n), time.Now())
}

// complete records that the whole body has arrived and keeps n bytes, or returns a refusal if it was evicted before.
func (b *heldBody) complete(n int64) error {
	b.held.update(func(budget *intake.Budget) intake.Decision { return budget.Complete(b.body, n, time.Now()) })
	return b.checkEvicted()
}

// release gives the memory back. A nil body has none.
func (b *heldBody) release() {
	if b == nil {
		return
	}
	b.held.update(func(budget *intake.Budget) intake.Decision {
		delete(b.held.bodies, b.body)
		return budget.Release(b.body, time.Now())
	})
}
