package serving_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"bergamotreel/admission"
	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
	"bergamotreel/routing"
	"bergamotreel/service"
)

func event(id int) string { return fmt.Sprintf("id: %d\ndata: part %d\n\n", id, id) }

// pausingAnswer returns a stream of the event and, after the pause, of the remaining
// text. It fails when ctx ends.
func pausingAnswer(ctx context.Context, first string, pause time.Duration, remaining string) *service.ForwardResponse {
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) })
	go func() {
		_, _ = io.WriteString(writer, first)
		select {
		case <-time.After(pause):
			_, _ = io.WriteString(writer, remaining)
			_ = writer.Close()
		case <-ctx.Done():
		}
	}()
	return &service.ForwardResponse{Status: 200, Length: -1, Body: reader}
}

// Guards against log lines that don't tell an attempt that this VM ended for silence from
// one that the backend server ended.
func TestAttemptLineTellsWhoEndedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		b := newForwardTestbedWithLog(t, zap.New(core))
		b.respond = func(ctx context.Context, number int, _ sentRequest) (*service.ForwardResponse, error) {
			if number == 1 {
				return pausingAnswer(ctx, event(1), time.Minute, ""), nil
			}
			return cutOffAnswer(""), nil
		}
		testkit.That(t, b.forward(t.Context(), route(contract.RepeatResume), "m", &answerRecorder{}) != nil, "a whole answer")
		attempts := logs.FilterMessage("attempt").All()
		testkit.Need(t, len(attempts) == 2, "%d attempts, want 2", len(attempts))
		for i, endedForSilence := range []bool{true, false} {
			got := attempts[i].ContextMap()
			testkit.Equal(t, "ended for silence", got["ended_for_silence"], any(endedForSilence))
			testkit.Equal(t, "last event", got["last_event"], any("1"))
		}
		testkit.Equal(t, "silence", attempts[0].ContextMap()["silent_for"], any(2*time.Second))
		b.stop()
	})
}

// Guards against a log line that counts the time in which the caller read slowly as silence
// of its backend server.
func TestAttemptLineLeavesOutSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		b := newForwardTestbedWithLog(t, zap.New(core))
		b.respond = func(ctx context.Context, number int, _ sentRequest) (*service.ForwardResponse, error) {
			if number == 1 {
				return pausingAnswer(ctx, event(1), time.Minute, ""), nil
			}
			return pausingAnswer(ctx, event(2), 0, ""), nil
		}
		r := route(contract.RepeatResume)
		r.Timeout = 30 * time.Second
		testkit.OK(t, b.forward(t.Context(), r, "m", &answerRecorder{writeTime: 5 * time.Second}))
		attempts := logs.FilterMessage("attempt").All()
		testkit.Need(t, len(attempts) == 2, "%d attempts, want 2", len(attempts))
		got := attempts[0].ContextMap()["silent_for"].(time.Duration)
		testkit.That(t, got >= 2*time.Second && got < 5*time.Second, "silent for %s", got)
		b.stop()
	})
}

// forwardAll forwards streams of events at once, checks that each is whole, and that
// nothing counts as running afterwards.
func (b *forwardTestbed) forwardAll(count int, r *contract.Route, want string) {
	b.Helper()
	var all sync.WaitGroup
	for range count {
		all.Go(func() {
			var got answerRecorder
			err := b.forward(b.Context(), r, "m", &got)
			testkit.That(b, err == nil && got.body.String() == want, "%v after %q", err, got.body.String())
		})
	}
	all.Wait()
	b.server.WithLockedState(func(_ *admission.Controller, router *routing.Router) {
		testkit.That(b, len(router.InFlight()) == 0, "in flight: %v", router.InFlight())
	})
	testkit.Equal(b, "running requests", len(b.server.RunningRequests()), 0)
}

// silentCases are the states in which a silent request can't go on elsewhere. The
// backend servers pause after they have received it.
var silentCases = map[string]struct {
	requests, maxSent int
	prepare           func(b *forwardTestbed, r *contract.Route)
}{
	"no other server": {1, 1, func(b *forwardTestbed, _ *contract.Route) { b.setBackends("one") }},
	"the VM stops": {1, 1, func(b *forwardTestbed, _ *contract.Route) {
		time.AfterFunc(500*time.Millisecond, b.server.RefuseWaiting)
	}},
	"other server busy": {2, 2, func(b *forwardTestbed, _ *contract.Route) { b.slots = 1 }},
	"other server busy, begin deadline passed": {2, 2, func(b *forwardTestbed, r *contract.Route) {
		b.slots = 1
		r.Silence = 800 * time.Millisecond
	}},
	"no attempt left": {1, 1, func(_ *forwardTestbed, r *contract.Route) { r.MaxAttempts = 1 }},
	"no permit":       {1, 1, func(b *forwardTestbed, _ *contract.Route) { b.permits = 1 }},
	"quarantined meanwhile": {1, 1, func(b *forwardTestbed, _ *contract.Route) {
		b.suspects, b.quarantineFrom = true, 2
	}},
	"budget spent": {40, 40 + 7, func(b *forwardTestbed, _ *contract.Route) { b.slots = 100 }},
}

