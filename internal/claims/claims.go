// Package claims implements idempotent calls on an entry VM. A call that may
// not be repeated is claimed in a stream of the platform's log before it is
// dispatched, and its answer is stored there for repeats at any entry VM.
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

// Stream is the name of the unsharded stream of claims in the platform's log,
// and the prefix of the names of sharded ones.
const Stream = "claims"

const (
	// retryAfter is the Retry-After of a call that was refused because the log
	// is unreachable or because its claim is stale.
	retryAfter = 2 * time.Second
	// claimPollInterval is how often a repeat checks whether the first attempt
	// has an answer.
	claimPollInterval = 20 * time.Millisecond
	// storeTimeout limits how long the recording of an answer is retried. If it
	// can't be recorded, repeats are told "may have run".
	storeTimeout = 10 * time.Second
	// storeRetryInterval is the delay before a record that was not stored is
	// retried.
	storeRetryInterval = 500 * time.Millisecond
)

// Config configures a Claimer.
type Config struct {
	Log    platformlog.Log
	Logger *zap.Logger
	// Incarnation identifies this run of the entry VM's process.
	Incarnation string
	// MinInterval is passed to commit.Config.
	MinInterval time.Duration
	// Stream defaults to the constant Stream. All claimers of a process must
	// share one IDGenerator.
	Stream string
	IDs    *IDGenerator
	// Window is how long a key is remembered.
	Window time.Duration
	// IsAlive reports whether the process that made a claim may still record
	// its answer.
	IsAlive func(incarnation string) bool
	// RuleOutDispatch asks all entry VMs that existed at or after since,
	// including those that have gone, whether any may have dispatched the key
	// by a claim that this VM has not applied. A VM that does not answer counts
	// as "may have". See hasCertainlyNotRun.
	RuleOutDispatch func(ctx context.Context, query entryvm.ClaimQuery, applied uint64, since time.Time) bool
	// WritesSnapshots reports whether this VM currently writes the snapshots.
	WritesSnapshots func() bool
	SnapshotMaxAge  time.Duration
}

// Claimer claims calls in one stream. Its methods are safe for concurrent use.
type Claimer struct {
	// inFlight counts the attempts that wait for their own claim or for another
	// attempt's answer.
	inFlight      inFlightAttempts
	config        Config
	started       time.Time
	stateMachine  *stateMachine
	readTracker   *readTracker
	replica       *replica.Replica
	batcher       *commit.Batcher[idempotency.Entry, idempotency.Result]
	pending       pendingClaims
	peerProposals peerProposals
	// background tracks the goroutines that write outcomes and releases to the
	// log.
	background sync.WaitGroup
	// openClaims counts the claims won by this VM whose outcome or release is
	// not recorded yet.
	openClaims atomic.Int64
}

// New returns a claimer. It claims nothing until Run is called.
func New(config Config) *Claimer {
	if config.Stream == "" {
		config.Stream = Stream
	}
	if config.IDs == nil {
		config.IDs = new(IDGenerator)
	}
	c := &Claimer{config: config, started: time.Now(), readTracker: &readTracker{Log: config.Log}}
	c.stateMachine = &stateMachine{table: idempotency.NewTable(), onResult: c.handleResult}
	c.replica = replica.New(replica.Config{
		Log: c.readTracker, Stream: config.Stream, StateMachine: c.stateMachine, Logger: config.Logger, Writer: config.Incarnation,
		SnapshotMaxAge: config.SnapshotMaxAge, WritesSnapshots: config.WritesSnapshots,
	})
	c.batcher = commit.New[idempotency.Entry, idempotency.Result](commit.Config[idempotency.Entry]{
		Log: config.Log, Stream: config.Stream, Encode: encodeEntries, MaxProposals: idempotency.MaxEntries,
		MinInterval: config.MinInterval,
	})
	return c
}

func encodeEntries(entries []idempotency.Entry) ([]byte, error) {
	return idempotency.Encode(idempotency.Record{Entries: entries})
}

func (c *Claimer) handleResult(r idempotency.Result) {
	if sequence, pending := c.pending.remove(r.ID); pending {
		c.batcher.Resolve(sequence, r)
	}
	if c.pending.isAbandoned(r.ID) {
		c.releaseAbandoned(idempotency.Entry{}, r)
	}
}

// Run runs Follow, Commit and WriteSnapshots until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for _, task := range []func(context.Context){c.Follow, c.Commit, c.WriteSnapshots} {
		tasks.Go(func() { task(ctx) })
	}
}

