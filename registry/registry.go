// Package registry defines the interface to the platform's registry, which stores the
// operators' configuration, the list of backend servers and the membership of groups:
// everything that entry VMs must agree on or must persist. An entry VM itself stores nothing.
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
	// ErrUnavailable reports that the registry did not answer or rejected the call. A read
	// can safely be repeated; the outcome of a write is unknown.
	ErrUnavailable = errs.New("registry unavailable")
	// ErrHistoryLost reports that the changes after the given cursor are no longer available,
	// or that the cursor belongs to an earlier epoch. The caller must read the whole list
	// again.
	ErrHistoryLost = errs.New("registry history lost")
	// ErrConflict reports that another writer was first; nothing was written.
	ErrConflict = errs.New("changed concurrently")
)

// Cursor is a position, including its epoch, in a list's history of changes.
type Cursor uint64

// Held is a model that an engine has loaded, with its adapters.
type Held struct {
	Model string
	// Weights is the version of the model's weights, 0 if unknown.
	Weights  int64
	Adapters []string
}

// Backend is the registry's entry of a backend server.
type Backend struct {
	// ID identifies the backend server.
	ID string
	// Started identifies the current start of the backend server: its time by the server's
	// own clock, in Unix milliseconds, or 0 if the server doesn't report it. A backend server
	// may restart under the same ID. Its loaded models, running requests and count of orders
	// are then lost, but not its data on disk. Two starts have different values, but a higher
	// value doesn't reliably mean the newer start because it depends on that clock.
	Started int64
	// Service is the service that it serves.
	Service string
	// Address is IP:port. After a backend server has ended, one of another service may get
	// the same address.
	Address string
	// Domain is the failure domain.
	Domain string
	// Version is the version of the backend server's software.
	Version string
	Slots   int
	// Leaving is whether the backend server is shutting down and must get no new work.
	Leaving bool
	// LeavesIn is how long a leaving backend server will at least keep running, 0 if unknown.
	LeavesIn time.Duration
	// IsEngine is whether the backend server is a model engine. The fields below are set for
	// engines only, and are as old as the last change of the entry.
	IsEngine bool
	Models   []Held
	// InMemory and OnDisk are the models whose weights the engine has copies of.
	InMemory, OnDisk []string
}

// Change is a change of the list of backend servers.
type Change struct {
	ID string
	// Backend is nil if the entry was removed or can't be read.
	Backend *Backend
	// Unreadable is whether the entry exists but can't be read, so that no backend server can
	// be used from it.
	Unreadable bool
}

// Backends is the whole list of backend servers at one moment.
type Backends struct {
	List []Backend
	// Next is the cursor at which the changes after the list begin. The list may already
	// include some of these changes; applying them again is harmless.
	Next Cursor
}

// Changes are the changes of the list of backend servers from a cursor on.
type Changes struct {
	List []Change
	Next Cursor
	// More is whether there were further changes after Next.
	More bool
}

// Configuration is a version of the operators' configuration.
type Configuration struct {
	Version  uint64
	Contract *contract.Contract
	// Limits bound what callers may send.
	Limits CallerLimits
	// Source is the configuration as stored in the registry, to be forwarded to VMs that
	// can't reach the registry.
	Source []byte
}

// CallerLimits bound a caller's request. A field is 0 if the operator sets no limit.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Shard is a part of the engines of a failure domain. One entry VM at a time sends orders to
// the engines of a shard.
type Shard struct {
	Group string
	Index int
}

// JoinRequest makes a member join a group, or renews its membership.
type JoinRequest struct {
	Group, Member string
	// TTL is how long the membership lasts without another join.
	TTL time.Duration
	// Generation is the last received generation, 0 before the first.
	Generation uint64
}

// Assignment is what the group has assigned to a member.
type Assignment struct {
	// Generation increases with each change of the group. It includes the epoch; see
	// NewPosition.
	Generation uint64
	// Shards are the indexes of the assigned shards.
	Shards []int
}

// FormerOwner is an earlier owner of a shard, with the Settled field of its record; see
// Ownership.
type FormerOwner struct {
	VM, Address string
	Settled     bool
}

// Ownership records which VM may send orders to a shard's engines. The registry keeps the
// newest record of each shard indefinitely.
type Ownership struct {
	Index int
	// VM is the owner, and Address the address at which other entry VMs reach it.
	VM, Address string
	// Generation is the group's generation when the owner acquired the shard. It is the
	// fencing token of the owner's orders.
	Generation uint64
	// Settled is whether no earlier owner can send orders any more. Until then the owner
	// itself waits.
	Settled bool
	// Predecessor is the owner that this owner waits for, empty if the ownership is settled
	// or the predecessor is unknown.
	Predecessor FormerOwner
	// Unreadable is whether the record exists but can't be read. Some VM may then be the
	// owner, and nothing else is known.
	Unreadable bool
}

