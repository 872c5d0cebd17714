package claims

import (
	"sync"

	"bergamotreel/idempotency"
)

// inFlightAttempts counts the requests in flight at this entry VM for each key.
// The zero value is ready to use.
type inFlightAttempts struct {
	mu    sync.Mutex
	byKey map[idempotency.Key]int
}

func (a *inFlightAttempts) add(key idempotency.Key, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byKey == nil {
		a.byKey = make(map[idempotency.Key]int)
	}
	a.byKey[key] += n
	if a.byKey[key] == 0 {
		delete(a.byKey, key)
	}
}

func (a *inFlightAttempts) count(key idempotency.Key) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byKey[key]
}
