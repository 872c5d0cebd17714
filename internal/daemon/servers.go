package daemon

import (
	"context"
	"sync"

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

// shutDownCallers waits for the callers' open requests until ctx ends, and then closes
// the connections that remain.
func shutDownCallers(ctx context.Context, callers *caller.Server, openRequests func() int, logger *zap.Logger) {
	logger.Info("closing idle connections", zap.Int("open", openRequests()), zap.Object("connections", callers.OpenConnections()))
	err := callers.Shutdown(ctx)
	if err == nil {
		return
	}
	logger.Warn("shutdown grace expired, closing open requests", zap.Int("open", openRequests()),
		zap.Object("connections", callers.OpenConnections()), telemetry.Reason(err))
	_ = callers.Close()
}
