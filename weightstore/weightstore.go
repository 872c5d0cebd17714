// Package weightstore is the peer package for the platform's store of
// checkpoints. Engines fetch from it themselves when they are ordered to load;
// an entry VM only asks what a checkpoint weighs and how busy the store is.
package weightstore

import (
	"context"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("weightstore")

var (
	// ErrNotFound says that the store has no such checkpoint.
	ErrNotFound = errs.New("checkpoint not found")
	// ErrUnavailable says that the store did not answer.
	ErrUnavailable = errs.New("weight store unavailable")
)

// Checkpoint describes one stored checkpoint.
type Checkpoint struct {
	Name string `json:"name"`
	// Bytes is its size.
	Bytes int64 `json:"bytes"`
}

// Status is how busy the store is.
type Status struct {
	// LoadsPerSecond is the rate limit on starting loads.
	LoadsPerSecond float64 `json:"loads_per_second"`
	// AtOnce is how many loads run at full speed together.
	MaxConcurrentLoads int `json:"at_once"`
	// Running is how many loads run now.
	Running int `json:"running"`
	// Waiting is how many loads wait for the rate limit.
	Waiting int `json:"waiting"`
}

// Store is what the rest of the system uses of the weight store.
type Store interface {
	// Checkpoint returns the size of a checkpoint. It fails with ErrNotFound or
	// ErrUnavailable.
	Checkpoint(ctx context.Context, name string) (Checkpoint, error)
	// Status returns the store's limits and its load. It fails with ErrUnavailable.
	Status(ctx context.Context) (Status, error)
}
