package daemon

import "sync"

// servers run beside each other; the first that fails ends the daemon.
type servers struct {
	sync.WaitGroup
	failed chan error
}

func newServers() *servers { return &servers{failed: make(chan error, 4)} }

// serve has run go on beside the others. It may be called four times at most: none of
// those that fail waits for somebody to read its error.
func (s *servers) serve(run func() error) {
	s.Go(func() {
		if err := run(); err != nil {
			s.failed <- err
		}
	})
}
