package commit

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"bergamotreel/internal/pause"
	"bergamotreel/platformlog"
)

// Run appends records until ctx ends.
func (b *Batcher[T, R]) Run(ctx context.Context) {
	for {
		batch, ok := b.gather(ctx)
		if !ok {
			return
		}
		interval := b.config.MinInterval
		if !b.store(ctx, b.wanted(batch)) {
			// Who proposes during an outage is to be told at once.
			interval = min(interval, defaultMinInterval)
		}
		if !pause.For(ctx, interval) {
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
	for len(batch) < b.config.MaxProposals {
		select {
		case next := <-b.queue:
			batch = append(batch, next)
		default:
			return batch, true
		}
	}
	return batch, true
}

// wanted drops the proposals whose waiters have left: they were in no append
// yet, so they can't be in the log. Failure: after an outage the log would be
// given a heap of old proposals before the first new one.
func (b *Batcher[T, R]) wanted(batch []item[T]) []item[T] {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.DeleteFunc(batch, func(i item[T]) bool {
		if i.stored != nil {
			return false
		}
		w, ok := b.waiters[i.sequence]
		if ok && !w.left() {
			return false
		}
		delete(b.waiters, i.sequence)
		return true
	})
}

// store appends the batch as one record, or as several where it is too large
// for one; it tells whether the log took what it was given. Failure: a published contract near the log's bound took the session
// renewals that shared its record down with it, and engines lost their keeper.
func (b *Batcher[T, R]) store(ctx context.Context, batch []item[T]) bool {
	if len(batch) == 0 {
		return true
	}
	data, err := b.config.Encode(proposals(batch))
	if err == nil && len(data) <= b.config.MaxBytes {
		return b.storeRecord(ctx, batch, data)
	}
	if half := len(batch) / 2; half > 0 {
		first := b.store(ctx, batch[:half])
		return b.store(ctx, batch[half:]) && first
	}
	if err == nil {
		err = ErrTooLarge
	}
	b.failAll(batch, Error.Wrap(fmt.Errorf("%w: %w", ErrNotStored, err)))
	return true // nothing is wrong with the log
}

// storeRecord appends one record, again and again while its outcome is unknown:
// the proposals carry identities, so landing twice does no more than landing
// once.
func (b *Batcher[T, R]) storeRecord(ctx context.Context, batch []item[T], data []byte) bool {
	b.setBusy(time.Now())
	defer b.setBusy(time.Time{})
	begun := time.Now()
	mayBeStored := false
	for {
		err := b.append(ctx, data)
		if err == nil {
			tellStored(batch, nil)
			return true
		}
		if !errors.Is(err, platformlog.ErrUnavailable) {
			mayBeStored = true
		}
		if !mayBeStored {
			b.failAll(batch, ErrNotStored)
			return false
		}
		if ctx.Err() != nil || time.Since(begun) > giveUpAfter || b.resolved(batch) {
			b.failAll(batch, ErrUnknown)
			return false
		}
		if !pause.For(ctx, retryPause) {
			b.failAll(batch, ErrUnknown)
			return false
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
	if !ok || w.left() {
		return
	}
	w.result <- result[R]{err: ErrUnknown}
	if w.abandoned == nil {
		delete(b.waiters, sequence)
	}
	w.leftAt = time.Now()
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