// Claim refuses the claim of a VM that is configured for shards: this VM holds
// none.
func (c *Claimer) Claim(entryvm.ClaimCall) entryvm.ClaimResult {
	return entryvm.ClaimResult{State: entryvm.ClaimNotHolder}
}

// Settle refuses the outcome or release of a VM that is configured for shards.
func (c *Claimer) Settle(entryvm.ClaimCall) (stored bool) { return false }

// Follow reads and applies the stream until ctx ends.
func (c *Claimer) Follow(ctx context.Context) { c.replica.Run(ctx) }

// Commit appends claims, outcomes and releases to the stream until ctx ends.
func (c *Claimer) Commit(ctx context.Context) { c.batcher.Run(ctx) }

// WriteSnapshots appends snapshots when they are due until ctx ends.
func (c *Claimer) WriteSnapshots(ctx context.Context) { c.replica.WriteSnapshots(ctx) }

// Ready returns a channel that is closed once the table is loaded.
func (c *Claimer) Ready() <-chan struct{} { return c.replica.Ready() }

// SnapshotsWritten returns the number of snapshots that this VM has written
// since its start.
func (c *Claimer) SnapshotsWritten() uint64 { return c.replica.SnapshotsWritten() }

// SkippedRecords returns the number of records of the stream that could not be
// decoded.
func (c *Claimer) SkippedRecords() uint64 {
	var skipped uint64
	c.replica.View(func() { skipped = c.stateMachine.table.SkippedRecords() })
	return skipped
}

// Drain waits until pending outcomes and releases are recorded. It is called at
// a graceful shutdown.
func (c *Claimer) Drain() { c.background.Wait() }

// Claimed reports what this VM knows of a key, for a peer that cannot reach the
// log.
func (c *Claimer) Claimed(query entryvm.ClaimQuery) entryvm.ClaimReply {
	key := idempotency.KeyOf(query.Customer, query.Key)
	reply := entryvm.ClaimReply{Uptime: time.Since(c.started)}
	c.replica.View(func() {
		reply.Applied = c.stateMachine.table.Applied()
		reply.Held = c.stateMachine.table.HolderOf(key) != nil
	})
	reply.Held = reply.Held || c.inFlight.count(key) > 0
	return reply
}

func (c *Claimer) lookupHolder(key idempotency.Key) *idempotency.Holder {
	var holder *idempotency.Holder
	c.replica.View(func() { holder = c.stateMachine.table.HolderOf(key) })
	return holder
}

// beginClaim claims the call. Exactly one of the results is set; see
// serving.Claims.
func (c *Claimer) beginClaim(ctx context.Context, call caller.ServiceCall) (*claim, *service.Answer, error) {
	query := entryvm.ClaimQuery{Customer: call.Identity.Customer, Key: call.IdempotencyKey}
	key := idempotency.KeyOf(query.Customer, query.Key)
	digest := idempotency.DigestOf(call.Method, call.Path, call.Body)
	c.inFlight.add(key, 1)
	defer c.inFlight.add(key, -1)
	select {
	case <-c.Ready():
	default:
		return nil, nil, c.refuseWithoutLog(ctx, query)
	}
	firstUnseen := c.stateMachine.offsets.offsetAt(call.Arrived) + 1
	holder := c.lookupHolder(key)
	if holder == nil {
		result, err := c.propose(ctx, &idempotency.Claim{
			ID: c.config.IDs.next(c.config.Incarnation), Key: key, Digest: digest,
			WindowMs: c.config.Window.Milliseconds(), FirstUnseen: firstUnseen,
		}, c.releaseAbandoned)
		if err != nil {
			return nil, nil, c.refuseWithoutLog(ctx, query)
		}
		switch result.Verdict {
		case idempotency.VerdictApplied:
			return c.grantClaim(call, key, result)
		case idempotency.VerdictInvalid:
			return nil, nil, refusal.New(refusal.CodeBadRequest, 0, "Idempotency-Key is not usable")
		case idempotency.VerdictStale:
			return nil, nil, refuseStaleAttempt()
		}
		holder = result.Holder
	}
	answer, err := c.awaitAnswer(ctx, holder, key, digest)
	return nil, answer, err
}

// isTooOld reports whether the call arrived so long ago that the table may have
// forgotten a release that makes its claim stale, or the claim itself.
func (c *Config) isTooOld(call caller.ServiceCall) bool {
	return time.Since(call.Arrived) >= min(idempotency.ReleaseTTL, c.Window)
}

// grantClaim turns a claim that holds its key into the right to dispatch,
// unless the call is too old.
func (c *Claimer) grantClaim(call caller.ServiceCall, key idempotency.Key, result idempotency.Result) (*claim, *service.Answer, error) {
	c.openClaims.Add(1)
	won := &claim{claimer: c, key: key, revision: result.Holder.Revision, id: result.ID}
	if c.config.isTooOld(call) {
		won.Release()
		return nil, nil, refuseStaleAttempt()
	}
	return won, nil, nil
}

