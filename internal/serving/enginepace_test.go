package serving_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bergamotreel/contract"
	"bergamotreel/internal/serving"
	"bergamotreel/internal/testkit"
	"bergamotreel/routing/pace"
	"bergamotreel/service"
)

// Guards against paces that count a caller's slow reading, a VM's freeze or parts of events as the engine's, on
// streams that may be resumed and others.
func TestPaceOfStreams(t *testing.T) {
	for _, repeat := range []contract.RepeatPolicy{contract.RepeatResume, contract.RepeatNever} {
		for _, writeTime := range []time.Duration{0, 30 * time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				table := pace.NewTable()
				b := newConfiguredForwardTestbed(t, zap.NewNop(), func(c *serving.Config) { c.Pace = table })
				b.respond = func(context.Context, int, sentRequest) (*service.ForwardResponse, error) {
					reader, writer := io.Pipe()
					go func() {
						// A part of an event, an event, a comment, and four events at once after a second.
						for _, piece := range []string{"id: 1\ndata", ": a\n\n", "id: 2\ndata: b\n\n", ": idle\n\n"} {
							time.Sleep(60 * time.Millisecond)
							_, _ = io.WriteString(writer, piece)
						}
						time.Sleep(940 * time.Millisecond)
						_, _ = io.WriteString(writer, "id: 3\ndata: c\n\nid: 4\ndata: d\n\nid: 5\ndata: e\n\nid: 6\ndata: f\n\n")
						_ = writer.Close()
					}()
					return &service.ForwardResponse{Status: 200, Length: service.LengthChunked, Body: reader}, nil
				}
				r := route(repeat)
				r.Stream, r.TargetGap = true, 200*time.Millisecond
				err := b.forward(t.Context(), r, "m", &answerRecorder{writeTime: writeTime})
				testkit.Need(t, err == nil, "failed: %v", err)
				report := table.Report(time.Now())
				testkit.Need(t, len(report) == 1 && report[0].Model == "model/s/m", "got %+v", report)
				// The first event takes 120 ms. The gap of 60 ms and the share of 250 ms count unless the caller is slow.
				testkit.Equal(t, "first events within 125 ms", report[0].FirstEvents[4], uint32(1))
				if writeTime > 0 {
					testkit.Equal(t, "counts of gaps", len(report[0].Gaps), 0)
					return
				}
				testkit.That(t, len(report[0].Gaps) == 9 && report[0].Gaps[2] == 1 && report[0].Gaps[8] == 4, "got %v", report[0].Gaps)
			})
		}
	}
}
