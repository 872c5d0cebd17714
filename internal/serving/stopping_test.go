package serving_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/admission/stopping"
	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
	"bergamotreel/service"
)

// Guards against a request that is sent on by a VM that stops before the answer can end, also where nothing has told the
// server yet to refuse what waits.
func TestForwardRefusesWhatTheStopWouldCut(t *testing.T) {
	const work = 3 * time.Second
	for _, repeat := range []contract.RepeatPolicy{contract.RepeatNever, contract.RepeatSafe} {
		synctest.Test(t, func(t *testing.T) {
			b := newForwardTestbed(t)
			b.respond = func(context.Context, int, sentRequest) (*service.ForwardResponse, error) {
				time.Sleep(work)
				return completeAnswer(http.StatusOK, "ok"), nil
			}
			testkit.OK(t, b.forward(t.Context(), route(contract.RepeatNever), "", &answerRecorder{}))
			start := time.Now()
			b.server.BeginStop(stopping.Schedule{TakesUntil: start.Add(2500 * time.Millisecond), EndsAt: start.Add(5 * time.Second)})
			taken := make(chan error, 1)
			go func() { taken <- b.forward(t.Context(), route(repeat), "", &answerRecorder{}) }()
			for _, at := range []time.Duration{2100 * time.Millisecond, 2600 * time.Millisecond, 6 * time.Second} {
				time.Sleep(time.Until(start.Add(at)))
				wantRefusal(t, b.forward(t.Context(), route(repeat), "", &answerRecorder{}), refusal.CodeShuttingDown, refusal.RanNo)
			}
			testkit.NoError(t, <-taken)
			testkit.Equal(t, "sent requests", len(b.sent), 2)
			b.stop()
		})
	}
}
