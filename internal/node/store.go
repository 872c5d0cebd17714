package node

import (
	"context"
	"sync"
	"time"

	"bergamotreel/internal/pause"
	"bergamotreel/placement"
	"bergamotreel/weightstore"
)

const (
	// storeEvery is how often the weight store is asked for its limits.
	storeEvery = 10 * time.Second
	// storeTimeout bounds one question.
	storeTimeout = 2 * time.Second
	// The limits assumed until the store has answered: the brief's sizes.
	defaultStoreRate   = 4
	defaultStoreAtOnce = 4
)

// storeWatch keeps the weight store's limits.
type storeWatch struct {
	store weightstore.Store

	mu     sync.Mutex
	status weightstore.Status
}

func (w *storeWatch) limits() placement.StoreStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.status.AtOnce == 0 {
		return placement.StoreStatus{MaxConcurrentLoads: defaultStoreAtOnce, LoadsPerSecond: defaultStoreRate}
	}
	return placement.StoreStatus{MaxConcurrentLoads: w.status.AtOnce, LoadsPerSecond: w.status.LoadsPerSecond}
}

func (n *Node) watchStore(ctx context.Context) {
	pause.Every(ctx, storeEvery, n.store.ask)
}

func (w *storeWatch) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	status, err := w.store.Status(ctx)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.status = status
}
