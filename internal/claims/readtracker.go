package claims

import (
	"context"
	"sync"
	"time"

	"bergamotreel/platformlog"
)

// readTracker wraps a log and records, for the last successful read, when it
// started and where the log ended. From these it derives up to which time a
// table that has applied a given offset is complete.
type readTracker struct {
	platformlog.Log

	mu sync.Mutex
	// startedAt is when the last successful read started, zero before the
	// first. The end of the log at that time was not before logEnd. The start
	// is used and not the time of the answer: a process that is frozen between
	// the two would treat an outdated end as current.
	startedAt time.Time
	logEnd    platformlog.Offset
}

// Read implements platformlog.Log.
func (t *readTracker) Read(ctx context.Context, stream string, from platformlog.Offset, max int, wait time.Duration) (platformlog.Batch, error) {
	startedAt := time.Now()
	batch, err := t.Log.Read(ctx, stream, from, max, wait)
	if err == nil {
		t.mu.Lock()
		t.startedAt, t.logEnd = startedAt, batch.End
		t.mu.Unlock()
	}
	return batch, err
}

// completeUntil returns a time up to which a table that has applied the offset
// contains every record of the log. It returns false if no such time is known.
func (t *readTracker) completeUntil(applied platformlog.Offset) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.startedAt, !t.startedAt.IsZero() && applied >= t.logEnd
}
