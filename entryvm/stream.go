package entryvm

import (
	"context"
	"time"
)

// StreamKey identifies a stream, see routing/streamversion.
type StreamKey [8]byte

// StreamGroup is streams of a service that began at one software version, with one version of their models' weights.
type StreamGroup struct {
	Service string      `cbor:"1,keyasint,omitempty"`
	Version string      `cbor:"2,keyasint,omitempty"`
	Keys    []StreamKey `cbor:"3,keyasint,omitempty"`
	// Age is how long before the sending the youngest of them began.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// Weights is the version of the weights, 0 if unknown.
	Weights int64 `cbor:"5,keyasint,omitempty"`
}

// StreamVersionsArgs carries versions of streams to a VM that keeps them for the others.
type StreamVersionsArgs struct {
	Groups []StreamGroup `cbor:"1,keyasint,omitempty"`
	// Record is whether the VM has to record them in the registry.
	Record bool `cbor:"2,keyasint,omitempty"`
}

// FindStreamArgs asks for the software version at which a stream began.
type FindStreamArgs struct {
	Key     StreamKey `cbor:"1,keyasint"`
	Service string    `cbor:"2,keyasint,omitempty"`
	// Confirm is whether the VM has to make sure that its list of backend servers is up to date unless it
	// knows the stream.
	Confirm bool `cbor:"3,keyasint,omitempty"`
	// Model is the stream's, empty for a plain service's.
	Model string `cbor:"4,keyasint,omitempty"`
}

// FindStreamReply is the answer to FindStreamArgs.
type FindStreamReply struct {
	// Version is valid if Found is set.
	Found   bool   `cbor:"1,keyasint,omitempty"`
	Version string `cbor:"2,keyasint,omitempty"`
	// Versions are all versions of the service that the VM remembers.
	Versions []string `cbor:"3,keyasint,omitempty"`
	// KnownFor is for how long before its answer the VM has known every change of the versions, ListAge how long
	// ago that was last confirmed. Confirmed is whether it was after the question.
	KnownFor  time.Duration `cbor:"5,keyasint,omitempty"`
	ListAge   time.Duration `cbor:"6,keyasint,omitempty"`
	Confirmed bool          `cbor:"7,keyasint,omitempty"`
	// Weights is the version of the model's weights, 0 if unknown, valid if Found is set. WeightVersions and
	// WeightsKnownFor are like Versions and KnownFor, for the weights.
	Weights         int64         `cbor:"8,keyasint,omitempty"`
	WeightVersions  []string      `cbor:"9,keyasint,omitempty"`
	WeightsKnownFor time.Duration `cbor:"10,keyasint,omitempty"`
}

// StreamVersions answers Coordination.StreamVersions.
func (c *coordination) StreamVersions(args *StreamVersionsArgs, _ *Empty) error {
	c.coordinator.StreamVersions(*args)
	return nil
}

// FindStream answers Coordination.FindStream.
func (c *coordination) FindStream(args *FindStreamArgs, reply *FindStreamReply) error {
	*reply = c.coordinator.FindStream(*args)
	return nil
}

// StreamVersions sends versions of streams to a VM that keeps them for the others.
func (c *Client) StreamVersions(ctx context.Context, address string, args StreamVersionsArgs) error {
	_, err := call[Empty](ctx, c, connKey{address: address}, coordinationServiceName+".StreamVersions", &args)
	return err
}

// FindStream asks a VM for the software version at which a stream began.
func (c *Client) FindStream(ctx context.Context, address string, args FindStreamArgs) (FindStreamReply, error) {
	return call[FindStreamReply](ctx, c, connKey{address, classQuota}, coordinationServiceName+".FindStream", &args)
}
