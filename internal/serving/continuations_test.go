package serving_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bergamotreel/contract"
	"bergamotreel/internal/serving"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
	"bergamotreel/service"
)

// continuingTestbed breaks each new stream off after two events and lets the backend servers answer what continues
// it; a name that is missing goes on soundly.
func continuingTestbed(t *testing.T, answers map[string]func() *service.ForwardResponse) *forwardTestbed {
	b := newConfiguredForwardTestbed(t, zap.NewNop(), func(c *serving.Config) { c.RetrySlack = func() float64 { return 10 } })
	time.Sleep(time.Minute) // the retry budget is empty at first
	b.backends, b.slots = []string{"one", "two", "three"}, 1
	b.respond = func(_ context.Context, _ int, s sentRequest) (*service.ForwardResponse, error) {
		switch respond := answers[s.target]; {
		case s.forward.ResumeAfter == "":
			return cutOffAnswer(event(1) + event(2)), nil
		case respond != nil:
			return respond(), nil
		}
		return completeAnswer(http.StatusOK, event(3)), nil
	}
	return b
}

// Guards against a stream that goes on with what doesn't continue it, and one that is then not tried elsewhere.
func TestAnswerThatDoesNotContinueTheStream(t *testing.T) {
	withHeader := func(name, value string) func() *service.ForwardResponse {
		return func() *service.ForwardResponse {
			answer := completeAnswer(http.StatusOK, event(3))
			answer.Header = http.Header{name: {value}}
			return answer
		}
	}
	for name, wrong := range map[string]func() *service.ForwardResponse{
		"anew":             func() *service.ForwardResponse { return completeAnswer(http.StatusOK, event(1)+event(2)+event(3)) },
		"one left out":     func() *service.ForwardResponse { return completeAnswer(http.StatusOK, event(4)) },
		"nothing":          func() *service.ForwardResponse { return completeAnswer(http.StatusOK, "") },
		"only a comment":   func() *service.ForwardResponse { return completeAnswer(http.StatusOK, ": end\n\n") },
		"a failure's body": func() *service.ForwardResponse { return completeAnswer(http.StatusNotFound, event(3)) },
		"another status":   func() *service.ForwardResponse { return completeAnswer(http.StatusPartialContent, event(3)) },
		"another type":     withHeader("Content-Type", "application/json"),
		"encoded":          withHeader("Content-Encoding", "gzip"),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answers := map[string]func() *service.ForwardResponse{"one": wrong, "two": wrong, "three": wrong}
				b, answer, r := continuingTestbed(t, answers), &answerRecorder{}, route(contract.RepeatResume)
				r.MaxAttempts = 3
				err := b.forward(t.Context(), r, "m", answer)
				passedOn := strings.ReplaceAll(answer.body.String(), ": end\n\n", "") // comments make no event
				testkit.That(t, err != nil && passedOn == event(1)+event(2), "all wrong: %q, %v", answer.body.String(), err)
				testkit.That(t, len(b.sent) == 3 && len(b.doubted) == 1, "%d attempts, %d connections in doubt", len(b.sent), len(b.doubted))
				clear(answers)
				answer = &answerRecorder{}
				testkit.OK(t, b.forward(t.Context(), r, "m", answer))
				testkit.Equal(t, "answer", answer.body.String(), event(1)+event(2)+event(3))
				sound := b.sent[0].target
				testkit.That(t, b.sent[3].target == sound || b.sent[4].target == sound, "went on at %s, not at %s", b.sent[4].target, sound)
				b.stop()
			})
		})
	}
}

// takenUp are answers to a request of a caller that goes on after event 1, by what they hold.
func takenUp(text string) func(context.Context, int, sentRequest) (*service.ForwardResponse, error) {
	return func(context.Context, int, sentRequest) (*service.ForwardResponse, error) {
		return completeAnswer(http.StatusOK, text), nil
	}
}

