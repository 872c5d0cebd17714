// Package state is the pure fold over the control stream of the platform's
// log. Every entry VM reads the same records in the same order and folds them
// with Apply, so all of them agree without talking to each other. A proposal
// that would break an invariant where it lands has no effect, the same on every
// VM. The package does no I/O and reads no clock.
package state

import "bergamotreel/internal/chunks"

// Revision is the place of a proposal in the control stream: the offset of its
// record and its index in that record. Revisions only grow. A revision serves
// as configuration version, lease epoch and fencing token alike. 0 is "none".
type Revision uint64

// revisionIndexBits is how many low bits hold the index inside one record.
const revisionIndexBits = 12

// MaxProposals bounds the proposals of one record (group commit).
const MaxProposals = 1 << revisionIndexBits

// MakeRevision joins a record's offset and the index of a proposal in it.
func MakeRevision(offset uint64, index int) Revision {
	return Revision(offset<<revisionIndexBits | uint64(index))
}

// Offset is the log offset of the record.
func (r Revision) Offset() uint64 { return uint64(r) >> revisionIndexBits }

// ProposalID identifies a proposal, so that a retry after a lost answer folds
// to the first outcome.
type ProposalID struct {
	// Proposer is unique to one start of one process.
	Proposer string `json:"p" cbor:"1,keyasint"`
	// Sequence grows by one for each new proposal of the proposer.
	Sequence uint64 `json:"s" cbor:"2,keyasint"`
}

// Record is the content of one log record: several proposals, or one part of a
// snapshot.
type Record struct {
	// Format is the version of the encoding; a newer one is skipped and counted.
	Format    int            `json:"f" cbor:"1,keyasint"`
	Proposals []Proposal     `json:"ps,omitempty" cbor:"2,keyasint,omitempty"`
	Snapshot  *SnapshotChunk `json:"sn,omitempty" cbor:"3,keyasint,omitempty"`
}

// Proposal is one change, with the preconditions it was made under. Exactly one
// of the pointers is set.
type Proposal struct {
	ID ProposalID `json:"id" cbor:"1,keyasint"`

	Publish       *Publish       `json:"publish,omitempty" cbor:"2,keyasint,omitempty"`
	SessionOpen   *SessionOpen   `json:"session_open,omitempty" cbor:"3,keyasint,omitempty"`
	SessionRenew  *SessionRenew  `json:"session_renew,omitempty" cbor:"4,keyasint,omitempty"`
	SessionClose  *SessionClose  `json:"session_close,omitempty" cbor:"5,keyasint,omitempty"`
	SessionExpire *SessionExpire `json:"session_expire,omitempty" cbor:"6,keyasint,omitempty"`
	SessionSettle *SessionSettle `json:"session_settle,omitempty" cbor:"7,keyasint,omitempty"`
	KeeperAcquire *KeeperAcquire `json:"keeper_take,omitempty" cbor:"8,keyasint,omitempty"`
	KeeperRelease *KeeperRelease `json:"keeper_give_back,omitempty" cbor:"9,keyasint,omitempty"`
	EngineReport  *EngineReport  `json:"engine_meet,omitempty" cbor:"10,keyasint,omitempty"`
	EngineRemove  *EngineRemove  `json:"engine_remove,omitempty" cbor:"11,keyasint,omitempty"`
	Grant         *Grant         `json:"grant,omitempty" cbor:"12,keyasint,omitempty"`
	SetWanted     *SetWanted     `json:"want,omitempty" cbor:"13,keyasint,omitempty"`
	Withdraw      *Withdraw      `json:"withdraw,omitempty" cbor:"14,keyasint,omitempty"`
	ConfirmUnload *ConfirmUnload `json:"gone,omitempty" cbor:"15,keyasint,omitempty"`
	// SessionsRenew is of format 2.
	SessionsRenew *SessionsRenew `json:"sessions_renew,omitempty" cbor:"16,keyasint,omitempty"`
}

