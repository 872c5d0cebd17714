package engineserver_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/engine"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/routing"
)

// A request that is sent again because its first answer was lost must not run
// twice: the engine returns the existing stream. A different request with the same
// ID must not get that stream.
func TestSameRequestRunsOnce(t *testing.T) {
	runOnAllClients(t, func(b testbed) {
		e := b.startLoaded(engineserver.Options{})
		e.SetFaults(engineserver.Faults{LoseStreamAnswers: 1})
		r := newRequest("r", "m", "hello", 8)
		b.wantGenerateError("a", r, engine.ErrOutcomeUnknown)
		b.wantCompleteAnswer(b.generate("a", r), r)
		b.wantCompleteAnswer(b.generate("a", r), r)
		b.wantGenerateError("a", newRequest("r", "m", "bye", 8), engine.ErrIDConflict)
		testkit.Equal(b, "number of runs", e.Records().RunCounts["r"], 1)
	})
}

// The answer ends after three chunks, by an aborted connection or by one that
// closes cleanly. Resuming returns the remaining chunks without a gap, until the
// ended stream expires.
func TestBrokenStreamIsResumed(t *testing.T) {
	for _, closesCleanly := range []bool{false, true} {
		runOnAllClients(t, func(b testbed) {
			e := b.startLoaded(engineserver.Options{})
			e.SetFaults(engineserver.Faults{DropStreamsAfter: 3, EndStreamsEarly: closesCleanly})
			r := newRequest("r", "m", "hello", 8)
			text, chunks, err := readToEnd(b.generate("a", r))
			b.wantError(err, engine.ErrBrokenStream)
			testkit.Need(b, chunks == 3, "%d chunks before the break", chunks)
			e.SetFaults(engineserver.Faults{})
			stream, err := b.Resume(b.Context(), "a", "r", chunks+1)
			b.wantError(err, nil)
			rest, _, _ := readToEnd(stream)
			testkit.That(b, text+rest == engineserver.ExpectedText(r.Body), "%q + %q", text, rest)
			time.Sleep(time.Minute)
			b.generate("a", newRequest("r2", "m", "hello", 1)).Close()
			_, err = b.Resume(b.Context(), "a", "r", 1)
			b.wantError(err, engine.ErrUnknownStream)
		})
	}
}

// A caller must not see another caller's text: the client must detect that the
// engine put a chunk of another stream into this one.
func TestForeignChunkIsDetected(t *testing.T) {
	runOnAllClients(t, func(b testbed) {
		e := b.startLoaded(engineserver.Options{})
		e.SetFaults(engineserver.Faults{ForeignChunkPosition: 2})
		_, chunks, err := readToEnd(b.generate("a", newRequest("r", "m", "hello", 8)))
		b.wantError(err, engine.ErrBrokenStream)
		testkit.That(b, chunks == 1, "%d chunks forwarded", chunks)
	})
}

func TestCancelFreesTheSlot(t *testing.T) {
	runOnAllClients(t, func(b testbed) {
		b.startLoaded(engineserver.Options{Slots: 1})
		long := b.generate("a", newRequest("long", "m", "hello", 100000))
		r := newRequest("next", "m", "hello", 2)
		waiting := b.generate("a", r)
		b.wantError(b.Cancel(b.Context(), "a", "long"), nil)
		_, _, err := readToEnd(long)
		b.wantError(err, engine.ErrBrokenStream)
		b.wantCompleteAnswer(waiting, r)
		b.wantError(b.Cancel(b.Context(), "a", "long"), engine.ErrUnknownStream)
	})
}

func TestQueueHonoursPriorityAndLimit(t *testing.T) {
	runOnAllClients(t, func(b testbed) {
		e := b.startLoaded(engineserver.Options{Slots: 1, MaxQueued: 2})
		first := b.generate("a", newRequest("first", "m", "hello", 3))
		defer first.Close()
		synctest.Wait()
		low, high := newRequest("low", "m", "hello", 3), newRequest("high", "m", "hello", 3)
		high.Priority = 1
		lowStream, highStream := b.generate("a", low), b.generate("a", high)
		b.wantGenerateError("a", newRequest("over", "m", "hello", 3), engine.ErrBusy)
		start := time.Now()
		b.wantCompleteAnswer(highStream, high)
		testkit.Equal(b, "duration until the answer of the higher priority", time.Since(start), 6*tokenTime)
		b.wantCompleteAnswer(lowStream, low)
		e.SetDraining(true)
		b.wantGenerateError("a", newRequest("late", "m", "hello", 3), engine.ErrBusy)
	})
}

