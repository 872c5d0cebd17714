package serving

import "time"

// minSilentAttempts is how many attempts must be in flight, on two backend servers at least,
// until their common silence is worth noticing: a single backend server may just be slow.
const minSilentAttempts = 3

// recordReceived records that a backend server sent something.
func (s *Server) recordReceived(now time.Time) { s.receivedAt.Store(now.UnixNano()) }

// SilentBackends returns the backend servers with attempts in flight if no backend server has
// sent anything for minSilence. Then the paths of this VM may be lost, and the attempts would
// notice only when their connections are given up.
func (s *Server) SilentBackends(now time.Time, minSilence time.Duration) []string {
	if now.UnixNano()-s.receivedAt.Load() < int64(minSilence) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	attempts := 0
	counted := make(map[string]bool)
	var backends []string
	for key, count := range s.runningCounts {
		if key.incarnation != s.incarnations[key.backend] {
			continue
		}
		attempts += count
		if !counted[key.backend] {
			counted[key.backend] = true
			backends = append(backends, key.backend)
		}
	}
	if attempts < minSilentAttempts || len(backends) < 2 {
		return nil
	}
	return backends
}
