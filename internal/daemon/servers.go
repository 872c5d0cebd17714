package daemon

import "sync"

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
