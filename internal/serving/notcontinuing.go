package serving

import (
	"maps"
	"time"
)

// notContinuingTTL is how long a backend server that didn't continue a stream gets none to continue while others can
// take them: each such attempt is a repeat.
const notContinuingTTL = 10 * time.Second

// notContinuing is a backend server that answered a request to continue a stream with something else.
type notContinuing struct {
	incarnation uint64
	until       time.Time
}

// recordNotContinuing records that the attempt's backend server didn't continue a stream.
func (s *Server) recordNotContinuing(now time.Time, p *pendingRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.notContinuing, func(_ string, n notContinuing) bool { return !now.Before(n.until) })
	s.notContinuing[p.backend] = notContinuing{p.incarnation, now.Add(notContinuingTTL)}
}

// listNotContinuing adds the backend servers that don't continue streams to a set.
func (s *Server) listNotContinuing(now time.Time, set map[string]bool) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for backend, n := range s.notContinuing {
		if !now.Before(n.until) || s.incarnations[backend] != n.incarnation {
			continue
		}
		if set == nil {
			set = make(map[string]bool)
		}
		set[backend] = true
	}
	return set
}

// excludeNotContinuing excludes the backend servers that don't continue streams from the next attempt if it has to
// continue one.
func (f *forwarding) excludeNotContinuing() {
	if f.order.canContinue() {
		f.pending.query.Exclude = f.server.listNotContinuing(time.Now(), f.pending.query.Exclude)
	}
}
