package serving_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/contract"
	"bergamotreel/internal/serving"
	"bergamotreel/internal/testkit"
	"bergamotreel/routing/streamversion"
	"bergamotreel/service"
)

// errOtherWeights is how a backend server refuses a request that names other weights.
var errOtherWeights = fmt.Errorf("%w: %w: %w", service.ErrNotRun, service.ErrWrongServer, service.ErrOtherWeights)

// Guards against a stream that goes on with other weights of its model than those that wrote its last event.
func TestStreamGoesOnWithItsWeights(t *testing.T) {
	for name, test := range map[string]struct {
		// known and actual are the weights of the backend servers; the first request goes to any of them.
		known, actual map[string]int64
		// refuses is whether they refuse requests that name other weights.
		refuses bool
		// change is the first line of the second event.
		change string
		// attempts is how many requests may be sent after the first, continued whether the stream comes to its end.
		attempts  int
		continued bool
	}{
		"known":                      {known: map[string]int64{"one": 1, "two": 2, "three": 1, "four": 2}, refuses: true, attempts: 1, continued: true},
		"known, none has them":       {known: map[string]int64{"one": 1, "two": 2, "three": 3, "four": 4}, refuses: true, attempts: 1, continued: true},
		"unknown, refused":           {actual: map[string]int64{"one": 1, "two": 2, "three": 3, "four": 4}, refuses: true, attempts: 4},
		"unknown, named only":        {actual: map[string]int64{"one": 1, "two": 2, "three": 3, "four": 4}, attempts: 1},
		"changed midway":             {known: map[string]int64{"one": 1, "two": 9, "three": 1, "four": 9}, change: "bergamotreel-weights: 9\n", refuses: true, attempts: 1, continued: true},
		"changed, name is no number": {known: map[string]int64{"one": 1, "two": 2, "three": 1, "four": 2}, change: "bergamotreel-weights: x\n", refuses: true, attempts: 1, continued: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newForwardTestbed(t)
				b.backends, b.weights = []string{"one", "two", "three", "four"}, test.known
				if test.actual == nil {
					test.actual = test.known
				}
				want := int64(0)
				b.respond = func(_ context.Context, number int, s sentRequest) (*service.ForwardResponse, error) {
					has := test.actual[s.target]
					if number == 1 {
						want = has
						answer := cutOffAnswer(event(1) + test.change + event(2))
						if test.change == "bergamotreel-weights: 9\n" {
							want = 9
						}
						answer.Weights, answer.WeightsField = has, "bergamotreel-weights"
						return answer, nil
					}
					testkit.Equal(t, "named weights", s.forward.Weights, want)
					testkit.That(t, test.known == nil || has == want, "sent to %s, which is known to have other weights", s.target)
					if test.refuses && has != s.forward.Weights {
						return &service.ForwardResponse{Weights: has}, errOtherWeights
					}
					answer := completeAnswer(200, event(3))
					answer.Weights = has
					return answer, nil
				}
				answer, began := &answerRecorder{}, time.Now()
				err := b.forward(t.Context(), route(contract.RepeatResume), "m", answer)
				text := event(1) + test.change + event(2)
				if err == nil {
					text += event(3)
				}
				testkit.Equal(t, "text", answer.body.String(), text)
				testkit.Equal(t, "continued", err == nil, test.continued && len(b.sent) > 1)
				testkit.That(t, len(b.sent) <= 1+test.attempts, "%d requests sent", len(b.sent))
				testkit.Equal(t, "units taken for missing", len(b.unitsNotHeld), 0)
				testkit.That(t, time.Since(began) < time.Second, "ended after %s", time.Since(began))
				b.stop()
			})
		})
	}
}

// Guards against a stream that waits until its deadline for weights that no load brings back.
func TestStreamIsRefusedWhereItsWeightsAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardTestbed(t)
		b.weights = map[string]int64{"one": 2, "two": 2}
		b.respond = func(context.Context, int, sentRequest) (*service.ForwardResponse, error) {
			answer := cutOffAnswer(event(1))
			answer.Weights = 1
			return answer, nil
		}
		began := time.Now()
		err := b.forward(t.Context(), route(contract.RepeatResume), "m", &answerRecorder{})
		testkit.That(t, err != nil && len(b.sent) == 1, "%v after %d requests", err, len(b.sent))
		testkit.That(t, time.Since(began) < time.Second, "ended after %s", time.Since(began))
	})
}

// Guards against events that are lost: an attempt was given up as its first event names other weights, and the next one
// went on after that event.
func TestEventOfOtherWeightsDoesNotCount(t *testing.T) {
	for _, comment := range []string{"", ": working\n", ": working\n\n"} {
		synctest.Test(t, func(t *testing.T) {
			b, answer, r := continuingTestbed(t, nil), &answerRecorder{}, route(contract.RepeatResume)
			r.MaxAttempts = 3
			b.respond = func(_ context.Context, number int, s sentRequest) (*service.ForwardResponse, error) {
				answer := cutOffAnswer(event(1) + event(2))
				switch number {
				case 2:
					answer = completeAnswer(200, comment+"weights: 2\n"+event(3)+event(4))
				case 3:
					testkit.Equal(t, "asked to go on after", s.forward.ResumeAfter, "2")
					answer = completeAnswer(200, event(3)+event(4))
				}
				answer.Weights, answer.WeightsField = 1, "weights"
				return answer, nil
			}
			testkit.OK(t, b.forward(t.Context(), r, "m", answer))
			testkit.Equal(t, "answer", answer.body.String(), event(1)+event(2)+event(3)+event(4))
			b.stop()
		})
	}
}

// Guards against a unit with weights that is taken for another unit.
func TestBoundUnitNames(t *testing.T) {
	for _, unit := range []string{"service/booking", "model/llm/m1/a1", "model/llm/m@1,2"} {
		for _, version := range []string{"", "v1", "v/1@,%"} {
			for _, weights := range []int64{0, 1, 12} {
				origin := streamversion.Origin{Version: version, Weights: weights}
				gotUnit, got := serving.SplitOrigin(serving.BoundUnit(unit, origin))
				testkit.That(t, gotUnit == unit && got == origin, "%q at %+v: got %q at %+v", unit, origin, gotUnit, got)
			}
		}
	}
}
