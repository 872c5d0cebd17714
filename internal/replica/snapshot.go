package replica

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotreel/internal/chunks"
	"bergamotreel/internal/pause"
	"bergamotreel/platformlog"
)

const (
	// snapshotCheckInterval is the interval of checks for a due snapshot.
	snapshotCheckInterval = 2 * time.Second
	// minWriteInterval is the shortest time between two snapshots of one VM. It bounds
	// the rate if a snapshot does not show up in the stream because it is incomplete or
	// the answers to its appends were lost.
	minWriteInterval = 10 * time.Second
	// standbyDelay is how long the other VMs leave the answer to a candidate to the
	// snapshot writer. Two such delays fit into confirmationDelay.
	standbyDelay = 4 * time.Second
	// appendTimeout bounds the append of one part.
	appendTimeout = 5 * time.Second
)

// snapshotState is what a replica knows of the snapshots in the log. Replica.mu guards
// it.
type snapshotState struct {
	// upTo is the newest record known to be covered by a complete snapshot.
	upTo platformlog.Offset
	// appendedAt is when the newest snapshot was appended, by the log's clock. Before
	// the first snapshot it is the time of the first record seen.
	appendedAt time.Time
	// lastRecordTime is the log's time of the newest record; lastRecordSeenAt is when
	// this VM saw it, by its own clock. The age of a snapshot is measured by the log's
	// clock because that outlives this process: by their own clocks, VMs that are
	// replaced often would never find a snapshot due.
	lastRecordTime, lastRecordSeenAt time.Time
	// lastWriteAt is when this VM last captured or wrote a snapshot, by its own clock.
	lastWriteAt time.Time
	// written counts the snapshots that this VM appended completely since its start.
	written uint64
}

// SnapshotsWritten returns how many snapshots this VM wrote since its start.
func (r *Replica) SnapshotsWritten() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.snapshots.written
}

func (s *snapshotState) recordSeen(record platformlog.Record) {
	if s.appendedAt.IsZero() {
		s.appendedAt = record.Time
	}
	s.lastRecordTime, s.lastRecordSeenAt = record.Time, time.Now()
}

func (s *snapshotState) recordSnapshot(record platformlog.Record, upTo platformlog.Offset) {
	s.upTo = max(s.upTo, upTo)
	s.appendedAt = record.Time
}

// age returns the age of the newest snapshot, by the log's clock.
func (s *snapshotState) age(now time.Time) time.Duration {
	return s.lastRecordTime.Sub(s.appendedAt) + now.Sub(s.lastRecordSeenAt)
}

// WriteSnapshots appends a snapshot whenever one is due, until ctx ends.
func (r *Replica) WriteSnapshots(ctx context.Context) {
	pause.Every(ctx, snapshotCheckInterval, func(ctx context.Context) {
		r.appendSnapshot(ctx, r.encodeDueSnapshot(time.Now()))
	})
}

// encodeDueSnapshot encodes the snapshot that this VM should append now, or returns
// nil. Records that arrive during the encoding are treated like records that arrive
// during the append.
func (r *Replica) encodeDueSnapshot(now time.Time) [][]byte {
	encode := r.captureDueSnapshot(now)
	if encode == nil {
		return nil
	}
	parts, err := encode()
	if err != nil {
		r.config.Logger.Error("snapshot not encoded", zap.String("stream", r.config.Stream), zap.Error(err))
		return nil
	}
	records, err := r.encodeParts(parts)
	if err != nil {
		r.config.Logger.Error("snapshot not encoded", zap.String("stream", r.config.Stream), zap.Error(err))
		return nil
	}
	return records
}

// captureDueSnapshot captures the state for the snapshot that this VM should append
// now, or returns nil.
func (r *Replica) captureDueSnapshot(now time.Time) Encoder {
	isWriter := r.config.WritesSnapshots()
	r.mu.Lock()
	defer r.mu.Unlock()
	var encode Encoder
	switch {
	case !r.following:
		encode = r.nextRecoverySnapshot(now, isWriter)
	case r.isSnapshotDue(now, isWriter):
		encode = r.config.StateMachine.Capture(r.config.Writer)
	}
	if encode != nil {
		r.snapshots.lastWriteAt = now
	}
	return encode
}

// isSnapshotDue reports whether to write a complete snapshot now. An idle stream needs
// snapshots too: otherwise its newest one expires and new VMs find no state.
func (r *Replica) isSnapshotDue(now time.Time, isWriter bool) bool {
	applied := r.config.StateMachine.Applied()
	if applied == 0 {
		return false
	}
	if r.recovery.snapshotNeededFor != 0 && (isWriter || now.Sub(r.recovery.snapshotNeededSince) >= standbyDelay) {
		return now.Sub(r.snapshots.lastWriteAt) >= standbyDelay
	}
	if now.Sub(r.snapshots.lastWriteAt) < minWriteInterval {
		return false
	}
	maxAge, maxRecords := r.config.SnapshotMaxAge, r.config.SnapshotEvery
	if !isWriter {
		// The snapshot writer may be live to its peers but unable to reach the log.
		// Then the other VMs write the snapshot a little later.
		maxAge, maxRecords = maxAge*5/4, maxRecords*5/4
	}
	return r.snapshots.age(now) > maxAge || uint64(applied-r.snapshots.upTo) > uint64(maxRecords)
}

func (r *Replica) encodeParts(parts []chunks.Chunk) ([][]byte, error) {
	records := make([][]byte, len(parts))
	for i, part := range parts {
		data, err := r.config.StateMachine.EncodePart(part)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		records[i] = data
	}
	return records, nil
}

func (r *Replica) appendSnapshot(ctx context.Context, records [][]byte) {
	for _, data := range records {
		if err := r.appendPart(ctx, data); err != nil {
			r.config.Logger.Warn("snapshot not written", zap.String("stream", r.config.Stream), zap.Error(err))
			return
		}
	}
	if len(records) > 0 {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.snapshots.written++
		// If the encoding took long, the next check comes before the parts have been
		// read from the stream.
		r.snapshots.lastWriteAt = time.Now()
	}
}

func (r *Replica) appendPart(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := r.config.Log.Append(ctx, r.config.Stream, data)
	return err
}
