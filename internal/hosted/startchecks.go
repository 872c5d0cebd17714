package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/routing/streamversion"
	"bergamotreel/service"
)

const (
	// startCheckTimeout bounds the query for the start of an engine.
	startCheckTimeout = 300 * time.Millisecond
	// startCheckGatherTime is how long a query waits for streams that can share it.
	startCheckGatherTime = 5 * time.Millisecond
)

var (
	startQueries       = metrics.NewCounter("bergamotreel_engine_start_queries_total")
	startQueriesFailed = metrics.NewCounter("bergamotreel_engine_start_queries_failed_total")
)

// startChecks asks engines whether they have started again since their software versions were listed. It is safe
// for concurrent use.
type startChecks struct {
	node *Node

	mu sync.Mutex
	// pending holds the queries that haven't begun yet, by engine.
	pending map[string]*startCheck
}

// startCheck is a query for an engine's start. start and answered are valid once done is closed.
type startCheck struct {
	done     chan struct{}
	start    int64
	answered bool
}

func newStartChecks(n *Node) *startChecks {
	return &startChecks{node: n, pending: make(map[string]*startCheck)}
}

// query returns the start that an engine reports after the call, false if it doesn't answer in time.
func (c *startChecks) query(ctx context.Context, target service.Target) (start int64, answered bool) {
	check := c.join(target)
	select {
	case <-check.done:
		return check.start, check.answered
	case <-ctx.Done():
		return 0, false
	}
}

// join returns a query that hasn't begun yet.
func (c *startChecks) join(target service.Target) *startCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.pending[target.ID]
	if check == nil {
		check = &startCheck{done: make(chan struct{})}
		c.pending[target.ID] = check
		go c.run(target, check)
	}
	return check
}

func (c *startChecks) run(target service.Target, check *startCheck) {
	defer close(check.done)
	time.Sleep(startCheckGatherTime)
	c.mu.Lock()
	delete(c.pending, target.ID)
	c.mu.Unlock()
	before, _ := c.node.backends.get(target.ID)
	ctx, cancel := context.WithTimeout(context.Background(), startCheckTimeout)
	defer cancel()
	startQueries.Inc()
	start, err := c.ask(ctx, target)
	if err != nil {
		startQueriesFailed.Inc()
		return
	}
	check.start, check.answered = start, true
	if start == before.start {
		c.node.backends.clearStartDoubts(target.ID, before.start, before.startDoubts)
		return
	}
	crashFleet{c.node}.RecordStart(target.ID, start)
}

// ask asks an engine for its start.
func (c *startChecks) ask(ctx context.Context, target service.Target) (int64, error) {
	if starts := c.node.config.Peers.Starts; starts != nil {
		return starts.Start(ctx, target)
	}
	status, err := c.node.config.Peers.Engines.Status(ctx, target.Address)
	return status.Started, err
}

// DoubtStart implements serving.ForwardDirectory.
func (n *Node) DoubtStart(target service.Target) { n.backends.doubtStart(target.ID, target.Started) }

// IsStartDoubtful implements serving.ForwardDirectory.
func (n *Node) IsStartDoubtful(target service.Target) bool {
	b, listed := n.backends.get(target.ID)
	return listed && b.IsEngine && (b.start != target.Started || b.startDoubts != b.startDoubtsCleared)
}

// VerifyStart implements serving.ForwardDirectory. Only engines report their start.
func (n *Node) VerifyStart(ctx context.Context, target service.Target) bool {
	b, listed := n.backends.get(target.ID)
	if !listed || b.start != target.Started {
		return false
	}
	if !b.IsEngine {
		return true
	}
	start, answered := n.startChecks.query(ctx, target)
	return answered && start == target.Started
}

// softwareVersion returns the software version of the newest known instance. The entry names that of the
// instance that wrote it.
func (b *backend) softwareVersion() string {
	if b.start == b.Started || b.Version == "" {
		return b.Version
	}
	return streamversion.UnlistedVersion(b.ID, b.start)
}

// doubtStart records a sign that an instance may have ended.
func (t *backendTable) doubtStart(id string, start int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.entries[id]; b != nil && b.start == start {
		b.startDoubts++
	}
}

// clearStartDoubts records that an instance was found to run after the first signs that it may have ended.
func (t *backendTable) clearStartDoubts(id string, start int64, doubts uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.entries[id]; b != nil && b.start == start {
		b.startDoubtsCleared, b.onlyListed = max(b.startDoubtsCleared, doubts), false
	}
}

// recordUnlistedVersion records that a stream of the service began at a version that isn't listed.
func (t *backendTable) recordUnlistedVersion(now time.Time, service, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versionHistory.RecordBegin(now, service, version)
}

// resolveVersion returns the listed version of the start that an unlisted one is named after, and any other version
// unchanged.
func (t *backendTable) resolveVersion(service, version string) string {
	if !streamversion.IsUnlisted(version) {
		return version
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.entriesOf(service) {
		if b.start == b.Started && streamversion.UnlistedVersion(b.ID, b.start) == version {
			return b.Version
		}
	}
	return version
}
