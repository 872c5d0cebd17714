package entryvm

import "time"

// In a large fleet a VM does not exchange reports with each other one. In each failure
// domain a few VMs are relays: the others of the domain report to them, relays of
// different domains report to each other, and each VM hears of the rest of the fleet from
// its own domain's relays.

// Overview is what a relay tells of other VMs.
type Overview struct {
	// Relay is whether the speaker acts as a relay. Any other VM tells only of the VMs that
	// it knows, to one that took it for a relay.
	Relay bool `cbor:"1,keyasint,omitempty"`
	// Domains are the failure domains that the speaker tells of: a relay of another domain
	// only its own one, the asker's relay all of them.
	Domains []DomainView `cbor:"2,keyasint,omitempty"`
	// Sums is whether InFlight and Lacking are there; else the last ones still hold.
	HasSums bool `cbor:"9,keyasint,omitempty"`
	// InFlight is what runs on backend servers through all VMs but the asker, by unit where
	// the asker keeps the engine and with Unit "" elsewhere.
	InFlight []RunningCount `cbor:"3,keyasint,omitempty"`
	// Lacking are the engines that the asker keeps and that turned away a unit which they
	// were thought to hold.
	EnginesMissingUnits []string `cbor:"4,keyasint,omitempty"`
	// News is news of engines, with the VM process that keeps each of them; NewsNext is the
	// position after it, for the next question.
	Updates     []RelayedUpdate `cbor:"5,keyasint,omitempty"`
	UpdatesNext uint64          `cbor:"6,keyasint,omitempty"`
	// MoreNews is whether there is more after NewsNext.
	MoreUpdates bool `cbor:"11,keyasint,omitempty"`
	// Renewed are the keepers whose news still holds, unchanged.
	Renewals []UpdateRenewal `cbor:"10,keyasint,omitempty"`
	// Plan is the newest word of the VM that plans, nil where none is known.
	Plan *PlanStatus `cbor:"7,keyasint,omitempty"`
	// NewestConfig is the VM with the newest configuration known here.
	NewestConfig VMVersion `cbor:"8,keyasint,omitempty"`
}

// DomainView is what a relay knows of the VMs of a failure domain.
type DomainView struct {
	Domain string `cbor:"1,keyasint,omitempty"`
	// Silent is whether none of its VMs answers.
	Silent bool `cbor:"2,keyasint,omitempty"`
	// Version is a hash over VMs. VMs is nil where the asker has said that it knows this
	// version.
	Version uint64   `cbor:"3,keyasint,omitempty"`
	VMs     []VMView `cbor:"4,keyasint,omitempty"`
	// Base is the version that the asker has and VMs and Gone change into Version: VMs are
	// those that are new or differ, Gone the addresses of those that are there no more. 0
	// where VMs is the whole list.
	Base    uint64   `cbor:"6,keyasint,omitempty"`
	Removed []string `cbor:"7,keyasint,omitempty"`
	// Load is what runs and waits at the domain's VMs, for relays of other domains only.
	Load *Load `cbor:"5,keyasint,omitempty"`
}

// VMView is a live VM as its domain's relay knows it.
type VMView struct {
	VM          string `cbor:"1,keyasint,omitempty"`
	Address     string `cbor:"2,keyasint,omitempty"`
	Domain      string `cbor:"3,keyasint,omitempty"`
	Incarnation string `cbor:"4,keyasint,omitempty"`
	// Capacity, Leaving and Keeps are as in Report.
	Capacity   int64 `cbor:"5,keyasint,omitempty"`
	Leaving    bool  `cbor:"6,keyasint,omitempty"`
	KeptShards []int `cbor:"7,keyasint,omitempty"`
}

// VMVersion names a VM with the configuration in force there.
type VMVersion struct {
	Address       string `cbor:"1,keyasint,omitempty"`
	Configuration uint64 `cbor:"2,keyasint,omitempty"`
}

// DomainVersion names the version of a DomainView that a VM has.
type DomainVersion struct {
	Domain  string `cbor:"1,keyasint,omitempty"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
}

// Load sums up the reports of the VMs of a failure domain.
type Load struct {
	// Partial is whether only Waiting is there, and the rest still holds.
	Partial bool `cbor:"7,keyasint,omitempty"`
	// VMs is how many there are.
	VMs     int            `cbor:"1,keyasint,omitempty"`
	Running []RunningCount `cbor:"2,keyasint,omitempty"`
	Waiting []WaitingCount `cbor:"3,keyasint,omitempty"`
	Rates   []ModelRate    `cbor:"4,keyasint,omitempty"`
	Failing []FailingCount `cbor:"5,keyasint,omitempty"`
	// Lacking is as in Report.
	EnginesMissingUnits []string `cbor:"6,keyasint,omitempty"`
}

// FailingCount counts the VMs that find a backend server failing.
type FailingCount struct {
	Backend string `cbor:"1,keyasint,omitempty"`
	VMs     int    `cbor:"2,keyasint,omitempty"`
}

// RelayedNews is news of an engine with the process of its keeper.
type RelayedUpdate struct {
	Keeper string       `cbor:"1,keyasint,omitempty"`
	Update EngineUpdate `cbor:"2,keyasint,omitempty"`
}

// NewsRenewal tells that all that a keeper last said of its engines still holds.
type UpdateRenewal struct {
	Keeper string `cbor:"1,keyasint,omitempty"`
	// Sum is a hash over the engines and the versions of their news. Who has another one
	// lacks some of it.
	Checksum uint64 `cbor:"2,keyasint,omitempty"`
	// Age is how long before the sending the keeper said so.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// PlanNews is what the VM that plans tells.
type PlanStatus struct {
	VM             string          `cbor:"1,keyasint,omitempty"`
	StoreLoads     int             `cbor:"2,keyasint,omitempty"`
	ReadyEstimates []ReadyEstimate `cbor:"3,keyasint,omitempty"`
}

// NewsSeen tells a relay which of its news the speaker has: those of this start of the
// relay before the position.
type LogPosition struct {
	Incarnation string `cbor:"1,keyasint,omitempty"`
	Next        uint64 `cbor:"2,keyasint,omitempty"`
}
