// Package commit appends proposals to a stream of the platform's log, several to a
// record (group commit). It delivers the result to each proposer once the state machine
// of that stream has applied the proposal.
package commit

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"bergamotreel/platformlog"
)

// Error is the class of all errors of this package.
var Error = errs.Class("commit")

var (
	// ErrNotStored means that the proposal is not in the log and never will be.
	ErrNotStored = errs.New("proposal not stored")
	// ErrOutcomeUnknown means that the proposal may be in the log or may still be appended.
	ErrOutcomeUnknown = errs.New("proposal outcome unknown")
	// ErrTooLarge accompanies ErrNotStored if the proposal exceeds the log's limit for
	// one record.
	ErrTooLarge = errs.New("proposal too large for a record")
)

const (
	// defaultAppendTimeout bounds one append. A later answer counts as lost; the
	// platform's log answers in milliseconds.
	defaultAppendTimeout = 2 * time.Second
	// defaultMinInterval is the pause between two appends of one batcher. The log
	// accepts several hundred appends a second in total: 9 entry VMs with two streams
	// each at 40 a second stay within that. The second of two consecutive proposals
	// waits 25 ms longer.
	defaultMinInterval = 25 * time.Millisecond
	// retryPause is the pause before an append whose answer was lost is repeated.
	retryPause = 200 * time.Millisecond
	// maxRetryDuration bounds how long the append of a record with an unknown outcome
	// is repeated. Its waiters have given up by then.
	maxRetryDuration = time.Minute
	// stuckAppendTimeout is how long an append may be in flight before new proposals
	// are rejected at once instead of waiting behind it.
	stuckAppendTimeout = time.Second
	// maxQueued bounds the proposals that wait for the next record.
	maxQueued = 4096
	// defaultMaxBytes bounds one record; the platform's log takes 1 MiB.
	defaultMaxBytes = 1 << 20
	// abandonedTTL is how long a proposal that nobody waits for is kept in case it is
	// stored late. It is well above the longest time a delayed append may take to be
	// stored and above maxRetryDuration.
	abandonedTTL = 10 * time.Minute
)

// Config configures a Batcher. T is the type of the proposals.
type Config[T any] struct {
	Log    platformlog.Log
	Stream string
	// Encode encodes several proposals as one record.
	Encode func([]T) ([]byte, error)
	// MaxProposals bounds the proposals of one record and MaxBytes its size. MaxBytes
	// defaults to defaultMaxBytes.
	MaxProposals, MaxBytes int
	// MinInterval and AppendTimeout default to defaultMinInterval and
	// defaultAppendTimeout.
	MinInterval   time.Duration
	AppendTimeout time.Duration
}

// queuedProposal is a proposal that waits to be appended or whose append is in flight.
type queuedProposal[T any] struct {
	sequence uint64
	proposal T
	// stored receives the outcome of the append, for proposals of Store; nil otherwise.
	stored chan error
}

// waiter receives the result of a proposal. It is abandoned when nobody waits for the
// result any more.
type waiter[T, R any] struct {
	proposal     T
	result       chan result[R]
	onLateResult func(T, R)
	// abandonedAt is when the waiter was abandoned, zero before.
	abandonedAt time.Time
}

func (w *waiter[T, R]) isAbandoned() bool { return !w.abandonedAt.IsZero() }

type result[R any] struct {
	value R
	err   error
}

// Batcher combines proposals of type T into records and delivers results of type R.
type Batcher[T, R any] struct {
	config Config[T]
	queue  chan queuedProposal[T]

	mu       sync.Mutex
	sequence uint64
	waiters  map[uint64]*waiter[T, R]
	// appendingSince is when the append in flight started, zero if there is none.
	appendingSince time.Time
	// prunedAt is when abandoned waiters were last pruned.
	prunedAt time.Time
}

// New returns a batcher, which works once Run has been started.
func New[T, R any](config Config[T]) *Batcher[T, R] {
	if config.MinInterval == 0 {
		config.MinInterval = defaultMinInterval
	}
	if config.AppendTimeout == 0 {
		config.AppendTimeout = defaultAppendTimeout
	}
	if config.MaxBytes == 0 {
		config.MaxBytes = defaultMaxBytes
	}
	return &Batcher[T, R]{
		config:   config,
		queue:    make(chan queuedProposal[T], maxQueued),
		waiters:  make(map[uint64]*waiter[T, R]),
		prunedAt: time.Now(),
	}
}

