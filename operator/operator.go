// Package operator is the interface for operators, who publish contracts and query
// the state of the system. An entry VM implements Operator; NewHandler serves it
// over HTTP with JSON, and Client implements Operator over HTTP.
package operator

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"bergamotreel/state"
)

// Error is the class of all errors of this package.
var Error = errs.Class("operator")

var (
	// ErrBadRequest reports that the request is malformed; nothing was published.
	ErrBadRequest = errs.New("bad request")
	// ErrUnauthorized reports that the token is missing or wrong.
	ErrUnauthorized = errs.New("unauthorized")
	// ErrNotFound reports that there is no contract for the customer, or no such path.
	ErrNotFound = errs.New("not found")
	// ErrUnavailable reports that the entry VM can't serve the request now, because it
	// has no state yet or can't reach the log. Nothing was published.
	ErrUnavailable = errs.New("unavailable")
	// ErrOutcomeUnknown reports that a publish may or may not have taken effect.
	// Repeating it with the same ChangeID returns the first result.
	ErrOutcomeUnknown = errs.New("outcome unknown")
)

// Operator is the interface of an entry VM for operators.
type Operator interface {
	// Publish proposes a change of a contract and waits for its result. It fails
	// with ErrBadRequest, ErrUnavailable or ErrOutcomeUnknown. A repeated request
	// (same ChangeID) returns the result of the first, at any entry VM.
	Publish(ctx context.Context, request PublishRequest) (PublishResult, error)
	// Contracts lists all contracts by customer. It fails with ErrUnavailable.
	Contracts(ctx context.Context) ([]ContractSummary, error)
	// Contract returns a customer's contract in force. It fails with ErrNotFound
	// or ErrUnavailable. For a removed contract it returns an entry without sections.
	Contract(ctx context.Context, customer string) (ContractInForce, error)
	// History returns the accepted versions that the log still retains, newest
	// first. It fails with ErrNotFound or ErrUnavailable.
	History(ctx context.Context, customer string) ([]HistoryEntry, error)
	// Status returns the state of the system as this entry VM sees it. It doesn't
	// fail while the log is unreachable.
	Status(ctx context.Context) (StatusReport, error)
}

// PublishRequest is a change of one customer's contract.
type PublishRequest struct {
	// ChangeID is chosen by the operator to identify the change. A repeated request
	// has the same ChangeID, each other change a different one.
	ChangeID string `json:"change_id"`
	Customer string `json:"customer"`
	// Base is the version that the change is based on; 0 means no contract yet.
	Base state.Revision `json:"base"`
	// Sections holds the changed sections as contract.Split returns them; an empty
	// text removes the section.
	Sections map[string]string `json:"sections,omitempty"`
	// Remove removes the contract.
	Remove bool `json:"remove,omitempty"`
}

// PublishResult is the result of a change, the same on every VM.
type PublishResult struct {
	// Verdict is applied, conflict (based on an older version), limit or invalid.
	Verdict state.Verdict `json:"verdict"`
	// Revision is the new version if the verdict is applied.
	Revision state.Revision `json:"revision"`
	// Reason explains a verdict other than applied.
	Reason string `json:"reason,omitempty"`
}

// ContractSummary is an entry of the list of contracts.
type ContractSummary struct {
	Customer string         `json:"customer"`
	Version  state.Revision `json:"version"`
	ChangeID string         `json:"change_id"`
	// Removed reports whether the contract was removed; it then keeps its version.
	Removed  bool `json:"removed,omitempty"`
	Models   int  `json:"models"`
	Adapters int  `json:"adapters"`
	Services int  `json:"services"`
}

// ContractInForce is a customer's newest accepted contract.
type ContractInForce struct {
	Customer string         `json:"customer"`
	Version  state.Revision `json:"version"`
	ChangeID string         `json:"change_id"`
	Removed  bool           `json:"removed,omitempty"`
	// Sections is the contract's text by section; empty if it was removed.
	Sections map[string]string `json:"sections,omitempty"`
}

// HistoryEntry is one accepted version of a contract.
type HistoryEntry struct {
	Version  state.Revision `json:"version"`
	Base     state.Revision `json:"base"`
	ChangeID string         `json:"change_id"`
	// Time is when the log stored the change, by the log's clock.
	Time time.Time `json:"time"`
	// Sections are the names of the changed sections, sorted.
	Sections []string `json:"sections,omitempty"`
	Removed  bool     `json:"removed,omitempty"`
}

// changeProposerPrefix is the prefix of proposer names that identify one change.
const changeProposerPrefix = "change/"

// ProposalID returns the id under which a change is appended to the log. It depends
// only on the ChangeID, so that a repeat through another entry VM gets the outcome
// of the first record when the state machine applies it.
func ProposalID(changeID string) state.ProposalID {
	return state.ProposalID{Proposer: changeProposerPrefix + changeID, Sequence: 1}
}