// Guards against streams that are cut because their engine pauses, when they can't be
// resumed elsewhere at once: the engine would have finished them.
func TestPausingStreamIsNotCut(t *testing.T) {
	for name, c := range silentCases {
		for _, pause := range []time.Duration{2600 * time.Millisecond, 5100 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", pause), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newForwardTestbed(t)
					b.respond = func(ctx context.Context, _ int, s sentRequest) (*service.ForwardResponse, error) {
						if s.forward.ResumeAfter != "" {
							return pausingAnswer(ctx, "", 0, event(2)+event(3)), nil
						}
						return pausingAnswer(ctx, event(1), pause, event(2)+event(3)), nil
					}
					r := route(contract.RepeatResume)
					r.Timeout = 20 * time.Second
					c.prepare(b, r)
					b.forwardAll(c.requests, r, event(1)+event(2)+event(3))
					testkit.That(t, len(b.sent) <= c.maxSent, "%d requests were sent", len(b.sent))
					b.stop()
				})
			})
		}
	}
}

// Guards against refusing requests whose backend server is late with its answer, when no
// other one can take them: the answer was under way.
func TestLateAnswerIsDelivered(t *testing.T) {
	for name, c := range silentCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newForwardTestbed(t)
				b.respond = func(ctx context.Context, number int, _ sentRequest) (*service.ForwardResponse, error) {
					if number <= c.requests {
						select {
						case <-time.After(2500 * time.Millisecond):
						case <-ctx.Done():
							return nil, service.ErrOutcomeUnknown
						}
					}
					return completeAnswer(200, "whole"), nil
				}
				r := route(contract.RepeatSafe)
				r.Timeout = 20 * time.Second
				c.prepare(b, r)
				b.forwardAll(c.requests, r, "whole")
				testkit.That(t, len(b.sent) <= c.maxSent, "%d requests were sent", len(b.sent))
				b.stop()
			})
		})
	}
}

// Guards against a long answer that is cut in a pause although it has begun and so can't
// be repeated.
func TestPausingSafeAnswerIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardTestbed(t)
		b.respond = func(ctx context.Context, _ int, _ sentRequest) (*service.ForwardResponse, error) {
			return pausingAnswer(ctx, "first", 3*time.Second, " second"), nil
		}
		b.forwardAll(1, route(contract.RepeatSafe), "first second")
		b.stop()
	})
}

// Guards against a stream that is ended because its caller reads slowly, while its engine
// sends.
func TestSlowCallerIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardTestbed(t)
		b.respond = func(ctx context.Context, _ int, _ sentRequest) (*service.ForwardResponse, error) {
			return pausingAnswer(ctx, event(1), time.Millisecond, event(2)), nil
		}
		r := route(contract.RepeatResume)
		r.Timeout = 20 * time.Second
		got := answerRecorder{writeTime: 5 * time.Second}
		err := b.forward(t.Context(), r, "m", &got)
		testkit.That(t, err == nil && got.body.String() == event(1)+event(2) && len(b.sent) == 1, "%v after %q", err, got.body.String())
		b.stop()
	})
}

// Guards against a stream that stays with a hung engine although another one is free, and
// against missing or repeated bytes when it moves.
func TestSilentStreamMovesToFreeServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardTestbed(t)
		b.respond = func(ctx context.Context, number int, s sentRequest) (*service.ForwardResponse, error) {
			if number == 1 {
				return pausingAnswer(ctx, event(1)+event(2)+"id: 3\nda", time.Minute, ""), nil
			}
			testkit.Equal(t, "resumed after", s.forward.ResumeAfter, "2")
			return pausingAnswer(ctx, event(3), time.Millisecond, event(4)), nil
		}
		start := time.Now()
		b.forwardAll(1, route(contract.RepeatResume), event(1)+event(2)+event(3)+event(4))
		testkit.That(t, len(b.sent) == 2 && b.sent[0].target != b.sent[1].target, "sent %+v", b.sent)
		testkit.That(t, time.Since(start) < 2100*time.Millisecond, "took %s", time.Since(start))
		b.stop()
	})
}

// Guards against a stream that stays with a hung engine because the other one became free
// only after the first search.
func TestSilentStreamMovesOnceServerIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardTestbed(t)
		b.backends = []string{"one"}
		time.AfterFunc(4*time.Second, func() { b.setBackends("one", "two") })
		b.respond = func(ctx context.Context, number int, _ sentRequest) (*service.ForwardResponse, error) {
			if number == 1 {
				return pausingAnswer(ctx, event(1), time.Minute, ""), nil
			}
			return pausingAnswer(ctx, event(2), 0, ""), nil
		}
		start := time.Now()
		r := route(contract.RepeatResume)
		r.Timeout = 20 * time.Second
		b.forwardAll(1, r, event(1)+event(2))
		testkit.That(t, len(b.sent) == 2 && time.Since(start) < 5*time.Second, "%d sent, took %s", len(b.sent), time.Since(start))
		b.stop()
	})
}

