package hosted

import "context"

// turn is a lock that is waited for no longer than a context lasts. Its holder may wait
// for an engine that does not answer.
type contextMutex struct{ held chan struct{} }

func newContextMutex() contextMutex { return contextMutex{held: make(chan struct{}, 1)} }

// Lock waits for the turn.
func (t contextMutex) Lock() { t.held <- struct{}{} }

// Unlock gives it back.
func (t contextMutex) Unlock() { <-t.held }

// lockWithin waits for the turn until ctx ends; it tells whether it was taken.
func (t contextMutex) lockContext(ctx context.Context) bool {
	select {
	case t.held <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
