// Package entryvm implements the messages between entry VMs: digests of demand, load and
// liveness, control records for a VM that can't reach the log, claims of idempotency keys,
// and the coordination of VMs that use the platform's registry.
package entryvm

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("entryvm")

// Digest is the status that an entry VM sends to others several times a second.
type Digest struct {
	// VM, Address, Domain and Region identify the sender; Address is the IP:port of its
	// net/rpc server.
	VM      string `cbor:"1,keyasint,omitempty"`
	Address string `cbor:"2,keyasint,omitempty"`
	Domain  string `cbor:"3,keyasint,omitempty"`
	Region  string `cbor:"4,keyasint,omitempty"`
	// Incarnation changes with each start of the VM. Sequence increases with each digest of
	// an incarnation.
	Incarnation string `cbor:"5,keyasint,omitempty"`
	Sequence    uint64 `cbor:"6,keyasint,omitempty"`
	// Leaving is set from the start of a graceful shutdown.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// Applied is the offset of the newest applied control record.
	Applied uint64 `cbor:"8,keyasint,omitempty"`
	// Session and Renewal request that the relay of this VM's group renew its session with
	// the renewal number Renewal (see state.Renewal). Both are 0 if the VM renews the session
	// itself.
	Session uint64 `cbor:"9,keyasint,omitempty"`
	Renewal uint64 `cbor:"10,keyasint,omitempty"`
	// InFlight counts the requests in flight through this VM by engine address.
	InFlight map[string]int `cbor:"11,keyasint,omitempty"`
	// Demand is the requests that wait on this VM, by unit.
	Demand []Demand `cbor:"12,keyasint,omitempty"`
	// Usage is the recent traffic of each customer on this VM.
	Usage []Usage `cbor:"13,keyasint,omitempty"`
	// Failing are the backend servers that this VM considers failing or leaving.
	Failing []string `cbor:"14,keyasint,omitempty"`
	// RecentUses are the units that recently had requests on this VM. Each use is repeated in
	// a few consecutive digests because a digest may be lost.
	RecentUses []Use `cbor:"15,keyasint,omitempty"`
	// LongRunning are the units with a request that has been running through this VM for some
	// time. A unit is listed for as long as the request runs.
	LongRunning []string `cbor:"16,keyasint,omitempty"`
	// Refused counts the refusals on this VM since its start, by customer and code.
	Refused []RefusalCount `cbor:"17,keyasint,omitempty"`
	// Expected are the units that this VM, as their planner, expects to be ready soon. A unit
	// is listed until it is ready or its load is given up.
	Expected []ReadyExpectation `cbor:"18,keyasint,omitempty"`
	// Engines are the statuses of a bounded number of engines that this VM keeps, and of
	// those that it found draining. A sum contains only the draining ones.
	Engines []EngineReport `cbor:"19,keyasint,omitempty"`
	// Age is how long other VMs held the digest before they forwarded it, 0 if it comes from
	// its originator. All durations in the digest are relative to its creation.
	Age time.Duration `cbor:"20,keyasint,omitempty"`
	// Cell is set in a sum that the sender computed over all VMs of the named cell (see
	// internal/digest). VMs is the number of summed VMs, 0 if the digest is not a sum.
	Cell string `cbor:"21,keyasint,omitempty"`
	VMs  int    `cbor:"22,keyasint,omitempty"`
	// MinApplied is the lowest Applied of the summed VMs: all of them have applied the
	// control records up to it. It is 0 if the digest is not a sum.
	MinApplied uint64 `cbor:"23,keyasint,omitempty"`
}

// EngineReport is the short form of an engine's status. It either confirms what the receiver
// knows or makes the receiver query the engine. A VM never adopts an engine's units from
// another VM's report.
type EngineReport struct {
	// Engine is the engine's address.
	Engine string `cbor:"1,keyasint,omitempty"`
	// Version is a hash of the status without load and token, 0 if the engine did not answer;
	// see internal/fleet.
	Version uint64 `cbor:"2,keyasint,omitempty"`
	// Draining, Running and Queued are as in the status.
	Draining bool `cbor:"3,keyasint,omitempty"`
	Running  int  `cbor:"4,keyasint,omitempty"`
	Queued   int  `cbor:"5,keyasint,omitempty"`
	// Age is how long before the sending the engine reported the status.
	Age time.Duration `cbor:"6,keyasint,omitempty"`
}

