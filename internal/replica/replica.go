// Package replica keeps a fold of one stream of the platform's log up to date:
// from the log itself, from other entry VMs while the log is out of reach, and
// from a snapshot at the start. It also writes snapshots before the records
// under them expire.
package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"bergamotreel/platformlog"
)

// Error is the class of all errors of this package.
var Error = errs.Class("replica")

// Fold is a deterministic state that is folded from one stream. A Replica calls
// it under its own lock, from one goroutine at a time.
type Fold interface {
	// Apply folds a record. Records at or below Applied have no effect.
	Apply(platformlog.Record)
	// Applied is the offset of the newest record folded.
	Applied() platformlog.Offset
	// Collect looks for parts of snapshots. Once a record completes one it
	// returns that snapshot.
	Collect(platformlog.Record) (Snapshot, bool)
	// Restore takes a collected snapshot as the state.
	Restore(Snapshot) error
	// Snapshot encodes the state as log records; see Snapshot.Gap.
	Snapshot(writer string, gap bool) ([][]byte, error)
}

// Snapshot is a whole snapshot that was found among the records.
type Snapshot struct {
	// UpTo is the newest offset folded into it.
	UpTo platformlog.Offset
	// Gap marks one by a VM that itself lost records to the retention.
	Gap bool
	// Content is the fold's own.
	Content any
}

const (
	// readMax bounds the records of one read.
	readMax = 512
	// readWait is how long one read waits for news. A log that hangs is noticed
	// this long later; peers bring news in between.
	readWait = 2 * time.Second
	// readGrace is added to readWait for the answer's way.
	readGrace = time.Second
	// retryPause is the pause after a read that failed.
	retryPause = 250 * time.Millisecond
	// ringRecords bounds the newest records kept for peers that lag.
	ringRecords = 4096
	// defaultSnapshotEvery is how many records may follow a snapshot before the
	// next is due. Its chunks cost appends; at 45,000 changes a day it comes a
	// few times a day and well within a day's retention.
	defaultSnapshotEvery = 5000
	// snapshotCheck is how often a due snapshot is looked for.
	snapshotCheck = 2 * time.Second
)

// Config is what a Replica needs.
type Config struct {
	Log    platformlog.Log
	Stream string
	Fold   Fold
	Logger *zap.Logger
	// Writer names this process in its snapshots.
	Writer string
	// SnapshotEvery defaults to defaultSnapshotEvery records.
	SnapshotEvery int
	// SnapshotMaxAge is the longest time between snapshots while there are new
	// records; it must be well under the log's retention. Default 1 hour.
	SnapshotMaxAge time.Duration
	// WritesSnapshots tells whether this VM is the one to write them now. Two
	// that write at once cost appends, never safety.
	WritesSnapshots func() bool
	// Changed is called after each batch of folded records, without the lock.
	Changed func()
}

// Replica is the fold with its duties. Its methods may be called from any
// goroutine.
type Replica struct {
	config Config

	// ready is closed once the fold has a state for the first time.
	ready     chan struct{}
	readyOnce sync.Once

	mu sync.RWMutex
	// following is whether the fold has every record up to Applied.
	following bool
	// lostAt is when records expired unread, while not following.
	lostAt time.Time
	// pending are records read while not following, without a hole.
	pending []platformlog.Record
	ring    ring
	// gap is the newest snapshot taken across a loss, and gapEnd the newest
	// record then folded or pending; both 0 without one.
	gap, gapEnd platformlog.Offset
	// end is the newest offset and earliest the oldest that the log is known to
	// have; reachedAt is when it last answered a read.
	end, earliest platformlog.Offset
	reachedAt     time.Time
	// snapshotUpTo is the newest snapshot seen in the log, snapshotTime when.
	snapshotUpTo platformlog.Offset
	snapshotTime time.Time
}

// New makes a replica; Run must be started for it to work.
func New(config Config) *Replica {
	if config.SnapshotEvery == 0 {
		config.SnapshotEvery = defaultSnapshotEvery
	}
	if config.SnapshotMaxAge == 0 {
		config.SnapshotMaxAge = time.Hour
	}
	if config.Changed == nil {
		config.Changed = func() {}
	}
	return &Replica{config: config, ready: make(chan struct{}), snapshotTime: time.Now(), lostAt: time.Now()}
}

// Ready is closed once the fold has a state.
func (r *Replica) Ready() <-chan struct{} { return r.ready }

// View calls read while nothing is folded. Until Ready the state is empty.
func (r *Replica) View(read func()) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	read()
}

// Position tells the newest record folded, the newest the log is known to have,
// and when the log last answered.
func (r *Replica) Position() (applied, end platformlog.Offset, reachedAt time.Time) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.config.Fold.Applied(), r.end, r.reachedAt
}

