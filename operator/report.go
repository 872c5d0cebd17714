package operator

import (
	"time"

	"bergamotreel/state"
)

// StatusReport is how the system is, seen from one entry VM.
type StatusReport struct {
	// VM is the entry VM that answers.
	VM ReportingVM `json:"vm"`
	// Log is how far this VM is with the control stream.
	Log LogPosition `json:"log"`
	// VMs are all entry VMs that the VM list or their digests name, by ID.
	VMs []EntryVM `json:"vms"`
	// Contracts are the versions in force here, by customer.
	Contracts []ContractSummary `json:"contracts"`
	// Engines are the model engines, by name.
	Engines []Engine `json:"engines"`
	// Waiting are the units that requests wait for, on all entry VMs.
	Waiting []WaitingUnit `json:"waiting"`
	// Refusals are the requests refused by the entry VMs there are, each since its
	// start. Those of other VMs trail by some seconds.
	Refusals []RefusalCount `json:"refusals"`
}

// Self says who answers.
type ReportingVM struct {
	ID          string    `json:"id"`
	Domain      string    `json:"domain"`
	Region      string    `json:"region"`
	Incarnation string    `json:"incarnation"`
	Version     string    `json:"version"`
	StartedAt   time.Time `json:"started_at"`
	// Ready is whether new requests are taken; NotReady says why not.
	Ready          bool   `json:"ready"`
	NotReadyReason string `json:"not_ready,omitempty"`
}

// LogPosition is how far a VM has folded the control stream.
type LogPosition struct {
	// Applied is the offset of the newest record folded.
	Applied uint64 `json:"applied"`
	// End is the newest offset that the log is known to have: from the log itself,
	// or as other entry VMs have folded it.
	End uint64 `json:"end"`
	// Lag is how many records are missing here: End - Applied, at least 0.
	Lag uint64 `json:"lag"`
	// Reachable is whether the log answered the newest read.
	Reachable bool `json:"reachable"`
	// ReachedAt is when it last did; zero: never.
	LastReachedAt time.Time `json:"reached_at"`
	// Skipped counts records that could not be read.
	SkippedRecords uint64 `json:"skipped"`
}

// EntryVM is one entry VM, as its digests tell.
type EntryVM struct {
	ID     string `json:"id"`
	Domain string `json:"domain"`
	Region string `json:"region,omitempty"`
	// Applied is the newest control record that it says to have folded.
	Applied uint64 `json:"applied"`
	// Newest is the newest contract version in force there; 0 where this VM
	// can't tell.
	NewestContract state.Revision `json:"newest"`
	// HeardAt is when its newest digest came; zero: never.
	LastDigestAt time.Time `json:"heard_at"`
	// Missing VMs are on the VM list and send no digests.
	Missing bool `json:"missing,omitempty"`
	// Leaving VMs take no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// InForce tells whether a contract version is in force on the VM.
func (vm EntryVM) HasApplied(version state.Revision) bool {
	return vm.Applied >= version.Offset()
}

// Engine is one model engine.
type Engine struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Keeper is the entry VM that orders it; empty: none.
	Keeper string `json:"keeper,omitempty"`
	// Token is the keeper's fencing token.
	FencingToken state.Revision `json:"token"`
	ChecksTokens bool           `json:"checks_tokens"`
	// MemoryBytes is what it has, UsedBytes what granted rights take of it.
	MemoryBytes int64 `json:"memory_bytes"`
	UsedBytes   int64 `json:"used_bytes"`
	// Missing engines don't answer; Leaving ones get no new work.
	Missing bool   `json:"missing,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	Units   []Unit `json:"units,omitempty"`
}

// Phase is how far a unit on an engine is.
type Phase string

// Phases of a unit, from a right that is granted ahead to one not yet proved gone.
const (
	PhaseStandby   Phase = "standby"
	PhaseLoading   Phase = "loading"
	PhaseLoaded    Phase = "loaded"
	PhaseUnloading Phase = "unloading"
)

// Unit is a model or adapter that an engine has a right to hold.
type Unit struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
	Phase    Phase  `json:"phase"`
	// Since is when the entry VM that answers first saw it in its phase, as early
	// as the VM's start; zero where it doesn't watch the engine.
	PhaseSince time.Time `json:"since,omitzero"`
	Bytes      int64     `json:"bytes"`
}

// WaitingUnit is the demand for a unit.
type WaitingUnit struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
	// Requests wait on all entry VMs together.
	Requests int `json:"requests"`
	// TimeLeft is the least time until one of them is refused, in nanoseconds.
	TimeLeft time.Duration `json:"time_left_ns"`
}

// RefusalCount is how often a customer's requests were refused for a reason.
type RefusalCount struct {
	Customer string `json:"customer"`
	// Code is the refusal's code, as in package refusal.
	Code  string `json:"code"`
	Count uint64 `json:"count"`
}
