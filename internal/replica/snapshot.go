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
	// snapshotCheck is how often a due snapshot is looked for.
	snapshotCheck = 2 * time.Second
	// writePause is the least time between two snapshots of one VM: one that is
	// not met in the stream (torn, or its answers lost) must not start a storm.
	writePause = 10 * time.Second
	// answerWait is how long those that were not chosen leave the answer to a bid
	// to the chosen one; two of them fit into confirmWait.
	answerWait = 4 * time.Second
	// appendTimeout bounds the append of one part.
	appendTimeout = 5 * time.Second
)

// snapshotWatch is what a replica knows of the snapshots in the log;
// Replica.mu guards it.
type snapshotWatch struct {
	// upTo is the newest record that a whole snapshot is known to hold.
	upTo platformlog.Offset
	// at is when the newest one landed, by the log's clock; before the first
	// one, when the first record met did.
	at time.Time
	// newest is the log's time of the newest record and metAt the own time when
	// it was met. Only the log's clock outlives this process: counted by its own
	// clock, VMs that are replaced often would never find a snapshot due.
	newest, metAt time.Time
	// wroteAt is when this VM last captured or wrote one, by its own clock.
	wroteAt time.Time
	// written counts those that this VM appended whole since its start.
	written uint64
}

// SnapshotsWritten counts the snapshots that this VM wrote since its start.
func (r *Replica) SnapshotsWritten() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.snapshots.written
}

func (w *snapshotWatch) saw(record platformlog.Record) {
	if w.at.IsZero() {
		w.at = record.Time
	}
	w.newest, w.metAt = record.Time, time.Now()
}

func (w *snapshotWatch) landed(record platformlog.Record, upTo platformlog.Offset) {
	w.upTo = max(w.upTo, upTo)
	w.at = record.Time
}

// age is how old the newest snapshot is, by the log's clock.
func (w *snapshotWatch) age(now time.Time) time.Duration {
	return w.newest.Sub(w.at) + now.Sub(w.metAt)
}

// WriteSnapshots appends a snapshot whenever one is due, until ctx ends.
func (r *Replica) WriteSnapshots(ctx context.Context) {
	pause.Every(ctx, snapshotCheck, func(ctx context.Context) {
		r.append(ctx, r.dueSnapshot(time.Now()))
	})
}

// dueSnapshot encodes what this VM should append now, nil for nothing. What the
// stream brings while it encodes is as if it came during the append.
func (r *Replica) dueSnapshot(now time.Time) [][]byte {
	encode := r.captureDue(now)
	if encode == nil {
		return nil
	}
	parts, err := encode()
	if err != nil {
		r.config.Logger.Error("snapshot not encoded", zap.String("stream", r.config.Stream), zap.Error(err))
		return nil
	}
	records, err := r.encode(parts)
	if err != nil {
		r.config.Logger.Error("snapshot not encoded", zap.String("stream", r.config.Stream), zap.Error(err))
		return nil
	}
	return records
}

// captureDue captures the state for what this VM should append now, if anything.
func (r *Replica) captureDue(now time.Time) Encoder {
	chosen := r.config.WritesSnapshots()
	r.mu.Lock()
	defer r.mu.Unlock()
	var encode Encoder
	switch {
	case !r.following:
		encode = r.nextClaim(now, chosen)
	case r.due(now, chosen):
		encode = r.config.StateMachine.Capture(r.config.Writer)
	}
	if encode != nil {
		r.snapshots.wroteAt = now
	}
	return encode
}

// due tells whether to write a whole snapshot now. An idle stream gets one too:
// else its newest one expires, and no new VM finds a state.
func (r *Replica) due(now time.Time, chosen bool) bool {
	applied := r.config.StateMachine.Applied()
	if applied == 0 {
		return false
	}
	if r.rulings.owed != 0 && (chosen || now.Sub(r.rulings.owedAt) >= answerWait) {
		return now.Sub(r.snapshots.wroteAt) >= answerWait
	}
	if now.Sub(r.snapshots.wroteAt) < writePause {
		return false
	}
	maxAge, every := r.config.SnapshotMaxAge, r.config.SnapshotEvery
	if !chosen {
		// The chosen one may be heard by all and yet be cut off from the log.
		maxAge, every = maxAge*5/4, every*5/4
	}
	return r.snapshots.age(now) > maxAge || uint64(applied-r.snapshots.upTo) > uint64(every)
}

func (r *Replica) encode(parts []chunks.Chunk) ([][]byte, error) {
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

func (r *Replica) append(ctx context.Context, records [][]byte) {
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
		// After a long encoding the next look comes before the parts are met.
		r.snapshots.wroteAt = time.Now()
	}
}

func (r *Replica) appendPart(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := r.config.Log.Append(ctx, r.config.Stream, data)
	return err
}
