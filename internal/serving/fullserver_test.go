package serving_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/contract"
	"bergamotreel/service"
)

// Guards against a stream that is cut because it was moved away from its silent but sound
// engine, and the engine that it moved to is full: this VM's count of free slots doesn't
// include what other VMs send there.
func TestStreamMovesToFullServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardTestbed(t)
		first := ""
		b.respond = func(ctx context.Context, number int, s sentRequest) (*service.ForwardResponse, error) {
			switch {
			case number == 1:
				first = s.target
				return pausingAnswer(ctx, event(1), 2600*time.Millisecond, event(2)), nil
			case s.target == first:
				return pausingAnswer(ctx, "", 0, event(2)), nil
			default:
				return nil, service.ErrNotRun
			}
		}
		r := route(contract.RepeatResume)
		r.Timeout, r.Silence = 20*time.Second, 10*time.Second
		b.forwardAll(1, r, event(1)+event(2))
		b.stop()
	})
}

// Guards against refusing a request whose server is late with its answer, because the one
// that it moved to is full.
func TestLateRequestMovesToFullServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardTestbed(t)
		first := ""
		b.respond = func(ctx context.Context, number int, s sentRequest) (*service.ForwardResponse, error) {
			if number == 1 {
				first = s.target
				select {
				case <-time.After(2500 * time.Millisecond):
				case <-ctx.Done():
					return nil, service.ErrOutcomeUnknown
				}
				return completeAnswer(200, "whole"), nil
			}
			if s.target == first {
				return completeAnswer(200, "whole"), nil
			}
			return nil, service.ErrNotRun
		}
		r := route(contract.RepeatSafe)
		r.Timeout = 20 * time.Second
		b.forwardAll(1, r, "whole")
		b.stop()
	})
}
