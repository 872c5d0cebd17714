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
func (b *bed) through(name string) Reader {
	asked := b.replicas[name]
	return func(_ context.Context, from platformlog.Offset, wait time.Duration) (Relayed, bool, error) {
		asked.Await(from, wait)
		records, snapshot, err := asked.Since(from)
		return Relayed{records, snapshot, asked.ReachedAgo()}, true, err
	}
}

// following asks the reader of the moment, if there is one.
func following(reader *atomic.Pointer[Reader]) Reader {
	return func(ctx context.Context, from platformlog.Offset, wait time.Duration) (Relayed, bool, error) {
		if ask := reader.Load(); ask != nil {
			return (*ask)(ctx, from, wait)
		}
		return Relayed{}, false, nil
	}
}

// A VM follows the stream through another one, at once and without reading itself.
// That one is gone, hangs, answers at once with nothing, is cut off from the log, or
// follows this one: the VM reads the log itself before 5 s are over.
func TestFollowingThroughAReader(t *testing.T) {
	var failed Reader = func(context.Context, platformlog.Offset, time.Duration) (Relayed, bool, error) {
		return Relayed{}, true, errors.New("gone")
	}
	var hangs Reader = func(ctx context.Context, _ platformlog.Offset, _ time.Duration) (Relayed, bool, error) {
		<-ctx.Done()
		return Relayed{}, true, ctx.Err()
	}
	var cannotWait Reader = func(context.Context, platformlog.Offset, time.Duration) (Relayed, bool, error) {
		return Relayed{}, true, nil
	}
	for name, spoil := range map[string]func(b *bed, reader, back *atomic.Pointer[Reader]){
		"works":      nil,
		"gone":       func(_ *bed, reader, _ *atomic.Pointer[Reader]) { reader.Store(&failed) },
		"hangs":      func(_ *bed, reader, _ *atomic.Pointer[Reader]) { reader.Store(&hangs) },
		"can't wait": func(_ *bed, reader, _ *atomic.Pointer[Reader]) { reader.Store(&cannotWait) },
		"cut off":    func(b *bed, _, _ *atomic.Pointer[Reader]) { b.replicas["reader"].view.Cut() },
		"follows back": func(b *bed, _, back *atomic.Pointer[Reader]) {
			member := b.through("member")
			back.Store(&member)
		},
	} {
		runCase(t, name, logserver.Config{}, func(b *bed) {
			var reader, back atomic.Pointer[Reader]
			b.readers = map[string]Reader{"member": following(&reader), "reader": following(&back)}
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
