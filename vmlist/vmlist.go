// Package vmlist is a client for the platform's list of live and leaving VMs. The
// list lags: a VM may be gone or leaving before the list shows it, but a VM that
// the list no longer contains is gone permanently.
package vmlist

import (
	"context"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("vmlist")

// ErrUnavailable reports that the list could not be read.
var ErrUnavailable = errs.New("VM list unavailable")

// Kind is the kind of process that runs on a VM.
type Kind string

const (
	KindEntry   Kind = "entry"   // an entry VM of this system
	KindEngine  Kind = "engine"  // a backend server with a model engine
	KindService Kind = "service" // a backend server with a plain service
)

// VM is one entry of the list.
type VM struct {
	// ID is the platform's name for the VM; a replacement VM gets a new one.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// Address is the IP:port at which the VM serves its protocol, net/rpc for an
	// entry VM.
	Address string `json:"address"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Region groups failure domains.
	Region string `json:"region,omitempty"`
	// Service is the plain service's name, for KindService.
	Service string `json:"service,omitempty"`
	// Leaving reports whether the VM is about to end; it gets no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// List is one version of the platform's VM list.
type List struct {
	// Version increases with each change.
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Lister is the interface through which entry VMs read the VM list.
type Lister interface {
	// List returns the platform's current list. It fails with ErrUnavailable and may
	// be retried. The caller must not treat a failure as an empty list, which would
	// mean that all VMs are gone.
	List(ctx context.Context) (List, error)
}