// Publish changes one customer's contract. It lands only if the customer's
// newest accepted version is Base (0: no contract yet); so of two racing
// operators one wins and the other gets a conflict.
type Publish struct {
	// ChangeID is the operator's own identity of the change, for asking again.
	ChangeID string   `json:"change" cbor:"1,keyasint"`
	Customer string   `json:"customer" cbor:"2,keyasint"`
	Base     Revision `json:"base" cbor:"3,keyasint"`
	// Sections carries only the changed sections of the contract, as INI text
	// keyed by section name; an empty text removes the section.
	Sections map[string]string `json:"sections,omitempty" cbor:"4,keyasint,omitempty"`
	// Remove ends the contract.
	Remove bool `json:"remove,omitempty" cbor:"5,keyasint,omitempty"`
}

// SessionID is the revision of the SessionOpen that made a session.
type SessionID = Revision

// SessionOpen starts a session of one entry VM. Engine keepers hold their
// engines through a session, so one renewal covers all of a VM's engines.
type SessionOpen struct {
	VM          string `json:"vm" cbor:"1,keyasint"`
	Incarnation string `json:"inc" cbor:"2,keyasint"`
	Domain      string `json:"domain" cbor:"3,keyasint"`
}

// SessionRenew keeps a live session live.
type SessionRenew struct {
	Session SessionID `json:"session" cbor:"1,keyasint"`
}

// SessionsRenew keeps live sessions of several VMs live: one record for all whose
// renewals a relay heard. Any process may propose it: what it says of a session
// wrongly only has the others wait longer for an expiry.
type SessionsRenew struct {
	// Renewals are at most MaxRenewals.
	Renewals Renewals `json:"renewals" cbor:"1,keyasint"`
}

// MaxRenewals bounds the renewals of one SessionsRenew: many times the VMs of a
// group that one relay speaks for.
const MaxRenewals = 4096

// Renewal is one session's asking to be renewed.
type Renewal struct {
	Session SessionID `json:"session"`
	// Number is the owner's count of its askings. One that is not above the
	// session's newest has no effect, so a record that lands late or twice has none.
	Number uint64 `json:"number"`
}

// SessionClose ends a session by its owner's word. It gives back all engines.
// It also says that each order under it was answered and that its owner will
// never again send one, so the session is settled. The owner stops ordering
// before it proposes this, not when it folds it.
type SessionClose struct {
	Session SessionID `json:"session" cbor:"1,keyasint"`
}

// SessionExpire ends a session whose renewal was not seen for its whole term.
// It lands only if LastRenewal is still the session's newest renewal. The
// session is not settled by it: its owner may be paused and send one late order.
type SessionExpire struct {
	Session     SessionID `json:"session" cbor:"1,keyasint"`
	LastRenewal Revision  `json:"last" cbor:"2,keyasint"`
}

// SessionSettle says that no order of an ended session can arrive any more:
// its VM has been gone from the VM list for longer than a message can live, or
// its owner itself says so. The log holds no proof of that, so the fold trusts
// the proposer: a false SessionSettle or EngineRemove is the one way to free what
// a late order may still fill. lease.Departures makes both.
type SessionSettle struct {
	Session SessionID `json:"session" cbor:"1,keyasint"`
}

// KeeperAcquire makes the session the engine's keeper. It lands only if the
// session is live and the engine's keeper is Previous (0: none) and that
// keeper's session has ended or is the proposer's own. Its revision is the new
// keeper's fencing token.
type KeeperAcquire struct {
	Engine   string    `json:"engine" cbor:"1,keyasint"`
	Session  SessionID `json:"session" cbor:"2,keyasint"`
	Previous Revision  `json:"prev" cbor:"3,keyasint"`
}

// KeeperRelease frees the engine for another keeper.
type KeeperRelease struct {
	Engine string   `json:"engine" cbor:"1,keyasint"`
	Keeper Revision `json:"keeper" cbor:"2,keyasint"`
	// Settled says that each order of the session to this engine was answered
	// and that no other will be sent under this keeper: the session then no
	// longer holds up Gone there. The owner stops ordering before it proposes
	// this, not when it folds it: an order between both would break its word.
	Settled bool `json:"settled,omitempty" cbor:"3,keyasint,omitempty"`
}

// EngineReport records what an engine says of itself: at first contact, after its
// restart, or when that changed. Only its keeper may say so.
type EngineReport struct {
	Engine       string   `json:"engine" cbor:"1,keyasint"`
	Keeper       Revision `json:"keeper" cbor:"2,keyasint"`
	Incarnation  string   `json:"inc" cbor:"3,keyasint"`
	Domain       string   `json:"domain" cbor:"4,keyasint"`
	MemoryBytes  int64    `json:"mem" cbor:"5,keyasint"`
	ChecksTokens bool     `json:"checks,omitempty" cbor:"6,keyasint,omitempty"`
}