// Run follows the log until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	from := platformlog.Offset(1)
	for ctx.Err() == nil {
		if next := r.nextOffset(); next > from {
			from = next
		}
		batch, err := r.read(ctx, from)
		switch {
		case err == nil:
			from = r.take(batch)
		case errors.Is(err, platformlog.ErrTrimmed):
			from = r.skipTrimmed(batch)
		default:
			sleep(ctx, retryPause)
		}
	}
}

func (r *Replica) read(ctx context.Context, from platformlog.Offset) (platformlog.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readWait+readGrace)
	defer cancel()
	batch, err := r.config.Log.Read(ctx, r.config.Stream, from, readMax, readWait)
	if err == nil || errors.Is(err, platformlog.ErrTrimmed) {
		r.reached(batch)
	}
	return batch, err
}

func (r *Replica) reached(batch platformlog.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reachedAt = time.Now()
	r.end = max(r.end, batch.End)
	r.earliest = max(r.earliest, batch.Earliest)
}

// nextOffset is the first record that this replica still needs.
func (r *Replica) nextOffset() platformlog.Offset {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.following {
		return r.config.Fold.Applied() + 1
	}
	if n := len(r.pending); n > 0 {
		return r.pending[n-1].Offset + 1
	}
	return 1
}

// take folds a batch from the log and returns where to read on.
func (r *Replica) take(batch platformlog.Batch) platformlog.Offset {
	r.mu.Lock()
	if !r.following && len(r.pending) == 0 && batch.Earliest <= 1 && r.config.Fold.Applied() == 0 {
		// The whole stream is still there: it needs no snapshot.
		r.follow()
	}
	for _, record := range batch.Records {
		r.takeRecord(record)
	}
	r.mu.Unlock()
	if len(batch.Records) > 0 {
		r.config.Changed()
	}
	return batch.Next
}

// takeRecord folds one record, or keeps it until a snapshot is found. Call with
// mu held.
func (r *Replica) takeRecord(record platformlog.Record) {
	if r.following {
		r.fold(record)
	} else {
		r.pending = append(r.pending, record)
	}
	snapshot, whole := r.config.Fold.Collect(record)
	if !whole {
		return
	}
	r.snapshotUpTo = max(r.snapshotUpTo, snapshot.UpTo)
	r.snapshotTime = time.Now()
	if r.usable(snapshot) {
		r.restore(snapshot)
	}
}

// usable tells whether the fold should take a snapshot as its state.
//
// A snapshot that does not reach the first record still at hand would hide the
// lost records between: an accepted configuration could revert. So it is taken
// only if its writer marked it as the best that is left (Gap), and of several
// such the one that knows most wins, in the order of the stream, the same on
// every VM. A snapshot never takes a VM back behind what it has folded.
func (r *Replica) usable(s Snapshot) bool {
	if s.UpTo < r.config.Fold.Applied() && !(s.Gap && r.gap > 0 && s.UpTo > r.gap) {
		return false
	}
	if s.Gap {
		if r.following {
			return r.gap > 0 && s.UpTo > r.gap && s.UpTo < r.gapEnd
		}
		return true
	}
	if r.following {
		return false
	}
	return len(r.pending) == 0 || s.UpTo+1 >= r.pending[0].Offset
}

// restore takes the snapshot and folds what came after it.
func (r *Replica) restore(s Snapshot) {
	if err := r.config.Fold.Restore(s); err != nil {
		r.config.Logger.Warn("snapshot not usable", zap.String("stream", r.config.Stream), zap.Error(err))
		return
	}
	r.ring = ring{}
	if s.Gap {
		r.gap = s.UpTo
		r.gapEnd = max(r.gapEnd, r.lastPending())
	}
	pending := r.pending
	r.follow()
	for _, record := range pending {
		r.fold(record)
	}
}

func (r *Replica) lastPending() platformlog.Offset {
	if n := len(r.pending); n > 0 {
		return r.pending[n-1].Offset
	}
	return 0
}

func (r *Replica) fold(record platformlog.Record) {
	if record.Offset <= r.config.Fold.Applied() {
		return
	}
	r.config.Fold.Apply(record)
	r.ring.add(record)
}

func (r *Replica) follow() {
	r.following = true
	r.pending = nil
	r.readyOnce.Do(func() { close(r.ready) })
}

// skipTrimmed handles records that expired before this replica read them: it
// keeps the state it has, if any, goes on at the oldest record kept, folds
// nothing across the loss, and waits for a snapshot.
func (r *Replica) skipTrimmed(batch platformlog.Batch) platformlog.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.following {
		r.config.Logger.Warn("records expired unread, waiting for a snapshot",
			zap.String("stream", r.config.Stream), zap.Uint64("earliest", uint64(batch.Earliest)))
		r.following = false
		r.lostAt = time.Now()
	}
	r.pending = nil
	return batch.Earliest
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