// refuseStaleAttempt refuses an attempt that came before another attempt of the
// same call was told "not run". It must not be dispatched, since the caller may
// have booked elsewhere because of that answer. The refusal says "may have
// run", because a later attempt may hold the key by now.
func refuseStaleAttempt() error {
	r := refusal.NewMaybeRan(refusal.CodeOutcomeUnknown,
		"this arrival was not run; another one gave the call back: repeat it with the same Idempotency-Key")
	r.RetryAfter = retryAfter
	return r
}

func (c *Claimer) propose(ctx context.Context, claim *idempotency.Claim,
	onAbandoned func(idempotency.Entry, idempotency.Result),
) (idempotency.Result, error) {
	result, err := c.batcher.Submit(ctx, func(sequence uint64) idempotency.Entry {
		c.pending.add(claim.ID, sequence)
		return idempotency.Entry{Claim: claim}
	}, onAbandoned)
	if errors.Is(err, commit.ErrNotStored) {
		c.pending.remove(claim.ID)
	}
	return result, err
}

// releaseAbandoned releases a claim that was applied after its request had been
// refused. No one dispatches such a claim, and its key would otherwise stay
// taken until the window ends.
func (c *Claimer) releaseAbandoned(_ idempotency.Entry, result idempotency.Result) {
	if result.Verdict != idempotency.VerdictApplied || result.Holder == nil || result.Holder.ID != result.ID {
		return
	}
	c.release(result.Key, result.Holder.Revision, result.ID)
}

// awaitAnswer waits for the answer of the claim that holds the key and returns
// it to a repeat of the call.
func (c *Claimer) awaitAnswer(ctx context.Context, holder *idempotency.Holder, key idempotency.Key,
	digest idempotency.Digest,
) (*service.Answer, error) {
	var last *idempotency.Holder
	for holder != nil {
		last = holder
		if holder.Digest != digest {
			return nil, refusal.New(refusal.CodeKeyConflict, 0, "Idempotency-Key was used for another request")
		}
		if holder.Answer != nil {
			return replayAnswer(*holder.Answer)
		}
		if !c.config.IsAlive(holder.ID.Claimer) {
			return nil, refuseUnknownOutcome("the entry VM that took the first arrival is gone")
		}
		if !pause.For(ctx, claimPollInterval) {
			return nil, refuseUnknownOutcome("the first arrival has no answer yet")
		}
		holder = c.lookupHolder(key)
	}
	if c.isExpired(last) {
		return nil, refuseUnknownOutcome("the first arrival's key is forgotten, and its answer with it")
	}
	return nil, refuseStaleAttempt()
}

func (c *Claimer) isExpired(holder *idempotency.Holder) bool {
	var now time.Time
	c.replica.View(func() { now = c.stateMachine.table.LogTime() })
	return now.UnixMilli() >= holder.ExpiresMs
}

func refuseUnknownOutcome(reason string) *refusal.Refusal {
	return refusal.NewMaybeRan(refusal.CodeOutcomeUnknown, "%s", reason)
}

// replayAnswer converts a recorded answer to the answer of a repeat.
func replayAnswer(a idempotency.Answer) (*service.Answer, error) {
	if a.IsUnknown() {
		return nil, refuseUnknownOutcome("the call was sent and its answer was lost")
	}
	if a.BodySHA256 != "" {
		return nil, refuseUnknownOutcome("the call ran; its answer was too large to keep")
	}
	header := make(http.Header)
	for name, value := range a.Header {
		header.Set(name, value)
	}
	return &service.Answer{Status: a.Status, Header: header, Body: a.Body}, nil
}

func (c *Claimer) release(key idempotency.Key, revision idempotency.Revision, id idempotency.ClaimID) {
	c.storeInBackground(idempotency.Entry{Release: &idempotency.Release{Key: key, ClaimRevision: revision, ID: id}}, func() {})
}

// storeInBackground stores an entry in the background and then calls done. It
// retries until storeTimeout; an entry that is stored twice has no effect the
// second time.
func (c *Claimer) storeInBackground(entry idempotency.Entry, done func()) {
	c.background.Go(func() {
		defer done()
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		for {
			err := c.batcher.Store(ctx, entry)
			if err == nil || !pause.For(ctx, storeRetryInterval) {
				return
			}
			if !errors.Is(err, commit.ErrNotStored) && ctx.Err() != nil {
				return
			}
		}
	})
}
