package state

import "bergamotreel/contract"

// State is the result of applying the control stream. Apply changes it in place,
// so concurrent readers need a lock of their own (internal/replica holds one).
// Invariants at every offset:
//
//   - For each customer and unit: when a right was granted, the number of rights,
//     including withdrawn ones whose unload was not confirmed, was within the
//     replicas that the contract allows.
//   - For each engine: when a right was granted, the memory of those rights was
//     within the engine's memory.
//   - For each engine: keeper revisions only grow.
//   - For each customer: the contract's version only grows.
type State struct {
	// Applied is the offset of the last applied record.
	Applied   uint64
	Contracts map[string]*PublishedContract
	Sessions  map[SessionID]*Session
	Engines   map[string]*Engine
	// Proposers holds the newest outcomes of each proposer.
	Proposers map[string]*Proposer
	// SkippedRecords counts records that could not be read (corrupt or from a newer
	// version).
	SkippedRecords uint64

	index index
}

// PublishedContract is the newest accepted version of a customer's contract. Once
// the contract is removed, only Version and ChangeID are set.
type PublishedContract struct {
	// Version is the revision of the newest accepted Publish.
	Version  Revision `cbor:"1,keyasint"`
	ChangeID string   `cbor:"2,keyasint"`
	// Sections holds the contract's text by section name.
	Sections map[string]string `cbor:"3,keyasint,omitempty"`
	// Contract is parsed from Sections; nil once the contract is removed.
	Contract *contract.Contract `json:"-" cbor:"-"`
}

// Session is the lease under which an entry VM is keeper of its engines.
type Session struct {
	ID          SessionID `cbor:"1,keyasint"`
	VM          string    `cbor:"2,keyasint"`
	Incarnation string    `cbor:"3,keyasint"`
	Domain      string    `cbor:"4,keyasint"`
	// Proposer is the process that opened the session. Only this process may send
	// SessionRenew and SessionClose for it and act as a keeper under it.
	Proposer string `cbor:"5,keyasint"`
	// LastRenewal is the revision of the newest renewal, from a SessionRenew or a
	// SessionsRenew, or else of the SessionOpen.
	LastRenewal Revision `cbor:"6,keyasint"`
	// Ended sessions keep no engine. No order of a Settled session can arrive any
	// more, so it is deleted from State.Sessions at once.
	Ended   bool `cbor:"7,keyasint"`
	Settled bool `cbor:"8,keyasint"`
	// RenewalNumber is the highest Renewal.Number applied from a SessionsRenew.
	RenewalNumber uint64 `cbor:"9,keyasint,omitempty"`
}

// Engine is the replicated state of one engine.
type Engine struct {
	Name string `cbor:"1,keyasint"`
	// Keeper is the revision of the newest KeeperAcquire. KeeperSession is its
	// session, 0 once the engine is released.
	Keeper        Revision  `cbor:"2,keyasint"`
	KeeperSession SessionID `cbor:"3,keyasint"`
	// Incarnation, Domain, MemoryBytes and ChecksTokens come from EngineReport.
	Incarnation  string            `cbor:"4,keyasint"`
	Domain       string            `cbor:"5,keyasint"`
	MemoryBytes  int64             `cbor:"6,keyasint"`
	ChecksTokens bool              `cbor:"7,keyasint"`
	Rights       map[string]*Right `cbor:"8,keyasint"`
	// FormerSessions are the unsettled sessions other than KeeperSession that kept
	// the engine.
	FormerSessions []SessionID `cbor:"9,keyasint,omitempty"`
	// UnfencedSessions are the sessions, until they are settled, that were in
	// FormerSessions when the engine stopped checking tokens. Rights were freed
	// because the engine would reject late orders of these sessions. It no longer
	// does, so no right is granted on it until all of them are settled.
	UnfencedSessions []SessionID `cbor:"10,keyasint,omitempty"`

	// FencingToken is the fencing token of the next order: the revision of the
	// newest KeeperAcquire, Grant, SetWanted or Withdraw for this engine. It never
	// decreases, unlike the highest revision in Rights, which decreases when a
	// withdrawn right is deleted.
	FencingToken Revision `cbor:"11,keyasint,omitempty"`

	// usedBytes is the memory that Rights take.
	usedBytes int64
}

// Right is an engine's right to hold a replica of a unit.
type Right struct {
	Unit       string `cbor:"1,keyasint"`
	Customer   string `cbor:"2,keyasint"`
	Base       string `cbor:"3,keyasint"`
	Checkpoint string `cbor:"4,keyasint"`
	Bytes      int64  `cbor:"5,keyasint"`
	// Granted is the revision of the Grant, which identifies the right.
	Granted Revision `cbor:"6,keyasint"`
	// Withdrawn is the revision of the Withdraw, 0 while the right is active.
	Withdrawn Revision `cbor:"7,keyasint"`
	Wanted    bool     `cbor:"8,keyasint"`
	// UnsettledSessions are the unsettled sessions that kept the engine while the
	// right existed. Each of them may have sent a load order for it.
	UnsettledSessions []SessionID `cbor:"9,keyasint,omitempty"`
}

// Proposer holds the recent outcomes of one proposer, so that a retried proposal
// gets the outcome of its first application.
type Proposer struct {
	// HighestSequence is the highest sequence applied, HighestForgotten the highest
	// whose outcome is no longer stored.
	HighestSequence  uint64 `cbor:"1,keyasint"`
	HighestForgotten uint64 `cbor:"2,keyasint"`
	// LastRevision is the revision of the proposer's newest applied proposal.
	LastRevision Revision `cbor:"3,keyasint"`
	// RecentOutcomes are the newest outcomes in stream order.
	RecentOutcomes []RememberedOutcome `cbor:"4,keyasint,omitempty"`
}

// RememberedOutcome is the stored outcome of one sequence of a proposer.
type RememberedOutcome struct {
	Sequence uint64   `cbor:"1,keyasint"`
	Revision Revision `cbor:"2,keyasint"`
	Verdict  Verdict  `cbor:"3,keyasint"`
	Reason   string   `cbor:"4,keyasint,omitempty"`
}
