// Package engine is a client for model engines: backend servers that generate
// tokens and accept orders to load and unload models and adapters.
package engine

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("engine")

var (
	// ErrNotSent reports that no byte reached the engine.
	ErrNotSent = errs.New("not sent")
	// ErrStaleToken reports that the engine has seen a higher fencing token.
	ErrStaleToken = errs.New("stale fencing token")
	// ErrNoMemory reports that the engine has too little memory for the unit.
	ErrNoMemory = errs.New("engine memory full")
	// ErrNotLoaded reports that the engine has not loaded the unit; it did nothing.
	ErrNotLoaded = errs.New("unit not loaded")
	// ErrBusy reports that the engine rejected the request because its queue is full
	// or because it drains; it did nothing.
	ErrBusy = errs.New("engine busy")
	// ErrUnknownStream reports that the engine has no stream with that id.
	ErrUnknownStream = errs.New("unknown stream")
	// ErrBrokenStream reports that a stream ended early or carried data of another
	// stream; it may be resumed.
	ErrBrokenStream = errs.New("broken stream")
	// ErrIDConflict reports that the engine has a stream with that id for another
	// request; it did nothing.
	ErrIDConflict = errs.New("stream of another request")
	// ErrInUse reports that the unit can't be unloaded or replaced yet: adapters
	// depend on it or another checkpoint is loaded under its name.
	ErrInUse = errs.New("unit in use")
	// ErrWrongRole reports that the engine's role excludes the request; it did
	// nothing.
	ErrWrongRole = errs.New("wrong role")
	// ErrBadRequest reports that the engine could not parse the request; it did
	// nothing.
	ErrBadRequest = errs.New("bad request")
	// ErrOrderConflict reports that another order is being carried out, or that the
	// number of orders that the engine has accepted differs from Order.After; it did
	// nothing.
	ErrOrderConflict = errs.New("order conflicts with another one")
	// ErrOtherIncarnation reports that another start of the engine, or another backend
	// server, answers at the address; it did nothing.
	ErrOtherIncarnation = errs.New("another incarnation of the engine")
	// ErrOutcomeUnknown reports that the answer was lost after bytes were sent.
	ErrOutcomeUnknown = errs.New("outcome unknown")
)

// Token is a fencing token: a number that never decreases from order to order. An
// engine that checks tokens refuses an order with a token below the highest it
// has seen, and retains the highest token across its own restarts.
type Token uint64

// Action is the kind of change that an order requests.
type Action string

const (
	ActionFence  Action = "fence"  // only raises the token
	ActionLoad   Action = "load"   // loads the unit; idempotent
	ActionUnload Action = "unload" // unloads the unit once its streams have ended; idempotent
	ActionRole   Action = "role"   // changes the role
)

// Role is the part of a request that an engine works on.
type Role string

