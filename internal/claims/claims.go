// Package claims is an entry VM's access to the streams of claims: a call that
// may not be repeated is claimed in the platform's log before it is dispatched,
// and its answer is kept there for repeats at any entry VM.
package claims

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
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
	// MinInterval is commit.Config's.
	MinInterval time.Duration
	// Stream defaults to Stream. Claimers of one process must have one IDs.
	Stream string
	IDs    *IDs
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
	flights  flights
	forwards forwards
	// recording are answers on their way into the log.
	recording sync.WaitGroup
	// open counts the claims won here whose end is not recorded yet.
	open atomic.Int64
}

// New makes a claimer; Follow and Commit must be started for it to work.
func New(config Config) *Claimer {
	if config.Stream == "" {
		config.Stream = Stream
	}
	if config.IDs == nil {
		config.IDs = new(IDs)
	}
	c := &Claimer{config: config, started: time.Now(), reads: &readWatch{Log: config.Log}}
	c.fold = &fold{table: idempotency.NewTable(), result: c.resolve}
	c.replica = replica.New(replica.Config{
		Log: c.reads, Stream: config.Stream, Fold: c.fold, Logger: config.Logger, Writer: config.Incarnation,
		SnapshotMaxAge: config.SnapshotMaxAge, WritesSnapshots: config.WritesSnapshots,
	})
	c.batcher = commit.New[idempotency.Entry, idempotency.Result](commit.Config[idempotency.Entry]{
		Log: config.Log, Stream: config.Stream, Encode: encode, Max: idempotency.MaxEntries,
		MinInterval: config.MinInterval,
	})
	return c
}

func encode(entries []idempotency.Entry) ([]byte, error) {
	return idempotency.Encode(idempotency.Record{Entries: entries})
}

func (c *Claimer) resolve(r idempotency.Result) {
	if sequence, ours := c.flights.land(r.ID); ours {
		c.batcher.Resolve(sequence, r)
	}
	if c.flights.wasGivenUp(r.ID) {
		c.abandoned(idempotency.Entry{}, r)
	}
}

// Run does Follow, Commit and WriteSnapshots until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	var duties sync.WaitGroup
	defer duties.Wait()
	for _, duty := range []func(context.Context){c.Follow, c.Commit, c.WriteSnapshots} {
		duties.Go(func() { duty(ctx) })
	}
}

// Claim answers a VM whose claims are over shards: this one's are not.
func (c *Claimer) Claim(entryvm.ClaimCall) entryvm.ClaimResult {
	return entryvm.ClaimResult{State: entryvm.ClaimElsewhere}
}

// Settle answers such a VM.
func (c *Claimer) Settle(entryvm.ClaimCall) (stored bool) { return false }

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
		result, err := c.propose(ctx, &idempotency.Claim{
			ID: c.config.IDs.next(c.config.Incarnation), Key: key, Digest: digest,
			WindowMs: c.config.Window.Milliseconds(), Since: since,
		}, c.abandoned)
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

// tooOld tells whether a release that turns the arrival away, or its own claim,
// may be forgotten by now.
func (c *Config) tooOld(call caller.ServiceCall) bool {
	return time.Since(call.Arrived) >= min(idempotency.ReleasedFor, c.Window)
}

// won turns a claim that holds its key into the right to dispatch.
func (c *Claimer) won(call caller.ServiceCall, key idempotency.Key, result idempotency.Result) (*claim, *service.Answer, error) {
	c.open.Add(1)
	won := &claim{claimer: c, key: key, revision: result.Holder.Revision, id: result.ID}
	if c.config.tooOld(call) {
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
	r := refusal.NewMaybeRan(refusal.CodeOutcomeUnknown,
		"this arrival was not run; another one gave the call back: repeat it with the same Idempotency-Key")
	r.RetryAfter = comeBack
	return r
}

func (c *Claimer) propose(ctx context.Context, claim *idempotency.Claim,
	abandoned func(idempotency.Entry, idempotency.Result),
) (idempotency.Result, error) {
	result, err := c.batcher.Submit(ctx, func(sequence uint64) idempotency.Entry {
		c.flights.start(claim.ID, sequence)
		return idempotency.Entry{Claim: claim}
	}, abandoned)
	if errors.Is(err, commit.ErrNotStored) {
		c.flights.land(claim.ID)
	}
	return result, err
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
	return refusal.NewMaybeRan(refusal.CodeOutcomeUnknown, "%s", why)
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

func (c *Claimer) release(key idempotency.Key, revision idempotency.Revision, id idempotency.ClaimID) {
	c.store(idempotency.Entry{Release: &idempotency.Release{Key: key, Claim: revision, ID: id}}, func() {})
}

// store records an entry in the background, again and again for a while: each
// of them has no effect the second time. Then it calls done.
func (c *Claimer) store(entry idempotency.Entry, done func()) {
	c.recording.Go(func() {
		defer done()
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
