// Package state is the replicated state machine of the platform's control
// stream. Every entry VM applies the same records in the same order, so all VMs
// reach the same state without exchanging messages. A proposal that would break
// an invariant at its place in the stream has no effect, on any VM. The package
// does no I/O and reads no clock, which keeps it deterministic.
package state

import "bergamotreel/internal/chunks"

// Revision is the position of a proposal in the control stream: the offset of its
// record and its index in that record. Revisions only grow. They serve as
// configuration versions, as lease epochs and as fencing tokens. 0 means none.
type Revision uint64

// revisionIndexBits is the number of low bits that hold the index in a record.
const revisionIndexBits = 12

// MaxProposals bounds the proposals of one record (group commit).
const MaxProposals = 1 << revisionIndexBits

// MakeRevision combines a record's offset with the index of a proposal in it.
func MakeRevision(offset uint64, index int) Revision {
	return Revision(offset<<revisionIndexBits | uint64(index))
}

// Offset returns the log offset of the record.
func (r Revision) Offset() uint64 { return uint64(r) >> revisionIndexBits }

// ProposalID identifies a proposal, so that a retry after a lost reply gets the
// outcome of the first attempt.
type ProposalID struct {
	// Proposer is unique to one start of one process.
	Proposer string `json:"p" cbor:"1,keyasint"`
	// Sequence grows by one for each new proposal of the proposer.
	Sequence uint64 `json:"s" cbor:"2,keyasint"`
}

// Record is the content of one log record: several proposals, or one chunk of a
// snapshot.
type Record struct {
	// Format is the version of the encoding. Records of a newer format are skipped
	// and counted.
	Format    int            `json:"f" cbor:"1,keyasint"`
	Proposals []Proposal     `json:"ps,omitempty" cbor:"2,keyasint,omitempty"`
	Snapshot  *SnapshotChunk `json:"sn,omitempty" cbor:"3,keyasint,omitempty"`
}

// Proposal is one change with its preconditions. Exactly one of the pointers is
// set.
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
	// SessionsRenew requires format 2.
	SessionsRenew *SessionsRenew `json:"sessions_renew,omitempty" cbor:"16,keyasint,omitempty"`
}

// Publish changes one customer's contract. It is applied only if the customer's
// newest accepted version is Base (0: no contract yet), so of two concurrent
// operators one succeeds and the other gets a conflict.
type Publish struct {
	// ChangeID is the operator's identifier of the change, with which it can ask
	// for the outcome again.
	ChangeID string   `json:"change" cbor:"1,keyasint"`
	Customer string   `json:"customer" cbor:"2,keyasint"`
	Base     Revision `json:"base" cbor:"3,keyasint"`
	// Sections carries only the changed sections of the contract, as INI text
	// keyed by section name; an empty text removes the section.
	Sections map[string]string `json:"sections,omitempty" cbor:"4,keyasint,omitempty"`
	// Remove ends the contract.
	Remove bool `json:"remove,omitempty" cbor:"5,keyasint,omitempty"`
}

// SessionID is the revision of the SessionOpen that created a session.
type SessionID = Revision

// SessionOpen starts a session of one entry VM. Engine keepers hold their
// engines through a session, so one renewal covers all of a VM's engines.
type SessionOpen struct {
	VM          string `json:"vm" cbor:"1,keyasint"`
	Incarnation string `json:"inc" cbor:"2,keyasint"`
	Domain      string `json:"domain" cbor:"3,keyasint"`
}

// SessionRenew renews a live session.
type SessionRenew struct {
	Session SessionID `json:"session" cbor:"1,keyasint"`
}

// SessionsRenew renews live sessions of several VMs: one record for all sessions
// whose renewal requests a relay received. Any process may propose it, because a
// wrong entry only delays the expiry of that session.
type SessionsRenew struct {
	// Renewals has at most MaxRenewals entries.
	Renewals Renewals `json:"renewals" cbor:"1,keyasint"`
}

// MaxRenewals bounds the renewals of one SessionsRenew. It is many times the
// number of VMs in a group that one relay serves.
const MaxRenewals = 4096

// Renewal is a request to renew one session.
type Renewal struct {
	Session SessionID `json:"session"`
	// Number is the owner's count of its renewal requests. A renewal whose number
	// is not above the session's newest has no effect, so a record that is
	// appended late or twice has none.
	Number uint64 `json:"number"`
}

// SessionClose ends a session at its owner's request and releases all its
// engines. It also states that every order sent under the session was answered
// and that the owner will never send another, so the session is settled. The
// owner stops sending orders before it proposes this, not when it applies it.
type SessionClose struct {
	Session SessionID `json:"session" cbor:"1,keyasint"`
}

// SessionExpire ends a session that was not renewed for its whole term. It is
// applied only if LastRenewal is still the session's newest renewal. It does not
// settle the session: the owner may be paused and still send a late order.
type SessionExpire struct {
	Session     SessionID `json:"session" cbor:"1,keyasint"`
	LastRenewal Revision  `json:"last" cbor:"2,keyasint"`
}

// SessionSettle states that no order of an ended session can arrive any more,
// because its VM has been absent from the VM list for longer than the maximum
// message lifetime, or because the owner itself says so. The log holds no proof
// of that, so the state machine trusts the proposer: a false SessionSettle or
// EngineRemove is the only way to free capacity that a late order may still fill.
// lease.Departures creates both.
type SessionSettle struct {
	Session SessionID `json:"session" cbor:"1,keyasint"`
}

