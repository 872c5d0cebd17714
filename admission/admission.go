// Package admission decides which requests an entry VM accepts, in which order
// they are dispatched to backend servers, and which are refused and when. It
// enforces each customer's contract limits over all entry VMs, shares a contended
// pool fairly between customers, and refuses a request as soon as it is known
// that it will miss its deadline.
//
// The package does no I/O and reads no clock. A Controller is not safe for
// concurrent use: its owner calls it under one lock. Rates are in requests per
// second, weights are relative shares, and a higher priority goes first.
//
// Guarantees: a ticket that Submit returned ends by exactly one of Expire, Finish
// and Cancel, and is never dropped. Every refused request did not run
// (refusal.RanNo), and its refusal says when to retry if a retry can help.
package admission

import (
	"time"

	"bergamotreel/admission/fleetload"
	"bergamotreel/refusal"
)

// Request is one request for tokens, as its entry VM received it.
type Request struct {
	// ID identifies the request on every hop.
	ID       string
	Customer string
	// Workspace is the part of the customer that the request belongs to, empty for none. It and
	// Service, the service that the request is for, are used with Config.FairWorkspaces only.
	Workspace string
	Service   string
	// Unit is the model or adapter that serves the request.
	Unit string
	// Pool is the base model of Unit. A model and its adapters share engines.
	Pool string
	// Priority orders one customer's waiting requests; higher goes first.
	Priority int
	Arrived  time.Time
	// Deadline is the latest time for the first token.
	Deadline time.Time
	// Cost is the expected work, where 1 is a typical request. 0 counts as 1.
	Cost float64
	// Target is the target for the time from Arrived to the first token, 0 for none.
	Target time.Duration
	// CallerDeadline is until when the caller waits for its answer; zero means Deadline.
	CallerDeadline time.Time
	// Trial is whether the request finds out if what it needs still crashes backend servers. The load of the
	// fleet doesn't refuse or hold it back, as many requests may wait for its result.
	Trial bool
}

// phase is a ticket's state. It moves held → queued ⇄ running → ended, and from
// any phase to ended.
type phase int

const (
	phaseHeld    phase = iota // waits for its customer's rate limit
	phaseQueued               // waits in its pool for an engine
	phaseRunning              // dispatched by Next
	phaseEnded                // finished, canceled or refused; final
)

// Ticket is an accepted request. It ends exactly once: by Finish, by Cancel, or
// by being returned from Expire. Calls on an ended ticket do nothing.
type Ticket struct {
	Request
	// Attempts counts how often Next dispatched the ticket.
	Attempts int
	// OverFairShare is whether the customer uses more than its fair share of the
	// pool. The owner must not give the pool's reserved slots to such tickets (see
	// routing.Query). Next sets it before it calls fits with the ticket.
	OverFairShare bool

	phase              phase
	flow               *flow   // its flow from its first enqueueing on
	sequence           uint64  // order of arrival on this entry VM
	chargedVirtualTime float64 // virtual time charged to the customer for the running attempt
	dispatchedAt       time.Time
	heapIndex          int // index in its pool's deadlines while it waits
	// heldForFleet is whether the ticket was held back for more urgent ones of other VMs.
	heldForFleet bool
}

// HasEnded reports whether the ticket was finished, canceled or refused.
func (t *Ticket) HasEnded() bool { return t.phase == phaseEnded }

func (t *Ticket) isWaiting() bool { return t.phase == phaseHeld || t.phase == phaseQueued }

// Outcome is the result of a dispatched request.
type Outcome struct {
	// OK is whether the whole answer was delivered.
	OK bool
	// TimeToFirstToken is measured from dispatch; 0 if no token was received.
	TimeToFirstToken time.Duration
	// ServiceTime is the time from dispatch to the end of the answer; 0 if unknown.
	ServiceTime time.Duration
}

// Expired is a ticket that Expire ended, with the answer for its caller.
type Expired struct {
	Ticket  *Ticket
	Refusal *refusal.Refusal
}

// Usage is one customer's traffic on this entry VM, smoothed over UsageWindow.
type Usage struct {
	Customer string
	// AdmittedRate and DemandRate are in requests per second. DemandRate includes
	// refused requests: the VMs divide the customer's limit in proportion to it.
	AdmittedRate, DemandRate float64
}

// PeerUsage is the sum of one customer's traffic on the other entry VMs.
type PeerUsage struct {
	// AdmittedRate and DemandRate are in requests per second.
	AdmittedRate, DemandRate float64
	// VMs is how many other entry VMs reported the customer. It is informative
	// only, as VMs leave out customers without traffic.
	VMs int
}

// Demand is the requests of one customer that wait for one unit on this VM.
type Demand struct {
	Unit     string
	Customer string
	Waiting  int
	// EarliestDeadline is the earliest deadline among the waiting requests.
	EarliestDeadline time.Time
	// Priority is the highest priority among the waiting requests.
	Priority int
}

// Config holds the policy. The zero value of a field selects its default.
type Config struct {
	// MaxQueued limits the waiting requests of all customers on this entry VM.
	// Customers below half of an even share may exceed it, by up to half of it in
	// total, so that a few customers with full queues don't exclude the others.
	MaxQueued int
	// MaxRateLimitWait limits how long a request may be held for its customer's
	// rate limit, in addition to the time in which the contract's burst refills.
	MaxRateLimitWait time.Duration
	// PeerUsageTTL is the age of the last SetPeerUsage above which this VM counts
	// as partitioned from the other entry VMs.
	PeerUsageTTL time.Duration
	// FairWorkspaces gives each workspace of a customer a flow of its own and shares services
	// fairly between workspaces (package fairshare). The customer's limits apply unchanged.
	FairWorkspaces bool
	// Fleet estimates the load of all entry VMs. With nil, each VM decides by its own queue.
	Fleet *fleetload.Estimator
}

const (
	// DefaultMaxQueued requests of a few kB each need far less than a small VM's
	// memory. At 50 dispatches per second they are over a minute of work.
	DefaultMaxQueued = 4096
	// DefaultMaxCustomerQueued applies to contracts without a queue limit.
	DefaultMaxCustomerQueued = 100
	// DefaultMaxRateLimitWait covers the second in which an unused share moves to
	// the entry VM that needs it, and another second in case that estimate is too
	// short. So a burst within the contract that arrives at a single entry VM is
	// held rather than refused.
	DefaultMaxRateLimitWait = 2 * time.Second
	// DefaultPeerUsageTTL is several digest intervals. A shorter one would mistake
	// a slow network for a partition.
	DefaultPeerUsageTTL = 3 * time.Second
	// UsageWindow is the time constant of smoothed rates. A shorter one is noisy at
	// a few requests per second; a longer one delays the return of a borrowed share.
	UsageWindow = time.Second
)

func (c Config) withDefaults() Config {
	if c.MaxQueued <= 0 {
		c.MaxQueued = DefaultMaxQueued
	}
	if c.MaxRateLimitWait <= 0 {
		c.MaxRateLimitWait = DefaultMaxRateLimitWait
	}
	if c.PeerUsageTTL <= 0 {
		c.PeerUsageTTL = DefaultPeerUsageTTL
	}
	return c
}
