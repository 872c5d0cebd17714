package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/caller"
	"bergamotreel/internal/telemetry"
)

// servers runs the daemon's servers concurrently. The first failure ends the daemon.
type servers struct {
	sync.WaitGroup
	failed chan error
}

func newServers() *servers { return &servers{failed: make(chan error, 4)} }

// serve calls run in its own goroutine. At most four calls are allowed: failed has a
// buffer of four, so that no failing server blocks until its error is read.
func (s *servers) serve(run func() error) {
	s.Go(func() {
		if err := run(); err != nil {
			s.failed <- err
		}
	})
}

// finalAnswersTimeout bounds the time to hand whole answers over to the kernel, and again that to answer the requests that
// are still open, when the shutdown grace expires.
const finalAnswersTimeout = 200 * time.Millisecond

// shutDownCallers waits for the callers' open requests until ctx ends. Then it leaves answers whose callers read slowly to
// the kernel, calls endRequests and closes the connections that are open after finalAnswersTimeout.
func shutDownCallers(ctx context.Context, callers *caller.Server, endRequests func(), openRequests func() int, logger *zap.Logger) {
	logger.Info("closing idle connections", zap.Int("open", openRequests()), zap.Object("connections", callers.OpenConnections()))
	err := callers.Shutdown(ctx)
	if err == nil {
		return
	}
	logger.Warn("shutdown grace expired, ending open requests", zap.Int("open", openRequests()),
		zap.Object("connections", callers.OpenConnections()), telemetry.Reason(err))
	callers.EnlargeSendBuffers()
	if awaitCallers(ctx, callers) {
		return
	}
	endRequests()
	if !awaitCallers(ctx, callers) {
		_ = callers.Close()
	}
}

// awaitCallers waits for the connections that an earlier Shutdown left, and reports whether they have ended within
// finalAnswersTimeout. ctx may have ended.
func awaitCallers(ctx context.Context, callers *caller.Server) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalAnswersTimeout)
	defer cancel()
	return callers.Shutdown(ctx) == nil
}
