// Package placement decides which engine holds a replica of which unit (a model
// or an adapter) and for how long. A Planner looks at a snapshot, the View, and
// returns Decisions; the caller turns them into proposals of the control
// stream, where package state checks each one again. The package does no I/O
// and reads no clock.
//
// A Planner keeps soft state only: the history of arrivals, estimates of load
// times and what it has lately proposed. Losing it costs time, never safety.
package placement

import "time"

// Tier is where an engine has a checkpoint cached.
type Tier string

// The tiers, fastest first. A checkpoint missing from Engine.Cached is remote.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)

// Unit is a model or an adapter, as one customer's contract in force has it.
type Unit struct {
	Name string
	// Base is the model an adapter sits on; empty for a model.
	Base       string
	Checkpoint string
	Customer   string
	// Bytes is what one replica takes of an engine's memory.
	Bytes                    int64
	MaxReplicas, MinReplicas int
	// StandbyPerDomain is how many rights are granted ahead per failure domain.
	StandbyPerDomain int
	// MaxWait is the longest wait for the first token.
	MaxWait  time.Duration
	Priority int
}

// Holding is one right of an engine, with what is known of its use.
type Holding struct {
	Unit, Customer string
	// Base is the model an adapter sits on; empty for a model.
	Base string
	// Checkpoint is the one the right was granted for; empty means the newest.
	Checkpoint string
	Bytes      int64
	// Wanted is false for a standby right that is not to be loaded.
	Wanted bool
	// Ready is whether the engine reports the unit as ready.
	Ready bool
	// Failed is whether its keeper knows that the load failed.
	Failed bool
	// Withdrawn rights still take their memory and their place.
	Withdrawn bool
	// Streams is how many requests are known to run on it now.
	Streams int
	// LastUsed is the end of the newest known request, zero if none.
	LastUsed time.Time
	// ReadySince is zero while it is not ready.
	ReadySince time.Time
	// Right is the revision of the grant.
	Right uint64
}

// Engine is one backend server with a model engine.
type Engine struct {
	Name, Domain string
	MemoryBytes  int64
	// Slots is how many requests it runs at once.
	Slots int
	// Running is how many requests run on it; 0 means the sum of its holdings'.
	Running int
	// Leaving engines are drained; Unhealthy ones get nothing new; HasKeeper ones have a
	// live keeper that can send orders.
	Leaving, Reachable, Unhealthy, HasKeeper bool
	Holdings                                 []Holding
	// Cached says where checkpoints are cached; absent means remote.
	Cached map[string]Tier
}

// Demand is the requests that wait for a unit at one router.
type Demand struct {
	Unit, Customer string
	Waiting        int
	// Deadline is the earliest among them.
	Deadline time.Time
	// Priority is the highest among them.
	Priority int
	// Domain is the router's failure domain.
	Domain string
}

// StoreStatus is how busy the weight store is.
type StoreStatus struct {
	// MaxConcurrentLoads is how many loads run at full speed together.
	MaxConcurrentLoads int
	// LoadsPerSecond limits the starts of loads.
	LoadsPerSecond float64
	// Running is how many loads run now.
	Running int
}

// View is the snapshot a plan is made over. Engines are all engines; Units and
// Demand are those this VM is the planner of.
type View struct {
	Now time.Time
	// LocalDomain is the planner's own failure domain.
	LocalDomain string
	Engines     []Engine
	// Fleet, if set, stands for Engines; a plan then does not look at all of
	// them. See Fleet.
	Fleet  *Fleet
	Units  []Unit
	Demand []Demand
	Store  StoreStatus
	// RemainingBudget is the memory that a customer's contract still allows, in bytes;
	// nil means no limit.
	RemainingBudget func(customer string) int64
	// LookupUnit finds any unit of any planner, for judging what to evict; nil means
	// that only Units are known.
	LookupUnit func(customer, unit string) (Unit, bool)
	// LookupDemand finds the most urgent demand for any unit of any planner; nil
	// means that only Demand is known.
	LookupDemand func(unit string) (Demand, bool)
}

// DecisionKind is what a decision asks for.
type DecisionKind string

// The kinds of decisions; each maps to one proposal of package state.
const (
	Grant    DecisionKind = "grant"    // reserve room on the engine; Wanted: and load now
	Want     DecisionKind = "want"     // load a standby right
	Unwant   DecisionKind = "unwant"   // unload, keep the right
	Withdraw DecisionKind = "withdraw" // end the right once its streams have ended
)

// Decision is one step to propose.
type Decision struct {
	Kind                   DecisionKind
	Engine, Unit, Customer string
	// Right names the right for all kinds but Grant.
	Right uint64
	// Wanted is for Grant: load now.
	Wanted bool
	// Reason is for the log and the operator's page.
	Reason string
	// TimeToReady estimates the time until the unit is ready, for requests that
	// wait; 0 if nothing is loaded by the decision.
	TimeToReady time.Duration
}
