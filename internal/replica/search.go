package replica

import (
	"bergamotreel/internal/chunks"
	"bergamotreel/platformlog"
)

// A replica without a state does not read the stream from the oldest record in the
// log. It starts a span before the end, where the newest complete snapshot should be,
// and goes further back if there is none.
//
// Starting at an offset is equivalent to the loss of all earlier records by expiry,
// which a reader must handle anyway: the records from there on are consecutive,
// canRestore rejects a snapshot that leaves out a record before the first one seen, and
// the replica does not apply a confirmation whose candidate it has not seen. Going
// further back discards everything seen so far. Otherwise a snapshot found later in the
// log would count as an answer to the candidate, and the replica would wrongly ignore a
// valid confirmation.

const (
	// initialSpanSnapshots is how many snapshot intervals the initial span covers:
	// the newest snapshot may still be in flight to the log.
	initialSpanSnapshots = 2
	// spanGrowthFactor is the factor by which the span grows if it holds no snapshot.
	spanGrowthFactor = 4
)

// snapshotSearch is where a replica without a state reads. Replica.mu guards it.
type snapshotSearch struct {
	// span is how many records before the end the current search started, 0 before
	// the log first answered.
	span platformlog.Offset
	// startOffset is the offset at which the current search started.
	startOffset platformlog.Offset
}

// isSearching reports whether the replica still searches for its first state. The
// caller holds mu.
func (r *Replica) isSearching() bool {
	return !r.following && r.config.StateMachine.Applied() == 0
}

// skipToInitialSpan moves the read position to the initial span before the end when
// the log first answers. It reports whether it moved; then the batch must be discarded.
func (r *Replica) skipToInitialSpan(batch platformlog.Batch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isSearching() || r.search.span != 0 {
		return false
	}
	r.search.span = platformlog.Offset(r.config.InitialSearchSpan)
	r.search.startOffset = r.search.spanStart(batch)
	if r.search.startOffset == batch.Earliest {
		return false
	}
	r.restartReadingAt(r.search.startOffset)
	return true
}

// extendSearch moves the read position further back if all records up to the end held
// no usable snapshot.
func (r *Replica) extendSearch(batch platformlog.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isSearching() || batch.Next <= batch.End || r.search.startOffset <= batch.Earliest {
		return
	}
	r.search.span *= spanGrowthFactor
	r.search.startOffset = r.search.spanStart(batch)
	r.restartReadingAt(r.search.startOffset)
}

// spanStart returns the offset one span before the end of the stream.
func (s snapshotSearch) spanStart(batch platformlog.Batch) platformlog.Offset {
	if batch.End < batch.Earliest+s.span {
		return batch.Earliest
	}
	return batch.End - s.span
}

// restartReadingAt discards everything seen so far and reads from the offset on.
func (r *Replica) restartReadingAt(from platformlog.Offset) {
	r.readFrom = from
	r.pending = nil
	r.ring = ring{}
	r.collector = chunks.Collector{}
	r.recovery = recoveryState{}
	r.snapshots = snapshotState{lastWriteAt: r.snapshots.lastWriteAt, written: r.snapshots.written}
}
