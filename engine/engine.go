// Package engine is the peer package for model engines: backend servers that
// generate tokens and take orders to load and unload models and adapters.
package engine

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("engine")

var (
	// ErrNotSent says that no byte reached the engine.
	ErrNotSent = errs.New("not sent")
	// ErrStaleToken says that the engine has seen a higher fencing token.
	ErrStaleToken = errs.New("stale fencing token")
	// ErrNoMemory says that the engine has no room for the unit.
	ErrNoMemory = errs.New("engine memory full")
	// ErrNotLoaded says that the engine does not hold the unit; it did nothing.
	ErrNotLoaded = errs.New("unit not loaded")
	// ErrBusy says that the engine took nothing because its queue is full.
	ErrBusy = errs.New("engine busy")
	// ErrUnknownStream says that the engine has no stream of that identity.
	ErrUnknownStream = errs.New("unknown stream")
	// ErrBrokenStream says that a stream ended early or carried what is not its
	// own; it may be resumed.
	ErrBrokenStream = errs.New("broken stream")
	// ErrIDConflict says that the engine has a stream of that identity for
	// another request; it did nothing.
	ErrIDConflict = errs.New("stream of another request")
	// ErrInUse says that the unit can't be unloaded or replaced yet: adapters sit
	// on it or another checkpoint is loaded under its name.
	ErrInUse = errs.New("unit in use")
	// ErrWrongRole says that the engine's role excludes the request; it did
	// nothing.
	ErrWrongRole = errs.New("wrong role")
	// ErrBadRequest says that the engine could not read the request; it did
	// nothing.
	ErrBadRequest = errs.New("bad request")
	// ErrOrderConflict says that another order is being carried out, or that the
	// engine has accepted another number of orders than Order.After says; it did
	// nothing.
	ErrOrderConflict = errs.New("order conflicts with another one")
	// ErrOtherIncarnation says that another start of the engine, or another backend
	// server, answers at the address; it did nothing.
	ErrOtherIncarnation = errs.New("another incarnation of the engine")
	// ErrOutcomeUnknown says that the answer was lost after bytes were sent.
	ErrOutcomeUnknown = errs.New("outcome unknown")
)

// Token is a fencing token: a number that only grows from order to order. An
// engine that checks tokens refuses an order with a token below the highest it
// has seen, and keeps that highest over its own restarts.
type Token uint64

// Action is what an order asks for.
type Action string

const (
	ActionFence  Action = "fence"  // only raise the token
	ActionLoad   Action = "load"   // hold the unit; idempotent
	ActionUnload Action = "unload" // drop the unit once its streams ended; idempotent
	ActionRole   Action = "role"   // change the role
)

// Role is which part of a request an engine works on.
type Role string

const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Order changes what an engine holds.
type Order struct {
	Token  Token  `json:"token"`
	Action Action `json:"action"`
	// Unit is the model or adapter.
	Unit string `json:"unit,omitempty"`
	// Base is the model that an adapter sits on; empty for a model.
	Base       string `json:"base,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Bytes      int64  `json:"bytes,omitempty"`
	Role       Role   `json:"role,omitempty"`
	// Incarnation is the start of the engine that the order is for; any other one
	// refuses it. Empty: any. Holder names who gives the order.
	Incarnation string `json:"incarnation,omitempty"`
	Holder      string `json:"holder,omitempty"`
	// After is how many orders the engine must have accepted when this one is
	// carried out, nil for any number: an order that is carried out late, behind
	// a newer one, is refused.
	After *uint64 `json:"after,omitempty"`
}

// Phase is how far a unit on an engine is.
type Phase string

const (
	PhaseLoading   Phase = "loading"
	PhaseReady     Phase = "ready"
	PhaseUnloading Phase = "unloading"
)

// Unit is a model or adapter that an engine holds.
type Unit struct {
	Unit       string `json:"unit"`
	Base       string `json:"base,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Bytes      int64  `json:"bytes"`
	Phase      Phase  `json:"phase"`
}

// Tier is where an engine has a checkpoint cached.
type Tier string

const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)

