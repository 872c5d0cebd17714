// Package replica keeps a state machine up to date with one stream of the platform's
// log. It reads the log itself, gets records from other entry VMs while the log is
// unreachable, and starts from a snapshot. It also writes snapshots before the records
// they cover expire, and restores agreement on the state after records expired unread.
package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"bergamotreel/internal/chunks"
	"bergamotreel/internal/pause"
	"bergamotreel/platformlog"
)

// Error is the class of all errors of this package.
var Error = errs.Class("replica")

// StateMachine is a deterministic state derived from one stream. A Replica calls it
// under its own lock: Apply and Restore exclusively, the other methods, which only
// read, possibly from several goroutines at the same time.
type StateMachine interface {
	// Apply applies a record. Records at or below Applied have no effect.
	Apply(platformlog.Record)
	// Applied returns the offset of the newest record applied.
	Applied() platformlog.Offset
	// DecodePart returns the snapshot part that a record holds, or nil.
	DecodePart(platformlog.Record) *chunks.Chunk
	// EncodePart returns the data of the record that holds a snapshot part.
	EncodePart(chunks.Chunk) ([]byte, error)
	// Restore replaces the state by a complete snapshot. On an error it keeps the
	// current state.
	Restore([]chunks.Chunk) error
	// Capture copies the state and returns an Encoder of the copy. The Encoder is
	// called without the lock: encoding takes long, and the VM could not answer any
	// request meanwhile.
	Capture(writer string) Encoder
}

// Encoder encodes a captured state and splits it into parts.
type Encoder func() ([]chunks.Chunk, error)

const (
	// maxReadRecords bounds the records of one read.
	maxReadRecords = 512
	// readPollTimeout is how long one read waits for new records. A log that hangs
	// is noticed this much later; peers deliver records meanwhile.
	readPollTimeout = 2 * time.Second
	// readGrace is added to readPollTimeout for the network.
	readGrace = time.Second
	// readRetryInterval is the pause after a failed read.
	readRetryInterval = 250 * time.Millisecond
	// defaultSnapshotEvery is how many records may follow a snapshot before the
	// next one is due. Each part costs an append; at 45,000 changes a day a snapshot
	// is due a few times a day, well within a retention of one day.
	defaultSnapshotEvery = 5000
	// defaultSnapshotMaxAge allows many attempts at the next snapshot before the
	// newest one expires in a log that keeps records for a day.
	defaultSnapshotMaxAge = time.Hour
	// maxPending bounds the records buffered while waiting for a snapshot. If the
	// older half is dropped, the replica only needs a newer snapshot.
	maxPending = 64 << 10
)

// Config configures a Replica.
type Config struct {
	Log          platformlog.Log
	Stream       string
	StateMachine StateMachine
	Logger       *zap.Logger
	// Writer identifies this process in its snapshots.
	Writer string
	// SnapshotEvery is how many records may follow a snapshot before the next one is
	// due. The default is defaultSnapshotEvery.
	SnapshotEvery int
	// SnapshotMaxAge is the longest time between snapshots by the log's clock. It
	// must be well below the log's retention. The default is 1 hour.
	SnapshotMaxAge time.Duration
	// InitialSearchSpan is how many records before the end of the stream a new replica
	// starts to read. The default is initialSpanSnapshots times SnapshotEvery.
	InitialSearchSpan int
	// WritesSnapshots reports whether this VM is the one that currently writes the
	// snapshots. A second writer at the same time only adds log appends; safety does
	// not depend on it. If the writer writes none (it may have no connection to the
	// log), all other VMs do so a little later.
	WritesSnapshots func() bool
	// RequestRecords requests records from this VM's reader. If it is nil, this VM
	// reads the log itself.
	RequestRecords RequestRecordsFunc
	// OnChange is called after each batch of applied records, without the lock. Calls
	// don't overlap, so a slow call can't overwrite the effect of a later one.
	OnChange func()
}

