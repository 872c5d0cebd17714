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

// Guards against lost, repeated or rerun output when the stream breaks after every
// third chunk, with or without a regular end of the response: it is resumed each time.
func TestBrokenStreamIsResumed(t *testing.T) {
	for _, cleanEnd := range []bool{false, true} {
		runScenario(t, restartingVariant, func(b *testbed) {
			b.setCandidates(onlyAReady)
			b.Engine("a").SetFaults(engineserver.Faults{DropStreamsAfter: 3, EndStreamsEarly: cleanEnd})
			b.expectAnswer("r", 40, ignoreChunks)
			onA, _ := b.runCounts("r")
			b.check(onA == 1, "ran %d times", onA)
		})
	}
}

// Guards against gaps and repeats when the engine dies, hangs or continues with the
// chunks of another stream. The other engine, busy at first, repeats the answer, and
// the part that the caller has is skipped.
func TestStreamMovesWhenEngineFails(t *testing.T) {
	for name, fail := range map[string]func(*engineserver.Engine){
		"dies":    (*engineserver.Engine).Crash,
		"hangs":   func(e *engineserver.Engine) { e.SetFaults(engineserver.Faults{Frozen: true}) },
		"crosses": func(e *engineserver.Engine) { e.SetFaults(engineserver.Faults{ForeignChunkPosition: 7}) },
	} {
		variant, longest := restartingVariant, 2*time.Second
		if name == "hangs" {
			variant, longest = nil, 2*time.Second+stallTimeout // the faulty variant would hang as well
		}
		runScenario(t, variant, func(b *testbed) {
			b.beforeGenerate = func(address string, _ *engine.Request) error {
				if address == "b" && b.calls.Load() <= 5 {
					return engine.ErrBusy
				}
				return nil
			}
			b.setCandidates(onlyAReady)
			begun := time.Now()
			b.expectAnswer("r", 40, atChunk(5, func() { b.setCandidates(bothReady); fail(b.Engine("a")) }))
			_, onB := b.runCounts("r")
			b.check(onB == 1 && time.Since(begun) < longest, "%s: ran %d times on the other, %v", name, onB, time.Since(begun))
		})
	}
}

// Guards against an answer composed of two different ones: after a move, the new
// engine answers with other words or ends before the delivered part. The caller is
// told that the request failed.
func TestStreamNeverMixesAnswers(t *testing.T) {
	for _, other := range [][]byte{chatBody("other", 400), chatBody("hello", 3)} {
		runScenario(t, skippingVariant, func(b *testbed) {
			b.beforeGenerate = func(address string, r *engine.Request) error {
				if address == "b" {
					r.Body = other
				}
				return nil
			}
			b.setCandidates(onlyAReady)
			crash := atChunk(5, func() { b.setCandidates(bothReady); b.Engine("a").Crash() })
			b.expectRefusal("r", crash, refusal.CodeBackendFailed, refusal.RanMaybe)
		})
	}
}

// Guards against a request that fails on every engine: all six break its stream at
// the same chunk. The caller is told after three moves, not after the last engine.
func TestStreamMovesAreBounded(t *testing.T) {
	runScenario(t, skippingVariant, func(b *testbed) {
		for _, name := range []string{"c", "d", "e", "f"} {
			b.Put(name, b.Engine("b"))
			b.candidates = append(b.candidates, routing.Candidate{Engine: name, Slots: 8, Ready: true})
		}
		b.Engine("a").SetFaults(engineserver.Faults{ForeignChunkPosition: 7})
		b.Engine("b").SetFaults(engineserver.Faults{ForeignChunkPosition: 7})
		b.expectRefusal("r", ignoreChunks, refusal.CodeBackendFailed, refusal.RanMaybe)
		b.check(b.calls.Load() == 4, "%d calls", b.calls.Load())
	})
}

