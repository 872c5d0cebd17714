// Package control gives an entry VM access to the control stream: to the replicated
// state, and to proposals and their outcomes.
package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/commit"
	"bergamotreel/internal/replica"
	"bergamotreel/platformlog"
	"bergamotreel/state"
)

// Error is the class of all errors of this package.
var Error = errs.Class("control")

// Stream is the name of the control stream in the platform's log.
const Stream = "control"

// Config configures a Control.
type Config struct {
	Log    platformlog.Log
	Logger *zap.Logger
	// Incarnation is unique to this start of this process.
	Incarnation string
	// WritesSnapshots reports whether this VM should write the snapshots now.
	WritesSnapshots func() bool
	SnapshotEvery   int
	SnapshotMaxAge  time.Duration
	// RequestRecords requests records from the VM that reads the stream for this one. It
	// reports false if there is no such VM. If nil, this VM reads the stream itself.
	RequestRecords func(ctx context.Context, from uint64, wait time.Duration) (entryvm.Records, bool, error)
	// OnChange is called after the state changed.
	OnChange func()
}

// Control holds one entry VM's copy of the replicated state. Its methods may be called
// from any goroutine.
type Control struct {
	config       Config
	stateMachine *stateMachine
	replica      *replica.Replica
	batcher      *commit.Batcher[state.Proposal, state.Outcome]

	mu sync.Mutex
	// waiters receive the outcomes of proposals that were made with an ID of their own
	// (see ProposeAs).
	waiters map[state.ProposalID][]chan state.Outcome
}

// New returns a Control. Follow, Commit and WriteSnapshots must be running for it to
// work.
func New(config Config) *Control {
	c := &Control{config: config, waiters: make(map[state.ProposalID][]chan state.Outcome)}
	c.stateMachine = &stateMachine{state: state.New(), onOutcome: c.deliverOutcome}
	var reader replica.RequestRecordsFunc
	if config.RequestRecords != nil {
		reader = c.requestRecords
	}
	c.replica = replica.New(replica.Config{
		RequestRecords: reader,
		Log:            config.Log, Stream: Stream, StateMachine: c.stateMachine, Logger: config.Logger, Writer: config.Incarnation,
		SnapshotEvery: config.SnapshotEvery, SnapshotMaxAge: config.SnapshotMaxAge,
		WritesSnapshots: config.WritesSnapshots, OnChange: config.OnChange,
	})
	c.batcher = commit.New[state.Proposal, state.Outcome](commit.Config[state.Proposal]{
		Log: config.Log, Stream: Stream, Encode: encodeProposals, MaxProposals: state.MaxProposals,
	})
	return c
}

func encodeProposals(proposals []state.Proposal) ([]byte, error) {
	return state.Encode(state.Record{Proposals: proposals})
}

