// Package placement decides which engine holds a replica of which unit (a model
// or an adapter) and for how long. A Planner computes Decisions from a snapshot,
// the View. The caller turns them into proposals of the control stream, where
// package state checks each one again. The package does no I/O and reads no
// clock.
//
// A Planner keeps soft state only: the history of arrivals, estimates of load
// times and its recent decisions. Losing it costs time, never safety.
package placement

import "time"

// Tier is the kind of storage that an engine loads a checkpoint from.
type Tier string

// The tiers, fastest first. A checkpoint missing from Engine.Cached is remote.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)

// Unit is a model or an adapter under one customer's contract in force.
type Unit struct {
	Name string
	// Base is the model that an adapter is based on; empty for a model.
	Base       string
	Checkpoint string
	Customer   string
	// Bytes is the engine memory that one replica takes.
	Bytes                    int64
	MaxReplicas, MinReplicas int
	// StandbyPerDomain is how many rights are granted per failure domain ahead of
	// demand.
	StandbyPerDomain int
	// MaxWait is the longest time that a request may wait for its first token.
	MaxWait  time.Duration
	Priority int
}

// Holding is one right of an engine to hold a unit, with its known use. A right is the
// permission, granted in the log, to load a unit on an engine. Its memory counts as
// taken until the right has ended.
type Holding struct {
	Unit, Customer string
	// Base is the model that an adapter is based on; empty for a model.
	Base string
	// Checkpoint is the checkpoint that the right was granted for; empty means the
	// newest.
	Checkpoint string
	Bytes      int64
	// Wanted is whether the unit is to be loaded. It is false for a standby right.
	Wanted bool
	// Ready is whether the engine reports the unit as ready.
	Ready bool
	// Failed is whether the engine's keeper reports that the load failed.
	Failed bool
	// Withdrawn is whether the right is ending. Until it has ended it still takes
	// memory and counts as a replica.
	Withdrawn bool
	// Streams is the number of requests known to run on the replica now.
	Streams int
	// LastUsed is the end of the newest known request; zero if there is none.
	LastUsed time.Time
	// ReadySince is when the unit became ready; zero while it is not ready.
	ReadySince time.Time
	// Right is the revision of the grant, which identifies the right.
	Right uint64
}

// Engine is one backend server with a model engine.
type Engine struct {
	Name, Domain string
	MemoryBytes  int64
	// Slots is the number of requests that the engine runs at once.
	Slots int
	// Running is the number of requests that run on the engine; 0 means the sum of
	// its holdings' Streams.
	Running int
	// Leaving engines are drained, and Unhealthy ones get no new rights. HasKeeper
	// is whether a live VM is the engine's keeper: the one that sends it orders, which
	// are commands to load or unload a unit.
	Leaving, Reachable, Unhealthy, HasKeeper bool
	Holdings                                 []Holding
	// Cached is the tier of each cached checkpoint; absent means TierRemote.
	Cached map[string]Tier
}

// Demand describes the requests that wait for a unit at one router.
type Demand struct {
	Unit, Customer string
	Waiting        int
	// EarliestDeadline is the earliest deadline of the requests.
	EarliestDeadline time.Time
	// Priority is the highest priority of the requests.
	Priority int
	// Domain is the router's failure domain.
	Domain string
}

// StoreStatus describes the capacity and the load of the weight store.
type StoreStatus struct {
	// MaxConcurrentLoads is how many loads can run at full speed at once; 0 means
	// no limit.
	MaxConcurrentLoads int
	// LoadsPerSecond limits the rate at which loads start; 0 means no limit.
	LoadsPerSecond float64
	// Running is the number of loads that run now.
	Running int
}

// View is the snapshot that a plan is computed from. Engines are all engines;
// Units and Demand are those that this VM plans for.
type View struct {
	Now time.Time
	// LocalDomain is the failure domain of the VM that plans.
	LocalDomain string
	Engines     []Engine
	// Fleet, if set, replaces Engines. Its indices save a plan from looking at all
	// engines.
	Fleet  *Fleet
	Units  []Unit
	Demand []Demand
	Store  StoreStatus
	// RemainingBudget returns the memory in bytes that a customer's contract still
	// allows; nil means no limit.
	RemainingBudget func(customer string) int64
	// LookupUnit finds a unit of any planner, to tell what may be evicted; nil means
	// that only Units are known.
	LookupUnit func(customer, unit string) (Unit, bool)
	// LookupDemand finds the most urgent demand for a unit of any planner; nil means
	// that only Demand is known.
	LookupDemand func(unit string) (Demand, bool)
}

// DecisionKind is the kind of change that a decision proposes.
type DecisionKind string

// The kinds of decisions; each maps to one proposal of package state.
const (
	Grant    DecisionKind = "grant"    // grant a right; load the unit if Wanted is set
	Want     DecisionKind = "want"     // load the unit of a standby right
	Unwant   DecisionKind = "unwant"   // unload the unit, keep the right
	Withdraw DecisionKind = "withdraw" // end the right once its streams have ended
)

// Decision is one change to propose.
type Decision struct {
	Kind                   DecisionKind
	Engine, Unit, Customer string
	// Right is the revision of the right, for all kinds but Grant.
	Right uint64
	// Wanted is whether the decision loads the unit: set by Grant or Want.
	Wanted bool
	// Reason is shown in the log and on the operator's page.
	Reason string
	// TimeToReady is the estimated time until the unit is ready, for requests that
	// wait; 0 if the decision loads nothing.
	TimeToReady time.Duration
}
