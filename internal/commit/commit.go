// Package commit appends proposals to a stream of the platform's log, several
// to a record (group commit), and tells each proposer what its proposal came to
// once the fold of that stream has met it.
package commit

import (
	"context"
	"errors"
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
)

// Config describes one batcher; T is the proposal type.
type Config[T any] struct {
	Log    platformlog.Log
	Stream string
	// Encode makes one record of several proposals.
	Encode func([]T) ([]byte, error)
	// Max bounds the proposals of one record.
	Max int
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
	// left is set once nobody reads result any more.
	left bool
}

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
}

// New makes a batcher; Run must be started for it to work.
func New[T, R any](config Config[T]) *Batcher[T, R] {
	if config.MinInterval == 0 {
		config.MinInterval = defaultMinInterval
	}
	if config.AppendTimeout == 0 {
		config.AppendTimeout = defaultAppendTimeout
	}
	return &Batcher[T, R]{
		config:  config,
		queue:   make(chan item[T], queueLength),
		waiters: make(map[uint64]*waiter[T, R]),
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

// enqueue registers the waiter before the proposal can land.
func (b *Batcher[T, R]) enqueue(propose func(uint64) T, abandoned func(T, R)) (*waiter[T, R], uint64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// With the log down a proposal behind a stuck append would wait for nothing
	// until its deadline, and the caller with it. Nothing was stored yet, so
	// "not stored" is true.
	if !b.busySince.IsZero() && time.Since(b.busySince) > stuckAfter {
		return nil, 0, ErrNotStored
	}
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
	w.left = true
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
	abandoned := ok && w.left
	if ok && !abandoned {
		w.result <- r
	}
	b.mu.Unlock()
	if abandoned && r.err == nil && w.abandoned != nil {
		w.abandoned(w.proposal, r.value)
	}
}

// Run appends records until ctx ends.
func (b *Batcher[T, R]) Run(ctx context.Context) {
	for {
		batch, ok := b.gather(ctx)
		if !ok {
			return
		}
		b.store(ctx, batch)
		if !sleep(ctx, b.config.MinInterval) {
			return
		}
	}
}

// gather waits for a first proposal and takes what else is queued.
func (b *Batcher[T, R]) gather(ctx context.Context) ([]item[T], bool) {
	var batch []item[T]
	select {
	case first := <-b.queue:
		batch = append(batch, first)
	case <-ctx.Done():
		return nil, false
	}
	for len(batch) < b.config.Max {
		select {
		case next := <-b.queue:
			batch = append(batch, next)
		default:
			return batch, true
		}
	}
	return batch, true
}

// store appends one record, again and again while its outcome is unknown: the
// proposals carry identities, so landing twice does no more than landing once.
func (b *Batcher[T, R]) store(ctx context.Context, batch []item[T]) {
	b.setBusy(time.Now())
	defer b.setBusy(time.Time{})
	data, err := b.config.Encode(proposals(batch))
	if err != nil {
		b.failAll(batch, Error.Wrap(err))
		return
	}
	begun := time.Now()
	mayBeStored := false
	for {
		err := b.append(ctx, data)
		if err == nil {
			tellStored(batch, nil)
			return
		}
		if !errors.Is(err, platformlog.ErrUnavailable) {
			mayBeStored = true
		}
		if !mayBeStored {
			b.failAll(batch, ErrNotStored)
			return
		}
		if ctx.Err() != nil || time.Since(begun) > giveUpAfter || b.resolved(batch) {
			b.failAll(batch, ErrUnknown)
			return
		}
		if !sleep(ctx, retryPause) {
			b.failAll(batch, ErrUnknown)
			return
		}
	}
}

func (b *Batcher[T, R]) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, b.config.AppendTimeout)
	defer cancel()
	_, err := b.config.Log.Append(ctx, b.config.Stream, data)
	return err
}

// resolved tells whether the fold has met every proposal of the batch.
func (b *Batcher[T, R]) resolved(batch []item[T]) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, i := range batch {
		if _, waiting := b.waiters[i.sequence]; waiting || i.stored != nil {
			return false
		}
	}
	return true
}

// failAll ends the waiters with err. Where the outcome is unknown they stay
// registered as abandoned: their proposals may still be found in the stream.
func (b *Batcher[T, R]) failAll(batch []item[T], err error) {
	tellStored(batch, err)
	for _, i := range batch {
		if errors.Is(err, ErrUnknown) {
			b.failUnknown(i.sequence)
			continue
		}
		b.finish(i.sequence, result[R]{err: err})
	}
}

func tellStored[T any](batch []item[T], err error) {
	for _, i := range batch {
		if i.stored != nil {
			i.stored <- err
		}
	}
}

func (b *Batcher[T, R]) failUnknown(sequence uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.waiters[sequence]
	if !ok || w.left {
		return
	}
	w.result <- result[R]{err: ErrUnknown}
	if w.abandoned == nil {
		delete(b.waiters, sequence)
	}
	w.left = true
}

func (b *Batcher[T, R]) setBusy(since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busySince = since
}

func proposals[T any](batch []item[T]) []T {
	out := make([]T, len(batch))
	for i, it := range batch {
		out[i] = it.proposal
	}
	return out
}

// sleep waits for d or the end of ctx; it tells whether the time passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