// Guards against a stream that stays with a hung engine because the only other one broke it
// before.
func TestSilentStreamMovesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardTestbed(t)
		b.respond = func(ctx context.Context, number int, _ sentRequest) (*service.ForwardResponse, error) {
			switch number {
			case 1:
				return cutOffAnswer(event(1)), nil
			case 2:
				return pausingAnswer(ctx, event(2), time.Minute, ""), nil
			default:
				return pausingAnswer(ctx, event(3), 0, ""), nil
			}
		}
		r := route(contract.RepeatResume)
		r.MaxAttempts = 3
		b.forwardAll(1, r, event(1)+event(2)+event(3))
		testkit.That(t, len(b.sent) == 3 && b.sent[2].target == b.sent[0].target, "sent %+v", b.sent)
		b.stop()
	})
}

// Guards against an answer that begins in the very moment in which its attempt is ended: it
// could neither be completed nor repeated.
func TestAnswerBeginsAsRequestMoves(t *testing.T) {
	for range 100 {
		synctest.Test(t, func(t *testing.T) {
			b := newForwardTestbed(t)
			b.respond = func(ctx context.Context, number int, _ sentRequest) (*service.ForwardResponse, error) {
				if number == 1 {
					return pausingAnswer(ctx, "", 900*time.Millisecond, "whole"), nil
				}
				return completeAnswer(200, "whole"), nil
			}
			b.forwardAll(1, route(contract.RepeatSafe), "whole")
			b.stop()
		})
	}
}

// Guards against lost or repeated events, and servers that stay reserved, when data or the
// end of the stream arrives in the very moment of the move.
func TestDataArrivesAsStreamMoves(t *testing.T) {
	for i := range 200 {
		remaining := []string{event(2), ""}[i%2]
		synctest.Test(t, func(t *testing.T) {
			b := newForwardTestbed(t)
			b.respond = func(_ context.Context, _ int, s sentRequest) (*service.ForwardResponse, error) {
				if s.forward.ResumeAfter == "" {
					return pausingAnswer(context.Background(), event(1), 2*time.Second, remaining), nil
				}
				return pausingAnswer(context.Background(), "", 0, remaining), nil
			}
			b.forwardAll(1, route(contract.RepeatResume), event(1)+remaining)
			b.stop()
		})
	}
}

// Guards against a stream that isn't resumed because its engine dies later than the stream
// had to begin: its caller waits as long as it did at first, from its last event on, and no
// longer.
func TestStreamOfDeadEngineIsResumedLate(t *testing.T) {
	for name, c := range map[string]struct {
		readyAt, end time.Duration
		whole        bool
	}{
		"another server is free":       {900 * time.Millisecond, time.Second, true},
		"free while the caller waits":  {1200 * time.Millisecond, 1200 * time.Millisecond, true},
		"free after the caller's wait": {2 * time.Second, 1700 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newForwardTestbed(t)
				b.setBackends("one")
				time.AfterFunc(850*time.Millisecond, func() { b.setBackends() })
				time.AfterFunc(c.readyAt, func() { b.setBackends("two") })
				b.respond = func(ctx context.Context, number int, _ sentRequest) (*service.ForwardResponse, error) {
					if number > 1 {
						return pausingAnswer(ctx, event(3), 0, ""), nil
					}
					return dyingAnswer(event(1), 800*time.Millisecond, event(2), 200*time.Millisecond), nil
				}
				r := route(contract.RepeatResume)
				r.Timeout, r.Silence = 20*time.Second, time.Second
				var got answerRecorder
				start := time.Now()
				err := b.forward(t.Context(), r, "m", &got)
				testkit.That(t, (err == nil) == c.whole, "%v after %q", err, got.body.String())
				testkit.That(t, !c.whole || got.body.String() == event(1)+event(2)+event(3), "got %q", got.body.String())
				took := time.Since(start)
				testkit.That(t, took >= c.end && took < c.end+idlePoll, "took %s, want %s", took, c.end)
				b.stop()
			})
		})
	}
}

// idlePoll is the longest time until a server notices that a candidate is ready.
const idlePoll = 250 * time.Millisecond

// setBackends sets the backend servers.
func (b *forwardTestbed) setBackends(names ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backends = names
}

// dyingAnswer returns a stream of two pieces that breaks off, with the pauses after each.
func dyingAnswer(first string, pause time.Duration, second string, end time.Duration) *service.ForwardResponse {
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, first)
		time.Sleep(pause)
		_, _ = io.WriteString(writer, second)
		time.Sleep(end)
		_ = writer.CloseWithError(io.ErrUnexpectedEOF)
	}()
	return &service.ForwardResponse{Status: 200, Length: -1, Body: reader}
}
