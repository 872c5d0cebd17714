package serving_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
	"bergamotreel/service"
)

// Guards against a crash of a backend server that isn't attributed to the request it
// ran, and against failures that it survived being reported as crashes.
func TestLostConnectionsAreReportedToQuarantine(t *testing.T) {
	for name, c := range map[string]struct {
		answer func() (*service.ForwardResponse, error)
		broken int
	}{
		"cut off":          {func() (*service.ForwardResponse, error) { return cutOffAnswer("x"), nil }, 1},
		"no answer":        {func() (*service.ForwardResponse, error) { return nil, service.ErrOutcomeUnknown }, 1},
		"own failure":      {func() (*service.ForwardResponse, error) { return completeAnswer(500, "x"), nil }, 0},
		"turned away":      {func() (*service.ForwardResponse, error) { return nil, service.ErrNotRun }, 0},
		"answered":         {func() (*service.ForwardResponse, error) { return completeAnswer(200, "x"), nil }, 0},
		"connection fails": {func() (*service.ForwardResponse, error) { return nil, service.ErrNotSent }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newForwardTestbed(t)
				b.respond = func(context.Context, int, sentRequest) (*service.ForwardResponse, error) { return c.answer() }
				once := route(contract.RepeatNever)
				_ = b.forward(context.Background(), once, "m", &answerRecorder{})
				testkit.That(t, len(b.brokenRuns) == c.broken, "%d broken runs reported, want %d", len(b.brokenRuns), c.broken)
				b.stop()
			})
		})
	}
}

// Guards against sending a request that was quarantined while it waited, and against
// reporting "not run" for one that has run.
func TestQuarantineIsCheckedBeforeEachAttempt(t *testing.T) {
	for sentBefore, ran := range map[int]refusal.Ran{0: refusal.RanNo, 1: refusal.RanMaybe} {
		synctest.Test(t, func(t *testing.T) {
			b := newForwardTestbed(t)
			b.suspects, b.quarantineFrom = true, sentBefore+1
			checkQuarantinedAfter(t, b, sentBefore, ran)
		})
	}
}

// checkQuarantinedAfter forwards a request whose attempts have no known outcome, and checks that it
// is refused by the quarantine after it was sent the given number of times.
func checkQuarantinedAfter(t *testing.T, b *forwardTestbed, sent int, ran refusal.Ran) {
	t.Helper()
	b.respond = func(context.Context, int, sentRequest) (*service.ForwardResponse, error) {
		return nil, service.ErrOutcomeUnknown
	}
	err := b.forward(context.Background(), route(contract.RepeatSafe), "m", &answerRecorder{})
	wantRefusal(t, err, refusal.CodeQuarantined, ran)
	testkit.Equal(t, "sent requests", len(b.sent), sent)
	testkit.Equal(t, "open requests", b.server.OpenRequests(), 0)
	b.stop()
}

// Guards against a trial of a refused request that is refused all the same, and against one that
// is repeated and so ends a second backend server.
func TestTrialOfRefusedRequestIsSentOnce(t *testing.T) {
	for trials, ran := range map[int]refusal.Ran{0: refusal.RanNo, 1: refusal.RanMaybe} {
		synctest.Test(t, func(t *testing.T) {
			b := newForwardTestbed(t)
			b.suspects, b.quarantineFrom, b.trials = true, 1, trials
			checkQuarantinedAfter(t, b, trials, ran)
		})
	}
}

// Guards against the refusal of sound parts of prompts while long streams with them go on: these
// show that the parts are sound before the first one ends. Short answers show nothing earlier.
func TestProgressOfStreamsIsReportedToQuarantine(t *testing.T) {
	for duration, reports := range map[time.Duration]int{300 * time.Millisecond: 0, 1800 * time.Millisecond: 3} {
		synctest.Test(t, func(t *testing.T) {
			b := newForwardTestbed(t)
			b.suspects = true
			b.respond = func(context.Context, int, sentRequest) (*service.ForwardResponse, error) {
				reader, writer := io.Pipe()
				go func() {
					for began := time.Now(); time.Since(began) < duration; time.Sleep(50 * time.Millisecond) {
						_, _ = writer.Write([]byte("data: x\n\n"))
					}
					_ = writer.Close()
				}()
				return &service.ForwardResponse{Status: 200, Length: service.LengthChunked, Body: reader}, nil
			}
			testkit.OK(t, b.forwardWithParts(context.Background(), route(contract.RepeatResume), "m", &answerRecorder{}, "shared"))
			testkit.Equal(t, fmt.Sprint("reports in ", duration), b.progress, reports)
			b.stop()
		})
	}
}

// Guards against a failure that counts as a success and clears the request of suspicion.
func TestOnlySuccessIsReportedToQuarantine(t *testing.T) {
	for status, cleared := range map[int]int{200: 1, 404: 0, 500: 0} {
		synctest.Test(t, func(t *testing.T) {
			b := newForwardTestbed(t)
			b.suspects = true
			b.respond = func(context.Context, int, sentRequest) (*service.ForwardResponse, error) {
				return completeAnswer(status, "x"), nil
			}
			_ = b.forward(context.Background(), route(contract.RepeatNever), "m", &answerRecorder{})
			testkit.Equal(t, fmt.Sprint("cleared by ", status), b.successes, cleared)
			testkit.Equal(t, fmt.Sprint("answers with ", status), b.answers, 1)
			b.stop()
		})
	}
}

