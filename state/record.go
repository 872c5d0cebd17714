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
	Proposer string `json:"p"`
	// Sequence grows by one for each new proposal of the proposer.
	Sequence uint64 `json:"s"`
}

// Record is the content of one log record: several proposals, or one part of a
// snapshot.
type Record struct {
	// Format is the version of the encoding; a newer one is skipped and counted.
	Format    int            `json:"f"`
	Proposals []Proposal     `json:"ps,omitempty"`
	Snapshot  *SnapshotChunk `json:"sn,omitempty"`
}

// Proposal is one change, with the preconditions it was made under. Exactly one
// of the pointers is set.
type Proposal struct {
	ID ProposalID `json:"id"`

	Publish        *Publish        `json:"publish,omitempty"`
	SessionOpen    *SessionOpen    `json:"session_open,omitempty"`
	SessionRenew   *SessionRenew   `json:"session_renew,omitempty"`
	SessionClose   *SessionClose   `json:"session_close,omitempty"`
	SessionExpire  *SessionExpire  `json:"session_expire,omitempty"`
	SessionSettle  *SessionSettle  `json:"session_settle,omitempty"`
	KeeperTake     *KeeperTake     `json:"keeper_take,omitempty"`
	KeeperGiveBack *KeeperGiveBack `json:"keeper_give_back,omitempty"`
	EngineMeet     *EngineMeet     `json:"engine_meet,omitempty"`
	EngineRemove   *EngineRemove   `json:"engine_remove,omitempty"`
	Grant          *Grant          `json:"grant,omitempty"`
	Want           *Want           `json:"want,omitempty"`
	Withdraw       *Withdraw       `json:"withdraw,omitempty"`
	Gone           *Gone           `json:"gone,omitempty"`
}

// Publish changes one customer's contract. It lands only if the customer's
// newest accepted version is Base (0: no contract yet); so of two racing
// operators one wins and the other gets a conflict.
type Publish struct {
	// ChangeID is the operator's own identity of the change, for asking again.
	ChangeID string   `json:"change"`
	Customer string   `json:"customer"`
	Base     Revision `json:"base"`
	// Sections carries only the changed sections of the contract, as INI text
	// keyed by section name; an empty text removes the section.
	Sections map[string]string `json:"sections,omitempty"`
	// Remove ends the contract.
	Remove bool `json:"remove,omitempty"`
}

// SessionID is the revision of the SessionOpen that made a session.
type SessionID = Revision

// SessionOpen starts a session of one entry VM. Engine keepers hold their
// engines through a session, so one renewal covers all of a VM's engines.
type SessionOpen struct {
	VM          string `json:"vm"`
	Incarnation string `json:"inc"`
	Domain      string `json:"domain"`
}

// SessionRenew keeps a live session live.
type SessionRenew struct {
	Session SessionID `json:"session"`
}

// SessionClose ends a session by its owner's word. It gives back all engines.
// It also says that the owner will never again send an order under it, so the
// session is settled.
type SessionClose struct {
	Session SessionID `json:"session"`
}

// SessionExpire ends a session whose renewal was not seen for its whole term.
// It lands only if LastRenewal is still the session's newest renewal. The
// session is not settled by it: its owner may be paused and send one late order.
type SessionExpire struct {
	Session     SessionID `json:"session"`
	LastRenewal Revision  `json:"last"`
}

// SessionSettle says that no order of an ended session can arrive any more:
// its VM has been gone from the VM list for longer than a message can live, or
// its owner itself says so.
type SessionSettle struct {
	Session SessionID `json:"session"`
}

// KeeperTake makes the session the engine's keeper. It lands only if the
// session is live and the engine's keeper is Previous (0: none) and that
// keeper's session has ended or is the proposer's own. Its revision is the new
// keeper's fencing token.
type KeeperTake struct {
	Engine   string    `json:"engine"`
	Session  SessionID `json:"session"`
	Previous Revision  `json:"prev"`
}

// KeeperGiveBack frees the engine for another keeper.
type KeeperGiveBack struct {
	Engine string   `json:"engine"`
	Keeper Revision `json:"keeper"`
	// Settled says that each order of the session to this engine was answered
	// and that no other will be sent under this keeper: the session then no
	// longer holds up Gone there.
	Settled bool `json:"settled,omitempty"`
}

// EngineMeet records what an engine says of itself: at first contact, after its
// restart, or when that changed. Only its keeper may say so.
type EngineMeet struct {
	Engine       string   `json:"engine"`
	Keeper       Revision `json:"keeper"`
	Incarnation  string   `json:"inc"`
	Domain       string   `json:"domain"`
	MemoryBytes  int64    `json:"mem"`
	ChecksTokens bool     `json:"checks,omitempty"`
}

// EngineRemove forgets an engine and its rights: its VM has been gone from the
// VM list for longer than a message can live. Any session may say so.
type EngineRemove struct {
	Engine string `json:"engine"`
}

// Grant gives an engine the right to hold a replica of a unit (a model or an
// adapter). It lands only if Keeper is the engine's keeper, the customer's
// contract allows one more replica and the memory, the engine has room, and the
// base of an adapter is granted there. Rights belong to the engine, not to the
// keeper, so a takeover repeats the same load on the same engine.
type Grant struct {
	Engine   string   `json:"engine"`
	Keeper   Revision `json:"keeper"`
	Customer string   `json:"customer"`
	Unit     string   `json:"unit"`
	// Wanted is whether to load now; false grants a standby right.
	Wanted bool `json:"wanted,omitempty"`
}

// Want switches a standby right between "load it" and "keep only the right".
type Want struct {
	Engine string   `json:"engine"`
	Keeper Revision `json:"keeper"`
	Unit   string   `json:"unit"`
	Right  Revision `json:"right"`
	Wanted bool     `json:"wanted"`
}

// Withdraw ends a right. Its memory and its place among the replicas stay taken
// until Gone. Its revision is the fencing token of the unload order.
type Withdraw struct {
	Engine string   `json:"engine"`
	Keeper Revision `json:"keeper"`
	Unit   string   `json:"unit"`
	Right  Revision `json:"right"`
}

// Gone says that the engine does not hold a withdrawn unit and no order that
// could bring it back can still arrive. Its proposer must have seen the engine
// without the unit after an unload at the Withdraw's revision, and all orders of
// its own session for the unit answered. For an engine that ignores tokens it
// lands only if every other session that kept the engine while the right stood
// is settled.
type Gone struct {
	Engine string   `json:"engine"`
	Keeper Revision `json:"keeper"`
	Unit   string   `json:"unit"`
	Right  Revision `json:"right"`
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
	ID       ProposalID `json:"id"`
	Verdict  Verdict    `json:"verdict"`
	Revision Revision   `json:"rev"`
	Reason   string     `json:"reason,omitempty"`
	// Repeated is whether this is the stored outcome of an earlier landing.
	Repeated bool `json:"-"`
}
