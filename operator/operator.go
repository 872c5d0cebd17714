// Package operator is the peer package for operators: they publish contracts and
// ask how the system is. Operator is what the entry VM does for them; NewHandler
// serves it over HTTP with JSON, and Client is the same Operator at a distance.
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
	// ErrBadRequest says that the request itself makes no sense; nothing was
	// published.
	ErrBadRequest = errs.New("bad request")
	// ErrUnauthorized says that the token is missing or wrong.
	ErrUnauthorized = errs.New("unauthorized")
	// ErrNotFound says that there is no contract for the customer.
	ErrNotFound = errs.New("not found")
	// ErrUnavailable says that the entry VM cannot do it now, as it has no state
	// yet or can't reach the log. Nothing was published.
	ErrUnavailable = errs.New("unavailable")
	// ErrOutcomeUnknown says that a publish may or may not have taken effect.
	// Asking again with the same ChangeID gives the first result.
	ErrOutcomeUnknown = errs.New("outcome unknown")
)

// Operator is what an entry VM does for operators.
type Operator interface {
	// Publish proposes a change of a contract and waits for its result. It fails
	// with ErrBadRequest, ErrUnavailable or ErrOutcomeUnknown. A repeated request
	// (same ChangeID) gets the result of the first, at any entry VM.
	Publish(ctx context.Context, request PublishRequest) (PublishResult, error)
	// Contracts lists all contracts by customer. It fails with ErrUnavailable.
	Contracts(ctx context.Context) ([]ContractSummary, error)
	// Contract returns a customer's contract in force. It fails with ErrNotFound
	// or ErrUnavailable. A removed contract is found, without sections.
	Contract(ctx context.Context, customer string) (ContractInForce, error)
	// History returns the accepted versions that the log still keeps, newest
	// first. It fails with ErrNotFound or ErrUnavailable.
	History(ctx context.Context, customer string) ([]HistoryEntry, error)
	// Status tells how the system is, seen from this entry VM. It doesn't fail
	// with the log out of reach.
	Status(ctx context.Context) (StatusReport, error)
}

// PublishRequest is a change of one customer's contract.
type PublishRequest struct {
	// ChangeID is the operator's own identity of the change; a repeat carries
	// the same one, another change another one.
	ChangeID string `json:"change_id"`
	Customer string `json:"customer"`
	// Base is the version that the change was made on; 0: no contract yet.
	Base state.Revision `json:"base"`
	// Sections carries the changed sections as contract.Split gives them; an
	// empty text removes the section.
	Sections map[string]string `json:"sections,omitempty"`
	// Remove ends the contract.
	Remove bool `json:"remove,omitempty"`
}

// PublishResult is what a change came to, the same on every VM.
type PublishResult struct {
	// Verdict is applied, conflict (made on an older version), limit or invalid.
	Verdict state.Verdict `json:"verdict"`
	// Revision is the new version where the verdict is applied.
	Revision state.Revision `json:"revision"`
	// Reason explains another verdict than applied.
	Reason string `json:"reason,omitempty"`
}

// ContractSummary is a line of the list of contracts.
type ContractSummary struct {
	Customer string         `json:"customer"`
	Version  state.Revision `json:"version"`
	ChangeID string         `json:"change_id"`
	// Removed contracts keep their version.
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
	// Sections is its text by section; empty once removed.
	Sections map[string]string `json:"sections,omitempty"`
}

// HistoryEntry is one accepted version of a contract.
type HistoryEntry struct {
	Version  state.Revision `json:"version"`
	Base     state.Revision `json:"base"`
	ChangeID string         `json:"change_id"`
	// Time is when the log stored it, by the log's clock.
	Time time.Time `json:"time"`
	// Sections are the names of the changed sections, sorted.
	Sections []string `json:"sections,omitempty"`
	Removed  bool     `json:"removed,omitempty"`
}

// changeProposer starts the names of proposers that stand for one change.
const changeProposer = "change/"

// ProposalID returns the identity under which a change goes into the log. It
// depends on nothing but the ChangeID, so that a repeat through another entry VM
// folds to the outcome of the first landing.
func ProposalID(changeID string) state.ProposalID {
	return state.ProposalID{Proposer: changeProposer + changeID, Sequence: 1}
}