func TestBatchedRequestsShareSteps(t *testing.T) {
	runOnAllClients(t, func(b testbed) {
		b.startLoaded(engineserver.Options{Slots: 2, TokenTimePerRequest: tokenTime / 2, LoadReportDelay: 100 * time.Millisecond})
		start := time.Now()
		one, two := newRequest("one", "m", "hello", 10), newRequest("two", "m", "hello", 10)
		first, second := b.generate("a", one), b.generate("a", two)
		testkit.Equal(b, "running requests by the load report, which must lag", b.status("a").Load.Running, 0)
		time.Sleep(120 * time.Millisecond)
		testkit.Equal(b, "running requests by the load report", b.status("a").Load.Running, 2)
		b.wantCompleteAnswer(first, one)
		b.wantCompleteAnswer(second, two)
		took := time.Since(start)
		testkit.That(b, took >= 14*tokenTime && took <= 16*tokenTime, "two in a batch took %v", took)
	})
}

// The second request with the same prompt is answered sooner because its prefix is
// cached. Cache events become visible late and every second one is lost.
func TestPrefixCache(t *testing.T) {
	runOnAllClients(t, func(b testbed) {
		b.startLoaded(engineserver.Options{
			PrefillTimePerToken: time.Millisecond, MaxCachedPrefixes: 4, CacheEventDelay: time.Second, LoseEveryNthCacheEvent: 2,
		})
		prompt := strings.Repeat("bring back the tenor pan. ", 40)
		var took [2]time.Duration
		for i, id := range []string{"r1", "r2"} {
			start := time.Now()
			r := newRequest(id, "m", prompt, 1)
			b.wantCompleteAnswer(b.generate("a", r), r)
			took[i] = time.Since(start)
		}
		testkit.That(b, took[1] < took[0]/2, "took %v without and %v with the cache", took[0], took[1])
		events, err := b.CacheEvents(b.Context(), "a", 0)
		b.wantError(err, nil)
		time.Sleep(time.Second)
		later, err := b.CacheEvents(b.Context(), "a", 0)
		b.wantError(err, nil)
		messages, _, _ := strings.Cut(string(newRequest("r", "m", prompt, 1).Body), `,"max_tokens"`)
		hashes := routing.HashPrefixes("m", []byte(strings.TrimPrefix(messages, `{"messages":`)))
		testkit.That(b, len(events) == 0 && len(later) == 2 && later[1].Prefix == hashes[2],
			"events %v, a second later %v, hashes %v", events, later, hashes)
	})
}

// An answer that begins on a prefill engine continues on the engine that imports
// its KV cache, without a gap and without running the request twice.
func TestStreamMovesFromPrefillToDecode(t *testing.T) {
	runOnAllClients(t, func(b testbed) {
		prefill := b.start("p", engineserver.Options{Role: engine.RolePrefill})
		decode := b.start("d", engineserver.Options{})
		b.loadUnit("p", "m")
		b.loadUnit("d", "m")
		b.sendOrder("d", engine.Order{Token: 1, Action: engine.ActionRole, Role: engine.RoleDecode}, nil)
		r := newRequest("r", "m", "hello", 8)
		b.wantGenerateError("d", r, engine.ErrWrongRole)
		text, chunks, err := readToEnd(b.generate("p", r))
		b.wantError(err, engine.ErrBrokenStream)
		for range 2 { // the second time stands for a retry after a lost answer
			data, err := b.ExportKV(b.Context(), "p", "r")
			b.wantError(err, nil)
			b.wantError(b.ImportKV(b.Context(), "d", "r", data), nil)
		}
		stream, err := b.Resume(b.Context(), "d", "r", chunks+1)
		b.wantError(err, nil)
		rest, _, _ := readToEnd(stream)
		testkit.That(b, text+rest == engineserver.ExpectedText(r.Body), "%q + %q", text, rest)
		testkit.That(b, prefill.Records().RunCounts["r"] == 1 && decode.Records().RunCounts["r"] == 0,
			"ran %v and %v", prefill.Records().RunCounts, decode.Records().RunCounts)
	})
}

func TestUnreachableAddressFailsWithNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := engineserver.NewInMemoryClient()
		e := newEngine(t, engineserver.Options{})
		client.Put("a", e)
		b := testbed{T: t, Client: client}
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := client.Status(cancelled, "a")
		b.wantError(err, engine.ErrNotSent)
		client.SetUnreachable("a", true)
		_, err = client.Status(t.Context(), "a")
		b.wantError(err, engine.ErrNotSent)
		client.SetUnreachable("a", false)
		e.Crash()
		_, err = client.Order(t.Context(), "a", newLoadOrder(1, "m"))
		b.wantError(err, engine.ErrNotSent)
	})
}

// A connection that carried a whole answer must be reused for the next one, so that
// the caller does not wait for a new connection.
func TestConnectionIsReusedForNextStream(t *testing.T) {
	runOverHTTP(t, "http", false, func(b testbed) {
		b.startLoaded(engineserver.Options{})
		for _, id := range []string{"r1", "r2", "r3"} {
			r := newRequest(id, "m", "hello", 3)
			b.wantCompleteAnswer(b.generate("a", r), r)
		}
		testkit.That(b, *b.dials == 1, "%d connections", *b.dials)
	})
}
