package replica

import (
	"bergamotreel/internal/chunks"
	"bergamotreel/platformlog"
)

// A replica without any state does not read the stream from its oldest record
// kept: it begins a span before the end, where the newest whole snapshot should
// be, and looks further back where there is none.
//
// Beginning at an offset is as if all records before it had expired, which a
// reader must bear anyway: what it meets from there on is without a hole, usable
// takes no snapshot that leaves out a record before the first one met, and a
// ruling whose bid it has not met it doubts. Looking further back forgets all
// that was met: a later snapshot, known before an earlier ruling is read, would
// have the ruling passed over.

const (
	// startSnapshots is how many snapshots should fit into the first span: the
	// newest one may still be on its way into the log.
	startSnapshots = 2
	// startFactor is by how much the span grows where it holds no snapshot.
	startFactor = 4
)

// startWatch is where a replica without a state reads; Replica.mu guards it.
type startWatch struct {
	// span is how many records before the end it began at last, 0 before the log
	// first answered.
	span platformlog.Offset
	// first is where it began.
	first platformlog.Offset
}

// searching tells whether the replica looks for its first state. Call with mu held.
func (r *Replica) searching() bool {
	return !r.following && r.config.StateMachine.Applied() == 0
}

// skipAhead moves the reading to the first span before the end, by the log's first
// answer. It tells whether it did: the batch is then of no use.
func (r *Replica) skipAhead(batch platformlog.Batch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.searching() || r.start.span != 0 {
		return false
	}
	r.start.span = platformlog.Offset(r.config.InitialSearchSpan)
	r.start.first = r.start.before(batch)
	if r.start.first == batch.Earliest {
		return false
	}
	r.beginAt(r.start.first)
	return true
}

// lookBack moves the reading further back where all records up to the end held no
// usable snapshot.
func (r *Replica) lookBack(batch platformlog.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.searching() || batch.Next <= batch.End || r.start.first <= batch.Earliest {
		return
	}
	r.start.span *= startFactor
	r.start.first = r.start.before(batch)
	r.beginAt(r.start.first)
}

// before is the offset a span before the stream's end.
func (w startWatch) before(batch platformlog.Batch) platformlog.Offset {
	if batch.End < batch.Earliest+w.span {
		return batch.Earliest
	}
	return batch.End - w.span
}

// beginAt forgets all that was met and reads from the offset on.
func (r *Replica) beginAt(from platformlog.Offset) {
	r.from = from
	r.pending = nil
	r.ring = ring{}
	r.collector = chunks.Collector{}
	r.rulings = rulingWatch{}
	r.snapshots = snapshotWatch{wroteAt: r.snapshots.wroteAt, written: r.snapshots.written}
}
