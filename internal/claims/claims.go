// Package claims is an entry VM's access to the streams of claims: a call that
// may not be repeated is claimed in the platform's log before it is dispatched,
// and its answer is kept there for repeats at any entry VM.
package claims

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"bergamotreel/caller"
	"bergamotreel/entryvm"
	"bergamotreel/idempotency"
	"bergamotreel/internal/commit"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/replica"
	"bergamotreel/platformlog"
	"bergamotreel/refusal"
	"bergamotreel/service"
)

// Error is the class of all errors of this package.
var Error = errs.Class("claims")

// Stream is the name of the stream of claims in the platform's log.
const Stream = "claims"

const (
	// comeBack is when to come back while the log is out of reach.
	comeBack = 2 * time.Second
	// pollHolder is how often a repeat looks for the first arrival's answer.
	pollHolder = 20 * time.Millisecond
	// storeTimeout bounds recording an answer; one that is not recorded makes a
	// repeat be told "may have run".
	storeTimeout = 10 * time.Second
	// storePause is the pause before a record that was not stored is tried again.
	storePause = 500 * time.Millisecond
)

// Config is what a Claimer needs.
type Config struct {
	Log    platformlog.Log
	Logger *zap.Logger
	// Incarnation names this start of the process of this entry VM.
	Incarnation string
	// Window is how long a key is remembered.
	Window time.Duration
	// Alive tells whether the process that claimed may still answer.
	Alive func(incarnation string) bool
	// NobodyAhead asks all entry VMs that were there at or after since, also those
	// that are gone, whether any may have dispatched the key by a claim that this
	// VM has not folded; silence counts as "may have". See surelyNotRun.
	NobodyAhead func(ctx context.Context, query entryvm.ClaimQuery, applied uint64, since time.Time) bool
	// WritesSnapshots tells whether this VM should write the snapshots now.
	WritesSnapshots func() bool
	SnapshotMaxAge  time.Duration
}

// Claimer claims calls. Its methods may be called from any goroutine.
type Claimer struct {
	// underWay are the arrivals that wait for their claim or for another's answer.
	underWay arrivals
	config   Config
	started  time.Time
	fold     *fold
	reads    *readWatch
	replica  *replica.Replica
	batcher  *commit.Batcher[idempotency.Entry, idempotency.Result]
	// recording are answers on their way into the log.
	recording sync.WaitGroup
}

// New makes a claimer; Follow and Commit must be started for it to work.
func New(config Config) *Claimer {
	c := &Claimer{config: config, started: time.Now(), reads: &readWatch{Log: config.Log}}
	c.fold = &fold{table: idempotency.NewTable(), result: c.resolve}
	c.replica = replica.New(replica.Config{
		Log: c.reads, Stream: Stream, Fold: c.fold, Logger: config.Logger, Writer: config.Incarnation,
		SnapshotMaxAge: config.SnapshotMaxAge, WritesSnapshots: config.WritesSnapshots,
	})
	c.batcher = commit.New[idempotency.Entry, idempotency.Result](commit.Config[idempotency.Entry]{
		Log: config.Log, Stream: Stream, Encode: encode, Max: idempotency.MaxEntries,
	})
	return c
}

func encode(entries []idempotency.Entry) ([]byte, error) {
	return idempotency.Encode(idempotency.Record{Entries: entries})
}

func (c *Claimer) resolve(r idempotency.Result) {
	if r.ID.Claimer == c.config.Incarnation && r.ID.Sequence != 0 {
		c.batcher.Resolve(r.ID.Sequence, r)
	}
}

// Follow reads the stream until ctx ends.
func (c *Claimer) Follow(ctx context.Context) { c.replica.Run(ctx) }

// Commit appends claims until ctx ends.
func (c *Claimer) Commit(ctx context.Context) { c.batcher.Run(ctx) }

// WriteSnapshots appends snapshots when due until ctx ends.
func (c *Claimer) WriteSnapshots(ctx context.Context) { c.replica.WriteSnapshots(ctx) }

// Ready is closed once the table is there.
func (c *Claimer) Ready() <-chan struct{} { return c.replica.Ready() }

// SnapshotsWritten counts the snapshots that this VM wrote since its start.
func (c *Claimer) SnapshotsWritten() uint64 { return c.replica.SnapshotsWritten() }

// Skipped counts records of the stream that no VM could read.
func (c *Claimer) Skipped() uint64 {
	var skipped uint64
	c.replica.View(func() { skipped = c.fold.table.Skipped() })
	return skipped
}

