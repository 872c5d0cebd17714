package serving_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
	"bergamotreel/service"
)

func event(id int) string { return fmt.Sprintf("id: %d\ndata: part %d\n\n", id, id) }

// pausingAnswer returns a stream of the event and, after the pause, of the remaining
// text. It fails when ctx ends.
func pausingAnswer(ctx context.Context, first string, pause time.Duration, remaining string) *service.ForwardResponse {
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, first)
		select {
		case <-time.After(pause):
			_, _ = io.WriteString(writer, remaining)
			_ = writer.Close()
		case <-ctx.Done():
			_ = writer.CloseWithError(ctx.Err())
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
		testkit.Equal(t, "attempts", len(attempts), 2)
		for i, endedForSilence := range []bool{true, false} {
			got := attempts[i].ContextMap()
			testkit.Equal(t, "ended for silence", got["ended_for_silence"], any(endedForSilence))
			testkit.Equal(t, "last event", got["last_event"], any("1"))
		}
		testkit.Equal(t, "silence", attempts[0].ContextMap()["silent_for"], any(2*time.Second))
		b.stop()
	})
}
