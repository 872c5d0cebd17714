// Package entryvm is the peer package for other entry VMs: digests of demand,
// load and liveness, and records of the control stream for a VM that cannot
// reach the log.
package entryvm

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("entryvm")

// Digest is what one entry VM tells the others of itself, a few times a second.
type Digest struct {
	// VM, Address, Domain and Region say who speaks; Address is IP:port of net/rpc.
	VM      string `cbor:"1,keyasint,omitempty"`
	Address string `cbor:"2,keyasint,omitempty"`
	Domain  string `cbor:"3,keyasint,omitempty"`
	Region  string `cbor:"4,keyasint,omitempty"`
	// Incarnation changes with each start; Sequence grows with each digest of it.
	Incarnation string `cbor:"5,keyasint,omitempty"`
	Sequence    uint64 `cbor:"6,keyasint,omitempty"`
	// Leaving is set from the start of a graceful shutdown.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// Applied is the offset of the newest control record folded.
	Applied uint64 `cbor:"8,keyasint,omitempty"`
	// Session and Renewal ask the relay of this VM's group to renew its session by
	// the number Renewal (state.Renewal); 0 where it renews by itself.
	Session uint64 `cbor:"9,keyasint,omitempty"`
	Renewal uint64 `cbor:"10,keyasint,omitempty"`
	// InFlight counts this VM's running requests by engine address.
	InFlight map[string]int `cbor:"11,keyasint,omitempty"`
	// Demand is what waits here, by unit.
	Demand []Demand `cbor:"12,keyasint,omitempty"`
	// Usage is what each customer used here lately.
	Usage []Usage `cbor:"13,keyasint,omitempty"`
	// Failing are the backend servers that this VM finds failing or leaving.
	Failing []string `cbor:"14,keyasint,omitempty"`
	// Used is which units had requests here lately; each use is told for a few
	// digests in a row, since one may be lost.
	RecentUses []Use `cbor:"15,keyasint,omitempty"`
	// Busy are the units with a request that has been running through this VM for
	// a while; one is told for as long as it runs.
	LongRunning []string `cbor:"16,keyasint,omitempty"`
	// Refused counts refusals here since the start, by customer and code.
	Refused []RefusalCount `cbor:"17,keyasint,omitempty"`
	// Expected are the units that this VM, as their planner, expects to be ready
	// soon; one is told until it is ready or given up.
	Expected []ReadyExpectation `cbor:"18,keyasint,omitempty"`
	// Engines is what this VM learned from engines that it keeps, a bounded number,
	// and of those that it found draining; in a sum the latter only.
	Engines []EngineReport `cbor:"19,keyasint,omitempty"`
	// Age is how long other VMs held the digest before they sent it on, 0 from
	// its maker. All durations in the digest are as of its making.
	Age time.Duration `cbor:"20,keyasint,omitempty"`
	// Cell is set in a sum that VM made over all VMs of the named cell (see
	// internal/digest); VMs is then how many it adds up, else 0.
	Cell string `cbor:"21,keyasint,omitempty"`
	VMs  int    `cbor:"22,keyasint,omitempty"`
	// Lowest is the lowest Applied of the VMs that a sum adds up: what every one of
	// them has folded. 0 where it is not a sum.
	MinApplied uint64 `cbor:"23,keyasint,omitempty"`
}

// EngineReport is an engine's status in short. It confirms what a VM knows, or has
// it ask the engine; a VM never takes units of an engine from another VM.
type EngineReport struct {
	// Engine is its address.
	Engine string `cbor:"1,keyasint,omitempty"`
	// Version is a hash of the status without load and token, 0 where the engine
	// did not answer; see internal/fleet.
	Version uint64 `cbor:"2,keyasint,omitempty"`
	// Draining, Running and Queued are as in the status.
	Draining bool `cbor:"3,keyasint,omitempty"`
	Running  int  `cbor:"4,keyasint,omitempty"`
	Queued   int  `cbor:"5,keyasint,omitempty"`
	// Ago is how long before the sending the engine said it.
	Age time.Duration `cbor:"6,keyasint,omitempty"`
}

// Use is the newest request for a unit on one entry VM.
type Use struct {
	Unit string `cbor:"1,keyasint,omitempty"`
	// Ago is how long before the sending it arrived.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
}

// Expected is when a unit that is being loaded should be ready.
type ReadyExpectation struct {
	Unit string `cbor:"1,keyasint,omitempty"`
	// In is how long after the sending.
	ReadyIn time.Duration `cbor:"2,keyasint,omitempty"`
	// Number differs for each expectation of one start of a VM.
	Number uint64 `cbor:"3,keyasint,omitempty"`
}

// Refused counts refusals of one customer with one code.
type RefusalCount struct {
	Customer string `cbor:"1,keyasint,omitempty"`
	Code     string `cbor:"2,keyasint,omitempty"`
	Count    uint64 `cbor:"3,keyasint,omitempty"`
}

// Demand is the requests that wait for a unit on one entry VM.
type Demand struct {
	Unit     string `cbor:"1,keyasint,omitempty"`
	Customer string `cbor:"2,keyasint,omitempty"`
	Waiting  int    `cbor:"3,keyasint,omitempty"`
	// Deadline is the earliest time left among them, at sending.
	Deadline time.Duration `cbor:"4,keyasint,omitempty"`
	// Priority is the highest among them.
	Priority int `cbor:"5,keyasint,omitempty"`
}

