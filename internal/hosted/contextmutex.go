package hosted

import "context"

// contextMutex is a mutex whose lock attempt can be cancelled by a context. Its holder may be
// waiting for an engine that doesn't answer.
type contextMutex struct{ held chan struct{} }

func newContextMutex() contextMutex { return contextMutex{held: make(chan struct{}, 1)} }

func (m contextMutex) Lock() { m.held <- struct{}{} }

func (m contextMutex) Unlock() { <-m.held }

// lockContext locks the mutex unless ctx ends first; it reports whether it did.
func (m contextMutex) lockContext(ctx context.Context) bool {
	select {
	case m.held <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
