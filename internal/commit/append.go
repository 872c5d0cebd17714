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

// Run appends queued proposals until ctx ends.
func (b *Batcher[T, R]) Run(ctx context.Context) {
	for {
		batch, ok := b.collectBatch(ctx)
		if !ok {
			return
		}
		interval := b.config.MinInterval
		if !b.appendBatch(ctx, b.dropAbandoned(batch)) {
			// Proposers must get an error without delay during an outage.
			interval = min(interval, defaultMinInterval)
		}
		if !pause.For(ctx, interval) {
			return
		}
	}
}

// collectBatch waits for a first proposal and adds the others that are queued.
func (b *Batcher[T, R]) collectBatch(ctx context.Context) ([]queuedProposal[T], bool) {
	var batch []queuedProposal[T]
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

// dropAbandoned removes proposals that nobody waits for any more. They were part of no
// append, so they can't be in the log. Otherwise the log would receive many outdated
// proposals after an outage before the first current one.
func (b *Batcher[T, R]) dropAbandoned(batch []queuedProposal[T]) []queuedProposal[T] {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.DeleteFunc(batch, func(p queuedProposal[T]) bool {
		if p.stored != nil {
			return false
		}
		w, ok := b.waiters[p.sequence]
		if ok && !w.isAbandoned() {
			return false
		}
		delete(b.waiters, p.sequence)
		return true
	})
}

// appendBatch appends the batch as one record, or as several if it is too large for
// one. It reports whether the log accepted what it was given. Splitting the batch keeps
// a large proposal, such as a published contract close to the log's limit, from failing
// the session renewals that share its record; a keeper whose renewal fails may lose its
// session and so its engines.
func (b *Batcher[T, R]) appendBatch(ctx context.Context, batch []queuedProposal[T]) bool {
	if len(batch) == 0 {
		return true
	}
	data, err := b.config.Encode(collectProposals(batch))
	if err == nil && len(data) <= b.config.MaxBytes {
		return b.appendRecord(ctx, batch, data)
	}
	if half := len(batch) / 2; half > 0 {
		first := b.appendBatch(ctx, batch[:half])
		return b.appendBatch(ctx, batch[half:]) && first
	}
	if err == nil {
		err = ErrTooLarge
	}
	b.failAll(batch, Error.Wrap(fmt.Errorf("%w: %w", ErrNotStored, err)))
	return true // the log is not at fault
}

// appendRecord appends one record and repeats the append while its outcome is unknown.
// Repeating it is safe because each proposal carries an identity: a duplicate has no
// effect.
func (b *Batcher[T, R]) appendRecord(ctx context.Context, batch []queuedProposal[T], data []byte) bool {
	b.setAppendingSince(time.Now())
	defer b.setAppendingSince(time.Time{})
	start := time.Now()
	mayBeStored := false
	for {
		err := b.appendOnce(ctx, data)
		if err == nil {
			notifyStored(batch, nil)
			return true
		}
		if !errors.Is(err, platformlog.ErrUnavailable) {
			mayBeStored = true
		}
		if !mayBeStored {
			b.failAll(batch, ErrNotStored)
			return false
		}
		if ctx.Err() != nil || time.Since(start) > maxRetryDuration || b.allResolved(batch) {
			b.failAll(batch, ErrOutcomeUnknown)
			return false
		}
		if !pause.For(ctx, retryPause) {
			b.failAll(batch, ErrOutcomeUnknown)
			return false
		}
	}
}

func (b *Batcher[T, R]) appendOnce(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, b.config.AppendTimeout)
	defer cancel()
	_, err := b.config.Log.Append(ctx, b.config.Stream, data)
	return err
}

// allResolved reports whether all proposals of the batch have been resolved.
func (b *Batcher[T, R]) allResolved(batch []queuedProposal[T]) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range batch {
		if _, waiting := b.waiters[p.sequence]; waiting || p.stored != nil {
			return false
		}
	}
	return true
}

// failAll delivers err to the waiters. If the outcome is unknown they stay registered as
// abandoned, since their proposals may still appear in the stream.
func (b *Batcher[T, R]) failAll(batch []queuedProposal[T], err error) {
	notifyStored(batch, err)
	for _, p := range batch {
		if errors.Is(err, ErrOutcomeUnknown) {
			b.failUnknown(p.sequence)
			continue
		}
		b.deliverResult(p.sequence, result[R]{err: err})
	}
}

func notifyStored[T any](batch []queuedProposal[T], err error) {
	for _, p := range batch {
		if p.stored != nil {
			p.stored <- err
		}
	}
}

func (b *Batcher[T, R]) failUnknown(sequence uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.waiters[sequence]
	if !ok || w.isAbandoned() {
		return
	}
	w.result <- result[R]{err: ErrOutcomeUnknown}
	if w.onLateResult == nil {
		delete(b.waiters, sequence)
	}
	w.abandonedAt = time.Now()
}

func (b *Batcher[T, R]) setAppendingSince(since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.appendingSince = since
}

func collectProposals[T any](batch []queuedProposal[T]) []T {
	out := make([]T, len(batch))
	for i, p := range batch {
		out[i] = p.proposal
	}
	return out
}
