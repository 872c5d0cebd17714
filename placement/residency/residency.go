// Package residency plans which models the engines of a pool hold in memory when all
// models together nearly fit: one replica of each rarely used model, several of each busy
// one, and a swap where a requested model has none. It does no I/O; the caller passes the
// time in.
package residency

import (
	"cmp"
	"slices"
	"time"
)

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

// round holds the state of one call of Plan or EstimateReadyTimes.
type round struct {
	PlanInput
	models map[string]*Model
	// byUrgency are the models, the most urgent first.
	byUrgency []*Model
	// readyReplicas and loadingReplicas count each model's replicas.
	readyReplicas, loadingReplicas map[string]int
	// storeLoads counts the loads from the store, in flight and planned.
	storeLoads int
	// hasDemand reports whether any model is requested.
	hasDemand bool
	// replicaDomains are the failure domains with a replica of each model.
	replicaDomains map[string]map[string]bool
	// minModelBytes is the size of the smallest model.
	minModelBytes int64
	// preloads counts the loads ahead of demand, in flight and planned.
	preloads int
	// unplacedDemand caches the result of maxUnplacedDemand; it is negative before the
	// first call.
	unplacedDemand float64
	// assignedEngines are the engines with a swap in flight or planned in this round.
	assignedEngines map[string]bool
	swaps           []Swap
}

func newRound(in PlanInput) *round {
	r := &round{
		PlanInput: in, models: make(map[string]*Model, len(in.Models)),
		readyReplicas: make(map[string]int), loadingReplicas: make(map[string]int), assignedEngines: make(map[string]bool),
		replicaDomains: make(map[string]map[string]bool, len(in.Models)), unplacedDemand: -1,
	}
	for i := range in.Models {
		m := &in.Models[i]
		r.models[m.Name] = m
		r.byUrgency = append(r.byUrgency, m)
		r.hasDemand = r.hasDemand || m.Rate > 0
		if r.minModelBytes == 0 || m.Bytes < r.minModelBytes {
			r.minModelBytes = m.Bytes
		}
	}
	for i := range in.Engines {
		for _, m := range in.Engines[i].Models {
			if m.Ready && in.Engines[i].Serving {
				r.readyReplicas[m.Name]++
				r.addReplicaDomain(m.Name, in.Engines[i].Domain)
			}
		}
	}
	for _, swap := range in.InFlight {
		r.recordSwap(swap)
	}
	slices.SortFunc(r.byUrgency, func(a, b *Model) int {
		return cmp.Or(cmp.Compare(r.urgency(b), r.urgency(a)), cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name))
	})
	return r
}

