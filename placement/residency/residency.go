// Package residency plans which models the engines of a pool hold in memory when all
// models together nearly fit: one replica of each rarely used model, several of each busy
// one, and a swap where a requested model has none. It does no I/O; the caller passes the
// time in.
package residency

import "time"

// Source is the place from which an engine loads a model's weights.
type Source int

const (
	// SourceMemory and SourceDisk are the engine's own copies; SourceStore is the
	// weight store, which all engines share.
	SourceMemory Source = iota
	SourceDisk
	SourceStore
)

// String returns the source's name for logs.
func (s Source) String() string {
	return [...]string{"memory", "disk", "store"}[s]
}

// Replica is a model that an engine holds.
type Replica struct {
	Name string
	// Ready reports whether the replica accepts requests; otherwise it is being loaded or
	// unloaded.
	Ready bool
	// Running is the number of requests that run on this replica.
	Running int
	// FirstSeen is when this VM first saw the replica.
	FirstSeen time.Time
}

// Engine is the planner's view of an engine.
type Engine struct {
	ID, Domain string
	// Version is the version of the engine's software.
	Version string
	// CapacityBytes is the memory for all of its models together.
	CapacityBytes int64
	// Slots is how many requests the engine runs at once.
	Slots  int
	Models []Replica
	// InMemory and OnDisk are the models of which the engine has a copy of the weights.
	InMemory, OnDisk map[string]bool
	// AcceptsSwaps reports whether swaps can be sent to the engine: it is healthy, isn't
	// leaving, and a VM that answers is responsible for it. BusyFor is the expected time
	// until the swap in flight ends and it can begin another one, 0 without one.
	AcceptsSwaps bool
	BusyFor      time.Duration
	// Serving reports whether the engine accepts requests at all.
	Serving bool
	// Running is the number of requests that run on the engine, for all models.
	Running int
}

// Model describes a configured model and the demand for it.
type Model struct {
	Name  string
	Bytes int64
	// MemoryLoadTime, DiskLoadTime and StoreLoadTime are how long a load takes from each
	// source.
	MemoryLoadTime, DiskLoadTime, StoreLoadTime time.Duration
	// Waiting is the number of requests that wait for the model, OldestWait how long the
	// first of them has waited.
	Waiting    int
	OldestWait time.Duration
	// WaitingAt holds the requests that can run at one software version only. They are not in
	// Waiting.
	WaitingAt []VersionDemand
	// Running is the number of requests for the model that run on any engine.
	Running int
	// Rate is the smoothed number of requests for the model per second.
	Rate float64
	// RequestWeight weighs a request for the model against requests for other models, 1
	// for most models.
	RequestWeight float64
}

// VersionDemand is the requests for a model that wait for an engine of a software version.
type VersionDemand struct {
	Version    string
	Waiting    int
	OldestWait time.Duration
}

// Swap changes which models an engine holds: it unloads some and loads another.
type Swap struct {
	Engine string
	Unload []string
	Load   string
	Source Source
	// LoadTime is the expected duration of the load.
	LoadTime time.Duration
	// Reason says in logs why the swap was planned.
	Reason string
}

// LoadsFromStore reports whether the swap loads a model from the weight store; a swap that
// only unloads does not.
func (s Swap) LoadsFromStore() bool { return s.Source == SourceStore && s.Load != "" }

// PlanInput is the state of a pool from which Plan and EstimateReadyTimes work.
type PlanInput struct {
	Now     time.Time
	Engines []Engine
	Models  []Model
	// InFlight are the swaps that have begun and not ended.
	InFlight []Swap
	// MaxStoreLoads bounds the concurrent loads from the weight store.
	MaxStoreLoads int
	// Preload reports whether loads ahead of demand are planned too, which takes longer
	// than the rest of the plan.
	Preload bool
}

const (
	// UnloadTime is how long an unload of an idle model takes, including the report of its
	// end.
	UnloadTime = 150 * time.Millisecond
	// drainTime is how long the requests that run on a replica take to end.
	drainTime = 1500 * time.Millisecond
	// minResidenceTime is how long a loaded model can't be evicted: until then not all
	// requests that waited for it have been served. Without it two models with waiting
	// requests would evict each other from one engine in turn and serve nobody.
	minResidenceTime = 2 * time.Second
	// demandHorizon converts a model's request rate into the cost of its absence: each
	// request within the horizon would wait for a load.
	demandHorizon = 6 * time.Second
	// scaleOutUtilization is the share of the slots of a model's engines in use above
	// which the model gets another replica: above it, a request's first token waits for
	// the prompts of other requests.
	scaleOutUtilization = 0.6
	// minTwoReplicaRate is the request rate from which a model keeps two replicas: the
	// loss of its only engine would leave all its requests without a replica for the time
	// of a load.
	minTwoReplicaRate = 4.0
	// maxLoadsPerModel bounds the concurrent loads of further replicas of a busy model: the
	// first new replica already takes load off the others.
	maxLoadsPerModel = 2
	// maxPreloads bounds the engines that load ahead of demand at the same time while
	// requests wait: the other engines stay free for those requests.
	maxPreloads = 4
	// firstReplicaValue is the value of a model's only replica, however rarely the model
	// is requested: its next request waits for no load.
	firstReplicaValue = time.Second
	// replicasWithoutDemand is how many replicas a model keeps while no demand is known,
	// such as after a start: the models that the platform placed on several engines are the
	// busy ones, and their load is about to return.
	replicasWithoutDemand = 3
	// unusedMemoryCost is the cost of leaving memory of about one model's size unused: some
	// model has no replica for lack of it, and now and then a request waits for that model.
	unusedMemoryCost = 600 * time.Millisecond
	// sameDomainCost is the cost of a replica in a failure domain that already has one: if
	// the domain becomes unreachable, both are lost.
	sameDomainCost = 300 * time.Millisecond
	// saturatedUtilization is the share of an engine's slots in use from which a rarely
	// requested model gets no slot: the busy model on the same engine takes the next one
	// that becomes free.
	saturatedUtilization = 0.9
	// starvationThreshold is the wait of a request after which its model may evict one
	// that has requests running, or get another replica if it is displaced (see isDisplaced).
	starvationThreshold = 400 * time.Millisecond
)

// Plan returns the swaps to begin now. It covers two load patterns: many rare models that
// are each requested every few seconds and barely fit together, and a small, changing set
// of busy models. Every model should have one replica, a busy one more, and the models with
// the least demand are evicted first. Plan keeps no state between calls.
func Plan(in PlanInput) []Swap {
	r := newRound(in)
	r.unloadUnconfigured()
	r.serveDemand()
	if in.Preload {
		r.preload()
	}
	return r.swaps
}

// urgency returns the cost of the wait for the model: it grows with the number of waiting
// requests and with the wait of the oldest one.
func (m *Model) urgency() float64 {
	waiting, oldest := m.Waiting, m.OldestWait
	for _, demand := range m.WaitingAt {
		waiting += demand.Waiting
		oldest = max(oldest, demand.OldestWait)
	}
	return float64(waiting) * m.RequestWeight * (1 + oldest.Seconds())
}

// Reasons for swaps, as they appear in logs.
const (
	reasonWaiting   = "waited for"
	reasonRefused   = "turned away"
	reasonDisplaced = "crowded out"
	reasonBusy      = "busy"
	reasonPreload   = "ahead of demand"
	reasonSpare     = "spare"
)
