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
		script(t, reopens, func(b *bed) {
			b.set(onlyA)
			b.Engine("a").SetFaults(engineserver.Faults{DropStreamsAfter: 3, EndStreamsEarly: inGoodOrder})
			b.whole("r", 40, quietly)
			onA, _ := b.ran("r")
			b.want(onA == 1, "ran %d times", onA)
		})
	}
}

// The caller gets the whole answer, no gap, no repeat. Its engine dies, or hangs,
// or goes on with another stream's chunks; the other engine, busy at first, says
// it all again, and what the caller has is left out.
func TestStreamMovesWhenItsEngineFails(t *testing.T) {
	for name, fail := range map[string]func(*engineserver.Engine){
		"dies":    (*engineserver.Engine).Crash,
		"hangs":   func(e *engineserver.Engine) { e.SetFaults(engineserver.Faults{Frozen: true}) },
		"crosses": func(e *engineserver.Engine) { e.SetFaults(engineserver.Faults{CrossChunk: 7}) },
	} {
		twin, longest := reopens, 2*time.Second
		if name == "hangs" {
			twin, longest = nil, 2*time.Second+stall // a twin would hang as well
		}
		script(t, twin, func(b *bed) {
			b.hook = func(address string, _ *engine.Request) error {
				if address == "b" && b.calls.Load() <= 5 {
					return engine.ErrBusy
				}
				return nil
			}
			b.set(onlyA)
			begun := time.Now()
			b.whole("r", 40, at(5, func() { b.set(both); fail(b.Engine("a")) }))
			_, onB := b.ran("r")
			b.want(onB == 1 && time.Since(begun) < longest, "%s: ran %d times on the other, %v", name, onB, time.Since(begun))
		})
	}
}

// The caller has the beginning of one answer and is told that it failed; it
// never gets the end of another one. The engine moved to says other words, or
// ends before the part that was delivered.
func TestStreamNeverMixesAnswers(t *testing.T) {
	for _, other := range [][]byte{body("other", 400), body("hello", 3)} {
		script(t, skips, func(b *bed) {
			b.hook = func(address string, r *engine.Request) error {
				if address == "b" {
					r.Body = other
				}
				return nil
			}
			b.set(onlyA)
			crash := at(5, func() { b.set(both); b.Engine("a").Crash() })
			b.refused("r", crash, refusal.CodeBackendFailed, refusal.RanMaybe)
		})
	}
}

// Six engines break the stream at the same chunk, as if by a fault in what they
// are asked. The caller is told after three moves, not after the last engine.
func TestStreamMovesAFewTimes(t *testing.T) {
	script(t, skips, func(b *bed) {
		for _, name := range []string{"c", "d", "e", "f"} {
			b.Put(name, b.Engine("b"))
			b.candidates = append(b.candidates, routing.Candidate{Engine: name, Slots: 8, Ready: true})
		}
		b.Engine("a").SetFaults(engineserver.Faults{CrossChunk: 7})
		b.Engine("b").SetFaults(engineserver.Faults{CrossChunk: 7})
		b.refused("r", quietly, refusal.CodeBackendFailed, refusal.RanMaybe)
		b.want(b.calls.Load() == 4, "%d calls", b.calls.Load())
	})
}

// A customer sends far more than its share. It leaves the pool's reserve free,
// here 4 of 16 slots, so that another's request need not wait behind it.
func TestBurstLeavesTheReserve(t *testing.T) {
	script(t, nil, func(b *bed) {
		b.server.Decide(func(a *admission.Controller, _ *routing.Router) {
			a.SetPeerUsage(time.Now(), map[string]admission.PeerUsage{"c": {AdmittedRate: 100}, "other": {AdmittedRate: 1}})
		})
		for i := range 30 {
			go b.ask(b.Context(), fmt.Sprint(i), body("hello", 1e5), quietly)
		}
		time.Sleep(time.Second)
		b.server.Decide(func(_ *admission.Controller, r *routing.Router) {
			b.want(r.InFlight()["a"]+r.InFlight()["b"] == 12, "in flight: %v", r.InFlight())
		})
		begun := time.Now()
		b.whole("other", 4, quietly)
		b.want(time.Since(begun) < time.Second, "took %v", time.Since(begun))
	})
}

// The caller leaves in the middle of a long answer. The engine is told: it would
// decode to the end otherwise, in a slot that others wait for.
func TestCallerThatLeavesFreesTheEngine(t *testing.T) {
	script(t, skips, func(b *bed) {
		b.set(onlyA)
		ctx, leave := context.WithCancel(b.Context())
		_ = b.ask(ctx, "r", body("hello", 1e5), at(5, leave))
		time.Sleep(time.Second)
		status, _ := b.Status(b.Context(), "a")
		b.want(status.Load.Running+b.server.Open() == 0, "still running")
	})
}

