// Package control is an entry VM's access to the control stream: the folded
// state, and proposals with their outcomes.
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

// Config is what a Control needs.
type Config struct {
	Log    platformlog.Log
	Logger *zap.Logger
	// Incarnation is unique to this start of this process.
	Incarnation string
	// WritesSnapshots tells whether this VM should write the snapshots now.
	WritesSnapshots func() bool
	SnapshotEvery   int
	SnapshotMaxAge  time.Duration
	// RequestRecords asks the VM that reads the stream for this one, and tells whether there
	// is one; nil: this VM reads it.
	RequestRecords func(ctx context.Context, from uint64, wait time.Duration) (entryvm.Records, bool, error)
	// OnChange is called after news in the state.
	OnChange func()
}

// Control holds the state of one entry VM. Its methods may be called from any
// goroutine.
type Control struct {
	config  Config
	fold    *fold
	replica *replica.Replica
	batcher *commit.Batcher[state.Proposal, state.Outcome]

	mu sync.Mutex
	// named are those who wait for proposals that carry an identity of their own.
	named map[state.ProposalID][]chan state.Outcome
}

// New makes a control; Run must be started for it to work.
func New(config Config) *Control {
	c := &Control{config: config, named: make(map[state.ProposalID][]chan state.Outcome)}
	c.fold = &fold{state: state.New(), outcome: c.resolve}
	var reader replica.Reader
	if config.RequestRecords != nil {
		reader = c.askReader
	}
	c.replica = replica.New(replica.Config{
		Reader: reader,
		Log:    config.Log, Stream: Stream, Fold: c.fold, Logger: config.Logger, Writer: config.Incarnation,
		SnapshotEvery: config.SnapshotEvery, SnapshotMaxAge: config.SnapshotMaxAge,
		WritesSnapshots: config.WritesSnapshots, Changed: config.OnChange,
	})
	c.batcher = commit.New[state.Proposal, state.Outcome](commit.Config[state.Proposal]{
		Log: config.Log, Stream: Stream, Encode: encode, Max: state.MaxProposals,
	})
	return c
}

func encode(proposals []state.Proposal) ([]byte, error) {
	return state.Encode(state.Record{Proposals: proposals})
}

func (c *Control) resolve(outcome state.Outcome) {
	if outcome.ID.Proposer == c.config.Incarnation {
		c.batcher.Resolve(outcome.ID.Sequence, outcome)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, waiting := range c.named[outcome.ID] {
		waiting <- outcome
	}
	delete(c.named, outcome.ID)
}

// Follow reads the stream until ctx ends.
func (c *Control) Follow(ctx context.Context) { c.replica.Run(ctx) }

// Commit appends proposals until ctx ends.
func (c *Control) Commit(ctx context.Context) { c.batcher.Run(ctx) }

// WriteSnapshots appends snapshots when due until ctx ends.
func (c *Control) WriteSnapshots(ctx context.Context) { c.replica.WriteSnapshots(ctx) }

// Ready is closed once there is a state.
func (c *Control) Ready() <-chan struct{} { return c.replica.Ready() }

// View calls read with the state, which must not be changed or kept.
func (c *Control) View(read func(*state.State)) {
	c.replica.View(func() { read(c.fold.state) })
}

// Position tells the newest offset folded, the newest that the log is known to
// have, and when the log last answered.
func (c *Control) Position() (applied, end uint64, reachedAt time.Time) {
	a, e, at := c.replica.Position()
	return uint64(a), uint64(e), at
}

// Propose appends the proposal and returns what it came to. It fails with
// commit.ErrNotStored or commit.ErrUnknown.
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

// ProposeAs appends a proposal that carries an identity of its own, and returns
// what that identity first came to, at whichever VM it was proposed. It fails
// with commit.ErrNotStored or commit.ErrUnknown.
func (c *Control) ProposeAs(ctx context.Context, id state.ProposalID, p state.Proposal) (state.Outcome, error) {
	p.ID = id
	waiting := make(chan state.Outcome, 1)
	c.mu.Lock()
	c.named[id] = append(c.named[id], waiting)
	c.mu.Unlock()
	defer c.forget(id, waiting)
	if err := c.batcher.Store(ctx, p); err != nil {
		return state.Outcome{}, Error.Wrap(err)
	}
	select {
	case outcome := <-waiting:
		return outcome, nil
	case <-ctx.Done():
		return state.Outcome{}, Error.Wrap(commit.ErrUnknown)
	}
}

func (c *Control) forget(id state.ProposalID, waiting chan state.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	others := slices.DeleteFunc(c.named[id], func(w chan state.Outcome) bool { return w == waiting })
	if len(others) == 0 {
		delete(c.named, id)
		return
	}
	c.named[id] = others
}

// SnapshotsWritten counts the snapshots that this VM wrote since its start.
func (c *Control) SnapshotsWritten() uint64 { return c.replica.SnapshotsWritten() }

// IsBehind tells whether a peer that has folded up to the offset knows more.
func (c *Control) IsBehind(applied uint64) bool { return c.replica.Lags(platformlog.Offset(applied)) }

// WaitForRecords waits until a record at the offset or after it is at hand, or for the
// time, of which a second counts at most.
func (c *Control) WaitForRecords(from uint64, wait time.Duration) {
	c.replica.Await(platformlog.Offset(from), wait)
}

// RecordsSince returns control records for a peer that lags.
func (c *Control) RecordsSince(from uint64) (entryvm.Records, error) {
	records, snapshot, err := c.replica.Since(platformlog.Offset(from))
	if err != nil {
		return entryvm.Records{}, Error.Wrap(err)
	}
	out := entryvm.Records{Snapshot: snapshot, ReachedAgo: c.replica.ReachedAgo()}
	for _, r := range records {
		out.Records = append(out.Records, entryvm.Record{Offset: uint64(r.Offset), Time: r.Time, Data: r.Data})
	}
	return out, nil
}

// ApplyPeerRecords takes what a peer sent for Since(Applied+1).
func (c *Control) ApplyPeerRecords(from entryvm.Records) {
	c.replica.Offer(logRecords(from.Records), from.Snapshot)
}

func (c *Control) askReader(ctx context.Context, from platformlog.Offset, wait time.Duration) (replica.Relayed, bool, error) {
	got, asked, err := c.config.RequestRecords(ctx, uint64(from), wait)
	return replica.Relayed{
		Records: logRecords(got.Records), Snapshot: got.Snapshot, ReachedAgo: got.ReachedAgo,
	}, asked, err
}

func logRecords(from []entryvm.Record) []platformlog.Record {
	records := make([]platformlog.Record, len(from))
	for i, r := range from {
		records[i] = platformlog.Record{Offset: platformlog.Offset(r.Offset), Time: r.Time, Data: r.Data}
	}
	return records
}
