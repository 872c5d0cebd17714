// Package admission decides which requests an entry VM takes, in which order
// they reach backend servers, and which are refused and when. It keeps each
// customer to the limits of its contract over all entry VMs, shares a contended
// pool fairly between customers, and refuses a request as soon as it is known
// that it cannot make its longest wait.
//
// The package does no I/O and reads no clock. A Controller is not safe for
// concurrent use: its owner calls it under one lock. Rates are requests a second,
// weights are shares, and priorities whole numbers of which the higher goes first.
//
// What callers may rely on: a ticket that Arrive took ends by exactly one of
// Expire, Finish and Leave, and is never dropped; every refusal is of a request
// that did not run (refusal.RanNo), and says when to come back where that can help.
package admission

import (
	"time"

	"bergamotreel/refusal"
)

// Request is one request for tokens, as its entry VM received it.
type Request struct {
	// ID identifies the request on every hop.
	ID       string
	Customer string
	// Unit is the model or adapter that answers.
	Unit string
	// Pool is the base model of Unit: the model and its adapters share engines.
	Pool string
	// Priority orders one customer's waiting requests; higher goes first.
	Priority int
	Arrived  time.Time
	// Deadline is when the longest wait for the first token ends.
	Deadline time.Time
	// Cost is the expected work; 1 is a typical request. 0 counts as 1.
	Cost float64
}

// phase is how far a ticket is. It moves held → queued ⇄ running → ended, and
// from any phase to ended.
type phase int

const (
	phaseHeld    phase = iota // waits for its customer's rate
	phaseQueued               // waits in its pool for an engine
	phaseRunning              // handed out by Next
	phaseEnded                // finished, left or refused; nothing follows
)

// Ticket is an accepted request. It ends exactly once: by Finish, by Leave, or
// as an Expired. Calls on an ended ticket do nothing.
type Ticket struct {
	Request
	// Attempts counts how often Next handed it out.
	Attempts int
	// Surplus is whether its customer uses more than its fair share of the pool.
	// The owner keeps the pool's reserve of slots free of such tickets (see
	// routing.Query). Next sets it before it asks whether the ticket fits.
	OverFairShare bool

	phase      phase
	sequence   uint64  // order of arrival on this entry VM
	charged    float64 // virtual time that the running attempt cost its customer
	dispatched time.Time
	heapIndex  int // in its pool's deadlines, while it waits
}

// Ended tells whether the ticket has had its one end.
func (t *Ticket) HasEnded() bool { return t.phase == phaseEnded }

func (t *Ticket) waits() bool { return t.phase == phaseHeld || t.phase == phaseQueued }

// Outcome is how a dispatched request ended.
type Outcome struct {
	// OK is whether the whole answer was delivered.
	OK bool
	// FirstToken is the time from dispatch to the first token; 0 if none came.
	TimeToFirstToken time.Duration
	// Served is the time from dispatch to the end of the answer; 0 if unknown.
	ServiceTime time.Duration
}

// Expired is a ticket that cannot make its longest wait, with its answer.
type Expired struct {
	Ticket  *Ticket
	Refusal *refusal.Refusal
}

// Usage is one customer's traffic on this entry VM, smoothed over UsageWindow.
type Usage struct {
	Customer string
	// Admitted and Arrived are requests a second. Arrived counts refused ones
	// too: it is the demand by which the VMs divide the customer's limit.
	AdmittedRate, DemandRate float64
}

// PeerUsage is the sum of one customer's traffic on the other entry VMs.
type PeerUsage struct {
	// Admitted and Arrived are requests a second.
	AdmittedRate, DemandRate float64
	// VMs is how many other entry VMs named the customer; it is informative, as
	// VMs leave out customers without traffic.
	VMs int
}

// Demand is the requests of one customer that wait for one unit here.
type Demand struct {
	Unit     string
	Customer string
	Waiting  int
	// Earliest is the earliest deadline among them.
	EarliestDeadline time.Time
	// Priority is the highest among them.
	Priority int
}

// Config holds the policy. The zero value of a field takes its default.
type Config struct {
	// MaxQueued bounds the waiting requests of all customers on this entry VM.
	// A customer below its even share may queue beyond it, up to half as much
	// again in all, so that a few customers' full queues shut nobody out.
	MaxQueued int
	// MaxTokenWait is how long a request may be held for its customer's rate, on
	// top of the time in which the contract's burst accrues.
	MaxRateLimitWait time.Duration
	// PeersStale is the age of SetPeers from which this VM counts as cut off.
	PeerUsageTTL time.Duration
}

const (
	// DefaultMaxQueued requests of a few kB each stay well under a small VM's
	// memory; at 50 dispatched a second they are over a minute of work.
	DefaultMaxQueued = 4096
	// DefaultCustomerQueued stands in for a contract without a queue bound.
	DefaultMaxCustomerQueued = 100
	// DefaultMaxTokenWait covers the second in which an unused share moves to
	// the entry VM that needs it, and as much for a guess that was too short. A
	// burst within the contract that meets one entry VM is thus held, not refused.
	DefaultMaxRateLimitWait = 2 * time.Second
	// DefaultPeersStale is several digests; shorter would take a slow network
	// for a partition.
	DefaultPeerUsageTTL = 3 * time.Second
	// UsageWindow is the time constant of smoothed rates. Shorter is noise at a
	// few requests a second, longer delays the giving back of a borrowed share.
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