// KeeperAcquire makes the session the engine's keeper. It is applied only if the
// session is live, the engine's keeper is Previous (0: none), and that keeper's
// session has ended or is the proposer's own. Its revision is the new keeper's
// fencing token.
type KeeperAcquire struct {
	Engine   string    `json:"engine" cbor:"1,keyasint"`
	Session  SessionID `json:"session" cbor:"2,keyasint"`
	Previous Revision  `json:"prev" cbor:"3,keyasint"`
}

// KeeperRelease makes the engine available to another keeper.
type KeeperRelease struct {
	Engine string   `json:"engine" cbor:"1,keyasint"`
	Keeper Revision `json:"keeper" cbor:"2,keyasint"`
	// Settled states that every order of the session to this engine was answered
	// and that no other will be sent under this keeper, so the session no longer
	// delays ConfirmUnload on this engine. The owner stops sending orders before it
	// proposes this, not when it applies it: an order sent in between would make
	// the statement false.
	Settled bool `json:"settled,omitempty" cbor:"3,keyasint,omitempty"`
}

// EngineReport records the properties that an engine reports: at first contact,
// after it restarts, and when they change. Only its keeper may propose it.
type EngineReport struct {
	Engine       string   `json:"engine" cbor:"1,keyasint"`
	Keeper       Revision `json:"keeper" cbor:"2,keyasint"`
	Incarnation  string   `json:"inc" cbor:"3,keyasint"`
	Domain       string   `json:"domain" cbor:"4,keyasint"`
	MemoryBytes  int64    `json:"mem" cbor:"5,keyasint"`
	ChecksTokens bool     `json:"checks,omitempty" cbor:"6,keyasint,omitempty"`
}

// EngineRemove deletes an engine and its rights after its VM has been absent from
// the VM list for longer than the maximum message lifetime. Any session may
// propose it. It is applied only if FencingToken and Incarnation still match the
// engine; they don't if the VM came back and the engine got a keeper, a report or
// a grant since.
type EngineRemove struct {
	Engine       string   `json:"engine" cbor:"1,keyasint"`
	FencingToken Revision `json:"newest" cbor:"2,keyasint"`
	Incarnation  string   `json:"inc,omitempty" cbor:"3,keyasint,omitempty"`
}

// Grant gives an engine the right to hold a replica of a unit (a model or an
// adapter). It is applied only if Keeper is the engine's keeper, the customer's
// contract allows another replica and its memory, the engine has enough free
// memory, and the base of an adapter is granted on the same engine. Rights belong
// to the engine, not to the keeper, so a new keeper repeats the same load on the
// same engine.
type Grant struct {
	Engine   string   `json:"engine" cbor:"1,keyasint"`
	Keeper   Revision `json:"keeper" cbor:"2,keyasint"`
	Customer string   `json:"customer" cbor:"3,keyasint"`
	Unit     string   `json:"unit" cbor:"4,keyasint"`
	// Wanted is whether to load the unit now; false grants a standby right.
	Wanted bool `json:"wanted,omitempty" cbor:"5,keyasint,omitempty"`
}

// SetWanted switches a right between loading the unit and standby, in which the
// engine keeps only the right.
type SetWanted struct {
	Engine string   `json:"engine" cbor:"1,keyasint"`
	Keeper Revision `json:"keeper" cbor:"2,keyasint"`
	Unit   string   `json:"unit" cbor:"3,keyasint"`
	Right  Revision `json:"right" cbor:"4,keyasint"`
	Wanted bool     `json:"wanted" cbor:"5,keyasint"`
}

// Withdraw ends a right. The right counts against the memory and replica limits
// until ConfirmUnload. The revision of the Withdraw is the fencing token of the
// unload order.
type Withdraw struct {
	Engine string   `json:"engine" cbor:"1,keyasint"`
	Keeper Revision `json:"keeper" cbor:"2,keyasint"`
	Unit   string   `json:"unit" cbor:"3,keyasint"`
	Right  Revision `json:"right" cbor:"4,keyasint"`
}

// ConfirmUnload states that the engine does not hold a withdrawn unit and that no
// order that could load it again can still arrive. Its proposer must have seen the
// engine without the unit after an unload at the Withdraw's revision, and every
// order of its own session for the unit must have been answered.
//
// For an engine that does not check tokens it is applied only if every other
// session that kept the engine while the right existed is settled. The proposer
// must have applied those settlements before it queried the engine, because a
// former keeper's last load may arrive after an earlier answer and before the
// settlement.
type ConfirmUnload struct {
	Engine string   `json:"engine" cbor:"1,keyasint"`
	Keeper Revision `json:"keeper" cbor:"2,keyasint"`
	Unit   string   `json:"unit" cbor:"3,keyasint"`
	Right  Revision `json:"right" cbor:"4,keyasint"`
}

// SnapshotChunk is one chunk of a snapshot of the state just after UpTo.
type SnapshotChunk = chunks.Chunk

// Verdict classifies the outcome of a proposal.
type Verdict string

const (
	VerdictApplied  Verdict = "applied"
	VerdictConflict Verdict = "conflict" // based on an outdated version, lease or right
	VerdictLimit    Verdict = "limit"    // would exceed a limit of the contract or the engine
	VerdictInvalid  Verdict = "invalid"  // malformed, or refers to something that does not exist
)

// Outcome is the result of one proposal, the same on every VM.
type Outcome struct {
	ID       ProposalID `json:"id" cbor:"1,keyasint"`
	Verdict  Verdict    `json:"verdict" cbor:"2,keyasint"`
	Revision Revision   `json:"rev" cbor:"3,keyasint"`
	Reason   string     `json:"reason,omitempty" cbor:"4,keyasint,omitempty"`
	// Repeated is set if this is the stored outcome of an earlier application.
	Repeated bool `json:"-" cbor:"-"`
}
