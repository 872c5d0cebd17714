package entryvm

import (
	"context"
	"time"
)

// FragileBackend is a backend server that crashes if it rejects more than MaxRejections requests
// for want of room within a second, or one that doesn't any more.
type FragileBackend struct {
	Backend string `cbor:"1,keyasint,omitempty"`
	// MaxRejections is 0 if the newest answer named no bound.
	MaxRejections int `cbor:"2,keyasint,omitempty"`
	// Age, Origin and Version are as in BackendLimit.
	Age     time.Duration `cbor:"3,keyasint,omitempty"`
	Origin  string        `cbor:"4,keyasint,omitempty"`
	Version uint64        `cbor:"5,keyasint,omitempty"`
}

// RoomArgs requests permits from the VM that divides the room on a fragile backend server.
type RoomArgs struct {
	Fragile FragileBackend `cbor:"1,keyasint,omitempty"`
	// VM is the requesting VM. Held is how many permits it has and how many requests it has in
	// flight on the backend server, Requested how many more permits it wants.
	VM        string `cbor:"2,keyasint,omitempty"`
	Held      int    `cbor:"3,keyasint,omitempty"`
	Requested int    `cbor:"4,keyasint,omitempty"`
	// Rejected is whether the backend server has rejected a request for want of room since the
	// last call.
	Rejected bool `cbor:"5,keyasint,omitempty"`
}

// RoomReply grants permits.
type RoomReply struct {
	Granted int `cbor:"1,keyasint,omitempty"`
	// Retry is how long to wait before requesting more.
	Retry time.Duration `cbor:"2,keyasint,omitempty"`
}

// Room answers Coordination.Room.
func (c *coordination) Room(args *RoomArgs, reply *RoomReply) error {
	*reply = c.coordinator.Room(*args)
	return nil
}

// Room requests permits from the VM that divides the room on a fragile backend server.
func (c *Client) Room(ctx context.Context, address string, args RoomArgs) (RoomReply, error) {
	return call[RoomReply](ctx, c, connKey{address, classQuota}, coordinationServiceName+".Room", &args)
}