// Guards against a customer that sends far more than its share and delays others: it
// leaves the pool's reserve free, here 4 of 16 slots.
func TestBurstLeavesPoolReserve(t *testing.T) {
	runScenario(t, nil, func(b *testbed) {
		b.server.WithLockedState(func(a *admission.Controller, _ *routing.Router) {
			a.SetPeerUsage(time.Now(), map[string]admission.PeerUsage{"c": {AdmittedRate: 100}, "other": {AdmittedRate: 1}})
		})
		for i := range 30 {
			go b.sendRequest(b.Context(), fmt.Sprint(i), chatBody("hello", 1e5), ignoreChunks)
		}
		time.Sleep(time.Second)
		b.server.WithLockedState(func(_ *admission.Controller, r *routing.Router) {
			b.check(r.InFlight()["a"]+r.InFlight()["b"] == 12, "in flight: %v", r.InFlight())
		})
		begun := time.Now()
		b.expectAnswer("other", 4, ignoreChunks)
		b.check(time.Since(begun) < time.Second, "took %v", time.Since(begun))
	})
}

// Guards against an engine that decodes a long answer to its end after the caller has
// disconnected, and so occupies a slot that others wait for: its request is cancelled.
func TestEngineIsCancelledWhenCallerDisconnects(t *testing.T) {
	runScenario(t, skippingVariant, func(b *testbed) {
		b.setCandidates(onlyAReady)
		ctx, disconnect := context.WithCancel(b.Context())
		_ = b.sendRequest(ctx, "r", chatBody("hello", 1e5), atChunk(5, disconnect))
		time.Sleep(time.Second)
		status, _ := b.Status(b.Context(), "a")
		b.check(status.Load.Running+b.server.OpenRequests() == 0, "still running")
	})
}

// Guards against moving streams off an engine that is leaving: they complete there,
// while new requests go to the other engine.
func TestLeavingEngineFinishesItsStreams(t *testing.T) {
	runScenario(t, nil, func(b *testbed) {
		b.setCandidates(onlyAReady)
		b.expectAnswer("r", 40, atChunk(5, func() {
			b.setCandidates(func(a, b *routing.Candidate) { a.Leaving, b.Ready = true, true })
			b.Engine("a").SetDraining(true)
			b.expectAnswer("later", 4, ignoreChunks)
		}))
		_, moved := b.runCounts("r")
		b.check(moved == 0, "moved")
	})
}

// Guards against running a request twice when the engine's response to it was lost:
// the stream is resumed instead.
func TestLostStreamAnswerIsResumed(t *testing.T) {
	runScenario(t, skippingVariant, func(b *testbed) {
		b.Engine("a").SetFaults(engineserver.Faults{LoseStreamAnswers: 1})
		b.expectAnswer("r", 8, ignoreChunks)
		b.check(b.calls.Load() == 1, "%d calls", b.calls.Load())
	})
}

// Guards against treating all refusals of an engine alike: a bad request is not sent
// elsewhere, requests refused for another reason go to the other engine.
func TestEngineRefusals(t *testing.T) {
	runScenario(t, restartingVariant, func(b *testbed) {
		b.checkRefusal(b.sendRequest(b.Context(), "r", []byte("no JSON"), ignoreChunks), refusal.CodeBadRequest, refusal.RanNo)
		b.check(b.calls.Load() == 1, "sent again")
	})
	for _, refused := range []error{
		engine.ErrWrongRole, engine.ErrInUse, engine.ErrIDConflict, engine.ErrNotSent, engine.ErrBusy, engine.ErrNotLoaded,
	} {
		runScenario(t, nil, func(b *testbed) {
			b.beforeGenerate = func(address string, _ *engine.Request) error { return map[string]error{"a": refused}[address] }
			b.expectAnswer("r", 8, ignoreChunks)
			b.check(b.calls.Load() <= 2, "%v: %d calls", refused, b.calls.Load())
		})
	}
}

