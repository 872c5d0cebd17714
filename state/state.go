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
	Contracts map[string]*Published
	Sessions  map[SessionID]*Session
	Engines   map[string]*Engine
	// Proposers remembers the newest outcomes of each proposer.
	Proposers map[string]*Proposer
	// Skipped counts records that could not be read (corrupt or from a newer
	// version).
	Skipped uint64

	index index
}

// Published is a contract in force.
type Published struct {
	// Version is the revision of the newest accepted Publish.
	Version  Revision
	ChangeID string
	// Sections is the contract's text by section.
	Sections map[string]string `json:",omitempty"`
	// Contract is parsed from Sections; nil once removed.
	Contract *contract.Contract `json:"-"`
}

// Session is an entry VM's lease on being a keeper.
type Session struct {
	ID          SessionID
	VM          string
	Incarnation string
	Domain      string
	// Proposer is the process that opened the session; only it may renew or
	// close it and speak as keeper through it.
	Proposer string
	// LastRenewal is the revision of the newest renewal (or of the opening).
	LastRenewal Revision
	// Ended sessions keep no engine; Settled ones can send no order any more.
	Ended   bool
	Settled bool
}

// Engine is what is agreed about one engine.
type Engine struct {
	Name string
	// Keeper is the revision of the newest KeeperTake; KeeperSession its
	// session, 0 once given back.
	Keeper        Revision
	KeeperSession SessionID
	// Incarnation, Domain, MemoryBytes and ChecksTokens come from EngineMeet.
	Incarnation  string
	Domain       string
	MemoryBytes  int64
	ChecksTokens bool
	Rights       map[string]*Right
	// Formers are the unsettled sessions that kept the engine, other than
	// KeeperSession.
	Formers []SessionID `json:",omitempty"`
	// Distrusted is set when the engine stopped checking tokens while Formers
	// were left, until they are settled: rights were freed there on the engine's
	// promise to refuse their late orders, so nothing new is granted meanwhile.
	Distrusted bool `json:",omitempty"`

	// used is the memory of Rights.
	used int64
}

// Right is an engine's right to hold a replica of a unit.
type Right struct {
	Unit       string
	Customer   string
	Base       string
	Checkpoint string
	Bytes      int64
	// Granted is the revision of the Grant; it names the right.
	Granted Revision
	// Withdrawn is the revision of the Withdraw, 0 while the right stands.
	Withdrawn Revision
	Wanted    bool
	// OrderedBy are the unsettled sessions that kept the engine while the right
	// stood: each may have sent a load order for it.
	OrderedBy []SessionID `json:",omitempty"`
}

// Proposer remembers outcomes, so that a retried proposal is answered as its
// first landing was.
type Proposer struct {
	// Highest is the highest sequence folded.
	Highest uint64
	// LastUsed is the revision of its newest folded proposal.
	LastUsed Revision
	// Recent are the outcomes of the sequences in (Highest-window, Highest],
	// in the order of landing.
	Recent []Remembered `json:",omitempty"`
}

// Remembered is the stored outcome of one sequence of a proposer.
type Remembered struct {
	Sequence uint64
	Revision Revision
	Verdict  Verdict
	Reason   string `json:",omitempty"`
}
