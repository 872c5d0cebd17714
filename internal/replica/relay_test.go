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
	relay := b.replicas[name]
	return func(_ context.Context, from platformlog.Offset, wait time.Duration) (ReaderRecords, bool, error) {
		relay.WaitForRecords(from, wait)
		records, snapshot, err := relay.RecordsSince(from)
		return ReaderRecords{records, snapshot, relay.ReachedAgo()}, true, err
	}
}

// requestFrom requests records from the current relay, if there is one.
func requestFrom(request *atomic.Pointer[RequestRecordsFunc]) RequestRecordsFunc {
	return func(ctx context.Context, from platformlog.Offset, wait time.Duration) (ReaderRecords, bool, error) {
		if current := request.Load(); current != nil {
			return (*current)(ctx, from, wait)
		}
		return ReaderRecords{}, false, nil
	}
}

// A VM follows the stream through its relay without delay and without reading the log.
// If the relay is down, hangs, answers at once without records, loses its connection to
// the log, or follows this VM in turn, the VM must read the log itself within 5 s.
func TestFollowsThroughRelay(t *testing.T) {
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
	for name, breakRelay := range map[string]func(b *testbed, relay, reverse *atomic.Pointer[RequestRecordsFunc]){
		"works":      nil,
		"gone":       func(_ *testbed, relay, _ *atomic.Pointer[RequestRecordsFunc]) { relay.Store(&failed) },
		"hangs":      func(_ *testbed, relay, _ *atomic.Pointer[RequestRecordsFunc]) { relay.Store(&hangs) },
		"can't wait": func(_ *testbed, relay, _ *atomic.Pointer[RequestRecordsFunc]) { relay.Store(&cannotWait) },
		"cut off":    func(b *testbed, _, _ *atomic.Pointer[RequestRecordsFunc]) { b.replicas["relay"].view.Disconnect() },
		"follows back": func(b *testbed, _, reverse *atomic.Pointer[RequestRecordsFunc]) {
			member := b.requestThrough("member")
			reverse.Store(&member)
		},
	} {
		runCase(t, name, logserver.Config{}, func(b *testbed) {
			var relay, reverse atomic.Pointer[RequestRecordsFunc]
			b.relays = map[string]RequestRecordsFunc{"member": requestFrom(&relay), "relay": requestFrom(&reverse)}
			b.start("relay", false)
			working := b.requestThrough("relay")
			relay.Store(&working)
			b.appendWords("one")
			member := b.start("member", false)
			time.Sleep(time.Second)
			if breakRelay == nil {
				member.view.Disconnect()
			} else {
				breakRelay(b, &relay, &reverse)
			}
			b.appendWords("two")
			if breakRelay != nil {
				time.Sleep(5 * time.Second)
			}
			b.wantText("one two", "member")
		})
	}
}