// An engine leaves while it answers. What runs there ends there, whole; what
// comes after goes to the other one.
func TestLeavingEngineEndsItsStreams(t *testing.T) {
	script(t, nil, func(b *bed) {
		b.set(onlyA)
		b.whole("r", 40, at(5, func() {
			b.set(func(a, b *routing.Candidate) { a.Leaving, b.Ready = true, true })
			b.Engine("a").SetDraining(true)
			b.whole("later", 4, quietly)
		}))
		_, moved := b.ran("r")
		b.want(moved == 0, "moved")
	})
}

// The caller gets its answer though the engine's answer to the sending was lost:
// the stream is asked for. Sent again, it would run twice.
func TestLostAnswerIsAttachedAgain(t *testing.T) {
	script(t, skips, func(b *bed) {
		b.Engine("a").SetFaults(engineserver.Faults{LoseStreamAnswers: 1})
		b.whole("r", 8, quietly)
		b.want(b.calls.Load() == 1, "%d calls", b.calls.Load())
	})
}

// An engine's "no" means a step of its own: a bad request is the caller's and
// goes nowhere else, the rest goes to the other engine.
func TestEngineRefusals(t *testing.T) {
	script(t, reopens, func(b *bed) {
		b.wantRefused(b.ask(b.Context(), "r", []byte("no JSON"), quietly), refusal.CodeBadRequest, refusal.RanNo)
		b.want(b.calls.Load() == 1, "sent again")
	})
	for _, no := range []error{
		engine.ErrWrongRole, engine.ErrInUse, engine.ErrIDConflict, engine.ErrNotSent, engine.ErrBusy, engine.ErrNotLoaded,
	} {
		script(t, nil, func(b *bed) {
			b.hook = func(address string, _ *engine.Request) error { return map[string]error{"a": no}[address] }
			b.whole("r", 8, quietly)
			b.want(b.calls.Load() <= 2, "%v: %d calls", no, b.calls.Load())
		})
	}
}

// What the caller is told of a request that did not make its longest wait, at
// the moment that it ends: "ran: no" only if no engine can have run it.
func TestEndsAreHonest(t *testing.T) {
	for name, test := range map[string]struct {
		fail func(b *bed)
		ran  refusal.Ran
	}{
		"no engine is ready":            {func(b *bed) { b.set(none) }, refusal.RanNo},
		"no engine can be connected to": {func(b *bed) { b.Cut("a", true) }, refusal.RanNo},
		"the engine hangs":              {func(b *bed) { b.Engine("a").SetFaults(engineserver.Faults{Frozen: true}) }, refusal.RanMaybe},
		"it runs and dies before a token": {func(b *bed) {
			b.Engine("a").SetFaults(engineserver.Faults{Slow: 100})
			time.AfterFunc(tokenTime, b.Engine("a").Crash)
		}, refusal.RanMaybe},
		"unknown on one, the other drains": {func(b *bed) {
			b.Engine("b").SetDraining(true)
			b.hook = func(address string, _ *engine.Request) error {
				b.set(onlyB)
				return map[string]error{"a": engine.ErrOutcomeUnknown}[address]
			}
		}, refusal.RanMaybe},
	} {
		script(t, nil, func(b *bed) {
			b.set(onlyA)
			test.fail(b)
			b.refused(name, quietly, refusal.CodeWaitTooLong, test.ran)
			// Without a pause, what can't connect would take the whole VM.
			b.want(b.calls.Load() < 50, "%s: %d calls", name, b.calls.Load())
		})
	}
}

// Every engine fails what it is sent, for a while. Callers are refused, and
// retries add a tenth to the load and a few, not a multiple of it.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	script(t, skips, func(b *bed) {
		b.hook = func(string, *engine.Request) error { return engine.ErrOutcomeUnknown }
		for i := range 200 {
			go b.ask(b.Context(), fmt.Sprint(i), body("hello", 8), quietly)
			time.Sleep(tokenTime)
		}
		time.Sleep(maxWait)
		b.want(b.server.Open() == 0 && b.calls.Load() <= 200+200/10+3, "%d calls for 200 requests", b.calls.Load())
	})
}

// An engine hangs and looks idle. After two seconds without any first token from
// it, requests go to the other one: the router hears of each first token. Those
// on it are refused at their longest wait and take nothing of the retry budget.
func TestHungEngineDrawsNoMore(t *testing.T) {
	script(t, nil, func(b *bed) {
		b.set(func(a, b *routing.Candidate) { a.Slots, b.Slots = 100, 100 })
		b.whole("before", 4, quietly)
		b.Engine("a").SetFaults(engineserver.Faults{Frozen: true})
		for i := range 8 {
			go b.refused(fmt.Sprint(i), quietly, refusal.CodeWaitTooLong, refusal.RanMaybe)
		}
		time.Sleep(2500 * time.Millisecond)
		for i := range 10 {
			b.whole(fmt.Sprint("later", i), 4, quietly)
		}
		time.Sleep(maxWait)
		b.want(b.server.Open() == 0, "still open")
	})
}