// Quarantined is the record of a request, or of a part of prompts, that is refused because it
// crashes backend servers.
type Quarantined struct {
	QuarantineKey
	// Backends are the starts of backend servers that it ended, EndedAt when each of them ended,
	// by the clock of the VM that wrote the record. A VM of an older version records only At.
	Backends []string
	EndedAt  []time.Time
	// At is when the last of them ended.
	At time.Time
}

// QuarantineKey identifies a record of a quarantined request or part of prompts.
type QuarantineKey struct {
	// Request is the fingerprint of the request or the part.
	Request    uint64
	PromptPart bool
	// Details tell variants of a request apart.
	Details QuarantineDetails
}

// QuarantineDetails are hashes of what variants of a request differ in.
type QuarantineDetails [6]uint32

// StreamKey identifies a stream; see package streamversion.
type StreamKey [8]byte

// StreamRecord holds streams of a service that began at one software version, with one version of their models' weights.
type StreamRecord struct {
	Service, Version string
	// Weights is the version of the weights, 0 if unknown.
	Weights int64
	Streams []StreamKey
}

// ServedVersions are the software versions of each service, and the versions of models' weights under their
// streamversion.ModelScope, at which streams may have begun that callers can still take up.
type ServedVersions struct {
	ByService map[string][]string
	// Outdated is whether the record was written before the registry was last restored from an older copy,
	// so that a newer one may be lost.
	Outdated bool
}

// VMRecord is the record that an entry VM renews as long as it runs.
type VMRecord struct {
	VM, Domain string
	// Revision differs between any two renewals of the record.
	Revision string
	// Lapsed is whether the VM has not renewed the record for long.
	Lapsed bool
}

// Registry is the interface to the platform's registry. All methods may fail with
// ErrUnavailable, in addition to the errors that they name.
type Registry interface {
	// Epoch returns the newest epoch seen in an answer, 0 if the registry sends none.
	Epoch() uint64

	// Configuration returns the newest configuration, nil if there is none yet, and the
	// cursor at which its changes begin. If the newest source can't be parsed, it returns the
	// newest configuration that can, with an error that is none of this package's.
	Configuration(ctx context.Context) (*Configuration, Cursor, error)
	// AwaitConfiguration returns the newest configuration from the cursor on, nil if none
	// arrives within wait. It may fail with ErrHistoryLost.
	AwaitConfiguration(ctx context.Context, from Cursor, wait time.Duration) (*Configuration, Cursor, error)
	// Parse parses a configuration that another VM forwarded.
	Parse(source []byte) (*Configuration, error)

	// Backends returns the whole list of backend servers.
	Backends(ctx context.Context) (Backends, error)
	// AwaitBackends returns the changes from the cursor on, none if none arrive within wait.
	// It may fail with ErrHistoryLost.
	AwaitBackends(ctx context.Context, from Cursor, wait time.Duration) (Changes, error)

	// Join joins a group of entry VMs that divide the group's shards among themselves.
	Join(ctx context.Context, request JoinRequest) (Assignment, error)
	// Leave ends a membership immediately.
	Leave(ctx context.Context, group, member string) error
	// Owners returns the newest ownership of each shard of the group, and the cursor to pass
	// to RecordOwners.
	Owners(ctx context.Context, group string) ([]Ownership, Cursor, error)
	// RecordOwners records all ownerships or none, provided that nothing was recorded since
	// the cursor was read. Otherwise it fails with ErrConflict.
	RecordOwners(ctx context.Context, group string, owned []Ownership, at Cursor) error

	// Quarantined returns the newest record of each quarantined request and part of prompts.
	Quarantined(ctx context.Context) ([]Quarantined, error)
	// Quarantine adds records and drops others.
	Quarantine(ctx context.Context, add []Quarantined, drop []QuarantineKey) error

	// VMs returns the newest record of each entry VM.
	VMs(ctx context.Context) ([]VMRecord, error)
	// RecordVM adds or renews the record of an entry VM.
	RecordVM(ctx context.Context, record VMRecord) error
	// MaintainVMs replaces the records of entry VMs by lapsed ones and drops others.
	MaintainVMs(ctx context.Context, lapsed []VMRecord, drop []string) error

	// Streams returns the records of streams from the cursor on, all retained ones for 0, and the cursor after
	// them. It may fail with ErrHistoryLost.
	Streams(ctx context.Context, from Cursor) ([]StreamRecord, Cursor, error)
	// RecordStreams adds records of streams and returns the cursor after them.
	RecordStreams(ctx context.Context, records []StreamRecord) (Cursor, error)
	// DropStreams drops the records of streams before the cursor.
	DropStreams(ctx context.Context, before Cursor) error

	// ServedVersions returns the record of the served versions and the cursor to pass to
	// RecordServedVersions.
	ServedVersions(ctx context.Context) (ServedVersions, Cursor, error)
	// RecordServedVersions replaces the versions of the given services, provided that nothing was recorded
	// since the cursor was read, and returns the next cursor. Otherwise it fails with ErrConflict.
	RecordServedVersions(ctx context.Context, versions map[string][]string, at Cursor) (Cursor, error)
}
