// Package streamversions finds the software version and the weights with which a stream began that its caller
// takes up, also if another entry VM began it. Package streamversion holds the records.
package streamversions

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/registry"
	"bergamotreel/routing/streamversion"
)

// Fleet is what a Finder needs of the entry VM that it belongs to. Its methods may be called from any
// goroutine.
type Fleet interface {
	// PossibleKeepers returns the VMs that other VMs may take for keepers of streams.
	PossibleKeepers(now time.Time) []Keeper
	// VersionsView returns what this VM knows of the software versions that a stream of the service may have
	// begun at, or of the versions of weights for the scope of a model.
	VersionsView(now time.Time, scope string) streamversion.View
	// IsListStale reports whether this VM has lost touch with the registry and with the VM that reads it for the
	// failure domain.
	IsListStale() bool
	// ConfirmList reads what has changed in the list of backend servers, and reports whether the list has all that
	// was written before the call.
	ConfirmList(ctx context.Context) bool
	// AllVersions returns the versions of each service, and whether this VM knows all of the last TTL.
	AllVersions(now time.Time) (versions map[string][]string, complete bool)
	// RecoverVersions adds the versions that served before this VM knew the list. complete is whether these
	// are all.
	RecoverVersions(now time.Time, versions map[string][]string, complete bool)
	// KeepsStreams reports whether other VMs may ask this VM for versions of streams.
	KeepsStreams(now time.Time) bool
	// HasSeveralVersions reports whether a stream of the service or of the model may have begun at several versions.
	HasSeveralVersions(now time.Time, scope string) bool
}

// VMs calls other entry VMs by address.
type VMs interface {
	StreamVersions(ctx context.Context, address string, args entryvm.StreamVersionsArgs) error
	FindStream(ctx context.Context, address string, args entryvm.FindStreamArgs) (entryvm.FindStreamReply, error)
}

// Registry holds the records that outlive all entry VMs.
type Registry interface {
	Epoch() uint64
	Streams(ctx context.Context, from registry.Cursor) ([]registry.StreamRecord, registry.Cursor, error)
	RecordStreams(ctx context.Context, records []registry.StreamRecord) (registry.Cursor, error)
	DropStreams(ctx context.Context, before registry.Cursor) error
	ServedVersions(ctx context.Context) (registry.ServedVersions, registry.Cursor, error)
	RecordServedVersions(ctx context.Context, versions map[string][]string, at registry.Cursor) (registry.Cursor, error)
}

// Config holds a Finder's dependencies.
type Config struct {
	// VM is the name of this VM, Domain its failure domain.
	VM, Domain string
	// FirstStart is whether the whole system starts for the first time, so that no stream can have begun
	// before.
	FirstStart bool
	Fleet      Fleet
	VMs        VMs
	Registry   Registry
	Logger     *zap.Logger
}
