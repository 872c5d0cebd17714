package serving_test

import (
	"context"
	"fmt"
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

// Guards against an end of a backend server that nobody connects with what it ran, and
// against failures that it survived being taken for one.
func TestBrokenRunsAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		answer func() (*service.ForwardResponse, error)
		broken int
	}{
		"cut off":          {func() (*service.ForwardResponse, error) { return cut("x"), nil }, 1},
		"no answer":        {func() (*service.ForwardResponse, error) { return nil, service.ErrOutcomeUnknown }, 1},
		"own failure":      {func() (*service.ForwardResponse, error) { return whole(500, "x"), nil }, 0},
		"turned away":      {func() (*service.ForwardResponse, error) { return nil, service.ErrNotRun }, 0},
		"answered":         {func() (*service.ForwardResponse, error) { return whole(200, "x"), nil }, 0},
		"connection fails": {func() (*service.ForwardResponse, error) { return nil, service.ErrNotSent }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newForwardBed(t)
				b.script = func(context.Context, int, sending) (*service.ForwardResponse, error) { return c.answer() }
				once := route(contract.RepeatNever)
				_ = b.forward(context.Background(), once, "m", &received{})
				testkit.That(t, len(b.broken) == c.broken, "%d broken runs reported, want %d", len(b.broken), c.broken)
				b.stop()
			})
		})
	}
}

// Guards against a repetition that is sent on as it waited while the request was found to
// crash what runs it, and against a "not run" for one that has run.
func TestQuarantinedWhileItWaited(t *testing.T) {
	for sendings, ran := range map[int]refusal.Ran{0: refusal.RanNo, 1: refusal.RanMaybe} {
		synctest.Test(t, func(t *testing.T) {
			b := newForwardBed(t)
			b.suspects, b.quarantineFrom = true, sendings+1
			b.script = func(context.Context, int, sending) (*service.ForwardResponse, error) {
				return nil, service.ErrOutcomeUnknown
			}
			err := b.forward(context.Background(), route(contract.RepeatSafe), "m", &received{})
			wantRefusal(t, err, refusal.CodeQuarantined, ran)
			testkit.Equal(t, "sendings", len(b.sent), sendings)
			testkit.Equal(t, "open requests", b.server.Open(), 0)
			b.stop()
		})
	}
}

// Guards against a failure that passes for an answer and clears the request.
func TestOnlySuccessClears(t *testing.T) {
	for status, cleared := range map[int]int{200: 1, 404: 0, 500: 0} {
		synctest.Test(t, func(t *testing.T) {
			b := newForwardBed(t)
			b.suspects = true
			b.script = func(context.Context, int, sending) (*service.ForwardResponse, error) { return whole(status, "x"), nil }
			_ = b.forward(context.Background(), route(contract.RepeatNever), "m", &received{})
			testkit.Equal(t, fmt.Sprint("cleared by ", status), b.cleared, cleared)
			b.stop()
		})
	}
}

// Guards against a limit that a failure without one lifts, and against one that is
// overlooked as it came with a refusal.
func TestWhichAnswersTellOfLimits(t *testing.T) {
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
		"answer":                  {with(whole(200, "x"), named), nil, []service.Limit{named}},
		"answer without":          {whole(200, "x"), nil, []service.Limit{{}}},
		"failure":                 {with(whole(500, "x"), named), nil, []service.Limit{named}},
		"failure without":         {whole(500, "x"), nil, nil},
		"turned away":             {&service.ForwardResponse{Limit: named}, service.ErrNotRun, []service.Limit{named}},
		"turned away without one": {&service.ForwardResponse{}, service.ErrNotRun, nil},
		"no answer":               {nil, service.ErrOutcomeUnknown, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newForwardBed(t)
				b.script = func(_ context.Context, number int, _ sending) (*service.ForwardResponse, error) {
					if number > 1 {
						return nil, service.ErrOutcomeUnknown
					}
					return c.answer, c.err
				}
				_ = b.forward(context.Background(), route(contract.RepeatNever), "m", &received{})
				testkit.That(t, slices.Equal(b.limits, c.want), "told %v, want %v", b.limits, c.want)
				b.stop()
			})
		})
	}
}

// Guards against one permit that several requests use, and against a request that is
// turned away while a permit may still come.
func TestRequestsWaitForPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardBed(t)
		b.backends, b.permits = []string{"one"}, 2
		b.script = func(context.Context, int, sending) (*service.ForwardResponse, error) { return whole(200, "x"), nil }
		var open sync.WaitGroup
		for range 3 {
			open.Go(func() { testkit.OK(t, b.forward(context.Background(), route(contract.RepeatNever), "m", &received{})) })
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
