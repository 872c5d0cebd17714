package claims

import (
	"context"
	"sync"
	"time"

	"bergamotreel/platformlog"
)

// readWatch notes of each read how far the log went when the read began. So it
// is known up to which moment a table that has folded so far is complete.
type readWatch struct {
	platformlog.Log

	mu sync.Mutex
	// begun is when the newest read that succeeded was begun, zero before the
	// first. The log's end was not before end then. It is the time of the
	// beginning and not of the answer: a process that is frozen between the two
	// would take old news for new.
	begun time.Time
	end   platformlog.Offset
}

// Read implements platformlog.Log.
func (w *readWatch) Read(ctx context.Context, stream string, from platformlog.Offset, max int, wait time.Duration) (platformlog.Batch, error) {
	begun := time.Now()
	batch, err := w.Log.Read(ctx, stream, from, max, wait)
	if err == nil {
		w.mu.Lock()
		w.begun, w.end = begun, batch.End
		w.mu.Unlock()
	}
	return batch, err
}

// completeAt returns a moment up to which a table that has folded the offset
// holds every record of the log; false if there is none.
func (w *readWatch) completeAt(applied platformlog.Offset) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.begun, !w.begun.IsZero() && applied >= w.end
}