// Usage is one customer's traffic on one entry VM.
type Usage struct {
	Customer string `cbor:"1,keyasint,omitempty"`
	// Admitted and Arrived are requests a second, smoothed over a second.
	AdmittedRate float64 `cbor:"2,keyasint,omitempty"`
	DemandRate   float64 `cbor:"3,keyasint,omitempty"`
}

// Record is one record of the control stream, as the log gave it.
type Record struct {
	Offset uint64    `cbor:"1,keyasint,omitempty"`
	Time   time.Time `cbor:"2,keyasint,omitempty"`
	Data   []byte    `cbor:"3,keyasint,omitempty"`
}

// Records is the answer to a request for control records.
type Records struct {
	Records []Record `cbor:"1,keyasint,omitempty"`
	// Snapshot is set instead when the records asked for are no longer held: the
	// log records that carry a snapshot of the sender's state.
	Snapshot [][]byte `cbor:"2,keyasint,omitempty"`
	// ReachedAgo is how long ago the log last answered the sender, or whoever reads
	// it for the sender.
	ReachedAgo time.Duration `cbor:"3,keyasint,omitempty"`
}

// UnitHistory is what a planner has learned of one unit; see placement.History,
// which has the same fields. Its ages are as of the sending.
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

// ClaimQuery asks about one idempotency key.
type ClaimQuery struct {
	Customer string `cbor:"1,keyasint,omitempty"`
	Key      string `cbor:"2,keyasint,omitempty"`
	// Shard is the stream of claims that holds the key.
	Shard int `cbor:"3,keyasint,omitempty"`
}

// ClaimReply is what a peer knows of it.
type ClaimReply struct {
	// Applied is the newest offset of the shard's stream that the peer has folded;
	// it has dispatched no call by a claim beyond it.
	Applied uint64 `cbor:"1,keyasint,omitempty"`
	// Held is whether it knows a claim of the key.
	Held bool `cbor:"2,keyasint,omitempty"`
	// Up is how long the peer's process has run: it knows nothing of what the
	// process before it on the VM dispatched.
	Uptime time.Duration `cbor:"3,keyasint,omitempty"`
}

// ClaimCall gives a holder of a shard of claims one entry for the shard's stream.
type ClaimCall struct {
	// Shard is which of Shards streams it is for. A peer that counts another
	// number of them holds none of these.
	Shard  int `cbor:"1,keyasint,omitempty"`
	Shards int `cbor:"2,keyasint,omitempty"`
	// Record is an idempotency.Record with one entry.
	Record []byte `cbor:"3,keyasint,omitempty"`
}

// ClaimState is what a holder knows of a claim.
type ClaimState int

const (
	// ClaimElsewhere: the peer doesn't hold the shard, or can't reach the log. It
	// has not proposed the claim in this call.
	ClaimNotHolder ClaimState = iota
	// ClaimWon: the claim holds its key.
	ClaimWon
	// ClaimPending: the claim, or the outcome of the claim that holds the key, is
	// under way. Ask again with the same claim.
	ClaimPending
	// ClaimAnswered: the call has run; its answer is there.
	ClaimAnswered
	// ClaimTurnedAway: the claim was made before a release that it had not seen.
	ClaimStale
	// ClaimConflict: the key was used for another request.
	ClaimConflict
	// ClaimUnknown: the process that holds the key is gone.
	ClaimUnknown
	// ClaimInvalid: the claim is malformed.
	ClaimInvalid
)

// ClaimResult is a holder's answer to a claim.
type ClaimResult struct {
	State ClaimState `cbor:"1,keyasint,omitempty"`
	// Revision is the claim's place if it won.
	Revision uint64 `cbor:"2,keyasint,omitempty"`
	// Answer is an idempotency.Record with the outcome of an answered call.
	Answer []byte `cbor:"3,keyasint,omitempty"`
	// Applied is the newest offset of the stream that the holder has folded.
	Applied uint64 `cbor:"4,keyasint,omitempty"`
}

// Peer talks to other entry VMs by their address.
type Peer interface {
	// Exchange sends the digests that the receiver should know and returns what
	// it knows in turn.
	Exchange(ctx context.Context, address string, digests []Digest) ([]Digest, error)
	// Want tells a peer at once that requests wait for a unit.
	Want(ctx context.Context, address string, from string, demand []Demand) error
	// Histories tells what was learned of units that the peer plans, or will plan
	// once the sender is gone.
	Histories(ctx context.Context, address string, histories []UnitHistory) error
	// Records asks for control records from the given offset on. With none there the
	// answer waits up to wait, a second at most.
	Records(ctx context.Context, address string, from uint64, wait time.Duration) (Records, error)
	// Claimed asks what a peer knows of a claim, while the log is out of reach.
	Claimed(ctx context.Context, address string, query ClaimQuery) (ClaimReply, error)
	// Claim has a holder claim a key for the sender; the same claim may be given to
	// several holders, and again. The holder waits a little for what it comes to.
	Claim(ctx context.Context, address string, call ClaimCall) (ClaimResult, error)
	// Settle has a holder store an outcome, or release a claim; it tells whether
	// that is in the log.
	Settle(ctx context.Context, address string, call ClaimCall) (stored bool, err error)
}

// Handler is what this entry VM does with the messages of its peers.
type Handler interface {
	Exchange(digests []Digest) []Digest
	Want(from string, demand []Demand)
	Histories(histories []UnitHistory)
	Records(from uint64, wait time.Duration) (Records, error)
	Claimed(query ClaimQuery) ClaimReply
	Claim(call ClaimCall) ClaimResult
	Settle(call ClaimCall) (stored bool)
}