// Replica keeps a state machine up to date and writes its snapshots. Its methods may
// be called from any goroutine.
//
// Invariants:
//
//   - Any two replicas that follow the stream and have applied records up to the
//     same offset hold the same state, whichever records expired unread in between.
//   - Applied never decreases. Known records are given up only by a confirmation
//     (see recovery.go), which all replicas apply at the same offset, and only if no
//     replica that had them could append to the log for confirmationDelay.
//   - A record is applied only at Applied+1, except for the records that are applied
//     again after a confirmation.
//   - RecordsSince returns what the log holds, or the state of a replica that
//     follows the stream. It may return records on a replica that does not follow.
type Replica struct {
	config Config

	// ready is closed when the state machine has a state for the first time.
	ready     chan struct{}
	readyOnce sync.Once

	// onChangeMu serializes calls of OnChange.
	onChangeMu sync.Mutex

	// directReadUntil is until when this VM reads the log itself. Only Run uses it.
	directReadUntil time.Time

	mu sync.RWMutex
	// changes is closed and replaced after each batch of records.
	changes chan struct{}
	// following reports whether the state machine holds the agreed state just after
	// Applied and the next record is still available. If it is false, records expired
	// unread or this process is new, and the replica waits for a complete snapshot or
	// a confirmation.
	following bool
	// suspect is set while the replica does not follow and its state may not be the
	// agreed one. Then applying further records does not lead back to that state.
	suspect bool
	// stoppedFollowingAt is when the replica stopped following, by this process's clock.
	stoppedFollowingAt time.Time
	// readFrom is the next offset to read while not following and pending is empty.
	readFrom platformlog.Offset
	// pending holds consecutive records read while not following.
	pending []platformlog.Record
	// ring holds the newest records seen, applied or pending.
	ring      ring
	collector chunks.Collector

	// end is the newest offset known to be in the log; reachedAt is when the log last
	// answered a read.
	end       platformlog.Offset
	reachedAt time.Time

	search    snapshotSearch
	snapshots snapshotState
	recovery  recoveryState
}

// New returns a replica, which works once Run has been started.
func New(config Config) *Replica {
	if config.SnapshotEvery == 0 {
		config.SnapshotEvery = defaultSnapshotEvery
	}
	if config.SnapshotMaxAge == 0 {
		config.SnapshotMaxAge = defaultSnapshotMaxAge
	}
	if config.InitialSearchSpan == 0 {
		config.InitialSearchSpan = initialSpanSnapshots * config.SnapshotEvery
	}
	if config.OnChange == nil {
		config.OnChange = func() {}
	}
	return &Replica{config: config, ready: make(chan struct{}), changes: make(chan struct{}), stoppedFollowingAt: time.Now(), readFrom: 1}
}

// Ready returns a channel that is closed when the state machine has a state.
func (r *Replica) Ready() <-chan struct{} { return r.ready }

// View calls read while no records are applied. The state is empty until Ready.
func (r *Replica) View(read func()) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	read()
}

// Position returns the newest offset applied, the newest offset known to be in the
// log, and when the log last answered.
func (r *Replica) Position() (applied, end platformlog.Offset, reachedAt time.Time) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.config.StateMachine.Applied(), r.end, r.reachedAt
}

// Run follows the log until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.followReader(ctx) {
			continue
		}
		batch, err := r.readLog(ctx, r.nextOffset())
		switch {
		case err == nil:
			if r.skipToInitialSpan(batch) {
				break
			}
			r.processBatch(batch)
			r.extendSearch(batch)
		case errors.Is(err, platformlog.ErrTrimmed):
			r.skipExpired(batch)
			r.skipToInitialSpan(batch)
		default:
			pause.For(ctx, readRetryInterval)
		}
	}
}

func (r *Replica) readLog(ctx context.Context, from platformlog.Offset) (platformlog.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readPollTimeout+readGrace)
	defer cancel()
	wait, limit := readPollTimeout, maxReadRecords
	if _, _, reachedAt := r.Position(); reachedAt.IsZero() {
		wait = 0  // don't delay the start if the stream is empty
		limit = 1 // only the end of the stream is needed
	}
	batch, err := r.config.Log.Read(ctx, r.config.Stream, from, limit, wait)
	if err == nil || errors.Is(err, platformlog.ErrTrimmed) {
		r.recordLogAnswer(batch)
	}
	return batch, err
}

func (r *Replica) recordLogAnswer(batch platformlog.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reachedAt = time.Now()
	r.end = max(r.end, batch.End)
}

func (r *Replica) nextOffset() platformlog.Offset {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.nextNeeded()
}

// nextNeeded returns the first offset that this replica still needs. The caller holds mu.
func (r *Replica) nextNeeded() platformlog.Offset {
	if r.following {
		return r.config.StateMachine.Applied() + 1
	}
	if n := len(r.pending); n > 0 {
		return r.pending[n-1].Offset + 1
	}
	return r.readFrom
}