// Guards against a stream that its caller takes up and gets from its first event, or whose head commits to a server of
// which only a comment has arrived.
func TestStreamTakenUpWhereNoneContinuesIt(t *testing.T) {
	for _, text := range []string{event(1) + event(2), ": working\n\n" + event(1) + event(2), ": working\n\n"} {
		synctest.Test(t, func(t *testing.T) {
			b, answer := startTestbed(t), &answerRecorder{}
			b.respond = takenUp(text)
			wantRefusal(t, b.takeUp(t.Context(), answer), refusal.CodeBackendFailed, refusal.RanMaybe)
			testkit.That(t, !answer.begun && len(b.sent) == 2, "%d attempts, answer %q", len(b.sent), answer.body.String())
			b.stop()
		})
	}
}

// Guards against a stream on a route without resumption whose caller names its last event: it was passed on unchecked,
// and a whole one ended as if it were cut off.
func TestStreamTakenUpOnRouteWithoutResumption(t *testing.T) {
	for _, repeat := range []contract.RepeatPolicy{contract.RepeatSafe, contract.RepeatNever} {
		for text, sound := range map[string]bool{event(2) + event(3): true, event(1) + event(2): false} {
			synctest.Test(t, func(t *testing.T) {
				b, answer, r := startTestbed(t), &answerRecorder{}, route(repeat)
				r.Stream = true
				b.respond = func(context.Context, int, sentRequest) (*service.ForwardResponse, error) {
					response := completeAnswer(http.StatusOK, text)
					response.Length = service.LengthChunked
					return response, nil
				}
				err := b.takeUpOn(t.Context(), r, answer)
				if sound {
					testkit.OK(t, err)
					testkit.Equal(t, "answer", answer.body.String(), text)
				} else {
					testkit.That(t, err != nil && !answer.begun, "passed on %q, %v", answer.body.String(), err)
				}
				b.stop()
			})
		}
	}
}

// Guards against an answer that isn't an event stream and is continued with the beginning of another one, as its caller
// had named an event.
func TestOtherAnswerIsNotContinued(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusOK} {
		synctest.Test(t, func(t *testing.T) {
			b, answer := startTestbed(t), &answerRecorder{}
			b.respond = func(context.Context, int, sentRequest) (*service.ForwardResponse, error) {
				response := cutOffAnswer("{\n\n")
				response.Status, response.Header = status, http.Header{"Content-Type": {"application/json"}}
				return response, nil
			}
			err := b.takeUp(t.Context(), answer)
			testkit.That(t, err != nil && len(b.sent) == 1 && answer.body.String() == "{\n\n", "status %d: %d attempts, %q, %v", status, len(b.sent), answer.body.String(), err)
			b.stop()
		})
	}
}

// Guards against a HEAD request that fails because its answer has no event.
func TestHeadOfStreamTakenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, answer := startTestbed(t), &answerRecorder{}
		b.method, b.respond = http.MethodHead, takenUp("")
		testkit.OK(t, b.takeUp(t.Context(), answer))
		testkit.That(t, answer.begun && len(b.sent) == 1, "%d attempts", len(b.sent))
		b.stop()
	})
}

// Guards against an event that is left out where a stream's own ids don't show it: its caller takes it up, or it broke off
// after one event. Streams of a service whose ids rise otherwise go on.
func TestGapWhereTheStreamShowsNoStep(t *testing.T) {
	for _, regular := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b := startTestbed(t)
			b.respond = func(_ context.Context, number int, s sentRequest) (*service.ForwardResponse, error) {
				switch {
				case s.forward.ResumeAfter != "":
					return completeAnswer(http.StatusOK, event(3)+event(4)), nil
				case !regular && number%4 == 0:
					return completeAnswer(http.StatusOK, event(1)+event(4)+event(5)), nil
				}
				return completeAnswer(http.StatusOK, event(1)+event(2)+event(3)), nil
			}
			for range 20 {
				testkit.OK(t, b.forward(t.Context(), route(contract.RepeatResume), "m", &answerRecorder{}))
			}
			answer := &answerRecorder{}
			err := b.takeUp(t.Context(), answer)
			testkit.That(t, (err != nil) == regular && answer.begun != regular, "regular %t: %q, %v", regular, answer.body.String(), err)
			b.stop()
		})
	}
}
