// Package replica keeps a fold of one stream of the platform's log up to date:
// from the log itself, from other entry VMs while the log is out of reach, and
// from a snapshot at the start. It also writes snapshots before the records
// under them expire, and settles what counts where records expired unread.
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

// StateMachine is a deterministic state that is folded from one stream. A Replica calls
// it under its own lock: Apply and Restore alone, the rest, which only reads, from
// several goroutines at a time.
type StateMachine interface {
	// Apply folds a record. Records at or below Applied have no effect.
	Apply(platformlog.Record)
	// Applied is the offset of the newest record folded.
	Applied() platformlog.Offset
	// DecodePart returns the part of a snapshot that a record holds, nil if none.
	DecodePart(platformlog.Record) *chunks.Chunk
	// EncodePart makes the data of a record of a part.
	EncodePart(chunks.Chunk) ([]byte, error)
	// Restore takes a complete snapshot as the state; on an error it keeps the
	// state it has.
	Restore([]chunks.Chunk) error
	// Capture copies the state and returns what cuts the copy into parts. That one
	// is called without the lock: encoding takes long, and meanwhile the VM would
	// answer nobody.
	Capture(writer string) Encoder
}

// Encoder cuts a captured state into parts.
type Encoder func() ([]chunks.Chunk, error)

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
	// defaultSnapshotEvery is how many records may follow a snapshot before the
	// next is due. Its chunks cost appends; at 45,000 changes a day it comes a
	// few times a day and well within a day's retention.
	defaultSnapshotEvery = 5000
	// defaultSnapshotMaxAge leaves a log that keeps records for a day many
	// attempts at the next snapshot before the newest one expires.
	defaultSnapshotMaxAge = time.Hour
	// maxPending bounds the records kept while waiting for a snapshot. Dropping
	// the oldest half only means that a newer snapshot is needed.
	maxPending = 64 << 10
)

// Config is what a Replica needs.
type Config struct {
	Log          platformlog.Log
	Stream       string
	StateMachine StateMachine
	Logger       *zap.Logger
	// Writer names this process in its snapshots.
	Writer string
	// SnapshotEvery defaults to defaultSnapshotEvery records.
	SnapshotEvery int
	// SnapshotMaxAge is the longest time between snapshots by the log's clock;
	// it must be well under the log's retention. Default 1 hour.
	SnapshotMaxAge time.Duration
	// InitialSearchSpan is how many records before the stream's end the first look for a
	// snapshot begins; it defaults to startSnapshots times SnapshotEvery.
	InitialSearchSpan int
	// WritesSnapshots tells whether this VM is the one to write them now. Two
	// that write at once cost appends, never safety. Where the chosen one does
	// not (it may be cut off from the log), all others do a little later.
	WritesSnapshots func() bool
	// RequestRecordsFunc asks the VM that reads the log for this one; nil: this VM reads it.
	RequestRecords RequestRecordsFunc
	// OnChange is called after each batch of folded records, without the lock,
	// one call at a time: a slow call must not overwrite what a later one did.
	OnChange func()
}

// Replica is the fold with its duties. Its methods may be called from any
// goroutine.
//
// Invariants:
//
//   - Any two replicas that follow and have folded up to the same offset hold
//     the same state, whatever expired unread in between.
//   - Applied never decreases. What it knows is given up only by a ruling (see
//     ruling.go), which all replicas take at the same offset, and only if for
//     confirmWait nobody who knew better could append to the log.
//   - A record is folded only at Applied+1, but for the records of a ruling.
//   - What a peer gets from RecordsSince is what the log holds, or a state that
//     follows; also from a replica that does not follow itself.
type Replica struct {
	config Config

	// ready is closed once the fold has a state for the first time.
	ready     chan struct{}
	readyOnce sync.Once

	// changing makes calls of OnChange one at a time.
	changing sync.Mutex

	// aloneUntil is until when this VM reads the log itself; only Run uses it.
	aloneUntil time.Time

	mu sync.RWMutex
	// news is closed at the next change of the fold.
	news chan struct{}
	// following is whether the fold is the agreed state just after Applied and
	// the next record needed may still be had. Else records expired unread (or
	// this process is new), and a whole snapshot or a ruling is waited for.
	following bool
	// suspect is set while not following where the fold itself may not be the
	// agreed state: then no further records make it so.
	suspect bool
	// lostAt is when it stopped following, by this process's clock.
	lostAt time.Time
	// from is the next offset to read while not following without pending.
	from platformlog.Offset
	// pending are records read while not following, without a hole.
	pending []platformlog.Record
	// ring holds the newest records met, folded or pending.
	ring      ring
	collector chunks.Collector

	// end is the newest offset that the log is known to have; reachedAt is when
	// it last answered a read.
	end       platformlog.Offset
	reachedAt time.Time

	start     startWatch
	snapshots snapshotWatch
	rulings   rulingWatch
}

// New makes a replica; Run must be started for it to work.
func New(config Config) *Replica {
	if config.SnapshotEvery == 0 {
		config.SnapshotEvery = defaultSnapshotEvery
	}
	if config.SnapshotMaxAge == 0 {
		config.SnapshotMaxAge = defaultSnapshotMaxAge
	}
	if config.InitialSearchSpan == 0 {
		config.InitialSearchSpan = startSnapshots * config.SnapshotEvery
	}
	if config.OnChange == nil {
		config.OnChange = func() {}
	}
	return &Replica{config: config, ready: make(chan struct{}), news: make(chan struct{}), lostAt: time.Now(), from: 1}
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
	return r.config.StateMachine.Applied(), r.end, r.reachedAt
}

