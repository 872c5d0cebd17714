package replica

import (
	"time"

	"go.uber.org/zap"

	"bergamotreel/internal/chunks"
	"bergamotreel/platformlog"
)

// processBatch processes a batch of records from the log.
func (r *Replica) processBatch(batch platformlog.Batch) {
	r.mu.Lock()
	if !r.following && r.nextNeeded() <= 1 && batch.Earliest <= 1 && r.config.StateMachine.Applied() == 0 {
		// The whole stream is still in the log, so no snapshot is needed.
		r.startFollowing()
	}
	r.processRecords(batch.Records)
	r.mu.Unlock()
	if len(batch.Records) > 0 {
		r.notifyChange()
	}
}

func (r *Replica) notifyChange() {
	r.mu.Lock()
	close(r.changes)
	r.changes = make(chan struct{})
	r.mu.Unlock()
	r.onChangeMu.Lock()
	defer r.onChangeMu.Unlock()
	r.config.OnChange()
}

// processRecords processes consecutive records from the log or from a peer. If they
// begin after the next record needed (the state was replaced while they were in
// flight), it processes none of them: the records in between would never follow.
func (r *Replica) processRecords(records []platformlog.Record) {
	for _, record := range records {
		next := r.nextNeeded()
		if record.Offset > next {
			return
		}
		if record.Offset == next {
			r.processRecord(record)
		}
	}
}

// processRecord applies the next record, or buffers it until there is a state to
// apply it to.
func (r *Replica) processRecord(record platformlog.Record) {
	r.ring.add(record)
	r.snapshots.recordSeen(record)
	if r.following {
		r.config.StateMachine.Apply(record)
	} else {
		r.addPending(record)
	}
	if part := r.config.StateMachine.DecodePart(record); part != nil {
		r.processPart(record, *part)
	}
}

func (r *Replica) addPending(record platformlog.Record) {
	if len(r.pending) >= maxPending {
		r.pending = append([]platformlog.Record(nil), r.pending[maxPending/2:]...)
	}
	r.pending = append(r.pending, record)
}

// processPart processes a snapshot part read from the log.
func (r *Replica) processPart(record platformlog.Record, part chunks.Chunk) {
	if part.Confirms != 0 {
		r.recovery.lastConfirmationPart = record.Offset
	}
	if !r.collector.Add(part) {
		return
	}
	parts := r.collector.RemoveNewest()
	switch {
	case !part.Gap:
		r.processSnapshot(record, parts)
	case part.Confirms == 0:
		r.recordCandidate(record, part)
	default:
		r.processConfirmation(record, parts)
	}
}

// processSnapshot processes a complete snapshot of the agreed state read from the log.
func (r *Replica) processSnapshot(record platformlog.Record, parts []chunks.Chunk) {
	upTo := platformlog.Offset(parts[0].UpTo)
	r.snapshots.recordSnapshot(record, upTo)
	r.recovery.recordSnapshot(upTo)
	if !r.following && r.canRestore(upTo) {
		r.restore(parts)
	}
}

// canRestore reports whether a snapshot of the agreed state may replace the state.
//
// It must not be older than the current state. It must reach the first pending
// record: otherwise it would hide the lost records in between, and an accepted
// configuration could revert. And it must not be older than a confirmation, which may
// have replaced the state that the snapshot holds.
func (r *Replica) canRestore(upTo platformlog.Offset) bool {
	if upTo < r.config.StateMachine.Applied() || upTo < r.recovery.lastConfirmationPart {
		return false
	}
	return len(r.pending) == 0 || upTo+1 >= r.pending[0].Offset
}

// restore replaces the state by the snapshot and applies the pending records.
func (r *Replica) restore(parts []chunks.Chunk) {
	if err := r.config.StateMachine.Restore(parts); err != nil {
		r.config.Logger.Warn("snapshot not usable", zap.String("stream", r.config.Stream), zap.Error(err))
		return
	}
	r.snapshots.upTo = max(r.snapshots.upTo, platformlog.Offset(parts[0].UpTo))
	pending := r.pending
	r.startFollowing()
	for _, record := range pending {
		r.config.StateMachine.Apply(record)
	}
}

func (r *Replica) startFollowing() {
	r.following = true
	r.suspect = false
	r.pending = nil
	r.readyOnce.Do(func() { close(r.ready) })
}

// skipExpired handles records that expired before this replica read them. It keeps the
// current state, if any, continues to read at the oldest record in the log, applies no
// records across the gap, and waits for peers, a snapshot or a confirmation.
func (r *Replica) skipExpired(batch platformlog.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.nextNeeded() >= batch.Earliest {
		return // a peer delivered the records while the read was in flight
	}
	if r.following {
		r.config.Logger.Warn("records expired unread",
			zap.String("stream", r.config.Stream), zap.Uint64("earliest", uint64(batch.Earliest)))
		r.stopFollowing()
	}
	r.pending = nil
	r.readFrom = batch.Earliest
}

func (r *Replica) stopFollowing() {
	r.following = false
	r.stoppedFollowingAt = time.Now()
	r.readFrom = r.config.StateMachine.Applied() + 1
}
