package entryvm

import (
	"context"
	"time"
)

// BackendLimit is the rate limit for all entry VMs together that a backend server stated
// in its newest answer known to the sender.
type BackendLimit struct {
	Backend string `cbor:"1,keyasint,omitempty"`
	// Limited is whether the answer named a limit, and PerSecond that limit in requests per
	// second.
	Limited   bool    `cbor:"2,keyasint,omitempty"`
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
	// Age is how long ago the answer arrived.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// Origin is the process that observed the answer. Version counts the answers that it has
	// observed.
	Origin  string `cbor:"5,keyasint,omitempty"`
	Version uint64 `cbor:"6,keyasint,omitempty"`
}

// PermitArgs requests permits from the VM that issues those of a backend server.
type PermitArgs struct {
	Limit     BackendLimit `cbor:"1,keyasint,omitempty"`
	Requested int          `cbor:"2,keyasint,omitempty"`
	// WithLimit, WithoutLimit and WithoutLimitRun count the answers since the last call; see
	// permit.AnswerCounts.
	WithLimit       int `cbor:"3,keyasint,omitempty"`
	WithoutLimit    int `cbor:"4,keyasint,omitempty"`
	WithoutLimitRun int `cbor:"5,keyasint,omitempty"`
}

// PermitReply grants permits.
type PermitReply struct {
	Granted int `cbor:"1,keyasint,omitempty"`
	// Retry is how long to wait before requesting more.
	Retry time.Duration `cbor:"2,keyasint,omitempty"`
	// Limit is the newest limit that the issuer knows.
	Limit BackendLimit `cbor:"3,keyasint,omitempty"`
}

// Permit answers Coordination.Permit.
func (c *coordination) Permit(args *PermitArgs, reply *PermitReply) error {
	*reply = c.coordinator.Permit(*args)
	return nil
}

// Permit requests permits from the VM that issues those of a backend server.
func (c *Client) Permit(ctx context.Context, address string, args PermitArgs) (PermitReply, error) {
	return call[PermitReply](ctx, c, connKey{address, classQuota}, coordinationServiceName+".Permit", &args)
}