// Guards against a limit that a failure without one lifts, and against a limit that is
// ignored because it came with a refusal.
func TestBackendLimitsAreRecorded(t *testing.T) {
	named := service.Limit{Limited: true, PerSecond: 4}
	with := func(f *service.ForwardResponse, limit service.Limit) *service.ForwardResponse {
		f.Limit = limit
		return f
	}
	for name, c := range map[string]struct {
		answer *service.ForwardResponse
		err    error
		want   []service.Limit
	}{
		"answer":                  {with(completeAnswer(200, "x"), named), nil, []service.Limit{named}},
		"answer without":          {completeAnswer(200, "x"), nil, []service.Limit{{}}},
		"failure":                 {with(completeAnswer(500, "x"), named), nil, []service.Limit{named}},
		"failure without":         {completeAnswer(500, "x"), nil, nil},
		"turned away":             {&service.ForwardResponse{Limit: named}, service.ErrNotRun, []service.Limit{named}},
		"turned away without one": {&service.ForwardResponse{}, service.ErrNotRun, nil},
		"no answer":               {nil, service.ErrOutcomeUnknown, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newForwardTestbed(t)
				b.respond = func(_ context.Context, number int, _ sentRequest) (*service.ForwardResponse, error) {
					if number > 1 {
						return nil, service.ErrOutcomeUnknown
					}
					return c.answer, c.err
				}
				_ = b.forward(context.Background(), route(contract.RepeatNever), "m", &answerRecorder{})
				testkit.That(t, slices.Equal(b.limits, c.want), "told %v, want %v", b.limits, c.want)
				b.stop()
			})
		})
	}
}

// Guards against several requests that use the same permit, and against a request that
// is refused while a permit may still arrive.
func TestRequestsWaitForPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardTestbed(t)
		b.backends, b.permits = []string{"one"}, 2
		b.respond = func(context.Context, int, sentRequest) (*service.ForwardResponse, error) {
			return completeAnswer(200, "x"), nil
		}
		var open sync.WaitGroup
		for range 3 {
			open.Go(func() {
				testkit.OK(t, b.forward(context.Background(), route(contract.RepeatNever), "m", &answerRecorder{}))
			})
		}
		time.Sleep(time.Second)
		b.mu.Lock()
		testkit.That(t, len(b.sent) == 2 && b.spent == 2, "%d sent with %d permits", len(b.sent), b.spent)
		b.permits = 3
		b.mu.Unlock()
		b.server.Wake()
		open.Wait()
		testkit.That(t, len(b.sent) == 3 && b.spent == 3, "%d sent with %d permits", len(b.sent), b.spent)
		b.stop()
	})
}

// Guards against an abandoned attempt that is no evidence: its backend server may go on running the
// request and crash. What the server had written shows that the parts of the prompt are sound.
func TestAbandonedAttemptsAreReportedToQuarantine(t *testing.T) {
	never := func(ctx context.Context) (*service.ForwardResponse, error) {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", service.ErrOutcomeUnknown, ctx.Err())
	}
	stream := func(ctx context.Context) (*service.ForwardResponse, error) {
		reader, writer := io.Pipe()
		go func() {
			for ctx.Err() == nil {
				_, _ = writer.Write([]byte("data: x\n\n"))
				time.Sleep(50 * time.Millisecond)
			}
			_ = writer.CloseWithError(ctx.Err())
		}()
		return &service.ForwardResponse{Status: 200, Length: service.LengthChunked, Body: reader}, nil
	}
	for name, c := range map[string]struct {
		respond func(ctx context.Context) (*service.ForwardResponse, error)
		// leavesAfter is when the caller leaves, subjects what is reported then.
		leavesAfter time.Duration
		subjects    int
	}{
		"before the answer":     {never, 100 * time.Millisecond, 2},
		"after the deadline":    {never, time.Hour, 2},
		"as the answer begins":  {stream, 200 * time.Millisecond, 2},
		"in the midst of it":    {stream, time.Second, 1},
		"before it is sent":     {func(context.Context) (*service.ForwardResponse, error) { return nil, service.ErrNotSent }, 0, 0},
		"after its own failure": {func(context.Context) (*service.ForwardResponse, error) { return completeAnswer(500, "x"), nil }, time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newForwardTestbed(t)
				b.respond = func(ctx context.Context, _ int, _ sentRequest) (*service.ForwardResponse, error) {
					return c.respond(ctx)
				}
				ctx, cancel := context.WithTimeout(context.Background(), c.leavesAfter)
				defer cancel()
				_ = b.forwardWithParts(ctx, route(contract.RepeatNever), "m", &answerRecorder{}, "shared")
				b.mu.Lock()
				defer b.mu.Unlock()
				subjects := 0
				for _, run := range b.abandonedRuns {
					subjects += len(run)
				}
				testkit.Equal(t, "abandoned subjects", subjects, c.subjects)
				testkit.Equal(t, "broken runs", len(b.brokenRuns), 0)
			})
		})
	}
}
