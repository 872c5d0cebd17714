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

// View is one client's handle on the log. The faults of the whole store and
// those of the client both apply.
type View struct {
	store  *Store
	faults *faults.Injector
}

// Faults returns the fault switches that affect only this client.
func (v *View) Faults() *faults.Injector { return v.faults }

// Disconnect makes the log unavailable to this client. It replaces the client's
// other faults.
func (v *View) Disconnect() { v.faults.Set(faults.Settings{Outage: true}) }

// Heal removes all faults of this client.
func (v *View) Heal() { v.faults.Set(faults.Settings{}) }

// Append implements platformlog.Log.
func (v *View) Append(ctx context.Context, stream string, data []byte) (platformlog.Offset, error) {
	if ctx.Err() != nil {
		return 0, wrapUnavailable(ctx.Err())
	}
	shared, own := v.store.faults.Get(), v.faults.Get()
	if shared.Outage || own.Outage {
		return 0, wrapUnavailable(faults.ErrOutage)
	}
	if len(data) > MaxRecordBytes {
		return 0, wrapUnavailable(platformlog.ErrTooLarge)
	}
	if !v.store.limiter.Allow() {
		return 0, wrapUnavailable(errTooManyAppends)
	}
	// The caller may reuse its buffer as soon as Append returns.
	data = slices.Clone(data)
	delay := shared.Delay() + own.Delay()
	if delay <= 0 {
		return v.appendAndAnswer(stream, data)
	}
	return v.appendDelayed(ctx, stream, data, delay)
}

// appendDelayed stores the record after the delay, even if ctx has ended by then. A
// record can therefore appear long after its caller's timeout.
func (v *View) appendDelayed(ctx context.Context, stream string, data []byte, delay time.Duration) (platformlog.Offset, error) {
	type answer struct {
		offset platformlog.Offset
		err    error
	}
	answers := make(chan answer, 1)
	time.AfterFunc(delay, func() {
		offset, err := v.appendAndAnswer(stream, data)
		answers <- answer{offset, err}
	})
	select {
	case a := <-answers:
		return a.offset, a.err
	case <-ctx.Done():
		return 0, wrapUnknown(ctx.Err())
	}
}

// appendAndAnswer stores the record and then loses the answer if a fault switch
// says so.
func (v *View) appendAndAnswer(stream string, data []byte) (platformlog.Offset, error) {
	offset := v.store.appendRecord(stream, data)
	if v.store.faults.ShouldLoseAnswer() || v.faults.ShouldLoseAnswer() {
		return 0, wrapUnknown(errs.New("answer lost"))
	}
	return offset, nil
}

// Read implements platformlog.Log. The data of the records is shared; callers must
// not modify it.
func (v *View) Read(ctx context.Context, stream string, from platformlog.Offset, max int, wait time.Duration) (platformlog.Batch, error) {
	if err := v.waitReadDelay(ctx); err != nil {
		return platformlog.Batch{}, wrapUnavailable(err)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		// The channels are fetched before the switches are read, so that no change
		// is missed.
		sharedChanged, ownChanged := v.store.faults.Changed(), v.faults.Changed()
		if v.store.faults.Get().Outage || v.faults.Get().Outage {
			return platformlog.Batch{}, wrapUnavailable(faults.ErrOutage)
		}
		batch, appended, err := v.store.readAvailable(stream, from, max)
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
			return platformlog.Batch{}, wrapUnavailable(ctx.Err())
		}
	}
}

// waitReadDelay waits for the delays that the store and the client add to a read.
func (v *View) waitReadDelay(ctx context.Context) error {
	if err := v.store.faults.BeginCall(ctx); err != nil {
		return err
	}
	return v.faults.BeginCall(ctx)
}

func wrapUnavailable(cause error) error {
	return platformlog.Error.Wrap(fmt.Errorf("%w: %w", platformlog.ErrUnavailable, cause))
}

func wrapUnknown(cause error) error {
	return platformlog.Error.Wrap(fmt.Errorf("%w: %w", platformlog.ErrOutcomeUnknown, cause))
}

var _ platformlog.Log = (*View)(nil)
