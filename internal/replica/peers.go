package replica

import (
	"bergamotreel/internal/chunks"
	"bergamotreel/platformlog"
)

// RecordsSince returns the records from the offset on for a peer that lags. Where they
// are no longer held, it returns a snapshot instead, or nothing if its own state
// may not be the agreed one.
func (r *Replica) RecordsSince(from platformlog.Offset) ([]platformlog.Record, [][]byte, error) {
	records, encode := r.since(from)
	if encode == nil {
		return records, nil, nil
	}
	parts, err := encode()
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	snapshot, err := r.encode(parts)
	return nil, snapshot, err
}

// since returns records, or the state captured for a snapshot.
func (r *Replica) since(from platformlog.Offset) ([]platformlog.Record, Encoder) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if records, held := r.ring.from(from, readMax); held && len(records) > 0 {
		return records, nil
	}
	if !r.following || r.config.StateMachine.Applied() < from {
		return nil, nil
	}
	return nil, r.config.StateMachine.Capture(r.config.Writer)
}

// IsBehind tells whether a peer that has folded up to the offset knows more.
func (r *Replica) IsBehind(applied platformlog.Offset) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.config.StateMachine.Applied() < applied
}

// ApplyPeerRecords takes what a peer sent for RecordsSince(Applied+1): the same records that the
// log would give, so a VM cut off from the log still follows, and one whose
// next records expired unread gets them from a peer that has read them.
func (r *Replica) ApplyPeerRecords(records []platformlog.Record, snapshot [][]byte) {
	r.mu.Lock()
	r.offerSnapshot(snapshot)
	if len(records) > 0 && !r.following && !r.suspect && records[0].Offset == r.config.StateMachine.Applied()+1 {
		r.follow()
	}
	r.takeRecords(records)
	r.mu.Unlock()
	r.changed()
}

// offerSnapshot takes a peer's snapshot where it is ahead. A marked one counts
// only in the log, where its place decides.
func (r *Replica) offerSnapshot(snapshot [][]byte) {
	var collector chunks.Collector
	for _, data := range snapshot {
		part := r.config.StateMachine.DecodePart(platformlog.Record{Data: data})
		if part == nil || part.Gap || !collector.Add(*part) {
			continue
		}
		if upTo := platformlog.Offset(part.UpTo); upTo > r.config.StateMachine.Applied() && r.usable(upTo) {
			r.restore(collector.Newest())
		}
	}
}
