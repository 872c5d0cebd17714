package logserver

import (
	"context"
	"fmt"
	"slices"
	"time"

	"bergamotreel/internal/standin/faults"
	"bergamotreel/platformlog"

	"github.com/zeebo/errs"
)

// View is the log as one client reaches it: the faults of the whole store and
// the client's own apply together.
type View struct {
	store  *Store
	faults *faults.Injector
}

// Faults are the switches that hit this client only.
func (v *View) Faults() *faults.Injector { return v.faults }

// Cut separates this client from the log, whatever its other faults were.
func (v *View) Cut() { v.faults.Set(faults.Settings{Outage: true}) }

// Heal removes all faults of this client.
func (v *View) Heal() { v.faults.Set(faults.Settings{}) }

// Append implements platformlog.Log.
func (v *View) Append(ctx context.Context, stream string, data []byte) (platformlog.Offset, error) {
	if ctx.Err() != nil {
		return 0, unavailable(ctx.Err())
	}
	shared, own := v.store.faults.Get(), v.faults.Get()
	if shared.Outage || own.Outage {
		return 0, unavailable(faults.ErrOutage)
	}
	if len(data) > MaxRecordBytes {
		return 0, unavailable(platformlog.ErrTooLarge)
	}
	if !v.store.limiter.Allow() {
		return 0, unavailable(errTooManyAppends)
	}
	// The caller may reuse its buffer as soon as it has an answer.
	data = slices.Clone(data)
	delay := shared.Delay() + own.Delay()
	if delay <= 0 {
		return v.land(stream, data)
	}
	return v.landLate(ctx, stream, data, delay)
}

// landLate stores the record after the delay, also when the caller has given up
// by then: so a caller sees a record appear long after its own timeout.
func (v *View) landLate(ctx context.Context, stream string, data []byte, delay time.Duration) (platformlog.Offset, error) {
	type answer struct {
		offset platformlog.Offset
		err    error
	}
	answers := make(chan answer, 1)
	time.AfterFunc(delay, func() {
		offset, err := v.land(stream, data)
		answers <- answer{offset, err}
	})
	select {
	case got := <-answers:
		return got.offset, got.err
	case <-ctx.Done():
		return 0, unknown(ctx.Err())
	}
}

// land stores the record and then may lose the answer.
func (v *View) land(stream string, data []byte) (platformlog.Offset, error) {
	offset := v.store.store(stream, data)
	if v.store.faults.ShouldLoseAnswer() || v.faults.ShouldLoseAnswer() {
		return 0, unknown(errs.New("answer lost"))
	}
	return offset, nil
}

// Read implements platformlog.Log. The records' data is shared: read it only.
func (v *View) Read(ctx context.Context, stream string, from platformlog.Offset, max int, wait time.Duration) (platformlog.Batch, error) {
	if err := v.enter(ctx); err != nil {
		return platformlog.Batch{}, unavailable(err)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		// Taken before the look at the switches, so that no change is missed.
		sharedChanged, ownChanged := v.store.faults.Changed(), v.faults.Changed()
		if v.store.faults.Get().Outage || v.faults.Get().Outage {
			return platformlog.Batch{}, unavailable(faults.ErrOutage)
		}
		batch, appended, err := v.store.peek(stream, from, max)
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-appended:
		case <-sharedChanged:
		case <-ownChanged:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return platformlog.Batch{}, unavailable(ctx.Err())
		}
	}
}

// enter waits out the delays of a read.
func (v *View) enter(ctx context.Context) error {
	if err := v.store.faults.BeginCall(ctx); err != nil {
		return err
	}
	return v.faults.BeginCall(ctx)
}

func unavailable(cause error) error {
	return platformlog.Error.Wrap(fmt.Errorf("%w: %w", platformlog.ErrUnavailable, cause))
}

func unknown(cause error) error {
	return platformlog.Error.Wrap(fmt.Errorf("%w: %w", platformlog.ErrUnknown, cause))
}

var _ platformlog.Log = (*View)(nil)