const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Order changes the units that an engine holds, its role or its fencing token.
type Order struct {
	Token  Token  `json:"token"`
	Action Action `json:"action"`
	// Unit is the model or adapter.
	Unit string `json:"unit,omitempty"`
	// Base is the model that an adapter extends; empty for a model.
	Base       string `json:"base,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Bytes      int64  `json:"bytes,omitempty"`
	Role       Role   `json:"role,omitempty"`
	// Incarnation identifies the start of the engine that the order is for; any
	// other start refuses it. Empty means any. Holder names the sender of the order.
	Incarnation string `json:"incarnation,omitempty"`
	Holder      string `json:"holder,omitempty"`
	// After is the number of orders that the engine must have accepted before this
	// one, nil for any number. It lets the engine refuse an order that arrives late,
	// after a newer one.
	After *uint64 `json:"after,omitempty"`
}

// Phase is the loading state of a unit on an engine.
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

// Tier is the place where an engine has a checkpoint cached.
type Tier string

const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)

// Load is an engine's own report of its load, which lags behind the actual load.
type Load struct {
	Running    int       `json:"running"`
	Queued     int       `json:"queued"`
	ReportedAt time.Time `json:"at"`
}

// Status is an engine's report of its own state.
type Status struct {
	// Incarnation changes with each start of the engine.
	Incarnation string `json:"incarnation"`
	// Started is the time of the engine's start by its own clock, in Unix
	// milliseconds; 0 if the engine doesn't report it.
	Started     int64 `json:"started,omitempty"`
	Role        Role  `json:"role"`
	MemoryBytes int64 `json:"memory_bytes"`
	// ChecksTokens reports whether the engine refuses stale orders, also after a
	// restart.
	ChecksTokens bool   `json:"checks_tokens"`
	HighestToken Token  `json:"highest_token"`
	Units        []Unit `json:"units"`
	// Failed holds, by unit, why the newest load failed, until the next load order
	// for the unit.
	Failed map[string]string `json:"failed,omitempty"`
	// Cached holds the tier of each checkpoint that is cached but not loaded.
	Cached map[string]Tier `json:"cached,omitempty"`
	Load   Load            `json:"load"`
	// Slots is the maximum number of requests that run at once.
	Slots int `json:"slots"`
	// Draining reports whether the engine rejects new requests.
	Draining bool `json:"draining,omitempty"`
	// AcceptedOrders counts the orders accepted since the start, OrderInFlight
	// reports whether one is being carried out. Only engines that check Order.After
	// report them.
	AcceptedOrders uint64 `json:"orders,omitempty"`
	OrderInFlight  bool   `json:"ordering,omitempty"`
}

// Request is a generation request.
type Request struct {
	// ID identifies the request and its stream.
	ID string
	// Unit is the model or adapter that answers.
	Unit string
	// Path is /v1/chat/completions or /v1/completions.
	Path string
	// Body is the caller's JSON with stream set to true.
	Body []byte
	// Priority orders waiting requests; a higher one runs first.
	Priority int
}

// Chunk is one event of a stream.
type Chunk struct {
	// Position counts the chunks of a stream from 1 without gaps.
	Position uint64
	// Data is one OpenAI-style chunk object as JSON. The next call of Next may
	// overwrite it.
	Data []byte
}

// Stream is an answer in progress.
type Stream interface {
	// Next returns the next chunk, and io.EOF after the whole answer. Any other
	// error is ErrBrokenStream; the stream may then be resumed after the last
	// received chunk. The end of the context of the call that opened the stream
	// interrupts Next.
	Next() (Chunk, error)
	// Close stops reading; only Client.Cancel ends the stream on the engine. It must
	// not be called concurrently with Next.
	Close() error
}

// PendingStream is an optional interface of a Stream. HasPending reports whether
// Next will return without waiting for the engine.
type PendingStream interface {
	HasPending() bool
}

// CacheEvent reports that an engine has cached or evicted a prefix. Events may
// arrive late and with gaps in Sequence.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Unit     string `json:"unit"`
	// Prefix is the hash of a prompt prefix, as in routing.HashPrefixes.
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted,omitempty"`
}

// Manager sends orders to engines by their address and reads their status.
type Manager interface {
	Status(ctx context.Context, address string) (Status, error)
	// Order returns once the engine has accepted the order; a load continues after
	// that and shows in Status. It fails with ErrNotSent, ErrStaleToken, ErrNoMemory
	// or ErrOutcomeUnknown; after ErrOutcomeUnknown the order may still be carried out.
	Order(ctx context.Context, address string, order Order) (Status, error)
}

// Client sends requests to engines by their address.
type Client interface {
	Manager
	// Generate starts a stream. It fails with ErrNotSent, ErrNotLoaded or ErrBusy,
	// after which nothing ran, or with ErrOutcomeUnknown.
	Generate(ctx context.Context, address string, request Request) (Stream, error)
	// Resume reads a stream again from the given position on. It fails with
	// ErrUnknownStream if the engine no longer has the stream.
	Resume(ctx context.Context, address string, id string, from uint64) (Stream, error)
	Cancel(ctx context.Context, address string, id string) error
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
	// ExportKV and ImportKV move the KV cache of a stream between engines. The
	// stream stops on the exporting engine and continues on the importing one, where
	// Resume reads it.
	ExportKV(ctx context.Context, address string, id string) ([]byte, error)
	ImportKV(ctx context.Context, address string, id string, data []byte) error
}
