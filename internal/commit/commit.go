// Package commit appends proposals to a stream of the platform's log, several
// to a record (group commit), and tells each proposer what its proposal came to
// once the fold of that stream has met it.
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
	// ErrNotStored says that the proposal is not in the log and never will be.
	ErrNotStored = errs.New("proposal not stored")
	// ErrUnknown says that the proposal may be in the log, or land there later.
	ErrUnknown = errs.New("proposal outcome unknown")
	// ErrTooLarge comes with ErrNotStored: the log takes no record so large.
	ErrTooLarge = errs.New("proposal too large for a record")
)

const (
	// defaultAppendTimeout bounds one append. An answer later than this counts
	// as lost; the platform's log answers in milliseconds.
	defaultAppendTimeout = 2 * time.Second
	// defaultMinInterval is the pause between two appends of one batcher. The
	// log takes several hundred appends a second for everybody: 9 entry VMs with
	// two streams each at 40 a second stay within that, at 25 ms of added wait
	// for the second proposal in a row.
	defaultMinInterval = 25 * time.Millisecond
	// retryPause is the pause before an append with a lost answer is repeated.
	retryPause = 200 * time.Millisecond
	// giveUpAfter bounds how long a record whose append has an unknown outcome
	// is repeated; its waiters have left by then.
	giveUpAfter = time.Minute
	// stuckAfter is how long an append may be under way before new proposals are
	// turned away at once instead of waiting behind it.
	stuckAfter = time.Second
	// queueLength bounds the proposals that wait for the next record.
	queueLength = 4096
	// defaultMaxBytes bounds one record; the platform's log takes 1 MiB.
	defaultMaxBytes = 1 << 20
	// abandonedFor is how long a proposal that nobody waits for is remembered,
	// should it land late: well over the longest life of a message and the time
	// for which an append is repeated.
	abandonedFor = 10 * time.Minute
)

// Config describes one batcher; T is the proposal type.
type Config[T any] struct {
	Log    platformlog.Log
	Stream string
	// Encode makes one record of several proposals.
	Encode func([]T) ([]byte, error)
	// MaxProposals bounds the proposals of one record, MaxBytes its bytes; MaxBytes
	// defaults to the constant above.
	MaxProposals, MaxBytes int
	// MinInterval and AppendTimeout default to the constants above.
	MinInterval   time.Duration
	AppendTimeout time.Duration
}

// item is one proposal on its way into the log.
type item[T any] struct {
	sequence uint64
	proposal T
	// stored is told once the record was appended or given up; nil without one.
	stored chan error
}

// waiter is told what a proposal came to. An abandoned one has nobody waiting.
type waiter[T, R any] struct {
	proposal  T
	result    chan result[R]
	abandoned func(T, R)
	// leftAt is when nobody read result any more, zero before.
	leftAt time.Time
}

func (w *waiter[T, R]) left() bool { return !w.leftAt.IsZero() }

type result[R any] struct {
	value R
	err   error
}

// Batcher groups proposals of type T and delivers results of type R.
type Batcher[T, R any] struct {
	config Config[T]
	queue  chan item[T]

	mu       sync.Mutex
	sequence uint64
	waiters  map[uint64]*waiter[T, R]
	// busySince is when the append now under way began, zero if there is none.
	busySince time.Time
	// prunedAt is when abandoned waiters were last looked for.
	prunedAt time.Time
}

// New makes a batcher; Run must be started for it to work.
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
		queue:    make(chan item[T], queueLength),
		waiters:  make(map[uint64]*waiter[T, R]),
		prunedAt: time.Now(),
	}
}

// Submit proposes and waits for the result. The proposal is made from its
// sequence number, its identity with this batcher. It fails with ErrNotStored
// or ErrUnknown; after ErrUnknown, abandoned (if not nil) is called with the
// result should the proposal be found in the stream later.
func (b *Batcher[T, R]) Submit(ctx context.Context, propose func(sequence uint64) T, abandoned func(T, R)) (R, error) {
	w, sequence, err := b.enqueue(propose, abandoned)
	if err != nil {
		var none R
		return none, err
	}
	select {
	case r := <-w.result:
		return r.value, r.err
	case <-ctx.Done():
		return b.abandon(sequence, w)
	}
}

// Store appends a proposal and returns once it is in the log, without waiting
// for the fold. It fails with ErrNotStored or ErrUnknown.
func (b *Batcher[T, R]) Store(ctx context.Context, proposal T) error {
	stored := make(chan error, 1)
	if b.stuck(time.Now()) {
		return ErrNotStored
	}
	select {
	case b.queue <- item[T]{proposal: proposal, stored: stored}:
	default:
		return ErrNotStored
	}
	select {
	case err := <-stored:
		return err
	case <-ctx.Done():
		return ErrUnknown
	}
}

// stuck tells whether the append now under way has taken too long. Failure:
// with the log down, a proposal behind a stuck append would wait for nothing
// until its deadline, and the caller with it. It was not stored yet, so "not
// stored" is true.
func (b *Batcher[T, R]) stuck(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.busySince.IsZero() && now.Sub(b.busySince) > stuckAfter
}

// enqueue registers the waiter before the proposal can land.
func (b *Batcher[T, R]) enqueue(propose func(uint64) T, abandoned func(T, R)) (*waiter[T, R], uint64, error) {
	now := time.Now()
	if b.stuck(now) {
		return nil, 0, ErrNotStored
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now)
	b.sequence++
	w := &waiter[T, R]{proposal: propose(b.sequence), result: make(chan result[R], 1), abandoned: abandoned}
	select {
	case b.queue <- item[T]{sequence: b.sequence, proposal: w.proposal}:
	default:
		return nil, 0, ErrNotStored
	}
	b.waiters[b.sequence] = w
	return w, b.sequence, nil
}

// prune forgets abandoned proposals that will not land any more, so that an
// outage does not leave them in memory for ever. Call with mu held.
func (b *Batcher[T, R]) prune(now time.Time) {
	if now.Sub(b.prunedAt) < abandonedFor {
		return
	}
	b.prunedAt = now
	for sequence, w := range b.waiters {
		if w.left() && now.Sub(w.leftAt) >= abandonedFor {
			delete(b.waiters, sequence)
		}
	}
}

// abandon leaves a proposal whose waiter ran out of time.
func (b *Batcher[T, R]) abandon(sequence uint64, w *waiter[T, R]) (R, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case r := <-w.result:
		return r.value, r.err
	default:
	}
	if w.abandoned == nil {
		delete(b.waiters, sequence)
	}
	w.leftAt = time.Now()
	var none R
	return none, ErrUnknown
}

// Resolve delivers the result of an own proposal; the fold calls it for each
// one it meets.
func (b *Batcher[T, R]) Resolve(sequence uint64, value R) {
	b.finish(sequence, result[R]{value: value})
}

func (b *Batcher[T, R]) finish(sequence uint64, r result[R]) {
	b.mu.Lock()
	w, ok := b.waiters[sequence]
	delete(b.waiters, sequence)
	abandoned := ok && w.left()
	if ok && !abandoned {
		w.result <- r
	}
	b.mu.Unlock()
	if abandoned && r.err == nil && w.abandoned != nil {
		w.abandoned(w.proposal, r.value)
	}
}
