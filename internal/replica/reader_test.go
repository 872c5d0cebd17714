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

// requestThrough requests records from another VM as the node does.
func (b *testbed) requestThrough(name string) RequestRecordsFunc {
	reader := b.replicas[name]
	return func(_ context.Context, from platformlog.Offset, wait time.Duration) (ReaderRecords, bool, error) {
		reader.WaitForRecords(from, wait)
		records, snapshot, err := reader.RecordsSince(from)
		return ReaderRecords{records, snapshot, reader.ReachedAgo()}, true, err
	}
}

// requestFrom requests records from the current reader, if there is one.
func requestFrom(request *atomic.Pointer[RequestRecordsFunc]) RequestRecordsFunc {
	return func(ctx context.Context, from platformlog.Offset, wait time.Duration) (ReaderRecords, bool, error) {
		if current := request.Load(); current != nil {
			return (*current)(ctx, from, wait)
		}
		return ReaderRecords{}, false, nil
	}
}

// A VM follows the stream through its reader without delay and without reading the log.
// If the reader is down, hangs, answers at once without records, loses its connection to
// the log, or follows this VM in turn, the VM must read the log itself within 5 s.
func TestFollowsThroughReader(t *testing.T) {
	var failed RequestRecordsFunc = func(context.Context, platformlog.Offset, time.Duration) (ReaderRecords, bool, error) {
		return ReaderRecords{}, true, errors.New("gone")
	}
	var hangs RequestRecordsFunc = func(ctx context.Context, _ platformlog.Offset, _ time.Duration) (ReaderRecords, bool, error) {
		<-ctx.Done()
		return ReaderRecords{}, true, ctx.Err()
	}
	var cannotWait RequestRecordsFunc = func(context.Context, platformlog.Offset, time.Duration) (ReaderRecords, bool, error) {
		return ReaderRecords{}, true, nil
	}
	for name, breakReader := range map[string]func(b *testbed, reader, reverse *atomic.Pointer[RequestRecordsFunc]){
		"works":      nil,
		"gone":       func(_ *testbed, reader, _ *atomic.Pointer[RequestRecordsFunc]) { reader.Store(&failed) },
		"hangs":      func(_ *testbed, reader, _ *atomic.Pointer[RequestRecordsFunc]) { reader.Store(&hangs) },
		"can't wait": func(_ *testbed, reader, _ *atomic.Pointer[RequestRecordsFunc]) { reader.Store(&cannotWait) },
		"cut off":    func(b *testbed, _, _ *atomic.Pointer[RequestRecordsFunc]) { b.replicas["reader"].view.Disconnect() },
		"follows back": func(b *testbed, _, reverse *atomic.Pointer[RequestRecordsFunc]) {
			member := b.requestThrough("member")
			reverse.Store(&member)
		},
	} {
		runCase(t, name, logserver.Config{}, func(b *testbed) {
			var reader, reverse atomic.Pointer[RequestRecordsFunc]
			b.readers = map[string]RequestRecordsFunc{"member": requestFrom(&reader), "reader": requestFrom(&reverse)}
			b.start("reader", false)
			working := b.requestThrough("reader")
			reader.Store(&working)
			b.appendWords("one")
			member := b.start("member", false)
			time.Sleep(time.Second)
			if breakReader == nil {
				member.view.Disconnect()
			} else {
				breakReader(b, &reader, &reverse)
			}
			b.appendWords("two")
			if breakReader != nil {
				time.Sleep(5 * time.Second)
			}
			b.wantText("one two", "member")
		})
	}
}
