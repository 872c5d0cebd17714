// Package caller implements the HTTP interface to callers: the OpenAI-style API,
// the paths of plain services, and requests that are forwarded unchanged. Every
// request ends in exactly one answer or refusal.
package caller

import (
	"context"
	"time"

	"bergamotreel/contract"
	"bergamotreel/engine"
	"bergamotreel/service"
)

// Identity is the authenticated owner of an API key.
type Identity struct {
	Customer string
	// Priority comes from the API key.
	Priority int
}

// Generation is one validated request to generate tokens.
type Generation struct {
	Identity Identity
	engine.Request
	// Stream reports whether the caller asked for server-sent events.
	Stream bool
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// Arrived is the time at which the request's header was read.
	Arrived time.Time
}

// ServiceCall is one validated call of a plain service.
type ServiceCall struct {
	Identity Identity
	Service  contract.Service
	service.Call
	// IdempotencyKey is the key that the caller sent, or empty.
	IdempotencyKey string
	// AtMostOnce reports whether the call must not be repeated.
	AtMostOnce bool
	Arrived    time.Time
}

// Sink receives the chunks of an answer in order. An error from it ends the
// answer: the caller disconnected, or the chunks were out of order.
type Sink interface {
	WriteChunk(engine.Chunk) error
}

// BufferingSink is an optional interface of a Sink. It sends chunks that are
// available at the same time to the caller in one write.
type BufferingSink interface {
	// BufferChunk is like WriteChunk, but may keep the chunk until the next
	// WriteChunk or Flush. The Backend buffers a chunk only if it already has the
	// next one.
	BufferChunk(engine.Chunk) error
	// Flush sends the buffered chunks.
	Flush() error
}

// ColdMarker is an optional interface of a Sink. The Backend calls MarkCold before
// the first chunk if the request had to wait for a load.
type ColdMarker interface {
	MarkCold()
}

// Backend executes validated requests.
type Backend interface {
	// Identify finds the owner of an API key.
	Identify(key string) (Identity, bool)
	// Contract returns a customer's contract in force, which must not be modified.
	Contract(customer string) (*contract.Contract, bool)
	// Generate delivers the whole answer to the sink or fails with a
	// *refusal.Refusal. It stops when ctx ends: the caller has disconnected.
	Generate(ctx context.Context, g Generation, sink Sink) error
	// Call returns the whole answer or fails with a *refusal.Refusal.
	Call(ctx context.Context, call ServiceCall) (service.Answer, error)
	// Ready returns nil if new requests are accepted, and otherwise the reason.
	Ready() error
}
