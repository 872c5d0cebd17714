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
	storePollInterval = 10 * time.Second
	// storeTimeout bounds one question.
	storeStatusTimeout = 2 * time.Second
	// The limits assumed until the store has answered: the brief's sizes.
	defaultStoreLoadsPerSecond = 4
	defaultMaxStoreLoads       = 4
)

// storeWatch keeps the weight store's limits.
type storePoller struct {
	store weightstore.Store

	mu     sync.Mutex
	status weightstore.Status
}

func (w *storePoller) limits() placement.StoreStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.status.AtOnce == 0 {
		return placement.StoreStatus{MaxConcurrentLoads: defaultMaxStoreLoads, LoadsPerSecond: defaultStoreLoadsPerSecond}
	}
	return placement.StoreStatus{MaxConcurrentLoads: w.status.AtOnce, LoadsPerSecond: w.status.LoadsPerSecond}
}

func (n *Node) pollStore(ctx context.Context) {
	pause.Every(ctx, storePollInterval, n.store.poll)
}

func (w *storePoller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeStatusTimeout)
	defer cancel()
	status, err := w.store.Status(ctx)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.status = status
}
