package replica

import (
	"bergamotreel/internal/chunks"
	"bergamotreel/platformlog"
)

// RecordsSince returns the records from the offset on, for a peer that is behind.
// If they are no longer buffered it returns a snapshot, or nothing if this replica's
// own state may not be the agreed one.
func (r *Replica) RecordsSince(from platformlog.Offset) ([]platformlog.Record, [][]byte, error) {
	records, encode := r.recordsOrCapture(from)
	if encode == nil {
		return records, nil, nil
	}
	parts, err := encode()
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	snapshot, err := r.encodeParts(parts)
	return nil, snapshot, err
}

// recordsOrCapture returns the buffered records from the offset on, or else the
// state captured for a snapshot.
func (r *Replica) recordsOrCapture(from platformlog.Offset) ([]platformlog.Record, Encoder) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if records, isBuffered := r.ring.recordsFrom(from, maxReadRecords); isBuffered && len(records) > 0 {
		return records, nil
	}
	if !r.following || r.config.StateMachine.Applied() < from {
		return nil, nil
	}
	return nil, r.config.StateMachine.Capture(r.config.Writer)
}

// IsBehind reports whether a peer that has applied records up to the offset is
// ahead of this replica.
func (r *Replica) IsBehind(applied platformlog.Offset) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.config.StateMachine.Applied() < applied
}

// ApplyPeerRecords applies a peer's answer to RecordsSince(Applied+1). The records
// are those that the log would return, so a VM without a connection to the log still
// follows the stream, and a VM whose next records expired before it read them gets
// them from a peer that did read them.
func (r *Replica) ApplyPeerRecords(records []platformlog.Record, snapshot [][]byte) {
	r.mu.Lock()
	r.applyPeerSnapshot(snapshot)
	if len(records) > 0 && !r.following && !r.suspect && records[0].Offset == r.config.StateMachine.Applied()+1 {
		r.startFollowing()
	}
	r.processRecords(records)
	r.mu.Unlock()
	r.notifyChange()
}

// applyPeerSnapshot restores a peer's snapshot if it is ahead of this replica. It
// ignores recovery snapshots: whether one is valid depends on its position in the log.
func (r *Replica) applyPeerSnapshot(snapshot [][]byte) {
	var collector chunks.Collector
	for _, data := range snapshot {
		part := r.config.StateMachine.DecodePart(platformlog.Record{Data: data})
		if part == nil || part.Gap || !collector.Add(*part) {
			continue
		}
		if upTo := platformlog.Offset(part.UpTo); upTo > r.config.StateMachine.Applied() && r.canRestore(upTo) {
			r.restore(collector.Newest())
		}
	}
}
