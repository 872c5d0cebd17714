package serving_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"bergamotreel/admission"
	"bergamotreel/engine"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/refusal"
	"bergamotreel/routing"
)

// The caller gets the whole answer, each word once, and it ran once. Its stream
// breaks after each third chunk, torn or in good order, and is resumed each time.
func TestBrokenStreamIsResumed(t *testing.T) {
	for _, inGoodOrder := range []bool{false, true} {
		script(t, reopens, func(b *bed) string {
			b.set(onlyA)
			b.Engine("a").SetFaults(engineserver.Faults{DropStreamsAfter: 3, EndStreamsEarly: inGoodOrder})
			problem := b.whole("r", 40, quietly)
			onA, _ := b.ran("r")
			return first(problem, want(onA == 1, "ran %d times", onA))
		})
	}
}

// The caller gets the whole answer, no gap, no repeat. Its engine dies, or hangs,
// or goes on with another stream's chunks; the other engine says it all again,
// and what the caller has is left out.
func TestStreamMovesWhenItsEngineFails(t *testing.T) {
	for name, fail := range map[string]func(*engineserver.Engine){
		"dies":    (*engineserver.Engine).Crash,
		"hangs":   func(e *engineserver.Engine) { e.SetFaults(engineserver.Faults{Frozen: true}) },
		"crosses": func(e *engineserver.Engine) { e.SetFaults(engineserver.Faults{CrossChunk: 7}) },
	} {
		twin := reopens
		if name == "hangs" {
			twin = nil // it would hang as well
		}
		script(t, twin, func(b *bed) string {
			b.set(onlyA)
			problem := b.whole("r", 40, at(5, func() { b.set(both); fail(b.Engine("a")) }))
			_, onB := b.ran("r")
			return first(problem, want(onB == 1, "%s: ran %d times on the other", name, onB))
		})
	}
}

// The caller has the beginning of one answer and is told that it failed; it
// never gets the end of another one. The engine moved to says other words, or
// ends before the part that was delivered.
func TestStreamNeverMixesAnswers(t *testing.T) {
	for _, other := range [][]byte{body("other", 400), body("hello", 3)} {
		script(t, skips, func(b *bed) string {
			b.hook = func(address string, r *engine.Request) error {
				if address == "b" {
					r.Body = other
				}
				return nil
			}
			b.set(onlyA)
			crash := at(5, func() { b.set(both); b.Engine("a").Crash() })
			return b.refused("r", crash, refusal.CodeBackendFailed, refusal.RanMaybe)
		})
	}
}

// The caller leaves in the middle of a long answer. The engine is told: it would
// decode to the end otherwise, in a slot that others wait for.
func TestCallerThatLeavesFreesTheEngine(t *testing.T) {
	script(t, skips, func(b *bed) string {
		b.set(onlyA)
		ctx, leave := context.WithCancel(b.Context())
		problem, _ := b.ask(ctx, "r", body("hello", 1e5), at(5, leave))
		time.Sleep(time.Second)
		status, _ := b.Status(b.Context(), "a")
		return first(problem, want(status.Load.Running+b.server.Open() == 0, "still running"))
	})
}

// An engine leaves while it answers. What runs there ends there, whole; what
// comes after goes to the other one.
func TestLeavingEngineEndsItsStreams(t *testing.T) {
	script(t, nil, func(b *bed) string {
		b.set(onlyA)
		later := ""
		problem := b.whole("r", 40, at(5, func() {
			b.set(func(a, b *routing.Candidate) { a.Leaving, b.Ready = true, true })
			b.Engine("a").SetDraining(true)
			later = b.whole("later", 4, quietly)
		}))
		_, moved := b.ran("r")
		return first(problem, later, want(moved == 0, "moved"))
	})
}

// The caller gets its answer though the engine's answer to the sending was lost:
// the stream is asked for. Sent again, it would run twice.
func TestLostAnswerIsAttachedAgain(t *testing.T) {
	script(t, skips, func(b *bed) string {
		b.Engine("a").SetFaults(engineserver.Faults{LoseStreamAnswers: 1})
		problem := b.whole("r", 8, quietly)
		return first(problem, want(b.calls.Load() == 1, "%d calls", b.calls.Load()))
	})
}

