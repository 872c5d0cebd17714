package serving_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
	"bergamotreel/routing/streamversion"
	"bergamotreel/service"
)

// startTestbed is a testbed whose backend servers have one software version according to the list.
func startTestbed(t *testing.T, restarted ...string) *forwardTestbed {
	b := newForwardTestbed(t)
	b.backends, b.versions = []string{"one", "two"}, map[string]string{"one": "v1", "two": "v1"}
	b.restarted = restarted
	b.respond = func(_ context.Context, _ int, s sentRequest) (*service.ForwardResponse, error) {
		if s.forward.ResumeAfter == "" {
			return cutOffAnswer(event(1)), nil
		}
		return completeAnswer(200, event(2)), nil
	}
	return b
}

// countSent returns how many requests were sent to a backend server.
func (b *forwardTestbed) countSent(target string) int {
	count := 0
	for _, s := range b.sent {
		if s.target == target {
			count++
		}
	}
	return count
}

// Guards against events of another software version within one answer, from a backend server that
// has started again under its ID, and against a query for each new stream.
func TestStreamDoesNotGoOnAtRestartedServer(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b, answer := startTestbed(t), &answerRecorder{}
			if restarted {
				b.restarted = []string{"one", "two"}
			}
			err := b.forward(t.Context(), route(contract.RepeatResume), "m", answer)
			want := event(1)
			if !restarted {
				want += event(2)
			}
			testkit.That(t, answer.body.String() == want && (err != nil) == restarted, "%q, %v", answer.body.String(), err)
			testkit.That(t, len(b.sent) == 2 && len(b.verified) == 1 && b.verified[0] == b.sent[1].target, "verified %v", b.verified)
			testkit.Equal(t, "broken connections", len(b.doubted), 1)
			b.stop()
		})
	}
}

// takeUp forwards a stream of v1 that its caller takes up after its first event.
func (b *forwardTestbed) takeUp(ctx context.Context, answer *answerRecorder) error {
	return b.takeUpOn(ctx, route(contract.RepeatResume), answer)
}

// takeUpOn is takeUp on another route.
func (b *forwardTestbed) takeUpOn(ctx context.Context, on *contract.Route, answer *answerRecorder) error {
	stream := streamversion.Stream{Service: "s", Model: "m", Request: "first"}
	b.begunStreams[stream] = streamversion.Origin{Version: "v1"}
	r := caller.RelayRequest{RelayHead: caller.RelayHead{ID: "again", Model: "m", ResumedAfter: "1", ResumedRequest: "first"}}
	return b.forwardRequest(ctx, on, r, answer)
}

// Guards against events of another software version after a caller takes its stream up, against a stream that
// doesn't go on although a sound server of its version serves, and against a repeat that is spent on a server which
// is known to have lost its connections.
func TestStreamTakenUpSkipsRestartedServer(t *testing.T) {
	for _, doubted := range []bool{false, true} {
		for range 8 { // either server may be tried first
			synctest.Test(t, func(t *testing.T) {
				b, answer := startTestbed(t, "one"), &answerRecorder{}
				if doubted {
					b.doubted = []string{"one"}
				}
				testkit.OK(t, b.takeUp(t.Context(), answer))
				testkit.Equal(t, "answer", answer.body.String(), event(2))
				testkit.Equal(t, "sent to the sound server", b.countSent("two"), 1)
				testkit.That(t, !doubted || b.countSent("one") == 0, "sent to a server in doubt")
				testkit.Equal(t, "broken runs", len(b.brokenRuns), 0)
				b.stop()
			})
		}
	}
}

// Guards against events of another software version from a server that is found to have started again after it was
// picked for the stream and before the stream was sent there.
func TestStreamSkipsServerThatRestartedSincePicked(t *testing.T) {
	for range 8 { // either server may be picked first
		synctest.Test(t, func(t *testing.T) {
			b, answer := startTestbed(t), &answerRecorder{}
			b.renamed = map[string]string{"one": "v1.1"}
			testkit.OK(t, b.takeUp(t.Context(), answer))
			testkit.That(t, answer.body.String() == event(2) && b.countSent("one") == 0 && b.countSent("two") == 1, "sent %v", b.sent)
			b.stop()
		})
	}
}

// Guards against a new stream that is recorded at a software version which its server may no longer have.
func TestNewStreamAtServerInDoubtHasNoListedVersion(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := startTestbed(t)
			b.doubted = []string{"one", "two"}
			if restarted {
				b.restarted = b.doubted
			}
			b.respond = func(context.Context, int, sentRequest) (*service.ForwardResponse, error) {
				return completeAnswer(200, event(1)), nil
			}
			testkit.OK(t, b.forward(t.Context(), route(contract.RepeatResume), "m", &answerRecorder{}))
			testkit.Equal(t, "streams that have begun", len(b.expectedStreams), 1)
			time.Sleep(time.Second) // until the server was asked
			synctest.Wait()
			for _, origin := range b.begunStreams {
				testkit.That(t, streamversion.IsUnlisted(origin.Version) == restarted, "recorded at %+v", origin)
			}
			testkit.Equal(t, "recorded streams", len(b.begunStreams), 1)
			b.stop()
		})
	}
}

// silentAnswer is an answer that brings an event and is silent after it.
func silentAnswer(ctx context.Context) *service.ForwardResponse {
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) })
	body := io.NopCloser(io.MultiReader(strings.NewReader(event(1)), reader))
	return &service.ForwardResponse{Status: 200, Length: service.LengthChunked, Body: body}
}

// Guards against a first event that waits until its server's start is verified, against a stream that goes on before it
// is, and against one that waits for long.
func TestStreamGoesOnOnceItsStartIsVerified(t *testing.T) {
	for delay, goesOn := range map[time.Duration]bool{0: true, 200 * time.Millisecond: true, 500 * time.Millisecond: false} {
		for _, silent := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				b, answer := startTestbed(t), &answerRecorder{}
				b.doubted, b.firstVerification = []string{"one", "two"}, delay
				b.respond = func(ctx context.Context, number int, _ sentRequest) (*service.ForwardResponse, error) {
					switch {
					case number > 1:
						return completeAnswer(200, event(2)), nil
					case silent:
						return silentAnswer(ctx), nil
					}
					return cutOffAnswer(event(1)), nil
				}
				begun := time.Now()
				err := b.forward(t.Context(), route(contract.RepeatResume), "m", answer)
				testkit.That(t, answer.firstWrite.Equal(begun), "%s: first event after %s", delay, answer.firstWrite.Sub(begun))
				// A silent stream goes on until the version of its replacement is known.
				want := goesOn || silent
				testkit.That(t, (err == nil) == want && (len(b.sent) == 2) == want, "%s, silent %t: %v, %d attempts", delay, silent, err, len(b.sent))
				time.Sleep(time.Second)
				synctest.Wait()
				for _, origin := range b.begunStreams {
					testkit.Equal(t, "recorded at", origin.Version, "v1")
				}
				b.stop()
			})
		}
	}
}
