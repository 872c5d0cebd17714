package serving_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
	"bergamotreel/service"
)

// Guards against a backend server that gets no requests because an answer that another one was
// meant, or that a unit isn't loaded, counts as a rejection for want of room.
func TestRejectionsForWantOfRoom(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want int
	}{
		"no room":      {service.ErrNotRun, 1},
		"wrong server": {fmt.Errorf("%w: %w", service.ErrNotRun, service.ErrWrongServer), 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newForwardTestbed(t)
				b.respond = func(_ context.Context, number int, _ sentRequest) (*service.ForwardResponse, error) {
					if number == 1 {
						return &service.ForwardResponse{MaxRejections: 3}, c.err
					}
					return completeAnswer(200, "ok"), nil
				}
				testkit.OK(t, b.forward(t.Context(), route(contract.RepeatNever), "m", &answerRecorder{}))
				testkit.Equal(t, "rejections", b.rejections, c.want)
			})
		})
	}
}
