package claims

import (
	"context"
	"sync"
	"time"

	"bergamotreel/platformlog"
)

// readWatch notes of each read how far the log went when the read began. So it
// is known up to which moment a table that has folded so far is complete.
type readTracker struct {
	platformlog.Log

	mu sync.Mutex
	// begun is when the newest read that succeeded was begun, zero before the
	// first. The log's end was not before end then. It is the time of the
	// beginning and not of the answer: a process that is frozen between the two
	// would take old news for new.
	startedAt time.Time
	logEnd    platformlog.Offset
}

// Read implements platformlog.Log.
func (w *readTracker) Read(ctx context.Context, stream string, from platformlog.Offset, max int, wait time.Duration) (platformlog.Batch, error) {
	startedAt := time.Now()
	batch, err := w.Log.Read(ctx, stream, from, max, wait)
	if err == nil {
		w.mu.Lock()
		w.startedAt, w.logEnd = startedAt, batch.End
		w.mu.Unlock()
	}
	return batch, err
}

// completeAt returns a moment up to which a table that has folded the offset
// holds every record of the log; false if there is none.
func (w *readTracker) completeUntil(applied platformlog.Offset) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startedAt, !w.startedAt.IsZero() && applied >= w.logEnd
}
