package operator

import (
	"time"

	"bergamotreel/state"
)

// StatusReport is the state of the system as one entry VM sees it.
type StatusReport struct {
	// VM is the entry VM that makes the report.
	VM ReportingVM `json:"vm"`
	// Log is this VM's position in the control stream.
	Log LogPosition `json:"log"`
	// VMs are the entry VMs in the VM list and those that sent digests, sorted by ID.
	VMs []EntryVM `json:"vms"`
	// Contracts are the contract versions in force on this VM, sorted by customer.
	Contracts []ContractSummary `json:"contracts"`
	// Engines are the model engines, sorted by name.
	Engines []Engine `json:"engines"`
	// Waiting are the units that requests on any entry VM wait for.
	Waiting []WaitingUnit `json:"waiting"`
	// Refusals count the requests that the live entry VMs refused, each since its
	// start. The counts of other VMs lag by some seconds.
	Refusals []RefusalCount `json:"refusals"`
}

// ReportingVM is the entry VM that makes a report.
type ReportingVM struct {
	ID          string    `json:"id"`
	Domain      string    `json:"domain"`
	Region      string    `json:"region"`
	Incarnation string    `json:"incarnation"`
	Version     string    `json:"version"`
	StartedAt   time.Time `json:"started_at"`
	// Ready reports whether the VM accepts new requests; NotReadyReason says why not.
	Ready          bool   `json:"ready"`
	NotReadyReason string `json:"not_ready,omitempty"`
}

// LogPosition is a VM's position in the control stream.
type LogPosition struct {
	// Applied is the offset of the newest record that the VM has applied.
	Applied uint64 `json:"applied"`
	// End is the newest known offset of the log, either from the log itself or from
	// the positions of other entry VMs.
	End uint64 `json:"end"`
	// Lag is the number of records still to apply: End - Applied, at least 0.
	Lag uint64 `json:"lag"`
	// Reachable reports whether the log answered the newest read.
	Reachable bool `json:"reachable"`
	// LastReachedAt is when the log last answered a read; zero means never.
	LastReachedAt time.Time `json:"reached_at"`
	// SkippedRecords counts the records that could not be decoded.
	SkippedRecords uint64 `json:"skipped"`
}

// EntryVM is one entry VM as its digests describe it.
type EntryVM struct {
	ID     string `json:"id"`
	Domain string `json:"domain"`
	Region string `json:"region,omitempty"`
	// Applied is the offset of the newest control record that it reports as applied.
	Applied uint64 `json:"applied"`
	// NewestContract is the newest contract version in force there; 0 if unknown.
	NewestContract state.Revision `json:"newest"`
	// LastDigestAt is the time of its newest digest; zero means that none arrived.
	LastDigestAt time.Time `json:"heard_at"`
	// Missing reports whether the VM is on the VM list but sends no digests.
	Missing bool `json:"missing,omitempty"`
	// Leaving reports whether the VM is about to end; it accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// HasApplied reports whether the VM has applied a contract version, which is then
// in force there.
func (vm EntryVM) HasApplied(version state.Revision) bool {
	return vm.Applied >= version.Offset()
}

// Engine is one model engine.
type Engine struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Keeper is the entry VM that sends it orders; empty means none.
	Keeper string `json:"keeper,omitempty"`
	// FencingToken is the keeper's fencing token.
	FencingToken state.Revision `json:"token"`
	ChecksTokens bool           `json:"checks_tokens"`
	// MemoryBytes is the engine's memory, UsedBytes the part that granted rights
	// occupy.
	MemoryBytes int64 `json:"memory_bytes"`
	UsedBytes   int64 `json:"used_bytes"`
	// Missing reports whether the engine doesn't answer, Leaving whether it is about
	// to end and gets no new work.
	Missing bool   `json:"missing,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	Units   []Unit `json:"units,omitempty"`
}

// Phase is the state of a unit's right on an engine.
type Phase string

// Phases of a unit, from a right that is granted in advance to an unload that is
// not yet confirmed.
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
	// PhaseSince is when the reporting VM first saw the unit in its phase, at the
	// earliest the VM's start; zero if it doesn't monitor the engine.
	PhaseSince time.Time `json:"since,omitzero"`
	Bytes      int64     `json:"bytes"`
}

// WaitingUnit is the demand for a unit that requests wait for.
type WaitingUnit struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
	// Requests is the number of waiting requests on all entry VMs together.
	Requests int `json:"requests"`
	// TimeLeft is the time until the first of them is refused, in nanoseconds.
	TimeLeft time.Duration `json:"time_left_ns"`
}

// RefusalCount is the number of a customer's requests refused with one code.
type RefusalCount struct {
	Customer string `json:"customer"`
	// Code is the code of the refusal, as in package refusal.
	Code  string `json:"code"`
	Count uint64 `json:"count"`
}
