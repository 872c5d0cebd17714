package state

import "bergamotreel/contract"

// State is the folded control stream. Apply changes it in place; readers need
// their own lock (internal/replica has it). Invariants, at every offset:
//
//   - For each customer and unit: rights that stand or are not yet proved gone
//     are at most the contract's replicas when each was granted.
//   - For each engine: the memory of those rights is at most the engine's when
//     each was granted.
//   - For each engine: keeper revisions only grow.
//   - For each customer: the contract's version only grows.
type State struct {
	// Applied is the offset of the last folded record.
	Applied   uint64
	Contracts map[string]*PublishedContract
	Sessions  map[SessionID]*Session
	Engines   map[string]*Engine
	// Proposers remembers the newest outcomes of each proposer.
	Proposers map[string]*Proposer
	// SkippedRecords counts records that could not be read (corrupt or from a newer
	// version).
	SkippedRecords uint64

	index index
}

// PublishedContract is a contract in force.
type PublishedContract struct {
	// Version is the revision of the newest accepted Publish.
	Version  Revision `cbor:"1,keyasint"`
	ChangeID string   `cbor:"2,keyasint"`
	// Sections is the contract's text by section.
	Sections map[string]string `cbor:"3,keyasint,omitempty"`
	// Contract is parsed from Sections; nil once removed.
	Contract *contract.Contract `json:"-" cbor:"-"`
}

// Session is an entry VM's lease on being a keeper.
type Session struct {
	ID          SessionID `cbor:"1,keyasint"`
	VM          string    `cbor:"2,keyasint"`
	Incarnation string    `cbor:"3,keyasint"`
	Domain      string    `cbor:"4,keyasint"`
	// Proposer is the process that opened the session; only it may renew or
	// close it and speak as keeper through it.
	Proposer string `cbor:"5,keyasint"`
	// LastRenewal is the revision of the newest renewal, the owner's own or a
	// collected one (or of the opening).
	LastRenewal Revision `cbor:"6,keyasint"`
	// Ended sessions keep no engine. A Settled one can send no order any more
	// and leaves Sessions at once.
	Ended   bool `cbor:"7,keyasint"`
	Settled bool `cbor:"8,keyasint"`
	// RenewalNumber is the highest Number of the collected renewals (SessionsRenew).
	RenewalNumber uint64 `cbor:"9,keyasint,omitempty"`
}

// Engine is what is agreed about one engine.
type Engine struct {
	Name string `cbor:"1,keyasint"`
	// Keeper is the revision of the newest KeeperTake; KeeperSession its
	// session, 0 once given back.
	Keeper        Revision  `cbor:"2,keyasint"`
	KeeperSession SessionID `cbor:"3,keyasint"`
	// Incarnation, Domain, MemoryBytes and ChecksTokens come from EngineMeet.
	Incarnation  string            `cbor:"4,keyasint"`
	Domain       string            `cbor:"5,keyasint"`
	MemoryBytes  int64             `cbor:"6,keyasint"`
	ChecksTokens bool              `cbor:"7,keyasint"`
	Rights       map[string]*Right `cbor:"8,keyasint"`
	// FormerSessions are the unsettled sessions that kept the engine, other than
	// KeeperSession.
	FormerSessions []SessionID `cbor:"9,keyasint,omitempty"`
	// UnfencedSessions are the Formers of the moment when the engine stopped checking
	// tokens, until they are settled. Rights were freed there on its promise to
	// refuse their late orders, so nothing new is granted meanwhile.
	UnfencedSessions []SessionID `cbor:"10,keyasint,omitempty"`

	// FencingToken is the revision of the newest KeeperTake, Grant, Want or Withdraw
	// here: the fencing token of the next order. It never goes down, unlike the
	// highest among Rights, which falls once a withdrawn right is gone.
	FencingToken Revision `cbor:"11,keyasint,omitempty"`

	// used is the memory of Rights.
	used int64
}

// Right is an engine's right to hold a replica of a unit.
type Right struct {
	Unit       string `cbor:"1,keyasint"`
	Customer   string `cbor:"2,keyasint"`
	Base       string `cbor:"3,keyasint"`
	Checkpoint string `cbor:"4,keyasint"`
	Bytes      int64  `cbor:"5,keyasint"`
	// Granted is the revision of the Grant; it names the right.
	Granted Revision `cbor:"6,keyasint"`
	// Withdrawn is the revision of the Withdraw, 0 while the right stands.
	Withdrawn Revision `cbor:"7,keyasint"`
	Wanted    bool     `cbor:"8,keyasint"`
	// UnsettledSessions are the unsettled sessions that kept the engine while the right
	// stood: each may have sent a load order for it.
	UnsettledSessions []SessionID `cbor:"9,keyasint,omitempty"`
}

// Proposer remembers outcomes, so that a retried proposal is answered as its
// first landing was.
type Proposer struct {
	// Highest is the highest sequence folded, Forgotten the highest whose
	// outcome is no longer remembered.
	HighestSequence  uint64 `cbor:"1,keyasint"`
	HighestForgotten uint64 `cbor:"2,keyasint"`
	// LastUsed is the revision of its newest folded proposal.
	LastRevision Revision `cbor:"3,keyasint"`
	// Recent are the newest outcomes in the order of landing.
	RecentOutcomes []RememberedOutcome `cbor:"4,keyasint,omitempty"`
}

// RememberedOutcome is the stored outcome of one sequence of a proposer.
type RememberedOutcome struct {
	Sequence uint64   `cbor:"1,keyasint"`
	Revision Revision `cbor:"2,keyasint"`
	Verdict  Verdict  `cbor:"3,keyasint"`
	Reason   string   `cbor:"4,keyasint,omitempty"`
}