// Use is the newest request for a unit on an entry VM.
type Use struct {
	Unit string `cbor:"1,keyasint,omitempty"`
	// Age is how long before the sending the request arrived.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
}

// ReadyExpectation is when a unit that is being loaded is expected to be ready.
type ReadyExpectation struct {
	Unit string `cbor:"1,keyasint,omitempty"`
	// ReadyIn is the expected time from the sending until the unit is ready.
	ReadyIn time.Duration `cbor:"2,keyasint,omitempty"`
	// Number is unique among the expectations of one start of a VM.
	Number uint64 `cbor:"3,keyasint,omitempty"`
}

// RefusalCount counts the refusals of a customer's requests with one code.
type RefusalCount struct {
	Customer string `cbor:"1,keyasint,omitempty"`
	Code     string `cbor:"2,keyasint,omitempty"`
	Count    uint64 `cbor:"3,keyasint,omitempty"`
}

// Demand describes the requests that wait for a unit on an entry VM.
type Demand struct {
	Unit     string `cbor:"1,keyasint,omitempty"`
	Customer string `cbor:"2,keyasint,omitempty"`
	Waiting  int    `cbor:"3,keyasint,omitempty"`
	// Deadline is the shortest time left of any of them when the message was sent.
	Deadline time.Duration `cbor:"4,keyasint,omitempty"`
	// Priority is the highest priority of any of them.
	Priority int `cbor:"5,keyasint,omitempty"`
}

// Usage is a customer's traffic on an entry VM.
type Usage struct {
	Customer string `cbor:"1,keyasint,omitempty"`
	// AdmittedRate and DemandRate are the admitted and the arriving requests per second,
	// smoothed over one second.
	AdmittedRate float64 `cbor:"2,keyasint,omitempty"`
	DemandRate   float64 `cbor:"3,keyasint,omitempty"`
}

// Record is a record of the control stream as read from the log.
type Record struct {
	Offset uint64    `cbor:"1,keyasint,omitempty"`
	Time   time.Time `cbor:"2,keyasint,omitempty"`
	Data   []byte    `cbor:"3,keyasint,omitempty"`
}

// Records is the answer to a request for control records.
type Records struct {
	Records []Record `cbor:"1,keyasint,omitempty"`
	// Snapshot is set instead of Records if the requested records are no longer available. It
	// holds the log records that carry a snapshot of the sender's state.
	Snapshot [][]byte `cbor:"2,keyasint,omitempty"`
	// ReachedAgo is how long ago the log last answered the sender, or the VM that reads the
	// log for the sender.
	ReachedAgo time.Duration `cbor:"3,keyasint,omitempty"`
}

// UnitHistory is a unit's usage history as its planner recorded it. Its fields must equal
// those of placement.History because values are converted between the two types. Its ages are
// relative to the sending.
type UnitHistory struct {
	Unit      string                   `cbor:"1,keyasint,omitempty"`
	LastAgo   time.Duration            `cbor:"2,keyasint,omitempty"`
	WokeAgo   time.Duration            `cbor:"3,keyasint,omitempty"`
	HoldFor   time.Duration            `cbor:"4,keyasint,omitempty"`
	Gaps      []float32                `cbor:"5,keyasint,omitempty"`
	Mean      float64                  `cbor:"6,keyasint,omitempty"`
	Deviation float64                  `cbor:"7,keyasint,omitempty"`
	Regular   int                      `cbor:"8,keyasint,omitempty"`
	Bins      map[int16]float64        `cbor:"9,keyasint,omitempty"`
	Days      float64                  `cbor:"10,keyasint,omitempty"`
	Day       int64                    `cbor:"11,keyasint,omitempty"`
	LoadTimes map[string]time.Duration `cbor:"12,keyasint,omitempty"`
}

// ClaimQuery asks a peer about an idempotency key.
type ClaimQuery struct {
	Customer string `cbor:"1,keyasint,omitempty"`
	Key      string `cbor:"2,keyasint,omitempty"`
	// Shard is the stream of claims that holds the key.
	Shard int `cbor:"3,keyasint,omitempty"`
}

