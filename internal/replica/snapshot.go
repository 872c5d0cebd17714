package replica

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// gapWait is how long a VM that lost records waits for somebody who did not
	// before it offers its own state. Peers answer within a second.
	gapWait = 10 * time.Second
	// appendTimeout bounds the append of one part.
	appendTimeout = 5 * time.Second
)

// WriteSnapshots appends a snapshot whenever one is due, until ctx ends.
func (r *Replica) WriteSnapshots(ctx context.Context) {
	ticker := time.NewTicker(snapshotCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if records := r.dueSnapshot(time.Now()); records != nil {
			r.append(ctx, records)
		}
	}
}

// dueSnapshot encodes a snapshot if this VM should write one now.
func (r *Replica) dueSnapshot(now time.Time) [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.due(now) || !r.config.WritesSnapshots() {
		return nil
	}
	records, err := r.config.Fold.Snapshot(r.config.Writer, !r.following)
	if err != nil {
		r.config.Logger.Error("snapshot not encoded", zap.String("stream", r.config.Stream), zap.Error(err))
		return nil
	}
	// A lost answer must not start a storm of snapshots.
	r.snapshotTime = now
	return records
}

func (r *Replica) due(now time.Time) bool {
	applied := r.config.Fold.Applied()
	if applied == 0 {
		return false
	}
	if !r.following {
		return now.Sub(r.lostAt) > gapWait && now.Sub(r.snapshotTime) > gapWait
	}
	if applied == r.snapshotUpTo {
		return false
	}
	if now.Sub(r.snapshotTime) > r.config.SnapshotMaxAge {
		return true
	}
	return uint64(applied-r.snapshotUpTo) > uint64(r.config.SnapshotEvery) && now.Sub(r.snapshotTime) > gapWait
}

func (r *Replica) append(ctx context.Context, records [][]byte) {
	for _, data := range records {
		if err := r.appendPart(ctx, data); err != nil {
			r.config.Logger.Warn("snapshot not written", zap.String("stream", r.config.Stream), zap.Error(err))
			return
		}
	}
}

func (r *Replica) appendPart(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := r.config.Log.Append(ctx, r.config.Stream, data)
	return err
}

// Caught tells whether the fold has reached the newest record that the log is
// known to have.
func (r *Replica) Caught() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.following && r.config.Fold.Applied() >= r.end
}