// Guards against a late or wrong refusal of a request that missed its maximum wait:
// it says "ran: no" only if no engine can have run the request.
func TestRefusalReportsWhetherRequestRan(t *testing.T) {
	for name, test := range map[string]struct {
		fail func(b *testbed)
		ran  refusal.Ran
	}{
		"no engine is ready":            {func(b *testbed) { b.setCandidates(noneReady) }, refusal.RanNo},
		"no engine can be connected to": {func(b *testbed) { b.SetUnreachable("a", true) }, refusal.RanNo},
		"the engine hangs":              {func(b *testbed) { b.Engine("a").SetFaults(engineserver.Faults{Frozen: true}) }, refusal.RanMaybe},
		"it runs and dies before a token": {func(b *testbed) {
			b.Engine("a").SetFaults(engineserver.Faults{SlowFactor: 100})
			time.AfterFunc(tokenTime, b.Engine("a").Crash)
		}, refusal.RanMaybe},
		"unknown on one, the other drains": {func(b *testbed) {
			b.Engine("b").SetDraining(true)
			b.beforeGenerate = func(address string, _ *engine.Request) error {
				b.setCandidates(onlyBReady)
				return map[string]error{"a": engine.ErrOutcomeUnknown}[address]
			}
		}, refusal.RanMaybe},
	} {
		runScenario(t, nil, func(b *testbed) {
			b.setCandidates(onlyAReady)
			test.fail(b)
			b.expectRefusal(name, ignoreChunks, refusal.CodeWaitTooLong, test.ran)
			// Without a pause, failing connections would be retried in a busy loop.
			b.check(b.calls.Load() < 50, "%s: %d calls", name, b.calls.Load())
		})
	}
}

// Guards against retries that multiply the load while every engine fails: callers are
// refused, and retries add a tenth of the load plus a few.
func TestRetriesStayWithinBudget(t *testing.T) {
	runScenario(t, skippingVariant, func(b *testbed) {
		b.beforeGenerate = func(string, *engine.Request) error { return engine.ErrOutcomeUnknown }
		for i := range 200 {
			go b.sendRequest(b.Context(), fmt.Sprint(i), chatBody("hello", 8), ignoreChunks)
			time.Sleep(tokenTime)
		}
		time.Sleep(maxWait)
		b.check(b.server.OpenRequests() == 0 && b.calls.Load() <= 200+200/10+3, "%d calls for 200 requests", b.calls.Load())
	})
}

// Guards against a hung engine that attracts requests because it looks idle. After two
// seconds without a first token from it, requests go to the other engine: the router
// is told of each first token. Requests on the hung engine are refused at their maximum
// wait and use no retry budget.
func TestHungEngineGetsNoFurtherRequests(t *testing.T) {
	runScenario(t, nil, func(b *testbed) {
		b.setCandidates(func(a, b *routing.Candidate) { a.Slots, b.Slots = 100, 100 })
		b.expectAnswer("before", 4, ignoreChunks)
		b.Engine("a").SetFaults(engineserver.Faults{Frozen: true})
		for i := range 8 {
			go b.expectRefusal(fmt.Sprint(i), ignoreChunks, refusal.CodeWaitTooLong, refusal.RanMaybe)
		}
		time.Sleep(2500 * time.Millisecond)
		for i := range 10 {
			b.expectAnswer(fmt.Sprint("later", i), 4, ignoreChunks)
		}
		time.Sleep(maxWait)
		b.check(b.server.OpenRequests() == 0, "still open")
	})
}

// Guards against ignored cache events: an engine in another domain reports with a delay
// that it has cached a prompt that another entry VM sent. The next such prompt on this
// VM goes to that engine.
func TestCacheEventsReachTheRouter(t *testing.T) {
	runScenario(t, nil, func(b *testbed) {
		long := chatBody(strings.Repeat("a long prompt ", 200), 4)
		ctx, disconnect := context.WithCancel(b.Context())
		defer disconnect()
		b.setCandidates(func(a, b *routing.Candidate) { a.Slots, b.Slots = 100, 100; onlyBReady(a, b) })
		go b.sendRequest(ctx, "own", chatBody("own", 1000), ignoreChunks)
		time.Sleep(time.Second)
		_, err := b.InMemoryClient.Generate(ctx, "b", engine.Request{ID: "x", Unit: "m", Body: long})
		time.Sleep(2 * time.Second)
		b.setCandidates(bothReady)
		b.expectAnswer("plain", 4, ignoreChunks)
		b.check(err == nil && b.sendRequest(ctx, "cached", long, ignoreChunks) == nil, "failed")
		plainOnA, _ := b.runCounts("plain")
		_, cachedOnB := b.runCounts("cached")
		b.check(plainOnA == 1 && cachedOnB == 1, "ran %d and %d times", plainOnA, cachedOnB)
	})
}

