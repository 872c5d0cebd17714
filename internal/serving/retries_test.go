package serving_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/internal/judge"
	"bergamotreel/internal/testkit"
	"bergamotreel/service"
)

// Guards against retries of several windows that reach backend servers in one: they were
// allowed as they failed, waited for a backend server and are sent together.
func TestWaitingRetriesAreNotSentTogether(t *testing.T) {
	const (
		batches, batchSize = 7, 1000
		batchInterval      = 4 * time.Second
		timeout            = 30 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		b := newForwardTestbed(t)
		b.slots, b.busyUnits = batches*batchSize, make(map[string]bool)
		var history judge.History
		released := make(map[string]chan struct{})
		b.respond = func(_ context.Context, _ int, s sentRequest) (*service.ForwardResponse, error) {
			<-released[s.forward.URI]
			return nil, service.ErrOutcomeUnknown
		}
		repeatable := route(contract.RepeatSafe)
		repeatable.TargetLatency, repeatable.Timeout = timeout, timeout
		var running sync.WaitGroup
		for batch := range batches {
			model := fmt.Sprint("m", batch)
			released[model] = make(chan struct{})
			for i := range batchSize {
				now, id := time.Now(), fmt.Sprint(model, "-", i)
				history.Outcomes = append(history.Outcomes, judge.Outcome{Request: id, Sent: now})
				running.Go(func() {
					_ = b.server.Forward(t.Context(), caller.RelayRequest{
						RelayHead: caller.RelayHead{ID: id, Model: model}, Grant: caller.Grant{Customer: "c", Route: repeatable}, Service: "s",
						ForwardRequest: service.ForwardRequest{RequestID: id, Method: b.method, URI: model},
						Arrived:        now, AnswerDeadline: now.Add(timeout), BeginDeadline: now.Add(timeout),
					}, &answerRecorder{})
				})
			}
			synctest.Wait()
			b.setBusy("model/s/"+model, true)
			close(released[model])
			time.Sleep(batchInterval)
		}
		for batch := range batches {
			b.setBusy(fmt.Sprint("model/s/m", batch), false)
		}
		b.server.Wake()
		running.Wait()
		for _, s := range b.sent {
			history.Arrivals = append(history.Arrivals, judge.Arrival{Request: s.forward.RequestID, At: s.at})
		}
		bound := judge.RetryBound{Window: 10 * time.Second, Ratio: 0.2, Slack: 42}
		violations := judge.CheckRetries(&history, bound)
		testkit.That(t, len(violations) == 0, "%v", violations)
		testkit.That(t, len(history.Arrivals) > batches*batchSize, "no retry was sent")
		b.stop()
	})
}

// setBusy sets whether no backend server is ready for a unit.
func (b *forwardTestbed) setBusy(unit string, busy bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busyUnits[unit] = busy
}

// Guards against reserved retries that are never released, so that a budget shrinks for good: a
// retry that can't be sent is replaced on another backend server.
func TestReplacedRetriesAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardTestbed(t)
		attempt := 0
		b.respond = func(ctx context.Context, _ int, _ sentRequest) (*service.ForwardResponse, error) {
			attempt++
			switch attempt {
			case 1:
				return nil, errors.Join(service.ErrOutcomeUnknown, service.ErrClosedByServer)
			case 2:
				<-ctx.Done()
				return nil, service.ErrNotSent
			default:
				return completeAnswer(200, "whole"), nil
			}
		}
		repeatable := route(contract.RepeatSafe)
		repeatable.MaxAttempts = 4
		for range 10 {
			attempt = 0
			testkit.OK(t, b.forward(t.Context(), repeatable, "", &answerRecorder{}))
			testkit.Equal(t, "attempts", attempt, 3)
			time.Sleep(time.Minute)
		}
		b.stop()
	})
}

// Guards against retries that hold their tokens for good: an attempt that was given up is settled once its backend
// server answers a later request, whichever way its own request ended.
func TestHeldRetriesAreSettledByLaterAnswers(t *testing.T) {
	for name, second := range map[string]func(ctx context.Context) (*service.ForwardResponse, error){
		"the retry is answered": func(context.Context) (*service.ForwardResponse, error) { return completeAnswer(200, "whole"), nil },
		"the retry is rejected": func(context.Context) (*service.ForwardResponse, error) { return nil, service.ErrNotRun },
		"the retry is not sent": func(context.Context) (*service.ForwardResponse, error) { return nil, service.ErrNotSent },
		"the retry fails":       func(context.Context) (*service.ForwardResponse, error) { return nil, service.ErrOutcomeUnknown },
		"the retry gets no answer": func(ctx context.Context) (*service.ForwardResponse, error) {
			<-ctx.Done()
			return nil, service.ErrOutcomeUnknown
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newForwardTestbed(t)
				attempts := 0
				b.respond = func(ctx context.Context, _ int, _ sentRequest) (*service.ForwardResponse, error) {
					if attempts++; attempts > 1 {
						return second(ctx)
					}
					<-ctx.Done()
					return nil, service.ErrOutcomeUnknown
				}
				repeatable := route(contract.RepeatSafe)
				repeatable.MaxAttempts = 2
				for range 20 {
					attempts = 0
					_ = b.forward(t.Context(), repeatable, "", &answerRecorder{})
					testkit.That(t, attempts >= 2, "not retried")
					time.Sleep(30 * time.Second)
					for _, backend := range b.backends {
						b.server.RecordAnswer(backend, time.Now())
					}
					time.Sleep(30 * time.Second) // until the budget is full again
				}
				b.stop()
			})
		})
	}
}
