package replica

import (
	"bergamotreel/platformlog"
)

// Since returns the records from the offset on for a peer that lags. Where they
// are no longer held, it returns a snapshot instead.
func (r *Replica) Since(from platformlog.Offset) ([]platformlog.Record, [][]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.config.Fold.Applied() < from {
		return nil, nil, nil
	}
	if records, held := r.ring.from(from, readMax); held {
		return records, nil, nil
	}
	snapshot, err := r.config.Fold.Snapshot(r.config.Writer, !r.following)
	return nil, snapshot, Error.Wrap(err)
}

// Lags tells whether a peer that has folded up to the offset knows more.
func (r *Replica) Lags(applied platformlog.Offset) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.config.Fold.Applied() < applied
}

// Offer takes what a peer sent for Since(Applied+1): the same records that the
// log would give, so a VM cut off from the log still follows.
func (r *Replica) Offer(records []platformlog.Record, snapshot [][]byte) {
	r.mu.Lock()
	for _, data := range snapshot {
		r.offerSnapshot(data)
	}
	if r.following {
		for _, record := range records {
			r.fold(record)
		}
	}
	r.mu.Unlock()
	r.config.Changed()
}

// offerSnapshot takes a peer's snapshot where it is ahead. A marked one is left
// to the log: which of several counts is decided by their order there.
func (r *Replica) offerSnapshot(data []byte) {
	snapshot, whole := r.config.Fold.Collect(platformlog.Record{Data: data})
	if !whole || snapshot.Gap {
		return
	}
	if snapshot.UpTo <= r.config.Fold.Applied() {
		return
	}
	if len(r.pending) > 0 && snapshot.UpTo+1 < r.pending[0].Offset {
		return
	}
	r.restore(snapshot)
}