func (c *Control) deliverOutcome(outcome state.Outcome) {
	if outcome.ID.Proposer == c.config.Incarnation {
		c.batcher.Resolve(outcome.ID.Sequence, outcome)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, waiter := range c.waiters[outcome.ID] {
		waiter <- outcome
	}
	delete(c.waiters, outcome.ID)
}

// Follow reads the stream until ctx ends.
func (c *Control) Follow(ctx context.Context) { c.replica.Run(ctx) }

// Commit appends proposals until ctx ends.
func (c *Control) Commit(ctx context.Context) { c.batcher.Run(ctx) }

// WriteSnapshots appends snapshots when due until ctx ends.
func (c *Control) WriteSnapshots(ctx context.Context) { c.replica.WriteSnapshots(ctx) }

// Ready returns a channel that is closed once there is a state.
func (c *Control) Ready() <-chan struct{} { return c.replica.Ready() }

// View calls read with the state, which must not be changed or kept.
func (c *Control) View(read func(*state.State)) {
	c.replica.View(func() { read(c.stateMachine.state) })
}

// Position returns the newest offset applied, the newest that the log is known to
// have, and when the log last answered.
func (c *Control) Position() (applied, end uint64, reachedAt time.Time) {
	a, e, at := c.replica.Position()
	return uint64(a), uint64(e), at
}

// Propose appends the proposal and returns its outcome. It fails with
// commit.ErrNotStored or commit.ErrOutcomeUnknown.
func (c *Control) Propose(ctx context.Context, p state.Proposal) (state.Outcome, error) {
	outcome, err := c.batcher.Submit(ctx, func(sequence uint64) state.Proposal {
		p.ID = state.ProposalID{Proposer: c.config.Incarnation, Sequence: sequence}
		return p
	}, nil)
	if err != nil {
		return state.Outcome{}, Error.Wrap(err)
	}
	return outcome, nil
}

// ProposeAs appends a proposal with the given ID and returns the first outcome of that
// ID, whichever VM proposed it. It fails with commit.ErrNotStored or
// commit.ErrOutcomeUnknown.
func (c *Control) ProposeAs(ctx context.Context, id state.ProposalID, p state.Proposal) (state.Outcome, error) {
	p.ID = id
	waiter := make(chan state.Outcome, 1)
	c.mu.Lock()
	c.waiters[id] = append(c.waiters[id], waiter)
	c.mu.Unlock()
	defer c.removeWaiter(id, waiter)
	if err := c.batcher.Store(ctx, p); err != nil {
		return state.Outcome{}, Error.Wrap(err)
	}
	select {
	case outcome := <-waiter:
		return outcome, nil
	case <-ctx.Done():
		return state.Outcome{}, Error.Wrap(commit.ErrOutcomeUnknown)
	}
}

func (c *Control) removeWaiter(id state.ProposalID, waiter chan state.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	others := slices.DeleteFunc(c.waiters[id], func(w chan state.Outcome) bool { return w == waiter })
	if len(others) == 0 {
		delete(c.waiters, id)
		return
	}
	c.waiters[id] = others
}

// SnapshotsWritten returns the number of snapshots that this VM wrote since its start.
func (c *Control) SnapshotsWritten() uint64 { return c.replica.SnapshotsWritten() }

// IsBehind reports whether a peer that has applied the stream up to the offset is ahead
// of this VM.
func (c *Control) IsBehind(applied uint64) bool {
	return c.replica.IsBehind(platformlog.Offset(applied))
}

// WaitForRecords waits until a record at or after the offset is available, for at most
// the given time and at most one second.
func (c *Control) WaitForRecords(from uint64, wait time.Duration) {
	c.replica.WaitForRecords(platformlog.Offset(from), wait)
}

// RecordsSince returns the control records from the offset on, or a snapshot, for a peer
// that is behind.
func (c *Control) RecordsSince(from uint64) (entryvm.Records, error) {
	records, snapshot, err := c.replica.RecordsSince(platformlog.Offset(from))
	if err != nil {
		return entryvm.Records{}, Error.Wrap(err)
	}
	out := entryvm.Records{Snapshot: snapshot, ReachedAgo: c.replica.ReachedAgo()}
	for _, r := range records {
		out.Records = append(out.Records, entryvm.Record{Offset: uint64(r.Offset), Time: r.Time, Data: r.Data})
	}
	return out, nil
}

// ApplyPeerRecords applies what a peer returned for RecordsSince(Applied+1).
func (c *Control) ApplyPeerRecords(from entryvm.Records) {
	c.replica.ApplyPeerRecords(toLogRecords(from.Records), from.Snapshot)
}

func (c *Control) requestRecords(ctx context.Context, from platformlog.Offset, wait time.Duration) (replica.ReaderRecords, bool, error) {
	got, hasReader, err := c.config.RequestRecords(ctx, uint64(from), wait)
	return replica.ReaderRecords{
		Records: toLogRecords(got.Records), Snapshot: got.Snapshot, ReachedAgo: got.ReachedAgo,
	}, hasReader, err
}

func toLogRecords(from []entryvm.Record) []platformlog.Record {
	records := make([]platformlog.Record, len(from))
	for i, r := range from {
		records[i] = platformlog.Record{Offset: platformlog.Offset(r.Offset), Time: r.Time, Data: r.Data}
	}
	return records
}