// Load is an engine's own report of its load; it lags.
type Load struct {
	Running    int       `json:"running"`
	Queued     int       `json:"queued"`
	ReportedAt time.Time `json:"at"`
}

// Status is what an engine says of itself.
type Status struct {
	// Incarnation changes with each start of the engine.
	Incarnation string `json:"incarnation"`
	// Started is when this start began by the engine's own clock, in Unix milliseconds;
	// 0 where it doesn't tell.
	Started     int64 `json:"started,omitempty"`
	Role        Role  `json:"role"`
	MemoryBytes int64 `json:"memory_bytes"`
	// ChecksTokens promises that stale orders are refused, over restarts too.
	ChecksTokens bool   `json:"checks_tokens"`
	HighestToken Token  `json:"highest_token"`
	Units        []Unit `json:"units"`
	// Failed gives the reason of each unit's newest load if that failed, until
	// the next load order for the unit.
	Failed map[string]string `json:"failed,omitempty"`
	// Cached says where checkpoints that are not loaded are cached.
	Cached map[string]Tier `json:"cached,omitempty"`
	Load   Load            `json:"load"`
	// Slots is how many requests run at once.
	Slots int `json:"slots"`
	// Draining engines take no new request.
	Draining bool `json:"draining,omitempty"`
	// Orders counts the orders accepted since the start, Ordering is whether one is
	// being carried out. Only engines that check Order.After tell them.
	AcceptedOrders uint64 `json:"orders,omitempty"`
	OrderInFlight  bool   `json:"ordering,omitempty"`
}

// Request is one request for tokens.
type Request struct {
	// ID identifies the request and its stream.
	ID string
	// Unit is the model or adapter that answers.
	Unit string
	// Path is /v1/chat/completions or /v1/completions.
	Path string
	// Body is the caller's JSON with stream set to true.
	Body []byte
	// Priority orders waiting requests; higher goes first.
	Priority int
}

// Chunk is one piece of a stream.
type Chunk struct {
	// Position counts the chunks of a stream from 1 without gaps.
	Position uint64
	// Data is one OpenAI-style chunk object as JSON. The stream's next Next may
	// write over it.
	Data []byte
}

// Stream is an answer under way.
type Stream interface {
	// Next returns the next chunk; io.EOF after the whole answer; any other
	// error is ErrBrokenStream, and the stream may be resumed after the last
	// chunk that came. Ending the context of the call that began the stream
	// interrupts Next.
	Next() (Chunk, error)
	// Close ends the reading, not the stream, which Cancel does. It must not run
	// together with Next.
	Close() error
}

// Pending is what a Stream may offer besides: whether Next will return without
// waiting for the engine.
type PendingStream interface {
	HasPending() bool
}

// CacheEvent says that an engine has, or no longer has, a prefix cached. Events
// come late and with gaps in Sequence.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Unit     string `json:"unit"`
	// Prefix is the hash of a prompt prefix, as in routing.Prefixes.
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted,omitempty"`
}

// Manager gives engines orders by their address, and asks what they hold.
type Manager interface {
	Status(ctx context.Context, address string) (Status, error)
	// Order returns once the engine has taken the order (a load goes on after
	// that and shows in Status). It fails with ErrNotSent, ErrStaleToken,
	// ErrNoMemory or ErrOutcomeUnknown: the order may then still take effect.
	Order(ctx context.Context, address string, order Order) (Status, error)
}

// Client talks to engines by their address.
type Client interface {
	Manager
	// Generate starts a stream. It fails with ErrNotSent, ErrNotLoaded, ErrBusy
	// (nothing ran) or ErrOutcomeUnknown.
	Generate(ctx context.Context, address string, request Request) (Stream, error)
	// Resume reads a stream again from the given position on. It fails with
	// ErrUnknownStream where it is gone.
	Resume(ctx context.Context, address string, id string, from uint64) (Stream, error)
	Cancel(ctx context.Context, address string, id string) error
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
	// ExportKV and ImportKV move the KV cache of a stream between engines. The
	// stream stops where it is exported and goes on where it is imported; Resume
	// reads it there.
	ExportKV(ctx context.Context, address string, id string) ([]byte, error)
	ImportKV(ctx context.Context, address string, id string, data []byte) error
}