func (r *round) addReplicaDomain(model, domain string) {
	if r.replicaDomains[model] == nil {
		r.replicaDomains[model] = make(map[string]bool)
	}
	r.replicaDomains[model][domain] = true
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

// urgency returns the model's urgency by its waiting or its refused requests, whichever is
// higher.
func (r *round) urgency(m *Model) float64 {
	return max(m.urgency(), r.recentRefusals(m)*m.RequestWeight)
}

// recentRefusals returns how many requests for a model without any replica came within the
// demand horizon. Requests that can't wait for a load are refused at once and never show
// up as waiting; without this count such a model would never be loaded.
func (r *round) recentRefusals(m *Model) float64 {
	if r.readyReplicas[m.Name]+r.loadingReplicas[m.Name] > 0 {
		return 0
	}
	return m.Rate * demandHorizon.Seconds()
}

func (r *round) recordSwap(swap Swap) {
	r.loadingReplicas[swap.Load]++
	r.assignedEngines[swap.Engine] = true
	if swap.Reason == reasonPreload || swap.Reason == reasonSpare {
		r.preloads++
	}
	if swap.LoadsFromStore() {
		r.storeLoads++
	}
}

// unloadUnconfigured unloads models that are no longer in the configuration. Their size
// isn't known, and an engine that is told to load more than fits crashes.
func (r *round) unloadUnconfigured() {
	for i := range r.Engines {
		e := &r.Engines[i]
		if !e.AcceptsSwaps || e.BusyFor > 0 || r.assignedEngines[e.ID] {
			continue
		}
		swap := Swap{Engine: e.ID, Reason: "not configured"}
		for _, replica := range e.Models {
			if r.models[replica.Name] == nil && replica.Running == 0 {
				swap.Unload = append(swap.Unload, replica.Name)
			}
		}
		if len(swap.Unload) > 0 {
			r.assignedEngines[e.ID] = true
			r.swaps = append(r.swaps, swap)
		}
	}
}

// serveDemand places requested models and adds replicas of busy ones in a single pass, the
// most urgent model first. With a separate first pass for models without a replica, those
// models take all loads from the store as long as any of them is left: a busy model with 200
// waiting requests gets none in 16 s.
func (r *round) serveDemand() {
	for _, m := range r.byUrgency {
		r.placeAtVersions(m)
		r.placeRequested(m)
		r.addReplicas(m)
	}
}

// placeAtVersions plans a replica at each software version that requests wait for and that has none.
// Such requests continue streams that engines of the version began; engines of other versions that hold the
// model don't help them.
func (r *round) placeAtVersions(m *Model) {
	for _, demand := range m.WaitingAt {
		if !r.hasReplicaAt(m.Name, demand.Version) {
			r.placeModel(m, placementRequest{
				reason: reasonWaiting, version: demand.Version, evictRunning: demand.OldestWait > starvationThreshold, maxStoreLoads: r.MaxStoreLoads,
			})
		}
	}
}

// hasReplicaAt reports whether an engine of the software version holds or loads the model.
func (r *round) hasReplicaAt(model, version string) bool {
	for i := range r.Engines {
		e := &r.Engines[i]
		if e.Version != version || !e.Serving {
			continue
		}
		loads := func(s Swap) bool { return s.Engine == e.ID && s.Load == model }
		if hasReplica(e, model) || slices.ContainsFunc(r.InFlight, loads) || slices.ContainsFunc(r.swaps, loads) {
			return true
		}
	}
	return false
}

// placeRequested plans a replica of a model that has waiting or refused requests and no
// replica, ready or loading; or a further replica if the model's engines are full of
// requests for other models.
func (r *round) placeRequested(m *Model) {
	switch {
	case r.loadingReplicas[m.Name] > 0:
	case m.Waiting == 0 && r.recentRefusals(m) >= 1:
		r.placeModel(m, placementRequest{reason: reasonRefused, maxStoreLoads: r.MaxStoreLoads})
	case m.Waiting == 0:
	case r.readyReplicas[m.Name] == 0:
		r.placeModel(m, placementRequest{reason: reasonWaiting, evictRunning: m.OldestWait > starvationThreshold, maxStoreLoads: r.MaxStoreLoads})
	case m.OldestWait > starvationThreshold && r.isDisplaced(m):
		r.placeModel(m, placementRequest{reason: reasonDisplaced, evictSurplusOnly: true})
	}
}

// isDisplaced reports whether all engines that hold the model are full, mostly with
// requests for other models. A rare model that shares its engines with a busy one gets no
// slot, as requests for the busy one take each slot that becomes free: the rare model's
// requests wait for up to 6 s while engines with a copy of it are idle.
func (r *round) isDisplaced(m *Model) bool {
	ownRequests := 0
	for i := range r.Engines {
		e := &r.Engines[i]
		index := slices.IndexFunc(e.Models, func(replica Replica) bool { return replica.Name == m.Name && replica.Ready })
		if index < 0 || !e.Serving {
			continue
		}
		if float64(e.Running) < saturatedUtilization*float64(e.Slots) {
			return false
		}
		ownRequests += e.Models[index].Running
	}
	return float64(ownRequests) < scaleOutUtilization*float64(r.readyReplicas[m.Name]*r.maxEngineSlots())
}

// addReplicas plans further replicas of a busy model.
func (r *round) addReplicas(m *Model) {
	if !r.hasDemand {
		return
	}
	for r.readyReplicas[m.Name]+r.loadingReplicas[m.Name] > 0 && r.readyReplicas[m.Name]+r.loadingReplicas[m.Name] < r.desiredReplicas(m) && r.loadingReplicas[m.Name] < maxLoadsPerModel {
		if !r.placeModel(m, placementRequest{reason: reasonBusy, maxStoreLoads: r.MaxStoreLoads}) {
			return
		}
	}
}

// preload plans loads ahead of demand. It places models without a replica first, from an
// engine's copy or, if no other model needs it, from the store, where this gains more than
// an eviction costs. It then adds a second replica of each model from engines' copies while
// memory is free. Without it, when engines crash or become unreachable, or demand moves to
// models with one replica, the next replica comes from the store, which takes many seconds.
func (r *round) preload() {
	// One load from the store stays available for waiting requests.
	limit, storeLoads := maxPreloads, r.MaxStoreLoads-1
	if !r.hasWaitingWithoutReplica() {
		limit, storeLoads = len(r.Engines), max(1, storeLoads)
	}
	for _, req := range []placementRequest{
		{reason: reasonPreload, maxStoreLoads: storeLoads},
		{reason: reasonSpare, currentReplicas: 1, noEvict: true},
	} {
		for _, m := range r.byUrgency {
			if r.preloads >= limit {
				return
			}
			if r.readyReplicas[m.Name]+r.loadingReplicas[m.Name] == req.currentReplicas {
				r.placeModel(m, req)
			}
		}
	}
}

// hasWaitingWithoutReplica reports whether requests wait for a model without a ready
// replica.
func (r *round) hasWaitingWithoutReplica() bool {
	return slices.ContainsFunc(r.byUrgency, func(m *Model) bool { return m.Waiting > 0 && r.readyReplicas[m.Name] == 0 })
}

// desiredReplicas returns how many replicas the model should have for its load.
func (r *round) desiredReplicas(m *Model) int {
	slots := r.maxEngineSlots()
	desired := 1
	if !r.hasDemand {
		desired = replicasWithoutDemand
	}
	if slots > 0 {
		desired += int(float64(m.Running+m.Waiting) / (scaleOutUtilization * float64(slots)))
	}
	if m.Rate >= minTwoReplicaRate {
		desired = max(desired, 2)
	}
	return desired
}

// maxEngineSlots returns how many concurrent requests the largest engine runs.
func (r *round) maxEngineSlots() int {
	slots := 0
	for i := range r.Engines {
		slots = max(slots, r.Engines[i].Slots)
	}
	return slots
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