// An engine's "no" means a step of its own: a bad request is the caller's and
// goes nowhere else, the rest goes to the other engine.
func TestEngineRefusals(t *testing.T) {
	script(t, reopens, func(b *bed) string {
		_, err := b.ask(b.Context(), "r", []byte("no JSON"), quietly)
		return first(wantRefused(err, refusal.CodeBadRequest, refusal.RanNo), want(b.calls.Load() == 1, "sent again"))
	})
	for _, no := range []error{
		engine.ErrWrongRole, engine.ErrInUse, engine.ErrIDConflict, engine.ErrNotSent, engine.ErrBusy, engine.ErrNotLoaded,
	} {
		script(t, nil, func(b *bed) string {
			b.hook = func(address string, _ *engine.Request) error {
				return map[string]error{"a": no}[address]
			}
			problem := b.whole("r", 8, quietly)
			return first(problem, want(b.calls.Load() <= 2, "%v: %d calls", no, b.calls.Load()))
		})
	}
}

// What the caller is told of a request that did not make its longest wait, at
// the moment that it ends: "ran: no" only if no engine can have run it.
func TestEndsAreHonest(t *testing.T) {
	for _, test := range []struct {
		name string
		fail func(b *bed)
		ran  refusal.Ran
	}{
		{"no engine is ready", func(b *bed) { b.set(none) }, refusal.RanNo},
		{"no engine can be connected to", func(b *bed) { b.Cut("a", true) }, refusal.RanNo},
		{"the engine hangs", func(b *bed) { b.Engine("a").SetFaults(engineserver.Faults{Frozen: true}) }, refusal.RanMaybe},
		// The engine runs it and is gone before a token; a resume meets no port.
		{"the engine dies before a token", func(b *bed) {
			b.Engine("a").SetFaults(engineserver.Faults{Slow: 100})
			time.AfterFunc(tokenTime, b.Engine("a").Crash)
		}, refusal.RanMaybe},
		// What became of it on one engine is unknown; the other one takes nothing.
		{"lost, then busy", func(b *bed) {
			b.Engine("b").SetDraining(true)
			b.hook = func(address string, _ *engine.Request) error {
				b.set(onlyB)
				return map[string]error{"a": engine.ErrOutcomeUnknown}[address]
			}
		}, refusal.RanMaybe},
	} {
		t.Run(test.name, func(t *testing.T) {
			script(t, nil, func(b *bed) string {
				b.set(onlyA)
				test.fail(b)
				problem := b.refused("r", quietly, refusal.CodeWaitTooLong, test.ran)
				// Without a pause, what can't connect would take the whole VM.
				return first(problem, want(b.calls.Load() < 50, "%d calls", b.calls.Load()))
			})
		})
	}
}

// Every engine fails what it is sent, for a while. Callers are refused, and
// retries add a tenth to the load and a few, not a multiple of it.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	script(t, skips, func(b *bed) string {
		b.hook = func(string, *engine.Request) error { return engine.ErrOutcomeUnknown }
		problems := make(chan string)
		for i := range 200 {
			go func() {
				problem, _ := b.ask(b.Context(), fmt.Sprint(i), body("hello", 8), quietly)
				problems <- problem
			}()
			time.Sleep(tokenTime)
		}
		all := ""
		for range 200 {
			all = first(all, <-problems)
		}
		return first(all, want(b.calls.Load() <= 200+200/10+3, "%d calls for 200 requests", b.calls.Load()))
	})
}

// An engine hangs and looks idle. After two seconds without any first token from
// it, requests go to the other one: the router hears of each first token.
func TestHungEngineDrawsNoMore(t *testing.T) {
	script(t, nil, func(b *bed) string {
		problem := b.whole("before", 4, quietly)
		b.Engine("a").SetFaults(engineserver.Faults{Frozen: true})
		for i := range 12 {
			go b.ask(b.Context(), fmt.Sprint(i), body("hello", 4), quietly)
		}
		time.Sleep(2500 * time.Millisecond)
		before := b.calls.Load()
		for i := range 10 {
			problem = first(problem, b.whole(fmt.Sprint("later", i), 4, quietly))
		}
		return first(problem, want(b.calls.Load() == before+10, "sent to it again"))
	})
}

