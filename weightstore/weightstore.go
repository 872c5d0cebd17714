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

// ErrNotFound says that the store has no such checkpoint.
var ErrNotFound = errs.New("checkpoint not found")

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
	AtOnce int `json:"at_once"`
	// Running is how many loads run now.
	Running int `json:"running"`
	// Waiting is how many loads wait for the rate limit.
	Waiting int `json:"waiting"`
}

// Store is what the rest of the system uses of the weight store.
type Store interface {
	Checkpoint(ctx context.Context, name string) (Checkpoint, error)
	Status(ctx context.Context) (Status, error)
}