// An engine in another domain tells, late, that it has a prompt cached that came
// there through another entry VM. The next such prompt here goes there.
func TestCacheEventsReachTheRouter(t *testing.T) {
	script(t, nil, func(b *bed) {
		long := body(strings.Repeat("a long prompt ", 200), 4)
		ctx, leave := context.WithCancel(b.Context())
		defer leave()
		b.set(func(a, b *routing.Candidate) { a.Slots, b.Slots = 100, 100; onlyB(a, b) })
		go b.ask(ctx, "own", body("own", 1000), quietly)
		time.Sleep(time.Second)
		_, err := b.Fleet.Generate(ctx, "b", engine.Request{ID: "x", Unit: "m", Body: long})
		time.Sleep(2 * time.Second)
		b.set(both)
		b.whole("plain", 4, quietly)
		b.want(err == nil && b.ask(ctx, "cached", long, quietly) == nil, "failed")
		plainOnA, _ := b.ran("plain")
		_, cachedOnB := b.ran("cached")
		b.want(plainOnA == 1 && cachedOnB == 1, "ran %d and %d times", plainOnA, cachedOnB)
	})
}

// Callers leave, or can't be written to. That blames no engine: else a few such
// callers would take it from all others.
func TestCallersBlameNoEngine(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		script(t, nil, func(b *bed) {
			b.set(onlyA)
			for i := range 10 {
				ctx, leave := context.WithCancel(b.Context())
				_ = b.ask(ctx, fmt.Sprint(i), body("hello", 8), func(int) error {
					if leaves {
						leave()
						return nil
					}
					return errors.New("sink failed")
				})
				leave()
			}
			b.server.Decide(func(_ *admission.Controller, r *routing.Router) {
				b.want(r.Breaker(time.Now(), "a") == routing.BreakerClosed, "breaker open")
			})
		})
	}
}

// An engine restarts below its streams. Their ends must not be subtracted from
// what runs there since: it would be sent more than it has slots for.
func TestRestartedEngineIsCountedAnew(t *testing.T) {
	script(t, nil, func(b *bed) {
		b.set(onlyA)
		ctx, leave := context.WithCancel(b.Context())
		go b.ask(ctx, "before", body("hello", 1e5), quietly)
		time.Sleep(time.Second)
		b.server.Forget("a")
		go b.ask(b.Context(), "after", body("hello", 1e5), quietly)
		time.Sleep(time.Second)
		leave()
		time.Sleep(time.Second)
		b.server.Decide(func(_ *admission.Controller, r *routing.Router) {
			b.want(r.InFlight()["a"] == 1, "in flight: %v", r.InFlight())
		})
	})
}

// A request waits for a load. It is refused as soon as the load is known to take
// too long; after the load's early end, or its failure, nobody is refused for it.
func TestExpectedLoadEnds(t *testing.T) {
	for _, end := range []func(b *bed){
		func(b *bed) { b.set(onlyA) },
		func(b *bed) { // it failed, and another load is ready in a second
			loading := b.candidates
			b.candidates = nil
			_ = b.ask(b.Context(), "meanwhile", body("hello", 4), quietly)
			b.candidates = loading
			time.AfterFunc(time.Second, func() { b.set(onlyA) })
		},
	} {
		script(t, nil, func(b *bed) {
			b.set(none)
			expect := func() {
				b.server.Decide(func(c *admission.Controller, _ *routing.Router) {
					c.SetReadyTime("m", time.Now().Add(time.Minute), true)
				})
			}
			time.AfterFunc(time.Second, expect)
			begun := time.Now()
			b.refused("waits", quietly, refusal.CodeWaitTooLong, refusal.RanNo)
			b.want(time.Since(begun) < 1500*time.Millisecond, "refused after %v", time.Since(begun))
			end(b)
			b.whole("later", 4, quietly)
			b.set(none) // the news of a second load comes together with the end of the first
			time.AfterFunc(1100*time.Millisecond, func() { b.set(func(a, _ *routing.Candidate) { a.Ready = true; expect() }) })
			b.whole("at the end", 4, quietly)
		})
	}
}

// The VM stops while a request waits, and one comes after: both are refused.
func TestStopRefusesWhoWaits(t *testing.T) {
	script(t, nil, func(b *bed) {
		b.set(none)
		time.AfterFunc(time.Second, b.stop)
		b.refused("waits", quietly, refusal.CodeShuttingDown, refusal.RanNo)
		b.refused("late", quietly, refusal.CodeShuttingDown, refusal.RanNo)
		b.server.Decide(func(a *admission.Controller, _ *routing.Router) {
			b.want(len(a.Demand(time.Now())) == 0, "%v still wait", a.Demand(time.Now()))
		})
		b.want(b.server.Open() == 0, "still open")
	})
}
