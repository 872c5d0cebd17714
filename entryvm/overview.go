package entryvm

import "time"

// Overview is a relay's view of other VMs.
//
// In a large fleet a VM does not exchange reports with every other VM. Each failure domain
// has a few relays: the other VMs of the domain report to them, relays of different domains
// report to each other, and every VM learns about the rest of the fleet from its own domain's
// relays.
type Overview struct {
	// Relay is whether the sender acts as a relay. A VM that isn't a relay sends only
	// NewestConfig and the views that it has, for example to a VM that takes it for a relay
	// or to a relay that has no views yet.
	Relay bool `cbor:"1,keyasint,omitempty"`
	// Domains are the views of failure domains: a relay of another domain sends only that of
	// its own domain, a relay of the receiver's domain sends all.
	Domains []DomainView `cbor:"2,keyasint,omitempty"`
	// HasSums is whether InFlight and EnginesMissingUnits are set. Otherwise the last values
	// remain valid.
	HasSums bool `cbor:"9,keyasint,omitempty"`
	// InFlight counts the requests that run on backend servers through all VMs but the
	// receiver. They are counted by unit on engines that the receiver keeps, and under the
	// empty Unit elsewhere.
	InFlight []RunningCount `cbor:"3,keyasint,omitempty"`
	// EnginesMissingUnits are the engines kept by the receiver that rejected a request for a
	// unit that they were believed to hold.
	EnginesMissingUnits []string `cbor:"4,keyasint,omitempty"`
	// Updates are updates on engines, each with the process of the engine's keeper.
	// UpdatesNext is the position after them, from which the receiver continues.
	Updates     []RelayedUpdate `cbor:"5,keyasint,omitempty"`
	UpdatesNext uint64          `cbor:"6,keyasint,omitempty"`
	// MoreUpdates is whether there are further updates after UpdatesNext.
	MoreUpdates bool `cbor:"11,keyasint,omitempty"`
	// Signals are the sums of all VMs' signals. They are set with HasSums.
	Signals *LoadSignals `cbor:"12,keyasint,omitempty"`
	// Renewals confirm the keepers whose updates are unchanged and remain valid.
	Renewals []UpdateRenewal `cbor:"10,keyasint,omitempty"`
	// Plan is the newest status of the planning VM, nil if none is known.
	Plan *PlanStatus `cbor:"7,keyasint,omitempty"`
	// NewestConfig is the VM with the newest configuration that the sender knows.
	NewestConfig VMVersion `cbor:"8,keyasint,omitempty"`
}

// DomainView is a relay's view of the VMs of a failure domain.
type DomainView struct {
	Domain string `cbor:"1,keyasint,omitempty"`
	// Silent is whether none of the domain's VMs answers.
	Silent bool `cbor:"2,keyasint,omitempty"`
	// Version is a hash of VMs. VMs is nil if the receiver has stated that it knows this
	// version.
	Version uint64   `cbor:"3,keyasint,omitempty"`
	VMs     []VMView `cbor:"4,keyasint,omitempty"`
	// Base is the version that the receiver has, if VMs and Removed are the difference from
	// it to Version: VMs are then the added and changed VMs, Removed the addresses of those
	// no longer in the view. Base is 0 if VMs is the whole list.
	Base    uint64   `cbor:"6,keyasint,omitempty"`
	Removed []string `cbor:"7,keyasint,omitempty"`
	// Load is the load of the domain's VMs, sent only to relays of other domains.
	Load *Load `cbor:"5,keyasint,omitempty"`
}

// VMView is a live VM as a relay of its domain knows it.
type VMView struct {
	VM          string `cbor:"1,keyasint,omitempty"`
	Address     string `cbor:"2,keyasint,omitempty"`
	Domain      string `cbor:"3,keyasint,omitempty"`
	Incarnation string `cbor:"4,keyasint,omitempty"`
	// Capacity, Leaving, KeptShards and LostPaths are as in Report.
	Capacity   int64 `cbor:"5,keyasint,omitempty"`
	Leaving    bool  `cbor:"6,keyasint,omitempty"`
	KeptShards []int `cbor:"7,keyasint,omitempty"`
	LostPaths  bool  `cbor:"8,keyasint,omitempty"`
}

// VMVersion names a VM and the configuration version in force there.
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
	// Partial is whether only Waiting is set, and the last values of the other fields remain
	// valid.
	Partial bool `cbor:"7,keyasint,omitempty"`
	// VMs is the number of VMs.
	VMs     int            `cbor:"1,keyasint,omitempty"`
	Running []RunningCount `cbor:"2,keyasint,omitempty"`
	Waiting []WaitingCount `cbor:"3,keyasint,omitempty"`
	Rates   []ModelRate    `cbor:"4,keyasint,omitempty"`
	Failing []FailingCount `cbor:"5,keyasint,omitempty"`
	// EnginesMissingUnits are as in Report.
	EnginesMissingUnits []string     `cbor:"6,keyasint,omitempty"`
	Signals             *LoadSignals `cbor:"8,keyasint,omitempty"`
}

// FailingCount counts the VMs that consider a backend server failing.
type FailingCount struct {
	Backend string `cbor:"1,keyasint,omitempty"`
	VMs     int    `cbor:"2,keyasint,omitempty"`
}

// RelayedUpdate is an update on an engine with the process of its keeper.
type RelayedUpdate struct {
	Keeper string       `cbor:"1,keyasint,omitempty"`
	Update EngineUpdate `cbor:"2,keyasint,omitempty"`
}

// UpdateRenewal confirms that the last updates of a keeper on all its engines remain valid.
type UpdateRenewal struct {
	Keeper string `cbor:"1,keyasint,omitempty"`
	// Checksum is a hash of the engines and their update versions. A receiver with a
	// different checksum lacks some updates.
	Checksum uint64 `cbor:"2,keyasint,omitempty"`
	// Age is how long before the sending the keeper confirmed its updates.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// PlanStatus is the status that the planning VM reports.
type PlanStatus struct {
	VM             string          `cbor:"1,keyasint,omitempty"`
	StoreLoads     int             `cbor:"2,keyasint,omitempty"`
	ReadyEstimates []ReadyEstimate `cbor:"3,keyasint,omitempty"`
}

// PeerPosition is how much of a peer's updates or suspects a VM has: everything before
// position Next of the peer's incarnation.
type PeerPosition struct {
	Incarnation string `cbor:"1,keyasint,omitempty"`
	Next        uint64 `cbor:"2,keyasint,omitempty"`
}