// Run follows the log until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.followReader(ctx) {
			continue
		}
		batch, err := r.read(ctx, r.nextOffset())
		switch {
		case err == nil:
			if r.skipAhead(batch) {
				break
			}
			r.take(batch)
			r.lookBack(batch)
		case errors.Is(err, platformlog.ErrTrimmed):
			r.skipTrimmed(batch)
			r.skipAhead(batch)
		default:
			pause.For(ctx, retryPause)
		}
	}
}

func (r *Replica) read(ctx context.Context, from platformlog.Offset) (platformlog.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readWait+readGrace)
	defer cancel()
	wait, most := readWait, readMax
	if _, _, reachedAt := r.Position(); reachedAt.IsZero() {
		wait = 0 // an empty stream must not hold up the start
		most = 1 // it tells where the stream ends
	}
	batch, err := r.config.Log.Read(ctx, r.config.Stream, from, most, wait)
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
}

func (r *Replica) nextOffset() platformlog.Offset {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.next()
}

// next is the first record that this replica still needs. Call with mu held.
func (r *Replica) next() platformlog.Offset {
	if r.following {
		return r.config.StateMachine.Applied() + 1
	}
	if n := len(r.pending); n > 0 {
		return r.pending[n-1].Offset + 1
	}
	return r.from
}

// take folds a batch from the log.
func (r *Replica) take(batch platformlog.Batch) {
	r.mu.Lock()
	if !r.following && r.next() <= 1 && batch.Earliest <= 1 && r.config.StateMachine.Applied() == 0 {
		// The whole stream is still there: it needs no snapshot.
		r.follow()
	}
	r.takeRecords(batch.Records)
	r.mu.Unlock()
	if len(batch.Records) > 0 {
		r.changed()
	}
}

func (r *Replica) changed() {
	r.mu.Lock()
	close(r.news)
	r.news = make(chan struct{})
	r.mu.Unlock()
	r.changing.Lock()
	defer r.changing.Unlock()
	r.config.OnChange()
}

// takeRecords takes records without a hole between them, from the log or from a
// peer. Where they begin after the next one needed (the fold was replaced while
// they were on their way), none of them is taken: that hole would never close.
func (r *Replica) takeRecords(records []platformlog.Record) {
	for _, record := range records {
		next := r.next()
		if record.Offset > next {
			return
		}
		if record.Offset == next {
			r.takeRecord(record)
		}
	}
}

// takeRecord folds the next record, or keeps it until there is a state to fold
// it into.
func (r *Replica) takeRecord(record platformlog.Record) {
	r.ring.add(record)
	r.snapshots.saw(record)
	if r.following {
		r.config.StateMachine.Apply(record)
	} else {
		r.keepPending(record)
	}
	if part := r.config.StateMachine.DecodePart(record); part != nil {
		r.takePart(record, *part)
	}
}

func (r *Replica) keepPending(record platformlog.Record) {
	if len(r.pending) >= maxPending {
		r.pending = append([]platformlog.Record(nil), r.pending[maxPending/2:]...)
	}
	r.pending = append(r.pending, record)
}

// takePart looks at a part of a snapshot in the log.
func (r *Replica) takePart(record platformlog.Record, part chunks.Chunk) {
	if part.Confirms != 0 {
		r.rulings.lastPart = record.Offset
	}
	if !r.collector.Add(part) {
		return
	}
	parts := r.collector.Take()
	switch {
	case !part.Gap:
		r.takeWhole(record, parts)
	case part.Confirms == 0:
		r.takeBid(record, part)
	default:
		r.takeRuling(record, parts)
	}
}

// takeWhole takes a snapshot of the agreed state that landed in the log.
func (r *Replica) takeWhole(record platformlog.Record, parts []chunks.Chunk) {
	upTo := platformlog.Offset(parts[0].UpTo)
	r.snapshots.landed(record, upTo)
	r.rulings.landed(upTo)
	if !r.following && r.usable(upTo) {
		r.restore(parts)
	}
}

// usable tells whether a whole snapshot can become the state.
//
// It must not take this VM back. It must reach the first record still at hand:
// it would else hide the lost ones between, and an accepted configuration could
// revert. And it must not be from before a ruling, which may have replaced the
// state that it holds.
func (r *Replica) usable(upTo platformlog.Offset) bool {
	if upTo < r.config.StateMachine.Applied() || upTo < r.rulings.lastPart {
		return false
	}
	return len(r.pending) == 0 || upTo+1 >= r.pending[0].Offset
}

// restore takes the snapshot and folds what came after it.
func (r *Replica) restore(parts []chunks.Chunk) {
	if err := r.config.StateMachine.Restore(parts); err != nil {
		r.config.Logger.Warn("snapshot not usable", zap.String("stream", r.config.Stream), zap.Error(err))
		return
	}
	r.snapshots.upTo = max(r.snapshots.upTo, platformlog.Offset(parts[0].UpTo))
	pending := r.pending
	r.follow()
	for _, record := range pending {
		r.config.StateMachine.Apply(record)
	}
}

func (r *Replica) follow() {
	r.following = true
	r.suspect = false
	r.pending = nil
	r.readyOnce.Do(func() { close(r.ready) })
}

// skipTrimmed handles records that expired before this replica read them: it
// keeps the state it has, if any, goes on at the oldest record kept, folds
// nothing across the loss, and waits for peers, a snapshot or a ruling.
func (r *Replica) skipTrimmed(batch platformlog.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next() >= batch.Earliest {
		return // a peer brought the records while the log answered
	}
	if r.following {
		r.config.Logger.Warn("records expired unread",
			zap.String("stream", r.config.Stream), zap.Uint64("earliest", uint64(batch.Earliest)))
		r.lose()
	}
	r.pending = nil
	r.from = batch.Earliest
}

func (r *Replica) lose() {
	r.following = false
	r.lostAt = time.Now()
	r.from = r.config.StateMachine.Applied() + 1
}
