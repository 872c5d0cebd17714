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

// The caller gets one answer. Its request is sent twice, since the first answer
// was lost; the engine finds the stream and runs it once. Another request under
// the same identity must not get that stream.
func TestSameRequestRunsOnce(t *testing.T) {
	onBoth(t, func(b bed) {
		e := b.loaded(engineserver.Options{})
		e.SetFaults(engineserver.Faults{LoseStreamAnswers: 1})
		r := request("r", "m", "hello", 8)
		b.refuse("a", r, engine.ErrOutcomeUnknown)
		b.wantWhole(b.generate("a", r), r)
		b.wantWhole(b.generate("a", r), r)
		b.refuse("a", request("r", "m", "bye", 8), engine.ErrIDConflict)
		testkit.Equal(b, "times that it ran", e.Records().Ran["r"], 1)
	})
}

// The caller's answer breaks after three chunks, by a torn connection or by one
// that closes in good order. The rest comes by resuming, without a gap.
func TestBrokenStreamIsResumed(t *testing.T) {
	for _, inGoodOrder := range []bool{false, true} {
		onBoth(t, func(b bed) {
			e := b.loaded(engineserver.Options{})
			e.SetFaults(engineserver.Faults{DropStreamsAfter: 3, EndStreamsEarly: inGoodOrder})
			r := request("r", "m", "hello", 8)
			text, chunks, err := read(b.generate("a", r))
			b.check(err, engine.ErrBrokenStream)
			testkit.Need(b, chunks == 3, "%d chunks before the break", chunks)
			e.SetFaults(engineserver.Faults{})
			stream, err := b.Resume(b.Context(), "a", "r", chunks+1)
			b.check(err, nil)
			rest, _, _ := read(stream)
			testkit.That(b, text+rest == engineserver.ExpectedText(r.Body), "%q + %q", text, rest)
			time.Sleep(time.Minute)
			b.generate("a", request("r2", "m", "hello", 1)).Close()
			_, err = b.Resume(b.Context(), "a", "r", 1)
			b.check(err, engine.ErrUnknownStream)
		})
	}
}

// The caller must not see another caller's text: the engine puts a chunk of
// another stream into this one.
func TestCrossedChunkIsNoticed(t *testing.T) {
	onBoth(t, func(b bed) {
		e := b.loaded(engineserver.Options{})
		e.SetFaults(engineserver.Faults{CrossChunk: 2})
		_, chunks, err := read(b.generate("a", request("r", "m", "hello", 8)))
		b.check(err, engine.ErrBrokenStream)
		testkit.That(b, chunks == 1, "%d chunks passed on", chunks)
	})
}

func TestCancelFreesTheSlot(t *testing.T) {
	onBoth(t, func(b bed) {
		b.loaded(engineserver.Options{Slots: 1})
		long := b.generate("a", request("long", "m", "hello", 100000))
		r := request("next", "m", "hello", 2)
		waiting := b.generate("a", r)
		b.check(b.Cancel(b.Context(), "a", "long"), nil)
		_, _, err := read(long)
		b.check(err, engine.ErrBrokenStream)
		b.wantWhole(waiting, r)
		b.check(b.Cancel(b.Context(), "a", "long"), engine.ErrUnknownStream)
	})
}

func TestQueueHonoursPriorityAndItsBound(t *testing.T) {
	onBoth(t, func(b bed) {
		e := b.loaded(engineserver.Options{Slots: 1, QueueLimit: 2})
		first := b.generate("a", request("first", "m", "hello", 3))
		defer first.Close()
		synctest.Wait()
		low, high := request("low", "m", "hello", 3), request("high", "m", "hello", 3)
		high.Priority = 1
		lowStream, highStream := b.generate("a", low), b.generate("a", high)
		b.refuse("a", request("over", "m", "hello", 3), engine.ErrBusy)
		begun := time.Now()
		b.wantWhole(highStream, high)
		testkit.Equal(b, "the time of the higher priority", time.Since(begun), 6*token)
		b.wantWhole(lowStream, low)
		e.SetDraining(true)
		b.refuse("a", request("late", "m", "hello", 3), engine.ErrBusy)
	})
}

