// Package routing chooses the engine for a warm request: one that is ready for
// the unit, has the prompt's prefix cached, has a free slot, is in the caller's
// failure domain and is not slow or failing.
//
// The package does no I/O; time and randomness are passed in. A Router is not
// safe for concurrent use: its owner calls it under one lock.
//
// What callers may rely on: Pick returns no engine that is leaving, not ready for
// the unit, excluded by the query, or without a free slot by what is known here;
// it has no errors, and false means that the request has to wait. What a Router
// remembers (latency, breakers, prefixes) is soft: losing it costs speed only.
package routing

import (
	"time"
)

// Candidate is an engine that could take a request, as the entry VM knows it.
type Candidate struct {
	// Engine is the engine's address.
	Engine string
	Domain string
	// Slots is how many requests the engine runs at once.
	Slots int
	// Ready is whether the unit is loaded there.
	Ready bool
	// Limited is whether the engine takes requests with a permit only, and Permits how many
	// of them this VM has.
	PermitRequired bool
	Permits        int
	// Leaving engines get no new request.
	Leaving bool
	// Role is the engine's role, as engine.Role.
	Role string
	// LoadKnown is whether Running, Queued and LoadAt hold a report.
	LoadKnown       bool
	Running, Queued int
	// LoadAt is when the engine made the report, by this VM's clock: where the
	// engine's differs, the time of receipt errs towards a less busy engine.
	LoadReportedAt time.Time
	// PeersInFlight is how many requests other entry VMs say they run there.
	PeersInFlight int
	// PeersAge is how old PeersInFlight is where many entry VMs choose by the same news, 0
	// where they are few or it is as good as new.
	PeersInFlightAge time.Duration
}

// roleDecode is the role of engines that take no new prompt.
const roleDecode = "decode"

// Query is a request that needs an engine.
type Query struct {
	Unit, Pool string
	// Domain is the entry VM's own failure domain.
	Domain string
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// Exclude names engines that have failed this request.
	Exclude map[string]bool
	// Surplus is whether the customer uses more than its fair share (see
	// admission.Ticket): the request must leave the pool's reserve free.
	Surplus bool
}

// Choice is the engine that takes a request.
type Choice struct {
	Engine string
	// Reason tells why, for traces.
	Reason string
}

// Result is how a request on an engine ended.
type Result struct {
	// OK: the whole answer came. Failed: the engine broke it off or did not
	// answer. NotRun: the engine refused it unharmed (busy, not loaded); that
	// says nothing about its health. A caller that left sets none of them.
	OK, Failed, NotRun bool
	// Pool is the pool of the request; empty for the engine's latest one.
	Pool string
	// FirstToken is the time from dispatch to the first token; 0 if none came.
	TimeToFirstToken time.Duration
	// Took is the time from dispatch to the end of the whole answer; 0 if that did not come.
	Duration time.Duration
}