// An engine in another domain tells, late, that it has a prompt cached that came
// there through another entry VM. The next such prompt here goes there.
func TestCacheEventsReachTheRouter(t *testing.T) {
	script(t, nil, func(b *bed) string {
		long := body(strings.Repeat("a long prompt ", 200), 4)
		ctx, leave := context.WithCancel(b.Context())
		defer leave()
		b.set(func(a, b *routing.Candidate) { a.Slots, b.Slots = 100, 100; onlyB(a, b) })
		go b.ask(ctx, "own", body("own", 1000), quietly)
		time.Sleep(time.Second)
		if _, err := b.Fleet.Generate(ctx, "b", engine.Request{ID: "x", Unit: "m", Body: long}); err != nil {
			return err.Error()
		}
		time.Sleep(2 * time.Second)
		b.set(both)
		plain := b.whole("plain", 4, quietly)
		cached, _ := b.ask(ctx, "cached", long, quietly)
		plainOnA, _ := b.ran("plain")
		_, cachedOnB := b.ran("cached")
		return first(plain, cached, want(plainOnA+cachedOnB == 2, "ran %d and %d times", plainOnA, cachedOnB))
	})
}

// An engine restarts below its streams. Their ends must not be subtracted from
// what runs there since: it would be sent more than it has slots for. And a
// caller's end that fails blames no engine.
func TestRestartedEngineIsCountedAnew(t *testing.T) {
	script(t, nil, func(b *bed) string {
		b.set(onlyA)
		failing, problem := errors.New("sink failed"), ""
		for i := range 5 {
			_, err := b.ask(b.Context(), fmt.Sprint(i), body("hello", 8), func(int) error { return failing })
			problem = first(problem, want(errors.Is(err, failing), "%v", err))
		}
		ctx, leave := context.WithCancel(b.Context())
		later, leaveLater := context.WithCancel(b.Context())
		defer leaveLater()
		go b.ask(ctx, "before", body("hello", 1e5), quietly)
		time.Sleep(time.Second)
		b.server.Decide(func(_ *admission.Controller, r *routing.Router) {
			problem = first(problem, want(r.Breaker(time.Now(), "a") == routing.BreakerClosed, "breaker open"))
		})
		b.server.Forget("a")
		go b.ask(later, "after", body("hello", 1e5), quietly)
		time.Sleep(time.Second)
		leave()
		time.Sleep(time.Second)
		b.server.Decide(func(_ *admission.Controller, r *routing.Router) {
			problem = first(problem, want(r.InFlight()["a"] == 1, "in flight: %v", r.InFlight()))
		})
		return problem
	})
}

// A request waits for a load. It is refused as soon as the load is known to take
// too long; after the load's early end, or its failure, nobody is refused for it.
func TestExpectedLoadEnds(t *testing.T) {
	for _, fails := range []bool{false, true} {
		script(t, nil, func(b *bed) string {
			b.set(none)
			time.AfterFunc(time.Second, func() {
				b.server.Decide(func(c *admission.Controller, _ *routing.Router) { c.Expect("m", time.Now().Add(time.Minute), true) })
			})
			begun := time.Now()
			problem := b.refused("waits", quietly, refusal.CodeWaitTooLong, refusal.RanNo)
			soon := want(time.Since(begun) < 1500*time.Millisecond, "refused after %v", time.Since(begun))
			if fails { // and another load is ready in a second
				loading := b.candidates
				b.candidates = nil
				b.ask(b.Context(), "meanwhile", body("hello", 4), quietly)
				b.candidates = loading
				time.AfterFunc(time.Second, func() { b.set(onlyA) })
			} else {
				b.set(onlyA)
			}
			return first(problem, soon, b.whole("later", 4, quietly))
		})
	}
}

// The VM stops while a request waits, and one comes after: both are refused.
func TestStopRefusesWhoWaits(t *testing.T) {
	script(t, nil, func(b *bed) string {
		b.set(none)
		time.AfterFunc(time.Second, b.stop)
		return first(b.refused("waits", quietly, refusal.CodeShuttingDown, refusal.RanNo),
			b.refused("late", quietly, refusal.CodeShuttingDown, refusal.RanNo), want(b.server.Open() == 0, "still open"))
	})
}