// ClaimReply is what a peer knows of the claims of an idempotency key.
type ClaimReply struct {
	// Applied is the newest offset of the shard's stream that the peer has applied. The peer
	// has dispatched no call for a claim after it.
	Applied uint64 `cbor:"1,keyasint,omitempty"`
	// Held is whether the peer knows a claim of the key.
	Held bool `cbor:"2,keyasint,omitempty"`
	// Uptime is how long the peer's process has been running. The process doesn't know what
	// its predecessor on the VM dispatched.
	Uptime time.Duration `cbor:"3,keyasint,omitempty"`
}

// ClaimCall sends one entry of a claim shard's stream to a VM that holds the shard.
type ClaimCall struct {
	// Shard is the index of the stream, of Shards streams in total. A peer that is configured
	// with another total holds none of them.
	Shard  int `cbor:"1,keyasint,omitempty"`
	Shards int `cbor:"2,keyasint,omitempty"`
	// Record is an idempotency.Record with one entry.
	Record []byte `cbor:"3,keyasint,omitempty"`
}

// ClaimState is the state of a claim as a holder knows it.
type ClaimState int

const (
	// ClaimNotHolder means that the peer doesn't hold the shard or can't reach the log. It
	// has not proposed the claim in this call.
	ClaimNotHolder ClaimState = iota
	// ClaimWon means that the claim holds its key.
	ClaimWon
	// ClaimPending means that the claim, or the outcome of the claim that holds the key, is
	// pending. The caller should repeat the call with the same claim.
	ClaimPending
	// ClaimAnswered means that the claimed call has run, and its answer is available.
	ClaimAnswered
	// ClaimStale means that the claim was made before a release of the key that its claimer
	// had not seen.
	ClaimStale
	// ClaimConflict means that the key was used for a different request.
	ClaimConflict
	// ClaimUnknown means that the process that holds the key no longer exists, so the outcome
	// is unknown.
	ClaimUnknown
	// ClaimInvalid means that the claim is malformed.
	ClaimInvalid
)

// ClaimResult is a holder's answer to a claim.
type ClaimResult struct {
	State ClaimState `cbor:"1,keyasint,omitempty"`
	// Revision is the log revision of a claim that won.
	Revision uint64 `cbor:"2,keyasint,omitempty"`
	// Answer is an idempotency.Record with the outcome of an answered call.
	Answer []byte `cbor:"3,keyasint,omitempty"`
	// Applied is the newest offset of the stream that the holder has applied.
	Applied uint64 `cbor:"4,keyasint,omitempty"`
}

// Peer calls other entry VMs by their addresses.
type Peer interface {
	// Exchange sends digests that the receiver should know and returns digests that the
	// receiver knows.
	Exchange(ctx context.Context, address string, digests []Digest) ([]Digest, error)
	// Want reports immediately that requests wait for a unit.
	Want(ctx context.Context, address string, from string, demand []Demand) error
	// Histories sends the usage histories of units that the receiver plans, or will plan
	// after the sender has shut down.
	Histories(ctx context.Context, address string, histories []UnitHistory) error
	// Records requests control records from the given offset on. If there are none, the
	// answer waits for them for up to wait, at most one second.
	Records(ctx context.Context, address string, from uint64, wait time.Duration) (Records, error)
	// Claimed asks what a peer knows of a claim while the log is unreachable.
	Claimed(ctx context.Context, address string, query ClaimQuery) (ClaimReply, error)
	// Claim asks a holder to claim a key for the sender. The same claim may be sent to
	// several holders, and repeatedly. The holder waits for a short time for the result.
	Claim(ctx context.Context, address string, call ClaimCall) (ClaimResult, error)
	// Settle asks a holder to store an outcome or to release a claim, and returns whether
	// this is in the log.
	Settle(ctx context.Context, address string, call ClaimCall) (stored bool, err error)
}

// Handler handles the messages of other entry VMs.
type Handler interface {
	Exchange(digests []Digest) []Digest
	Want(from string, demand []Demand)
	Histories(histories []UnitHistory)
	Records(from uint64, wait time.Duration) (Records, error)
	Claimed(query ClaimQuery) ClaimReply
	Claim(call ClaimCall) ClaimResult
	Settle(call ClaimCall) (stored bool)
}
