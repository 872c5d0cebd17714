package replica

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"bergamotreel/internal/standin/logserver"
	"bergamotreel/platformlog"
)

// through asks another VM as the node does.
func (b *bed) through(name string) RequestRecordsFunc {
	asked := b.replicas[name]
	return func(_ context.Context, from platformlog.Offset, wait time.Duration) (RelayedRecords, bool, error) {
		asked.WaitForRecords(from, wait)
		records, snapshot, err := asked.RecordsSince(from)
		return RelayedRecords{records, snapshot, asked.ReachedAgo()}, true, err
	}
}

// following asks the reader of the moment, if there is one.
func following(reader *atomic.Pointer[RequestRecordsFunc]) RequestRecordsFunc {
	return func(ctx context.Context, from platformlog.Offset, wait time.Duration) (RelayedRecords, bool, error) {
		if ask := reader.Load(); ask != nil {
			return (*ask)(ctx, from, wait)
		}
		return RelayedRecords{}, false, nil
	}
}

// A VM follows the stream through another one, at once and without reading itself.
// That one is gone, hangs, answers at once with nothing, is cut off from the log, or
// follows this one: the VM reads the log itself before 5 s are over.
func TestFollowingThroughAReader(t *testing.T) {
	var failed RequestRecordsFunc = func(context.Context, platformlog.Offset, time.Duration) (RelayedRecords, bool, error) {
		return RelayedRecords{}, true, errors.New("gone")
	}
	var hangs RequestRecordsFunc = func(ctx context.Context, _ platformlog.Offset, _ time.Duration) (RelayedRecords, bool, error) {
		<-ctx.Done()
		return RelayedRecords{}, true, ctx.Err()
	}
	var cannotWait RequestRecordsFunc = func(context.Context, platformlog.Offset, time.Duration) (RelayedRecords, bool, error) {
		return RelayedRecords{}, true, nil
	}
	for name, spoil := range map[string]func(b *bed, reader, back *atomic.Pointer[RequestRecordsFunc]){
		"works":      nil,
		"gone":       func(_ *bed, reader, _ *atomic.Pointer[RequestRecordsFunc]) { reader.Store(&failed) },
		"hangs":      func(_ *bed, reader, _ *atomic.Pointer[RequestRecordsFunc]) { reader.Store(&hangs) },
		"can't wait": func(_ *bed, reader, _ *atomic.Pointer[RequestRecordsFunc]) { reader.Store(&cannotWait) },
		"cut off":    func(b *bed, _, _ *atomic.Pointer[RequestRecordsFunc]) { b.replicas["reader"].view.Cut() },
		"follows back": func(b *bed, _, back *atomic.Pointer[RequestRecordsFunc]) {
			member := b.through("member")
			back.Store(&member)
		},
	} {
		runCase(t, name, logserver.Config{}, func(b *bed) {
			var reader, back atomic.Pointer[RequestRecordsFunc]
			b.readers = map[string]RequestRecordsFunc{"member": following(&reader), "reader": following(&back)}
			b.start("reader", false)
			good := b.through("reader")
			reader.Store(&good)
			b.say("one")
			member := b.start("member", false)
			time.Sleep(time.Second)
			if spoil == nil {
				member.view.Cut()
			} else {
				spoil(b, &reader, &back)
			}
			b.say("two")
			if spoil != nil {
				time.Sleep(5 * time.Second)
			}
			b.want("one two", "member")
		})
	}
}