func TestBatchShares(t *testing.T) {
	onBoth(t, func(b bed) {
		b.loaded(engineserver.Options{Slots: 2, TokenTimePerRequest: token / 2, LoadLag: 100 * time.Millisecond})
		begun := time.Now()
		one, two := request("one", "m", "hello", 10), request("two", "m", "hello", 10)
		first, second := b.generate("a", one), b.generate("a", two)
		testkit.Equal(b, "running by the load report, which must lag", b.status("a").Load.Running, 0)
		time.Sleep(120 * time.Millisecond)
		testkit.Equal(b, "running by the load report", b.status("a").Load.Running, 2)
		b.wantWhole(first, one)
		b.wantWhole(second, two)
		took := time.Since(begun)
		testkit.That(b, took >= 14*token && took <= 16*token, "two in a batch took %v", took)
	})
}

// The router learns late, and not of everything, that a prefix is cached; the
// second request with it still answers sooner.
func TestPrefixCache(t *testing.T) {
	onBoth(t, func(b bed) {
		b.loaded(engineserver.Options{
			PrefillTime: time.Millisecond, CachePrefixes: 4, CacheLag: time.Second, CacheGap: 2,
		})
		prompt := strings.Repeat("bring back the tenor pan. ", 40)
		var took [2]time.Duration
		for i, id := range []string{"r1", "r2"} {
			begun := time.Now()
			r := request(id, "m", prompt, 1)
			b.wantWhole(b.generate("a", r), r)
			took[i] = time.Since(begun)
		}
		testkit.That(b, took[1] < took[0]/2, "took %v without and %v with the cache", took[0], took[1])
		events, err := b.CacheEvents(b.Context(), "a", 0)
		b.check(err, nil)
		time.Sleep(time.Second)
		later, err := b.CacheEvents(b.Context(), "a", 0)
		b.check(err, nil)
		messages, _, _ := strings.Cut(string(request("r", "m", prompt, 1).Body), `,"max_tokens"`)
		hashes := routing.HashPrefixes("m", []byte(strings.TrimPrefix(messages, `{"messages":`)))
		testkit.That(b, len(events) == 0 && len(later) == 2 && later[1].Prefix == hashes[2],
			"events %v, a second later %v, hashes %v", events, later, hashes)
	})
}

// The caller's answer begins on an engine that only fills the prompt in and
// goes on where the KV cache was moved to, whole and run once.
func TestStreamMovesFromPrefillToDecode(t *testing.T) {
	onBoth(t, func(b bed) {
		prefill := b.start("p", engineserver.Options{Role: engine.RolePrefill})
		decode := b.start("d", engineserver.Options{})
		b.load("p", "m")
		b.load("d", "m")
		b.order("d", engine.Order{Token: 1, Action: engine.ActionRole, Role: engine.RoleDecode}, nil)
		r := request("r", "m", "hello", 8)
		b.refuse("d", r, engine.ErrWrongRole)
		text, chunks, err := read(b.generate("p", r))
		b.check(err, engine.ErrBrokenStream)
		for range 2 { // the second time as after a lost answer
			data, err := b.ExportKV(b.Context(), "p", "r")
			b.check(err, nil)
			b.check(b.ImportKV(b.Context(), "d", "r", data), nil)
		}
		stream, err := b.Resume(b.Context(), "d", "r", chunks+1)
		b.check(err, nil)
		rest, _, _ := read(stream)
		testkit.That(b, text+rest == engineserver.ExpectedText(r.Body), "%q + %q", text, rest)
		testkit.That(b, prefill.Records().Ran["r"] == 1 && decode.Records().Ran["r"] == 0,
			"ran %v and %v", prefill.Records().Ran, decode.Records().Ran)
	})
}

func TestCutAddressIsNotSentTo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := engineserver.NewFleet()
		e := newEngine(t, engineserver.Options{})
		fleet.Put("a", e)
		b := bed{T: t, Client: fleet}
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := fleet.Status(ended, "a")
		b.check(err, engine.ErrNotSent)
		fleet.Cut("a", true)
		_, err = fleet.Status(t.Context(), "a")
		b.check(err, engine.ErrNotSent)
		fleet.Cut("a", false)
		e.Crash()
		_, err = fleet.Order(t.Context(), "a", loadOrder(1, "m"))
		b.check(err, engine.ErrNotSent)
	})
}

// The caller waits for no new connection: one that carried a whole answer is
// used for the next.
func TestConnectionServesTheNextStream(t *testing.T) {
	onHTTP(t, "http", false, func(b bed) {
		b.loaded(engineserver.Options{})
		for _, id := range []string{"r1", "r2", "r3"} {
			r := request(id, "m", "hello", 3)
			b.wantWhole(b.generate("a", r), r)
		}
		testkit.That(b, *b.dials == 1, "%d connections", *b.dials)
	})
}
