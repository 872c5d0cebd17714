// Package routing chooses an engine for a request whose unit is already loaded. It
// requires an engine that is ready for the unit and has a free slot, and prefers
// one that has the prompt's prefix cached, is in the entry VM's failure domain and
// is neither slow nor failing.
//
// The package does no I/O; time and randomness are passed in. A Router is not
// safe for concurrent use: its owner calls it under one lock.
//
// Pick never returns an engine that is leaving, not ready for the unit, excluded
// by the query, or without a free slot as far as this entry VM knows. It returns
// no errors; false means that the request has to wait. A Router holds soft state
// only (latencies, breakers, prefixes): losing it costs performance, not
// correctness.
package routing

import (
	"time"

	"bergamotreel/routing/pace"
)

// Candidate is an engine that could take a request, with what the entry VM knows
// about it.
type Candidate struct {
	// Engine is the engine's address.
	Engine string
	Domain string
	// Version is the version of the engine's software.
	Version string
	// Weights is the version of the model's weights on the engine, 0 if unknown.
	Weights int64
	// Slots is how many requests the engine runs at once.
	Slots int
	// Ready is whether the unit is loaded on the engine.
	Ready bool
	// PermitRequired is whether the engine takes only requests with a permit. Permits is how
	// many permits this VM has.
	PermitRequired bool
	Permits        int
	// Leaving is whether the engine is shutting down; it then gets no new requests.
	Leaving bool
	// Role is the engine's role, a value of engine.Role.
	Role string
	// LoadKnown is whether Running, Queued and LoadReportedAt hold a report.
	LoadKnown       bool
	Running, Queued int
	// LoadReportedAt is when the engine made the report, by this VM's clock. Where
	// the engine's clock differs, the time of receipt may be used instead; the
	// error then makes the engine look less busy.
	LoadReportedAt time.Time
	// Indirect is whether the engine is reached through another entry VM only.
	Indirect bool
	// PeersInFlight is how many requests other entry VMs report in flight on the
	// engine.
	PeersInFlight int
	// Sharers is how many entry VMs use the engine, 0 if unknown. A VM with fewer requests in
	// flight than its share of all candidates may use its share although others use all slots.
	Sharers int
	// PeersInFlightAge is the age of PeersInFlight if many entry VMs choose by the same
	// counts. It is 0 if there are few entry VMs or the count is recent.
	PeersInFlightAge time.Duration
	// Queues is whether the backend server takes QueueLength requests beyond Slots into its own
	// queue, OwnLimit of all of them from this VM. PeersInFlight is then a mean, and a server that
	// rejected a request gets no others for RejectionRest. See package routing/backendqueue.
	Queues                bool
	QueueLength, OwnLimit int
	RejectionRest         time.Duration
	// Pace is how fast the engine writes streams of the unit's model, nil if unknown.
	Pace *pace.Distribution
}

// roleDecode is the role of engines that take no new prompts.
const roleDecode = "decode"

// Query describes a request that needs an engine.
type Query struct {
	Unit, Pool string
	// Domain is the entry VM's own failure domain.
	Domain string
	// Prefixes holds the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// Exclude holds the engines that have failed this request.
	Exclude map[string]bool
	// OverFairShare is whether the customer uses more than its fair share (see
	// admission.Ticket). Such a request must leave the pool's reserve free.
	OverFairShare bool
	// Pace is what a stream needs of its engine's pace, zero for nothing.
	Pace pace.Targets
}

// Choice is the engine that takes a request.
type Choice struct {
	Engine string
	// Reason is why the engine was chosen, for traces.
	Reason string
}

// Result describes how a request on an engine ended.
type Result struct {
	// OK is set if the whole answer arrived, Failed if the engine aborted the
	// request or did not answer. NotRun is set if the engine refused the request
	// without running it (busy, not loaded), which says nothing about the engine's
	// health. All three are false if the caller disconnected.
	OK, Failed, NotRun bool
	// Pool is the pool of the request. If empty, it is the pool of the newest
	// request on the engine.
	Pool string
	// TimeToFirstToken is the time from dispatch to the first token, 0 without one.
	TimeToFirstToken time.Duration
	// ServiceTime is the time from dispatch to the end of the whole answer, 0 if that did
	// not arrive.
	ServiceTime time.Duration
}
