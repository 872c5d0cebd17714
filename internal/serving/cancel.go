package serving

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// cancelTimeout bounds one cancel call to an engine.
	cancelTimeout = time.Second
	// cancelWorkers is the number of concurrent cancel calls, so that a few engines
	// that hang don't delay the cancellation on the others.
	cancelWorkers = 8
	// maxAbandoned bounds the queue of requests to cancel. When it is full, the
	// request isn't cancelled and its engine generates the answer to the end.
	maxAbandoned = 1024
)

// abandonedRequest identifies a request on an engine whose answer nobody needs any more.
type abandonedRequest struct{ engine, id string }

// queueCancel queues the request for cancellation on its engine. Without it, the
// request of a caller that has disconnected, or a stream that has moved, would occupy
// a slot of the engine until its answer ends.
func (s *Server) queueCancel(engine, id string) {
	select {
	case s.abandoned <- abandonedRequest{engine, id}:
	default:
		s.config.Logger.Warn("too many abandoned requests", zap.String("request", id), zap.String("engine", engine))
	}
}

// cancelAbandoned cancels the queued requests until ctx ends.
func (s *Server) cancelAbandoned(ctx context.Context) {
	for {
		select {
		case a := <-s.abandoned:
			s.cancel(ctx, a)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) cancel(ctx context.Context, a abandonedRequest) {
	ctx, done := context.WithTimeout(ctx, cancelTimeout)
	defer done()
	err := s.config.Engines.Cancel(ctx, a.engine, a.id)
	if err != nil {
		s.config.Logger.Debug("abandoned request not cancelled", zap.String("request", a.id),
			zap.String("engine", a.engine), zap.Error(err))
	}
}
