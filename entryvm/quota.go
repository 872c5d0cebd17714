package entryvm

import (
	"context"
	"time"
)

// LeaseArgs requests credit from the VM that allocates a failure domain's share of a
// workspace's quota.
type LeaseArgs struct {
	Workspace string `cbor:"1,keyasint,omitempty"`
	// Need is the cost of the request that waits for the credit, and MaxWait how long it can
	// wait.
	Need    float64       `cbor:"2,keyasint,omitempty"`
	MaxWait time.Duration `cbor:"3,keyasint,omitempty"`
	// Prefetch is the credit that further requests are expected to need soon.
	Prefetch float64 `cbor:"4,keyasint,omitempty"`
	// Refused is the cost of the requests that the caller has refused, since its last call,
	// without calling the allocator.
	Refused float64 `cbor:"5,keyasint,omitempty"`
	// Forwarded is whether the request was passed on by a VM that is not the allocator.
	Forwarded bool `cbor:"6,keyasint,omitempty"`
}

// LeaseReply is the granted credit, 0 for a refusal.
type LeaseReply struct {
	Credit float64 `cbor:"1,keyasint,omitempty"`
	// Wait is how long until the credit may be used or, for a refusal, until credit may be
	// available.
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
	// Unknown is whether the callee knows no quota for the workspace.
	Unknown bool `cbor:"3,keyasint,omitempty"`
}

// LendArgs requests credit that another failure domain's allocator does not need now.
type LendArgs struct {
	Workspace string  `cbor:"1,keyasint,omitempty"`
	Need      float64 `cbor:"2,keyasint,omitempty"`
	// Reserve is the fraction of its burst that the lender keeps.
	Reserve float64 `cbor:"3,keyasint,omitempty"`
}

// LendReply is the lent credit, 0 for none.
type LendReply struct {
	Credit float64 `cbor:"1,keyasint,omitempty"`
}

// WorkspaceDemand is the cost per second of a failure domain's requests of a workspace.
type WorkspaceDemand struct {
	Workspace string  `cbor:"1,keyasint,omitempty"`
	PerSecond float32 `cbor:"2,keyasint,omitempty"`
}

// DemandReport is exchanged by the allocators of two failure domains. The reply acknowledges
// the caller's report and carries the callee's demand.
type DemandReport struct {
	VM     string `cbor:"1,keyasint,omitempty"`
	Domain string `cbor:"2,keyasint,omitempty"`
	// Sequence increases with each announcement of this process. A reply repeats that of the
	// newest announcement; it is 0 if there is none or the VM is not an allocator.
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	// Incarnation changes with each start of the VM.
	Incarnation string            `cbor:"4,keyasint,omitempty"`
	Demand      []WorkspaceDemand `cbor:"5,keyasint,omitempty"`
	// ReachableFraction is the part of the domain's VMs that the sender reaches, from 0 to 1.
	ReachableFraction float64 `cbor:"6,keyasint,omitempty"`
	// Withdrawn is whether the sender is no allocator any more. Its announcements up to
	// Sequence no longer count.
	Withdrawn bool `cbor:"7,keyasint,omitempty"`
}

// Lease answers Coordination.Lease.
func (c *coordination) Lease(args *LeaseArgs, reply *LeaseReply) error {
	*reply = c.coordinator.Lease(*args)
	return nil
}

// Lend answers Coordination.Lend.
func (c *coordination) Lend(args *LendArgs, reply *LendReply) error {
	*reply = c.coordinator.Lend(*args)
	return nil
}

// Demand answers Coordination.Demand.
func (c *coordination) Demand(args *DemandReport, reply *DemandReport) error {
	*reply = c.coordinator.Demand(*args)
	return nil
}

// Lease requests credit from a failure domain's allocator.
func (c *Client) Lease(ctx context.Context, address string, lease LeaseArgs) (LeaseReply, error) {
	return call[LeaseReply](ctx, c, connKey{address, classQuota}, coordinationServiceName+".Lease", &lease)
}

// Lend requests credit from another failure domain's allocator.
func (c *Client) Lend(ctx context.Context, address string, lend LendArgs) (LendReply, error) {
	return call[LendReply](ctx, c, connKey{address, classQuota}, coordinationServiceName+".Lend", &lend)
}

// Demand sends the local demand to another failure domain's allocator and returns that
// domain's demand.
func (c *Client) Demand(ctx context.Context, address string, report DemandReport) (DemandReport, error) {
	return call[DemandReport](ctx, c, connKey{address, classQuota}, coordinationServiceName+".Demand", &report)
}
