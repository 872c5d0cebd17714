package hosted

import "context"

// turn is a lock that is waited for no longer than a context lasts. Its holder may wait
// for an engine that does not answer.
type turn struct{ held chan struct{} }

func newTurn() turn { return turn{held: make(chan struct{}, 1)} }

// Lock waits for the turn.
func (t turn) Lock() { t.held <- struct{}{} }

// Unlock gives it back.
func (t turn) Unlock() { <-t.held }

// lockWithin waits for the turn until ctx ends; it tells whether it was taken.
func (t turn) lockWithin(ctx context.Context) bool {
	select {
	case t.held <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
