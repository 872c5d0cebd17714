// Package registry is the peer package for a platform that keeps the operators'
// configuration, the list of backend servers and the membership of groups: all
// that entry VMs have to agree on or to keep. An entry VM stores nothing itself.
package registry

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"bergamotreel/contract"
)

// Error is the class of all errors of this package.
var Error = errs.Class("registry")

var (
	// ErrUnavailable says that the registry did not answer or turned the call
	// away. A read is harmless to repeat; what a write came to is unknown.
	ErrUnavailable = errs.New("registry unavailable")
	// ErrHistoryLost says that changes after the given cursor are no longer kept, or
	// that the cursor is of an earlier epoch: read the whole list again.
	ErrHistoryLost = errs.New("history of the registry lost")
	// ErrConflict says that another writer came first; nothing was written.
	ErrConflict = errs.New("changed meanwhile")
)

// Cursor is a place in a list's history of changes, with its epoch.
type Cursor uint64

// Held is a model that an engine has loaded, with its adapters.
type Held struct {
	Model    string
	Adapters []string
}

// Backend is what the registry says of a backend server.
type Backend struct {
	// ID names the backend server.
	ID string
	// Started is when this start of it began by its own clock, in Unix milliseconds; 0
	// where it doesn't tell. A backend server may start again under its ID: what it held
	// and ran, and its count of orders, are then gone; what is on its disk is not. Two
	// starts differ in it; which is the newer one the clock does not tell for sure.
	Started int64
	// Service is the service that it serves.
	Service string
	// Address is IP:port. After the end of a backend server another service's may
	// get the same address.
	Address string
	// Domain is the failure domain.
	Domain string
	Slots  int
	// Leaving backend servers get no new work.
	Leaving bool
	// LeavesIn is how long a leaving one goes on at least, 0 where that is unknown.
	LeavesIn time.Duration
	// IsEngine is whether it is a model engine; what follows is of engines only, and
	// as old as the last change of the entry.
	IsEngine bool
	Models   []Held
	// InMemory and OnDisk are the models whose weights the engine has copies of.
	InMemory, OnDisk []string
}

// Change is one change of the list of backend servers.
type Change struct {
	ID string
	// Backend is nil where the entry was removed, or can't be read.
	Backend *Backend
	// Unreadable is whether the entry is there and can't be read: it names no backend
	// server to use.
	Unreadable bool
}

// Backends is the whole list at a moment.
type Backends struct {
	List []Backend
	// Next is where the changes after the list begin. A change before it may be
	// in the list already: taking it again is harmless.
	Next Cursor
}

// Changes are the changes of the list of backend servers from a cursor on.
type Changes struct {
	List []Change
	Next Cursor
}

// Configuration is a version of the operators' configuration.
type Configuration struct {
	Version  uint64
	Contract *contract.Contract
	// Limits bound what callers may send.
	Limits CallerLimits
	// Source is the configuration as the registry holds it, to be handed to VMs
	// that can't reach the registry.
	Source []byte
}

// CallerLimits bound a caller's request, 0 where the operator sets none.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Shard is a part of the engines of a failure domain whose orders one entry VM
// gives at a time.
type Shard struct {
	Group string
	Index int
}

// JoinRequest joins a group, or keeps the member in it.
type JoinRequest struct {
	Group, Member string
	// TTL is how long the membership lasts without a further join.
	TTL time.Duration
	// Generation is the last one received, 0 before the first.
	Generation uint64
}

// Assignment is what a member of a group has got.
type Assignment struct {
	// Generation grows with each change of the group. It has its epoch: see InEpoch.
	Generation uint64
	// Shards are the indexes assigned to the member.
	Shards []int
}

// FormerOwner is an earlier owner of a shard, and what its record said: see Ownership.
type FormerOwner struct {
	VM, Address string
	Settled     bool
}

// Ownership is the record of who may give orders to a shard's engines. The newest
// one of each shard is kept for good.
type Ownership struct {
	Index int
	// VM is the owner, Address where the other entry VMs reach it.
	VM, Address string
	// Generation is the group's when the owner took the shard: the fencing token
	// of its orders.
	Generation uint64
	// Settled is whether no earlier owner can give orders any more. Before, the owner
	// itself waits.
	Settled bool
	// Before is the owner that this one waits for, empty where it is settled or that is
	// not known.
	Predecessor FormerOwner
	// Unknown is whether the record is there and can't be read: somebody may be the
	// owner, and nothing else is known.
	Unreadable bool
}

// Quarantined is the record of a request that is refused as it crashes backend servers.
type Quarantined struct {
	// Request is its fingerprint, Backends the starts of backend servers that ended.
	Request  uint64
	Backends []string
	// At is when the last of them ended, by the writer's clock.
	At time.Time
}

// Registry is what the rest of the system uses of the platform's registry. All
// methods fail with ErrUnavailable beside the errors that they name.
type Registry interface {
	// Epoch is the newest epoch that an answer carried, 0 where the registry gives none.
	Epoch() uint64

	// Configuration returns the newest configuration, nil where there is none yet,
	// and where its changes begin. A source that can't be translated comes with
	// an error that is none of this package's, beside the newest one that can be.
	Configuration(ctx context.Context) (*Configuration, Cursor, error)
	// AwaitConfiguration returns the newest configuration from the cursor on, nil
	// where none came within wait. It fails with ErrHistoryLost.
	AwaitConfiguration(ctx context.Context, from Cursor, wait time.Duration) (*Configuration, Cursor, error)
	// Parse translates a configuration that another VM handed on.
	Parse(source []byte) (*Configuration, error)

	// Backends returns the whole list of backend servers.
	Backends(ctx context.Context) (Backends, error)
	// AwaitBackends returns the changes from the cursor on, none where none came
	// within wait. It fails with ErrHistoryLost.
	AwaitBackends(ctx context.Context, from Cursor, wait time.Duration) (Changes, error)

	// Join joins a group of entry VMs that share out the group's shards.
	Join(ctx context.Context, request JoinRequest) (Assignment, error)
	// Leave ends a membership at once.
	Leave(ctx context.Context, group, member string) error
	// Owners returns the newest ownership of each shard of the group, and the
	// cursor that Own needs.
	Owners(ctx context.Context, group string) ([]Ownership, Cursor, error)
	// Own records ownerships, all or none, provided that nothing was recorded
	// since the cursor was read; else it fails with ErrConflict.
	RecordOwners(ctx context.Context, group string, owned []Ownership, at Cursor) error

	// Quarantined returns the newest record of each quarantined request.
	Quarantined(ctx context.Context) ([]Quarantined, error)
	// Quarantine records requests, and drops the records of others.
	Quarantine(ctx context.Context, add []Quarantined, drop []uint64) error
}
