package serving

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/internal/pause"
	"bergamotreel/routing/streamversion"
	"bergamotreel/service"
)

const (
	// unknownStart stands for a start of a backend server that isn't known and that nothing matches.
	unknownStart = -1
	// maxStartQueries and startQueryPause bound the queries for the start that sent a stream's first event.
	maxStartQueries = 3
	startQueryPause = 100 * time.Millisecond
	// maxVerification bounds these queries altogether.
	maxVerification = 2 * time.Second
	// versionTimeout bounds the wait for the version of a stream that broke off before it was known.
	versionTimeout = 300 * time.Millisecond
)

// newStreamsVerifiedTotal counts the new streams over connections whose start wasn't confirmed.
const newStreamsVerifiedTotal = "bergamotreel_new_streams_verified_total"

var (
	newStreamsVerified   = metrics.NewCounter(newStreamsVerifiedTotal + `{start="same"}`)
	newStreamsUnverified = metrics.NewCounter(newStreamsVerifiedTotal + `{start="other_or_unknown"}`)
)

// bindVersion binds the stream to the software version of the backend server that sent its first
// event. If that may have started again since its version was listed, the version is known once it has been asked, and
// the caller gets the event at once.
func (f *forwarding) bindVersion() {
	if !f.isVersionKnown() || f.origin.Version != "" || f.target.Version == "" {
		return
	}
	directory, stream := f.server.forwardDirectory(), streamOf(&f.request)
	if directory.IsStartConfirmed(f.target, f.sendings.Last().AnsweredAt) {
		f.origin.Version = f.target.Version
		directory.RecordStream(stream, f.origin)
		return
	}
	directory.ExpectStream(stream)
	verified := make(chan string, 1)
	f.verifying, f.verifyingWeights = verified, f.origin.Weights
	target, weights := f.target, f.origin.Weights
	go func() {
		version := verifiedVersion(directory, target)
		directory.RecordStream(stream, streamversion.Origin{Version: version, Weights: weights})
		verified <- version
	}()
}

// verifiedVersion returns the software version of the start that sent the first event of a stream. If the target has
// started again, either start may have sent it, and nothing is known to go on where the stream began.
func verifiedVersion(directory ForwardDirectory, target service.Target) string {
	ctx, cancel := context.WithTimeout(context.Background(), maxVerification)
	defer cancel()
	for range maxStartQueries {
		if directory.VerifyStart(ctx, target) {
			newStreamsVerified.Inc()
			return target.Version
		}
		if newest, listed := directory.Target(target.ID); listed && newest.Started != target.Started || !pause.For(ctx, startQueryPause) {
			break
		}
	}
	newStreamsUnverified.Inc()
	return streamversion.UnlistedVersion(target.ID, unknownStart)
}

// isVersionKnown reports whether the version is known at which the stream has to go on, if it has begun.
func (f *forwarding) isVersionKnown() bool {
	if f.verifying == nil {
		return true
	}
	select {
	case version := <-f.verifying:
		f.recordVerified(version)
		return true
	default:
		return false
	}
}

// awaitVersion waits for the version at which the stream has to go on. If that stays unknown, it goes on nowhere.
func (f *forwarding) awaitVersion(ctx context.Context, timeout time.Duration) {
	if f.verifying == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case version := <-f.verifying:
		f.recordVerified(version)
	case <-ctx.Done():
		f.origin.Version, f.verifying = streamversion.UnlistedVersion(f.target.ID, unknownStart), nil
	}
}

// recordVerified records the version that the verification brought. The weights may have changed since it began.
func (f *forwarding) recordVerified(version string) {
	f.origin.Version, f.verifying = version, nil
	if f.origin.Weights != f.verifyingWeights {
		f.server.forwardDirectory().RecordStream(streamOf(&f.request), f.origin)
	}
}
