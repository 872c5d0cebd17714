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
	VM, Address, Domain, Region string
	// Incarnation changes with each start; Sequence grows with each digest of it.
	Incarnation string
	Sequence    uint64
	// Leaving is set from the start of a graceful shutdown.
	Leaving bool
	// Applied is the offset of the newest control record folded.
	Applied uint64
	// Session and Renewal ask the relay of this VM's group to renew its session by
	// the number Renewal (state.Renewal); 0 where it renews by itself.
	Session, Renewal uint64
	// InFlight counts this VM's running requests by engine address.
	InFlight map[string]int
	// Demand is what waits here, by unit.
	Demand []Demand
	// Usage is what each customer used here lately.
	Usage []Usage
	// Failing are the backend servers that this VM finds failing or leaving.
	Failing []string
	// Used is which units had requests here lately; each use is told for a few
	// digests in a row, since one may be lost.
	Used []Use
	// Busy are the units with a request that has been running through this VM for
	// a while; one is told for as long as it runs.
	Busy []string
	// Refused counts refusals here since the start, by customer and code.
	Refused []Refused
	// Expected are the units that this VM, as their planner, expects to be ready
	// soon; one is told until it is ready or given up.
	Expected []Expected
	// Engines is what this VM learned from engines that it keeps, a bounded number,
	// and of those that it found draining; in a sum the latter only.
	Engines []EngineReport
	// Age is how long other VMs held the digest before they sent it on, 0 from
	// its maker. All durations in the digest are as of its making.
	Age time.Duration
	// Cell is set in a sum that VM made over all VMs of the named cell (see
	// internal/digest); VMs is then how many it adds up, else 0.
	Cell string
	VMs  int
	// Lowest is the lowest Applied of the VMs that a sum adds up: what every one of
	// them has folded. 0 where it is not a sum.
	Lowest uint64
}

// EngineReport is an engine's status in short. It confirms what a VM knows, or has
// it ask the engine; a VM never takes units of an engine from another VM.
type EngineReport struct {
	// Engine is its address.
	Engine string
	// Version is a hash of the status without load and token, 0 where the engine
	// did not answer; see internal/fleet.
	Version uint64
	// Draining, Running and Queued are as in the status.
	Draining        bool
	Running, Queued int
	// Ago is how long before the sending the engine said it.
	Ago time.Duration
}

// Use is the newest request for a unit on one entry VM.
type Use struct {
	Unit string
	// Ago is how long before the sending it arrived.
	Ago time.Duration
}

// Expected is when a unit that is being loaded should be ready.
type Expected struct {
	Unit string
	// In is how long after the sending.
	In time.Duration
	// Number differs for each expectation of one start of a VM.
	Number uint64
}

// Refused counts refusals of one customer with one code.
type Refused struct {
	Customer, Code string
	Count          uint64
}

// Demand is the requests that wait for a unit on one entry VM.
type Demand struct {
	Unit     string
	Customer string
	Waiting  int
	// Deadline is the earliest time left among them, at sending.
	Deadline time.Duration
	// Priority is the highest among them.
	Priority int
}

// Usage is one customer's traffic on one entry VM.
type Usage struct {
	Customer string
	// Admitted and Arrived are requests a second, smoothed over a second.
	Admitted, Arrived float64
}

// Record is one record of the control stream, as the log gave it.
type Record struct {
	Offset uint64
	Time   time.Time
	Data   []byte
}

// Records is the answer to a request for control records.
type Records struct {
	Records []Record
	// Snapshot is set instead when the records asked for are no longer held: the
	// log records that carry a snapshot of the sender's state.
	Snapshot [][]byte
	// ReachedAgo is how long ago the log last answered the sender, or whoever reads
	// it for the sender.
	ReachedAgo time.Duration
}

// UnitHistory is what a planner has learned of one unit; see placement.History,
// which has the same fields. Its ages are as of the sending.
type UnitHistory struct {
	Unit                      string
	LastAgo, WokeAgo, HoldFor time.Duration
	Gaps                      []float32
	Mean, Deviation           float64
	Regular                   int
	Bins                      map[int16]float64
	Days                      float64
	Day                       int64
	LoadTimes                 map[string]time.Duration
}

// ClaimQuery asks about one idempotency key.
type ClaimQuery struct {
	Customer, Key string
	// Shard is the stream of claims that holds the key.
	Shard int
}

// ClaimReply is what a peer knows of it.
type ClaimReply struct {
	// Applied is the newest offset of the shard's stream that the peer has folded;
	// it has dispatched no call by a claim beyond it.
	Applied uint64
	// Held is whether it knows a claim of the key.
	Held bool
	// Up is how long the peer's process has run: it knows nothing of what the
	// process before it on the VM dispatched.
	Up time.Duration
}

// ClaimCall gives a holder of a shard of claims one entry for the shard's stream.
type ClaimCall struct {
	// Shard is which of Shards streams it is for. A peer that counts another
	// number of them holds none of these.
	Shard, Shards int
	// Record is an idempotency.Record with one entry.
	Record []byte
}

// ClaimState is what a holder knows of a claim.
type ClaimState int

const (
	// ClaimElsewhere: the peer doesn't hold the shard, or can't reach the log. It
	// has not proposed the claim in this call.
	ClaimElsewhere ClaimState = iota
	// ClaimWon: the claim holds its key.
	ClaimWon
	// ClaimPending: the claim, or the outcome of the claim that holds the key, is
	// under way. Ask again with the same claim.
	ClaimPending
	// ClaimAnswered: the call has run; its answer is there.
	ClaimAnswered
	// ClaimTurnedAway: the claim was made before a release that it had not seen.
	ClaimTurnedAway
	// ClaimConflict: the key was used for another request.
	ClaimConflict
	// ClaimUnknown: the process that holds the key is gone.
	ClaimUnknown
	// ClaimInvalid: the claim is malformed.
	ClaimInvalid
)

// ClaimResult is a holder's answer to a claim.
type ClaimResult struct {
	State ClaimState
	// Revision is the claim's place if it won.
	Revision uint64
	// Answer is an idempotency.Record with the outcome of an answered call.
	Answer []byte
	// Applied is the newest offset of the stream that the holder has folded.
	Applied uint64
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
