package entryvm

import (
	"context"
	"time"
)

// BackendLimit is what the newest answer of a backend server that is known to the sender
// said of the requests that it takes from all entry VMs together.
type BackendLimit struct {
	Backend string `cbor:"1,keyasint,omitempty"`
	// Named is whether there is a limit, PerSecond the requests a second.
	Limited   bool    `cbor:"2,keyasint,omitempty"`
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
	// Age is how long ago the answer came.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// Origin is the process that observed it, Version counts what it has observed.
	Origin  string `cbor:"5,keyasint,omitempty"`
	Version uint64 `cbor:"6,keyasint,omitempty"`
}

// PermitArgs asks the VM that issues the permits for a backend server for some.
type PermitArgs struct {
	Limit     BackendLimit `cbor:"1,keyasint,omitempty"`
	Requested int          `cbor:"2,keyasint,omitempty"`
	// Named, Plain and Run count the answers since the last question, as permit.Answers.
	WithLimit       int `cbor:"3,keyasint,omitempty"`
	WithoutLimit    int `cbor:"4,keyasint,omitempty"`
	WithoutLimitRun int `cbor:"5,keyasint,omitempty"`
}

// PermitReply grants permits.
type PermitReply struct {
	Granted int `cbor:"1,keyasint,omitempty"`
	// Retry is when to ask again for more.
	Retry time.Duration `cbor:"2,keyasint,omitempty"`
	// Limit is the newest known to the issuer.
	Limit BackendLimit `cbor:"3,keyasint,omitempty"`
}

// Permit answers a question for permits.
func (c *coordination) Permit(args *PermitArgs, reply *PermitReply) error {
	*reply = c.coordinator.Permit(*args)
	return nil
}

// Permit asks the VM that issues a backend server's permits.
func (c *Client) Permit(ctx context.Context, address string, args PermitArgs) (PermitReply, error) {
	return call[PermitReply](ctx, c, lineKey{address, laneQuota}, coordinationName+".Permit", &args)
}
