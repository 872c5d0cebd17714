package streamversions

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// confirmInterval is the minimum time between two reads that confirm the list, so that streams that are taken
	// up together share one.
	confirmInterval = 100 * time.Millisecond
	// confirmTimeout bounds such a read. It goes on when nobody waits for it any more, as its changes are used.
	confirmTimeout = time.Second
)

var (
	listConfirmations       = metrics.NewCounter("bergamotreel_stream_list_confirmations_total")
	listConfirmationsFailed = metrics.NewCounter("bergamotreel_stream_list_confirmations_failed_total")
)

// confirmation confirms that this VM's list of backend servers is up to date. Callers that ask while a read is
// under way share the next one, as that one may have begun before a change. It is safe for concurrent use.
type confirmation struct {
	fleet Fleet

	mu sync.Mutex
	// next is the read that hasn't begun yet, nil if none is due. lastBegan is when the last one began.
	next      *listRead
	lastBegan time.Time
	// failing is whether the last read failed.
	failing bool
}

// listRead is a read of the list. ok is valid once done is closed.
type listRead struct {
	done chan struct{}
	ok   bool
}

func newConfirmation(fleet Fleet) *confirmation { return &confirmation{fleet: fleet} }

// await waits for a read of the list that begins after the call, until ctx ends. It reports whether the list has
// all that was written before the call.
func (c *confirmation) await(ctx context.Context) bool {
	read := c.join()
	select {
	case <-read.done:
		return read.ok
	case <-ctx.Done():
		return false
	}
}

// awaitForCaller is await for a caller whose stream was looked for since started. A registry that is slow keeps it
// waiting for longer than one that has stopped answering.
func (c *confirmation) awaitForCaller(ctx context.Context, started time.Time) bool {
	deadline := started.Add(FindTimeout)
	if !c.isFailing() {
		deadline = deadline.Add(confirmTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return c.await(ctx)
}

// isFailing reports whether the last read failed.
func (c *confirmation) isFailing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failing
}

// join returns the next read.
func (c *confirmation) join() *listRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &listRead{done: make(chan struct{})}
		go c.run(c.next, time.Until(c.lastBegan.Add(confirmInterval)))
	}
	return c.next
}

// run makes a read after a pause. Reads overlap while the registry is slow.
func (c *confirmation) run(read *listRead, pause time.Duration) {
	time.Sleep(pause)
	c.mu.Lock()
	c.next, c.lastBegan = nil, time.Now()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	listConfirmations.Inc()
	if read.ok = c.fleet.ConfirmList(ctx); !read.ok {
		listConfirmationsFailed.Inc()
	}
	c.mu.Lock()
	c.failing = !read.ok
	c.mu.Unlock()
	close(read.done)
}