// Drain waits until the answers under way are recorded, at a graceful shutdown.
func (c *Claimer) Drain() { c.recording.Wait() }

// Claimed answers a peer that cannot reach the log.
func (c *Claimer) Claimed(query entryvm.ClaimQuery) entryvm.ClaimReply {
	key := idempotency.KeyOf(query.Customer, query.Key)
	reply := entryvm.ClaimReply{Up: time.Since(c.started)}
	c.replica.View(func() {
		reply.Applied = c.fold.table.Applied()
		reply.Held = c.fold.table.State(key) != nil
	})
	reply.Held = reply.Held || c.underWay.count(key) > 0
	return reply
}

func (c *Claimer) holder(key idempotency.Key) *idempotency.Holder {
	var holder *idempotency.Holder
	c.replica.View(func() { holder = c.fold.table.State(key) })
	return holder
}

// Begin claims the call; see serving.Claims.
func (c *Claimer) begin(ctx context.Context, call caller.ServiceCall) (*claim, *service.Answer, error) {
	query := entryvm.ClaimQuery{Customer: call.Identity.Customer, Key: call.IdempotencyKey}
	key := idempotency.KeyOf(query.Customer, query.Key)
	digest := idempotency.DigestOf(call.Method, call.Path, call.Body)
	c.underWay.add(key, 1)
	defer c.underWay.add(key, -1)
	select {
	case <-c.Ready():
	default:
		return nil, nil, c.refuseWithoutLog(ctx, query)
	}
	since := c.fold.marks.at(call.Arrived) + 1
	holder := c.holder(key)
	if holder == nil {
		result, err := c.propose(ctx, key, digest, since)
		if err != nil {
			return nil, nil, c.refuseWithoutLog(ctx, query)
		}
		switch result.Verdict {
		case idempotency.VerdictApplied:
			return c.won(call, key, result)
		case idempotency.VerdictInvalid:
			return nil, nil, refusal.New(refusal.CodeBadRequest, 0, "Idempotency-Key is not usable")
		case idempotency.VerdictStale:
			return nil, nil, turnedAway()
		}
		holder = result.Holder
	}
	answer, err := c.awaitHolder(ctx, holder, key, digest)
	return nil, answer, err
}

// won turns a claim that holds its key into the right to dispatch, unless its
// arrival is so old that a release which turns it away may be forgotten.
func (c *Claimer) won(call caller.ServiceCall, key idempotency.Key, result idempotency.Result) (*claim, *service.Answer, error) {
	won := &claim{claimer: c, key: key, revision: result.Holder.Revision, id: result.ID}
	if time.Since(call.Arrived) >= idempotency.ReleasedFor {
		won.NotRun()
		return nil, nil, turnedAway()
	}
	return won, nil, nil
}

// turnedAway answers an arrival that came before another arrival of the same call
// was told "not run". It must not run any more: the caller of both may have
// booked elsewhere since. Neither is it sure that the call has not run: a later
// arrival may hold the key by now.
func turnedAway() error {
	r := refusal.Maybe(refusal.CodeOutcomeUnknown,
		"this arrival was not run; another one gave the call back: repeat it with the same Idempotency-Key")
	r.RetryAfter = comeBack
	return r
}

func (c *Claimer) propose(ctx context.Context, key idempotency.Key, digest idempotency.Digest, since uint64) (idempotency.Result, error) {
	return c.batcher.Submit(ctx, func(sequence uint64) idempotency.Entry {
		return idempotency.Entry{Claim: &idempotency.Claim{
			ID:  idempotency.ClaimID{Claimer: c.config.Incarnation, Sequence: sequence},
			Key: key, Digest: digest, WindowMs: c.config.Window.Milliseconds(), Since: since,
		}}
	}, c.abandoned)
}

// abandoned gives back a claim that landed after its request had its answer:
// nobody will dispatch it, and without this its key would stay taken.
func (c *Claimer) abandoned(_ idempotency.Entry, result idempotency.Result) {
	if result.Verdict != idempotency.VerdictApplied || result.Holder == nil || result.Holder.ID != result.ID {
		return
	}
	c.release(result.Key, result.Holder.Revision, result.ID)
}