// EngineRemove forgets an engine and its rights: its VM has been gone from the
// VM list for longer than a message can live. Any session may say so. It lands
// only if Newest and Incarnation are still the engine's: a VM that came back
// since has been kept, met or granted anew.
type EngineRemove struct {
	Engine       string   `json:"engine" cbor:"1,keyasint"`
	FencingToken Revision `json:"newest" cbor:"2,keyasint"`
	Incarnation  string   `json:"inc,omitempty" cbor:"3,keyasint,omitempty"`
}

// Grant gives an engine the right to hold a replica of a unit (a model or an
// adapter). It lands only if Keeper is the engine's keeper, the customer's
// contract allows one more replica and the memory, the engine has room, and the
// base of an adapter is granted there. Rights belong to the engine, not to the
// keeper, so a takeover repeats the same load on the same engine.
type Grant struct {
	Engine   string   `json:"engine" cbor:"1,keyasint"`
	Keeper   Revision `json:"keeper" cbor:"2,keyasint"`
	Customer string   `json:"customer" cbor:"3,keyasint"`
	Unit     string   `json:"unit" cbor:"4,keyasint"`
	// Wanted is whether to load now; false grants a standby right.
	Wanted bool `json:"wanted,omitempty" cbor:"5,keyasint,omitempty"`
}

// SetWanted switches a standby right between "load it" and "keep only the right".
type SetWanted struct {
	Engine string   `json:"engine" cbor:"1,keyasint"`
	Keeper Revision `json:"keeper" cbor:"2,keyasint"`
	Unit   string   `json:"unit" cbor:"3,keyasint"`
	Right  Revision `json:"right" cbor:"4,keyasint"`
	Wanted bool     `json:"wanted" cbor:"5,keyasint"`
}

// Withdraw ends a right. Its memory and its place among the replicas stay taken
// until Gone. Its revision is the fencing token of the unload order.
type Withdraw struct {
	Engine string   `json:"engine" cbor:"1,keyasint"`
	Keeper Revision `json:"keeper" cbor:"2,keyasint"`
	Unit   string   `json:"unit" cbor:"3,keyasint"`
	Right  Revision `json:"right" cbor:"4,keyasint"`
}

// ConfirmUnload says that the engine does not hold a withdrawn unit and no order that
// could bring it back can still arrive. Its proposer must have seen the engine
// without the unit after an unload at the Withdraw's revision, and all orders of
// its own session for the unit answered. For an engine that ignores tokens it
// lands only if every other session that kept the engine while the right stood
// is settled, and its proposer must have folded that before it asked the engine:
// a former keeper's last load may arrive after an earlier answer and before the
// settling.
type ConfirmUnload struct {
	Engine string   `json:"engine" cbor:"1,keyasint"`
	Keeper Revision `json:"keeper" cbor:"2,keyasint"`
	Unit   string   `json:"unit" cbor:"3,keyasint"`
	Right  Revision `json:"right" cbor:"4,keyasint"`
}

// SnapshotChunk is one part of a snapshot of the state just after UpTo.
type SnapshotChunk = chunks.Chunk

// Verdict says what a proposal came to.
type Verdict string

const (
	VerdictApplied  Verdict = "applied"
	VerdictConflict Verdict = "conflict" // made under an older version, lease or right
	VerdictLimit    Verdict = "limit"    // would break the contract's or the engine's limit
	VerdictInvalid  Verdict = "invalid"  // malformed or naming what does not exist
)

// Outcome is the result of one proposal, the same on every VM.
type Outcome struct {
	ID       ProposalID `json:"id" cbor:"1,keyasint"`
	Verdict  Verdict    `json:"verdict" cbor:"2,keyasint"`
	Revision Revision   `json:"rev" cbor:"3,keyasint"`
	Reason   string     `json:"reason,omitempty" cbor:"4,keyasint,omitempty"`
	// Repeated is whether this is the stored outcome of an earlier landing.
	Repeated bool `json:"-" cbor:"-"`
}
