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
	// storePollInterval is how often the weight store is queried for its limits.
	storePollInterval = 10 * time.Second
	// storeStatusTimeout limits one query.
	storeStatusTimeout = 2 * time.Second
	// These limits apply until the weight store has answered for the first time. They
	// are the sizes given in the requirements.
	defaultStoreLoadsPerSecond = 4
	defaultMaxStoreLoads       = 4
)

// storePoller queries and caches the weight store's limits.
type storePoller struct {
	store weightstore.Store

	mu     sync.Mutex
	status weightstore.Status
}

func (p *storePoller) limits() placement.StoreStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.status.MaxConcurrentLoads == 0 {
		return placement.StoreStatus{MaxConcurrentLoads: defaultMaxStoreLoads, LoadsPerSecond: defaultStoreLoadsPerSecond}
	}
	return placement.StoreStatus{MaxConcurrentLoads: p.status.MaxConcurrentLoads, LoadsPerSecond: p.status.LoadsPerSecond}
}

func (n *Node) pollStore(ctx context.Context) {
	pause.Every(ctx, storePollInterval, n.store.poll)
}

func (p *storePoller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeStatusTimeout)
	defer cancel()
	status, err := p.store.Status(ctx)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.status = status
}
