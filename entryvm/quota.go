package entryvm

import (
	"context"
	"time"
)

// LeaseArgs asks the VM that hands out a failure domain's part of a workspace's quota
// for credit.
type LeaseArgs struct {
	Workspace string `cbor:"1,keyasint,omitempty"`
	// Need is the cost of the request that waits for it, MaxWait how long it can.
	Need    float64       `cbor:"2,keyasint,omitempty"`
	MaxWait time.Duration `cbor:"3,keyasint,omitempty"`
	// Ahead is the credit that further requests will need soon.
	Prefetch float64 `cbor:"4,keyasint,omitempty"`
	// Refused is the cost of requests refused since the last question without one.
	Refused float64 `cbor:"5,keyasint,omitempty"`
	// Forwarded is whether a third VM asks, through one that is not the allocator.
	Forwarded bool `cbor:"6,keyasint,omitempty"`
}

// LeaseReply is the credit granted, 0 for a refusal.
type LeaseReply struct {
	Credit float64 `cbor:"1,keyasint,omitempty"`
	// Wait is when the credit may be used, or for a refusal when there may be some.
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
	// Unknown is whether no such quota is known there.
	Unknown bool `cbor:"3,keyasint,omitempty"`
}

// LendArgs asks another failure domain's allocator for credit that it does not need now.
type LendArgs struct {
	Workspace string  `cbor:"1,keyasint,omitempty"`
	Need      float64 `cbor:"2,keyasint,omitempty"`
}

// LendReply is the credit lent, 0 for none.
type LendReply struct {
	Credit float64 `cbor:"1,keyasint,omitempty"`
}

// WorkspaceDemand is what a failure domain's requests of a workspace cost a second.
type WorkspaceDemand struct {
	Workspace string  `cbor:"1,keyasint,omitempty"`
	PerSecond float32 `cbor:"2,keyasint,omitempty"`
}

// DemandReport is what the allocators of two failure domains tell each other. The reply
// acknowledges the question and tells the other's demand.
type DemandReport struct {
	VM     string `cbor:"1,keyasint,omitempty"`
	Domain string `cbor:"2,keyasint,omitempty"`
	// Sequence numbers the announcements of this process; 0 in a reply by a VM that
	// hands nothing out.
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	// Incarnation changes with each start of the VM.
	Incarnation string            `cbor:"4,keyasint,omitempty"`
	Demand      []WorkspaceDemand `cbor:"5,keyasint,omitempty"`
	// Present is the part of the domain's VMs that the speaker reaches, from 0 to 1.
	ReachableFraction float64 `cbor:"6,keyasint,omitempty"`
}

// Lease answers a question for credit.
func (c *coordination) Lease(args *LeaseArgs, reply *LeaseReply) error {
	*reply = c.coordinator.Lease(*args)
	return nil
}

// Lend answers a question for credit of another failure domain.
func (c *coordination) Lend(args *LendArgs, reply *LendReply) error {
	*reply = c.coordinator.Lend(*args)
	return nil
}

// Demand exchanges the demand of two failure domains.
func (c *coordination) Demand(args *DemandReport, reply *DemandReport) error {
	*reply = c.coordinator.Demand(*args)
	return nil
}

// Lease asks a failure domain's allocator for credit.
func (c *Client) Lease(ctx context.Context, address string, lease LeaseArgs) (LeaseReply, error) {
	return call[LeaseReply](ctx, c, lineKey{address, laneQuota}, coordinationName+".Lease", &lease)
}

// Lend asks another failure domain's allocator for credit.
func (c *Client) Lend(ctx context.Context, address string, lend LendArgs) (LendReply, error) {
	return call[LendReply](ctx, c, lineKey{address, laneQuota}, coordinationName+".Lend", &lend)
}

// Demand tells another failure domain's allocator the demand here and returns that there.
func (c *Client) Demand(ctx context.Context, address string, report DemandReport) (DemandReport, error) {
	return call[DemandReport](ctx, c, lineKey{address, laneQuota}, coordinationName+".Demand", &report)
}
