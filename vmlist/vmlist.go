// Package vmlist is the peer package for the platform's list of live and
// leaving VMs. The list lags: a VM may be gone or leaving before it says so,
// but a VM that the list has dropped is gone for good.
package vmlist

import (
	"context"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("vmlist")

// ErrUnavailable says that the list did not answer.
var ErrUnavailable = errs.New("VM list unavailable")

// Kind says what runs on a VM.
type Kind string

const (
	KindEntry   Kind = "entry"   // an entry VM of ours
	KindEngine  Kind = "engine"  // a backend server with a model engine
	KindService Kind = "service" // a backend server with a plain service
)

// VM is one entry of the list.
type VM struct {
	// ID is the platform's name of the VM; a replacement has another one.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// Address is IP:port of the peer's protocol (for an entry VM: of net/rpc).
	Address string `json:"address"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Region groups failure domains.
	Region string `json:"region,omitempty"`
	// Service is the plain service's name, for KindService.
	Service string `json:"service,omitempty"`
	// Leaving VMs get no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// List is one answer of the platform.
type List struct {
	// Version grows with each change.
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Lister is what the rest of the system uses of the VM list.
type Lister interface {
	// List returns the newest list that the platform gives. It fails with
	// ErrUnavailable; asking again is harmless. The caller must not take a failure
	// for an empty list: it would take all VMs for gone.
	List(ctx context.Context) (List, error)
}