// Guards against callers that disconnect, or can't be written to, counting as failures
// of the engine: a few such callers would make it unavailable to all others.
func TestCallerFailuresDoNotOpenBreaker(t *testing.T) {
	for _, disconnects := range []bool{false, true} {
		runScenario(t, nil, func(b *testbed) {
			b.setCandidates(onlyAReady)
			for i := range 10 {
				ctx, disconnect := context.WithCancel(b.Context())
				_ = b.sendRequest(ctx, fmt.Sprint(i), chatBody("hello", 8), func(int) error {
					if disconnects {
						disconnect()
						return nil
					}
					return errors.New("sink failed")
				})
				disconnect()
			}
			b.server.WithLockedState(func(_ *admission.Controller, r *routing.Router) {
				b.check(r.Breaker(time.Now(), "a") == routing.BreakerClosed, "breaker open")
			})
		})
	}
}

// Guards against subtracting the ends of streams from before an engine's restart from
// its load since: the engine would be sent more requests than it has slots.
func TestRestartedEngineLoadIsCountedAnew(t *testing.T) {
	runScenario(t, nil, func(b *testbed) {
		b.setCandidates(onlyAReady)
		ctx, disconnect := context.WithCancel(b.Context())
		go b.sendRequest(ctx, "before", chatBody("hello", 1e5), ignoreChunks)
		time.Sleep(time.Second)
		b.server.Forget("a")
		go b.sendRequest(b.Context(), "after", chatBody("hello", 1e5), ignoreChunks)
		time.Sleep(time.Second)
		disconnect()
		time.Sleep(time.Second)
		b.server.WithLockedState(func(_ *admission.Controller, r *routing.Router) {
			b.check(r.InFlight()["a"] == 1, "in flight: %v", r.InFlight())
		})
	})
}

// Guards against a stale expected ready time. A request that waits for a load is
// refused as soon as the load is known to take too long; after the load's early end or
// failure, no request is refused because of it.
func TestReadyTimeEndsWithLoad(t *testing.T) {
	for _, end := range []func(b *testbed){
		func(b *testbed) { b.setCandidates(onlyAReady) },
		func(b *testbed) { // the load failed, and another one is ready in a second
			loading := b.candidates
			b.candidates = nil
			_ = b.sendRequest(b.Context(), "meanwhile", chatBody("hello", 4), ignoreChunks)
			b.candidates = loading
			time.AfterFunc(time.Second, func() { b.setCandidates(onlyAReady) })
		},
	} {
		runScenario(t, nil, func(b *testbed) {
			b.setCandidates(noneReady)
			expect := func() {
				b.server.WithLockedState(func(c *admission.Controller, _ *routing.Router) {
					c.SetReadyTime("m", time.Now().Add(time.Minute), true)
				})
			}
			time.AfterFunc(time.Second, expect)
			begun := time.Now()
			b.expectRefusal("waits", ignoreChunks, refusal.CodeWaitTooLong, refusal.RanNo)
			b.check(time.Since(begun) < 1500*time.Millisecond, "refused after %v", time.Since(begun))
			end(b)
			b.expectAnswer("later", 4, ignoreChunks)
			b.setCandidates(noneReady) // the expected time of a second load arrives together with the end of the first
			time.AfterFunc(1100*time.Millisecond, func() { b.setCandidates(func(a, _ *routing.Candidate) { a.Ready = true; expect() }) })
			b.expectAnswer("at the end", 4, ignoreChunks)
		})
	}
}

// Guards against requests left waiting when the VM stops: one that waits and one that
// arrives afterwards are both refused.
func TestStopRefusesWaitingRequests(t *testing.T) {
	runScenario(t, nil, func(b *testbed) {
		b.setCandidates(noneReady)
		time.AfterFunc(time.Second, b.stop)
		b.expectRefusal("waits", ignoreChunks, refusal.CodeShuttingDown, refusal.RanNo)
		b.expectRefusal("late", ignoreChunks, refusal.CodeShuttingDown, refusal.RanNo)
		b.server.WithLockedState(func(a *admission.Controller, _ *routing.Router) {
			b.check(len(a.Demand(time.Now())) == 0, "%v still wait", a.Demand(time.Now()))
		})
		b.check(b.server.OpenRequests() == 0, "still open")
	})
}