// awaitHolder answers a repeat of a call that another arrival has claimed.
func (c *Claimer) awaitHolder(ctx context.Context, holder *idempotency.Holder, key idempotency.Key,
	digest idempotency.Digest,
) (*service.Answer, error) {
	var first *idempotency.Holder
	for holder != nil {
		first = holder
		if holder.Digest != digest {
			return nil, refusal.New(refusal.CodeKeyConflict, 0, "Idempotency-Key was used for another request")
		}
		if holder.Answer != nil {
			return stored(*holder.Answer)
		}
		if !c.config.Alive(holder.ID.Claimer) {
			return nil, unknownOutcome("the entry VM that took the first arrival is gone")
		}
		if !pause.For(ctx, pollHolder) {
			return nil, unknownOutcome("the first arrival has no answer yet")
		}
		holder = c.holder(key)
	}
	if c.expired(first) {
		return nil, unknownOutcome("the first arrival's key is forgotten, and its answer with it")
	}
	return nil, turnedAway()
}

func (c *Claimer) expired(holder *idempotency.Holder) bool {
	var now time.Time
	c.replica.View(func() { now = c.fold.table.Now() })
	return now.UnixMilli() >= holder.ExpiresMs
}

func unknownOutcome(why string) *refusal.Refusal {
	return refusal.Maybe(refusal.CodeOutcomeUnknown, "%s", why)
}

// stored turns a recorded answer into the answer of a repeat.
func stored(a idempotency.Answer) (*service.Answer, error) {
	if a.Unknown() {
		return nil, unknownOutcome("the call was sent and its answer was lost")
	}
	if a.BodySHA256 != "" {
		return nil, unknownOutcome("the call ran; its answer was too large to keep")
	}
	header := make(http.Header)
	for name, value := range a.Header {
		header.Set(name, value)
	}
	return &service.Answer{Status: a.Status, Header: header, Body: a.Body}, nil
}

// refuseWithoutLog answers at once while no claim can be recorded.
func (c *Claimer) refuseWithoutLog(ctx context.Context, query entryvm.ClaimQuery) error {
	if c.surelyNotRun(ctx, query) {
		return refusal.New(refusal.CodeLogUnavailable, comeBack, "the platform's log is out of reach")
	}
	r := refusal.Maybe(refusal.CodeLogUnavailable,
		"this arrival was not run; an earlier one may have been: repeat it with the same Idempotency-Key")
	r.RetryAfter = comeBack
	return r
}

// surelyNotRun tells whether no arrival of the call was dispatched so far. "Not
// run" must hold for the call, not only for this arrival: an earlier one may
// have been claimed and dispatched by another entry VM, and a caller who is told
// "not run" may book elsewhere.
//
// A VM dispatches only by a claim that it has folded. This VM's table was
// complete at some moment, since when it may have missed records. Whoever has
// dispatched by one of those was an entry VM after that moment. So if this table
// has no claim of the key, and each VM that was there since then says that it
// has folded no further than this one and knows no claim, the call has not run.
// Failures that the parts of the rule answer:
//   - A VM cut off later than this one claimed, dispatched and died; its caller
//     comes here, and the VM list has dropped it. It was there since: it does
//     not answer, so the call may have run.
//   - It restarted, and says truly that it has folded nothing. Its process is
//     younger than the moment: it can't speak for the one before (ClaimReply.Up).
//   - Another arrival waits at a VM for its claim to land, and will be dispatched
//     once it has. That VM says that the key is held, and so does this one.
//   - All entry VMs restart during an outage, and none has folded anything. A
//     table that never was complete gives no moment.
func (c *Claimer) surelyNotRun(ctx context.Context, query entryvm.ClaimQuery) bool {
	key := idempotency.KeyOf(query.Customer, query.Key)
	select {
	case <-c.Ready():
	default:
		return false
	}
	var applied uint64
	free := false
	c.replica.View(func() {
		applied = c.fold.table.Applied()
		free = c.fold.table.State(key) == nil
	})
	since, complete := c.reads.completeAt(platformlog.Offset(applied))
	// This arrival is one of those under way here.
	alone := c.underWay.count(key) <= 1
	return free && complete && alone && c.config.NobodyAhead(ctx, query, applied, since)
}

func (c *Claimer) release(key idempotency.Key, revision idempotency.Revision, id idempotency.ClaimID) {
	c.store(idempotency.Entry{Release: &idempotency.Release{Key: key, Claim: revision, ID: id}})
}

// store records an entry in the background, again and again for a while: each
// of them has no effect the second time.
func (c *Claimer) store(entry idempotency.Entry) {
	c.recording.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		for {
			err := c.batcher.Store(ctx, entry)
			if err == nil || !pause.For(ctx, storePause) {
				return
			}
			if !errors.Is(err, commit.ErrNotStored) && ctx.Err() != nil {
				return
			}
		}
	})
}
