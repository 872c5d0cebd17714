package serving

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// cancelTimeout bounds telling an engine that nobody waits for a request.
	cancelTimeout = time.Second
	// cancellers is how many engines are told at once: a few that hang must not
	// hold up the news to the others.
	cancelWorkers = 8
	// maxAbandoned bounds what waits to be told. Beyond it an engine works on
	// for nothing, to the end of the answer.
	maxAbandoned = 1024
)

// abandonment is a request on an engine that nobody waits for any more.
type abandonedRequest struct{ engine, id string }

// abandon has the engine told. Failure: a caller that leaves, or a stream that
// moves, would keep a slot of the engine for the rest of the answer.
func (s *Server) queueCancel(engine, id string) {
	select {
	case s.abandoned <- abandonedRequest{engine, id}:
	default:
		s.config.Logger.Warn("too many abandoned requests", zap.String("request", id), zap.String("engine", engine))
	}
}

// cancelAbandoned is the duty that tells the engines.
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
