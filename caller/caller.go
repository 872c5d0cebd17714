// Package caller is the peer package for callers: it serves the OpenAI-style
// HTTP API and the plain services' paths, and turns every end of a request into
// exactly one answer.
package caller

import (
	"context"
	"time"

	"bergamotreel/contract"
	"bergamotreel/engine"
	"bergamotreel/service"
)

// Identity is who calls.
type Identity struct {
	Customer string
	// Priority comes from the API key.
	Priority int
}

// Generation is one accepted request for tokens.
type Generation struct {
	Identity Identity
	engine.Request
	// Stream is whether the caller asked for server-sent events.
	Stream bool
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// Arrived is when the request's header was read.
	Arrived time.Time
}

// ServiceCall is one accepted call of a plain service.
type ServiceCall struct {
	Identity Identity
	Service  contract.Service
	service.Call
	// IdempotencyKey is the caller's, empty when it sent none.
	IdempotencyKey string
	// AtMostOnce is whether the call may not be repeated.
	AtMostOnce bool
	Arrived    time.Time
}

// Sink takes the chunks of an answer in order. An error from it ends the
// answer: the caller left, or the chunks were not in order.
type Sink interface {
	WriteChunk(engine.Chunk) error
}

// BufferingSink is what a Sink may offer besides, for chunks that are there
// together: they reach the caller in one write.
type BufferingSink interface {
	// BufferChunk is Chunk, but the chunk may stay here until the next Chunk or Release.
	// The Backend holds a chunk only while it has the next one, too.
	BufferChunk(engine.Chunk) error
	// Flush sends what is held.
	Flush() error
}

// ColdMarker is what a Sink may offer besides: the Backend calls Cold before
// the first chunk when the request had to wait for a load.
type ColdMarker interface {
	MarkCold()
}

// Backend is what the entry VM does with accepted requests.
type Backend interface {
	// Identify finds the owner of an API key.
	Identify(key string) (Identity, bool)
	// Contract returns a customer's contract in force; callers must not change it.
	Contract(customer string) (*contract.Contract, bool)
	// Generate delivers the whole answer to the sink or fails with a
	// *refusal.Refusal. It stops when ctx ends, which means the caller left.
	Generate(ctx context.Context, g Generation, sink Sink) error
	// Call returns the whole answer or fails with a *refusal.Refusal.
	Call(ctx context.Context, call ServiceCall) (service.Answer, error)
	// Ready tells whether new requests are taken, and if not, why.
	Ready() error
}