// Submit appends a proposal and waits for its result. propose makes the proposal from
// its sequence number, which identifies it within this batcher. Submit fails with
// ErrNotStored or ErrOutcomeUnknown. After ErrOutcomeUnknown, onLateResult (if not nil) is called with
// the result if the proposal appears in the stream later.
func (b *Batcher[T, R]) Submit(ctx context.Context, propose func(sequence uint64) T, onLateResult func(T, R)) (R, error) {
	w, sequence, err := b.enqueue(propose, onLateResult)
	if err != nil {
		var zero R
		return zero, err
	}
	select {
	case r := <-w.result:
		return r.value, r.err
	case <-ctx.Done():
		return b.abandon(sequence, w)
	}
}

// Store appends a proposal and returns once it is in the log, without waiting for the
// state machine. It fails with ErrNotStored or ErrOutcomeUnknown.
func (b *Batcher[T, R]) Store(ctx context.Context, proposal T) error {
	stored := make(chan error, 1)
	if b.isAppendStuck(time.Now()) {
		return ErrNotStored
	}
	select {
	case b.queue <- queuedProposal[T]{proposal: proposal, stored: stored}:
	default:
		return ErrNotStored
	}
	select {
	case err := <-stored:
		return err
	case <-ctx.Done():
		return ErrOutcomeUnknown
	}
}

// isAppendStuck reports whether the append in flight has taken too long. While the log
// is down, a proposal queued behind such an append would make its caller wait until the
// deadline for nothing. It has not been stored, so ErrNotStored is correct.
func (b *Batcher[T, R]) isAppendStuck(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.appendingSince.IsZero() && now.Sub(b.appendingSince) > stuckAppendTimeout
}

// enqueue queues a proposal. It holds mu until the waiter is registered, so that no
// result can arrive before.
func (b *Batcher[T, R]) enqueue(propose func(uint64) T, onLateResult func(T, R)) (*waiter[T, R], uint64, error) {
	now := time.Now()
	if b.isAppendStuck(now) {
		return nil, 0, ErrNotStored
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pruneAbandoned(now)
	b.sequence++
	w := &waiter[T, R]{proposal: propose(b.sequence), result: make(chan result[R], 1), onLateResult: onLateResult}
	select {
	case b.queue <- queuedProposal[T]{sequence: b.sequence, proposal: w.proposal}:
	default:
		return nil, 0, ErrNotStored
	}
	b.waiters[b.sequence] = w
	return w, b.sequence, nil
}

// pruneAbandoned removes abandoned waiters whose proposals can't be stored any more, so
// that an outage does not leave them in memory forever. The caller holds mu.
func (b *Batcher[T, R]) pruneAbandoned(now time.Time) {
	if now.Sub(b.prunedAt) < abandonedTTL {
		return
	}
	b.prunedAt = now
	for sequence, w := range b.waiters {
		if w.isAbandoned() && now.Sub(w.abandonedAt) >= abandonedTTL {
			delete(b.waiters, sequence)
		}
	}
}

// abandon marks a waiter whose deadline passed as abandoned, or returns its result if
// that has arrived.
func (b *Batcher[T, R]) abandon(sequence uint64, w *waiter[T, R]) (R, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case r := <-w.result:
		return r.value, r.err
	default:
	}
	if w.onLateResult == nil {
		delete(b.waiters, sequence)
	}
	w.abandonedAt = time.Now()
	var zero R
	return zero, ErrOutcomeUnknown
}

// Resolve delivers the result of a proposal of this batcher. The state machine calls it
// for each one it applies.
func (b *Batcher[T, R]) Resolve(sequence uint64, value R) {
	b.deliverResult(sequence, result[R]{value: value})
}

func (b *Batcher[T, R]) deliverResult(sequence uint64, r result[R]) {
	b.mu.Lock()
	w, ok := b.waiters[sequence]
	delete(b.waiters, sequence)
	isAbandoned := ok && w.isAbandoned()
	if ok && !isAbandoned {
		w.result <- r
	}
	b.mu.Unlock()
	if isAbandoned && r.err == nil && w.onLateResult != nil {
		w.onLateResult(w.proposal, r.value)
	}
}
