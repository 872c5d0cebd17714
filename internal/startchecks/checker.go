package startchecks

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/service"
)

const (
	// queryTimeout bounds the query for the start of an engine.
	queryTimeout = 300 * time.Millisecond
	// gatherTime is how long a query waits for streams that can share it.
	gatherTime = 5 * time.Millisecond
)

var (
	queries       = metrics.NewCounter("bergamotreel_engine_start_queries_total")
	queriesFailed = metrics.NewCounter("bergamotreel_engine_start_queries_failed_total")
)

// Config holds a Checker's dependencies.
type Config struct {
	// Ask returns the start that an engine reports, 0 if it reports none.
	Ask func(ctx context.Context, target service.Target) (int64, error)
	// RecordStart is called with each start that an engine reported.
	RecordStart func(engine string, start int64)
}

// Checker asks engines for their starts. Streams at one engine share a query. It is safe for concurrent use.
type Checker struct {
	config Config

	mu    sync.Mutex
	table *Table
	// pending holds the queries that haven't begun yet, by engine.
	pending map[string]*query
}

// query is a query for an engine's start. start and answered are valid once done is closed.
type query struct {
	done     chan struct{}
	start    int64
	answered bool
}

// New returns a checker.
func New(config Config) *Checker {
	return &Checker{config: config, table: NewTable(), pending: make(map[string]*query)}
}

// Doubt records a sign that a target may have started again.
func (c *Checker) Doubt(target service.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Doubt(time.Now(), target)
}

// IsConfirmed is Table.IsConfirmed.
func (c *Checker) IsConfirmed(target service.Target, answeredAt time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.IsConfirmed(time.Now(), target, answeredAt)
}

// Verify asks the target for its start. It returns false if that is another one, or unknown.
func (c *Checker) Verify(ctx context.Context, target service.Target) bool {
	q := c.join(target)
	select {
	case <-q.done:
		return q.answered && q.start == target.Started
	case <-ctx.Done():
		return false
	}
}

// join returns a query that hasn't begun yet.
func (c *Checker) join(target service.Target) *query {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.pending[target.ID]
	if q == nil {
		q = &query{done: make(chan struct{})}
		c.pending[target.ID] = q
		go c.run(target, q)
	}
	return q
}

func (c *Checker) run(target service.Target, q *query) {
	defer close(q.done)
	time.Sleep(gatherTime)
	c.mu.Lock()
	delete(c.pending, target.ID)
	c.mu.Unlock()
	askedAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	queries.Inc()
	start, err := c.config.Ask(ctx, target)
	if err != nil {
		queriesFailed.Inc()
		return
	}
	q.start, q.answered = start, true
	c.config.RecordStart(target.ID, start)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Confirm(askedAt, target.ID, start)
}
