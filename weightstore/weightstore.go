// Package weightstore is a client for the platform's store of checkpoints. Engines
// fetch from the store themselves when they carry out load orders; an entry VM
// only queries the size of a checkpoint and the load of the store.
package weightstore

import (
	"context"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("weightstore")

var (
	// ErrNotFound reports that the store has no such checkpoint.
	ErrNotFound = errs.New("checkpoint not found")
	// ErrUnavailable reports that the store did not answer.
	ErrUnavailable = errs.New("weight store unavailable")
)

// Checkpoint describes one stored checkpoint.
type Checkpoint struct {
	Name string `json:"name"`
	// Bytes is the size of the checkpoint.
	Bytes int64 `json:"bytes"`
}

// Status is the store's report of its limits and load.
type Status struct {
	// LoadsPerSecond is the rate limit on starting loads.
	LoadsPerSecond float64 `json:"loads_per_second"`
	// MaxConcurrentLoads is how many loads can run at full speed at the same time.
	MaxConcurrentLoads int `json:"at_once"`
	// Running is the number of loads in progress.
	Running int `json:"running"`
	// Waiting is the number of loads that wait for the rate limit.
	Waiting int `json:"waiting"`
}

// Store is the interface through which entry VMs query the weight store.
type Store interface {
	// Checkpoint returns the size of a checkpoint. It fails with ErrNotFound or
	// ErrUnavailable.
	Checkpoint(ctx context.Context, name string) (Checkpoint, error)
	// Status returns the store's limits and its load. It fails with ErrUnavailable.
	Status(ctx context.Context) (Status, error)
}
